//! Peer API: exchanges published state with other nodes and handles the requests they forward.

use std::sync::Arc;

use briarswitch_http::{read_body, reply_msgpack, reply_text, Handler, Request, Response};
use briarswitch_kernel::BootClock;
use briarswitch_wire::config::{EntryDoc, SnapshotDoc};
use briarswitch_wire::peer::{
    ExchangeReply, ExchangeRequest, ViewDoc, FORWARD_HOP_HEADER, FORWARD_PREFIX,
    FORWARD_REFUSED_HEADER, FORWARD_TOKEN_HEADER,
};
use futures::future::BoxFuture;
use http::{HeaderValue, StatusCode};

use crate::auth::{is_bearer, is_token};
use crate::caller::CallerApi;
use crate::peers::EXCHANGE_PATH;
use crate::shared::{ConfigView, NodeShared, Phase};

/// Maximum size of an exchange request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// HTTP handler of the peer API.
pub struct PeerApi {
    shared: Arc<NodeShared>,
    callers: Arc<CallerApi>,
}

impl PeerApi {
    /// Creates the handler; forwarded requests are passed to `callers`.
    pub fn new(shared: Arc<NodeShared>, callers: Arc<CallerApi>) -> Arc<Self> {
        Arc::new(Self { shared, callers })
    }

    /// Handles a caller's request that another node forwarded.
    async fn handle_forwarded(&self, mut request: Request) -> Response {
        let token = request.headers_mut().remove(FORWARD_TOKEN_HEADER);
        let token = token.as_ref().and_then(|token| token.to_str().ok());
        if !token.is_some_and(|token| is_token(token, &self.shared.settings.peer_token)) {
            return reply_text(StatusCode::UNAUTHORIZED, "unknown credential");
        }
        let path = request.uri().path_and_query().map(|path| path.as_str());
        let inner = path.and_then(|path| path.strip_prefix(FORWARD_PREFIX)?.parse().ok());
        let Some(inner) = inner else {
            return reply_text(StatusCode::NOT_FOUND, "no such path");
        };
        *request.uri_mut() = inner;
        let is_helped = request.headers().contains_key(FORWARD_HOP_HEADER);
        if is_helped && !self.can_help() {
            let mut refusal = reply_text(StatusCode::SERVICE_UNAVAILABLE, "not taken");
            let value = HeaderValue::from_static("1");
            refusal.headers_mut().insert(FORWARD_REFUSED_HEADER, value);
            return refusal;
        }
        self.callers.handle(request).await
    }

    /// Returns whether this node takes requests of nodes that reach no target.
    fn can_help(&self) -> bool {
        self.shared.phase() == Phase::Running && !self.shared.reach.is_partitioned()
    }

    fn respond(&self, request: ExchangeRequest) -> ExchangeReply {
        let settings = &self.shared.settings;
        let config = self.shared.config.load();
        let (entries, snapshot) = missing_config(&config, request.config);
        let views = self.shared.views.read();
        let newer = views.values().filter(|view| {
            let known = request.views.iter().find(|mark| mark.zone == view.zone);
            known.is_none_or(|mark| (view.epoch, view.sequence) > (mark.epoch, mark.sequence))
        });
        let now = BootClock::now();
        // A node of the same zone polls every watcher, so it gets only the evidence from this
        // node's own probes. A node of another zone polls only two nodes, so it gets all evidence
        // on this zone.
        let evidence = if request.zone == settings.zone {
            self.shared
                .own_evidence
                .read()
                .changes_since(request.evidence, now)
        } else {
            self.shared
                .zone_evidence
                .read()
                .changes_since(request.evidence, now)
        };
        ExchangeReply {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation: self.shared.incarnation,
            config: config.config.version(),
            has_floor: config.floor.is_some(),
            entries,
            snapshot,
            views: newer.map(ViewDoc::from).collect(),
            evidence,
            is_leaving: self.shared.phase() != Phase::Running,
        }
    }
}

/// Returns the configuration that a peer at `version` lacks: the log entries since then, or a
/// snapshot if the log no longer reaches back that far.
fn missing_config(config: &ConfigView, version: u64) -> (Vec<EntryDoc>, Option<SnapshotDoc>) {
    if version >= config.config.version() {
        return (Vec::new(), None);
    }
    let first = config.log.front().map(|entry| entry.version);
    if first.is_none_or(|first| first > version + 1) {
        return (Vec::new(), Some(SnapshotDoc::from(&config.config)));
    }
    let entries = config.log.iter().filter(|entry| entry.version > version);
    (entries.cloned().collect(), None)
}

impl Handler for PeerApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            if request.uri().path().starts_with(FORWARD_PREFIX) {
                return self.handle_forwarded(request).await;
            }
            let (head, body) = request.into_parts();
            if !is_bearer(&head.headers, &self.shared.settings.peer_token) {
                return reply_text(StatusCode::UNAUTHORIZED, "unknown credential");
            }
            if head.uri.path() != EXCHANGE_PATH {
                return reply_text(StatusCode::NOT_FOUND, "no such path");
            }
            let Ok(bytes) = read_body(body, MAX_BODY_BYTES).await else {
                return reply_text(StatusCode::BAD_REQUEST, "unreadable body");
            };
            self.shared.metrics.add_peer_bytes(bytes.len());
            match unpack_request(&bytes) {
                Some(request) => reply_msgpack(StatusCode::OK, &self.respond(request)),
                None => reply_text(StatusCode::BAD_REQUEST, "unreadable request"),
            }
        })
    }

    /// Another node relays the response to a forwarded request to its caller.
    fn after_panic(&self) -> Response {
        self.callers.after_panic()
    }
}

fn unpack_request(bytes: &[u8]) -> Option<ExchangeRequest> {
    briarswitch_http::decode_msgpack(bytes).ok()
}
