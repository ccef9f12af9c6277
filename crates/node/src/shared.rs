//! State that the control thread publishes and the traffic threads read.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};

use briarswitch_core::prelude::*;
use briarswitch_fleet::node_exit::{ExitPlan, NodeExit};
use briarswitch_fleet::reach::TargetReach;
use briarswitch_http::ListenerStatus;
use briarswitch_kernel::{BootClock, Snapshot};
use briarswitch_platform::Platform;
use briarswitch_wire::config::EntryDoc;
use indexmap::IndexMap;

use crate::evidence_feed::EvidenceFeed;
use crate::metrics::NodeMetrics;
use crate::routes::RouteTable;
use crate::settings::NodeSettings;
use crate::usage::UsageMeter;

/// Where a node learned its configuration floor: the oldest version it may serve with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FloorSource {
    /// The platform's table.
    Platform,
    /// The nodes of its zone, because the platform was unreachable.
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

/// The configuration in force, with indexes for the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The configuration and its version.
    pub config: VersionedConfig,
    /// Organisations by the hash of their API key.
    pub keys: HashMap<String, OrganisationId>,
    /// Most recent configuration entries, sent to peers that lack them.
    pub log: VecDeque<EntryDoc>,
    /// Source of the configuration floor; `None` while the node must not serve requests.
    pub floor: Option<FloorSource>,
}

/// Status of another node, from its latest exchange reply.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// Its zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its configuration version.
    pub config: ConfigVersion,
    /// Time at which the exchange request was sent that produced this status.
    pub last_heard: Moment,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Status of the other nodes, by node.
pub type PeerRoster = IndexMap<NodeId, PeerStatus>;
/// Replica groups of each zone.
pub type ZoneViews = IndexMap<ZoneId, ZoneView>;

/// The zone's VMs and their unexpired reports.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// VMs in the latest list from the platform.
    pub vms: IndexMap<VmId, Vm>,
    /// Latest report of each VM, with the time from which it counts.
    pub reports: IndexMap<VmId, (MemberReport, Moment)>,
    /// Whether the VM list has been read at least once.
    pub is_loaded: bool,
}

/// Controller state shown in status replies and state dumps.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Lease row, as last read.
    pub record: Option<LeaseRecord>,
    /// Epoch of the lease that this node held in the last control round.
    pub epoch: Option<Epoch>,
    /// Accelerators that belong to no routable group.
    pub stranded: u32,
    /// Time during which configured groups could not serve, summed over groups.
    pub downtime: std::time::Duration,
    /// Latest plan, one line per step.
    pub plan: Vec<String>,
}

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Phase {
    /// Starting or serving.
    Running = 0,
    /// Reports itself as not ready, but still accepts requests.
    Leaving = 1,
    /// Refuses new requests and finishes those in flight.
    Draining = 2,
}

/// State shared by all threads of the node.
pub struct NodeShared {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: Snapshot<ConfigView>,
    /// Targets that requests may be sent to.
    pub routes: Snapshot<RouteTable>,
    /// Replica groups of each zone.
    pub views: Snapshot<ZoneViews>,
    /// Evidence from this node's own probes.
    pub own_evidence: Snapshot<EvidenceFeed>,
    /// Evidence from all watchers of the zone.
    pub zone_evidence: Snapshot<EvidenceFeed>,
    /// Status of the other nodes.
    pub roster: Snapshot<PeerRoster>,
    /// VMs of the zone and their reports.
    pub fleet: Snapshot<FleetView>,
    /// The controller's state.
    pub control: Snapshot<ControlView>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Usage to be written for billing.
    pub usage: UsageMeter,
    /// Client of the platform.
    pub platform: Platform,
    /// Whether this node reaches targets.
    pub reach: TargetReach,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Time that the node has left once it was told to end.
    pub exit: NodeExit,
    phase: AtomicU8,
    caller_listener: OnceLock<Arc<ListenerStatus>>,
}

impl NodeShared {
    /// Creates the initial state of a process.
    pub fn new(settings: NodeSettings, incarnation: Incarnation, platform: Platform) -> Arc<Self> {
        let shutdown = settings.shutdown;
        Arc::new(Self {
            settings,
            incarnation,
            config: Snapshot::new(ConfigView::default()),
            routes: Snapshot::new(RouteTable::default()),
            views: Snapshot::new(ZoneViews::default()),
            own_evidence: Snapshot::new(EvidenceFeed::new(incarnation)),
            zone_evidence: Snapshot::new(EvidenceFeed::new(incarnation)),
            roster: Snapshot::new(PeerRoster::default()),
            fleet: Snapshot::new(FleetView::default()),
            control: Snapshot::new(ControlView::default()),
            metrics: NodeMetrics::open(),
            usage: UsageMeter::default(),
            platform,
            reach: TargetReach::default(),
            in_flight: AtomicUsize::new(0),
            exit: NodeExit::new(ExitPlan::with_drain(shutdown.notice, shutdown.drain)),
            phase: AtomicU8::new(Phase::Running as u8),
            caller_listener: OnceLock::new(),
        })
    }

    /// Returns the lifecycle phase of the process.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Running,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    /// Sets the lifecycle phase of the process.
    pub fn set_phase(&self, phase: Phase) {
        if phase != Phase::Running {
            self.exit.begin(BootClock::now());
        }
        self.phase.store(phase as u8, Ordering::SeqCst);
    }

    /// Returns whether the load balancer should send requests to this node.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.config.read().floor.is_some();
        self.phase() == Phase::Running && is_configured && self.unbound_listener().is_none()
    }

    /// Makes the node ready only once this listener is bound.
    pub fn set_caller_listener(&self, status: Arc<ListenerStatus>) {
        let _ = self.caller_listener.set(status);
    }

    /// Returns the listener for callers while it isn't bound.
    pub fn unbound_listener(&self) -> Option<&ListenerStatus> {
        let status = self.caller_listener.get()?;
        (!status.is_bound()).then_some(status)
    }

    /// Returns this node and the other nodes of its zone that count as watchers of VMs at `now`.
    pub fn watchers(&self, now: Moment) -> Vec<NodeId> {
        let timeout = self.settings.gate.peer_timeout;
        let mut nodes: Vec<NodeId> = self
            .roster
            .read()
            .iter()
            .filter(|(_, peer)| peer.zone == self.settings.zone && !peer.is_leaving)
            .filter(|(_, peer)| now < peer.last_heard + timeout)
            .map(|(node, _)| node.clone())
            .collect();
        nodes.push(self.settings.node.clone());
        nodes
    }
}
