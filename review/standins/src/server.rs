//! Stand-in for a server of a service without an engine.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_message, write_message, Connection, Message};
use crate::store::Store;

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(30);

pub struct Arrival {
    pub attempt: String,
    pub path: String,
    pub at: Instant,
}

pub struct Server {
    pub id: String,
    pub service: String,
    zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Address in its entry, if its callers reach it over a path of the test.
    public: Mutex<Option<SocketAddr>>,
    store: Arc<Store>,
    is_listed: Mutex<bool>,
    is_up: AtomicBool,
    /// Open connections by the address of their other end.
    connections: Mutex<HashMap<SocketAddr, TcpStream>>,
    running: AtomicUsize,
    /// Unix millisecond of its start.
    born: Mutex<u128>,
    /// Answers in this manner have no length, come in two halves and end with their connection.
    pub half_delay: Mutex<Option<Duration>>,
    /// Requests that it ran.
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Server {
    /// Starts a server that is listed at once.
    pub fn start(store: &Arc<Store>, ip: &str, id: &str, service: &str, zone: &str) -> Arc<Self> {
        let server = Self::start_unlisted(store, ip, id, service, zone);
        server.list(None);
        server
    }

    /// Starts a server that writes no entry yet.
    pub fn start_unlisted(
        store: &Arc<Store>,
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            public: Mutex::default(),
            store: Arc::clone(store),
            is_listed: Mutex::new(true),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
            running: AtomicUsize::new(0),
            born: Mutex::new(unix_millis()),
            half_delay: Mutex::default(),
            arrivals: Mutex::default(),
        });
        server.accept(listener);
        server
    }

    /// Begins to write its entry, with another address if it is reached over a path.
    pub fn list(self: &Arc<Self>, public: Option<SocketAddr>) {
        *self.public.lock().unwrap() = public;
        let shared = Arc::clone(self);
        thread::spawn(move || shared.beat());
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !shared.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let (Ok(clone), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
                    continue;
                };
                shared.connections.lock().unwrap().insert(peer, clone);
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    shared.serve(stream);
                    shared.connections.lock().unwrap().remove(&peer);
                });
            }
        });
    }

    /// Starts again after it has exited, under the same id and at the same address.
    pub fn start_again(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("its address is free");
        *self.born.lock().unwrap() = unix_millis();
        self.is_up.store(true, Ordering::SeqCst);
        self.accept(listener);
        self.write_entry(0);
    }

    fn beat(&self) {
        for sequence in 0_u64.. {
            let is_listed = self.is_listed.lock().unwrap();
            if !*is_listed {
                return;
            }
            if self.is_up.load(Ordering::SeqCst) {
                self.write_entry(sequence);
            }
            drop(is_listed);
            thread::sleep(HEARTBEAT);
        }
    }

    fn write_entry(&self, sequence: u64) {
        let address = self.public.lock().unwrap().unwrap_or(self.address);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.zone,
            self.born.lock().unwrap()
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Leaves without having reported `draining`: the entry is removed, and the server goes on
    /// serving. Returns when the store acknowledged the removal.
    pub fn remove_entry(&self) -> Instant {
        let mut is_listed = self.is_listed.lock().unwrap();
        *is_listed = false;
        self.store.remove("servers", &self.id)
    }

    /// Exits: the listener and all connections are closed, whatever is under way.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = read_message(&mut connection.reader) {
            if !self.is_up.load(Ordering::SeqCst) || !request.is_complete {
                return;
            }
            if self.answer(&mut connection.stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let expected = request.header("x-briarswitch-expect-instance");
        let attempt = request.header("x-briarswitch-attempt-id").to_owned();
        let id = ("X-Briarswitch-Instance-Id", self.id.as_str());
        let attempt_header = ("X-Briarswitch-Attempt-Id", attempt.as_str());
        if !expected.is_empty() && expected != self.id {
            return write_message(stream, "HTTP/1.1 421 -", &[id, attempt_header], b"");
        }
        if request.target() == "/healthz" {
            return write_message(stream, "HTTP/1.1 200 -", &[id], b"");
        }
        if request.target() == "/report" {
            let report = format!(
                "{{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                 \"active\":{},\"kv_used_tokens\":0,\"kv_total_tokens\":0,\"handles\":0,\"born\":{}}}",
                self.running.load(Ordering::SeqCst),
                self.born.lock().unwrap()
            );
            let json = ("Content-Type", "application/json");
            return write_message(stream, "HTTP/1.1 200 -", &[id, json], report.as_bytes());
        }
        if attempt.is_empty() {
            let not_run = ("X-Briarswitch-Not-Executed", "1");
            return write_message(stream, "HTTP/1.1 400 -", &[id, not_run], b"");
        }
        self.arrivals.lock().unwrap().push(Arrival {
            attempt: attempt.clone(),
            path: request.target().to_owned(),
            at: Instant::now(),
        });
        if let Some(delay) = *self.half_delay.lock().unwrap() {
            return self.answer_in_halves(stream, request, &attempt, delay);
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let load = format!("{running},0,6");
        let signature = format!("{}.{attempt}", self.id);
        let headers = [
            attempt_header,
            ("X-Briarswitch-Response-Signature", signature.as_str()),
            ("X-Briarswitch-Server-Load", load.as_str()),
            ("Content-Type", "application/octet-stream"),
        ];
        write_message(
            stream,
            "HTTP/1.1 200 -",
            &headers,
            &body_for(request.target()),
        )
    }
}

impl Server {
    /// Answers without a length, and closes the connection after the second half.
    fn answer_in_halves(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        attempt: &str,
        delay: Duration,
    ) -> std::io::Result<()> {
        let body = body_for(request.target());
        let (first, second) = body.split_at(body.len() / 2);
        let head = format!(
            "HTTP/1.1 200 -\r\nX-Briarswitch-Attempt-Id: {attempt}\r\n\
             X-Briarswitch-Response-Signature: {}.{attempt}\r\nConnection: close\r\n\r\n",
            self.id
        );
        stream.write_all(&[head.as_bytes(), first].concat())?;
        thread::sleep(delay);
        stream.write_all(second)?;
        stream.shutdown(Shutdown::Both)
    }
}

fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time of day").as_millis()
}

/// Returns the body of the answer to a request: 800 bytes, or as many as its query asks for.
pub fn body_for(target: &str) -> Vec<u8> {
    let size = target.split_once("?bytes=");
    let size = size.and_then(|(_, size)| size.parse().ok()).unwrap_or(800);
    (0..size).map(|index| b'a' + (index % 23) as u8).collect()
}
