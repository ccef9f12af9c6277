//! The listener for callers: identifies, checks and matches requests.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use briarswitch_core::fingerprint::{FingerprintParts, RequestFingerprint};
use briarswitch_core::id::*;
use briarswitch_core::traffic::{TrafficConfig, TrafficRule};
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
use crate::patience::PatienceBook;
use crate::ports::CallerRequest;
use crate::refusal::OwnAnswer;
use crate::shared::{FleetPhase, FleetShared};
use crate::trace::{RequestEnd, RequestTrace};

/// Takes callers' requests.
pub struct CallerSurface {
    shared: Arc<FleetShared>,
    dispatcher: Arc<FleetDispatcher>,
    patience: PatienceBook,
}

impl CallerSurface {
    /// Opens the surface.
    pub fn open(shared: Arc<FleetShared>, dispatcher: Arc<FleetDispatcher>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            dispatcher,
            patience: PatienceBook::default(),
        })
    }

    async fn answer(&self, request: Request) -> Response {
        let arrived = BootClock::now();
        let (head, body) = request.into_parts();
        let ask = self.shared.platform.protocol.parse_request(&head);
        let mut trace = RequestTrace::open(&self.shared, &ask.attempt, arrived);
        let accepted = self.accept(head, body, ask, &mut trace).await;
        let mut response = match accepted {
            Ok(job) => self.dispatcher.run(job, trace).await,
            Err(answer) => {
                trace.reason = answer.text;
                trace.end(match answer.retry_after {
                    Some(_) => RequestEnd::NotRun,
                    None => RequestEnd::Rejected,
                });
                let mut response = answer.response();
                let dialect = &self.shared.platform.protocol;
                dialect.add_attempt_id(response.headers_mut(), &trace.request);
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
        ask: CallerRequest,
        trace: &mut RequestTrace,
    ) -> Result<RequestJob, OwnAnswer> {
        if self.shared.phase() == FleetPhase::Draining {
            return Err(OwnAnswer::not_run("this node is shutting down"));
        }
        let book = self.shared.first_book().await;
        let Some(known) = book.as_ref() else {
            return Err(OwnAnswer::not_run("no configuration is known yet"));
        };
        trace.version = known.version;
        let rule = self.match_rule(known, &ask, &head)?;
        trace.rule.clone_from(&rule.name);
        let holder = self.identify(known, rule, &ask)?;
        let (organisation, priority) = match holder {
            Some((organisation, priority)) => (Some(organisation), priority),
            None => (None, None),
        };
        trace.organisation = organisation.clone().unwrap_or_default();
        let bytes = self.read(known, &head, body).await?;
        let draw = xxh3_64(ask.attempt.as_bytes()) as u32;
        let service = rule.service(draw).cloned();
        let service = service.ok_or_else(|| OwnAnswer::not_run("the rule names no service"))?;
        trace.service.clone_from(&service);
        let patience = ask
            .timeout
            .map_or(rule.timeout, |own| own.min(rule.timeout));
        let waited_before = self.patience.waited(&rule.name, ask.timeout);
        trace.prompt_tokens = ask.prompt_tokens;
        trace.most_tokens = ask.max_tokens;
        trace.patience = patience;
        trace.waited_before = waited_before;
        self.count_demand(known, &service, &ask, trace.arrived);
        self.shared.has_traffic.store(true, Ordering::Relaxed);
        let path = head.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let print = RequestFingerprint::of(&FingerprintParts {
            caller: organisation.as_deref().or(ask.key.as_deref()).unwrap_or(""),
            method: head.method.as_str(),
            host: &ask.host,
            path: &path,
            body: &bytes,
        });
        trace.print = Some(print);
        Ok(RequestJob {
            path,
            fingerprint: print,
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
            request: ask,
            config: Arc::clone(&book),
        })
    }

    fn count_demand(&self, book: &TrafficConfig, service: &str, ask: &CallerRequest, now: Moment) {
        let engine = book.services.get(service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let model = ask.model.as_deref();
        let Some((engine, model)) = engine.zip(model) else {
            return;
        };
        if let Some(spec) = engine.models.get(model) {
            let answer = ask
                .expected_tokens
                .unwrap_or(engine.mean_answer_tokens as u64);
            let work = engine.occupancy_time(spec, ask.prompt_tokens, answer);
            self.shared.demand.record(model, work, now);
        }
    }

    fn match_rule<'a>(
        &self,
        book: &'a TrafficConfig,
        ask: &CallerRequest,
        head: &Parts,
    ) -> Result<&'a TrafficRule, OwnAnswer> {
        let rule = book.rule(&ask.host, head.uri.path());
        rule.ok_or_else(|| self.reject(StatusCode::NOT_FOUND, "no rule takes this host and path"))
    }

    /// Rejects a request, unless the configuration that says so may be out of date.
    fn reject(&self, status: StatusCode, text: &'static str) -> OwnAnswer {
        if self.shared.trusts_keys() {
            OwnAnswer::rejected(status, text)
        } else {
            OwnAnswer::not_run("the configuration may be out of date")
        }
    }

    fn identify(
        &self,
        book: &TrafficConfig,
        rule: &TrafficRule,
        ask: &CallerRequest,
    ) -> Result<Option<(OrganisationId, Option<u8>)>, OwnAnswer> {
        if book.keys.is_none() || rule.is_public {
            return Ok(None);
        }
        if !self.shared.trusts_keys() {
            return Err(OwnAnswer::not_run(
                "nobody can say whether the key still holds",
            ));
        }
        let holder = ask.key.as_deref().and_then(|key| book.holder(key));
        let holder = holder
            .ok_or_else(|| OwnAnswer::rejected(StatusCode::UNAUTHORIZED, "the key is not known"))?;
        Ok(Some((holder.organisation.clone(), holder.priority)))
    }

    async fn read(
        &self,
        book: &TrafficConfig,
        head: &Parts,
        body: Body,
    ) -> Result<Bytes, OwnAnswer> {
        let limits = book.limits;
        let sizes = head
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len());
        if sizes.sum::<usize>() > limits.header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(OwnAnswer::rejected(status, "the headers are too large"));
        }
        let reading = read_body(body, limits.body_bytes);
        match tokio::time::timeout(limits.send_time, reading).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyError::TooLarge { .. })) => Err(OwnAnswer::rejected(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            )),
            Ok(Err(BodyError::Broken)) => Err(OwnAnswer::rejected(
                StatusCode::BAD_REQUEST,
                "the body ended too early",
            )),
            Err(_) => Err(OwnAnswer::rejected(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            )),
        }
    }
}

impl Handler for CallerSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(self.answer(request))
    }
}
