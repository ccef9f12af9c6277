//! Forwards requests to other nodes while this one is partitioned from all targets.

use std::fmt::Display;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_http::{
    decode_msgpack, encode_msgpack, full_body, hold_bytes, BodyEnd, SendError, TargetAddress,
    TargetBody, TargetClient, TargetLimits, TargetResponse,
};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, StatusCode, Uri};

use crate::costs::CostKind;
use crate::failure::FailedAttempt;
use crate::forward::{
    is_refusal, ForwardDoc, ForwardFailure, ForwardRefusal, ForwardRequest, ForwardedHead,
    RefusalDoc, FORWARD_PATH,
};
use crate::forward_peers::{ChosenPeer, ForwardPeers};
use crate::job::RequestJob;
use crate::shared::FleetShared;

/// Nodes that are asked to take one request.
const MAX_TRIES: usize = 4;
/// Time-out for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of idle connections kept per node.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Part of the remaining time that is kept for the way between the nodes.
const HOP_TIME: Duration = Duration::from_millis(10);
/// Interval at which a node is checked for being live while its response is awaited.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(100);
/// Largest buffered response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// What was done for a request before it is forwarded.
#[derive(Clone, Copy, Debug)]
pub struct ForwardProgress<'a> {
    /// Attempts that were sent to targets.
    pub attempts_sent: u32,
    /// Event after which a stream continues.
    pub last_event: Option<&'a str>,
    /// Whether the caller has received part of the stream.
    pub is_resumption: bool,
    /// Whether another attempt may follow if this one fails.
    pub may_retry: bool,
}

/// A target's response, relayed by another node, whose head has been received.
pub struct ForwardedResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: TargetBody,
    /// The node that relays it.
    pub peer: ChosenPeer,
    /// What that node says of the target and the attempts.
    pub forwarded: ForwardedHead,
}

/// Why a forwarded request has no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardError {
    /// No node took it, and nothing was sent to any target.
    NotTaken,
    /// A node took it, and the request failed there.
    Failed(ForwardFailure),
    /// The connection to the node broke, or the deadline passed, when it may have sent the request to a target.
    Lost(FailurePoint),
}

/// Why one node returned no response.
enum HopError {
    NotTaken(String),
    Ended(ForwardError),
}

impl HopError {
    fn not_taken(error: impl Display) -> Self {
        Self::NotTaken(error.to_string())
    }
}

/// Forwards requests.
pub struct RequestForwarder {
    shared: Arc<FleetShared>,
    client: TargetClient,
    peers: ForwardPeers,
}

impl RequestForwarder {
    /// Creates a forwarder without connections.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            client: TargetClient::new(TargetLimits {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle: MAX_IDLE_CONNECTIONS,
            }),
            peers: ForwardPeers::new(Arc::clone(&shared)),
            shared,
        }
    }

    /// Forwards a request to one node after the other until one takes it, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError`]; after [`ForwardError::Lost`] the request may have run.
    pub async fn forward(
        &self,
        job: &RequestJob,
        progress: ForwardProgress<'_>,
    ) -> Result<ForwardedResponse, ForwardError> {
        for tries in 0..MAX_TRIES {
            let now = BootClock::now();
            let Some(peer) = self.peers.choose(&job.allowed_regions, tries, now) else {
                break;
            };
            let node = peer.entry.node.clone();
            self.shared.costs.count(CostKind::RequestForwarded);
            log::info!(
                request = job.request.attempt.as_str(),
                peer = node.as_str(),
                tries = tries,
                attempts = progress.attempts_sent,
                after_event = progress.last_event.unwrap_or(""),
                ms = now.saturating_sub(job.arrived).as_millis() as u64;
                "request_forwarded"
            );
            match self.send(job, progress, peer).await {
                Ok(response) => return Ok(response),
                Err(HopError::Ended(error)) => return Err(error),
                Err(HopError::NotTaken(reason)) => {
                    log::info!(
                        request = job.request.attempt.as_str(),
                        peer = node.as_str(),
                        reason = reason.as_str();
                        "forward_refused"
                    );
                    self.peers.avoid(&node, BootClock::now());
                }
            }
        }
        Err(ForwardError::NotTaken)
    }

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// Returns the failed attempt if the body is incomplete.
    pub async fn read_whole(
        &self,
        job: &RequestJob,
        response: ForwardedResponse,
    ) -> Result<(http::response::Parts, Bytes), FailedAttempt> {
        let ForwardedResponse {
            head, body, peer, ..
        } = response;
        let reading = body.read_all(MAX_RESPONSE_BYTES);
        match self.while_live(&peer, job.deadline, reading).await {
            Ok(Ok(body)) if body.end == BodyEnd::Marked => Ok((head, body.bytes)),
            Ok(_) => Err(FailurePoint::Truncated.into()),
            Err(point) => Err(point.into()),
        }
    }

    async fn send(
        &self,
        job: &RequestJob,
        progress: ForwardProgress<'_>,
        peer: ChosenPeer,
    ) -> Result<ForwardedResponse, HopError> {
        let request = self.build_request(job, progress, &peer.entry.address)?;
        let address = TargetAddress {
            address: peer.entry.address.clone(),
            incarnation: peer.entry.incarnation,
        };
        // The other node may close an idle connection just as it is reused.
        let needs_new_connection = !job.rule.is_repeatable();
        let sending = self.client.send(&address, request, needs_new_connection);
        let sent = self.while_live(&peer, job.deadline, sending).await;
        let lost = |point| HopError::Ended(ForwardError::Lost(point));
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Broken)) => return Err(lost(FailurePoint::BrokenBeforeHead)),
            Ok(Err(SendError::InvalidHead)) => return Err(lost(FailurePoint::InvalidHead)),
            Ok(Err(error)) => return Err(HopError::not_taken(error)),
            Err(point) => return Err(lost(point)),
        };
        self.check_head(job, peer, response).await
    }

    /// Waits for a result as long as a node is live and the deadline has not passed.
    async fn while_live<T>(
        &self,
        peer: &ChosenPeer,
        deadline: Moment,
        work: impl Future<Output = T>,
    ) -> Result<T, FailurePoint> {
        tokio::pin!(work);
        loop {
            let remaining = deadline.saturating_sub(BootClock::now());
            let wait = LIVENESS_INTERVAL.min(remaining);
            if let Ok(result) = tokio::time::timeout(wait, &mut work).await {
                return Ok(result);
            }
            if BootClock::now() >= deadline {
                return Err(FailurePoint::AnswerDeadline);
            }
            if !self.is_live(peer) {
                return Err(FailurePoint::BrokenBeforeHead);
            }
        }
    }

    /// Returns whether a node to which a request was forwarded is live.
    pub fn is_live(&self, peer: &ChosenPeer) -> bool {
        self.shared.live_view.read().is_live(peer.hash)
    }

    async fn check_head(
        &self,
        job: &RequestJob,
        peer: ChosenPeer,
        response: TargetResponse,
    ) -> Result<ForwardedResponse, HopError> {
        let TargetResponse { mut head, body } = response;
        if is_refusal(&head.headers) {
            let reading = body.read_all(MAX_RESPONSE_BYTES);
            let read = self.while_live(&peer, job.deadline, reading).await;
            let read = read.ok().and_then(Result::ok);
            return Err(refusal_error(read.as_ref().map(|body| &*body.bytes)));
        }
        let Some(forwarded) = ForwardedHead::take_from(&mut head.headers) else {
            if head.status == StatusCode::INTERNAL_SERVER_ERROR {
                // The node panicked when it may have sent the request to a target.
                let lost = ForwardError::Lost(FailurePoint::BrokenBeforeHead);
                return Err(HopError::Ended(lost));
            }
            // A node of an earlier version does not know the path.
            return Err(HopError::NotTaken(format!("status {}", head.status)));
        };
        Ok(ForwardedResponse {
            head,
            body,
            peer,
            forwarded,
        })
    }

    fn build_request(
        &self,
        job: &RequestJob,
        progress: ForwardProgress<'_>,
        address: &str,
    ) -> Result<http::Request<http_body_util::Full<Bytes>>, HopError> {
        let now = BootClock::now();
        let remaining = self.shared.exit.bound(job.deadline).saturating_sub(now);
        let config = job.config.as_ref().as_ref();
        let forward = ForwardRequest {
            sender: self.shared.settings.node.clone(),
            config_version: config.map_or(0, |config| config.version),
            method: job.method.clone(),
            path: job.path.clone(),
            host: job.request.host.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
            elapsed: now.saturating_sub(job.arrived),
            remaining: remaining.saturating_sub(HOP_TIME),
            waited_before: job.waited_before,
            attempts_sent: progress.attempts_sent,
            last_event: progress.last_event.map(str::to_owned),
            is_resumption: progress.is_resumption,
            may_retry: progress.may_retry,
        };
        let bytes = encode_msgpack(&ForwardDoc::from(forward)).map_err(HopError::not_taken)?;
        let bytes = hold_bytes(bytes.into()).map_err(HopError::not_taken)?;
        let mut request = http::Request::new(full_body(bytes));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(FORWARD_PATH);
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(HOST, host);
        }
        Ok(request)
    }
}

/// Returns what a refusal means; one that could not be read says nothing about whether the request ran.
fn refusal_error(body: Option<&[u8]>) -> HopError {
    let doc = body.and_then(|body| decode_msgpack::<RefusalDoc>(body).ok());
    match doc.map(ForwardRefusal::from) {
        Some(ForwardRefusal::NotTaken { reason }) => HopError::NotTaken(reason),
        Some(ForwardRefusal::Failed(failure)) => HopError::Ended(ForwardError::Failed(failure)),
        None => HopError::Ended(ForwardError::Lost(FailurePoint::BrokenBeforeHead)),
    }
}
