//! The memory of requests under which targets have ended, where settings name everything.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::prelude::*;
use briarswitch_fleet::ports::{
    FeedMark, FeedResponse, FeedRow, ReportError, SourceError, SourceFuture, StoreClock,
    SuspectChange, SuspectKey, SuspectRegistry, SuspectRow,
};
use briarswitch_fleet::run_info::{RunInfo, TargetIncarnation};
use briarswitch_fleet::suspect_host::{CrashCount, Liveness, SuspectEvent, SuspectHost};
use briarswitch_fleet::suspect_ledger::SuspectLedger;
use briarswitch_fleet::suspect_record::{format_key, SuspectRecord, SuspectValue};
use briarswitch_kernel::{BootClock, Mailbox};
use briarswitch_membership::KeyHolders;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::platform::ReadRequest;
use futures::future::BoxFuture;
use tokio::net::TcpStream;

use crate::shared::NodeShared;
use crate::watch::WatchMessage;

/// Beginning of the keys of the rows.
const PREFIX: &str = "suspect/";

/// Dates ends by the time of day, which differs little between nodes.
///
/// An end counts for ten minutes; seconds by which clocks differ do not matter.
struct DayClock;

impl StoreClock for DayClock {
    fn millis(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Keeps a row for each end of a target by each request.
struct TableSuspects {
    shared: Arc<NodeShared>,
}

impl TableSuspects {
    /// Reads all rows.
    async fn read(&self) -> Result<FeedResponse, SourceError> {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![PREFIX.to_owned()],
        };
        let read = self.shared.platform.table.read(request).await;
        let rows = read.map_err(|error| source_error(&error))?.rows.into_iter();
        let rows = rows.map(|row| FeedRow {
            key: row.key,
            value: Some(row.value.to_string().into_bytes()),
        });
        Ok(FeedResponse {
            rows: rows.collect(),
            is_snapshot: true,
            ..FeedResponse::default()
        })
    }
}

impl SuspectRegistry for TableSuspects {
    fn table(&self) -> &'static str {
        PREFIX
    }

    fn decode(&self, answer: &FeedResponse) -> Vec<SuspectChange> {
        answer.rows.iter().filter_map(change).collect()
    }

    fn write(&self, rows: Vec<SuspectRow>, dropped: Vec<SuspectKey>) -> SourceFuture<'_, ()> {
        Box::pin(async move {
            let builder = TransactBuilder::default();
            let builder = rows.iter().fold(builder, |builder, row| {
                let SuspectRecord { key, value } = SuspectRecord::from(row);
                builder.put(format!("{PREFIX}{key}"), &value)
            });
            let builder = dropped.iter().fold(builder, |builder, key| {
                builder.delete(format!("{PREFIX}{}", format_key(key)))
            });
            let written = self.shared.platform.table.transact(builder.build()).await;
            written.map(|_| ()).map_err(|error| source_error(&error))
        })
    }
}

fn source_error(error: &StoreError) -> SourceError {
    SourceError::Unavailable(error.to_string())
}

fn change(row: &FeedRow) -> Option<SuspectChange> {
    let key = row.key.strip_prefix(PREFIX)?.to_owned();
    let value = serde_json::from_slice::<SuspectValue>(row.value.as_ref()?).ok();
    let row_read = value.and_then(|value| SuspectRow::try_from(SuspectRecord { key, value }).ok());
    if row_read.is_none() {
        log::warn!(row = row.key.as_str(); "suspect_unreadable");
    }
    row_read.map(SuspectChange::Put)
}

/// What this node remembers, and how it finds out whether targets live.
pub struct NodeSuspects {
    shared: Arc<NodeShared>,
    board: SuspectLedger,
    rows: TableSuspects,
    watch: Mailbox<WatchMessage>,
    ends_seen: AtomicU64,
}

impl NodeSuspects {
    /// Opens a memory of nothing that tells `watch` of targets that have ended.
    pub fn open(shared: Arc<NodeShared>, watch: Mailbox<WatchMessage>) -> Arc<Self> {
        Arc::new(Self {
            board: SuspectLedger::new(Arc::new(DayClock)),
            rows: TableSuspects {
                shared: Arc::clone(&shared),
            },
            shared,
            watch,
            ends_seen: AtomicU64::new(0),
        })
    }
}

impl SuspectHost for NodeSuspects {
    fn suspects(&self) -> &SuspectLedger {
        &self.board
    }

    fn registry(&self) -> &dyn SuspectRegistry {
        &self.rows
    }

    /// Reads the whole table each time, as often as the configuration is looked at.
    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        _wait: Duration,
    ) -> SourceFuture<'static, FeedResponse> {
        Box::pin(async move {
            if mark.is_some() {
                tokio::time::sleep(self.shared.settings.control.config_poll).await;
            }
            self.rows.read().await
        })
    }

    /// Names nobody: each node writes what it sees to the table, which all follow.
    fn holders_of(&self, _print: &RequestFingerprint, _count: usize) -> KeyHolders {
        KeyHolders {
            others: Vec::new(),
            own_rank: Some(0),
        }
    }

    fn probe<'a>(
        &'a self,
        facts: &'a RunInfo,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        Box::pin(async move {
            match tokio::time::timeout(limit, TcpStream::connect(&facts.address)).await {
                Ok(Ok(_)) => Ok(Liveness::Listening),
                Ok(Err(_)) => Err(ReportError::Refused),
                Err(_) => Err(ReportError::NoResponse),
            }
        })
    }

    /// Returns whether the list names a life; of machines of other zones it says nothing.
    fn is_listed(&self, life: &TargetIncarnation) -> bool {
        let fleet = self.shared.fleet.read();
        let vm = fleet.vms.get(&life.id);
        vm.is_none_or(|vm| vm.incarnation == life.incarnation)
    }

    fn crash_count(&self) -> CrashCount {
        CrashCount {
            crashes: self.ends_seen.load(Ordering::Relaxed),
            targets: self.shared.fleet.read().vms.len(),
        }
    }

    fn exclude_target(&self, target: &VmId, _until: Moment) {
        let failed = WatchMessage::Failed {
            vm: target.clone(),
            at: BootClock::now(),
        };
        if let Err(error) = self.watch.post(failed) {
            log::warn!(vm = target.as_str(), error:% = error; "end_untold");
        }
    }

    fn count(&self, event: SuspectEvent) {
        if matches!(event, SuspectEvent::TargetCrashed(_)) {
            self.ends_seen.fetch_add(1, Ordering::Relaxed);
        }
    }
}
