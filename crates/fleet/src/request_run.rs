//! One request from its first attempt to its response, with retries and the way through another node.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_http::{stream_body, Response};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue};

use crate::budget::RetryCharge;
use crate::dispatch::FleetDispatcher;
use crate::failure::{worst_of, ConnectionFailure, FailedAttempt, MAX_UNREACHED_ATTEMPTS};
use crate::forward::{ForwardFailure, ForwardedHead};
use crate::forwarder::{ForwardError, ForwardProgress};
use crate::job::RequestJob;
use crate::relay::StreamRelay;
use crate::restriction::{AcquiredSlot, SlotError};
use crate::stream_source::StreamSource;
use crate::trace::{RequestEnd, RequestTrace};

/// Times that a request which no node took is forwarded again.
const MAX_FORWARD_ROUNDS: u32 = 2;

/// A request that ended without a target's response.
pub struct FailedRequest {
    /// Failure to report to the caller.
    pub point: FailurePoint,
    /// Time until a target can be expected to take the request, if known.
    pub available_in: Option<Duration>,
    /// Record of the request.
    pub trace: RequestTrace,
}

/// A target's response for the caller.
pub struct RequestResponse {
    /// The response.
    pub response: Response,
    /// Its target, and the attempts until then.
    pub head: ForwardedHead,
}

/// Result of an attempt that brought a target's response.
enum Answer {
    Stream(StreamSource),
    Whole(Box<(http::response::Parts, Bytes)>),
}

/// Why an attempt brought no target's response.
enum AttemptError {
    /// Nothing was sent, and the request takes another way.
    Again,
    /// The request ends.
    Ended {
        point: FailurePoint,
        available_in: Option<Duration>,
    },
    /// The attempt failed, and another one may follow.
    Failed(FailedAttempt),
}

impl From<SlotError> for AttemptError {
    fn from(error: SlotError) -> Self {
        Self::Ended {
            point: error.point,
            available_in: error.available_in,
        }
    }
}

/// A request in progress.
pub struct RequestRun {
    dispatcher: Arc<FleetDispatcher>,
    job: RequestJob,
    trace: RequestTrace,
    tried: Vec<TargetId>,
    unreached: u32,
    worst: Option<FailurePoint>,
    forward_rounds: u32,
    /// When the attempt that is due was charged to the retry budget.
    charged_at: Option<Moment>,
    /// Whether the attempt in progress may have been sent.
    is_sending: bool,
}

impl RequestRun {
    /// Creates a request of which nothing was sent by this node.
    pub fn new(dispatcher: Arc<FleetDispatcher>, job: RequestJob, trace: RequestTrace) -> Self {
        Self {
            dispatcher,
            tried: Vec::new(),
            job,
            trace,
            unreached: 0,
            worst: None,
            forward_rounds: 0,
            charged_at: None,
            is_sending: false,
        }
    }

    /// Runs the request, with retries as its rule allows.
    ///
    /// # Errors
    ///
    /// Returns the failure to report if no target responded.
    pub async fn run(mut self) -> Result<RequestResponse, Box<FailedRequest>> {
        loop {
            let failed = match self.attempt_before_exit().await {
                Ok(answer) => return Ok(self.respond(answer)),
                Err(AttemptError::Again) => continue,
                Err(AttemptError::Ended {
                    point,
                    available_in,
                }) => return Err(self.fail(point, available_in)),
                Err(AttemptError::Failed(failed)) => failed,
            };
            if !self.may_retry(&failed) {
                return match failed.response {
                    Some(response) => Ok(self.respond_failed(*response)),
                    None => Err(self.fail(failed.point, None)),
                };
            }
            self.worst = Some(worst_of(self.worst, failed.point));
        }
    }

    /// Makes one attempt, and gives it up in time to say so if the node has to exit before it ends.
    async fn attempt_before_exit(&mut self) -> Result<Answer, AttemptError> {
        let dispatcher = Arc::clone(&self.dispatcher);
        tokio::select! {
            biased;
            result = self.attempt() => result,
            () = dispatcher.shared().exit.answers_due() => Err(AttemptError::Ended {
                point: self.exit_point(),
                available_in: None,
            }),
        }
    }

    /// Returns the failure to report when the node has to exit during an attempt.
    fn exit_point(&self) -> FailurePoint {
        match (self.job.owns_retries(), self.is_sending) {
            (true, false) => FailurePoint::QueueDeadline,
            (true, true) => FailurePoint::AnswerDeadline,
            // The node that forwarded the request has time left, and may make another attempt.
            (false, false) => FailurePoint::ClosedBeforeSend,
            (false, true) => FailurePoint::BrokenBeforeHead,
        }
    }

    /// Makes one attempt, through another node if this one reaches no target.
    async fn attempt(&mut self) -> Result<Answer, AttemptError> {
        self.is_sending = false;
        if self.may_forward() && self.dispatcher.shared().reach.settle().await {
            return self.attempt_at_peer().await;
        }
        self.attempt_at_target().await
    }

    fn may_forward(&self) -> bool {
        self.job.owns_retries() && self.forward_rounds < MAX_FORWARD_ROUNDS
    }

    async fn attempt_at_peer(&mut self) -> Result<Answer, AttemptError> {
        let progress = ForwardProgress {
            attempts_sent: self.trace.attempts_sent,
            last_event: self.job.request.last_event.as_deref(),
            is_resumption: false,
            may_retry: self.may_attempt_again(),
        };
        let dispatcher = Arc::clone(&self.dispatcher);
        let forwarder = dispatcher.forwarder();
        self.is_sending = true;
        let response = match forwarder.forward(&self.job, progress).await {
            Ok(response) => response,
            Err(error) => return Err(self.record_forward_error(error)),
        };
        self.trace.record_slot();
        self.trace
            .record_peer(&response.peer.entry.node, &response.forwarded);
        if self.job.is_stream() && response.head.status.is_success() {
            return Ok(Answer::Stream(StreamSource::Peer(Box::new(response))));
        }
        let read = forwarder.read_whole(&self.job, response).await;
        let failed = match read {
            Ok(whole) if whole.0.status.is_success() => return Ok(Answer::Whole(Box::new(whole))),
            Ok(whole) => FailedAttempt {
                response: Some(Box::new(whole)),
                ..FailurePoint::TargetError.into()
            },
            Err(failed) => failed,
        };
        self.trace.reason = failed.point.code();
        Err(AttemptError::Failed(failed))
    }

    /// Returns whether another attempt may follow the next one.
    fn may_attempt_again(&self) -> bool {
        if !self.job.owns_retries() {
            return self.job.may_sender_retry;
        }
        let rule = &self.job.rule;
        rule.is_repeatable() && self.trace.attempts_sent + 1 < rule.max_attempts
    }

    fn record_forward_error(&mut self, error: ForwardError) -> AttemptError {
        match error {
            ForwardError::NotTaken => {
                self.forward_rounds += 1;
                AttemptError::Again
            }
            ForwardError::Failed(ForwardFailure {
                point,
                available_in,
                attempts_sent,
            }) => {
                self.trace.attempts_sent = attempts_sent;
                self.trace.reason = point.code();
                if point.allows_retry(self.job.rule.is_repeatable()) {
                    let failed = FailedAttempt::from(point);
                    self.unreached += u32::from(!failed.has_reached_target());
                    return AttemptError::Failed(failed);
                }
                AttemptError::Ended {
                    point,
                    available_in,
                }
            }
            ForwardError::Lost(point) => {
                self.trace.attempts_sent += 1;
                self.trace.reason = point.code();
                log::info!(
                    request = self.trace.request_id.as_str(),
                    reason = point.code(),
                    attempt = self.trace.attempts_sent;
                    "forward_broken"
                );
                AttemptError::Failed(point.into())
            }
        }
    }

    async fn attempt_at_target(&mut self) -> Result<Answer, AttemptError> {
        let AcquiredSlot {
            target,
            slot,
            passed_over,
            granted_by,
        } = self.acquire().await?;
        self.trace.passed_over = passed_over;
        self.trace.granted_by = granted_by;
        self.trace.record_target(&target);
        self.trace.record_slot();
        let last_event = self.job.request.last_event.clone();
        let may_reroute = self.may_attempt_again();
        let gauge = Arc::clone(&target.gauge);
        if let Some(charged_at) = self.charged_at.take() {
            let budgets = self.dispatcher.budgets();
            budgets.postpone(&self.job.service, charged_at);
        }
        let sent_at = BootClock::now();
        self.is_sending = true;
        let sent = self
            .dispatcher
            .send(&self.job, target, slot, last_event.as_deref(), may_reroute)
            .await;
        let failed = match sent {
            Ok(response) if self.job.is_stream() => {
                self.trace.attempts_sent += 1;
                return Ok(Answer::Stream(StreamSource::Target(Box::new(response))));
            }
            Ok(response) => match self.dispatcher.read_response(&self.job, response).await {
                Ok(whole) => {
                    self.trace.attempts_sent += 1;
                    return Ok(Answer::Whole(Box::new(whole)));
                }
                Err(point) => FailedAttempt::after_head(point),
            },
            Err(failed) => failed,
        };
        self.trace.record_failed_attempt(&failed, &gauge, sent_at);
        self.tried.push(self.trace.target.clone());
        self.count(&failed);
        Err(AttemptError::Failed(failed))
    }

    /// Reserves a slot at a target, unless this node turns out to be partitioned while the request waits.
    async fn acquire(&mut self) -> Result<AcquiredSlot, AttemptError> {
        let may_forward = self.may_forward();
        let selector = self.dispatcher.selector();
        let acquiring = async {
            if self.job.is_resumption {
                selector
                    .acquire_for_resume(&self.job, &self.tried, true)
                    .await
            } else {
                selector.acquire(&self.job, &self.tried).await
            }
        };
        let partitioned = self.dispatcher.shared().reach.partitioned();
        let acquired = tokio::select! {
            acquired = acquiring => acquired,
            () = partitioned, if may_forward => return Err(AttemptError::Again),
            () = self.dispatcher.shared().suspects.wait_barred(&self.job.suspects) => {
                return Err(AttemptError::Ended {
                    point: FailurePoint::Quarantined,
                    available_in: None,
                });
            }
        };
        acquired.map_err(|error| {
            self.trace.passed_over = error.passed_over;
            self.trace.forecast = error.forecast;
            error.into()
        })
    }

    fn count(&mut self, failed: &FailedAttempt) {
        match failed.connection {
            _ if failed.has_reached_target() => self.trace.attempts_sent += 1,
            // A refused connection costs about a millisecond and each target is tried only once, so it does not
            // count towards the limit.
            ConnectionFailure::Refused => {}
            ConnectionFailure::None | ConnectionFailure::Broken | ConnectionFailure::Unopened => {
                self.unreached += 1;
            }
        }
        self.trace.broken_runs += usize::from(failed.connection == ConnectionFailure::Broken);
    }

    /// Returns whether another attempt may follow, and charges it to the retry budget.
    fn may_retry(&mut self, failed: &FailedAttempt) -> bool {
        let is_free = !failed.has_reached_target();
        if !self.job.owns_retries() && !is_free {
            return false;
        }
        let rule = &self.job.rule;
        let suspects = &self.dispatcher.shared().suspects;
        let may_retry = failed.point.allows_retry(rule.is_repeatable())
            && suspects.may_retry(&self.job.suspects, self.trace.broken_runs)
            && self.trace.attempts_sent < rule.max_attempts
            && self.unreached < MAX_UNREACHED_ATTEMPTS
            && BootClock::now() < self.job.deadline
            && self.dispatcher.budgets().charge(&RetryCharge {
                request: &self.trace.request_id,
                service: &self.job.service,
                reason: failed.point.code(),
                attempts_sent: self.trace.attempts_sent,
                is_free,
            });
        if may_retry && !is_free {
            self.charged_at = Some(BootClock::now());
        }
        may_retry
    }

    fn respond(mut self, answer: Answer) -> RequestResponse {
        let head = self.response_head();
        let response = match answer {
            Answer::Stream(source) => self.stream_response(source),
            Answer::Whole(whole) => {
                self.trace.end(RequestEnd::Answered);
                self.whole_response(*whole)
            }
        };
        RequestResponse { response, head }
    }

    /// Passes a target's error response on.
    fn respond_failed(mut self, whole: (http::response::Parts, Bytes)) -> RequestResponse {
        self.trace.end(RequestEnd::Failed);
        RequestResponse {
            head: self.response_head(),
            response: self.whole_response(whole),
        }
    }

    fn whole_response(&self, (head, bytes): (http::response::Parts, Bytes)) -> Response {
        let length = HeaderValue::from(bytes.len() as u64);
        let mut response = Response::new(bytes.into());
        *response.status_mut() = head.status;
        *response.headers_mut() = self.caller_headers(&head.headers);
        response.headers_mut().insert(CONTENT_LENGTH, length);
        response
    }

    fn stream_response(self, source: StreamSource) -> Response {
        let status = source.head().status;
        let headers = self.caller_headers(&source.head().headers);
        let relay = StreamRelay::start(self.dispatcher, self.job, source, self.trace);
        let mut response = Response::new(stream_body(relay));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let protocol = &self.dispatcher.shared().platform.protocol;
        protocol.caller_headers(headers)
    }

    fn response_head(&self) -> ForwardedHead {
        ForwardedHead {
            target: self.trace.target.clone(),
            attempts_sent: self.trace.attempts_sent,
        }
    }

    fn fail(self, point: FailurePoint, available_in: Option<Duration>) -> Box<FailedRequest> {
        Box::new(FailedRequest {
            point: worst_of(self.worst, point),
            available_in,
            trace: self.trace,
        })
    }
}
