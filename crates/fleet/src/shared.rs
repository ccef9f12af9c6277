//! What the control thread publishes and the traffic threads read.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::placement::NodeWeight;
use briarswitch_core::target::TargetBook;
use briarswitch_core::traffic::TrafficBook;
use briarswitch_kernel::{BootClock, Snapshot};
use briarswitch_membership::{LiveView, Membership, WorkSum};
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::costs::{CostKind, CostLedger};
use crate::demand::DemandMeter;
use crate::feed::FeedRelay;
use crate::gauge::GaugeBoard;
use crate::metrics::FleetMetrics;
use crate::ports::{FeedAnswer, FeedMark, FeedQuestion, FleetPlatform, NodeEntry, SourceError};
use crate::settings::FleetSettings;
use crate::suspect_ledger::SuspectLedger;
use crate::table::TargetTable;

/// Part of a key's validity after which it is no longer trusted.
///
/// The rest covers what passes between the check and the request's dispatch.
const KEY_MARGIN: f64 = 0.95;

/// Longest time to wait at the start for the registry of nodes.
const PEERS_TIME: Duration = Duration::from_secs(2);

/// Time after the start in which callers wait for the first configuration.
const FIRST_BOOK_TIME: Duration = Duration::from_millis(1_000);

/// How far a node is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum FleetPhase {
    /// It serves.
    Running = 0,
    /// It serves, and asks the balancer and callers to go elsewhere.
    Leaving = 1,
    /// It finishes what it has and turns new requests away.
    Draining = 2,
}

/// The directory as last read.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// Targets.
    pub book: TargetBook,
    /// Whether it was ever read.
    pub is_listed: bool,
}

/// A node's shared state.
pub struct FleetShared {
    /// Settings.
    pub settings: FleetSettings,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: FleetPlatform,
    /// Changes of the store's tables, asked for together with other nodes.
    pub feed: FeedRelay,
    /// Configuration in force.
    pub book: Snapshot<Option<TrafficBook>>,
    /// Directory.
    pub directory: Snapshot<DirectoryView>,
    /// Where requests may go.
    pub table: Snapshot<TargetTable>,
    /// Requests under which targets have ended.
    pub suspects: SuspectLedger,
    /// Load and liveness of targets.
    pub gauges: GaugeBoard,
    /// The other nodes that live.
    pub live: Snapshot<LiveView>,
    /// Work of all other nodes.
    pub elsewhere: Snapshot<WorkSum>,
    /// Whether the registry of nodes was read, or could not be.
    pub peers_known: watch::Sender<bool>,
    /// Whether a configuration was known to be the newest one; before that no key is trusted.
    pub book_known: watch::Sender<bool>,
    /// When the node was opened.
    pub opened: Moment,
    /// What callers ask for.
    pub demand: DemandMeter,
    /// What it spends on knowing what it knows.
    pub costs: Arc<CostLedger>,
    /// Counters and histograms.
    pub metrics: FleetMetrics,
    /// Requests that were read and not answered to the end.
    pub in_flight: AtomicUsize,
    /// Loads from the weight store under way in this node's domains, by model.
    pub loading: Snapshot<IndexMap<ModelId, u32>>,
    /// Whether any caller's request has been seen, here or at a peer.
    pub has_traffic: AtomicBool,
    membership: Mutex<Membership>,
    confirmed: AtomicU64,
    phase: AtomicU8,
}

impl FleetShared {
    /// Opens the state of a node that knows nothing yet.
    pub fn open(
        settings: FleetSettings,
        incarnation: Incarnation,
        platform: FleetPlatform,
    ) -> Arc<Self> {
        let costs = Arc::new(CostLedger::default());
        let own = NodeEntry {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            address: settings.peers.clone(),
            incarnation,
            link_mbps: settings.link_mbps,
        };
        Arc::new(Self {
            settings,
            incarnation,
            feed: FeedRelay::new(Arc::clone(&platform.feed), Arc::clone(&costs)),
            book: Snapshot::open(None),
            directory: Snapshot::open(DirectoryView::default()),
            table: Snapshot::open(TargetTable::default()),
            suspects: SuspectLedger::new(Arc::clone(&platform.clock)),
            gauges: GaugeBoard::default(),
            live: Snapshot::open(LiveView::open(own.clone())),
            membership: Mutex::new(Membership::open(own)),
            peers_known: watch::Sender::new(false),
            book_known: watch::Sender::new(false),
            opened: BootClock::now(),
            elsewhere: Snapshot::open(WorkSum::default()),
            demand: DemandMeter::default(),
            metrics: FleetMetrics::open(Arc::clone(&costs)),
            costs,
            in_flight: AtomicUsize::new(0),
            loading: Snapshot::open(IndexMap::new()),
            has_traffic: AtomicBool::new(false),
            confirmed: AtomicU64::new(0),
            phase: AtomicU8::new(FleetPhase::Running as u8),
            platform,
        })
    }

    /// Returns how far the node is in its life.
    pub fn phase(&self) -> FleetPhase {
        match self.phase.load(Ordering::SeqCst) {
            0 => FleetPhase::Running,
            1 => FleetPhase::Leaving,
            _ => FleetPhase::Draining,
        }
    }

    /// Moves the node on in its life.
    pub fn enter(&self, phase: FleetPhase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
    }

    /// Puts a configuration in force.
    pub fn adopt_book(&self, book: TrafficBook) {
        self.book.publish(Some(book));
        self.rebuild_table();
    }

    /// Returns the configuration in force; a node that has just started waits a moment for its first one.
    ///
    /// Callers come as soon as the node listens. One that is refused then comes back late, and once only.
    pub async fn first_book(&self) -> Arc<Option<TrafficBook>> {
        if *self.book_known.borrow() {
            return self.book.load();
        }
        let left = (self.opened + FIRST_BOOK_TIME).saturating_sub(BootClock::now());
        let mut known = self.book_known.subscribe();
        let known = known.wait_for(|is_known| *is_known);
        // Without one the caller is told to come back.
        let _ = tokio::time::timeout(left, known).await;
        self.book.load()
    }

    /// Notes that the configuration held was the newest when the store was asked at `asked`.
    pub fn confirm_book(&self, asked: Moment) {
        let millis = u64::try_from(asked.as_millis()).unwrap_or(u64::MAX);
        self.confirmed.fetch_max(millis, Ordering::SeqCst);
        self.book_known.send_replace(true);
    }

    /// Returns how long ago the configuration was last known to be the newest.
    pub fn book_age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed.load(Ordering::SeqCst));
        BootClock::now().saturating_sub(confirmed)
    }

    /// Returns whether callers' keys can be trusted.
    ///
    /// A key may have been taken away while this node could not be told. The age counts from before
    /// the store was asked, on the clock that goes on during suspension, so that neither a slow
    /// answer nor a frozen machine lengthens the time for which a removed key works.
    pub fn trusts_keys(&self) -> bool {
        let limit = self.settings.key_validity.mul_f64(KEY_MARGIN);
        !self.settings.fails_closed || self.book_age() < limit
    }

    /// Returns whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.phase() == FleetPhase::Running
            && self.book.read().is_some()
            && self.directory.read().is_listed
            && self.trusts_keys()
    }

    /// Returns a table, or its changes after a mark, from another node of the zone where one reads for all.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when nobody answered.
    pub async fn changes(
        &self,
        table: &str,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> Result<FeedAnswer, SourceError> {
        let question = FeedQuestion {
            table: table.to_owned(),
            mark,
            wait,
        };
        self.await_peers().await;
        self.feed.changes(&self.live.load(), question).await
    }

    /// Writes what was spent so far to the log.
    pub fn log_costs(&self) {
        let costs = self.costs.text();
        log::info!(costs = costs.as_str(); "node_costs");
    }

    /// Returns this node's entry.
    pub fn own_entry(&self) -> NodeEntry {
        self.membership().own().clone()
    }

    /// Returns what is known of the other nodes, for a moment.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until this node knows whom it can ask in place of the store.
    ///
    /// Were nodes that start together to read everything themselves, 295 of them would read the list of
    /// targets, half a megabyte, within a second.
    async fn await_peers(&self) {
        let mut known = self.peers_known.subscribe();
        let known = known.wait_for(|is_known| *is_known);
        // Nobody may be found; the store is asked then.
        let _ = tokio::time::timeout(PEERS_TIME, known).await;
    }

    /// Returns this node's part of what all live nodes ask, among ranks for something.
    pub fn weight_for(&self, thing: &str, now: Moment) -> NodeWeight {
        let own = self.demand.arrivals(now).values().sum();
        self.live.read().weight_for(thing, own)
    }

    /// Rebuilds the table of targets from the directory and the configuration in force.
    pub fn rebuild_table(&self) {
        let book = self.book.load();
        let Some(book) = book.as_ref() else {
            return;
        };
        let begun = BootClock::now();
        let directory = self.directory.load();
        let targets = directory.book.targets();
        let before = self.table.load();
        let table = TargetTable::build(book, &directory.book, &before, &self.gauges);
        self.table.publish(table);
        self.gauges.retain(|id| targets.contains_key(id));
        let took = BootClock::now().saturating_sub(begun);
        self.costs.count_time(CostKind::TableBuilt, took);
    }
}
