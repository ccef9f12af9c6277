//! The platform in memory, as the fleet's traits show it; each node's way to it can be closed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction};
use briarswitch_core::target::{Membership, MembershipState, TargetChange, TargetRecord};
use briarswitch_core::traffic::TrafficConfig;
use briarswitch_fleet::ports::*;
use briarswitch_kernel::BootClock;
use futures::future::BoxFuture;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use indexmap::IndexMap;
use tokio::sync::Notify;

use super::{GROUP_SERVICE, MODEL};

const CONFIG_TABLE: &str = "config";
const TARGET_TABLE: &str = "targets";
const NODE_TABLE: &str = "nodes";
/// Table of the requests under which targets have ended.
pub const SUSPECT_TABLE: &str = "suspects";

#[derive(Default)]
struct StoreState {
    version: u64,
    tables: IndexMap<String, IndexMap<String, Vec<u8>>>,
    history: Vec<(u64, String, FeedRow)>,
    records: IndexMap<TargetId, TargetRecord>,
    nodes: IndexMap<NodeId, NodeEntry>,
    suspects: IndexMap<String, SuspectRow>,
}

struct StoreShared {
    book: TrafficConfig,
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A platform; clones share its state.
#[derive(Clone)]
pub struct PlatformStub {
    shared: Arc<StoreShared>,
}

impl PlatformStub {
    pub fn open(book: TrafficConfig) -> Self {
        let stub = Self {
            shared: Arc::new(StoreShared {
                book,
                state: Mutex::default(),
                changed: Notify::new(),
            }),
        };
        stub.put(CONFIG_TABLE, "book", Some(Vec::new()));
        stub
    }

    /// Returns a node's way to the platform.
    pub fn door(&self, node: &str) -> Arc<NodeDoor> {
        Arc::new(NodeDoor {
            node: node.to_owned(),
            platform: self.clone(),
            is_closed: AtomicBool::new(false),
            is_alone: AtomicBool::new(false),
        })
    }

    /// Lists a target of a service; one of engines heads an open group of its own.
    pub fn list_target(&self, service: &str, id: &str, address: &str, domain: &str) {
        let is_group = service == GROUP_SERVICE;
        let membership = Membership {
            group: format!("g-{id}"),
            epoch: 1,
            rank: 0,
            state: MembershipState::Open,
        };
        let record = TargetRecord {
            id: id.to_owned(),
            incarnation: 0,
            service: service.to_owned(),
            address: address.to_owned(),
            zone: "z1".to_owned(),
            is_draining: false,
            slots: 8,
            domain: domain.to_owned(),
            staged: Vec::new(),
            models: if is_group {
                vec![MODEL.to_owned()]
            } else {
                Vec::new()
            },
            membership: is_group.then_some(membership),
        };
        self.lock().records.insert(id.to_owned(), record);
        self.put(TARGET_TABLE, id, Some(Vec::new()));
    }

    /// Takes a target out of the list.
    pub fn drop_target(&self, id: &str) {
        self.put(TARGET_TABLE, id, None);
    }

    /// Writes or drops a row.
    pub fn put(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.lock();
        state.version += 1;
        let rows = state.tables.entry(table.to_owned()).or_default();
        match &value {
            Some(value) => rows.insert(key.to_owned(), value.clone()),
            None => rows.shift_remove(key),
        };
        let row = FeedRow {
            key: key.to_owned(),
            value,
        };
        let version = state.version;
        state.history.push((version, table.to_owned(), row));
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let rows = state.tables.get(table).into_iter().flatten();
        rows.map(|(key, _)| key.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn whole(&self, table: &str) -> FeedResponse {
        let state = self.lock();
        let rows = state.tables.get(table).into_iter().flatten();
        FeedResponse {
            mark: mark_of(state.version),
            rows: rows
                .map(|(key, value)| FeedRow {
                    key: key.clone(),
                    value: Some(value.clone()),
                })
                .collect(),
            age: Duration::ZERO,
            is_snapshot: true,
        }
    }

    fn after(&self, table: &str, mark: FeedMark) -> FeedResponse {
        let state = self.lock();
        let later = state
            .history
            .iter()
            .filter(|(version, of, _)| *version > mark.version && of == table);
        FeedResponse {
            mark: mark_of(state.version),
            rows: later.map(|(_, _, row)| row.clone()).collect(),
            age: Duration::ZERO,
            is_snapshot: false,
        }
    }

    async fn feed(&self, question: FeedRequest) -> FeedResponse {
        let Some(mark) = question.mark else {
            return self.whole(&question.table);
        };
        let end = tokio::time::Instant::now() + question.wait;
        loop {
            let changed = self.shared.changed.notified();
            let answer = self.after(&question.table, mark);
            if !answer.rows.is_empty() || tokio::time::timeout_at(end, changed).await.is_err() {
                return answer;
            }
        }
    }
}

fn mark_of(version: u64) -> FeedMark {
    FeedMark {
        version,
        ..FeedMark::default()
    }
}

/// One node's way to the platform.
pub struct NodeDoor {
    pub node: NodeId,
    platform: PlatformStub,
    is_closed: AtomicBool,
    is_alone: AtomicBool,
}

impl NodeDoor {
    /// Turns the node away, or no more.
    pub fn close(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::SeqCst);
    }

    /// Hides the node and all others from each other; to be set before it starts.
    pub fn hide(&self) {
        self.is_alone.store(true, Ordering::SeqCst);
    }

    /// Returns the platform as this node sees it.
    pub fn platform(self: &Arc<Self>) -> FleetPlatform {
        FleetPlatform {
            feed: Arc::new(DoorFeed(Arc::clone(self))),
            clock: Arc::new(StubClock),
            config: Arc::new(StubConfig(self.platform.clone())),
            directory: Arc::new(StubDirectory(self.platform.clone())),
            nodes: Arc::new(DoorNodes(Arc::clone(self))),
            targets: Arc::new(StubControl),
            suspects: Arc::new(DoorSuspects(Arc::clone(self))),
            protocol: Arc::new(StubDialect),
        }
    }

    fn pass(&self) -> Result<(), SourceError> {
        if self.is_closed.load(Ordering::SeqCst) {
            return Err(SourceError::Unavailable("turned away".to_owned()));
        }
        Ok(())
    }
}

struct DoorFeed(Arc<NodeDoor>);

impl FeedSource for DoorFeed {
    fn changes(&self, question: FeedRequest) -> SourceFuture<'static, FeedResponse> {
        let door = Arc::clone(&self.0);
        Box::pin(async move {
            door.pass()?;
            let answer = door.platform.feed(question).await;
            door.pass()?;
            Ok(answer)
        })
    }
}

struct StubClock;

impl StoreClock for StubClock {
    fn millis(&self) -> u64 {
        BootClock::now().as_millis() as u64
    }
}

struct StubConfig(PlatformStub);

impl ConfigSource for StubConfig {
    fn table(&self) -> &'static str {
        CONFIG_TABLE
    }

    fn decode(&self, answer: &FeedResponse) -> Result<ConfigUpdate, SourceError> {
        let book = &self.0.shared.book;
        Ok(ConfigUpdate {
            mark: answer.mark,
            config: (!answer.rows.is_empty()).then(|| Box::new(book.clone())),
            is_newest: answer.is_up_to_date(),
            age: answer.age,
        })
    }
}

struct StubDirectory(PlatformStub);

impl TargetDirectory for StubDirectory {
    fn table(&self) -> &'static str {
        TARGET_TABLE
    }

    fn decode(&self, answer: &FeedResponse) -> DirectoryUpdate {
        let state = self.0.lock();
        let changes = answer.rows.iter().map(|row| match &row.value {
            Some(_) => TargetChange::Put(Box::new(state.records[&row.key].clone())),
            None => TargetChange::Removed(row.key.clone()),
        });
        let changes = changes.collect();
        if answer.is_snapshot {
            DirectoryUpdate::Snapshot(answer.mark, changes)
        } else {
            DirectoryUpdate::Changes(answer.mark, changes)
        }
    }
}

struct DoorNodes(Arc<NodeDoor>);

impl NodeRegistry for DoorNodes {
    fn register(&self, entry: NodeEntry) -> SourceFuture<'_, ()> {
        Box::pin(async move {
            self.0.pass()?;
            if !self.0.is_alone.load(Ordering::SeqCst) {
                let platform = &self.0.platform;
                let node = entry.node.clone();
                platform.lock().nodes.insert(node.clone(), entry);
                platform.put(NODE_TABLE, &node, Some(Vec::new()));
            }
            Ok(())
        })
    }

    fn poll_entries(&self, mark: Option<FeedMark>, wait: Duration) -> SourceFuture<'_, NodeUpdate> {
        Box::pin(async move {
            self.0.pass()?;
            let table = NODE_TABLE.to_owned();
            let answer = self
                .0
                .platform
                .feed(FeedRequest { table, mark, wait })
                .await;
            let is_alone = self.0.is_alone.load(Ordering::SeqCst);
            let state = self.0.platform.lock();
            let rows = answer.rows.iter().filter(|_| !is_alone);
            let entries = rows.filter_map(|row| state.nodes.get(&row.key).cloned());
            Ok(NodeUpdate {
                mark: answer.mark,
                nodes: entries.collect(),
            })
        })
    }
}

/// Rows of suspects by their keys' texts, since the store knows only bytes.
struct DoorSuspects(Arc<NodeDoor>);

impl SuspectRegistry for DoorSuspects {
    fn table(&self) -> &'static str {
        SUSPECT_TABLE
    }

    fn decode(&self, answer: &FeedResponse) -> Vec<SuspectChange> {
        let state = self.0.platform.lock();
        let rows = answer.rows.iter().filter_map(|row| {
            let held = state.suspects.get(&row.key).copied()?;
            Some(match row.value {
                Some(_) => SuspectChange::Put(held),
                None => SuspectChange::Removed(held.key()),
            })
        });
        rows.collect()
    }

    fn write(&self, rows: Vec<SuspectRow>, dropped: Vec<SuspectKey>) -> SourceFuture<'_, ()> {
        Box::pin(async move {
            self.0.pass()?;
            let platform = &self.0.platform;
            for row in rows {
                let key = format!("{:?}", row.key());
                platform.lock().suspects.insert(key.clone(), row);
                platform.put(SUSPECT_TABLE, &key, Some(Vec::new()));
            }
            for key in dropped {
                platform.put(SUSPECT_TABLE, &format!("{key:?}"), None);
            }
            Ok(())
        })
    }
}

struct StubControl;

impl TargetControl for StubControl {
    fn probe<'a>(
        &'a self,
        address: &'a str,
        limit: Duration,
    ) -> BoxFuture<'a, Result<(), ReportError>> {
        Box::pin(async move {
            let opening = tokio::net::TcpStream::connect(address);
            match tokio::time::timeout(limit, opening).await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(_)) => Err(ReportError::Refused),
                Err(_) => Err(ReportError::NoResponse),
            }
        })
    }

    fn report<'a>(
        &'a self,
        _: &'a TargetId,
        address: &'a str,
        limit: Duration,
    ) -> BoxFuture<'a, Result<TargetReport, ReportError>> {
        Box::pin(async move {
            self.probe(address, limit).await?;
            Err(ReportError::Unreadable)
        })
    }

    fn order<'a>(
        &'a self,
        _: &'a TargetId,
        _: &'a str,
        _: u64,
        _: &'a TargetAction,
        _: Duration,
    ) -> BoxFuture<'a, OrderResult> {
        Box::pin(async { OrderResult::Refused })
    }
}

struct StubDialect;

const ATTEMPT: HeaderName = HeaderName::from_static("attempt");

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl CallerProtocol for StubDialect {
    fn parse_request(&self, head: &Parts) -> CallerRequest {
        CallerRequest {
            attempt: text(&head.headers, "attempt").unwrap_or_default(),
            host: text(&head.headers, "host").unwrap_or_default(),
            key: text(&head.headers, "key"),
            model: text(&head.headers, "model"),
            prompt_tokens: 10,
            last_event: text(&head.headers, "last-event"),
            ..CallerRequest::default()
        }
    }

    fn target_headers(&self, head: &HeaderMap, mark: TargetRequestInfo<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let attempt = text(head, "attempt").unwrap_or_default();
        let fields = [
            ("attempt", Some(attempt.as_str())),
            ("target", Some(mark.target.as_str())),
            ("last-event", mark.last_event),
        ];
        for (name, value) in fields {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        headers
    }

    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo {
        ResponseInfo {
            attempt: text(headers, "attempt"),
            is_signed: headers.contains_key("signed"),
            is_not_run: status == StatusCode::SERVICE_UNAVAILABLE,
            is_other_incarnation: status == StatusCode::MISDIRECTED_REQUEST,
            ..ResponseInfo::default()
        }
    }

    fn caller_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn add_attempt_id(&self, headers: &mut HeaderMap, attempt: &str) {
        if let Ok(value) = HeaderValue::from_str(attempt) {
            headers.insert(ATTEMPT, value);
        }
    }
}
