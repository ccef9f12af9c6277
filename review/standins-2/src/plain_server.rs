//! Stand-in for a server of a service without a model.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::{KEY, PLAIN_SERVICE};
use crate::http::{answer_all, listen, Request, Response};
use crate::json::{object, Json};
use crate::node::loopback_ip;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a server renews its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SLOTS: u64 = 6;

/// Answers a request that runs; called once for each run.
pub type RunHandler = Arc<dyn Fn(&Request) -> Response + Send + Sync>;

/// A running server with a new id.
pub struct PlainServer {
    pub id: String,
    runs: Arc<AtomicU64>,
}

impl PlainServer {
    pub fn start(
        index: u8,
        zone: &str,
        store: &Store,
        record: &Record,
        handler: RunHandler,
    ) -> io::Result<Self> {
        let id = format!("i-{index:02x}{:06x}", std::process::id());
        let runs = Arc::new(AtomicU64::new(0));
        let (own, counted, log) = (id.clone(), Arc::clone(&runs), record.clone());
        let address = listen(&format!("{}:0", loopback_ip(index)), move |stream| {
            answer_all(stream, |request| {
                answer(&own, request, &counted, &log, &handler)
            });
        })?;
        register(&id, zone, address, store);
        Ok(Self { id, runs })
    }

    /// Returns how many requests have run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }
}

fn answer(
    id: &str,
    request: &Request,
    runs: &AtomicU64,
    record: &Record,
    handler: &RunHandler,
) -> Response {
    let attempt = request.header("x-briarswitch-attempt-id");
    let expected = request.header("x-briarswitch-expect-instance");
    let response = if !expected.is_empty() && expected != id {
        Response::new(421, "").with("x-briarswitch-not-executed", "1")
    } else if request.path() == "/healthz" {
        Response::new(200, "").with("x-briarswitch-instance-id", id)
    } else if request.path() == "/report" {
        Response::new(404, "")
    } else {
        debug_assert!(!request.header("authorization").contains(KEY));
        let run = 1 + runs.fetch_add(1, Ordering::SeqCst);
        record.write(format!("server {id} runs {attempt} ({})", request.target));
        let response = handler(request);
        record.write(format!(
            "server {id} has answered {attempt}: {} with {} bytes",
            response.status,
            response.body.len()
        ));
        let signature = format!("{id}.{run}");
        response.with("x-briarswitch-response-signature", &signature)
    };
    response
        .with("x-briarswitch-attempt-id", attempt)
        .with("x-briarswitch-server-load", &format!("0,0,{SLOTS}"))
}

/// Keeps the server's entry in the store up to date.
fn register(id: &str, zone: &str, address: SocketAddr, store: &Store) {
    let (id, zone, store) = (id.to_owned(), zone.to_owned(), store.clone());
    let entry = move |sequence: u64| -> Json {
        object([
            ("service", PLAIN_SERVICE.into()),
            ("address", address.to_string().into()),
            ("zone", zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", SLOTS.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            ("sequence", sequence.into()),
        ])
    };
    store.put("servers", &id, &entry(0));
    thread::spawn(move || {
        for sequence in 1.. {
            thread::sleep(HEARTBEAT);
            store.put("servers", &id, &entry(sequence));
        }
    });
}
