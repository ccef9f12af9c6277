//! Stand-in for the platform's metadata store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_message, Connection, Message};
use crate::json::{decode_base64, encode_base64, Json};

/// Time in which the store answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

struct Row {
    version: u64,
    /// `None` once the row was dropped.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator or a server does; returns when it was acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        self.write(table, "", key, Some(value.as_bytes().to_vec()))
    }

    /// Drops a row; returns when that was acknowledged.
    pub fn remove(&self, table: &str, key: &str) -> Instant {
        self.write(table, "", key, None)
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<Vec<u8>>) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = (table.to_owned(), part.to_owned(), key.to_owned());
        state.rows.insert(row, Row { version, value });
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = read_message(&mut connection.reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.respond(&request);
            let start = format!("HTTP/1.1 {status} -");
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if write_message(&mut connection.stream, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(key, _)| *key == name).next();
            found.map_or(String::new(), |(_, value)| value.replace("%00", "\0"))
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        match path {
            "/rows-get" => {
                let state = self.state.lock().unwrap();
                let (table, part, from) =
                    (parameter("table"), parameter("part"), parameter("from"));
                let rows = state.rows.iter().filter(|((t, p, k), row)| {
                    *t == table && *p == part && *k >= from && row.value.is_some()
                });
                (200, self.document(rows, state.version))
            }
            "/rows-feed" => {
                let wait = Duration::from_millis(number("wait_timeout_ms").min(30_000));
                (
                    200,
                    self.feed(&parameter("table"), number("after_rev"), wait),
                )
            }
            "/rows-tx" => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let is_new = |key: &RowKey, row: &Row| key.0 == table && row.version > after;
            let has_new = state.rows.iter().any(|(key, row)| is_new(key, row));
            let left = end.saturating_duration_since(Instant::now());
            if has_new || left.is_zero() {
                let mut rows: Vec<_> = state.rows.iter().filter(|(k, r)| is_new(k, r)).collect();
                rows.sort_by_key(|(_, row)| row.version);
                return self.document(rows.into_iter(), state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn document<'a>(
        &self,
        rows: impl Iterator<Item = (&'a RowKey, &'a Row)>,
        version: u64,
    ) -> String {
        let rows = rows.map(|((table, part, key), row)| {
            let value = match &row.value {
                Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
                None => "\"deleted\":true".to_owned(),
            };
            let version = row.version;
            format!(
                "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\
                 \"schema_version\":{version}}}"
            )
        });
        let rows: Vec<String> = rows.collect();
        let time = 1_000_000 + self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"schema_version\":{version},\"server_time_ms\":{time},\
             \"more_pages\":false}}",
            rows.join(",")
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(doc) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let entries = || {
            doc.get("writes")
                .list()
                .iter()
                .chain(doc.get("remove").list())
        };
        if entries().any(|entry| ["op", "servers"].contains(&entry.get("table").text())) {
            return (403, "{}".to_owned());
        }
        for entry in entries() {
            let value = entry.get("value");
            let value = (*value != Json::Null).then(|| decode_base64(value.text()));
            let text = |name: &str| entry.get(name).text().to_owned();
            self.write(&text("table"), &text("part"), &text("key"), value);
        }
        let state = self.state.lock().unwrap();
        (200, self.document(std::iter::empty(), state.version))
    }
}
