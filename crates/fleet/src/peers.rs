//! Exchanges gossip between nodes: which nodes are alive, how many requests each has sent to which
//! target, and which targets fell silent.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_membership::{Gossip, GossipTarget, LiveView, NodeStatus, WorkSum};
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::costs::CostKind;
use crate::gossip_client::{exchange, RESPONSE_TIMEOUT};
use crate::ports::{NodeEntry, NodeUpdate, SourceError};
use crate::registry::{read_other_zones, read_zone, RegistryView};
use crate::shared::{FleetPhase, FleetShared};
use crate::speed_judge::{apply_speed_reports, judge_speeds, speed_reports};
use crate::statement_recorder::apply_limit_reports;

/// Path at which a node receives reports of silent targets.
pub const SUSPICION_PATH: &str = "/suspicion";
/// Interval between checks for peers that are due; half of the shortest gossip interval.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the work reported by other nodes is added up.
const AGGREGATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time until most other nodes know of a request that was sent to a target: report, hub and
/// response.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Interval after which requests sent to targets count as known to other nodes, those of other
/// zones included.
const UNREPORTED_RESET_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a peer's suspicion of a target is adopted; two gossip messages, so that it ends
/// soon after the peer's own.
const PEER_SUSPICION_TTL: Duration = Duration::from_millis(250);
/// Minimum time for which a target must have been silent towards this node before it adopts a
/// peer's suspicion.
const MIN_OWN_SILENCE: Duration = Duration::from_millis(120);
/// Delay before the registry is first read when all nodes start for the first time, so that every
/// node can register.
const FIRST_REGISTRY_READ_DELAY: Duration = Duration::from_millis(500);
/// Maximum wait of a long poll of the registry.
const MAX_REGISTRY_WAIT: Duration = Duration::from_secs(8);
/// Interval between two reads of the registry.
///
/// Each registration ends every open long poll. Without this interval, nodes that start together
/// would make a call for each pair of nodes.
const REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Mean delay before a retry after the registry failed.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Delay before all zones are read again because the registry's history is gone.
///
/// A store that drops its history does so for seconds, and a node that starts meanwhile makes itself known to a hub.
const REGISTRY_REREAD_DELAY: Duration = Duration::from_secs(5);
/// Interval between two log lines with the costs.
const COST_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Name of the gossip service.
pub const PEER_SERVICE: &str = "peers";

/// Returns the status that this node reports about itself.
pub fn own_status(shared: &FleetShared) -> NodeStatus {
    let now = BootClock::now();
    NodeStatus {
        is_partitioned: shared.reach.is_partitioned(),
        is_leaving: shared.phase() != FleetPhase::Running,
        reads_store: shared.feed.reads_store(),
        has_traffic: shared.has_traffic.load(Ordering::Relaxed),
        work: WorkSum {
            target_requests: shared.gauges.local_loads(),
            loading: shared.active_loads.load().as_ref().clone(),
            demand: shared.demand.group_demand(now),
            request_rates: shared.demand.request_rates(now),
            waiting: shared.need.waiting(),
            recent_demand: shared.need.recent_demand(now),
        },
        // What a node without a path to targets suspects says nothing about them.
        suspects: if shared.reach.is_reachable() {
            shared.gauges.local_suspects(now)
        } else {
            Vec::new()
        },
        limits: shared.gauges.limit_reports(now),
        speeds: speed_reports(shared, now),
    }
}

/// Applies suspicions that another node reported.
pub fn apply_suspicions<'a>(shared: &FleetShared, suspects: impl Iterator<Item = &'a TargetId>) {
    let now = BootClock::now();
    for target in suspects {
        let gauge = shared.gauges.get(target);
        // If this node still receives bytes from the target, only the other node is cut off from
        // it.
        if gauge.local_requests() == 0 || gauge.silence(now) > MIN_OWN_SILENCE {
            gauge.suspect_from_peer(now + PEER_SUSPICION_TTL);
        }
    }
}

/// Applies the parts of a message that concern neither the work of nodes nor their liveness.
pub fn apply_hints(shared: &FleetShared, gossip: &Gossip) {
    if gossip.has_traffic() {
        shared.has_traffic.store(true, Ordering::Relaxed);
    }
    apply_suspicions(shared, gossip.suspects());
    apply_limit_reports(shared, gossip);
    apply_speed_reports(shared, gossip, BootClock::now());
}

/// Report of a silent target to the node that controls its group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SuspicionDoc {
    /// Target.
    pub target: TargetId,
}

/// A target that fell silent towards a request.
#[derive(Clone, Debug)]
pub struct SilentTarget {
    /// Target.
    pub target: TargetId,
    /// Domain of the target.
    pub domain: DomainId,
    /// Zone of the target.
    pub zone: ZoneId,
}

/// Exchanges gossip with the other nodes and keeps the list of nodes up to date.
pub struct PeerExchange {
    shared: Arc<FleetShared>,
    client: ApiClient,
    registry: RegistryView,
    is_registered: bool,
    published_version: u64,
    /// Incarnation under which this node was last logged.
    incarnation: Incarnation,
    aggregated_at: Moment,
    unreported_reset_at: Moment,
    costs_logged_at: Moment,
}

/// Message to [`PeerExchange`].
pub enum PeerMessage {
    /// Send gossip to the peers that are due.
    Tick,
    /// A node responded to a message that was sent at this moment.
    Responded(Box<(GossipTarget, Gossip)>, Moment),
    /// A node did not respond.
    Failed(NodeId, CallError),
    /// A target fell silent towards a request.
    Suspected(SilentTarget),
    /// The node that controls the group of a silent target received the report, or failed to.
    SuspicionSent(Option<CallError>),
    /// This node's entry was written to the registry, or the write failed.
    Registered(Result<(), SourceError>),
    /// The registry returned the nodes of this node's zone, or failed.
    ZoneRead(Result<NodeUpdate, SourceError>),
    /// The registry responded or failed.
    RegistryRead(Result<NodeUpdate, SourceError>),
    /// Read the registry.
    ReadRegistry,
}

impl PeerExchange {
    /// Creates a service that knows no other node yet.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        let incarnation = shared.own_entry().incarnation;
        Self {
            shared,
            incarnation,
            client: ApiClient::new(Codec::MessagePack, None),
            registry: RegistryView::Unread,
            is_registered: false,
            published_version: 0,
            aggregated_at: Moment::ZERO,
            unreported_reset_at: Moment::ZERO,
            costs_logged_at: BootClock::now(),
        }
    }

    fn register(&self, after: Duration, link: &ServiceLink<PeerMessage>) {
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            tokio::time::sleep(after).await;
            shared.costs.count(CostKind::RegistryWrite);
            let entry = shared.own_entry();
            PeerMessage::Registered(shared.platform.nodes.register(entry).await)
        });
    }

    /// Reads new nodes from the registry if this node is a hub; the others learn of new nodes from hubs.
    ///
    /// To find the hubs, each node first reads the entries of its own zone only. If each read the entries of all
    /// zones, the bytes read at a start would grow with the square of the number of nodes.
    fn read_registry(&self, link: &ServiceLink<PeerMessage>) {
        let shared = Arc::clone(&self.shared);
        match self.registry {
            RegistryView::Unread => link.spawn(async move {
                let zone = &shared.settings.zone;
                PeerMessage::ZoneRead(read_zone(&shared, zone).await)
            }),
            _ if !shared.membership().is_hub(link.now()) => {
                link.send_after(REGISTRY_READ_INTERVAL, PeerMessage::ReadRegistry);
            }
            RegistryView::Zone(mark) => link.spawn(async move {
                PeerMessage::RegistryRead(read_other_zones(&shared, mark).await)
            }),
            RegistryView::Whole(mark) => link.spawn(async move {
                shared.costs.count(CostKind::RegistryRead);
                let nodes = &shared.platform.nodes;
                PeerMessage::RegistryRead(nodes.poll_changes(mark, MAX_REGISTRY_WAIT).await)
            }),
        }
    }

    /// Adds the nodes of this node's zone, and registers this node unless it or an earlier incarnation has.
    ///
    /// Other nodes learn the incarnation from this node's messages, so an entry that differs in nothing else
    /// remains valid.
    fn apply_zone(&mut self, update: &NodeUpdate, link: &ServiceLink<PeerMessage>) {
        let own = self.shared.own_entry();
        let listed = update.nodes.iter().find(|entry| entry.node == own.node);
        let is_listed = listed.is_some_and(|entry| {
            let incarnation = entry.incarnation;
            *entry == NodeEntry { incarnation, ..own }
        });
        self.registry = RegistryView::Zone(update.mark);
        self.add_nodes(&update.nodes, link.now());
        if is_listed {
            self.is_registered = true;
        } else if !self.is_registered && !self.shared.settings.is_first_start {
            self.register(Duration::ZERO, link);
        }
        self.shared.peers_known.send_replace(true);
        link.send_after(Duration::ZERO, PeerMessage::ReadRegistry);
    }

    fn add_nodes(&mut self, nodes: &[NodeEntry], now: Moment) {
        let mut membership = self.shared.membership();
        for entry in nodes {
            if membership.add_node(entry, now) {
                log::info!(peer = entry.node.as_str(), address = entry.address.as_str(); "peer_known");
            }
        }
        drop(membership);
        self.publish(now);
    }

    fn tick(&mut self, now: Moment, link: &ServiceLink<PeerMessage>) {
        let shared = Arc::clone(&self.shared);
        shared.speed.record_tick(shared.reach.is_reachable(), now);
        for target in self.due_messages(now) {
            self.send(target, now, link);
        }
        if now >= self.aggregated_at + AGGREGATION_INTERVAL {
            self.aggregate(now);
            judge_speeds(&self.shared, now);
        }
        if now >= self.costs_logged_at + COST_LOG_INTERVAL {
            self.costs_logged_at = now;
            self.shared.log_costs();
        }
        if now >= self.unreported_reset_at + UNREPORTED_RESET_INTERVAL {
            self.unreported_reset_at = now;
            self.shared.gauges.for_each(|gauge| gauge.record_report());
        }
    }

    fn due_messages(&self, now: Moment) -> Vec<GossipTarget> {
        let has_address = self.shared.has_peer_address();
        let is_running = self.shared.phase() == FleetPhase::Running;
        let mut membership = self.shared.membership();
        membership.set_has_address(has_address && is_running);
        if !has_address {
            return Vec::new();
        }
        membership.due_messages(|| own_status(&self.shared), now)
    }

    fn send(&self, target: GossipTarget, now: Moment, link: &ServiceLink<PeerMessage>) {
        let client = self.client.clone();
        let costs = Arc::clone(&self.shared.costs);
        let kind = if target.is_same_zone {
            CostKind::GossipNear
        } else {
            CostKind::GossipFar
        };
        link.spawn(async move {
            match exchange(&client, &target).await {
                Ok((response, bytes)) => {
                    costs.count_bytes(kind, bytes);
                    PeerMessage::Responded(Box::new((target, response)), now)
                }
                Err(error) => {
                    costs.count(kind);
                    PeerMessage::Failed(target.node, error)
                }
            }
        });
    }

    /// Adds up the work that other nodes reported, for target selection and planning.
    fn aggregate(&mut self, now: Moment) {
        self.aggregated_at = now;
        let started_at = BootClock::now();
        let work = self.shared.membership().peer_work(now);
        let gauges = &self.shared.gauges;
        gauges.for_each(|gauge| {
            let requests = work.target_requests.get(&gauge.key()).copied();
            gauge.set_remote_requests(requests.unwrap_or(0));
        });
        self.shared.peer_work.publish(work);
        self.publish(now);
        let elapsed = BootClock::now().saturating_sub(started_at);
        self.shared.costs.count_time(CostKind::WorkFolded, elapsed);
    }

    /// Publishes the list of live nodes if it has changed.
    fn publish(&mut self, now: Moment) {
        let mut membership = self.shared.membership();
        for node in membership.take_rejoined() {
            log::info!(peer = node.as_str(); "peer_heard");
        }
        let incarnation = membership.own().incarnation;
        if incarnation != self.incarnation {
            log::warn!(incarnation = incarnation, before = self.incarnation; "incarnation_raised");
            self.incarnation = incarnation;
        }
        let version = membership.refresh(now);
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        let view = LiveView::from_membership(&membership, now);
        drop(membership);
        self.shared.live_view.publish(view);
    }

    /// Reports a silent target immediately to the node that controls its group.
    ///
    /// Through hubs the report would take up to half a second longer, during which the group serves
    /// no requests.
    fn send_suspicion(&self, silent: SilentTarget, link: &ServiceLink<PeerMessage>) {
        let live = self.shared.live_view.read();
        let Some(entry) = live.first_for(&silent.domain, &silent.zone) else {
            return;
        };
        let url = format!("http://{}{SUSPICION_PATH}", entry.address);
        let client = self.client.clone();
        self.shared.costs.count(CostKind::SuspicionTold);
        link.spawn(async move {
            let doc = SuspicionDoc {
                target: silent.target,
            };
            let sent: Result<(), CallError> = client
                .call(Method::POST, &url, Some(&doc), RESPONSE_TIMEOUT)
                .await;
            PeerMessage::SuspicionSent(sent.err())
        });
    }
}

impl Service for PeerExchange {
    type Message = PeerMessage;

    fn name(&self) -> &'static str {
        PEER_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<PeerMessage>) {
        let first_read = if self.shared.settings.is_first_start {
            self.register(Duration::ZERO, link);
            FIRST_REGISTRY_READ_DELAY
        } else {
            Duration::ZERO
        };
        link.send_after(first_read, PeerMessage::ReadRegistry);
        link.send_after(TICK_INTERVAL, PeerMessage::Tick);
    }

    fn handle(&mut self, message: PeerMessage, link: &ServiceLink<PeerMessage>) {
        let now = link.now();
        match message {
            PeerMessage::Tick => {
                self.tick(now, link);
                link.send_after(TICK_INTERVAL, PeerMessage::Tick);
            }
            PeerMessage::Responded(exchanged, sent_at) => {
                let (target, gossip) = *exchanged;
                apply_hints(&self.shared, &gossip);
                let mut membership = self.shared.membership();
                membership.handle_response(&target, &gossip, sent_at, now);
                drop(membership);
                if gossip.roster.is_some() {
                    self.aggregate(now);
                }
            }
            PeerMessage::Failed(node, error) => {
                self.shared.membership().record_failure(&node, now);
                log::debug!(peer = node.as_str(), error:% = error; "peer_missed");
            }
            PeerMessage::Suspected(silent) => self.send_suspicion(silent, link),
            PeerMessage::SuspicionSent(None) => {}
            PeerMessage::SuspicionSent(Some(error)) => {
                log::info!(error:% = error; "suspicion_untold");
            }
            PeerMessage::Registered(Ok(())) => self.is_registered = true,
            PeerMessage::Registered(Err(error)) => {
                log::warn!(error:% = error; "registration_failed");
                let delay = REGISTRY_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
                self.register(delay, link);
            }
            PeerMessage::ZoneRead(Ok(update)) => self.apply_zone(&update, link),
            PeerMessage::ZoneRead(Err(error)) => {
                log::warn!(error:% = error; "zone_unread");
                self.shared.peers_known.send_replace(true);
                link.send_after(REGISTRY_RETRY_DELAY, PeerMessage::ReadRegistry);
            }
            PeerMessage::RegistryRead(Ok(update)) => {
                self.registry = RegistryView::Whole(update.mark);
                self.add_nodes(&update.nodes, now);
                link.send_after(REGISTRY_READ_INTERVAL, PeerMessage::ReadRegistry);
            }
            PeerMessage::RegistryRead(Err(error)) => {
                let delay = if error == SourceError::HistoryGone {
                    self.registry = RegistryView::Unread;
                    REGISTRY_REREAD_DELAY
                } else {
                    REGISTRY_RETRY_DELAY
                };
                link.send_after(delay, PeerMessage::ReadRegistry);
            }
            PeerMessage::ReadRegistry => self.read_registry(link),
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let membership = self.shared.membership();
        let members = membership.roster().members().values();
        let peers = members.map(|peer| {
            let silence = peer
                .last_heard
                .map(|heard| now.saturating_sub(heard).as_millis() as u64);
            json!({
                "node": peer.entry.node,
                "zone": peer.entry.zone,
                "silence_ms": silence,
                "leaving": peer.is_leaving,
                "partitioned": peer.is_partitioned,
            })
        });
        let age = membership.knowledge_age(now);
        json!({
            "registered": self.is_registered,
            "hub": membership.is_hub(now),
            "knowledge_age_ms": age.map(|age| age.as_millis() as u64),
            "peers": peers.collect::<Vec<_>>(),
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
