//! The exchange between nodes: who is alive, who has sent how much where, and what fell silent.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{
    read_body, reply_packed, reply_text, unpack, CallError, CallerClient, Codec, Handler, Request,
    Response,
};
use briarswitch_kernel::{BootClock, Mailbox, Service, ServiceLink};
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::note::{NotedLoad, PeerNote, PeerNoteDoc};
use crate::ports::{FeedMark, NodeEntry, NodeNews, SourceError};
use crate::shared::{FleetPhase, FleetShared, PeerBook, PeerView, PEER_SILENCE};

/// Path of the exchange.
const EXCHANGE_PATH: &str = "/exchange";
/// Time between exchanges with a node of the same zone.
pub const NEAR_INTERVAL: Duration = Duration::from_millis(200);
/// Time between exchanges with a node of another zone, where each byte is paid for.
const FAR_INTERVAL: Duration = Duration::from_millis(400);
/// Time to wait for an answer; longer than any healthy delay, shorter than a node is missed.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);
/// Time for which a peer's suspicion of a target is shared.
const SHARED_SUSPICION: Duration = Duration::from_millis(500);
/// Own silence of a target without which a peer's suspicion is not shared.
const OWN_SILENCE: Duration = Duration::from_millis(120);
/// Longest time one question for new nodes is held open.
const REGISTRY_WAIT: Duration = Duration::from_secs(8);
/// Time to wait after the registry failed.
const REGISTRY_RETRY: Duration = Duration::from_millis(700);
/// Largest note in bytes.
const NOTE_BYTES: usize = 1 << 20;

/// Name of the exchange.
pub const PEER_SERVICE: &str = "peers";

/// Returns what this node tells others.
pub fn own_note(shared: &FleetShared) -> PeerNote {
    let now = BootClock::now();
    let loads = shared.gauges.busy().into_iter();
    PeerNote {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        is_leaving: shared.phase() != FleetPhase::Running,
        has_traffic: shared.has_traffic.load(Ordering::Relaxed),
        loads: loads
            .map(|(target, requests, _)| NotedLoad { target, requests })
            .collect(),
        loading: shared.loading.load(Ordering::Relaxed),
        suspects: shared.gauges.suspects(now),
        demand: shared.demand.rates(now),
        arrivals: shared.demand.arrivals(now),
    }
}

/// Exchanges notes with the other nodes.
pub struct PeerExchange {
    shared: Arc<FleetShared>,
    client: CallerClient,
    book: PeerBook,
    notes: IndexMap<NodeId, (PeerNote, Moment)>,
    asked: IndexMap<NodeId, Moment>,
    mark: Option<FeedMark>,
    is_registered: bool,
    cleared: Moment,
}

/// Message to [`PeerExchange`].
pub enum PeerMessage {
    /// Ask whom it is time to ask.
    Tick,
    /// A node's note, heard at this moment at the earliest.
    Heard(PeerNote, Moment),
    /// A node did not answer.
    Missed(NodeId),
    /// This node's entry was written or not.
    Registered(Result<(), SourceError>),
    /// The registry answered.
    News(Result<NodeNews, SourceError>),
    /// Ask the registry.
    Ask,
}

impl PeerExchange {
    /// Opens an exchange that knows no other node.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            client: CallerClient::open(Codec::Packed, None),
            book: PeerBook::new(),
            notes: IndexMap::new(),
            asked: IndexMap::new(),
            mark: None,
            is_registered: false,
            cleared: Moment::ZERO,
        }
    }

    fn register(&self, after: Duration, link: &ServiceLink<PeerMessage>) {
        let shared = Arc::clone(&self.shared);
        let entry = NodeEntry {
            node: shared.settings.node.clone(),
            zone: shared.settings.zone.clone(),
            address: shared.settings.peers.clone(),
            incarnation: shared.incarnation,
        };
        link.spawn(async move {
            tokio::time::sleep(after).await;
            PeerMessage::Registered(shared.platform.nodes.register(entry).await)
        });
    }

    fn ask_registry(&self, link: &ServiceLink<PeerMessage>) {
        let shared = Arc::clone(&self.shared);
        let mark = self.mark;
        link.spawn(async move {
            PeerMessage::News(shared.platform.nodes.next(mark, REGISTRY_WAIT).await)
        });
    }

    fn take_news(&mut self, news: NodeNews) {
        self.mark = Some(news.mark);
        for entry in news.nodes {
            if entry.node == self.shared.settings.node {
                continue;
            }
            let held = self.book.get(&entry.node);
            let is_same = held.is_some_and(|peer| peer.entry == entry);
            if is_same {
                continue;
            }
            log::info!(peer = entry.node.as_str(), address = entry.address.as_str(); "peer_known");
            let view = PeerView {
                entry: entry.clone(),
                heard: None,
                is_leaving: false,
                demand: IndexMap::new(),
                arrivals: IndexMap::new(),
                loading: 0,
            };
            self.book.insert(entry.node, view);
        }
        self.shared.peers.publish(self.book.clone());
    }

    /// Asks every node whose turn it is; of two nodes the one with the lower name asks.
    fn ask_peers(&mut self, now: Moment, link: &ServiceLink<PeerMessage>) {
        let own = &self.shared.settings;
        let due: Vec<NodeEntry> = self
            .book
            .values()
            .filter(|peer| own.node < peer.entry.node)
            .filter(|peer| {
                let is_near = peer.entry.zone == own.zone;
                let interval = if is_near { NEAR_INTERVAL } else { FAR_INTERVAL };
                let asked = self.asked.get(&peer.entry.node);
                asked.is_none_or(|at| now >= *at + interval)
            })
            .map(|peer| peer.entry.clone())
            .collect();
        for entry in due {
            self.asked.insert(entry.node.clone(), now);
            let client = self.client.clone();
            let doc = PeerNoteDoc::from(own_note(&self.shared));
            link.spawn(async move {
                let url = format!("http://{}{EXCHANGE_PATH}", entry.address);
                let answer: Result<PeerNoteDoc, CallError> = client
                    .call(Method::POST, &url, Some(&doc), EXCHANGE_TIME)
                    .await;
                match answer {
                    Ok(doc) => PeerMessage::Heard(doc.into(), now),
                    Err(_) => PeerMessage::Missed(entry.node),
                }
            });
        }
    }

    fn hear(&mut self, note: PeerNote, at: Moment) {
        let Some(peer) = self.book.get_mut(&note.node) else {
            return;
        };
        if note.incarnation < peer.entry.incarnation {
            return;
        }
        let was_lost = peer.heard.is_none_or(|heard| heard + PEER_SILENCE < at);
        if was_lost {
            log::info!(peer = note.node.as_str(), incarnation = note.incarnation; "peer_heard");
        }
        peer.heard = Some(peer.heard.map_or(at, |heard| heard.max(at)));
        peer.is_leaving = note.is_leaving;
        peer.demand.clone_from(&note.demand);
        peer.arrivals.clone_from(&note.arrivals);
        peer.loading = note.loading;
        if note.has_traffic {
            self.shared.has_traffic.store(true, Ordering::Relaxed);
        }
        self.share_suspicion(&note);
        self.notes.insert(note.node.clone(), (note, at));
        self.spread_loads(at);
        self.shared.peers.publish(self.book.clone());
    }

    fn share_suspicion(&self, note: &PeerNote) {
        let now = BootClock::now();
        for target in &note.suspects {
            let gauge = self.shared.gauges.of(target);
            // A target that this node hears is only cut off from the other.
            if gauge.own() == 0 || gauge.silence(now) > OWN_SILENCE {
                gauge.suspect_by_hearsay(now + SHARED_SUSPICION);
            }
        }
    }

    fn spread_loads(&self, now: Moment) {
        let mut sums: HashMap<&TargetId, u32> = HashMap::new();
        for (note, at) in self.notes.values() {
            if now > *at + PEER_SILENCE {
                continue;
            }
            for load in &note.loads {
                *sums.entry(&load.target).or_insert(0) += load.requests;
            }
        }
        self.shared.gauges.each(|id, gauge| {
            gauge.set_remote(sums.get(id).copied().unwrap_or(0));
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
        self.ask_registry(link);
        link.later(NEAR_INTERVAL, PeerMessage::Tick);
    }

    fn handle(&mut self, message: PeerMessage, link: &ServiceLink<PeerMessage>) {
        match message {
            PeerMessage::Tick => {
                let now = link.now();
                self.ask_peers(now, link);
                if now >= self.cleared + FAR_INTERVAL {
                    self.cleared = now;
                    self.shared.gauges.each(|_, gauge| gauge.clear_fresh());
                }
                link.later(NEAR_INTERVAL / 2, PeerMessage::Tick);
            }
            PeerMessage::Heard(note, at) => self.hear(note, at),
            PeerMessage::Missed(node) => {
                let heard = self.book.get(&node).and_then(|peer| peer.heard);
                log::debug!(peer = node.as_str(), ever_heard = heard.is_some(); "peer_missed");
            }
            PeerMessage::Registered(Ok(())) => self.is_registered = true,
            PeerMessage::Registered(Err(error)) => {
                log::warn!(error:% = error; "registration_failed");
                self.register(REGISTRY_RETRY, link);
            }
            PeerMessage::News(Ok(news)) => {
                self.take_news(news);
                link.later(NEAR_INTERVAL, PeerMessage::Ask);
            }
            PeerMessage::News(Err(error)) => {
                if error == SourceError::HistoryGone {
                    self.mark = None;
                }
                link.later(REGISTRY_RETRY, PeerMessage::Ask);
            }
            PeerMessage::Ask => self.ask_registry(link),
        }
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let peers = self.book.values().map(|peer| {
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
        json!({ "registered": self.is_registered, "peers": peers.collect::<Vec<_>>() })
    }
}

/// Answers other nodes' notes with this node's own.
pub struct PeerSurface {
    shared: Arc<FleetShared>,
    exchange: Mailbox<PeerMessage>,
}

impl PeerSurface {
    /// Opens the surface.
    pub fn open(shared: Arc<FleetShared>, exchange: Mailbox<PeerMessage>) -> Arc<Self> {
        Arc::new(Self { shared, exchange })
    }

    async fn answer(&self, request: Request) -> Response {
        if request.uri().path() != EXCHANGE_PATH {
            return reply_text(StatusCode::NOT_FOUND, "no such path");
        }
        let bytes = read_body(request.into_body(), NOTE_BYTES).await;
        let doc = bytes
            .ok()
            .and_then(|bytes| unpack::<PeerNoteDoc>(&bytes).ok());
        let Some(doc) = doc else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a note");
        };
        let heard = PeerMessage::Heard(doc.into(), BootClock::now());
        if self.exchange.post(heard).is_err() {
            log::debug!("peer_note_dropped");
        }
        reply_packed(StatusCode::OK, &PeerNoteDoc::from(own_note(&self.shared)))
    }
}

impl Handler for PeerSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}
