//! Passes a stream on to its caller, and goes on elsewhere when its group falls silent or breaks.

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
use crate::gauge::GaugePlace;
use crate::job::{BegunAnswer, RequestJob};
use crate::slot_queue::ReservedTarget;
use crate::suspicion::silence_of;
use crate::trace::{RequestEnd, RequestTrace};

/// Lateness of the node's own timer beyond which silence proves nothing about the target.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);

/// A stream under way.
pub struct StreamRelay {
    dispatcher: Arc<FleetDispatcher>,
    job: RequestJob,
    response: BegunAnswer,
    splitter: EventSplitter,
    trace: RequestTrace,
    tried: Vec<TargetId>,
    last_received: Moment,
    has_ended: bool,
}

/// What became of a stream that was to go on at another target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResumeResult {
    /// It goes on.
    Resumed,
    /// Nobody listened there.
    Refused,
    /// It ends here.
    Failed,
}

enum StreamStep {
    Chunk(Bytes),
    End,
    Broken,
    /// The request's time is over.
    Deadline,
    Silent,
}

impl StreamRelay {
    /// Returns the body of the caller's response.
    pub fn start(
        dispatcher: Arc<FleetDispatcher>,
        job: RequestJob,
        begun: BegunAnswer,
        mut trace: RequestTrace,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        trace.attempts_sent += 1;
        let relay = Self {
            tried: vec![begun.target.id.clone()],
            dispatcher,
            job,
            response: begun,
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
                StreamStep::Chunk(piece) => {
                    let whole = self.splitter.push(&piece);
                    if !whole.is_empty() {
                        self.record_events();
                        return Some(Ok(whole));
                    }
                }
                StreamStep::End => return self.finish(),
                end @ (StreamStep::Broken | StreamStep::Deadline) => {
                    if matches!(end, StreamStep::Broken) {
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
            let begun = BootClock::now();
            match timer.await {
                Ok(Ok(Some(piece))) => return StreamStep::Chunk(piece),
                Ok(Ok(None)) => return StreamStep::End,
                Ok(Err(_)) => return StreamStep::Broken,
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= self.job.deadline {
                return StreamStep::Deadline;
            }
            let is_late = now.saturating_sub(begun) > SILENCE_POLL_INTERVAL + MAX_TIMER_DELAY;
            if !is_late && self.is_silent(now) {
                return StreamStep::Silent;
            }
        }
    }

    /// Returns whether the whole group has been silent for longer than its passes explain.
    fn is_silent(&self, now: Moment) -> bool {
        let target = &self.response.target;
        let limit = silence_of(&self.job, target);
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
            && suspects.may_go_on(&self.job.print, self.trace.broken_runs)
    }

    fn record_events(&mut self) {
        let now = BootClock::now();
        if self.trace.events == 0 {
            self.response
                .place
                .iter_mut()
                .for_each(GaugePlace::note_read);
            self.trace.record_first_event();
            if self.trace.attempts_sent == 1 {
                let placed = self.trace.arrived + self.trace.slot_wait.unwrap_or_default();
                let time = now.saturating_sub(placed);
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
        self.response.target.gauge.note_heard(now);
        self.trace.events = self.splitter.events();
    }

    /// Ends the caller's stream; bytes of an event that never ended are passed on as they came.
    fn finish(&mut self) -> Option<Result<Bytes, io::Error>> {
        self.has_ended = true;
        self.response
            .run
            .complete(&self.dispatcher.shared().suspects);
        self.trace.end(RequestEnd::Answered);
        let rest = Bytes::copy_from_slice(self.splitter.held());
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on after the last whole event at another target, if there is one with a place.
    ///
    /// The old answer is kept until the new one has begun: a group that was only slow goes on.
    async fn resume(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let Some(placed) = self
            .dispatcher
            .selector()
            .pick(&self.job.place_ask(&self.tried))
        else {
            return false;
        };
        self.resume_at(placed).await == ResumeResult::Resumed
    }

    /// Goes on elsewhere after the old answer has ended, waiting for a place if none is free.
    ///
    /// Targets often end together, and the next one may be gone as well without anybody knowing yet. One that
    /// refuses the connection has not had the request, so the stream goes on to another.
    async fn resume_after_break(&mut self) -> bool {
        self.response.place = None;
        while self.may_resume() {
            let placer = self.dispatcher.selector();
            let is_begun = self.splitter.last().is_some();
            let placing = placer.acquire_for_resume(&self.job, &self.tried, is_begun);
            let Ok(placed) = placing.await else {
                return false;
            };
            match self.resume_at(placed).await {
                ResumeResult::Resumed => return true,
                ResumeResult::Refused => {}
                ResumeResult::Failed => return false,
            }
        }
        false
    }

    async fn resume_at(&mut self, (target, place): ReservedTarget) -> ResumeResult {
        if !self.dispatcher.budgets().withdraw(&self.job.service) {
            return ResumeResult::Failed;
        }
        self.trace.attempts_sent += 1;
        let last = self.splitter.last().map(str::to_owned);
        let last = last.or_else(|| self.job.ask.last_event.clone());
        self.tried.push(target.id.clone());
        log::info!(
            request = self.trace.request_id.as_str(),
            from = self.response.target.id.as_str(),
            to = target.id.as_str(),
            reason = self.trace.reason,
            after_event = last.as_deref().unwrap_or(""),
            silence_ms = BootClock::now().saturating_sub(self.last_received).as_millis() as u64;
            "stream_resumed"
        );
        let begun = self
            .dispatcher
            .send(&self.job, target, place, last.as_deref(), false)
            .await;
        match begun {
            Ok(begun) => {
                self.dispatcher
                    .shared()
                    .metrics
                    .count_resume(&self.job.service);
                self.trace.target.clone_from(&begun.target.id);
                self.response = begun;
                self.splitter.drop_tail();
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

    /// Ends the caller's connection without the end mark, so that the answer does not look whole.
    fn abort(&mut self) -> io::Error {
        self.has_ended = true;
        self.trace.end(RequestEnd::Unknown);
        io::Error::other("the stream is broken")
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.response.place = None;
        self.dispatcher.selector().serve_queue();
    }
}
