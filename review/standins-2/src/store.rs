//! Stand-in for the platform's store: rows, their changes, and transactions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer_all, listen, Request, Response};
use crate::json::{object, Json};

/// Table, part and key of a row.
type RowKey = (String, String, String);

struct Row {
    version: u64,
    /// Content in base64; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    is_silent: AtomicBool,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_silent: AtomicBool::new(false),
        });
        let served = Arc::clone(&shared);
        let address = listen(&format!("{ip}:0"), move |stream| {
            answer_all(stream, |request| served.answer(request));
        })?;
        Ok(Self { shared, address })
    }

    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Begins or ends an outage: a call that arrives or is held during it never gets a response.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Writes a row with an empty part, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(vec![(key, Some(value))]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(vec![(key, None)]);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, rows: Vec<(RowKey, Option<String>)>) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        for (key, value) in rows {
            state.rows.insert(key, Row { version, value });
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        self.hang_if_silent();
        let response = match request.path() {
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transact(request),
            "/rows-parts" => self.parts(request),
            _ => Response::new(404, ""),
        };
        self.hang_if_silent();
        response
    }

    /// Never returns during an outage; the connection stays open.
    fn hang_if_silent(&self) {
        if self.is_silent.load(Ordering::SeqCst) {
            loop {
                thread::park();
            }
        }
    }

    fn page(&self, state: &State, rows: Vec<Json>) -> Response {
        let page = object([
            ("rows", rows.into()),
            ("schema_version", state.version.into()),
            (
                "server_time_ms",
                (self.started.elapsed().as_millis() as u64).into(),
            ),
            ("more_pages", false.into()),
        ]);
        json_response(200, &page)
    }

    fn get(&self, request: &Request) -> Response {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let state = self.lock();
        let rows = state.rows.iter().filter(|((other, other_part, key), row)| {
            let is_in_range = key.as_str() >= from && (to.is_empty() || key.as_str() < to);
            other == table && other_part == part && is_in_range && row.value.is_some()
        });
        let rows = rows.map(|(key, row)| row_json(key, row)).collect();
        self.page(&state, rows)
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after_rev").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_timeout_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            let changed = state.rows.iter();
            let changed =
                changed.filter(|((other, _, _), row)| other == table && row.version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows = changed.into_iter();
                let rows = rows.map(|(key, row)| row_json(key, row)).collect();
                return self.page(&state, rows);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(transaction) = Json::parse(&request.body) else {
            return Response::new(400, "");
        };
        let key = |row: &Json| {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = Vec::new();
        for row in transaction.get("writes").list() {
            rows.push((key(row), Some(row.get("value").text().to_owned())));
        }
        for row in transaction.get("remove").list() {
            rows.push((key(row), None));
        }
        let is_forbidden = |table: &str| table == "op" || table == "servers";
        if rows.iter().any(|((table, _, _), _)| is_forbidden(table)) {
            return Response::new(403, "");
        }
        let state = self.lock();
        let has_failed = transaction.get("expect").list().iter().any(|row| {
            let expected = row.get("schema_version").number().unwrap_or(0.0) as u64;
            let held = state.rows.get(&key(row));
            held.map_or(0, |row| row.version) != expected
        });
        drop(state);
        if has_failed {
            return json_response(412, &object([("rows", Vec::new().into())]));
        }
        self.write(rows);
        json_response(
            200,
            &object([("schema_version", self.lock().version.into())]),
        )
    }

    fn parts(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let state = self.lock();
        let parts = state.rows.keys().filter(|(other, _, _)| other == table);
        let mut parts: Vec<String> = parts.map(|(_, part, _)| part.clone()).collect();
        parts.dedup();
        let parts: Vec<Json> = parts.into_iter().map(Json::from).collect();
        json_response(200, &object([("parts", parts.into())]))
    }
}

fn row_json((table, part, key): &RowKey, row: &Row) -> Json {
    let fields = [
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", key.as_str().into()),
        ("schema_version", row.version.into()),
    ];
    let Json::Object(mut fields) = object(fields) else {
        return Json::Null;
    };
    fields.push(match &row.value {
        Some(value) => ("value".to_owned(), value.as_str().into()),
        None => ("deleted".to_owned(), true.into()),
    });
    Json::Object(fields)
}

pub fn json_response(status: u16, body: &Json) -> Response {
    Response::new(status, body.to_string()).with("content-type", "application/json")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}
