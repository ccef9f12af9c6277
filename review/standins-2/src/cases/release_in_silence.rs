//! The servers of a service are replaced one after the other while the connections to the store have fallen silent.
//!
//! Rule DRAIN: a request reaches a server later than `drain_timeout_ms` after the store acknowledged that the server is
//! gone, taken from the client and sent on by machines in touch.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::client::{AnswerHandler, Clients, SendHandler};
use crate::deployment::{config, plain_services, route, start_nodes, start_store};
use crate::http::{Request, Response};
use crate::node::loopback_ip;
use crate::plain_server::{PlainServer, RunHandler};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::{CaseError, Verdict};

/// `drain_timeout_ms` of the small deployments, in seconds.
const DRAIN_TIMEOUT_S: f64 = 2.0;
/// `contact_ms` of the small deployments, in seconds.
const CONTACT_S: f64 = 3.0;
/// Zones of the servers; the first [`REPLACED`] of the six are replaced, that is a share of 0.5.
const SERVER_ZONES: [&str; 6] = [
    "kakkanad",
    "kakkanad",
    "kakkanad",
    "edappally",
    "edappally",
    "vyttila",
];
const REPLACED: usize = 3;
/// Time from one replacement to the next.
const REPLACEMENT_GAP: Duration = Duration::from_millis(800);
/// Time from the start of the first new server to the silence.
const SILENCE_DELAY: Duration = Duration::from_millis(400);
/// Time from the start of a new server to the removal of the old one's entry.
const OVERLAP: Duration = Duration::from_millis(100);
/// Time for which requests are sent after the last removal; the old servers serve for so long.
const OBSERVED_TIME: Duration = Duration::from_secs(5);
const CLIENTS_PER_NODE: usize = 2;
const WORK_TIME: Duration = Duration::from_millis(5);
const PROXY_INDEX: u8 = 2;
const OLD_INDEX: u8 = 41;
const NEW_INDEX: u8 = 51;
/// Late requests that the record shows one by one.
const MAX_SHOWN: usize = 5;

/// What clients and servers saw, with times in seconds of the record.
#[derive(Default)]
struct Observations {
    sent: HashMap<String, f64>,
    /// Runs: request, server and time of arrival.
    runs: Vec<(String, String, f64)>,
    answers: HashMap<String, usize>,
}

type Shared = Arc<Mutex<Observations>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Observations> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let routes = vec![route("/confirm/", "unsafe", 1_500, 2)];
    let store = start_store(&config(1, routes, plain_services()))?;
    let proxy = Proxy::start(&loopback_ip(PROXY_INDEX), store.address())?;
    let shared = Shared::default();
    let handler = run_handler(&shared, record);
    let mut old = Vec::new();
    for (index, zone) in SERVER_ZONES.iter().enumerate() {
        let index = OLD_INDEX + index as u8;
        old.push(PlainServer::start(index, zone, &store, Arc::clone(&handler))?);
    }
    let nodes = start_nodes(6, &proxy.address())?;
    let fronts: Vec<String> = nodes.iter().map(|node| node.front.clone()).collect();
    let (sent, answered) = client_handlers(&shared, record);
    let clients = Clients::start(
        &fronts,
        CLIENTS_PER_NODE,
        "POST",
        "/confirm/2f",
        &sent,
        &answered,
    );
    thread::sleep(Duration::from_secs(2));
    let start = |index: usize| {
        let own = Arc::clone(&handler);
        PlainServer::start(NEW_INDEX + index as u8, SERVER_ZONES[index], &store, own)
    };
    let mut new = vec![start(0)?];
    thread::sleep(SILENCE_DELAY);
    if has_trouble {
        proxy.silence();
        record.write("the open connections between the nodes and the store fall silent");
    }
    let silent_at = record.seconds();
    let mut gone_at = HashMap::new();
    for (index, server) in old.iter().take(REPLACED).enumerate() {
        if index > 0 {
            new.push(start(index)?);
        }
        thread::sleep(OVERLAP);
        server.leave();
        gone_at.insert(server.id.clone(), record.seconds());
        record.write(format!(
            "server {} has started, the entry of {} is removed",
            new[index].id, server.id
        ));
        thread::sleep(REPLACEMENT_GAP - OVERLAP);
    }
    thread::sleep(OBSERVED_TIME);
    drop(clients);
    for node in &nodes {
        for line in node.log_lines("entries_missing") {
            record.write(format!("log of a node: {line}"));
        }
    }
    let seen = lock(&shared);
    judge(&seen, &gone_at, silent_at, record)
}

/// Counts the requests that reached a server too late; requests of machines that aren't in touch are left out.
fn judge(
    seen: &Observations,
    gone_at: &HashMap<String, f64>,
    silent_at: f64,
    record: &Record,
) -> Result<Verdict, CaseError> {
    let answers: Vec<String> = seen
        .answers
        .iter()
        .map(|(answer, count)| format!("{answer}: {count}"))
        .collect();
    record.write(format!("answers: {}", answers.join(", ")));
    if !seen.answers.contains_key("200") {
        return Err("no request was answered".into());
    }
    let in_touch_at = silent_at + CONTACT_S;
    let mut late = Vec::new();
    for (attempt, server, reached) in &seen.runs {
        let (Some(gone), Some(sent)) = (gone_at.get(server), seen.sent.get(attempt)) else {
            continue;
        };
        if *sent > in_touch_at && *reached > gone + DRAIN_TIMEOUT_S {
            late.push((attempt, server, reached - gone, sent - silent_at));
        }
    }
    for (attempt, server, after, sent) in late.iter().take(MAX_SHOWN) {
        record.write(format!(
            "late: {attempt} reached {server} {after:.3} s after its removal, sent {sent:.3} s after the silence"
        ));
    }
    let latest = late.iter().map(|(_, _, after, _)| *after).fold(0.0, f64::max);
    record.write(format!(
        "{} of {} requests reached a server that had been gone for over {DRAIN_TIMEOUT_S} s, the last one {latest:.2} s after",
        late.len(),
        seen.runs.len()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn run_handler(shared: &Shared, record: &Record) -> RunHandler {
    let (shared, record) = (Arc::clone(shared), record.clone());
    Arc::new(move |id: &str, request: &Request| {
        let attempt = request.header("x-briarswitch-attempt-id").to_owned();
        let run = (attempt, id.to_owned(), record.seconds());
        lock(&shared).runs.push(run);
        thread::sleep(WORK_TIME);
        Response::new(200, "confirmed")
    })
}

fn client_handlers(shared: &Shared, record: &Record) -> (SendHandler, AnswerHandler) {
    let (own, record) = (Arc::clone(shared), record.clone());
    let sent = move |attempt: &str| {
        let at = record.seconds();
        lock(&own).sent.insert(attempt.to_owned(), at);
    };
    let own = Arc::clone(shared);
    let answered = move |_: &str, result: Result<u16, String>| {
        let answer = result.map_or_else(|error| error, |status| status.to_string());
        *lock(&own).answers.entry(answer).or_default() += 1;
    };
    (Arc::new(sent), Arc::new(answered))
}
