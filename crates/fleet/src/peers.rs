//! Sends the messages by which nodes know each other: who is alive, who has sent how much where, and what
//! fell silent.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{pack, unpack, CallError, CallerClient, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_membership::{Gossip, GossipDoc, GossipTarget, LiveView, Standing, WorkSum};
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::costs::CostKind;
use crate::ports::{FeedMark, NodeNews, SourceError};
use crate::shared::{FleetPhase, FleetShared};

/// Path of the messages between nodes.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path at which a node is told of a target that fell silent.
pub const SUSPICION_PATH: &str = "/suspicion";
/// Time between looks at whom to ask; half of the shortest interval between two messages.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two sums of what others told.
const AGGREGATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which most other nodes come to know of a request that was sent: report, hub and answer.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// Time between two times at which sent requests count as known to others, nodes of other zones included.
const UNREPORTED_RESET_INTERVAL: Duration = Duration::from_millis(300);
/// Time to wait for an answer; longer than any healthy delay, shorter than a node is missed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a peer's suspicion of a target is shared; two messages, so that it ends soon after the peer's.
const PEER_SUSPICION_TTL: Duration = Duration::from_millis(250);
/// Own silence of a target without which a peer's suspicion is not shared.
const MIN_OWN_SILENCE: Duration = Duration::from_millis(120);
/// Time that all nodes have to register before the first of them reads who has, at the first start.
const FIRST_REGISTRY_READ_DELAY: Duration = Duration::from_millis(500);
/// Longest time one question for new nodes is held open.
const MAX_REGISTRY_WAIT: Duration = Duration::from_secs(8);
/// Time between two questions for new nodes.
///
/// Each registration answers every question that is held open; nodes that start together would make a call
/// for each pair of them.
const REGISTRY_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait after the registry failed.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time between two lines that tell what was spent.
const COST_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Name of the exchange.
pub const PEER_SERVICE: &str = "peers";

/// Returns what this node tells of itself.
pub fn own_status(shared: &FleetShared) -> Standing {
    let now = BootClock::now();
    Standing {
        is_leaving: shared.phase() != FleetPhase::Running,
        reads_store: shared.feed.reads_store(),
        has_traffic: shared.has_traffic.load(Ordering::Relaxed),
        work: WorkSum {
            loads: shared.gauges.loads(),
            loading: shared.loading.load().as_ref().clone(),
            demand: shared.demand.rates(now),
            arrivals: shared.demand.arrivals(now),
        },
        suspects: shared.gauges.suspects(now),
    }
}

/// Sends a message; returns the answer and the bytes of both.
async fn exchange(
    client: &CallerClient,
    target: &GossipTarget,
) -> Result<(Gossip, usize), CallError> {
    let url = format!("http://{}{GOSSIP_PATH}", target.address);
    let unreadable = |error: String| CallError::Unreadable(error);
    let sent = pack(&GossipDoc::from(&target.gossip)).map_err(|e| unreadable(e.to_string()))?;
    let size = sent.len();
    let response = client
        .call_raw(Method::POST, &url, sent, RESPONSE_TIMEOUT)
        .await?;
    let doc: GossipDoc = unpack(&response).map_err(|e| unreadable(e.to_string()))?;
    Ok((doc.into(), size + response.len()))
}

/// Takes in others' suspicions.
pub fn apply_suspicions<'a>(shared: &FleetShared, suspects: impl Iterator<Item = &'a TargetId>) {
    let now = BootClock::now();
    for target in suspects {
        let gauge = shared.gauges.of(target);
        // A target that this node hears is only cut off from the other.
        if gauge.own() == 0 || gauge.silence(now) > MIN_OWN_SILENCE {
            gauge.suspect_as_told(now + PEER_SUSPICION_TTL);
        }
    }
}

/// Takes in what any message tells beside sums and signs of life.
pub fn apply_hints(shared: &FleetShared, gossip: &Gossip) {
    if gossip.has_traffic() {
        shared.has_traffic.store(true, Ordering::Relaxed);
    }
    apply_suspicions(shared, gossip.suspects());
}

/// A target that fell silent, told to the node that gives its group orders.
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
    /// Its domain.
    pub domain: DomainId,
    /// Zone of the target.
    pub zone: ZoneId,
}

/// Exchanges messages with the other nodes.
pub struct PeerExchange {
    shared: Arc<FleetShared>,
    client: CallerClient,
    mark: Option<FeedMark>,
    is_registered: bool,
    published_version: u64,
    aggregated_at: Moment,
    unreported_reset_at: Moment,
    costs_logged_at: Moment,
}

/// Message to [`PeerExchange`].
pub enum PeerMessage {
    /// Ask whom it is time to ask.
    Tick,
    /// A node answered a message that was sent at this moment.
    Answered(Box<(GossipTarget, Gossip)>, Moment),
    /// A node did not answer.
    Failed(NodeId, CallError),
    /// A target fell silent towards a request.
    Suspected(SilentTarget),
    /// The node that gives its group orders was told, or did not answer.
    SuspicionSent(Option<CallError>),
    /// This node's entry was written or not.
    Registered(Result<(), SourceError>),
    /// The registry answered.
    RegistryRead(Result<NodeNews, SourceError>),
    /// Ask the registry.
    ReadRegistry,
}

impl PeerExchange {
    /// Opens an exchange that knows no other node.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            client: CallerClient::open(Codec::Packed, None),
            mark: None,
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

    /// Asks the registry for new nodes, if that is this node's part; the others hear of them from hubs.
    fn read_registry(&self, link: &ServiceLink<PeerMessage>) {
        let reads_registry = self.mark.is_none() || self.shared.membership().is_hub(link.now());
        if !reads_registry {
            link.later(REGISTRY_READ_INTERVAL, PeerMessage::ReadRegistry);
            return;
        }
        let shared = Arc::clone(&self.shared);
        let mark = self.mark;
        shared.costs.count(CostKind::RegistryRead);
        link.spawn(async move {
            PeerMessage::RegistryRead(shared.platform.nodes.next(mark, MAX_REGISTRY_WAIT).await)
        });
    }

    fn apply_registry_update(&mut self, news: &NodeNews, now: Moment) {
        self.mark = Some(news.mark);
        let mut membership = self.shared.membership();
        for entry in &news.nodes {
            if membership.learn(entry, now) {
                log::info!(peer = entry.node.as_str(), address = entry.address.as_str(); "peer_known");
            }
        }
        drop(membership);
        self.publish(now);
    }

    fn tick(&mut self, now: Moment, link: &ServiceLink<PeerMessage>) {
        let status = own_status(&self.shared);
        let due = self.shared.membership().due(&status, now);
        for target in due {
            self.send(target, now, link);
        }
        if now >= self.aggregated_at + AGGREGATION_INTERVAL {
            self.aggregate(now);
        }
        if now >= self.costs_logged_at + COST_LOG_INTERVAL {
            self.costs_logged_at = now;
            self.shared.log_costs();
        }
        if now >= self.unreported_reset_at + UNREPORTED_RESET_INTERVAL {
            self.unreported_reset_at = now;
            self.shared.gauges.each(|gauge| gauge.clear_fresh());
        }
    }

    fn send(&self, target: GossipTarget, now: Moment, link: &ServiceLink<PeerMessage>) {
        let client = self.client.clone();
        let costs = Arc::clone(&self.shared.costs);
        let kind = if target.is_near {
            CostKind::GossipNear
        } else {
            CostKind::GossipFar
        };
        link.spawn(async move {
            match exchange(&client, &target).await {
                Ok((response, bytes)) => {
                    costs.count_bytes(kind, bytes);
                    PeerMessage::Answered(Box::new((target, response)), now)
                }
                Err(error) => {
                    costs.count(kind);
                    PeerMessage::Failed(target.node, error)
                }
            }
        });
    }

    /// Sums up what others told, for placing and planning.
    fn aggregate(&mut self, now: Moment) {
        self.aggregated_at = now;
        let started_at = BootClock::now();
        let work = self.shared.membership().work_elsewhere(now);
        let gauges = &self.shared.gauges;
        gauges.each(|gauge| {
            let requests = work.loads.get(&gauge.key()).copied();
            gauge.set_remote(requests.unwrap_or(0));
        });
        self.shared.elsewhere.publish(work);
        self.publish(now);
        let elapsed = BootClock::now().saturating_sub(started_at);
        self.shared.costs.count_time(CostKind::WorkFolded, elapsed);
    }

    /// Publishes who lives, if that has changed.
    fn publish(&mut self, now: Moment) {
        let mut membership = self.shared.membership();
        for node in membership.take_returned() {
            log::info!(peer = node.as_str(); "peer_heard");
        }
        let version = membership.refresh(now);
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        let view = LiveView::of(&membership, now);
        drop(membership);
        self.shared.live.publish(view);
    }

    /// Tells the node that gives a silent target's group orders, at once.
    ///
    /// Through hubs it would hear of it up to half a second later, and the group serves nobody meanwhile.
    fn send_suspicion(&self, silent: SilentTarget, link: &ServiceLink<PeerMessage>) {
        let live = self.shared.live.read();
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
        self.register(Duration::ZERO, link);
        let first_read = if self.shared.settings.is_first_start {
            FIRST_REGISTRY_READ_DELAY
        } else {
            Duration::ZERO
        };
        link.later(first_read, PeerMessage::ReadRegistry);
        link.later(TICK_INTERVAL, PeerMessage::Tick);
    }

    fn handle(&mut self, message: PeerMessage, link: &ServiceLink<PeerMessage>) {
        let now = link.now();
        match message {
            PeerMessage::Tick => {
                self.tick(now, link);
                link.later(TICK_INTERVAL, PeerMessage::Tick);
            }
            PeerMessage::Answered(exchanged, sent_at) => {
                let (target, gossip) = *exchanged;
                apply_hints(&self.shared, &gossip);
                let mut membership = self.shared.membership();
                membership.take_answer(&target, &gossip, sent_at, now);
                drop(membership);
                if gossip.roster.is_some() {
                    self.aggregate(now);
                }
            }
            PeerMessage::Failed(node, error) => {
                self.shared.membership().note_failure(&node, now);
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
                self.register(REGISTRY_RETRY_DELAY, link);
            }
            PeerMessage::RegistryRead(Ok(news)) => {
                self.apply_registry_update(&news, now);
                self.shared.peers_known.send_replace(true);
                link.later(REGISTRY_READ_INTERVAL, PeerMessage::ReadRegistry);
            }
            PeerMessage::RegistryRead(Err(error)) => {
                if error == SourceError::HistoryGone {
                    self.mark = None;
                }
                self.shared.peers_known.send_replace(true);
                link.later(REGISTRY_RETRY_DELAY, PeerMessage::ReadRegistry);
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
                .heard
                .map(|heard| now.saturating_sub(heard).as_millis() as u64);
            json!({
                "node": peer.entry.node,
                "zone": peer.entry.zone,
                "silence_ms": silence,
                "leaving": peer.is_leaving,
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
}
