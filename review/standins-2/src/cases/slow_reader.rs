//! A node gets SIGTERM while clients still read answers that their server has long finished.
//!
//! Rule LOST: around a SIGTERM of the machine that took the request, a process has read a whole request, it has been
//! passed on to a server, and the connection ends without a complete answer.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{config, plain_services, route, start_nodes, start_store, HOST, KEY, ZONES};
use crate::http::{header, read_response_head, read_some, Response};
use crate::node::SIGTERM;
use crate::plain_server::PlainServer;
use crate::record::Record;
use crate::{CaseError, Verdict};

/// Size of each answer in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Bytes that a client reads per second.
const READ_RATE: usize = 2_400_000;
const READ_SIZE: usize = 64 << 10;
/// Time-out of the route, and of the clients.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Time from sending the requests to SIGTERM.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);
/// Time that the platform gives a process to end.
const GRACE: Duration = Duration::from_secs(8);
const CLIENTS: usize = 2;
const SERVER_INDEX: u8 = 41;

/// How a client's request ended.
struct ClientEnd {
    status: u16,
    expected: usize,
    received: usize,
    took: Duration,
}

impl ClientEnd {
    /// Returns whether the connection ended without the complete answer, before the time-out.
    fn is_lost(&self) -> bool {
        let is_incomplete = self.status == 0 || self.received < self.expected;
        is_incomplete && self.took < TIMEOUT
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let routes = vec![route("/lists/", "safe", TIMEOUT.as_millis() as u64, 2)];
    let store = start_store(&config(1, routes, plain_services()))?;
    let mut servers = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let handler = Arc::new(|_: &_| Response::new(200, vec![b'p'; ANSWER_BYTES]));
        let index = SERVER_INDEX + index as u8;
        servers.push(PlainServer::start(index, zone, &store, record, handler)?);
    }
    let mut nodes = start_nodes(6, &store.address())?;
    let node = &mut nodes[0];
    record.write(format!("{} takes the requests", node.place.name));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (front, record) = (node.front.clone(), record.clone());
            thread::spawn(move || fetch(&front, index, &record))
        })
        .collect();
    thread::sleep(SIGNAL_DELAY);
    if has_trouble {
        record.write(format!("SIGTERM to {}", node.place.name));
        node.signal(SIGTERM);
        let signalled = Instant::now();
        let has_ended = node.wait_for_exit(GRACE);
        record.write(format!(
            "{} has {} {:.2} s after SIGTERM",
            node.place.name,
            if has_ended { "ended" } else { "not ended" },
            signalled.elapsed().as_secs_f64()
        ));
        for line in node.log_lines("shutdown_ended") {
            record.write(format!("its log: {line}"));
        }
    }
    let mut ends = Vec::new();
    for client in clients {
        ends.push(client.join().map_err(|_| "a client failed")??);
    }
    let runs: u64 = servers.iter().map(PlainServer::runs).sum();
    if runs == 0 || ends.iter().all(|end| end.status != 200) {
        return Err("no request was answered".into());
    }
    let lost = ends.iter().filter(|end| end.is_lost()).count();
    record.write(format!("{lost} of {CLIENTS} answers were lost; {runs} requests ran"));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a request and reads its answer at [`READ_RATE`].
fn fetch(front: &str, index: usize, record: &Record) -> Result<ClientEnd, String> {
    let attempt = format!("9c41d07be2a35f6{index}");
    let request = format!(
        "GET /lists/2f HTTP/1.1\r\nhost: {HOST}\r\nx-briarswitch-attempt-id: {attempt}\r\n\
         x-briarswitch-deadline-ms: {}\r\nauthorization: Bearer {KEY}\r\n\r\n",
        TIMEOUT.as_millis()
    );
    let mut stream = TcpStream::connect(front).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    stream
        .write_all(request.as_bytes())
        .map_err(|error| error.to_string())?;
    record.write(format!("client sends {attempt}"));
    let mut reader = BufReader::new(stream);
    let mut end = ClientEnd {
        status: 0,
        expected: 0,
        received: 0,
        took: Duration::ZERO,
    };
    let mut ended_by = "an error in the head".to_owned();
    if let Ok(head) = read_response_head(&mut reader) {
        end.status = head.status;
        end.expected = header(&head.headers, "content-length").parse().unwrap_or(0);
        let begun = Instant::now();
        ended_by = loop {
            if end.received >= end.expected {
                break "the last byte".to_owned();
            }
            match read_some(&mut reader, READ_SIZE) {
                Ok(bytes) if bytes.is_empty() => break "the end of the connection".to_owned(),
                Ok(bytes) => end.received += bytes.len(),
                Err(error) => break error.to_string(),
            }
            let due = Duration::from_secs_f64(end.received as f64 / READ_RATE as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        };
    }
    end.took = sent.elapsed();
    record.write(format!(
        "client got {attempt}: status {}, {} of {} bytes after {:.2} s, ended by {ended_by}",
        end.status,
        end.received,
        end.expected,
        end.took.as_secs_f64()
    ));
    Ok(end)
}
