//! The exchange between nodes: who is alive, who has sent how much where, and what fell silent.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
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

use crate::feed::{FeedAnswerDoc, FeedQuestionDoc, FEED_PATH};
use crate::note::{MemberSign, NodeWork, PeerNote, PeerNoteDoc, ZoneDigest};
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
        work: NodeWork {
            loads: loads
                .map(|(target, requests, _)| (target, requests))
                .collect(),
            loading: shared.loading.load(Ordering::Relaxed),
            demand: shared.demand.rates(now),
            arrivals: shared.demand.arrivals(now),
        },
        suspects: shared.gauges.suspects(now),
        zone: None,
    }
}

/// Returns what this node tells one that asked: of its whole zone, if that one stands in another.
fn answer_note(shared: &FleetShared, asker: &str) -> PeerNote {
    let mut note = own_note(shared);
    let zone = &shared.settings.zone;
    let peers = shared.peers.read();
    let is_far = peers
        .get(asker)
        .is_some_and(|peer| peer.entry.zone != *zone);
    if is_far {
        let hearsay = shared
            .hearsay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let digest = hearsay.digest(zone, &note, BootClock::now());
        note.zone = Some(Box::new(digest));
    }
    note
}

/// Exchanges notes with the other nodes.
pub struct PeerExchange {
    shared: Arc<FleetShared>,
    client: CallerClient,
    book: PeerBook,
    asked: IndexMap<NodeId, Moment>,
    zones: IndexMap<ZoneId, ZoneTurn>,
    mark: Option<FeedMark>,
    is_registered: bool,
    cleared: Moment,
}

/// Whose turn it is among the nodes of another zone.
#[derive(Debug, Default)]
struct ZoneTurn {
    asked: Moment,
    count: usize,
}

/// Message to [`PeerExchange`].
pub enum PeerMessage {
    /// Ask whom it is time to ask.
    Tick,
    /// A node's note, heard at this moment at the earliest.
    Heard(Box<PeerNote>, Moment),
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
            asked: IndexMap::new(),
            zones: IndexMap::new(),
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
                arrivals: 0.0,
            };
            self.book.insert(entry.node, view);
        }
        self.shared.peers.publish(self.book.clone());
    }

    /// Asks every node whose turn it is.
    fn ask_peers(&mut self, now: Moment, link: &ServiceLink<PeerMessage>) {
        let mut due = self.near_due(now);
        due.extend(self.far_due(now));
        for entry in due {
            let client = self.client.clone();
            let doc = PeerNoteDoc::from(own_note(&self.shared));
            link.spawn(async move {
                let url = format!("http://{}{EXCHANGE_PATH}", entry.address);
                let answer: Result<PeerNoteDoc, CallError> = client
                    .call(Method::POST, &url, Some(&doc), EXCHANGE_TIME)
                    .await;
                match answer {
                    Ok(doc) => PeerMessage::Heard(Box::new(doc.into()), now),
                    Err(_) => PeerMessage::Missed(entry.node),
                }
            });
        }
    }

    /// Returns the nodes of the own zone to ask; of two nodes the one with the lower name asks.
    fn near_due(&mut self, now: Moment) -> Vec<NodeEntry> {
        let own = &self.shared.settings;
        let asked = &self.asked;
        let due = self.book.values().filter(|peer| {
            let before = asked.get(&peer.entry.node);
            peer.entry.zone == own.zone
                && own.node < peer.entry.node
                && before.is_none_or(|at| now >= *at + NEAR_INTERVAL)
        });
        let due: Vec<NodeEntry> = due.map(|peer| peer.entry.clone()).collect();
        for entry in &due {
            self.asked.insert(entry.node.clone(), now);
        }
        due
    }

    /// Returns one node of each other zone whose turn it is, by turns among those that live.
    fn far_due(&mut self, now: Moment) -> Vec<NodeEntry> {
        let own = &self.shared.settings.zone;
        let mut zones: IndexMap<ZoneId, Vec<&PeerView>> = IndexMap::new();
        for peer in self.book.values().filter(|peer| peer.entry.zone != *own) {
            zones.entry(peer.entry.zone.clone()).or_default().push(peer);
        }
        let mut due = Vec::new();
        for (zone, peers) in zones {
            let turn = self.zones.entry(zone).or_insert_with(|| ZoneTurn {
                asked: Moment::ZERO,
                count: rand::random::<u32>() as usize,
            });
            if now < turn.asked + FAR_INTERVAL {
                continue;
            }
            turn.asked = now;
            turn.count = turn.count.wrapping_add(1);
            let live: Vec<&&PeerView> = peers.iter().filter(|peer| peer.is_live(now)).collect();
            // A zone of which nothing is heard is asked all the same, or a cut would never heal.
            let chosen = match live.len() {
                0 => peers[turn.count % peers.len()],
                count => live[turn.count % count],
            };
            due.push(chosen.entry.clone());
        }
        due
    }

    fn hear(&mut self, mut note: PeerNote, at: Moment) {
        let Some(peer) = self.book.get(&note.node) else {
            return;
        };
        if note.incarnation < peer.entry.incarnation {
            return;
        }
        let is_near = peer.entry.zone == self.shared.settings.zone;
        self.note_sign(&note.sign(Duration::ZERO), at);
        if note.has_traffic {
            self.shared.has_traffic.store(true, Ordering::Relaxed);
        }
        self.share_suspicions(&note.suspects);
        let digest = note.zone.take();
        self.take_work(note, digest.map(|digest| *digest), is_near, at);
        self.shared.peers.publish(self.book.clone());
    }

    fn take_work(&mut self, note: PeerNote, digest: Option<ZoneDigest>, is_near: bool, at: Moment) {
        if let Some(digest) = &digest {
            self.share_suspicions(&digest.suspects);
            for sign in &digest.members {
                let held = self.book.get(&sign.node);
                if held.is_some_and(|peer| peer.entry.incarnation <= sign.incarnation) {
                    self.note_sign(sign, at.saturating_sub(sign.age));
                }
            }
        }
        let hearsay = &self.shared.hearsay;
        let mut hearsay = hearsay.lock().unwrap_or_else(PoisonError::into_inner);
        match digest {
            Some(digest) => hearsay.hear_zone(digest, at),
            None if is_near => hearsay.hear_near(note, at),
            // Its work is in the digest of its zone, which this node asks for itself.
            None => {}
        }
        let work = hearsay.work(at);
        drop(hearsay);
        self.shared.gauges.each(|id, gauge| {
            gauge.set_remote(work.loads.get(id).copied().unwrap_or(0));
        });
        self.shared.elsewhere.publish(work);
    }

    /// Notes that a node lived at a moment.
    fn note_sign(&mut self, sign: &MemberSign, at: Moment) {
        let Some(peer) = self.book.get_mut(&sign.node) else {
            return;
        };
        let was_lost = peer.heard.is_none_or(|heard| heard + PEER_SILENCE < at);
        if was_lost {
            log::info!(peer = sign.node.as_str(), incarnation = sign.incarnation; "peer_heard");
        }
        if peer.heard.is_none_or(|heard| heard <= at) {
            peer.heard = Some(at);
            peer.is_leaving = sign.is_leaving;
            peer.arrivals = sign.arrivals;
        }
    }

    fn share_suspicions(&self, suspects: &[TargetId]) {
        let now = BootClock::now();
        for target in suspects {
            let gauge = self.shared.gauges.of(target);
            // A target that this node hears is only cut off from the other.
            if gauge.own() == 0 || gauge.silence(now) > OWN_SILENCE {
                gauge.suspect_by_hearsay(now + SHARED_SUSPICION);
            }
        }
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
            PeerMessage::Heard(note, at) => self.hear(*note, at),
            PeerMessage::Missed(node) => {
                if let Some(peer) = self.book.get(&node) {
                    // Another node of that zone is asked at once.
                    if let Some(turn) = self.zones.get_mut(&peer.entry.zone) {
                        turn.asked = Moment::ZERO;
                    }
                }
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
        match request.uri().path() {
            EXCHANGE_PATH => self.exchange(request).await,
            FEED_PATH => self.feed(request).await,
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn feed(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let bytes = read_body(request.into_body(), NOTE_BYTES).await;
        let doc = bytes
            .ok()
            .and_then(|bytes| unpack::<FeedQuestionDoc>(&bytes).ok());
        let Some(doc) = doc else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a question");
        };
        match self.shared.feed.serve(doc.into(), arrived).await {
            Ok(answer) => reply_packed(StatusCode::OK, &FeedAnswerDoc::from(answer)),
            Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn exchange(&self, request: Request) -> Response {
        let bytes = read_body(request.into_body(), NOTE_BYTES).await;
        let doc = bytes
            .ok()
            .and_then(|bytes| unpack::<PeerNoteDoc>(&bytes).ok());
        let Some(doc) = doc else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a note");
        };
        let note = PeerNote::from(doc);
        let answer = PeerNoteDoc::from(answer_note(&self.shared, &note.node));
        let heard = PeerMessage::Heard(Box::new(note), BootClock::now());
        if self.exchange.post(heard).is_err() {
            log::debug!("peer_note_dropped");
        }
        reply_packed(StatusCode::OK, &answer)
    }
}

impl Handler for PeerSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}
