//! Passes a stream on to its caller, and goes on elsewhere when its group falls silent or breaks.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::events::EventSplitter;
use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use futures::Stream;

use crate::dispatch::{FleetDispatcher, SILENCE_CHECK};
use crate::failure::FailureSign;
use crate::gauge::GaugePlace;
use crate::job::{BegunAnswer, RequestJob};
use crate::queue::PlacedTarget;
use crate::suspicion::silence_limit_for;
use crate::trace::{RequestEnd, RequestTrace};

/// Lateness of the node's own timer beyond which silence proves nothing about the target.
const OWN_LATENESS: Duration = Duration::from_millis(60);

/// A stream under way.
pub struct StreamRelay {
    dispatcher: Arc<FleetDispatcher>,
    job: RequestJob,
    current: BegunAnswer,
    splitter: EventSplitter,
    trace: RequestTrace,
    tried: Vec<TargetId>,
    heard: Moment,
    is_over: bool,
}

/// What became of a stream that was to go on at another target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GoOnEnd {
    /// It goes on.
    Begun,
    /// Nobody listened there.
    Refused,
    /// It ends here.
    Failed,
}

enum RelayStep {
    Piece(Bytes),
    End,
    Broken,
    /// The request's time is over.
    Deadline,
    Silent,
}

impl StreamRelay {
    /// Returns the body of the caller's response.
    pub fn spawn(
        dispatcher: Arc<FleetDispatcher>,
        job: RequestJob,
        begun: BegunAnswer,
        mut trace: RequestTrace,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        trace.sent += 1;
        let relay = Self {
            tried: vec![begun.target.id.clone()],
            dispatcher,
            job,
            current: begun,
            splitter: EventSplitter::default(),
            trace,
            heard: BootClock::now(),
            is_over: false,
        };
        futures::stream::unfold(relay, |mut relay| async move {
            relay.next().await.map(|item| (item, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_over {
            return None;
        }
        loop {
            match self.step().await {
                RelayStep::Piece(piece) => {
                    let whole = self.splitter.push(&piece);
                    if !whole.is_empty() {
                        self.note_events();
                        return Some(Ok(whole));
                    }
                }
                RelayStep::End => return self.end(),
                end @ (RelayStep::Broken | RelayStep::Deadline) => {
                    if matches!(end, RelayStep::Broken) {
                        self.current.run.broke("stream_broken");
                        self.trace.broken += 1;
                    }
                    self.trace.reason = "stream_broken";
                    if !self.resume_broken().await {
                        return Some(Err(self.give_up()));
                    }
                }
                RelayStep::Silent => {
                    self.trace.reason = "stream_silent";
                    self.resume().await;
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        loop {
            let timer = tokio::time::timeout(SILENCE_CHECK, self.current.body.next());
            let begun = BootClock::now();
            match timer.await {
                Ok(Ok(Some(piece))) => return RelayStep::Piece(piece),
                Ok(Ok(None)) => return RelayStep::End,
                Ok(Err(_)) => return RelayStep::Broken,
                Err(_) => {}
            }
            let now = BootClock::now();
            if now >= self.job.deadline {
                return RelayStep::Deadline;
            }
            let is_late = now.saturating_sub(begun) > SILENCE_CHECK + OWN_LATENESS;
            if !is_late && self.is_silent(now) {
                return RelayStep::Silent;
            }
        }
    }

    /// Returns whether the whole group has been silent for longer than its passes explain.
    fn is_silent(&self, now: Moment) -> bool {
        let target = &self.current.target;
        let limit = silence_limit_for(&self.job, target);
        let is_silent = now.saturating_sub(self.heard) > limit && target.gauge.silence(now) > limit;
        if is_silent {
            self.dispatcher.suspicion().suspect(target, now);
        }
        is_silent && self.may_resume()
    }

    fn may_resume(&self) -> bool {
        let suspects = &self.dispatcher.shared().suspects;
        self.job.rule.is_repeatable()
            && self.trace.sent < self.job.rule.max_attempts
            && suspects.may_retry(&self.job.print, self.trace.broken)
    }

    fn note_events(&mut self) {
        let now = BootClock::now();
        if self.trace.events == 0 {
            self.current
                .place
                .iter_mut()
                .for_each(GaugePlace::note_read);
            self.trace.note_first();
            if self.trace.sent == 1 {
                let placed = self.trace.arrived + self.trace.waited.unwrap_or_default();
                let time = now.saturating_sub(placed);
                self.dispatcher.placer().note_first(&self.job, time);
            }
        } else {
            self.trace.pause = self.trace.pause.max(now.saturating_sub(self.heard));
        }
        self.heard = now;
        self.current.target.gauge.note_heard(now);
        self.trace.events = self.splitter.events();
    }

    /// Ends the caller's stream; bytes of an event that never ended are passed on as they came.
    fn end(&mut self) -> Option<Result<Bytes, io::Error>> {
        self.is_over = true;
        self.current
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
            .placer()
            .pick(&self.job.place_ask(&self.tried))
        else {
            return false;
        };
        self.go_on(placed).await == GoOnEnd::Begun
    }

    /// Goes on elsewhere after the old answer has ended, waiting for a place if none is free.
    ///
    /// Targets often end together, and the next one may be gone as well without anybody knowing yet. One that
    /// refuses the connection has not had the request, so the stream goes on to another.
    async fn resume_broken(&mut self) -> bool {
        self.current.place = None;
        while self.may_resume() {
            let placer = self.dispatcher.placer();
            let is_begun = self.splitter.last().is_some();
            let placing = placer.place_again(&self.job, &self.tried, is_begun);
            let Ok(placed) = placing.await else {
                return false;
            };
            match self.go_on(placed).await {
                GoOnEnd::Begun => return true,
                GoOnEnd::Refused => {}
                GoOnEnd::Failed => return false,
            }
        }
        false
    }

    async fn go_on(&mut self, (target, place): PlacedTarget) -> GoOnEnd {
        if !self.dispatcher.budgets().spend(&self.job.service) {
            return GoOnEnd::Failed;
        }
        self.trace.sent += 1;
        let last = self.splitter.last().map(str::to_owned);
        let last = last.or_else(|| self.job.ask.last_event.clone());
        self.tried.push(target.id.clone());
        log::info!(
            request = self.trace.request.as_str(),
            from = self.current.target.id.as_str(),
            to = target.id.as_str(),
            reason = self.trace.reason,
            after_event = last.as_deref().unwrap_or(""),
            silence_ms = BootClock::now().saturating_sub(self.heard).as_millis() as u64;
            "stream_resumed"
        );
        let begun = self
            .dispatcher
            .begin(&self.job, target, place, last.as_deref(), false)
            .await;
        match begun {
            Ok(begun) => {
                self.dispatcher
                    .shared()
                    .metrics
                    .count_resume(&self.job.service);
                self.trace.target.clone_from(&begun.target.id);
                self.current = begun;
                self.splitter.drop_tail();
                GoOnEnd::Begun
            }
            Err(failed) => {
                self.trace.reason = failed.point.code();
                if failed.sign == FailureSign::Refused {
                    self.trace.sent -= 1;
                    self.dispatcher.budgets().give_back(&self.job.service);
                    return GoOnEnd::Refused;
                }
                GoOnEnd::Failed
            }
        }
    }

    /// Ends the caller's connection without the end mark, so that the answer does not look whole.
    fn give_up(&mut self) -> io::Error {
        self.is_over = true;
        self.trace.end(RequestEnd::Unknown);
        io::Error::other("the stream is broken")
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.current.place = None;
        self.dispatcher.placer().serve_queue();
    }
}
