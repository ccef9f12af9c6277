//! What the control thread publishes and the traffic threads read.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_kernel::Snapshot;
use briarswitch_platform::Platform;
use briarswitch_wire::config::EntryDoc;
use indexmap::IndexMap;

use crate::board::EvidenceBoard;
use crate::metrics::NodeMetrics;
use crate::routes::RouteTable;
use crate::settings::NodeSettings;
use crate::usage::UsageMeter;

/// From whom a node learned that no older configuration may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FloorSource {
    /// From the platform's table.
    Platform,
    /// From the nodes of its zone, the platform being out of reach.
    Peers,
}

impl FloorSource {
    /// Returns the name shown in the state dump.
    pub fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peers => "peers",
        }
    }
}

/// The configuration in force, with what traffic needs at hand.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Configuration.
    pub book: VersionedConfig,
    /// Organisations by the hash of their key.
    pub keys: HashMap<String, OrganisationId>,
    /// Newest entries, for peers that lack them.
    pub log: VecDeque<EntryDoc>,
    /// From whom the floor was learned; `None` while the node must not serve.
    pub floor: Option<FloorSource>,
}

/// One other node as last heard.
#[derive(Clone, Debug)]
pub struct PeerStanding {
    /// Its zone.
    pub zone: ZoneId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its configuration version.
    pub config: ConfigVersion,
    /// When the exchange that was answered was sent.
    pub heard: Moment,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// The other nodes, by name.
pub type PeerRoster = IndexMap<NodeId, PeerStanding>;
/// The zones' groups, by zone.
pub type ViewBook = IndexMap<ZoneId, ZoneView>;

/// The zone's machines and the reports that are still good.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Machines as the platform last listed them.
    pub vms: IndexMap<VmId, Vm>,
    /// Reports by machine.
    pub reports: IndexMap<VmId, (MemberReport, Moment)>,
    /// Whether the list was ever read.
    pub is_listed: bool,
}

/// What the controller wants known of it.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Lease row as last read.
    pub record: Option<LeaseRecord>,
    /// Epoch held by this node, as of the last round.
    pub epoch: Option<Epoch>,
    /// Accelerators that belong to no working group.
    pub stranded: u32,
    /// Time that wanted groups could not serve, summed over groups.
    pub downtime: std::time::Duration,
    /// Newest plan, as text.
    pub plan: Vec<String>,
}

/// Stage of the process's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Phase {
    /// Serving, or about to.
    Running = 0,
    /// Not ready any more, but still accepting.
    Leaving = 1,
    /// Refusing new requests and finishing those in flight.
    Draining = 2,
}

/// State that every thread of the node reaches.
pub struct NodeShared {
    /// Settings.
    pub settings: NodeSettings,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Configuration.
    pub config: Snapshot<ConfigView>,
    /// Where requests may go.
    pub routes: Snapshot<RouteTable>,
    /// Zones' groups.
    pub views: Snapshot<ViewBook>,
    /// Evidence gathered by this node's own probes.
    pub own_evidence: Snapshot<EvidenceBoard>,
    /// Evidence for the whole zone.
    pub zone_evidence: Snapshot<EvidenceBoard>,
    /// Other nodes.
    pub roster: Snapshot<PeerRoster>,
    /// Machines of the zone.
    pub fleet: Snapshot<FleetView>,
    /// The controller's state.
    pub control: Snapshot<ControlView>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Metered use.
    pub usage: UsageMeter,
    /// Platform.
    pub platform: Platform,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    phase: AtomicU8,
}

impl NodeShared {
    /// Opens the state of a process that knows nothing yet.
    pub fn open(settings: NodeSettings, incarnation: Incarnation, platform: Platform) -> Arc<Self> {
        Arc::new(Self {
            settings,
            incarnation,
            config: Snapshot::new(ConfigView::default()),
            routes: Snapshot::new(RouteTable::default()),
            views: Snapshot::new(ViewBook::default()),
            own_evidence: Snapshot::new(EvidenceBoard::open(incarnation)),
            zone_evidence: Snapshot::new(EvidenceBoard::open(incarnation)),
            roster: Snapshot::new(PeerRoster::default()),
            fleet: Snapshot::new(FleetView::default()),
            control: Snapshot::new(ControlView::default()),
            metrics: NodeMetrics::open(),
            usage: UsageMeter::default(),
            platform,
            in_flight: AtomicUsize::new(0),
            phase: AtomicU8::new(Phase::Running as u8),
        })
    }

    /// Returns the stage of the process's life.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Running,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    /// Moves on to a stage.
    pub fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
    }

    /// Returns whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Running && self.config.read().floor.is_some()
    }

    /// Returns the nodes of this zone that count as watchers at `now`, this one included.
    pub fn watchers(&self, now: Moment) -> Vec<NodeId> {
        let timeout = self.settings.gate.peer_timeout;
        let mut nodes: Vec<NodeId> = self
            .roster
            .read()
            .iter()
            .filter(|(_, peer)| peer.zone == self.settings.zone && !peer.is_leaving)
            .filter(|(_, peer)| now < peer.heard + timeout)
            .map(|(node, _)| node.clone())
            .collect();
        nodes.push(self.settings.node.clone());
        nodes
    }
}
