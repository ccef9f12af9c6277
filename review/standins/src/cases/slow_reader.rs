//! LOST: a node is told to stop while a client is still reading an answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use super::{loopback, put_config, Setting, Verdict, SERVICE};
use crate::client::{new_attempt, request_bytes};
use crate::node::{keep_logs, temporary_folder, Deployment, SIGTERM, TASDID_RABAT};
use crate::record::Record;
use crate::server::{body_for, Server};
use crate::store::Store;

const BYTES: usize = 480_000;
/// Bytes that the client reads at once at most, and the pause after them. With its receive buffer
/// that makes some 75 kB/s, a twentieth of the 14 Mbit/s
/// of the deployment's narrowest links.
const READ_BYTES: usize = 7_000;
const READ_PAUSE: Duration = Duration::from_millis(40);
const TIMEOUT_MS: u32 = 8_000;
/// `grace_period_s` of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the request to the SIGTERM.
const TERM_DELAY: Duration = Duration::from_millis(500);

/// Receive buffer of the client in bytes.
const RECEIVE_BUFFER: i32 = 4_096;
/// Segment size of an ordinary link; that of the loopback interface is 45 times as large.
const SEGMENT: i32 = 1_460;

#[repr(C)]
struct InternetAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const InternetAddress, length: u32) -> i32;
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

pub fn run(setting: &Setting) -> Verdict {
    let record = Record::begin();
    let folder = temporary_folder("review-slow-reader");
    let store = Store::start(&loopback(0));
    put_config(&store, TIMEOUT_MS);
    let server = Server::start(&store, &loopback(10), "i-7f3a91c2", SERVICE, "casa-a");
    let deployment = Deployment {
        site: TASDID_RABAT,
        root: setting.root.clone(),
        folder: folder.clone(),
    };
    let mut node = deployment.start("front-casa-a-1", "casa-a", &loopback(1), store.address);
    if !node.wait_until_ready(Duration::from_secs(20)) {
        record.now("the node did not become ready");
        record.write(&setting.folder);
        return Verdict::CouldNotRun;
    }
    record.now("the node is ready");
    let attempt = new_attempt();
    let path = format!("/bill/stock?bytes={BYTES}");
    let front = node.front;
    let sent = Instant::now();
    record.now(format!("sent     {attempt} POST {path}"));
    let (own, own_path) = (attempt.clone(), path.clone());
    let reading = thread::spawn(move || read_slowly(front, &own, &own_path));
    thread::sleep(TERM_DELAY);
    let mut ended = None;
    let told = Instant::now();
    if setting.has_trouble {
        node.signal(SIGTERM);
        record.now("SIGTERM to front-casa-a-1");
        ended = node.wait(GRACE);
        let how = ended.clone().unwrap_or_else(|| "not yet".to_owned());
        let after = told.elapsed().as_secs_f64();
        record.now(format!(
            "the process has ended {after:.3} s after the SIGTERM: {how}"
        ));
    }
    let reply = reading.join().expect("the client ends");
    for arrival in server.arrivals.lock().unwrap().iter() {
        record.note(
            arrival.at,
            format!("run      {} {}", arrival.attempt, arrival.path),
        );
    }
    let took = reply.ended.saturating_duration_since(sent);
    record.note(
        reply.ended,
        format!(
            "answered {attempt} status {}, {} of {BYTES} bytes, {}, after {:.3} s",
            reply.status,
            reply.body.len(),
            reply.end,
            took.as_secs_f64()
        ),
    );
    let was_run = server.arrivals.lock().unwrap().len() == 1;
    let is_whole = reply.status == 200 && reply.body == body_for(&path);
    let is_in_time = took < Duration::from_millis(u64::from(TIMEOUT_MS));
    let summary = format!(
        "run by the server: {was_run}; answered whole: {is_whole}; {:.3} s of the {TIMEOUT_MS} ms \
         that it had",
        took.as_secs_f64()
    );
    record.now(summary);
    record.write(&setting.folder);
    drop(node);
    keep_logs(&folder);
    let has_ended = !setting.has_trouble || ended.is_some();
    if !was_run || !is_in_time || !has_ended {
        return Verdict::CouldNotRun;
    }
    if is_whole {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

struct Reply {
    status: u16,
    body: Vec<u8>,
    end: String,
    ended: Instant,
}

/// Opens a connection with a small receive buffer and segments as on an ordinary link, as a client
/// behind a slow link has; both have to be set before the connection is opened.
fn open(front: SocketAddr) -> TcpStream {
    let SocketAddr::V4(front) = front else {
        panic!("nodes listen on IPv4");
    };
    let address = InternetAddress {
        family: AF_INET,
        port: front.port().to_be_bytes(),
        ip: front.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the socket is new and owned here, and each pointer is to a value of the stated length.
    unsafe {
        let own = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        assert!(own >= 0, "a socket");
        setsockopt(own, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4);
        setsockopt(own, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        assert_eq!(connect(own, &address, 16), 0, "the node accepts");
        TcpStream::from_raw_fd(own)
    }
}

/// Sends a request and reads the answer at a steady pace, with a small receive buffer.
fn read_slowly(front: SocketAddr, attempt: &str, path: &str) -> Reply {
    let mut stream = open(front);
    let deadline = Duration::from_millis(u64::from(TIMEOUT_MS));
    let request = request_bytes(attempt, "POST", path, deadline, b"");
    stream.write_all(&request).expect("the request is sent");
    let _ = stream.set_read_timeout(Some(deadline));
    let mut bytes = Vec::new();
    let mut buffer = [0; READ_BYTES];
    let mut head = None;
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "connection closed".to_owned(),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => break format!("connection failed: {}", error.kind()),
        }
        if head.is_none() {
            head = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        }
        if head.is_some_and(|head| bytes.len() - head - 4 >= BYTES) {
            break "complete".to_owned();
        }
        thread::sleep(READ_PAUSE);
    };
    let head = head.unwrap_or(0);
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Reply {
        status: status.unwrap_or(0),
        body: bytes.get(head + 4..).unwrap_or_default().to_vec(),
        end,
        ended: Instant::now(),
    }
}
