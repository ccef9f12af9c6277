//! The platform: table, object store, list of machines and weight store in one process.

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

const BODY_LIMIT: usize = 64 << 20;

/// Ways in which the platform can be made to fail.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is answered with an error and does nothing.
    pub is_down: bool,
    /// Time before every answer, in milliseconds.
    pub delay_ms: u64,
    /// Transactions that take effect although their answer is lost.
    pub lose_answers: u32,
    /// Transactions whose answer is lost and that do not take effect.
    pub lose_requests: u32,
    /// Time by which the list of machines lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Calls a second before calls are refused; zero for no limit.
    pub calls_per_second: u32,
}

/// One transaction that took effect.
#[derive(Clone, Debug, Serialize)]
pub struct WriteRecord {
    /// Time since the stand-in was started.
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
    lists: VecDeque<(Instant, Vec<VmDoc>)>,
    faults: PlatformFaults,
    history: Vec<WriteRecord>,
    reads: u64,
    writes: u64,
    window: Option<(Instant, u32)>,
    permits: Option<usize>,
}

struct PlatformHandler {
    state: Arc<Mutex<PlatformState>>,
    started: Instant,
}

/// A running platform.
pub struct PlatformStandin {
    host: StandinHost,
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformStandin {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address cannot be had.
    pub fn spawn(address: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let handler = PlatformHandler {
            state: Arc::clone(&state),
            started: Instant::now(),
        };
        let host = StandinHost::spawn(address, Arc::new(handler))?;
        Ok(Self { host, state })
    }

    /// Returns the address of every service.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes the faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Lists a machine, or changes how it is listed.
    pub fn list_vm(&self, vm: VmDoc) {
        let mut state = self.lock();
        state.vms.insert(vm.id.clone(), vm);
        state.note_list();
    }

    /// Takes a machine off the list.
    pub fn remove_vm(&self, id: &str) {
        let mut state = self.lock();
        state.vms.remove(id);
        state.note_list();
    }

    /// Marks a machine as leaving.
    pub fn mark_leaving(&self, id: &str) {
        let mut state = self.lock();
        if let Some(vm) = state.vms.get_mut(id) {
            vm.leaving = true;
        }
        state.note_list();
    }

    /// Limits the loads granted from now on; `None` grants all.
    pub fn limit_loads(&self, loads: Option<usize>) {
        self.lock().permits = loads;
    }

    /// Returns every transaction that took effect, in order.
    pub fn history(&self) -> Vec<WriteRecord> {
        self.lock().history.clone()
    }

    /// Returns the rows whose key begins with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<RowDoc> {
        self.lock().scan(prefix)
    }

    /// Returns how many reads and writes were asked for.
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
        let failing = request.checks.iter().find(|check| {
            let found = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            found != check.version
        });
        if let Some(check) = failing {
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

    fn note_list(&mut self) {
        let list = self.vms.values().cloned().collect();
        self.lists.push_back((Instant::now(), list));
    }

    fn list(&mut self, zone: &str) -> VmListDoc {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let now = Instant::now();
        while self.lists.len() > 1 && self.lists[1].0 + lag <= now {
            self.lists.pop_front();
        }
        let shown = self.lists.front().filter(|(at, _)| *at + lag <= now);
        let vms = shown.map(|(_, list)| list.clone()).unwrap_or_default();
        VmListDoc {
            vms: vms.into_iter().filter(|vm| vm.zone == zone).collect(),
        }
    }

    fn is_over_rate(&mut self) -> bool {
        let limit = self.faults.calls_per_second;
        let now = Instant::now();
        let (start, count) = self.window.unwrap_or((now, 0));
        let window = if now - start >= Duration::from_secs(1) {
            (now, 1)
        } else {
            (start, count + 1)
        };
        self.window = Some(window);
        limit > 0 && window.1 > limit
    }

    /// Takes one from a counter of faults.
    fn use_up(counter: &mut u32) -> bool {
        let is_left = *counter > 0;
        *counter = counter.saturating_sub(1);
        is_left
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let path = head.uri.path().to_owned();
            let Ok(bytes) = read_body(body, BODY_LIMIT).await else {
                return reply_text(StatusCode::BAD_REQUEST, "broken body");
            };
            if path.starts_with("/admin/") {
                return self.admin(&path, &bytes);
            }
            let delay = self.lock().faults.delay_ms;
            if delay > 0 {
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
            self.answer(&head.method, &path, bytes)
        })
    }
}

impl PlatformHandler {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("platform state")
    }

    fn answer(&self, method: &Method, path: &str, bytes: Bytes) -> Response {
        let mut state = self.lock();
        if state.faults.is_down {
            return reply_text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        if state.is_over_rate() {
            return reply_text(StatusCode::TOO_MANY_REQUESTS, "too many calls");
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return answer_object(&mut state, method, name, bytes);
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
                Ok(request) => answer_transact(&mut state, request, self.started.elapsed()),
                Err(error) => reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/weights/permits" => match serde_json::from_slice::<LoadPermitRequest>(&bytes) {
                Ok(request) => {
                    let granted = state
                        .permits
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
                    state.note_list();
                }
                Err(error) => return reply_text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => return reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
        reply_json(StatusCode::OK, &())
    }
}

fn answer_transact(state: &mut PlatformState, request: TransactRequest, at: Duration) -> Response {
    if PlatformState::use_up(&mut state.faults.lose_requests) {
        return reply_text(StatusCode::GATEWAY_TIMEOUT, "no answer");
    }
    let reply = state.transact(request, at);
    if PlatformState::use_up(&mut state.faults.lose_answers) {
        return reply_text(StatusCode::GATEWAY_TIMEOUT, "no answer");
    }
    reply_json(StatusCode::OK, &reply)
}

fn answer_object(state: &mut PlatformState, method: &Method, name: &str, bytes: Bytes) -> Response {
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
