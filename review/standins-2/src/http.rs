//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The first line and the headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

/// A response to send; its length is stated.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Returns the value of a header; empty if there is none.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut headers = headers.iter();
    headers
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query; empty if there is none.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(other, _)| *other == name)
            .map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the bytes of the head and the body.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} R\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").contains("chunked") {
        loop {
            let size = read_line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk"))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = header(headers, "content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request {
        target,
        headers,
        body,
    })
}

/// Reads the head of a response.
pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<ResponseHead> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok(ResponseHead {
        status: status.ok_or_else(|| invalid("status"))?,
        headers: read_headers(reader)?,
    })
}

/// Calls `serve` for each connection of a new listener, in a thread of its own; returns the listener's address.
pub fn listen<F>(address: &str, serve: F) -> io::Result<SocketAddr>
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(bound)
}

/// Answers the requests of a connection until it ends.
pub fn answer_all(stream: TcpStream, answer: impl Fn(&Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(request) = read_request(&mut reader) {
        if writer.write_all(&answer(&request).bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection and returns the whole response.
pub fn call(address: &str, request: &str) -> io::Result<(ResponseHead, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_response_head(&mut reader)?;
    let body = read_body(&mut reader, &head.headers)?;
    Ok((head, body))
}
