//! Takes requests that other nodes forward.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use briarswitch_http::{
    decode_msgpack, hold_bytes, read_body, reply_text, BodyError, Request, Response,
};
use http::StatusCode;

use crate::caller_api::CallerApi;
use crate::costs::CostKind;
use crate::forward::{not_taken_response, ForwardDoc, ForwardRequest};
use crate::shared::{FleetPhase, FleetShared};

/// Forwarded requests that a node has in flight at most; with more, other nodes are asked.
const MAX_FORWARDED_IN_FLIGHT: usize = 1_000;
/// Size of a forwarded request beyond its headers and body, in bytes.
const ENVELOPE_BYTES: usize = 64 << 10;
/// Largest forwarded request in bytes while no configuration is known.
const MIN_FORWARD_BYTES: usize = 1 << 20;

/// Takes forwarded requests as if their callers had called this node.
pub struct ForwardApi {
    shared: Arc<FleetShared>,
    caller_api: Arc<CallerApi>,
}

impl ForwardApi {
    /// Creates a handler that passes requests to `caller_api`.
    pub fn new(shared: Arc<FleetShared>, caller_api: Arc<CallerApi>) -> Self {
        Self { shared, caller_api }
    }

    /// Responds to a forwarded request.
    pub async fn respond(&self, request: Request) -> Response {
        self.shared.costs.count(CostKind::ForwardReceived);
        if let Some(reason) = self.unavailable().await {
            return not_taken_response(reason);
        }
        let body = match read_body(request.into_body(), self.max_bytes()).await {
            Err(BodyError::NoRoom(error)) => {
                return not_taken_response(error.to_string());
            }
            body => body,
        };
        let doc = body
            .ok()
            .and_then(|body| decode_msgpack::<ForwardDoc>(&body).ok());
        let Some(doc) = doc else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a forwarded request");
        };
        let forward = match ForwardRequest::try_from(doc) {
            Ok(forward) => forward,
            Err(error) => return reply_text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match hold_bytes(forward.body.into()) {
            Ok(body) => {
                let forward = ForwardRequest { body, ..forward };
                self.caller_api.run_forwarded(forward).await
            }
            Err(error) => not_taken_response(error.to_string()),
        }
    }

    /// Returns why this node takes no forwarded requests now, if so.
    async fn unavailable(&self) -> Option<&'static str> {
        if self.shared.phase() != FleetPhase::Running {
            return Some("leaving");
        }
        if self.shared.reach.settle().await {
            return Some("partitioned");
        }
        let in_flight = self.shared.forwarded_in_flight.load(Ordering::SeqCst);
        (in_flight >= MAX_FORWARDED_IN_FLIGHT).then_some("full")
    }

    fn max_bytes(&self) -> usize {
        let config = self.shared.config.load();
        let limits = config.as_ref().as_ref().map(|config| config.limits);
        limits.map_or(MIN_FORWARD_BYTES, |limits| {
            (limits.body_bytes + limits.header_bytes + ENVELOPE_BYTES).max(MIN_FORWARD_BYTES)
        })
    }
}
