//! Service that polls the other nodes for their configuration, views and evidence.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_core::watch::watchers;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use briarswitch_wire::peer::{EvidenceMark, ExchangeReply, ExchangeRequest, ViewMark};
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};

use crate::config::{ConfigMessage, CONFIG_SERVICE};
use crate::settings::PeerSettings;
use crate::shared::{NodeShared, PeerRoster, PeerStatus};
use crate::watch::{WatchMessage, WATCH_SERVICE};

/// Name of the service.
pub const PEERS_SERVICE: &str = "peers";
/// Path of the exchange request.
pub const EXCHANGE_PATH: &str = "/peer/exchange";

/// Messages of the service.
#[derive(Debug)]
pub enum PeersMessage {
    /// The peer at this index of the settings is due to be polled.
    PollDue(usize),
    /// A poll has returned.
    Answered {
        /// Index of the peer in the settings.
        index: usize,
        /// Local time just before the request was sent.
        requested_at: Moment,
        /// Reply of the peer.
        reply: Box<Result<ExchangeReply, CallError>>,
    },
}

/// Polls the other nodes and passes their state on to the services that need it.
pub struct PeerExchange {
    shared: Arc<NodeShared>,
    client: ApiClient,
    roster: PeerRoster,
    marks: IndexMap<NodeId, EvidenceMark>,
    /// Peers of this node's zone that were polled at least once, successfully or not.
    polled: IndexSet<NodeId>,
    knows_floor: bool,
}

impl PeerExchange {
    /// Creates an exchange that has not polled any peer.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        let token = shared.settings.peer_token.clone();
        Self {
            shared,
            client: ApiClient::new(Codec::MessagePack, Some(token)),
            roster: PeerRoster::new(),
            marks: IndexMap::new(),
            polled: IndexSet::new(),
            knows_floor: false,
        }
    }

    fn peer(&self, index: usize) -> &PeerSettings {
        &self.shared.settings.peers[index]
    }

    fn is_same_zone(&self, index: usize) -> bool {
        self.peer(index).zone == self.shared.settings.zone
    }

    /// Returns whether a peer is polled.
    ///
    /// All peers of this node's zone are polled, but only two of each other zone, so that the cost
    /// grows with the nodes of the zone and the number of zones instead of with all nodes.
    fn is_polled(&self, index: usize) -> bool {
        if self.is_same_zone(index) {
            return true;
        }
        let zone = &self.peer(index).zone;
        let peers = &self.shared.settings.peers;
        let timeout = self.shared.settings.gate.peer_timeout;
        let now = BootClock::now();
        let nodes: Vec<NodeId> = peers
            .iter()
            .filter(|peer| peer.zone == *zone)
            .filter(|peer| {
                let status = self.roster.get(&peer.node);
                status.is_none_or(|status| now < status.last_heard + timeout * 2)
            })
            .map(|peer| peer.node.clone())
            .collect();
        let chosen = watchers(&self.shared.settings.node, &nodes);
        let is_silent = !nodes.contains(&self.peer(index).node);
        // Unreachable peers are polled too, because only polling shows when they are reachable
        // again.
        is_silent || chosen.contains(&&self.peer(index).node)
    }

    fn poll(&self, index: usize, link: &ServiceLink<PeersMessage>) {
        let gate = self.shared.settings.gate;
        if !self.is_polled(index) {
            link.send_after(gate.remote_exchange_interval, PeersMessage::PollDue(index));
            return;
        }
        let request = self.build_request(index);
        let url = format!("http://{}{EXCHANGE_PATH}", self.peer(index).address);
        let client = self.client.clone();
        let limit = gate.peer_timeout.min(Duration::from_secs(1));
        link.spawn(async move {
            let requested_at = BootClock::now();
            let reply = client.call(Method::POST, &url, Some(&request), limit).await;
            PeersMessage::Answered {
                index,
                requested_at,
                reply: Box::new(reply),
            }
        });
    }

    fn build_request(&self, index: usize) -> ExchangeRequest {
        let views = self.shared.views.read();
        let node = &self.peer(index).node;
        ExchangeRequest {
            node: self.shared.settings.node.clone(),
            zone: self.shared.settings.zone.clone(),
            incarnation: self.shared.incarnation,
            config: self.shared.config.read().config.version(),
            views: views.values().map(ViewMark::from).collect(),
            evidence: self.marks.get(node).copied().unwrap_or_default(),
        }
    }

    fn record_reply(
        &mut self,
        reply: ExchangeReply,
        requested_at: Moment,
        link: &ServiceLink<PeersMessage>,
    ) {
        let status = PeerStatus {
            zone: reply.zone.clone(),
            incarnation: reply.incarnation,
            config: reply.config,
            last_heard: requested_at,
            is_leaving: reply.is_leaving,
        };
        self.roster.insert(reply.node.clone(), status);
        self.shared.roster.publish(self.roster.clone());
        self.marks.insert(reply.node.clone(), reply.evidence.mark);
        self.knows_floor |= reply.has_floor && reply.zone == self.shared.settings.zone;
        self.distribute(reply, requested_at, link);
    }

    fn distribute(
        &self,
        reply: ExchangeReply,
        requested_at: Moment,
        link: &ServiceLink<PeersMessage>,
    ) {
        let has_config = !reply.entries.is_empty() || reply.snapshot.is_some();
        if let (true, Some(config)) = (has_config, link.kernel().find(CONFIG_SERVICE)) {
            let _ = config.post(ConfigMessage::Received {
                entries: reply.entries,
                snapshot: reply.snapshot,
            });
        }
        let Some(watch) = link.kernel().find::<WatchMessage>(WATCH_SERVICE) else {
            return;
        };
        for view in reply.views {
            let _ = watch.post(WatchMessage::View(view.into()));
        }
        let _ = watch.post(WatchMessage::PeerEvidence {
            node: reply.node,
            evidence: reply.evidence,
            requested_at,
        });
    }

    /// Records that a peer was polled. Once all peers of the zone were polled and one of them knows
    /// the configuration floor, the configuration service is notified.
    fn record_poll(&mut self, index: usize, link: &ServiceLink<PeersMessage>) {
        if !self.is_same_zone(index) {
            return;
        }
        self.polled.insert(self.peer(index).node.clone());
        let zone_peers =
            (0..self.shared.settings.peers.len()).filter(|index| self.is_same_zone(*index));
        let is_complete = zone_peers
            .map(|index| &self.peer(index).node)
            .all(|node| self.polled.contains(node));
        if !(is_complete && self.knows_floor) {
            return;
        }
        if let Some(config) = link.kernel().find(CONFIG_SERVICE) {
            let _ = config.post(ConfigMessage::ZonePolled);
        }
    }
}

impl Service for PeerExchange {
    type Message = PeersMessage;

    fn name(&self) -> &'static str {
        PEERS_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<PeersMessage>) {
        for index in 0..self.shared.settings.peers.len() {
            self.poll(index, link);
        }
    }

    fn handle(&mut self, message: PeersMessage, link: &ServiceLink<PeersMessage>) {
        match message {
            PeersMessage::PollDue(index) => self.poll(index, link),
            PeersMessage::Answered {
                index,
                requested_at,
                reply,
            } => {
                match *reply {
                    Ok(reply) => self.record_reply(reply, requested_at, link),
                    Err(error) => {
                        let node = self.peer(index).node.as_str();
                        log::debug!(peer = node, error:% = error; "exchange_failed");
                    }
                }
                self.record_poll(index, link);
                let gate = self.shared.settings.gate;
                let interval = if self.is_same_zone(index) {
                    gate.exchange_interval
                } else {
                    gate.remote_exchange_interval
                };
                link.send_after(interval, PeersMessage::PollDue(index));
            }
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let peers: IndexMap<&NodeId, Value> = self
            .roster
            .iter()
            .map(|(node, peer)| {
                let state = json!({
                    "zone": peer.zone,
                    "incarnation": peer.incarnation,
                    "config_version": peer.config,
                    "heard_ms": (now.saturating_sub(peer.last_heard)).as_millis(),
                    "leaving": peer.is_leaving,
                });
                (node, state)
            })
            .collect();
        json!({ "peers": peers })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
