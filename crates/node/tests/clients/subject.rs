//! The node that a crowd calls.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::crowd::{ConnectedCrowd, Crowd};
use crate::process::{is_alive, Usage};
use crate::support::{Cluster, KEY, SERVICE, WAIT_TIMEOUT};

/// Deadline of requests in milliseconds.
const DEADLINE_MS: u64 = 60_000;

#[derive(Clone)]
pub struct Subject {
    pub process: u32,
    /// Listener for ordinary callers.
    pub callers: SocketAddr,
    /// Listener that the crowd calls.
    pub attacked: SocketAddr,
    /// Path of an ordinary request.
    pub path: String,
    /// Prefix of the paths of callers.
    pub prefix: String,
    pub headers: Vec<(String, String)>,
}

impl Subject {
    /// A node whose settings name everything.
    pub fn of_cluster(cluster: &Cluster, node: usize) -> Self {
        let callers: SocketAddr = cluster.callers(node).parse().expect("an address");
        let header = |name: &str, value: String| (name.to_owned(), value);
        Self {
            process: cluster.nodes[node].id(),
            callers,
            attacked: callers,
            path: "/ordinary".to_owned(),
            prefix: format!("/services/{SERVICE}"),
            headers: vec![
                header("host", "api.example".to_owned()),
                header("authorization", format!("Bearer {KEY}")),
                header("x-deadline-ms", DEADLINE_MS.to_string()),
            ],
        }
    }

    /// The same node, with the crowd at another listener.
    pub fn at(mut self, port: u16) -> Self {
        self.attacked.set_port(port);
        self
    }

    /// Returns the head of a caller's request without the headers of its body and its end.
    pub fn head(&self, path: &str) -> String {
        let headers = self.headers.iter();
        let headers: Vec<(&str, &str)> = headers
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        self.raw_head(&format!("{}{path}", self.prefix), &headers)
    }

    pub fn raw_head(&self, path: &str, headers: &[(&str, &str)]) -> String {
        let mut head = format!("POST {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if headers.iter().all(|(name, _)| *name != "host") {
            head.push_str("host: api.example\r\n");
        }
        head
    }

    pub async fn meet(&self, crowd: Crowd) -> ConnectedCrowd {
        let (address, process) = (self.attacked, self.process);
        let connecting = move || crowd.connect(address, || Usage::of(process));
        let connected = tokio::task::spawn_blocking(connecting).await;
        connected.expect("the crowd is connected")
    }

    pub async fn ordinary_status(&self) -> u16 {
        self.body_status(2).await
    }

    /// Sends one request with a body of a size and returns the status, zero without a response.
    pub async fn body_status(&self, length: usize) -> u16 {
        let head = self.head(&self.path);
        let mut message =
            format!("{head}Connection: close\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        message.resize(message.len() + length, b'o');
        let address = self.callers;
        let sending = move || exchange(address, &message).unwrap_or(0);
        tokio::task::spawn_blocking(sending)
            .await
            .expect("an answer")
    }

    pub fn usage(&self) -> Usage {
        Usage::of(self.process)
    }

    pub fn is_alive(&self) -> bool {
        is_alive(self.process)
    }
}

fn exchange(address: SocketAddr, message: &[u8]) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.set_write_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(message)?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    println!(
        "ordinary: {read:?} {}",
        text.lines()
            .take(12)
            .map(|line| &line[..line.len().min(200)])
            .collect::<Vec<_>>()
            .join(" | ")
    );
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(status.unwrap_or(0))
}
