//! The service that asks other nodes what they know.

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
use crate::shared::{NodeShared, PeerRoster, PeerStanding};
use crate::watch::{WatchMessage, WATCH_SERVICE};

/// Name of the service.
pub const PEERS_SERVICE: &str = "peers";
/// Path of the exchange.
pub const EXCHANGE_PATH: &str = "/peer/exchange";

/// What the service is sent.
#[derive(Debug)]
pub enum PeersMessage {
    /// Time to ask a peer.
    TestRequest(usize),
    /// What a peer said.
    Answered {
        /// Index of the peer in the settings.
        index: usize,
        /// Local time before it was asked.
        asked: Moment,
        /// Its answer.
        reply: Box<Result<ExchangeReply, CallError>>,
    },
}

/// Exchanges state with the other nodes.
pub struct PeerExchange {
    shared: Arc<NodeShared>,
    client: ApiClient,
    roster: PeerRoster,
    marks: IndexMap<NodeId, EvidenceMark>,
    /// Peers of the zone that were asked at least once.
    asked: IndexSet<NodeId>,
    knows_floor: bool,
}

impl PeerExchange {
    /// Opens an exchange that has heard nobody.
    pub fn open(shared: Arc<NodeShared>) -> Self {
        let token = shared.settings.peer_token.clone();
        Self {
            shared,
            client: ApiClient::new(Codec::MessagePack, Some(token)),
            roster: PeerRoster::new(),
            marks: IndexMap::new(),
            asked: IndexSet::new(),
            knows_floor: false,
        }
    }

    fn peer(&self, index: usize) -> &PeerSettings {
        &self.shared.settings.peers[index]
    }

    fn is_near(&self, index: usize) -> bool {
        self.peer(index).zone == self.shared.settings.zone
    }

    /// Returns whether a peer is asked at all: every one of the zone, and of each other zone only
    /// two, so that the exchange grows with the zone's nodes and the number of zones and not with
    /// all nodes.
    fn is_asked(&self, index: usize) -> bool {
        if self.is_near(index) {
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
                let standing = self.roster.get(&peer.node);
                standing.is_none_or(|standing| now < standing.heard + timeout * 2)
            })
            .map(|peer| peer.node.clone())
            .collect();
        let chosen = watchers(&self.shared.settings.node, &nodes);
        let is_silent = !nodes.contains(&self.peer(index).node);
        // A peer that fell silent is still asked, since asking is how the end of a cut is noticed.
        is_silent || chosen.contains(&&self.peer(index).node)
    }

    fn ask(&self, index: usize, link: &ServiceLink<PeersMessage>) {
        let gate = self.shared.settings.gate;
        if !self.is_asked(index) {
            link.later(
                gate.remote_exchange_interval,
                PeersMessage::TestRequest(index),
            );
            return;
        }
        let request = self.request(index);
        let url = format!("http://{}{EXCHANGE_PATH}", self.peer(index).address);
        let client = self.client.clone();
        let limit = gate.peer_timeout.min(Duration::from_secs(1));
        link.spawn(async move {
            let asked = BootClock::now();
            let reply = client.call(Method::POST, &url, Some(&request), limit).await;
            PeersMessage::Answered {
                index,
                asked,
                reply: Box::new(reply),
            }
        });
    }

    fn request(&self, index: usize) -> ExchangeRequest {
        let views = self.shared.views.read();
        let node = &self.peer(index).node;
        ExchangeRequest {
            node: self.shared.settings.node.clone(),
            zone: self.shared.settings.zone.clone(),
            incarnation: self.shared.incarnation,
            config: self.shared.config.read().book.version(),
            views: views.values().map(ViewMark::from).collect(),
            evidence: self.marks.get(node).copied().unwrap_or_default(),
        }
    }

    fn take(&mut self, reply: ExchangeReply, asked: Moment, link: &ServiceLink<PeersMessage>) {
        let standing = PeerStanding {
            zone: reply.zone.clone(),
            incarnation: reply.incarnation,
            config: reply.config,
            heard: asked,
            is_leaving: reply.is_leaving,
        };
        self.roster.insert(reply.node.clone(), standing);
        self.shared.roster.publish(self.roster.clone());
        self.marks.insert(reply.node.clone(), reply.evidence.mark);
        self.knows_floor |= reply.has_floor && reply.zone == self.shared.settings.zone;
        self.pass_on(reply, asked, link);
    }

    fn pass_on(&self, reply: ExchangeReply, asked: Moment, link: &ServiceLink<PeersMessage>) {
        let has_config = !reply.entries.is_empty() || reply.snapshot.is_some();
        if let (true, Some(config)) = (has_config, link.kernel().find(CONFIG_SERVICE)) {
            let _ = config.post(ConfigMessage::Learned {
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
            asked,
        });
    }

    /// Tells the configuration service once every peer of the zone was asked and one knew a floor.
    fn note_asked(&mut self, index: usize, link: &ServiceLink<PeersMessage>) {
        if !self.is_near(index) {
            return;
        }
        self.asked.insert(self.peer(index).node.clone());
        let near = (0..self.shared.settings.peers.len()).filter(|index| self.is_near(*index));
        let is_complete = near
            .map(|index| &self.peer(index).node)
            .all(|node| self.asked.contains(node));
        if !(is_complete && self.knows_floor) {
            return;
        }
        if let Some(config) = link.kernel().find(CONFIG_SERVICE) {
            let _ = config.post(ConfigMessage::ZoneAsked);
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
            self.ask(index, link);
        }
    }

    fn handle(&mut self, message: PeersMessage, link: &ServiceLink<PeersMessage>) {
        match message {
            PeersMessage::TestRequest(index) => self.ask(index, link),
            PeersMessage::Answered {
                index,
                asked,
                reply,
            } => {
                match *reply {
                    Ok(reply) => self.take(reply, asked, link),
                    Err(error) => {
                        let node = self.peer(index).node.as_str();
                        log::debug!(peer = node, error:% = error; "exchange_failed");
                    }
                }
                self.note_asked(index, link);
                let gate = self.shared.settings.gate;
                let interval = if self.is_near(index) {
                    gate.exchange_interval
                } else {
                    gate.remote_exchange_interval
                };
                link.later(interval, PeersMessage::TestRequest(index));
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
                    "heard_ms": (now.saturating_sub(peer.heard)).as_millis(),
                    "leaving": peer.is_leaving,
                });
                (node, state)
            })
            .collect();
        json!({ "peers": peers })
    }
}
