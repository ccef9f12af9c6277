//! Relays a stream to its caller, and resumes it at another target if its group falls silent or the stream breaks.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::events::EventSplitter;
use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use futures::Stream;

use crate::dispatch::{FleetDispatcher, SILENCE_POLL_INTERVAL};
use crate::failure::ConnectionFailure;
use crate::gauge::SlotGuard;
use crate::job::{RequestJob, ResponseStart};
use crate::restriction::AcquiredSlot;
use crate::slot_queue::ReservedTarget;
use crate::suspicion::silence_limit_for;
use crate::trace::{RequestEnd, RequestTrace};

/// Delay of the node's own timer beyond which silence is not attributed to the target.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);

/// A stream that is being relayed.
pub struct StreamRelay {
    dispatcher: Arc<FleetDispatcher>,
    job: RequestJob,
    response: ResponseStart,
    splitter: EventSplitter,
    trace: RequestTrace,
    tried: Vec<TargetId>,
    last_received: Moment,
    has_ended: bool,
}

/// Result of trying to resume a stream at another target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResumeResult {
    /// The stream was resumed.
    Resumed,
    /// The target refused the connection.
    Refused,
    /// The stream could not be resumed.
    Failed,
}

/// Next step of a stream.
enum StreamStep {
    Chunk(Bytes),
    End,
    Broken,
    /// The request's deadline passed.
    Deadline,
    Silent,
}

impl StreamRelay {
    /// Starts to relay a stream; returns the body of the response to the caller.
    pub fn start(
        dispatcher: Arc<FleetDispatcher>,
        job: RequestJob,
        response: ResponseStart,
        mut trace: RequestTrace,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        trace.attempts_sent += 1;
        let relay = Self {
            tried: vec![response.target.id.clone()],
            dispatcher,
            job,
            response,
            splitter: EventSplitter::default(),
            trace,
            last_received: BootClock::now(),
            has_ended: false,
        };
        futures::stream::unfold(relay, |mut relay| async move {
            relay.next().await.map(|item| (item, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.has_ended {
            return None;
        }
        loop {
            match self.next_step().await {
                StreamStep::Chunk(chunk) => {
                    let events = self.splitter.push(&chunk);
                    if !events.is_empty() {
                        self.record_events();
                        return Some(Ok(events));
                    }
                }
                StreamStep::End => return self.finish(),
                step @ (StreamStep::Broken | StreamStep::Deadline) => {
                    if matches!(step, StreamStep::Broken) {
                        self.response.run.report_broken("stream_broken");
                        self.trace.broken_runs += 1;
                    }
                    self.trace.reason = "stream_broken";
                    if !self.resume_after_break().await {
                        return Some(Err(self.abort()));
                    }
                }
                StreamStep::Silent => {
                    self.trace.reason = "stream_silent";
                    self.resume().await;
                }
            }
        }
    }

    async fn next_step(&mut self) -> StreamStep {
        loop {
            let timer = tokio::time::timeout(SILENCE_POLL_INTERVAL, self.response.body.next());
            let started = BootClock::now();
            match timer.await {
                Ok(Ok(Some(chunk))) => return StreamStep::Chunk(chunk),
                Ok(Ok(None)) => return StreamStep::End,
                Ok(Err(_)) => return StreamStep::Broken,
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= self.job.deadline {
                return StreamStep::Deadline;
            }
            let is_timer_late =
                now.saturating_sub(started) > SILENCE_POLL_INTERVAL + MAX_TIMER_DELAY;
            if !is_timer_late && self.should_resume(now) {
                return StreamStep::Silent;
            }
        }
    }

    /// Returns whether the group has been silent for longer than its forward passes explain, and the stream may be
    /// resumed at another target.
    ///
    /// A silent group is reported as suspect even if the stream may not be resumed.
    fn should_resume(&self, now: Moment) -> bool {
        let target = &self.response.target;
        let limit = silence_limit_for(&self.job, target);
        let is_silent =
            now.saturating_sub(self.last_received) > limit && target.gauge.silence(now) > limit;
        if is_silent {
            self.dispatcher.suspicion().suspect(target, now);
        }
        is_silent && self.may_resume()
    }

    fn may_resume(&self) -> bool {
        let suspects = &self.dispatcher.shared().suspects;
        self.job.rule.is_repeatable()
            && self.trace.attempts_sent < self.job.rule.max_attempts
            && suspects.may_retry(&self.job.fingerprint, self.trace.broken_runs)
    }

    fn record_events(&mut self) {
        let now = BootClock::now();
        if self.trace.events == 0 {
            self.response
                .slot
                .iter_mut()
                .for_each(SlotGuard::end_prefill);
            self.trace.record_first_event();
            if self.trace.attempts_sent == 1 {
                let reserved_at = self.trace.arrived + self.trace.slot_wait.unwrap_or_default();
                let time = now.saturating_sub(reserved_at);
                self.dispatcher
                    .selector()
                    .record_first_event(&self.job, time);
            }
        } else {
            self.trace.longest_pause = self
                .trace
                .longest_pause
                .max(now.saturating_sub(self.last_received));
        }
        self.last_received = now;
        self.response.target.gauge.record_activity(now);
        self.trace.events = self.splitter.events();
    }

    /// Ends the caller's stream; the bytes of an incomplete last event are passed on unchanged.
    fn finish(&mut self) -> Option<Result<Bytes, io::Error>> {
        self.has_ended = true;
        self.response
            .run
            .complete(&self.dispatcher.shared().suspects);
        self.trace.end(RequestEnd::Answered);
        let rest = Bytes::copy_from_slice(self.splitter.partial());
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Resumes the stream after the last complete event at another target, if one has a free slot.
    ///
    /// The current response is kept until the new one has begun, so that a group that was only slow can continue.
    async fn resume(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let slot_request = self.job.slot_request(&self.tried);
        let Some(reserved) = self.dispatcher.selector().pick(&slot_request) else {
            return false;
        };
        self.resume_at(reserved).await == ResumeResult::Resumed
    }

    /// Resumes the stream at another target after the current response has ended, waiting for a slot if necessary.
    ///
    /// Targets often fail together, and the failure of the next one may not have been detected yet. A target that
    /// refuses the connection has not received the request, so a further one is tried.
    async fn resume_after_break(&mut self) -> bool {
        self.response.slot = None;
        while self.may_resume() {
            let selector = self.dispatcher.selector();
            let is_begun = self.splitter.last_id().is_some();
            let acquiring = selector.acquire_for_resume(&self.job, &self.tried, is_begun);
            let Ok(AcquiredSlot { target, slot, .. }) = acquiring.await else {
                return false;
            };
            match self.resume_at((target, slot)).await {
                ResumeResult::Resumed => return true,
                ResumeResult::Refused => {}
                ResumeResult::Failed => return false,
            }
        }
        false
    }

    async fn resume_at(&mut self, (target, slot): ReservedTarget) -> ResumeResult {
        if !self.dispatcher.budgets().withdraw(&self.job.service) {
            return ResumeResult::Failed;
        }
        self.trace.attempts_sent += 1;
        let last_event = self.splitter.last_id().map(str::to_owned);
        let last_event = last_event.or_else(|| self.job.request.last_event.clone());
        self.tried.push(target.id.clone());
        log::info!(
            request = self.trace.request_id.as_str(),
            from = self.response.target.id.as_str(),
            to = target.id.as_str(),
            reason = self.trace.reason,
            after_event = last_event.as_deref().unwrap_or(""),
            silence_ms = BootClock::now().saturating_sub(self.last_received).as_millis() as u64;
            "stream_resumed"
        );
        let sent = self
            .dispatcher
            .send(&self.job, target, slot, last_event.as_deref(), false)
            .await;
        match sent {
            Ok(response) => {
                self.dispatcher
                    .shared()
                    .metrics
                    .count_resume(&self.job.service);
                self.trace.target.clone_from(&response.target.id);
                self.response = response;
                self.splitter.discard_partial();
                ResumeResult::Resumed
            }
            Err(failed) => {
                self.trace.reason = failed.point.code();
                if failed.connection == ConnectionFailure::Refused {
                    self.trace.attempts_sent -= 1;
                    self.dispatcher.budgets().refund(&self.job.service);
                    return ResumeResult::Refused;
                }
                ResumeResult::Failed
            }
        }
    }

    /// Ends the caller's stream with an error, so that the connection closes without the end of the body.
    ///
    /// Otherwise the caller would take the response for complete.
    fn abort(&mut self) -> io::Error {
        self.has_ended = true;
        self.trace.end(RequestEnd::Unknown);
        io::Error::other("the stream broke and could not be resumed")
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.response.slot = None;
        self.dispatcher.selector().serve_queue();
    }
}
