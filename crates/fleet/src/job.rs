//! A caller's request to be run on a target, and the start of a target's response.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::residency::AllowedRegions;
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_core::traffic::{AnswerKind, TrafficConfig, TrafficRule};
use briarswitch_http::TargetBody;
use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::forward::ForwardRequest;
use crate::gauge::SlotGuard;
use crate::ports::CallerRequest;
use crate::routing_table::RouteTarget;
use crate::run::TargetRun;
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::slot_queue::SlotRequest;
use crate::speed_sample::AwaitedResponse;

/// A request that has been authenticated and matched by a routing rule.
pub struct RequestJob {
    /// The parsed request.
    pub request: CallerRequest,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Fingerprints of the request, equal for all its repetitions, and of the parts of its prompt.
    pub suspects: RunSuspects,
    /// The matching rule.
    pub rule: TrafficRule,
    /// Configuration that contains the rule.
    pub config: Arc<Option<TrafficConfig>>,
    /// The service chosen by the rule.
    pub service: ServiceId,
    /// Organisation, if the request was authenticated by a key.
    pub organisation: Option<OrganisationId>,
    /// Regions in which the request may be processed.
    pub allowed_regions: AllowedRegions,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// When the head of the request was read.
    pub arrived: Moment,
    /// Time that the caller spent waiting in earlier attempts.
    pub waited_before: Duration,
    /// When the response has to be available.
    pub deadline: Moment,
    /// Whether the caller has received part of the stream, from another node.
    pub is_resumption: bool,
    /// Node that forwarded the request; `None` if it came from its caller.
    pub forwarded_by: Option<NodeId>,
    /// Whether that node may make another attempt if this node's fails.
    pub may_sender_retry: bool,
}

impl RequestJob {
    /// Returns the request as the continuation of what the node that forwarded it had begun, `now` at its arrival here.
    pub fn continued(self, forward: ForwardRequest, now: Moment) -> Self {
        let mut request = self.request;
        request.last_event = forward.last_event.or(request.last_event);
        Self {
            waited_before: forward.waited_before,
            deadline: self.deadline.min(now + forward.remaining),
            is_resumption: forward.is_resumption,
            forwarded_by: Some(forward.sender),
            may_sender_retry: forward.may_retry,
            request,
            ..self
        }
    }

    /// Returns whether this node decides about further attempts; if not, the node that forwarded the request does.
    pub fn owns_retries(&self) -> bool {
        self.forwarded_by.is_none()
    }

    /// Returns the engine that the service runs on, if any.
    pub fn engine(&self) -> Option<&EngineSpec> {
        let config = self.config.as_ref().as_ref()?;
        config.services.get(&self.service)?.engine.as_ref()
    }

    /// Returns the request for a slot at one of the service's targets, excluding those already tried.
    pub fn slot_request(&self, tried: &[TargetId]) -> SlotRequest {
        let model = self.engine().and(self.request.model.clone());
        SlotRequest {
            key: (self.service.clone(), model),
            prompt_tokens: self.request.prompt_tokens,
            tried: tried.to_vec(),
            allowed_regions: self.allowed_regions.clone(),
            is_late: false,
            organisation: self.organisation.clone().unwrap_or_default(),
            max_tokens: self.request.max_tokens,
        }
    }

    /// Returns the description of a run of this request at a target that begins at `sent`.
    pub fn run_info(&self, target: &RouteTarget, sent: Moment) -> RunInfo {
        let group = target.group.as_ref().map(|group| group.id.clone());
        RunInfo {
            request: self.request.attempt.clone(),
            suspects: self.suspects.clone(),
            organisation: self.organisation.clone().unwrap_or_default(),
            target: TargetIncarnation {
                id: target.id.clone(),
                incarnation: target.incarnation,
            },
            address: target.address.clone(),
            domain: target.domain.clone(),
            group: group.unwrap_or_default(),
            sent,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.rule.answer, AnswerKind::Events { .. })
    }
}

/// A response whose head has been received.
pub struct ResponseStart {
    /// Target that responds.
    pub target: Arc<RouteTarget>,
    /// Slot at the target, held until the response ends.
    pub slot: Option<SlotGuard>,
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: TargetBody,
    /// The run that produces the response.
    pub run: TargetRun,
    /// What this node observes of the target's speed.
    pub awaited: AwaitedResponse,
}
