//! HTTP handler for other nodes: gossip, suspicions, crash reports, requests for the store's tables,
//! forwarded requests of callers, and requests that wait in queues of all nodes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::Moment;
use briarswitch_http::{
    decode_msgpack, panic_response, read_body, reply_bytes, reply_msgpack, reply_text, Handler,
    Request, Response,
};
use briarswitch_kernel::{BootClock, Mailbox};
use briarswitch_membership::{Gossip, GossipDoc, NodeStatus};
use futures::future::BoxFuture;
use http::StatusCode;
use indexmap::IndexSet;

use crate::caller_api::CallerApi;
use crate::costs::CostKind;
use crate::feed::FEED_PATH;
use crate::feed_doc::FeedRequestDoc;
use crate::forward::{mark_unfinished, FORWARD_PATH};
use crate::forward_api::ForwardApi;
use crate::gossip_client::{FAR_GOSSIP_PATH, GOSSIP_PATH};
use crate::load_coordinator::LoadCoordinator;
use crate::load_doc::{LoadGrantDoc, LoadRequest, LoadRequestDoc, LOAD_PATH};
use crate::packed::{pack, unpack};
use crate::peers::{apply_hints, apply_suspicions, own_status, SuspicionDoc, SUSPICION_PATH};
use crate::ports::{SourceError, SuspectRow};
use crate::queue_coordinator::QueueCoordinator;
use crate::queue_doc::{QueueReplyDoc, QueueUpdate, QueueUpdateDoc, QUEUE_PATH};
use crate::shared::FleetShared;
use crate::suspect_doc::SuspectDoc;
use crate::suspect_sync::{SuspectMessage, SUSPECT_PATH};

/// Time for which this node's own status is cached; hubs are polled many times per second.
const STATUS_TTL: Duration = Duration::from_millis(20);
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Responds to other nodes.
pub struct PeerApi {
    shared: Arc<FleetShared>,
    status: Mutex<(Moment, NodeStatus)>,
    suspects: Mailbox<SuspectMessage>,
    forward_api: ForwardApi,
    coordinator: Arc<QueueCoordinator>,
    load_coordinator: Arc<LoadCoordinator>,
}

impl PeerApi {
    /// Creates the handler; `suspects` is notified of crashes that other nodes report, and `caller_api` gets the
    /// requests that they forward; `coordinator` takes their waiting requests, and `load_coordinator` grants them loads.
    pub fn new(
        shared: Arc<FleetShared>,
        suspects: Mailbox<SuspectMessage>,
        caller_api: Arc<CallerApi>,
        coordinator: Arc<QueueCoordinator>,
        load_coordinator: Arc<LoadCoordinator>,
    ) -> Arc<Self> {
        Arc::new(Self {
            forward_api: ForwardApi::new(Arc::clone(&shared), caller_api),
            shared,
            status: Mutex::default(),
            suspects,
            coordinator,
            load_coordinator,
        })
    }

    async fn route(&self, request: Request) -> Response {
        match request.uri().path() {
            GOSSIP_PATH => self.gossip(request).await,
            FAR_GOSSIP_PATH => self.far_gossip(request).await,
            SUSPICION_PATH => self.suspicion(request).await,
            FEED_PATH => self.feed(request).await,
            SUSPECT_PATH => self.crashes(request).await,
            QUEUE_PATH => self.queue(request).await,
            LOAD_PATH => self.loads(request).await,
            FORWARD_PATH => self.forward_api.respond(request).await,
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn feed(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let Some(doc) = read_message::<FeedRequestDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a question");
        };
        self.shared.costs.count(CostKind::ReaderAnswered);
        match self.shared.feed.respond(doc.into(), arrived).await {
            Ok(response) => reply_msgpack(StatusCode::OK, &response),
            // The requesting node has to read the full table again. If this were reported as an
            // outage, it would repeat the same request forever.
            Err(SourceError::HistoryGone) => reply_text(StatusCode::GONE, "history gone"),
            Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    /// Takes another node's waiting requests, and holds the reply until there is a decision.
    async fn queue(&self, request: Request) -> Response {
        let Some(doc) = read_message::<QueueUpdateDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected waiting requests");
        };
        self.shared.costs.count(CostKind::QueueAnswered);
        let update = QueueUpdate::from((doc, BootClock::now()));
        match self.coordinator.exchange(update).await {
            Ok(reply) => reply_msgpack(StatusCode::OK, &QueueReplyDoc::from(reply)),
            Err(error) => reply_text(StatusCode::MISDIRECTED_REQUEST, error.to_string()),
        }
    }

    async fn loads(&self, request: Request) -> Response {
        let Some(doc) = read_message::<LoadRequestDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a number of loads");
        };
        self.shared.costs.count(CostKind::LoadAnswered);
        let request = LoadRequest::from(doc);
        match self.load_coordinator.grant(&request, BootClock::now()) {
            Ok(granted) => reply_msgpack(StatusCode::OK, &LoadGrantDoc::from(granted)),
            Err(error) => reply_text(StatusCode::MISDIRECTED_REQUEST, error.to_string()),
        }
    }

    async fn gossip(&self, request: Request) -> Response {
        match read_message::<GossipDoc>(request).await {
            Some(doc) => reply_msgpack(StatusCode::OK, &self.respond_to(doc)),
            None => reply_text(StatusCode::BAD_REQUEST, "expected a message"),
        }
    }

    async fn far_gossip(&self, request: Request) -> Response {
        let body = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        let doc = body.ok().and_then(|body| unpack::<GossipDoc>(&body).ok());
        let Some(doc) = doc else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a compressed message");
        };
        match pack(&self.respond_to(doc)) {
            Ok(packed) => reply_bytes(StatusCode::OK, "application/octet-stream", packed),
            Err(error) => reply_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn respond_to(&self, doc: GossipDoc) -> GossipDoc {
        self.shared.costs.count(CostKind::GossipAnswered);
        let gossip = Gossip::from(doc);
        apply_hints(&self.shared, &gossip);
        let now = BootClock::now();
        let mut cached = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= cached.0 + STATUS_TTL {
            *cached = (now, own_status(&self.shared));
        }
        let response = self.shared.membership().respond(&gossip, &cached.1, now);
        GossipDoc::from(&response)
    }

    /// Records crashes that another node saw, and responds with all that is known of the requests
    /// that were running there.
    async fn crashes(&self, request: Request) -> Response {
        let Some(doc) = read_message::<SuspectDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected ends of targets");
        };
        let reported = Vec::<SuspectRow>::from(doc);
        let fingerprints: IndexSet<SuspectFingerprint> =
            reported.iter().map(|row| row.key().fingerprint).collect();
        let suspects = &self.shared.suspects;
        let updated = reported.iter().filter(|row| suspects.record(row));
        let updated: IndexSet<SuspectFingerprint> =
            updated.map(|row| row.key().fingerprint).collect();
        if !updated.is_empty() {
            if let Err(error) = self.suspects.post(SuspectMessage::Reported(updated)) {
                log::warn!(error:% = error; "ends_untold");
            }
        }
        let known = fingerprints
            .iter()
            .flat_map(|fingerprint| suspects.rows(fingerprint));
        reply_msgpack(StatusCode::OK, &known.collect::<SuspectDoc>())
    }

    async fn suspicion(&self, request: Request) -> Response {
        let Some(doc) = read_message::<SuspicionDoc>(request).await else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a target");
        };
        apply_suspicions(&self.shared, std::iter::once(&doc.target));
        reply_msgpack(StatusCode::OK, &())
    }
}

async fn read_message<T: serde::de::DeserializeOwned>(request: Request) -> Option<T> {
    let bytes = read_body(request.into_body(), MAX_MESSAGE_BYTES)
        .await
        .ok()?;
    decode_msgpack::<T>(&bytes).ok()
}

impl Handler for PeerApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.route(request))
    }

    fn after_panic(&self) -> Response {
        mark_unfinished(panic_response())
    }
}
