//! HTTP API for callers: authenticates requests, checks their size and matches them with a rule.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use briarswitch_core::fingerprint::{FingerprintParts, SuspectFingerprint};
use briarswitch_core::id::*;
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_core::traffic::{KeyHolder, TrafficConfig, TrafficRule};
use briarswitch_http::{read_body, Body, BodyError, Handler, Request, Response};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::FleetDispatcher;
use crate::forward::{not_taken_response, ForwardRequest};
use crate::job::RequestJob;
use crate::local_reply::LocalReply;
use crate::ports::CallerRequest;
use crate::prior_wait::PriorWaitEstimator;
use crate::request_runner::RequestRunner;
use crate::shared::{FleetPhase, FleetShared};
use crate::trace::{RequestEnd, RequestTrace};

/// Handles callers' requests.
pub struct CallerApi {
    shared: Arc<FleetShared>,
    runner: RequestRunner,
    prior_wait: PriorWaitEstimator,
}

impl CallerApi {
    /// Creates a handler that passes accepted requests to `dispatcher`.
    pub fn new(shared: Arc<FleetShared>, dispatcher: Arc<FleetDispatcher>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            runner: RequestRunner::new(dispatcher),
            prior_wait: PriorWaitEstimator::default(),
        })
    }

    async fn respond(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let (head, body) = request.into_parts();
        let caller_request = self.shared.platform.protocol.parse_request(&head);
        let mut trace = RequestTrace::begin(&self.shared, &caller_request.attempt, arrived);
        let accepted = self.accept(head, body, caller_request, &mut trace).await;
        let mut response = match accepted {
            Ok(job) => self.runner.run(job, trace).await,
            Err(reply) => {
                trace.reason = reply.text;
                trace.end(match reply.retry_after {
                    Some(_) => RequestEnd::NotRun,
                    None => RequestEnd::Rejected,
                });
                let mut response = reply.into_response();
                let protocol = &self.shared.platform.protocol;
                protocol.add_attempt_id(response.headers_mut(), &trace.request_id);
                response
            }
        };
        if self.shared.phase() != FleetPhase::Running {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Admits a request that another node forwarded as one of this node's own callers, and runs it.
    pub(crate) async fn run_forwarded(&self, forward: ForwardRequest) -> Response {
        let now = BootClock::now();
        let (head, body) = forward.caller_request();
        let caller_request = CallerRequest {
            host: forward.host.clone(),
            ..self.shared.platform.protocol.parse_request(&head)
        };
        let arrived = now.saturating_sub(forward.elapsed);
        let mut trace = RequestTrace::begin(&self.shared, &caller_request.attempt, arrived);
        trace.record_sender(&forward.sender, forward.attempts_sent);
        let accepted = self.accept(head, body, caller_request, &mut trace).await;
        match accepted {
            Ok(_) if trace.config_version < forward.config_version => {
                self.refuse_forwarded("older configuration", trace)
            }
            Ok(job) => {
                let job = job.continued(forward, now);
                self.runner.run_forwarded(job, trace).await
            }
            Err(reply) => self.refuse_forwarded(reply.text, trace),
        }
    }

    fn refuse_forwarded(&self, reason: &'static str, mut trace: RequestTrace) -> Response {
        trace.reason = reason;
        trace.end(RequestEnd::NotRun);
        not_taken_response(reason)
    }

    /// Checks a request and reads its body.
    ///
    /// # Errors
    ///
    /// Returns the reply to send if the request is not accepted.
    async fn accept(
        &self,
        head: Parts,
        body: Body,
        caller_request: CallerRequest,
        trace: &mut RequestTrace,
    ) -> Result<RequestJob, LocalReply> {
        if self.shared.phase() == FleetPhase::Draining {
            return Err(LocalReply::not_run("this node is shutting down"));
        }
        let loaded = self.shared.initial_config().await;
        let Some(config) = loaded.as_ref() else {
            return Err(LocalReply::not_run("no configuration is known yet"));
        };
        trace.config_version = config.version;
        let rule = self.match_rule(config, &caller_request, &head)?;
        trace.rule.clone_from(&rule.name);
        let holder = self.authenticate(config, rule, &caller_request)?;
        let priority = holder.and_then(|holder| holder.priority);
        let allowed_regions = holder.map_or_else(
            || rule.allowed_regions.clone(),
            |holder| rule.allowed_regions.intersection(&holder.allowed_regions),
        );
        let organisation = holder.map(|holder| holder.organisation.clone());
        trace.organisation = organisation.clone().unwrap_or_default();
        let bytes = self.read_request_body(config, &head, body).await?;
        let draw = xxh3_64(caller_request.attempt.as_bytes()) as u32;
        let service = rule.service(draw).cloned();
        let service = service.ok_or_else(|| LocalReply::not_run("the rule names no service"))?;
        trace.service.clone_from(&service);
        let timeout = caller_request
            .timeout
            .map_or(rule.timeout, |stated| stated.min(rule.timeout));
        let waited_before = self.prior_wait.estimate(&rule.name, caller_request.timeout);
        trace.prompt_tokens = caller_request.prompt_tokens;
        trace.max_tokens = caller_request.max_tokens;
        trace.timeout = timeout;
        trace.waited_before = waited_before;
        // The node to which the request is forwarded records it.
        if !self.shared.reach.is_partitioned() {
            self.record_demand(config, &service, &caller_request, trace.arrived);
        }
        self.shared.has_traffic.store(true, Ordering::Relaxed);
        let path = head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let caller = organisation.as_deref().or(caller_request.key.as_deref());
        let fingerprint = SuspectFingerprint::of(&FingerprintParts {
            caller: caller.unwrap_or(""),
            method: head.method.as_str(),
            host: &caller_request.host,
            path: &path,
            body: &bytes,
        });
        let parts = caller_request.prompt_parts.iter();
        let suspects = RunSuspects::new(fingerprint, parts.map(SuspectFingerprint::of_part));
        trace.suspects = Some(suspects.clone());
        Ok(RequestJob {
            path,
            suspects,
            method: head.method,
            headers: head.headers,
            body: bytes,
            allowed_regions,
            priority: priority.unwrap_or(rule.priority),
            rule: rule.clone(),
            service,
            organisation,
            waited_before,
            arrived: trace.arrived,
            deadline: self.shared.exit.bound(trace.arrived + timeout),
            is_resumption: false,
            forwarded_by: None,
            may_sender_retry: false,
            request: caller_request,
            config: Arc::clone(&loaded),
        })
    }

    /// Adds the expected work of a request to the demand for its model.
    fn record_demand(
        &self,
        config: &TrafficConfig,
        service: &str,
        caller_request: &CallerRequest,
        now: Moment,
    ) {
        let engine = config.services.get(service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let model = caller_request.model.as_deref();
        let Some((engine, model)) = engine.zip(model) else {
            return;
        };
        if let Some(spec) = engine.models.get(model) {
            let mean_tokens = engine.mean_answer_tokens as u64;
            let response_tokens = caller_request.expected_tokens.unwrap_or(mean_tokens);
            let work = engine.occupancy_time(spec, caller_request.prompt_tokens, response_tokens);
            self.shared.demand.record(model, work, now);
            self.shared.arrivals.record(model, work, now);
            if self.shared.settings.load_control.changes_over {
                self.shared.need.record(model, work, now);
            }
        }
    }

    fn match_rule<'a>(
        &self,
        config: &'a TrafficConfig,
        caller_request: &CallerRequest,
        head: &Parts,
    ) -> Result<&'a TrafficRule, LocalReply> {
        let rule = config.rule(&caller_request.host, head.uri.path());
        rule.ok_or_else(|| self.reject(StatusCode::NOT_FOUND, "no rule takes this host and path"))
    }

    /// Returns a rejection that follows from the configuration, or a "not run" reply if that may be out of date.
    fn reject(&self, status: StatusCode, text: &'static str) -> LocalReply {
        if self.shared.trusts_keys() {
            LocalReply::rejected(status, text)
        } else {
            LocalReply::not_run("the configuration may be out of date")
        }
    }

    /// Returns the holder of the caller's key; `None` if no key is required.
    fn authenticate<'a>(
        &self,
        config: &'a TrafficConfig,
        rule: &TrafficRule,
        caller_request: &CallerRequest,
    ) -> Result<Option<&'a KeyHolder>, LocalReply> {
        if config.keys.is_none() || rule.is_public {
            return Ok(None);
        }
        if !self.shared.trusts_keys() {
            return Err(LocalReply::not_run(
                "nobody can say whether the key still holds",
            ));
        }
        let key = caller_request.key.as_deref();
        let holder = key.and_then(|key| config.holder(key));
        let holder = holder.ok_or_else(|| {
            LocalReply::rejected(StatusCode::UNAUTHORIZED, "the key is not known")
        })?;
        Ok(Some(holder))
    }

    /// Checks the size of the headers and reads the body within the configured limits.
    async fn read_request_body(
        &self,
        config: &TrafficConfig,
        head: &Parts,
        body: Body,
    ) -> Result<Bytes, LocalReply> {
        let limits = config.limits;
        let sizes = head
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len());
        if sizes.sum::<usize>() > limits.header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(LocalReply::rejected(status, "the headers are too large"));
        }
        let reading = read_body(body, limits.body_bytes);
        match tokio::time::timeout(limits.send_time, reading).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyError::TooLarge { .. })) => Err(LocalReply::rejected(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            )),
            Ok(Err(BodyError::Incomplete)) => Err(LocalReply::rejected(
                StatusCode::BAD_REQUEST,
                "the body ended too early",
            )),
            Ok(Err(BodyError::NoRoom(_))) => Err(LocalReply::not_run(
                "this node holds as many bodies as it may",
            )),
            Err(_) => Err(LocalReply::rejected(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            )),
        }
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(request))
    }
}
