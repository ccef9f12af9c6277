//! Stand-in for a server of a service without a model.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::deployment::PLAIN_SERVICE;
use crate::http::{answer_all, listen, Request, Response};
use crate::json::{object, Json};
use crate::node::loopback_ip;
use crate::store::Store;

const SLOTS: u64 = 6;

/// Answers a request that runs; called once for each run, with the server's id.
pub type RunHandler = Arc<dyn Fn(&str, &Request) -> Response + Send + Sync>;

/// A running server with a new id; it serves until the program ends.
pub struct PlainServer {
    pub id: String,
    entry: Json,
    store: Store,
}

impl PlainServer {
    pub fn start(index: u8, zone: &str, store: &Store, handler: RunHandler) -> io::Result<Self> {
        let id = format!("i-{index:02x}{:06x}", std::process::id());
        let runs = Arc::new(AtomicU64::new(0));
        let own = id.clone();
        let address = listen(&format!("{}:0", loopback_ip(index)), move |stream| {
            answer_all(stream, |request| answer(&own, request, &runs, &handler));
        })?;
        let server = Self {
            id,
            entry: entry(zone, address),
            store: store.clone(),
        };
        server.register();
        Ok(server)
    }

    /// Writes the server's entry, also again after it has expired.
    pub fn register(&self) {
        self.store.put("servers", &self.id, &self.entry);
    }

    /// Removes the server's entry, as it does without having said that it drains, or as its expiry does.
    ///
    /// The server goes on serving.
    pub fn leave(&self) {
        self.store.remove("servers", &self.id);
    }
}

fn answer(id: &str, request: &Request, runs: &AtomicU64, handler: &RunHandler) -> Response {
    let attempt = request.header("x-briarswitch-attempt-id");
    let expected = request.header("x-briarswitch-expect-instance");
    let response = if !expected.is_empty() && expected != id {
        Response::new(421, "").with("x-briarswitch-not-executed", "1")
    } else if request.path() == "/healthz" {
        Response::new(200, "").with("x-briarswitch-instance-id", id)
    } else if request.path() == "/report" {
        Response::new(404, "")
    } else {
        let run = 1 + runs.fetch_add(1, Ordering::SeqCst);
        let signature = format!("{id}.{run}");
        handler(id, request).with("x-briarswitch-response-signature", &signature)
    };
    response
        .with("x-briarswitch-attempt-id", attempt)
        .with("x-briarswitch-server-load", &format!("0,0,{SLOTS}"))
}

/// Returns a server's entry.
///
/// It is written once: an entry changes when more than its `sequence` does.
fn entry(zone: &str, address: SocketAddr) -> Json {
    object([
        ("service", PLAIN_SERVICE.into()),
        ("address", address.to_string().into()),
        ("zone", zone.into()),
        ("version", "v1".into()),
        ("slots", SLOTS.into()),
        ("state", "ready".into()),
        ("cold_remaining_ms", 0.into()),
        ("sequence", 1.into()),
    ])
}
