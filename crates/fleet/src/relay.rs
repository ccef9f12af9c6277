//! Relays a stream to its caller, and resumes it at another target if its group falls silent or the stream breaks.

use std::io;
use std::sync::Arc;

use briarswitch_core::events::EventSplitter;
use briarswitch_core::id::*;
use briarswitch_http::{BodyEnd, BodyPart, HeldRoom};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use futures::Stream;

use crate::budget::RetryCharge;
use crate::dispatch::{FleetDispatcher, SILENCE_POLL_INTERVAL};
use crate::failure::{ConnectionFailure, MAX_UNREACHED_ATTEMPTS};
use crate::forwarder::{ForwardError, ForwardProgress};
use crate::job::RequestJob;
use crate::restriction::AcquiredSlot;
use crate::shared::FleetShared;
use crate::slot_queue::ReservedTarget;
use crate::stream_source::StreamSource;
use crate::suspicion::silence_limit_for;
use crate::timer::MAX_TIMER_DELAY;
use crate::trace::{RequestEnd, RequestTrace};

/// A stream that is being relayed.
pub struct StreamRelay {
    dispatcher: Arc<FleetDispatcher>,
    job: RequestJob,
    source: StreamSource,
    splitter: EventSplitter,
    /// Room for the incomplete event.
    room: HeldRoom,
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
    /// No connection to the target could be opened, or no node took the request.
    Unreached,
    /// The stream could not be resumed.
    Failed,
}

/// Next step of a stream.
enum StreamStep {
    Chunk(Bytes),
    End(BodyEnd),
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
        source: StreamSource,
        trace: RequestTrace,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        let relay = Self {
            tried: vec![source.target().to_owned()],
            dispatcher,
            job,
            source,
            splitter: EventSplitter::default(),
            room: HeldRoom::open(),
            trace,
            last_received: BootClock::now(),
            has_ended: false,
        };
        let shared = Arc::clone(relay.dispatcher.shared());
        let exit_due = Box::pin(async move { shared.exit.exit_due().await });
        futures::stream::unfold((relay, exit_due), |(mut relay, mut exit_due)| async move {
            let item = tokio::select! {
                biased;
                item = relay.next() => item,
                () = &mut exit_due, if !relay.has_ended => Some(Err(relay.abort_for_exit())),
            };
            item.map(|item| (item, (relay, exit_due)))
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
                        return Some(Ok(self.room.pass_on(events)));
                    }
                }
                StreamStep::End(end) if self.is_complete(end).await => return self.finish(),
                step @ (StreamStep::End(_) | StreamStep::Broken | StreamStep::Deadline) => {
                    if !matches!(step, StreamStep::Deadline) {
                        self.record_break();
                    }
                    self.trace.reason = "stream_broken";
                    if !self.resume_after_break().await {
                        return Some(Err(self.abort()));
                    }
                }
                StreamStep::Silent => {
                    self.trace.reason = "stream_silent";
                    if !self.job.owns_retries() {
                        return Some(Err(self.abort()));
                    }
                    self.resume().await;
                }
            }
        }
    }

    async fn next_step(&mut self) -> StreamStep {
        if self.splitter.is_overlong() || !self.has_room() {
            return StreamStep::Broken;
        }
        loop {
            let timer = tokio::time::timeout(SILENCE_POLL_INTERVAL, self.source.next());
            let started = BootClock::now();
            match timer.await {
                Ok(Ok(BodyPart::Chunk(chunk))) => return StreamStep::Chunk(chunk),
                Ok(Ok(BodyPart::End(end))) => return StreamStep::End(end),
                Ok(Err(_)) => return StreamStep::Broken,
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= self.job.deadline {
                return StreamStep::Deadline;
            }
            self.source.check_overdue(self.dispatcher.shared(), now);
            let is_timer_late =
                now.saturating_sub(started) > SILENCE_POLL_INTERVAL + MAX_TIMER_DELAY;
            if !is_timer_late && self.is_peer_lost() {
                return StreamStep::Broken;
            }
            if !is_timer_late && self.should_resume(now) {
                return StreamStep::Silent;
            }
        }
    }

    /// Claims room for the incomplete event; returns whether there is some.
    fn has_room(&mut self) -> bool {
        let claimed = self.room.resize(self.splitter.partial_capacity());
        if let Err(error) = &claimed {
            log::info!(
                request = self.trace.request_id.as_str(),
                partial_bytes = self.splitter.partial_bytes(),
                error:% = error;
                "event_refused"
            );
        }
        claimed.is_ok()
    }

    /// Returns whether the node that relays the stream is no longer live.
    fn is_peer_lost(&self) -> bool {
        match &self.source {
            StreamSource::Target(_) => false,
            StreamSource::Peer(response) => !self.dispatcher.forwarder().is_live(&response.peer),
        }
    }

    fn record_break(&mut self) {
        if self.source.report_broken("stream_broken") {
            self.trace.broken_runs += 1;
            let target = self.source.target().to_owned();
            self.dispatcher.reach().report_failure(&target);
        }
    }

    /// Returns whether the group has been silent for longer than its forward passes explain, and the stream may be
    /// resumed at another target.
    ///
    /// A silent group is reported as suspect even if the stream may not be resumed.
    fn should_resume(&self, now: Moment) -> bool {
        // A node that relays the stream watches the target itself.
        let StreamSource::Target(response) = &self.source else {
            return false;
        };
        let target = &response.target;
        let limit = silence_limit_for(&self.job, target);
        let is_silent =
            now.saturating_sub(self.last_received) > limit && target.gauge.silence(now) > limit;
        if is_silent {
            self.dispatcher.suspicion().suspect(target, now);
        }
        is_silent && self.has_verdict(now) && (self.may_resume() || self.may_sender_resume())
    }

    /// Returns whether the node that forwarded the request may resume the stream, and another target could take it.
    fn may_sender_resume(&self) -> bool {
        let slot_request = self.job.slot_request(&self.tried);
        self.job.may_sender_retry && self.dispatcher.selector().has_slot(&slot_request)
    }

    /// Returns whether it is known if this node reaches targets; until then, another target may be as silent.
    fn has_verdict(&self, now: Moment) -> bool {
        let shared = self.dispatcher.shared();
        shared.reach.is_partitioned() || !shared.doubts_reach(now)
    }

    fn may_resume(&self) -> bool {
        let suspects = &self.dispatcher.shared().suspects;
        self.job.owns_retries()
            && self.job.rule.is_repeatable()
            && self.trace.attempts_sent < self.job.rule.max_attempts
            && suspects.may_retry(&self.job.suspects, self.trace.broken_runs)
    }

    fn record_events(&mut self) {
        let now = BootClock::now();
        if self.trace.events == 0 {
            self.source.end_prefill();
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
        self.source.record_activity(now);
        let shared = self.dispatcher.shared();
        self.source.record_event(shared, &self.job, now);
        self.trace.events = self.splitter.events();
    }

    /// Returns whether the stream is complete, now that its body has ended.
    ///
    /// An end without a mark inside an event, or before the first one, is a break in any case.
    async fn is_complete(&self, end: BodyEnd) -> bool {
        if end == BodyEnd::Marked {
            return true;
        }
        let partial_bytes = self.splitter.partial_bytes();
        let has_begun = self.splitter.events() > 0 || self.last_event().is_some();
        let host: &FleetShared = self.dispatcher.shared();
        let is_complete =
            partial_bytes == 0 && has_begun && self.source.is_complete(end, host).await;
        self.trace.record_unmarked_end(partial_bytes, is_complete);
        is_complete
    }

    /// Ends the caller's stream; the bytes of an incomplete last event are passed on unchanged.
    fn finish(&mut self) -> Option<Result<Bytes, io::Error>> {
        self.has_ended = true;
        self.source.complete(&self.dispatcher.shared().suspects);
        self.trace.end(RequestEnd::Answered);
        let rest = self.splitter.take_partial();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Resumes the stream after the last complete event at another target, if one has a free slot.
    ///
    /// The current response is kept until the new one has begun, so that a group that was only slow can continue.
    async fn resume(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        if self.job.owns_retries() && self.dispatcher.shared().reach.is_partitioned() {
            return self.resume_at_peer().await == ResumeResult::Resumed;
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
    /// was not reached has not received the request, so a further one is tried.
    async fn resume_after_break(&mut self) -> bool {
        self.source.release_slot();
        self.source.close();
        self.discard_partial();
        let mut unreached = 0;
        while self.may_resume() && unreached < MAX_UNREACHED_ATTEMPTS {
            let result = self.resume_once().await;
            match result {
                ResumeResult::Resumed => return true,
                ResumeResult::Refused => {}
                ResumeResult::Unreached => unreached += 1,
                ResumeResult::Failed => return false,
            }
        }
        false
    }

    async fn resume_once(&mut self) -> ResumeResult {
        if self.job.owns_retries() && self.dispatcher.shared().reach.settle().await {
            let result = self.resume_at_peer().await;
            if result != ResumeResult::Unreached {
                return result;
            }
        }
        match self.acquire().await {
            Ok(AcquiredSlot { target, slot, .. }) => self.resume_at((target, slot)).await,
            Err(result) => result,
        }
    }

    /// Waits for a slot at another target, unless this node turns out to be partitioned meanwhile.
    async fn acquire(&self) -> Result<AcquiredSlot, ResumeResult> {
        let selector = self.dispatcher.selector();
        let is_begun = self.splitter.last_id().is_some();
        let acquiring = selector.acquire_for_resume(&self.job, &self.tried, is_begun);
        let reach = &self.dispatcher.shared().reach;
        let may_forward = self.job.owns_retries() && !reach.is_partitioned();
        tokio::select! {
            acquired = acquiring => acquired.map_err(|_| ResumeResult::Failed),
            () = reach.partitioned(), if may_forward => Err(ResumeResult::Unreached),
        }
    }

    /// Returns the event after which the stream continues.
    fn last_event(&self) -> Option<String> {
        let last_event = self.splitter.last_id().map(str::to_owned);
        last_event.or_else(|| self.job.request.last_event.clone())
    }

    async fn resume_at(&mut self, (target, slot): ReservedTarget) -> ResumeResult {
        if !self.dispatcher.budgets().charge(&self.retry_charge()) {
            return ResumeResult::Failed;
        }
        self.trace.attempts_sent += 1;
        let last_event = self.last_event();
        self.tried.push(target.id.clone());
        self.log_resume(&target.id, last_event.as_deref());
        let sent = self
            .dispatcher
            .send(&self.job, target, slot, last_event.as_deref(), false)
            .await;
        match sent {
            Ok(response) => {
                self.continue_from(StreamSource::Target(Box::new(response)));
                ResumeResult::Resumed
            }
            Err(failed) => {
                self.trace.reason = failed.point.code();
                let result = match failed.connection {
                    ConnectionFailure::Refused => ResumeResult::Refused,
                    ConnectionFailure::Unopened => ResumeResult::Unreached,
                    _ => return ResumeResult::Failed,
                };
                self.trace.attempts_sent -= 1;
                self.dispatcher.budgets().refund(&self.retry_charge());
                result
            }
        }
    }

    /// Resumes the stream through another node.
    async fn resume_at_peer(&mut self) -> ResumeResult {
        if !self.dispatcher.budgets().charge(&self.retry_charge()) {
            return ResumeResult::Failed;
        }
        let last_event = self.last_event();
        let progress = ForwardProgress {
            attempts_sent: self.trace.attempts_sent,
            last_event: last_event.as_deref(),
            is_resumption: self.splitter.last_id().is_some(),
            may_retry: self.trace.attempts_sent + 1 < self.job.rule.max_attempts,
        };
        let forwarder = self.dispatcher.forwarder();
        match forwarder.forward(&self.job, progress).await {
            Ok(response) if response.head.status.is_success() => {
                let head = &response.forwarded;
                self.trace.record_peer(&response.peer.entry.node, head);
                self.tried.push(head.target.clone());
                self.log_resume(&head.target, last_event.as_deref());
                self.continue_from(StreamSource::Peer(Box::new(response)));
                ResumeResult::Resumed
            }
            Err(ForwardError::NotTaken) => {
                self.dispatcher.budgets().refund(&self.retry_charge());
                ResumeResult::Unreached
            }
            Ok(_) | Err(ForwardError::Failed(_) | ForwardError::Lost(_)) => ResumeResult::Failed,
        }
    }

    fn retry_charge(&self) -> RetryCharge<'_> {
        RetryCharge {
            request: &self.trace.request_id,
            service: &self.job.service,
            reason: self.trace.reason,
            attempts_sent: self.trace.attempts_sent,
            is_free: false,
        }
    }

    fn log_resume(&self, target: &str, last_event: Option<&str>) {
        log::info!(
            request = self.trace.request_id.as_str(),
            from = self.source.target(),
            to = target,
            peer = self.trace.forwarded_to.as_str(),
            reason = self.trace.reason,
            after_event = last_event.unwrap_or(""),
            silence_ms = BootClock::now().saturating_sub(self.last_received).as_millis() as u64;
            "stream_resumed"
        );
    }

    fn continue_from(&mut self, source: StreamSource) {
        let metrics = &self.dispatcher.shared().metrics;
        metrics.count_resume(&self.job.service);
        if let StreamSource::Target(response) = &source {
            self.trace.record_target(&response.target);
        }
        self.source = source;
        self.discard_partial();
    }

    fn discard_partial(&mut self) {
        self.splitter.discard_partial();
        let _ = self.room.resize(0);
    }

    /// Breaks the caller's stream off, since the node has to exit.
    fn abort_for_exit(&mut self) -> io::Error {
        self.trace.reason = "node_exit";
        self.abort()
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
        self.source.release_slot();
        self.dispatcher.selector().serve_queue();
    }
}
