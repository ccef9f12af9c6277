//! Tracks requests suspected of crashing targets, for nodes whose settings list the peers and the
//! platform's endpoints.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarswitch_core::fingerprint::SuspectFingerprint;
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

/// Key prefix of the rows.
const KEY_PREFIX: &str = "suspect/";

/// Timestamps crashes with the wall clock.
///
/// A crash counts for ten minutes, so clock differences of seconds between nodes do not matter.
struct WallClock;

impl StoreClock for WallClock {
    fn millis(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Stores one row in the table per crash of a target and suspected request.
struct TableSuspectRegistry {
    shared: Arc<NodeShared>,
}

impl TableSuspectRegistry {
    /// Reads all rows as a snapshot.
    async fn read(&self) -> Result<FeedResponse, SourceError> {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![KEY_PREFIX.to_owned()],
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

impl SuspectRegistry for TableSuspectRegistry {
    fn table(&self) -> &'static str {
        KEY_PREFIX
    }

    fn decode(&self, response: &FeedResponse) -> Vec<SuspectChange> {
        response.rows.iter().filter_map(parse_change).collect()
    }

    fn write(&self, rows: Vec<SuspectRow>, dropped: Vec<SuspectKey>) -> SourceFuture<'_, ()> {
        Box::pin(async move {
            let builder = TransactBuilder::default();
            let builder = rows.iter().fold(builder, |builder, row| {
                let SuspectRecord { key, value } = SuspectRecord::from(row);
                builder.put(format!("{KEY_PREFIX}{key}"), &value)
            });
            let builder = dropped.iter().fold(builder, |builder, key| {
                builder.delete(format!("{KEY_PREFIX}{}", format_key(key)))
            });
            let written = self.shared.platform.table.transact(builder.build()).await;
            written.map(|_| ()).map_err(|error| source_error(&error))
        })
    }
}

fn source_error(error: &StoreError) -> SourceError {
    SourceError::Unavailable(error.to_string())
}

fn parse_change(row: &FeedRow) -> Option<SuspectChange> {
    let key = row.key.strip_prefix(KEY_PREFIX)?.to_owned();
    let value = serde_json::from_slice::<SuspectValue>(row.value.as_ref()?).ok();
    let parsed = value.and_then(|value| SuspectRow::try_from(SuspectRecord { key, value }).ok());
    if parsed.is_none() {
        log::warn!(row = row.key.as_str(); "suspect_unreadable");
    }
    parsed.map(SuspectChange::Put)
}

/// Suspect ledger of this node, with its table storage and its probes of targets.
pub struct NodeSuspectHost {
    shared: Arc<NodeShared>,
    ledger: SuspectLedger,
    registry: TableSuspectRegistry,
    watch: Mailbox<WatchMessage>,
    crashes_seen: AtomicU64,
}

impl NodeSuspectHost {
    /// Creates a host with an empty ledger that notifies `watch` of crashed targets.
    pub fn new(shared: Arc<NodeShared>, watch: Mailbox<WatchMessage>) -> Arc<Self> {
        Arc::new(Self {
            ledger: SuspectLedger::new(Arc::new(WallClock)),
            registry: TableSuspectRegistry {
                shared: Arc::clone(&shared),
            },
            shared,
            watch,
            crashes_seen: AtomicU64::new(0),
        })
    }
}

impl SuspectHost for NodeSuspectHost {
    fn suspects(&self) -> &SuspectLedger {
        &self.ledger
    }

    fn registry(&self) -> &dyn SuspectRegistry {
        &self.registry
    }

    /// Reads a snapshot of the table at each call, at most once per `control.config_poll_ms`.
    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        _wait: Duration,
    ) -> SourceFuture<'static, FeedResponse> {
        Box::pin(async move {
            if mark.is_some() {
                tokio::time::sleep(self.shared.settings.control.config_poll).await;
            }
            self.registry.read().await
        })
    }

    /// Returns no other holders: each node writes its observations to the table, which all nodes
    /// poll.
    fn holders_of(&self, _fingerprint: &SuspectFingerprint, _count: usize) -> KeyHolders {
        KeyHolders {
            others: Vec::new(),
            own_rank: Some(0),
        }
    }

    fn probe_once<'a>(
        &'a self,
        run: &'a RunInfo,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        Box::pin(async move {
            match tokio::time::timeout(limit, TcpStream::connect(&run.address)).await {
                Ok(Ok(_)) => Ok(Liveness::Listening),
                Ok(Err(_)) => Err(ReportError::Refused),
                Err(_) => Err(ReportError::NoResponse),
            }
        })
    }

    /// Returns whether the VM list has this incarnation. VMs that are not on the list count as
    /// listed, because the list covers only this zone.
    fn is_listed(&self, incarnation: &TargetIncarnation) -> bool {
        let fleet = self.shared.fleet.read();
        let vm = fleet.vms.get(&incarnation.id);
        vm.is_none_or(|vm| vm.incarnation == incarnation.incarnation)
    }

    fn crash_count(&self) -> CrashCount {
        CrashCount {
            crashes: self.crashes_seen.load(Ordering::Relaxed),
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
            self.crashes_seen.fetch_add(1, Ordering::Relaxed);
        }
    }
}
