//! The listener for callers: identifies, checks and matches requests.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use briarswitch_core::id::*;
use briarswitch_core::print::{PrintParts, RequestPrint};
use briarswitch_core::traffic::{TrafficBook, TrafficRule};
use briarswitch_http::{read_body, Body, BodyError, Handler, Request, Response};
use briarswitch_kernel::BootClock;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::FleetDispatcher;
use crate::job::RequestJob;
use crate::local_reply::LocalReply;
use crate::ports::CallerAsk;
use crate::prior_wait::PriorWaitEstimator;
use crate::shared::{FleetPhase, FleetShared};
use crate::trace::{RequestEnd, RequestTrace};

/// Takes callers' requests.
pub struct CallerApi {
    shared: Arc<FleetShared>,
    dispatcher: Arc<FleetDispatcher>,
    prior_wait: PriorWaitEstimator,
}

impl CallerApi {
    /// Opens the surface.
    pub fn new(shared: Arc<FleetShared>, dispatcher: Arc<FleetDispatcher>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            dispatcher,
            prior_wait: PriorWaitEstimator::default(),
        })
    }

    async fn respond(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let (head, body) = request.into_parts();
        let ask = self.shared.platform.dialect.ask(&head);
        let mut trace = RequestTrace::begin(&self.shared, &ask.attempt, arrived);
        let accepted = self.accept(head, body, ask, &mut trace).await;
        let mut response = match accepted {
            Ok(job) => self.dispatcher.run(job, trace).await,
            Err(answer) => {
                trace.reason = answer.text;
                trace.end(match answer.retry_after {
                    Some(_) => RequestEnd::NotRun,
                    None => RequestEnd::Rejected,
                });
                let mut response = answer.into_response();
                let dialect = &self.shared.platform.dialect;
                dialect.mark_own(response.headers_mut(), &trace.request_id);
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

    async fn accept(
        &self,
        head: Parts,
        body: Body,
        ask: CallerAsk,
        trace: &mut RequestTrace,
    ) -> Result<RequestJob, LocalReply> {
        if self.shared.phase() == FleetPhase::Draining {
            return Err(LocalReply::not_run("this node is shutting down"));
        }
        let book = self.shared.initial_config().await;
        let Some(known) = book.as_ref() else {
            return Err(LocalReply::not_run("no configuration is known yet"));
        };
        trace.config_version = known.version;
        let rule = self.match_rule(known, &ask, &head)?;
        trace.rule.clone_from(&rule.name);
        let holder = self.authenticate(known, rule, &ask)?;
        let (organisation, priority) = match holder {
            Some((organisation, priority)) => (Some(organisation), priority),
            None => (None, None),
        };
        trace.organisation = organisation.clone().unwrap_or_default();
        let bytes = self.read_request_body(known, &head, body).await?;
        let draw = xxh3_64(ask.attempt.as_bytes()) as u32;
        let service = rule.service(draw).cloned();
        let service = service.ok_or_else(|| LocalReply::not_run("the rule names no service"))?;
        trace.service.clone_from(&service);
        let patience = ask
            .patience
            .map_or(rule.timeout, |own| own.min(rule.timeout));
        let waited_before = self.prior_wait.waited(&rule.name, ask.patience);
        trace.prompt_tokens = ask.prompt_tokens;
        trace.max_tokens = ask.most_tokens;
        trace.timeout = patience;
        trace.waited_before = waited_before;
        self.record_demand(known, &service, &ask, trace.arrived);
        self.shared.has_traffic.store(true, Ordering::Relaxed);
        let path = head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let print = RequestPrint::of(&PrintParts {
            caller: organisation.as_deref().or(ask.key.as_deref()).unwrap_or(""),
            method: head.method.as_str(),
            host: &ask.host,
            path: &path,
            body: &bytes,
        });
        trace.fingerprint = Some(print);
        Ok(RequestJob {
            path,
            print,
            method: head.method,
            headers: head.headers,
            body: bytes,
            priority: priority.unwrap_or(rule.priority),
            rule: rule.clone(),
            service,
            organisation,
            waited_before,
            arrived: trace.arrived,
            deadline: trace.arrived + patience,
            ask,
            book: Arc::clone(&book),
        })
    }

    fn record_demand(&self, book: &TrafficBook, service: &str, ask: &CallerAsk, now: Moment) {
        let engine = book.services.get(service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let model = ask.model.as_deref();
        let Some((engine, model)) = engine.zip(model) else {
            return;
        };
        if let Some(spec) = engine.models.get(model) {
            let answer = ask.expected_tokens.unwrap_or(engine.usual_answer as u64);
            let work = engine.work_time(spec, ask.prompt_tokens, answer);
            self.shared.demand.count(model, work, now);
        }
    }

    fn match_rule<'a>(
        &self,
        book: &'a TrafficBook,
        ask: &CallerAsk,
        head: &Parts,
    ) -> Result<&'a TrafficRule, LocalReply> {
        let rule = book.rule(&ask.host, head.uri.path());
        rule.ok_or_else(|| self.reject(StatusCode::NOT_FOUND, "no rule takes this host and path"))
    }

    /// Rejects a request, unless the configuration that says so may be out of date.
    fn reject(&self, status: StatusCode, text: &'static str) -> LocalReply {
        if self.shared.trusts_keys() {
            LocalReply::rejected(status, text)
        } else {
            LocalReply::not_run("the configuration may be out of date")
        }
    }

    fn authenticate(
        &self,
        book: &TrafficBook,
        rule: &TrafficRule,
        ask: &CallerAsk,
    ) -> Result<Option<(OrganisationId, Option<u8>)>, LocalReply> {
        if book.keys.is_none() || rule.is_public {
            return Ok(None);
        }
        if !self.shared.trusts_keys() {
            return Err(LocalReply::not_run(
                "nobody can say whether the key still holds",
            ));
        }
        let holder = ask.key.as_deref().and_then(|key| book.holder(key));
        let holder = holder.ok_or_else(|| {
            LocalReply::rejected(StatusCode::UNAUTHORIZED, "the key is not known")
        })?;
        Ok(Some((holder.organisation.clone(), holder.priority)))
    }

    async fn read_request_body(
        &self,
        book: &TrafficBook,
        head: &Parts,
        body: Body,
    ) -> Result<Bytes, LocalReply> {
        let limits = book.limits;
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
            Ok(Err(BodyError::Broken)) => Err(LocalReply::rejected(
                StatusCode::BAD_REQUEST,
                "the body ended too early",
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
