//! Fake platform: table, object store, VM list and weight store behind one listener.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use briarswitch_http::{
    read_body, reply_bytes, reply_json, reply_text, Handler, Request, Response,
};
use briarswitch_wire::platform::{
    LoadPermitReply, LoadPermitRequest, ReadReply, ReadRequest, RowDoc, TransactReply,
    TransactRequest, VmDoc, VmListDoc,
};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::host::StandinHost;

const MAX_BODY_BYTES: usize = 64 << 20;

/// Faults that can be injected into the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call fails without an effect.
    pub is_down: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Number of transactions to commit without returning their result.
    pub lose_answers: u32,
    /// Number of transactions to drop: they neither commit nor return a result.
    pub lose_requests: u32,
    /// End of the keys whose writes are refused; empty for none.
    pub refused_keys: String,
    /// Delay until a change appears in the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Rate limit for calls; zero for no limit.
    pub calls_per_second: u32,
}

/// A committed transaction.
#[derive(Clone, Debug, Serialize)]
pub struct WriteRecord {
    /// Time since the platform was started.
    pub at: Duration,
    /// Rows written, with their new values.
    pub rows: Vec<RowDoc>,
    /// Keys deleted.
    pub deleted: Vec<String>,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, (u64, Value)>,
    version: u64,
    objects: HashMap<String, Bytes>,
    vms: BTreeMap<String, VmDoc>,
    list_history: VecDeque<(Instant, Vec<VmDoc>)>,
    faults: PlatformFaults,
    history: Vec<WriteRecord>,
    reads: u64,
    writes: u64,
    /// Start of the current one-second window of the rate limit, and the calls in it.
    rate_window: Option<(Instant, u32)>,
    load_permits: Option<usize>,
}

struct PlatformHandler {
    state: Arc<Mutex<PlatformState>>,
    started: Instant,
}

/// A running fake platform.
pub struct PlatformStandin {
    host: StandinHost,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformStandin {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let handler = PlatformHandler {
            state: Arc::clone(&state),
            started: Instant::now(),
        };
        let host = StandinHost::spawn(address, Arc::new(handler))?;
        Ok(Self { host, state })
    }

    /// Returns the address, which is the same for all services.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Adds a machine to the list, or replaces its entry.
    pub fn list_vm(&self, vm: VmDoc) {
        let mut state = self.lock();
        state.vms.insert(vm.id.clone(), vm);
        state.record_list();
    }

    /// Removes a machine from the list.
    pub fn remove_vm(&self, id: &str) {
        let mut state = self.lock();
        state.vms.remove(id);
        state.record_list();
    }

    /// Marks a machine as leaving.
    pub fn mark_leaving(&self, id: &str) {
        let mut state = self.lock();
        if let Some(vm) = state.vms.get_mut(id) {
            vm.leaving = true;
        }
        state.record_list();
    }

    /// Limits the loads granted per request from now on; `None` removes the limit.
    pub fn limit_loads(&self, loads: Option<usize>) {
        self.lock().load_permits = loads;
    }

    /// Returns all committed transactions, in order.
    pub fn history(&self) -> Vec<WriteRecord> {
        self.lock().history.clone()
    }

    /// Writes a row as another program would; the history does not record it.
    pub fn put_row(&self, key: &str, value: Value) {
        let mut state = self.lock();
        state.version += 1;
        let row = (state.version, value);
        state.rows.insert(key.to_owned(), row);
    }

    /// Returns the rows whose key starts with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<RowDoc> {
        self.lock().scan(prefix)
    }

    /// Returns the number of reads and writes received.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("platform state")
    }
}

impl PlatformState {
    fn scan(&self, prefix: &str) -> Vec<RowDoc> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| RowDoc {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    fn read(&mut self, request: &ReadRequest) -> ReadReply {
        self.reads += 1;
        let mut rows: Vec<RowDoc> = request
            .keys
            .iter()
            .filter_map(|key| {
                self.rows.get(key).map(|(version, value)| RowDoc {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                })
            })
            .collect();
        for prefix in &request.prefixes {
            rows.extend(self.scan(prefix));
        }
        rows.sort_by(|left, right| left.key.cmp(&right.key));
        ReadReply { rows }
    }

    fn transact(&mut self, request: TransactRequest, at: Duration) -> TransactReply {
        self.writes += 1;
        let failed = request.checks.iter().find(|check| {
            let found = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            found != check.version
        });
        if let Some(check) = failed {
            return TransactReply::Conflict {
                key: check.key.clone(),
            };
        }
        let mut versions = Vec::new();
        let mut record = WriteRecord {
            at,
            rows: Vec::new(),
            deleted: Vec::new(),
        };
        for put in request.puts {
            self.version += 1;
            versions.push(self.version);
            match put.value {
                Some(value) => {
                    record.rows.push(RowDoc {
                        key: put.key.clone(),
                        version: self.version,
                        value: value.clone(),
                    });
                    self.rows.insert(put.key, (self.version, value));
                }
                None => {
                    self.rows.remove(&put.key);
                    record.deleted.push(put.key);
                }
            }
        }
        self.history.push(record);
        TransactReply::Committed { versions }
    }

    fn record_list(&mut self) {
        let list = self.vms.values().cloned().collect();
        self.list_history.push_back((Instant::now(), list));
    }

    fn list(&mut self, zone: &str) -> VmListDoc {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let now = Instant::now();
        while self.list_history.len() > 1 && self.list_history[1].0 + lag <= now {
            self.list_history.pop_front();
        }
        let visible = self.list_history.front().filter(|(at, _)| *at + lag <= now);
        let vms = visible.map(|(_, list)| list.clone()).unwrap_or_default();
        VmListDoc {
            vms: vms.into_iter().filter(|vm| vm.zone == zone).collect(),
        }
    }

    fn is_over_rate(&mut self) -> bool {
        let limit = self.faults.calls_per_second;
        let now = Instant::now();
        let (start, count) = self.rate_window.unwrap_or((now, 0));
        let window = if now - start >= Duration::from_secs(1) {
            (now, 1)
        } else {
            (start, count + 1)
        };
        self.rate_window = Some(window);
        limit > 0 && window.1 > limit
    }

    /// Decrements a fault counter; returns whether it was above zero.
    fn take_fault(counter: &mut u32) -> bool {
        let is_pending = *counter > 0;
        *counter = counter.saturating_sub(1);
        is_pending
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let path = head.uri.path().to_owned();
            let Ok(bytes) = read_body(body, MAX_BODY_BYTES).await else {
                return reply_text(StatusCode::BAD_REQUEST, "incomplete or too large body");
            };
            if path.starts_with("/admin/") {
                return self.admin(&path, &bytes);
            }
            let delay = self.lock().faults.delay_ms;
            if delay > 0 {
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
            self.respond(&head.method, &path, bytes)
        })
    }
}

impl PlatformHandler {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("platform state")
    }

    fn respond(&self, method: &Method, path: &str, bytes: Bytes) -> Response {
        let mut state = self.lock();
        if state.faults.is_down {
            return reply_text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if state.is_over_rate() {
            return reply_text(StatusCode::TOO_MANY_REQUESTS, "too many calls");
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return respond_object(&mut state, method, name, bytes);
        }
        if let Some(zone) = path.strip_prefix("/vms/") {
            return reply_json(StatusCode::OK, &state.list(zone));
        }
        match path {
            "/table/read" => match serde_json::from_slice(&bytes) {
                Ok(request) => reply_json(StatusCode::OK, &state.read(&request)),
                Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/table/transact" => match serde_json::from_slice(&bytes) {
                Ok(request) => respond_transact(&mut state, request, self.started.elapsed()),
                Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/weights/permits" => match serde_json::from_slice::<LoadPermitRequest>(&bytes) {
                Ok(request) => {
                    let granted = state
                        .load_permits
                        .map_or(request.loads, |left| left.min(request.loads));
                    reply_json(StatusCode::OK, &LoadPermitReply { granted })
                }
                Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn admin(&self, path: &str, bytes: &[u8]) -> Response {
        let mut state = self.lock();
        match path {
            "/admin/faults" => match serde_json::from_slice(bytes) {
                Ok(faults) => state.faults = faults,
                Err(error) => return reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/admin/vms" => match serde_json::from_slice::<VmDoc>(bytes) {
                Ok(vm) => {
                    state.vms.insert(vm.id.clone(), vm);
                    state.record_list();
                }
                Err(error) => return reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => return reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
        reply_json(StatusCode::OK, &())
    }
}

fn respond_transact(state: &mut PlatformState, request: TransactRequest, at: Duration) -> Response {
    if PlatformState::take_fault(&mut state.faults.lose_requests) {
        return reply_text(StatusCode::GATEWAY_TIMEOUT, "no response");
    }
    let refused = state.faults.refused_keys.as_str();
    let mut puts = request.puts.iter();
    if !refused.is_empty() && puts.any(|put| put.key.ends_with(refused)) {
        return reply_text(StatusCode::BAD_REQUEST, "refused");
    }
    let reply = state.transact(request, at);
    if PlatformState::take_fault(&mut state.faults.lose_answers) {
        return reply_text(StatusCode::GATEWAY_TIMEOUT, "no response");
    }
    reply_json(StatusCode::OK, &reply)
}

fn respond_object(
    state: &mut PlatformState,
    method: &Method,
    name: &str,
    bytes: Bytes,
) -> Response {
    if *method == Method::PUT {
        state.writes += 1;
        state.objects.insert(name.to_owned(), bytes);
        return reply_json(StatusCode::OK, &());
    }
    state.reads += 1;
    match state.objects.get(name) {
        Some(bytes) => reply_bytes(StatusCode::OK, "application/octet-stream", bytes.clone()),
        None => reply_text(StatusCode::NOT_FOUND, "no such object"),
    }
}
