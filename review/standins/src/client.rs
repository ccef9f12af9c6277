//! A client with one kept connection, which it replaces when that is closed.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_message, Connection, Message};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// A request as sent, and what came of it.
pub struct Exchange {
    pub attempt: String,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: io::Result<Option<Message>>,
}

impl Exchange {
    pub fn outcome(&self) -> String {
        match &self.answer {
            Ok(Some(answer)) if answer.is_complete => answer.status().to_string(),
            Ok(Some(answer)) => {
                format!("{} cut after {} bytes", answer.status(), answer.body.len())
            }
            Ok(None) => "closed without an answer".to_owned(),
            Err(error) => format!("failed: {}", error.kind()),
        }
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    pub fn send(&mut self, method: &str, path: &str, deadline: Duration, body: &[u8]) -> Exchange {
        let attempt = new_attempt();
        let sent = Instant::now();
        let answer = self.exchange(&attempt, method, path, deadline, body);
        let keeps = answer.as_ref().is_ok_and(|answer| {
            let answer = answer.as_ref();
            answer
                .is_some_and(|answer| answer.is_complete && answer.header("connection") != "close")
        });
        if !keeps {
            self.connection = None;
        }
        Exchange {
            attempt,
            sent,
            ended: Instant::now(),
            answer,
        }
    }

    fn exchange(
        &mut self,
        attempt: &str,
        method: &str,
        path: &str,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<Option<Message>> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            self.connection = Some(Connection::new(stream)?);
        }
        let connection = self.connection.as_mut().expect("just opened");
        connection.stream.set_read_timeout(Some(deadline))?;
        connection
            .stream
            .write_all(&request_bytes(attempt, method, path, deadline, body))?;
        read_message(&mut connection.reader)
    }
}

pub fn request_bytes(
    attempt: &str,
    method: &str,
    path: &str,
    deadline: Duration,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Briarswitch-Attempt-Id: {attempt}\r\n\
         X-Briarswitch-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

pub fn new_attempt() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{count:08x}", std::process::id())
}
