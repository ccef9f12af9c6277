//! Runs an authenticated and routed request: admission, attempts and accounting.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use briarswitch_core::limit::RateShare;
use briarswitch_core::minted_key::MintedKey;
use briarswitch_core::prelude::*;
use briarswitch_core::run_suspects::RunSuspects;
use briarswitch_fleet::body_check;
use briarswitch_fleet::run::{RunListeners, TargetRun};
use briarswitch_fleet::run_info::{RunInfo, TargetIncarnation};
use briarswitch_fleet::suspect_host::SuspectHost;
use briarswitch_fleet::suspect_ledger::SuspectLedger;
use briarswitch_http::{stream_body, Response, TargetBody};
use briarswitch_kernel::BootClock;
use briarswitch_wire::caller::OUTCOME_HEADER;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;

use crate::admission::{AdmissionRefusal, AdmissionRequest, DeploymentAdmission, TargetPermit};
use crate::attempt::{read_to_end, AttemptReply, AttemptRunner, TargetRequest};
use crate::claims::{outcome_of, ClaimVerdict, ClaimWriter};
use crate::in_flight::InFlightGuard;
use crate::relay::{RelayRun, StreamRelay};
use crate::reply::{mark_reply, set_header, CallerFailure};
use crate::routes::{Target, TargetId};
use crate::row_keys::claim_key;
use crate::shared::NodeShared;
use crate::suspect_host::NodeSuspectHost;
use crate::trace::RequestTrace;

/// Time for which the outcome of a settled idempotency key is kept.
const KEY_RETENTION: std::time::Duration = std::time::Duration::from_secs(3600);

/// Time after which a caller may retry whose request a node had no time left to send.
const EXIT_RETRY: std::time::Duration = std::time::Duration::from_millis(100);

/// A request of a known organisation, with the deployment that a rule selected for it.
pub struct MatchedRequest {
    /// Fingerprints of the request, equal for all its repetitions, and of the parts of its prompt.
    pub suspects: RunSuspects,
    /// Input of admission.
    pub admission: AdmissionRequest,
    /// Request as it is sent to targets.
    pub outgoing: TargetRequest,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Id of the request.
    pub request: RequestId,
    /// Counts the request as in flight until its response has ended.
    pub in_flight: InFlightGuard,
}

/// Runs requests at targets.
pub struct RequestDispatcher {
    shared: Arc<NodeShared>,
    runner: AttemptRunner,
    claims: ClaimWriter,
    suspects: Arc<NodeSuspectHost>,
    listeners: RunListeners,
    keys: Arc<Mutex<ClaimCache>>,
    budget: Mutex<RetryBudget>,
    admissions: RwLock<HashMap<DeploymentId, Arc<DeploymentAdmission>>>,
    rates: Mutex<HashMap<OrganisationId, (u32, RateShare)>>,
}

/// The part of a response that reports the tokens it used.
#[derive(Deserialize)]
struct UsageProbe {
    usage: Option<UsageTokens>,
}

#[derive(Deserialize)]
struct UsageTokens {
    #[serde(default)]
    completion_tokens: u64,
}

impl RequestDispatcher {
    /// Creates a dispatcher; `listeners` are notified when runs end.
    pub fn new(
        shared: Arc<NodeShared>,
        runner: AttemptRunner,
        claims: ClaimWriter,
        suspects: Arc<NodeSuspectHost>,
        listeners: RunListeners,
    ) -> Arc<Self> {
        let settings = shared.settings.requests;
        Arc::new(Self {
            runner,
            claims,
            suspects,
            listeners,
            keys: Arc::new(Mutex::new(ClaimCache::new(settings.keys, KEY_RETENTION))),
            budget: Mutex::new(RetryBudget::new(
                settings.retry_permille,
                settings.retry_burst,
            )),
            admissions: RwLock::default(),
            rates: Mutex::default(),
            shared,
        })
    }

    /// Returns the shared state of the node.
    pub fn shared(&self) -> &Arc<NodeShared> {
        &self.shared
    }

    /// Returns the ledger of requests during which targets crashed.
    pub fn suspects(&self) -> &SuspectLedger {
        self.suspects.suspects()
    }

    /// Starts a run of a request at a target.
    pub fn start_run(&self, run: &RunSubject, target: &Target) -> TargetRun {
        let fleet = self.shared.fleet.read();
        let domain = fleet.vms.get(&target.vm).map(|vm| vm.domain.clone());
        let info = RunInfo {
            request: run.request.clone(),
            suspects: run.suspects.clone(),
            organisation: run.organisation.clone(),
            target: TargetIncarnation {
                id: target.vm.clone(),
                incarnation: target.address.incarnation,
            },
            address: target.address.address.clone(),
            domain: domain.unwrap_or_default(),
            group: String::new(),
            sent: BootClock::now(),
        };
        TargetRun::start(info, self.listeners.clone())
    }

    /// Returns the failure to reply with if the request is quarantined.
    fn quarantined(&self, suspects: &RunSuspects) -> Option<CallerFailure> {
        let barred = self.suspects().barred(suspects)?;
        let failure = CallerFailure::at(FailurePoint::Quarantined);
        Some(failure.retry_after(barred.left))
    }

    /// Returns the runner that sends attempts to targets.
    pub fn runner(&self) -> &AttemptRunner {
        &self.runner
    }

    /// Returns each deployment's queue length and requests in flight.
    pub fn loads(&self) -> Vec<(DeploymentId, usize, u32)> {
        let admissions = self
            .admissions
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let loads = admissions.iter().map(|(id, admission)| {
            let (queued, in_flight) = admission.load();
            (id.clone(), queued, in_flight)
        });
        loads.collect()
    }

    /// Runs a request and builds its reply.
    pub async fn run(self: &Arc<Self>, matched: MatchedRequest) -> Response {
        let trace = RequestTrace::new(&self.shared, &matched);
        let request = matched.request.clone();
        let result = self.run_checked(matched, trace).await;
        let node = &self.shared.settings.node;
        match result {
            Ok(reply) => reply,
            Err(failure) => {
                let mut reply = failure.reply();
                mark_reply(&mut reply, &request, node, "");
                reply
            }
        }
    }

    async fn run_checked(
        self: &Arc<Self>,
        matched: MatchedRequest,
        mut trace: RequestTrace,
    ) -> Result<Response, CallerFailure> {
        if let Some(failure) = self.quarantined(&matched.suspects) {
            return Err(trace.fail(failure));
        }
        if let Err(failure) = self.check_rate(&matched.admission.organisation) {
            return Err(trace.fail(failure));
        }
        if let Some(key) = &matched.key {
            let row = claim_key(&matched.admission.organisation, key);
            let is_minted = MintedKey::parse(key).is_some();
            if let Err(failure) = self.claim(&row, is_minted, &mut trace).await {
                return Err(trace.fail(failure));
            }
        }
        self.attempt_all(matched, trace).await
    }

    fn check_rate(&self, organisation: &str) -> Result<(), CallerFailure> {
        let config = self.shared.config.read();
        let limit = config
            .config
            .organisations()
            .get(organisation)
            .and_then(|organisation| organisation.requests_per_second);
        let Some(limit) = limit else {
            return Ok(());
        };
        let now = BootClock::now();
        let nodes = self.shared.settings.peers.len() + 1;
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = rates
            .entry(organisation.to_owned())
            .or_insert_with(|| (limit, RateShare::new(limit, nodes, now)));
        if entry.0 != limit {
            *entry = (limit, RateShare::new(limit, nodes, now));
        }
        entry.1.take(now).map_err(|seconds| {
            let failure = CallerFailure::refused(
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limit",
                "the organisation's request rate is used up",
            );
            failure.retry_after(std::time::Duration::from_secs_f64(seconds))
        })
    }

    /// Claims an idempotency key, so that work under it starts at most once among all nodes.
    ///
    /// A key that this node minted needs no claim in the table, because no other node may start
    /// work under it.
    async fn claim(
        &self,
        row: &str,
        is_minted: bool,
        trace: &mut RequestTrace,
    ) -> Result<(), CallerFailure> {
        let now = BootClock::now();
        if is_minted {
            return match self.lock_keys().begin_minted(row, now) {
                None => {
                    trace.set_claimed_key(&self.keys, row);
                    Ok(())
                }
                Some(state) => Err(claimed_failure(state)),
            };
        }
        let known = self.lock_keys().begin(row, now);
        if let Some(state) = known {
            return Err(claimed_failure(state));
        }
        match self.claims.claim(row.to_owned()).await {
            ClaimVerdict::Won => {
                trace.set_claimed_key(&self.keys, row);
                Ok(())
            }
            ClaimVerdict::Taken => {
                let mut keys = self.lock_keys();
                keys.settle(row, Outcome::Unknown, now);
                Err(CallerFailure::at(FailurePoint::KeyClaimed))
            }
            ClaimVerdict::Unknown => {
                self.lock_keys().forget(row);
                let failure = CallerFailure::at(FailurePoint::ClaimStore);
                Err(failure.retry_after(std::time::Duration::from_secs(1)))
            }
        }
    }

    fn lock_keys(&self) -> std::sync::MutexGuard<'_, ClaimCache> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admission(&self, deployment: &str) -> Arc<DeploymentAdmission> {
        let admissions = self
            .admissions
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(admission) = admissions.get(deployment) {
            return Arc::clone(admission);
        }
        drop(admissions);
        let mut admissions = self
            .admissions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let admission = admissions
            .entry(deployment.to_owned())
            .or_insert_with(|| DeploymentAdmission::new(Arc::clone(&self.shared), deployment));
        Arc::clone(admission)
    }

    async fn attempt_all(
        self: &Arc<Self>,
        matched: MatchedRequest,
        mut trace: RequestTrace,
    ) -> Result<Response, CallerFailure> {
        let admission = self.admission(&matched.admission.deployment);
        let mut tried: Vec<TargetId> = Vec::new();
        let mut earlier: Option<FailurePoint> = None;
        let mut broken_runs = 0;
        loop {
            let permit = match self.admit(&admission, &matched, &tried).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    // If an earlier attempt may have run, the outcome stays unknown.
                    let point = combine_failures(earlier, refusal.point);
                    let failure = CallerFailure::at(point).retry_after(refusal.retry_after);
                    return Err(self.finish_failed(failure, trace).await);
                }
            };
            // Checked again, because the request may have been quarantined while it was queued.
            if let Some(failure) = self.quarantined(&matched.suspects) {
                let point = combine_failures(earlier, failure.point);
                let failure = CallerFailure { point, ..failure };
                return Err(self.finish_failed(failure, trace).await);
            }
            let attempt = self.attempt_before_exit(&matched, permit, &mut trace);
            let point = match attempt.await {
                Ok(AttemptResult::Complete(reply)) => return Ok(reply),
                Ok(AttemptResult::Stream(start)) => {
                    return Ok(self.stream_reply(matched, *start, trace))
                }
                Err((point, target)) => {
                    tried.push(target);
                    point
                }
            };
            broken_runs += usize::from(is_broken_connection(point));
            let may_retry = point.allows_retry(matched.outgoing.is_repeatable)
                && self.suspects().may_retry(&matched.suspects, broken_runs);
            let point = combine_failures(earlier, point);
            earlier = Some(point);
            if !may_retry || !self.withdraw_retry(&trace) {
                let failure = CallerFailure::at(point);
                let failure = failure.retry_after(std::time::Duration::from_secs(1));
                return Err(self.finish_failed(failure, trace).await);
            }
        }
    }

    /// Admits a request, unless the node has to exit before.
    async fn admit(
        &self,
        admission: &Arc<DeploymentAdmission>,
        matched: &MatchedRequest,
        tried: &[TargetId],
    ) -> Result<TargetPermit, AdmissionRefusal> {
        tokio::select! {
            biased;
            admitted = admission.admit(&matched.admission, tried) => admitted,
            () = self.shared.exit.answers_due() => Err(AdmissionRefusal {
                point: FailurePoint::QueueDeadline,
                retry_after: EXIT_RETRY,
            }),
        }
    }

    /// Makes one attempt, and gives it up in time to say so if the node has to exit before it ends.
    async fn attempt_before_exit(
        &self,
        matched: &MatchedRequest,
        permit: TargetPermit,
        trace: &mut RequestTrace,
    ) -> Result<AttemptResult, (FailurePoint, TargetId)> {
        let target = permit.target.id.clone();
        tokio::select! {
            biased;
            result = self.attempt_once(matched, permit, trace) => result,
            () = self.shared.exit.answers_due() => Err((FailurePoint::AnswerDeadline, target)),
        }
    }

    fn withdraw_retry(&self, trace: &RequestTrace) -> bool {
        let is_left = self
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .withdraw();
        if is_left {
            self.shared.metrics.count_retry(&trace.deployment);
        }
        is_left
    }

    async fn attempt_once(
        &self,
        matched: &MatchedRequest,
        permit: TargetPermit,
        trace: &mut RequestTrace,
    ) -> Result<AttemptResult, (FailurePoint, TargetId)> {
        trace.attempts += 1;
        trace.target.clone_from(&permit.target.label);
        let attempt = format!("{}.{}", trace.request, trace.attempts);
        let target = Arc::clone(&permit.target);
        let failed = |point| (point, target.id.clone());
        let mut run = self.start_run(&RunSubject::of(matched), &target);
        let begun = self
            .runner
            .begin(&matched.outgoing, &target, &attempt, None)
            .await;
        let reply = begun.map_err(|point| {
            end_failed_run(&mut run, point);
            failed(point)
        })?;
        if matched.is_stream && reply.head.status == StatusCode::OK {
            let start = StreamStart {
                permit,
                attempt,
                reply,
                run,
            };
            return Ok(AttemptResult::Stream(Box::new(start)));
        }
        let AttemptReply { head, body } = reply;
        let read = self.read_complete(&run, body, matched.outgoing.deadline);
        let bytes = read.await.map_err(|point| {
            end_failed_run(&mut run, point);
            failed(point)
        })?;
        run.complete(self.suspects());
        trace.tokens = tokens_of(&bytes);
        trace.settle(Outcome::Answered);
        self.deposit_retry();
        Ok(AttemptResult::Complete(
            self.complete_reply(&head, bytes, trace),
        ))
    }

    /// Reads the body of a run's response, and checks that it is complete.
    async fn read_complete(
        &self,
        run: &TargetRun,
        body: TargetBody,
        deadline: Moment,
    ) -> Result<Bytes, FailurePoint> {
        let body = read_to_end(body, deadline).await?;
        let complete = body_check::complete_body(self.suspects.as_ref(), run, body).await;
        complete.map_err(|_| FailurePoint::Truncated)
    }

    fn deposit_retry(&self) {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    fn complete_reply(
        &self,
        head: &http::response::Parts,
        bytes: Bytes,
        trace: &RequestTrace,
    ) -> Response {
        let length = HeaderValue::from(bytes.len() as u64);
        let mut reply = Response::new(bytes.into());
        *reply.status_mut() = head.status;
        if let Some(kind) = head.headers.get(CONTENT_TYPE) {
            reply.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        reply.headers_mut().insert(CONTENT_LENGTH, length);
        set_header(&mut reply, OUTCOME_HEADER, Outcome::Answered.name());
        let node = &self.shared.settings.node;
        mark_reply(&mut reply, &trace.request, node, &trace.target);
        reply
    }

    fn stream_reply(
        self: &Arc<Self>,
        matched: MatchedRequest,
        start: StreamStart,
        trace: RequestTrace,
    ) -> Response {
        self.deposit_retry();
        let (request, target) = (trace.request.clone(), trace.target.clone());
        let subject = RunSubject::of(&matched);
        let kind = start.reply.head.headers.get(CONTENT_TYPE).cloned();
        let relay = StreamRelay::start(
            Arc::clone(self),
            matched.outgoing,
            start.permit,
            start.attempt,
            start.reply.body,
            RelayRun {
                subject,
                run: start.run,
            },
            trace,
        );
        let mut reply = Response::new(stream_body(relay));
        if let Some(kind) = kind {
            reply.headers_mut().insert(CONTENT_TYPE, kind);
        }
        mark_reply(&mut reply, &request, &self.shared.settings.node, &target);
        reply
    }

    /// Finishes a failed request. If nothing ran, its idempotency key is released first.
    async fn finish_failed(
        &self,
        failure: CallerFailure,
        mut trace: RequestTrace,
    ) -> CallerFailure {
        if failure.outcome() == Outcome::NotRun {
            if let Some(key) = trace.take_claimed_key() {
                self.release_key(&key).await;
            }
        }
        trace.fail(failure)
    }
}

impl RequestDispatcher {
    /// Mints a key for an organisation, or returns `None` if the limit of cached keys is reached.
    pub fn mint(&self, organisation: &str) -> Option<MintedKey> {
        let key = MintedKey {
            node: self.shared.settings.node.clone(),
            incarnation: self.shared.incarnation,
            nonce: rand::random(),
        };
        let row = claim_key(organisation, &key.to_string());
        let is_kept = self.lock_keys().mint(&row, BootClock::now());
        is_kept.then_some(key)
    }

    /// Makes a key usable again after nothing has run under it.
    async fn release_key(&self, row: &str) {
        let is_minted = row
            .rsplit('/')
            .next()
            .is_some_and(|key| MintedKey::parse(key).is_some());
        if is_minted {
            self.lock_keys().restore(row, BootClock::now());
            return;
        }
        self.claims.release(row).await;
        self.lock_keys().forget(row);
    }
}

enum AttemptResult {
    Complete(Response),
    Stream(Box<StreamStart>),
}

struct StreamStart {
    permit: TargetPermit,
    attempt: AttemptId,
    reply: AttemptReply,
    run: TargetRun,
}

/// Identifies the request whose runs are reported to the listeners.
#[derive(Clone, Debug)]
pub struct RunSubject {
    request: RequestId,
    suspects: RunSuspects,
    organisation: OrganisationId,
}

impl RunSubject {
    fn of(matched: &MatchedRequest) -> Self {
        Self {
            request: matched.request.clone(),
            suspects: matched.suspects.clone(),
            organisation: matched.admission.organisation.clone(),
        }
    }

    /// Returns what a crash of a target can be put down to.
    pub fn suspects(&self) -> &RunSuspects {
        &self.suspects
    }
}

/// Returns whether a failure means that the connection broke after the target may have received
/// the request.
fn is_broken_connection(point: FailurePoint) -> bool {
    matches!(
        point,
        FailurePoint::BrokenBeforeHead | FailurePoint::InvalidHead | FailurePoint::Truncated
    )
}

/// Ends a failed run. After a deadline the run may still go on at the target, so that it is left
/// open; dropping it reports it as abandoned.
pub fn end_failed_run(run: &mut TargetRun, point: FailurePoint) {
    if is_broken_connection(point) {
        run.report_broken(point.code());
    } else if point != FailurePoint::AnswerDeadline {
        run.end_unreported();
    }
}

fn claimed_failure(state: ClaimState) -> CallerFailure {
    let mut failure = CallerFailure::at(FailurePoint::KeyClaimed);
    if outcome_of(state) == Outcome::Answered {
        failure.message =
            "the idempotency key was used before; that request ran and was answered".to_owned();
    }
    failure
}

/// Returns the failure point to report after several attempts: an earlier one whose outcome is
/// unknown takes precedence.
fn combine_failures(earlier: Option<FailurePoint>, later: FailurePoint) -> FailurePoint {
    match earlier {
        Some(point) if point.outcome() == Outcome::Unknown => point,
        _ => later,
    }
}

fn tokens_of(answer: &[u8]) -> u64 {
    serde_json::from_slice::<UsageProbe>(answer)
        .ok()
        .and_then(|probe| probe.usage)
        .map_or(0, |usage| usage.completion_tokens)
}
