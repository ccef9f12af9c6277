//! Runs requests and replies to those that end without a target's response.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::outcome::FailurePoint;
use briarswitch_core::return_schedule::unscheduled_return;
use briarswitch_http::Response;

use crate::dispatch::FleetDispatcher;
use crate::forward::{refusal_response, ForwardFailure, ForwardRefusal};
use crate::job::RequestJob;
use crate::local_reply::LocalReply;
use crate::request_run::{FailedRequest, RequestResponse, RequestRun};
use crate::suspect_ledger::BarredSuspect;
use crate::trace::RequestTrace;

/// Runs requests of callers and of nodes that forward them.
pub struct RequestRunner {
    dispatcher: Arc<FleetDispatcher>,
}

impl RequestRunner {
    /// Creates a runner that sends attempts through `dispatcher`.
    pub fn new(dispatcher: Arc<FleetDispatcher>) -> Self {
        Self { dispatcher }
    }

    /// Runs a request of a caller, with retries as its rule allows, and returns the response for the caller.
    pub async fn run(&self, job: RequestJob, trace: RequestTrace) -> Response {
        self.dispatcher.budgets().deposit(&job.service);
        match self.run_attempts(job, trace).await {
            Ok(answered) => answered.response,
            Err(failed) => self.reply_failed(*failed),
        }
    }

    /// Runs a request that another node forwarded; the response is for that node.
    ///
    /// The other node has counted the request towards its retry budget.
    pub async fn run_forwarded(&self, job: RequestJob, trace: RequestTrace) -> Response {
        match self.run_attempts(job, trace).await {
            Ok(RequestResponse { mut response, head }) => {
                head.insert_into(response.headers_mut());
                response
            }
            Err(mut failed) => {
                failed.trace.end_failed(failed.point);
                refusal_response(ForwardRefusal::Failed(ForwardFailure {
                    point: failed.point,
                    available_in: available_in(&failed, self.barred(&failed)),
                    attempts_sent: failed.trace.attempts_sent,
                }))
            }
        }
    }

    async fn run_attempts(
        &self,
        job: RequestJob,
        trace: RequestTrace,
    ) -> Result<RequestResponse, Box<FailedRequest>> {
        if self.dispatcher.is_quarantined(&job) {
            return Err(Box::new(FailedRequest {
                point: FailurePoint::Quarantined,
                available_in: None,
                trace,
            }));
        }
        let run = RequestRun::new(Arc::clone(&self.dispatcher), job, trace);
        run.run().await
    }

    /// Replies to a request that ends without a target's response.
    fn reply_failed(&self, mut failed: FailedRequest) -> Response {
        failed.trace.end_failed(failed.point);
        let reply = self.failure_reply(&failed);
        let mut response = reply.into_response();
        let protocol = &self.dispatcher.shared().platform.protocol;
        protocol.add_attempt_id(response.headers_mut(), &failed.trace.request_id);
        response
    }

    /// Returns the reply to a request that ends without a target's response.
    fn failure_reply(&self, failed: &FailedRequest) -> LocalReply {
        let barred = self.barred(failed);
        let available_in = available_in(failed, barred).unwrap_or_default();
        if failed.point != FailurePoint::Quarantined {
            let reply = LocalReply::for_failure(failed.point);
            return match failed.trace.forecast {
                Some(forecast) => reply.returning_in(forecast.returns_in),
                None => reply.delayed_by(available_in),
            };
        }
        let print = barred.map(|barred| barred.fingerprint);
        let trace = &failed.trace;
        let metrics = &self.dispatcher.shared().metrics;
        metrics.count_refusal(&trace.organisation);
        log::info!(
            request = trace.request_id.as_str(),
            print = print.map(|print| print.to_string()).unwrap_or_default().as_str(),
            kind = print.map_or("", |print| print.kind()),
            organisation = trace.organisation.as_str(),
            left_ms = available_in.as_millis() as u64;
            "quarantine_refused"
        );
        LocalReply::quarantined(available_in)
    }

    /// Returns the quarantine that ended a request; `None` if it ended for another reason.
    fn barred(&self, failed: &FailedRequest) -> Option<BarredSuspect> {
        if failed.point != FailurePoint::Quarantined {
            return None;
        }
        let suspects = failed.trace.suspects.as_ref()?;
        self.dispatcher.shared().suspects.barred(suspects)
    }
}

/// Returns the time until the request may be served, if known.
fn available_in(failed: &FailedRequest, barred: Option<BarredSuspect>) -> Option<Duration> {
    let quarantined = barred.map(|barred| barred.left);
    let forecast = failed.trace.forecast;
    // The node that replies to the caller adds a delay of its own.
    let returns_in =
        forecast.map(|forecast| forecast.returns_in.saturating_sub(unscheduled_return(1.0)));
    quarantined.or(returns_in).or(failed.available_in)
}
