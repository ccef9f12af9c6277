//! Relays a streamed response to its caller and resumes it after a broken connection, if the engine
//! supports that.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_core::stream::EventScanner;
use briarswitch_fleet::run::TargetRun;
use briarswitch_http::{BodyPart, HeldRoom, TargetBody};
use bytes::Bytes;
use futures::Stream;
use tokio::time::{Instant, Sleep};

use crate::admission::TargetPermit;
use crate::attempt::TargetRequest;
use crate::dispatch::{end_failed_run, RequestDispatcher, RunSubject};
use crate::reply::error_event;
use crate::trace::RequestTrace;

/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: usize = 3;

/// The run that produces a stream.
pub struct RelayRun {
    /// Request that is run.
    pub subject: RunSubject,
    /// Run at the target.
    pub run: TargetRun,
}

/// A stream that is being relayed to a caller.
pub struct StreamRelay {
    dispatcher: Arc<RequestDispatcher>,
    outgoing: TargetRequest,
    permit: TargetPermit,
    attempt: AttemptId,
    body: Option<TargetBody>,
    run: RelayRun,
    /// Number of runs whose connection broke.
    broken_runs: usize,
    scanner: EventScanner,
    /// Room for the incomplete event.
    room: HeldRoom,
    pending: Option<Bytes>,
    resumes: usize,
    stage: RelayStage,
    trace: RequestTrace,
    /// Fires when the stream may have been silent for too long. It is reset only when it fires, and
    /// not for each event, because that would cost more than relaying the event.
    silence_timer: Pin<Box<Sleep>>,
    last_chunk_at: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayStage {
    Streaming,
    /// The complete response was relayed.
    Done,
    /// The error event was sent; the connection is closed next.
    ErrorSent,
    Closed,
}

/// What happened next on the connection to the target.
enum RelayStep {
    Chunk(Bytes),
    End,
    Broken,
}

impl StreamRelay {
    /// Starts to relay the response to an attempt.
    pub fn start(
        dispatcher: Arc<RequestDispatcher>,
        outgoing: TargetRequest,
        permit: TargetPermit,
        attempt: AttemptId,
        body: TargetBody,
        run: RelayRun,
        trace: RequestTrace,
    ) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
        let silence = dispatcher.shared().settings.requests.stream_silence;
        let relay = Self {
            silence_timer: Box::pin(tokio::time::sleep(silence)),
            last_chunk_at: Instant::now(),
            dispatcher,
            outgoing,
            permit,
            attempt,
            body: Some(body),
            run,
            broken_runs: 0,
            scanner: EventScanner::default(),
            room: HeldRoom::open(),
            pending: None,
            resumes: 0,
            stage: RelayStage::Streaming,
            trace,
        };
        let shared = Arc::clone(relay.dispatcher.shared());
        let exit_due = Box::pin(async move { shared.exit.exit_due().await });
        futures::stream::unfold((relay, exit_due), |(mut relay, mut exit_due)| async move {
            let is_streaming = relay.stage == RelayStage::Streaming;
            let item = tokio::select! {
                biased;
                item = relay.next() => item,
                () = &mut exit_due, if is_streaming => Some(Ok(relay.fail())),
            };
            item.map(|item| (item, (relay, exit_due)))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if let Some(chunk) = self.pending.take() {
            return Some(Ok(chunk));
        }
        match self.stage {
            RelayStage::Streaming => self.next_chunk().await,
            RelayStage::Done | RelayStage::Closed => None,
            RelayStage::ErrorSent => {
                self.stage = RelayStage::Closed;
                // The HTTP library flushes its buffer when the body has nothing ready. Without this
                // yield the error event would be dropped with the connection.
                tokio::task::yield_now().await;
                Some(Err(io::Error::other("the stream is broken")))
            }
        }
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            match self.next_step().await {
                RelayStep::Chunk(chunk) => {
                    if let Some(complete) = self.accept_chunk(&chunk) {
                        return Some(Ok(complete));
                    }
                }
                RelayStep::End if self.scanner.is_ended() => {
                    self.stage = RelayStage::Done;
                    return None;
                }
                // A body that ends cleanly but without the end marker is not a complete response.
                RelayStep::End | RelayStep::Broken => {
                    self.run.run.report_broken("stream_broken");
                    self.broken_runs += 1;
                    if !self.resume().await {
                        return Some(Ok(self.fail()));
                    }
                }
            }
        }
    }

    async fn next_step(&mut self) -> RelayStep {
        if self.scanner.is_overlong() || !self.has_room() {
            return RelayStep::Broken;
        }
        let silence = self.dispatcher.shared().settings.requests.stream_silence;
        let Some(body) = self.body.as_mut() else {
            return RelayStep::Broken;
        };
        loop {
            tokio::select! {
                biased;
                chunk = body.next() => {
                    self.last_chunk_at = Instant::now();
                    return match chunk {
                        Ok(BodyPart::Chunk(chunk)) => RelayStep::Chunk(chunk),
                        Ok(BodyPart::End(_)) => RelayStep::End,
                        Err(_) => RelayStep::Broken,
                    };
                }
                () = self.silence_timer.as_mut() => {
                    let end = self.last_chunk_at + silence;
                    let is_silent = Instant::now() >= end;
                    let next = if is_silent { Instant::now() + silence } else { end };
                    self.silence_timer.as_mut().reset(next);
                    if is_silent {
                        return RelayStep::Broken;
                    }
                }
            }
        }
    }

    /// Claims room for the incomplete event; returns whether there is some.
    fn has_room(&mut self) -> bool {
        let claimed = self.room.resize(self.scanner.partial_capacity());
        if let Err(error) = &claimed {
            log::info!(request = self.trace.request.as_str(), error:% = error; "event_refused");
        }
        claimed.is_ok()
    }

    /// Takes a chunk of the body and returns the complete events that can be relayed now.
    fn accept_chunk(&mut self, chunk: &Bytes) -> Option<Bytes> {
        let before = self.scanner.events();
        let (earlier, scanned) = self.scanner.scan(chunk);
        let fresh = chunk.slice(..scanned.complete_bytes);
        let events = self.scanner.events();
        if before == 0 && events > 0 {
            self.trace.record_first_token(&self.permit);
        }
        self.trace.tokens = events as u64;
        if self.scanner.is_ended() {
            // Settled at the end marker, by which the engine declares the response complete.
            self.trace.settle(Outcome::Answered);
            self.run.run.complete(self.dispatcher.suspects());
            self.stage = RelayStage::Done;
            self.finish_body();
        }
        match (earlier.is_empty(), fresh.is_empty()) {
            (true, true) => None,
            (true, false) => Some(fresh),
            (false, _) => Some(self.room.pass_on(Bytes::from(earlier))),
        }
    }

    /// Reads the body to its end in the background, so that its connection can be reused.
    fn finish_body(&mut self) {
        if let Some(mut body) = self.body.take() {
            tokio::spawn(async move {
                let _ = tokio::time::timeout(Duration::from_secs(1), body.next()).await;
            });
        }
    }

    /// Asks the target to continue after the events that were already relayed.
    async fn resume(&mut self) -> bool {
        self.body = None;
        self.scanner.discard_partial();
        let _ = self.room.resize(0);
        let suspects = self.run.subject.suspects();
        let may_retry = self
            .dispatcher
            .suspects()
            .may_retry(suspects, self.broken_runs);
        if self.resumes >= MAX_RESUMES || !may_retry {
            return false;
        }
        self.resumes += 1;
        let events = self.scanner.events();
        let runner = self.dispatcher.runner();
        let target = Arc::clone(&self.permit.target);
        self.run.run = self.dispatcher.start_run(&self.run.subject, &target);
        match runner
            .begin(&self.outgoing, &target, &self.attempt, Some(events))
            .await
        {
            Ok(reply) => {
                log::info!(request = self.trace.request.as_str(), events = events; "stream_resumed");
                self.body = Some(reply.body);
                true
            }
            Err(point) => {
                end_failed_run(&mut self.run.run, point);
                false
            }
        }
    }

    fn fail(&mut self) -> Bytes {
        self.trace.settle(Outcome::Unknown);
        self.stage = RelayStage::ErrorSent;
        error_event(FailurePoint::Truncated)
    }
}
