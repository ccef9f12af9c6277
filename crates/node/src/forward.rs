//! Forwards requests to other nodes: those with a minted idempotency key to the node that minted it, and all others
//! while this node reaches no target.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::minted_key::MintedKey;
use briarswitch_core::prelude::*;
use briarswitch_http::{
    full_body, read_body, stream_body, Body, BodyEnd, BodyError, BodyPart, Response, SendError,
    TargetAddress, TargetBody, TargetClient, TargetLimits, TargetResponse,
};
use briarswitch_kernel::BootClock;
use briarswitch_wire::peer::{
    FORWARD_HOP_HEADER, FORWARD_PREFIX, FORWARD_REFUSED_HEADER, FORWARD_TOKEN_HEADER,
};
use bytes::Bytes;
use futures::Stream;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::HeaderValue;

use crate::reply::{mark_reply, CallerFailure};
use crate::settings::PeerSettings;
use crate::shared::NodeShared;

/// Idle connections kept to each node.
const MAX_IDLE_CONNECTIONS: usize = 0;

/// Nodes that are asked to take one request.
const MAX_TRIES: usize = 4;

/// Why another node returned no response.
enum DeliveryError {
    /// It has not received the request.
    Undelivered,
    /// It may have received the request.
    Lost(FailurePoint),
}

/// Forwards requests to other nodes.
pub struct RequestForwarder {
    shared: Arc<NodeShared>,
    client: TargetClient,
}

impl RequestForwarder {
    /// Creates a forwarder.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        let connect = shared.settings.requests.connect_timeout;
        Self {
            shared,
            client: TargetClient::new(TargetLimits {
                connect_timeout: connect,
                max_idle: MAX_IDLE_CONNECTIONS,
            }),
        }
    }

    /// Forwards a request to one node after the other until one takes it, and relays the response.
    ///
    /// Returns `None` if no node took it; it has not run then.
    pub async fn forward_to_any(&self, head: &Parts, bytes: &Bytes, id: &str) -> Option<Response> {
        for peer in self.peers_by_preference() {
            let address = TargetAddress {
                address: peer.address.clone(),
                incarnation: 0,
            };
            let settings = &self.shared.settings;
            let mut request =
                build_request(head, bytes.clone(), &peer.address, &settings.peer_token);
            let hop = HeaderValue::from_static("1");
            request.headers_mut().insert(FORWARD_HOP_HEADER, hop);
            log::info!(request = id, peer = peer.node.as_str(); "request_forwarded");
            match self.send_within_deadline(&address, request).await {
                Ok(reply) if reply.head.headers.contains_key(FORWARD_REFUSED_HEADER) => {}
                Ok(reply) => return Some(build_response(reply)),
                Err(DeliveryError::Undelivered) => {}
                Err(DeliveryError::Lost(point)) => {
                    let mut reply = CallerFailure::at(point).reply();
                    mark_reply(&mut reply, id, &settings.node, "");
                    return Some(reply);
                }
            }
        }
        None
    }

    /// Returns some nodes that were heard recently, in a random order, those of this node's zone first.
    ///
    /// Half of them are of other zones if there are enough, since all of this zone may be partitioned.
    fn peers_by_preference(&self) -> Vec<PeerSettings> {
        let settings = &self.shared.settings;
        let now = BootClock::now();
        let roster = self.shared.roster.read();
        let is_live = |peer: &&PeerSettings| {
            roster.get(&peer.node).is_some_and(|status| {
                !status.is_leaving && now < status.last_heard + settings.gate.peer_timeout
            })
        };
        let mut live: Vec<&PeerSettings> = settings.peers.iter().filter(is_live).collect();
        live.sort_by_cached_key(|_| rand::random::<u32>());
        let (near, far): (Vec<&PeerSettings>, Vec<&PeerSettings>) = live
            .into_iter()
            .partition(|peer| peer.zone == settings.zone);
        let near_tries = MAX_TRIES.saturating_sub(far.len()).max(MAX_TRIES / 2);
        let chosen = near.into_iter().take(near_tries).chain(far).take(MAX_TRIES);
        chosen.cloned().collect()
    }

    /// Forwards a request once and relays the response.
    ///
    /// If the node that minted the key is unreachable, no node knows whether an earlier request ran
    /// under the key. The outcome is then `unknown`, even though nothing was sent this time.
    pub async fn forward(&self, key: MintedKey, head: Parts, body: Body, id: &str) -> Response {
        match self.send(&key, head, body).await {
            Ok(reply) => build_response(reply),
            Err(point) => {
                let mut reply = CallerFailure::at(point).reply();
                mark_reply(&mut reply, id, &self.shared.settings.node, "");
                reply
            }
        }
    }

    async fn send(
        &self,
        key: &MintedKey,
        head: Parts,
        body: Body,
    ) -> Result<TargetResponse, FailurePoint> {
        let settings = &self.shared.settings;
        let peers = &settings.peers;
        let peer = peers.iter().find(|peer| peer.node == key.node);
        let peer = peer.ok_or(FailurePoint::KeyClaimed)?;
        let limits = settings.requests;
        let read = read_body(body, limits.body_bytes);
        let bytes = match tokio::time::timeout(limits.body_timeout, read).await {
            Ok(Ok(bytes)) => bytes,
            _ => return Err(FailurePoint::Refused),
        };
        let target = TargetAddress {
            address: peer.address.clone(),
            incarnation: key.incarnation,
        };
        let request = build_request(&head, bytes, &peer.address, &settings.peer_token);
        let sent = self.send_within_deadline(&target, request).await;
        sent.map_err(|error| match error {
            DeliveryError::Undelivered => FailurePoint::KeyClaimed,
            DeliveryError::Lost(point) => point,
        })
    }

    /// Sends a request on a connection of its own.
    async fn send_within_deadline(
        &self,
        target: &TargetAddress,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<TargetResponse, DeliveryError> {
        let limits = self.shared.settings.requests;
        let limit = limits.longest_deadline + Duration::from_secs(1);
        let sending = self.client.send(target, request, true);
        match tokio::time::timeout(limit, sending).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(SendError::Connect | SendError::ClosedBeforeSend | SendError::Refused)) => {
                Err(DeliveryError::Undelivered)
            }
            Ok(Err(SendError::Broken)) => Err(DeliveryError::Lost(FailurePoint::BrokenBeforeHead)),
            Ok(Err(SendError::InvalidHead)) => Err(DeliveryError::Lost(FailurePoint::InvalidHead)),
            Err(_) => Err(DeliveryError::Lost(FailurePoint::AnswerDeadline)),
        }
    }
}

fn build_request(
    head: &Parts,
    bytes: Bytes,
    address: &str,
    token: &str,
) -> http::Request<http_body_util::Full<Bytes>> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = http::Request::new(full_body(bytes));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = format!("{FORWARD_PREFIX}{path}")
        .parse()
        .unwrap_or_default();
    let headers = request.headers_mut();
    headers.clone_from(&head.headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    if let (Ok(host), Ok(token)) = (HeaderValue::from_str(address), HeaderValue::from_str(token)) {
        headers.insert(HOST, host);
        headers.insert(FORWARD_TOKEN_HEADER, token);
    }
    request
}

fn build_response(reply: TargetResponse) -> Response {
    let TargetResponse { head, body } = reply;
    let mut response = Response::new(stream_body(body_chunks(body)));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    // The declared length is kept, so that the caller notices a truncated body.
    response.headers_mut().remove(TRANSFER_ENCODING);
    response
}

fn body_chunks(
    body: TargetBody,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static {
    futures::stream::unfold(body, |mut body| async move {
        match body.next().await {
            Ok(BodyPart::Chunk(chunk)) => Some((Ok(chunk), body)),
            Ok(BodyPart::End(BodyEnd::Marked)) => None,
            // Another node marks the end of each body that it relays.
            Ok(BodyPart::End(BodyEnd::Closed)) => {
                Some((Err(std::io::Error::other(BodyError::Incomplete)), body))
            }
            Err(error) => Some((Err(std::io::Error::other(error)), body)),
        }
    })
}
