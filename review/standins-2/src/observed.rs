//! What clients and servers see, and the check of the rule on servers that have gone.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::client::Clients;
use crate::http::{Request, Response};
use crate::plain_server::RunHandler;
use crate::record::Record;
use crate::{CaseError, Verdict};

/// `contact_ms` of the small deployments, in seconds.
pub const CONTACT_S: f64 = 3.0;
/// `drain_timeout_ms` of the small deployments, in seconds.
const DRAIN_TIMEOUT_S: f64 = 2.0;
const CLIENTS_PER_NODE: usize = 2;
const WORK_TIME: Duration = Duration::from_millis(5);
/// Late requests that the record shows one by one.
const MAX_SHOWN: usize = 5;

/// A run of a request at a server.
struct Run {
    attempt: String,
    server: String,
    reached: f64,
}

/// All times are seconds of the record.
#[derive(Default)]
struct Observations {
    sent: HashMap<String, f64>,
    runs: Vec<Run>,
    answers: HashMap<String, usize>,
}

/// Collects what clients and servers see.
pub struct Observed {
    observations: Arc<Mutex<Observations>>,
    record: Record,
}

fn lock(shared: &Mutex<Observations>) -> MutexGuard<'_, Observations> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Observed {
    pub fn new(record: &Record) -> Self {
        Self {
            observations: Arc::default(),
            record: record.clone(),
        }
    }

    /// Returns the handler of servers that answer each request at once.
    pub fn run_handler(&self) -> RunHandler {
        let (shared, record) = (Arc::clone(&self.observations), self.record.clone());
        Arc::new(move |id: &str, request: &Request| {
            let run = Run {
                attempt: request.header("x-briarswitch-attempt-id").to_owned(),
                server: id.to_owned(),
                reached: record.seconds(),
            };
            lock(&shared).runs.push(run);
            thread::sleep(WORK_TIME);
            Response::new(200, "confirmed")
        })
    }

    /// Starts clients of an unsafe route at all these addresses.
    pub fn start_clients(&self, fronts: &[String], path: &'static str) -> Clients {
        let (shared, record) = (Arc::clone(&self.observations), self.record.clone());
        let sent = move |attempt: &str| {
            let at = record.seconds();
            lock(&shared).sent.insert(attempt.to_owned(), at);
        };
        let shared = Arc::clone(&self.observations);
        let answered = move |result: Result<u16, String>| {
            let answer = result.map_or_else(|error| error, |status| status.to_string());
            *lock(&shared).answers.entry(answer).or_default() += 1;
        };
        Clients::start(
            fronts,
            CLIENTS_PER_NODE,
            path,
            Arc::new(sent),
            Arc::new(answered),
        )
    }

    /// Counts the requests that reached a server too late after `gone_at`, of those that clients sent after
    /// `in_touch_at`.
    pub fn judge(
        &self,
        gone_at: &HashMap<String, f64>,
        in_touch_at: f64,
        record: &Record,
    ) -> Result<Verdict, CaseError> {
        let seen = lock(&self.observations);
        let answers = seen.answers.iter();
        let answers: Vec<String> = answers
            .map(|(answer, count)| format!("{answer}: {count}"))
            .collect();
        record.write(format!("answers: {}", answers.join(", ")));
        if !seen.answers.contains_key("200") {
            return Err("no request was answered".into());
        }
        let mut late = Vec::new();
        for run in &seen.runs {
            let (Some(gone), Some(sent)) = (gone_at.get(&run.server), seen.sent.get(&run.attempt))
            else {
                continue;
            };
            if *sent > in_touch_at && run.reached > gone + DRAIN_TIMEOUT_S {
                late.push((run, run.reached - gone, sent - in_touch_at));
            }
        }
        for (run, after, sent) in late.iter().take(MAX_SHOWN) {
            record.write(format!(
                "late: {} reached {} {after:.3} s after its removal, sent when all nodes had been in touch for {sent:.3} s",
                run.attempt, run.server
            ));
        }
        let latest = late.iter().map(|(_, after, _)| *after).fold(0.0, f64::max);
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
}
