//! Where the events of a stream come from: a target, or another node that relays a target's response.

use briarswitch_core::id::Moment;
use briarswitch_http::{BodyEnd, BodyError, BodyPart, TargetBody};

use crate::body_check;
use crate::forwarder::ForwardedResponse;
use crate::gauge::SlotGuard;
use crate::job::{RequestJob, ResponseStart};
use crate::shared::FleetShared;
use crate::suspect_host::SuspectHost;
use crate::suspect_ledger::SuspectLedger;

/// Source of a stream's events.
pub enum StreamSource {
    /// A target.
    Target(Box<ResponseStart>),
    /// Another node, which watches its target itself.
    Peer(Box<ForwardedResponse>),
}

impl StreamSource {
    /// Returns the name of the target that sends the events.
    pub fn target(&self) -> &str {
        match self {
            Self::Target(response) => &response.target.id,
            Self::Peer(response) => &response.forwarded.target,
        }
    }

    /// Returns the status and headers of the response.
    pub fn head(&self) -> &http::response::Parts {
        match self {
            Self::Target(response) => &response.head,
            Self::Peer(response) => &response.head,
        }
    }

    /// Returns the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end.
    pub async fn next(&mut self) -> Result<BodyPart, BodyError> {
        self.body().next().await
    }

    /// Closes the connection of a broken stream, with the bytes that it has read ahead.
    pub fn close(&mut self) {
        self.body().close();
    }

    fn body(&mut self) -> &mut TargetBody {
        match self {
            Self::Target(response) => &mut response.body,
            Self::Peer(response) => &mut response.body,
        }
    }

    /// Records that bytes arrived.
    pub fn record_activity(&self, now: Moment) {
        if let Self::Target(response) = self {
            response.target.gauge.record_activity(now);
        }
    }

    /// Records the speed of the target, as an event that arrived shows it.
    pub fn record_event(&mut self, shared: &FleetShared, job: &RequestJob, now: Moment) {
        if let Self::Target(response) = self {
            let ResponseStart {
                target, awaited, ..
            } = response.as_mut();
            awaited.record_event(shared, job, target, now);
        }
    }

    /// Records that a first event is overdue, if it is.
    pub fn check_overdue(&mut self, shared: &FleetShared, now: Moment) {
        if let Self::Target(response) = self {
            let ResponseStart {
                target, awaited, ..
            } = response.as_mut();
            awaited.check_overdue(shared, target, now);
        }
    }

    /// Records that the target has processed the prompt.
    pub fn end_prefill(&mut self) {
        if let Self::Target(response) = self {
            response.slot.iter_mut().for_each(SlotGuard::end_prefill);
        }
    }

    /// Releases the slot at the target, if this node holds it.
    pub fn release_slot(&mut self) {
        if let Self::Target(response) = self {
            response.slot = None;
        }
    }

    /// Returns whether the body, whose end was recognised in this way, is complete.
    ///
    /// Another node marks the end of each body that it relays.
    pub async fn is_complete(&self, end: BodyEnd, host: &dyn SuspectHost) -> bool {
        match self {
            Self::Target(response) => body_check::is_complete(host, &response.run, end).await,
            Self::Peer(_) => end == BodyEnd::Marked,
        }
    }

    /// Ends the run with a complete response, if this node has started it.
    pub fn complete(&mut self, suspects: &SuspectLedger) {
        if let Self::Target(response) = self {
            response.run.complete(suspects);
        }
    }

    /// Ends the run because its connection broke; returns whether this node has started it.
    pub fn report_broken(&mut self, reason: &'static str) -> bool {
        match self {
            Self::Target(response) => {
                response.run.report_broken(reason);
                true
            }
            Self::Peer(_) => false,
        }
    }
}
