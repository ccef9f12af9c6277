//! Just enough HTTP/1.1 for the stand-ins: both sides of a connection, with lengths, chunks and
//! bodies that end with their connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked and reached.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the start line and the headers; `None` if the connection ended before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        start,
        headers,
        body: Vec::new(),
        is_complete: false,
    }))
}

/// Reads the body that follows a head, as far as it comes.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    if message.header("transfer-encoding") == "chunked" {
        message.is_complete = read_chunks(reader, &mut message.body).is_ok();
        return;
    }
    let length = message.header("content-length").parse::<u64>();
    let wanted = match length {
        Ok(length) => length,
        Err(_) if message.start.starts_with("HTTP/") => u64::MAX,
        Err(_) => 0,
    };
    let read = reader.by_ref().take(wanted).read_to_end(&mut message.body);
    message.is_complete = read.is_ok() && message.body.len() as u64 == wanted;
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or("");
        let size = u64::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let before = body.len() as u64;
        reader.by_ref().take(size).read_to_end(body)?;
        if body.len() as u64 != before + size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message);
    Ok(Some(message))
}

pub fn write_message(
    stream: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One side of a kept connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }
}
