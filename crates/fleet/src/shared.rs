//! What the control thread publishes and the traffic threads read.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::placement::NodeWeight;
use briarswitch_core::target::TargetBook;
use briarswitch_core::traffic::TrafficBook;
use briarswitch_kernel::{BootClock, Snapshot};
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::demand::DemandMeter;
use crate::feed::FeedRelay;
use crate::gauge::GaugeBoard;
use crate::hearsay::HearsayBook;
use crate::metrics::FleetMetrics;
use crate::note::NodeWork;
use crate::ports::{FeedAnswer, FeedMark, FeedQuestion, FleetPlatform, NodeEntry, SourceError};
use crate::settings::FleetSettings;
use crate::table::TargetTable;

/// Part of a key's validity after which it is no longer trusted.
///
/// The rest covers what passes between the check and the request's dispatch.
const KEY_MARGIN: f64 = 0.95;

/// Silence after which a node counts as gone; several of the exchange's intervals.
pub const PEER_SILENCE: Duration = Duration::from_millis(1_300);

/// Requests in a second that every node is taken to see, so that one whose first callers come finds places.
const LEAST_ARRIVALS: f64 = 1.0;

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

/// Another node as it was last heard of.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its entry.
    pub entry: NodeEntry,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Requests that it sees in a second.
    pub arrivals: f64,
}

impl PeerView {
    /// Returns whether the node was heard lately and stays.
    pub fn is_live(&self, now: Moment) -> bool {
        !self.is_leaving && self.heard.is_some_and(|at| now < at + PEER_SILENCE)
    }
}

/// A node's part in something that a few nodes of a zone do for all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZonePart {
    /// The zone is so small that each does it for itself.
    Alone,
    /// This node is one of the few.
    First,
    /// Others do it, at these addresses.
    Other(Vec<String>),
}

/// Other nodes by name.
pub type PeerBook = IndexMap<NodeId, PeerView>;

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
    /// Load and liveness of targets.
    pub gauges: GaugeBoard,
    /// Other nodes.
    pub peers: Snapshot<PeerBook>,
    /// What other nodes told, for those who ask this one.
    pub hearsay: Mutex<HearsayBook>,
    /// Work of all other nodes.
    pub elsewhere: Snapshot<NodeWork>,
    /// What callers ask for.
    pub demand: DemandMeter,
    /// Counters and histograms.
    pub metrics: FleetMetrics,
    /// Requests that were read and not answered to the end.
    pub in_flight: AtomicUsize,
    /// Loads from the weight store under way in this node's domains.
    pub loading: AtomicU32,
    /// Whether any caller's request has been seen, here or at a peer.
    pub has_traffic: AtomicBool,
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
        Arc::new(Self {
            settings,
            incarnation,
            feed: FeedRelay::open(Arc::clone(&platform.feed)),
            platform,
            book: Snapshot::open(None),
            directory: Snapshot::open(DirectoryView::default()),
            table: Snapshot::open(TargetTable::default()),
            gauges: GaugeBoard::default(),
            peers: Snapshot::open(PeerBook::default()),
            hearsay: Mutex::default(),
            elsewhere: Snapshot::open(NodeWork::default()),
            demand: DemandMeter::default(),
            metrics: FleetMetrics::open(),
            in_flight: AtomicUsize::new(0),
            loading: AtomicU32::new(0),
            has_traffic: AtomicBool::new(false),
            confirmed: AtomicU64::new(0),
            phase: AtomicU8::new(FleetPhase::Running as u8),
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

    /// Notes that the configuration held was the newest when the store was asked at `asked`.
    pub fn confirm_book(&self, asked: Moment) {
        let millis = u64::try_from(asked.as_millis()).unwrap_or(u64::MAX);
        self.confirmed.fetch_max(millis, Ordering::SeqCst);
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

    /// Returns the changes of a table after a mark, from another node of the zone where one reads for all.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when nobody answered.
    pub async fn changes(
        &self,
        table: &str,
        mark: FeedMark,
        wait: Duration,
    ) -> Result<FeedAnswer, SourceError> {
        let question = FeedQuestion {
            table: table.to_owned(),
            mark,
            wait,
        };
        self.feed.changes(self, question).await
    }

    /// Returns whether this node ranks before all other live nodes for something that stands in `zone`.
    ///
    /// Nodes of that zone go first, since a zone that is cut off has to do without the others. The order
    /// is the same at all nodes that see each other.
    pub fn is_first_for(&self, thing: &str, zone: &str, now: Moment) -> bool {
        let seed = xxh3_64(thing.as_bytes());
        let rank = |node: &str, own_zone: &str| {
            let hash = xxh3_64_with_seed(node.as_bytes(), seed);
            (own_zone != zone, hash)
        };
        let own = rank(&self.settings.node, &self.settings.zone);
        let peers = self.peers.read();
        let mut others = peers.values().filter(|peer| peer.is_live(now));
        !others.any(|peer| rank(&peer.entry.node, &peer.entry.zone) < own)
    }

    /// Returns this node's part of what all live nodes ask, among ranks for something.
    pub fn weight_for(&self, thing: &str, now: Moment) -> NodeWeight {
        let seed = xxh3_64(thing.as_bytes());
        let rank = |node: &str| xxh3_64_with_seed(node.as_bytes(), seed);
        let own_rank = rank(&self.settings.node);
        let peers = self.peers.read();
        let live = peers.values().filter(|peer| peer.is_live(now));
        let mut weight = NodeWeight {
            own: self.demand.arrivals(now).values().sum::<f64>() + LEAST_ARRIVALS,
            ..NodeWeight::default()
        };
        weight.total = weight.own;
        for peer in live {
            let arrivals = peer.arrivals + LEAST_ARRIVALS;
            weight.total += arrivals;
            if rank(&peer.entry.node) < own_rank {
                weight.before += arrivals;
            }
        }
        weight
    }

    /// Returns the number of nodes of this node's zone that serve, this one included.
    pub fn zone_nodes(&self, now: Moment) -> u32 {
        let zone = &self.settings.zone;
        let peers = self.peers.read();
        let near = peers
            .values()
            .filter(|peer| peer.entry.zone == *zone && peer.is_live(now));
        near.count() as u32 + 1
    }

    /// Returns this node's part in something that the first `count` live nodes of its zone do for all.
    pub fn zone_part(&self, thing: &str, count: u32, least: u32, now: Moment) -> ZonePart {
        let zone = &self.settings.zone;
        let seed = xxh3_64(thing.as_bytes());
        let rank = |node: &str| xxh3_64_with_seed(node.as_bytes(), seed);
        let peers = self.peers.read();
        let near = peers
            .values()
            .filter(|peer| peer.entry.zone == *zone && peer.is_live(now));
        let mut ranked: Vec<(u64, &str)> = near
            .map(|peer| (rank(&peer.entry.node), peer.entry.address.as_str()))
            .collect();
        if ranked.len() as u32 + 1 < least {
            return ZonePart::Alone;
        }
        ranked.sort_unstable();
        ranked.truncate(count as usize);
        let own = rank(&self.settings.node);
        if ranked.last().is_none_or(|(last, _)| own < *last) {
            return ZonePart::First;
        }
        let addresses = ranked.iter().map(|(_, address)| (*address).to_owned());
        ZonePart::Other(addresses.collect())
    }

    /// Returns the number of nodes that serve, this one included.
    pub fn live_nodes(&self, now: Moment) -> u32 {
        let peers = self.peers.read();
        let live = peers.values().filter(|peer| peer.is_live(now));
        live.count() as u32 + 1
    }

    /// Rebuilds the table of targets from the directory and the configuration in force.
    pub fn rebuild_table(&self) {
        let book = self.book.load();
        let Some(book) = book.as_ref() else {
            return;
        };
        let directory = self.directory.load();
        let targets = directory.book.targets();
        let table = TargetTable::build(book, targets, &self.gauges);
        self.table.publish(table);
        self.gauges.retain(|id| targets.contains_key(id));
    }
}
