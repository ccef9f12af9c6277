//! A request on its way to a target, and what became of one attempt.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_core::traffic::{AnswerKind, TrafficBook, TrafficRule};
use briarswitch_http::TargetBody;
use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::gauge::GaugePlace;
use crate::ports::CallerAsk;
use crate::run::TargetRun;
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::slot_queue::SlotRequest;
use crate::table::RouteTarget;

/// A request that was identified and matched by a rule.
pub struct RequestJob {
    /// What the caller asks.
    pub ask: CallerAsk,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Fingerprint, the same for each repeat of the request.
    pub print: RequestPrint,
    /// Rule that matched.
    pub rule: TrafficRule,
    /// Configuration that the rule is from.
    pub book: Arc<Option<TrafficBook>>,
    /// Service chosen.
    pub service: ServiceId,
    /// Organisation, if a key was asked for.
    pub organisation: Option<OrganisationId>,
    /// Rank; zero goes first.
    pub priority: u8,
    /// When its head was read.
    pub arrived: Moment,
    /// Time its caller had waited before it came here.
    pub waited_before: Duration,
    /// When the answer has to be there.
    pub deadline: Moment,
}

impl RequestJob {
    /// Returns the engine behind the service.
    pub fn engine(&self) -> Option<&EngineModel> {
        let book = self.book.as_ref().as_ref()?;
        book.services.get(&self.service)?.engine.as_ref()
    }

    /// Returns what the request needs of a target.
    pub fn place_ask(&self, tried: &[TargetId]) -> SlotRequest {
        let model = self.engine().and(self.ask.model.clone());
        SlotRequest {
            key: (self.service.clone(), model),
            prompt_tokens: self.ask.prompt_tokens,
            tried: tried.to_vec(),
            is_late: false,
        }
    }

    /// Returns what a run at a target is about that begins at `sent`.
    pub fn run_at(&self, target: &RouteTarget, sent: Moment) -> RunInfo {
        let group = target.group.as_ref().map(|group| group.id.clone());
        RunInfo {
            request: self.ask.attempt.clone(),
            fingerprint: self.print,
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

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.rule.answer, AnswerKind::Events { .. })
    }
}

/// An answer that has begun.
pub struct BegunAnswer {
    /// Target.
    pub target: Arc<RouteTarget>,
    /// Place there, until the answer is over.
    pub place: Option<GaugePlace>,
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: TargetBody,
    /// The run that makes it.
    pub run: TargetRun,
}
