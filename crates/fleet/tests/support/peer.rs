//! A node that takes part in gossip and coordinates every queue, as the test decides.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_fleet::forward::{ForwardDoc, ForwardRequest, FORWARD_PATH};
use briarswitch_fleet::queue_doc::{
    QueueReply, QueueReplyDoc, QueueUpdate, QueueUpdateDoc, QUEUE_PATH,
};
use briarswitch_http::{
    decode_msgpack, encode_msgpack, read_body, reply_msgpack, reply_text, ApiClient, Codec,
    Handler, HttpServer, Request, Response, ServerGuard,
};
use briarswitch_kernel::BootClock;
use briarswitch_membership::{Gossip, GossipDoc, GossipTarget, Membership, NodeEntry, NodeStatus};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use tokio::runtime::Runtime;
use tokio::sync::watch;

use super::noisy_front::NoisyFront;

/// Bandwidth with which the node ranks before all others.
const LINK_MBPS: u32 = 100_000;
/// Interval between checks for messages that are due.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(25);
/// Time-out of a message.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest message in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What the node responds to a message for a queue.
pub enum QueueResponse {
    /// Nothing; the connection stays open.
    Silence,
    /// That it does not coordinate the queue.
    Misdirected,
    /// A reply after a while.
    Reply(Duration, QueueReply),
}

type Respond = dyn Fn(&QueueUpdate) -> QueueResponse + Send + Sync;

struct PeerState {
    membership: Mutex<Membership>,
    updates: Mutex<Vec<QueueUpdate>>,
    /// Bodies of forwarded requests, by each of which the handler has panicked.
    forwards: Mutex<Vec<Bytes>>,
    respond: Box<Respond>,
}

/// A node that is stopped when it is dropped.
pub struct PeerStub {
    pub entry: NodeEntry,
    /// What other nodes reach it through.
    pub front: NoisyFront,
    state: Arc<PeerState>,
    /// Runs the node, so that nothing of it is left when it is dropped; `None` from then on.
    runtime: Option<Runtime>,
    _server: ServerGuard,
    _stop: watch::Sender<bool>,
}

impl PeerStub {
    /// Starts the node; it has to be registered before other nodes know it.
    pub async fn bind(
        zone: &str,
        respond: impl Fn(&QueueUpdate) -> QueueResponse + Send + Sync + 'static,
    ) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let entered = runtime.handle().clone();
        let bound = entered.spawn(HttpServer::bind("127.0.0.1:0")).await;
        let server = bound.expect("the runtime runs").expect("free port");
        let front = NoisyFront::open(server.address().to_string());
        let front = entered.spawn(front).await.expect("the runtime runs");
        let entry = NodeEntry {
            node: "stub".to_owned(),
            zone: zone.to_owned(),
            address: front.address().to_owned(),
            incarnation: 1,
            link_mbps: LINK_MBPS,
        };
        let state = Arc::new(PeerState {
            membership: Mutex::new(Membership::new(entry.clone())),
            updates: Mutex::default(),
            forwards: Mutex::default(),
            respond: Box::new(respond),
        });
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::clone(&state) as Arc<dyn Handler>;
        let _entered = entered.enter();
        tokio::spawn(send_gossip(Arc::clone(&state)));
        Self {
            entry,
            front,
            runtime: Some(runtime),
            state,
            _server: server.spawn(handler, stopped),
            _stop: stop,
        }
    }

    /// Adds another node of the same zone.
    pub fn add_node(&self, entry: &NodeEntry) {
        self.state.membership().add_node(entry, BootClock::now());
    }

    /// Returns the number of requests with this body that were forwarded to the node, each of which it panicked by.
    pub fn forwards_of(&self, body: &str) -> usize {
        let forwards = self.state.forwards();
        forwards.iter().filter(|forward| *forward == body).count()
    }

    /// Returns the messages for queues so far.
    pub fn updates(&self) -> Vec<QueueUpdate> {
        self.state.updates().clone()
    }
}

impl Drop for PeerStub {
    fn drop(&mut self) {
        // A runtime must not be dropped in an asynchronous context.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl PeerState {
    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn updates(&self) -> MutexGuard<'_, Vec<QueueUpdate>> {
        self.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forwards(&self) -> MutexGuard<'_, Vec<Bytes>> {
        self.forwards.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), MAX_MESSAGE_BYTES).await;
        let body = body.expect("a complete message");
        match path.as_str() {
            "/gossip" => {
                let doc = decode_msgpack::<GossipDoc>(&body).expect("a message");
                let status = NodeStatus::default();
                let now = BootClock::now();
                let gossip = Gossip::from(doc);
                let response = self.membership().respond(&gossip, &status, now);
                reply_msgpack(StatusCode::OK, &GossipDoc::from(&response))
            }
            QUEUE_PATH => self.respond_to_queue(&body).await,
            FORWARD_PATH => {
                let doc = decode_msgpack::<ForwardDoc>(&body).expect("a request");
                let forward = ForwardRequest::try_from(doc).expect("a request");
                self.forwards().push(forward.body);
                panic!("a fault of the test");
            }
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn respond_to_queue(&self, body: &[u8]) -> Response {
        let doc = decode_msgpack::<QueueUpdateDoc>(body).expect("an update");
        let update = QueueUpdate::from((doc, BootClock::now()));
        self.updates().push(update.clone());
        match (self.respond)(&update) {
            QueueResponse::Silence => std::future::pending().await,
            QueueResponse::Misdirected => {
                reply_text(StatusCode::MISDIRECTED_REQUEST, "another node")
            }
            QueueResponse::Reply(delay, reply) => {
                tokio::time::sleep(delay).await;
                reply_msgpack(StatusCode::OK, &QueueReplyDoc::from(reply))
            }
        }
    }
}

impl Handler for PeerState {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(request))
    }
}

async fn send_gossip(state: Arc<PeerState>) {
    let client = ApiClient::new(Codec::MessagePack, None);
    loop {
        let now = BootClock::now();
        let due = state.membership().due_messages(NodeStatus::default, now);
        for target in due.into_iter().filter(|target| target.is_same_zone) {
            let state = Arc::clone(&state);
            let client = client.clone();
            tokio::spawn(async move { exchange(&state, &client, target, now).await });
        }
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }
}

async fn exchange(state: &PeerState, client: &ApiClient, target: GossipTarget, sent_at: Moment) {
    let body = encode_msgpack(&GossipDoc::from(&target.gossip)).expect("a valid document");
    let url = format!("http://{}/gossip", target.address);
    let sent = client.call_raw(Method::POST, &url, body, GOSSIP_TIMEOUT);
    let now = BootClock::now();
    match sent.await {
        Ok(response) => {
            let doc = decode_msgpack::<GossipDoc>(&response).expect("a message");
            state
                .membership()
                .handle_response(&target, &Gossip::from(doc), sent_at, now);
        }
        Err(_) => state.membership().record_failure(&target.node, now),
    }
}
