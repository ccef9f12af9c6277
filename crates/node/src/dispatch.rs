//! Takes an identified request through admission, attempts and settlement.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::limit::RateShare;
use briarswitch_core::minted_key::MintedKey;
use briarswitch_core::prelude::*;
use briarswitch_fleet::run::{RunListeners, TargetRun};
use briarswitch_fleet::run_info::{RunInfo, TargetIncarnation};
use briarswitch_fleet::suspect_host::SuspectHost;
use briarswitch_fleet::suspect_ledger::SuspectLedger;
use briarswitch_http::{stream_body, Response};
use briarswitch_kernel::BootClock;
use briarswitch_wire::caller::OUTCOME_HEADER;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;

use crate::attempt::{read_whole, AttemptReply, AttemptRunner, TargetAsk};
use crate::claims::{outcome_of, ClaimVerdict, ClaimWriter};
use crate::flight::FlightGuard;
use crate::gate::{AdmitAsk, DeploymentGate, TargetPermit};
use crate::relay::{RelayRun, StreamRelay};
use crate::reply::{mark_reply, set_header, CallerFailure};
use crate::routes::{Target, TargetId};
use crate::row_keys::claim_key;
use crate::shared::NodeShared;
use crate::suspects::NodeSuspects;
use crate::trace::RequestTrace;

/// Time a key that settled is remembered.
const KEY_MEMORY: std::time::Duration = std::time::Duration::from_secs(3600);

/// A request that was identified and matched by a rule.
pub struct MatchedRequest {
    /// Fingerprint, the same for each repeat.
    pub print: RequestFingerprint,
    /// What admission needs.
    pub admit: AdmitAsk,
    /// What targets are sent.
    pub ask: TargetAsk,
    /// Caller's idempotency key.
    pub key: Option<String>,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Request id.
    pub request: RequestId,
    /// Counts the request as in flight until its answer is over.
    pub flight: FlightGuard,
}

/// Carries requests out.
pub struct RequestDispatcher {
    shared: Arc<NodeShared>,
    runner: AttemptRunner,
    claims: ClaimWriter,
    suspects: Arc<NodeSuspects>,
    reports: RunListeners,
    keys: Arc<Mutex<ClaimCache>>,
    budget: Mutex<RetryBudget>,
    gates: RwLock<HashMap<DeploymentId, Arc<DeploymentGate>>>,
    rates: Mutex<HashMap<OrganisationId, (u32, RateShare)>>,
}

/// Tokens that an answer reports.
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
    /// Opens a dispatcher; `reports` hear how runs end.
    pub fn open(
        shared: Arc<NodeShared>,
        runner: AttemptRunner,
        claims: ClaimWriter,
        suspects: Arc<NodeSuspects>,
        reports: RunListeners,
    ) -> Arc<Self> {
        let settings = shared.settings.requests;
        Arc::new(Self {
            runner,
            claims,
            suspects,
            reports,
            keys: Arc::new(Mutex::new(ClaimCache::new(settings.keys, KEY_MEMORY))),
            budget: Mutex::new(RetryBudget::new(
                settings.retry_permille,
                settings.retry_burst,
            )),
            gates: RwLock::default(),
            rates: Mutex::default(),
            shared,
        })
    }

    /// Returns the node's state.
    pub fn shared(&self) -> &Arc<NodeShared> {
        &self.shared
    }

    /// Returns what is held of requests under which targets have ended.
    pub fn suspects(&self) -> &SuspectLedger {
        self.suspects.suspects()
    }

    /// Begins a run of a request at a target.
    pub fn open_run(&self, run: &RunSubject, target: &Target) -> TargetRun {
        let fleet = self.shared.fleet.read();
        let domain = fleet.vms.get(&target.vm).map(|vm| vm.domain.clone());
        let facts = RunInfo {
            request: run.request.clone(),
            fingerprint: run.print,
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
        TargetRun::start(facts, self.reports.clone())
    }

    /// Returns the refusal of a request that is not to run now.
    fn quarantined(&self, print: &RequestFingerprint) -> Option<CallerFailure> {
        let left = self.suspects().quarantine_left(print)?;
        let failure = CallerFailure::at(FailurePoint::Quarantined);
        Some(failure.retry_after(left))
    }

    /// Returns what sends attempts.
    pub fn runner(&self) -> &AttemptRunner {
        &self.runner
    }

    /// Returns each deployment's queue length and requests in flight.
    pub fn loads(&self) -> Vec<(DeploymentId, usize, u32)> {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        let loads = gates.iter().map(|(id, gate)| {
            let (queued, in_flight) = gate.load();
            (id.clone(), queued, in_flight)
        });
        loads.collect()
    }

    /// Carries a request out and builds its reply.
    pub async fn run(self: &Arc<Self>, matched: MatchedRequest) -> Response {
        let trace = RequestTrace::open(&self.shared, &matched);
        let request = matched.request.clone();
        let result = self.run_limited(matched, trace).await;
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

    async fn run_limited(
        self: &Arc<Self>,
        matched: MatchedRequest,
        mut trace: RequestTrace,
    ) -> Result<Response, CallerFailure> {
        if let Some(failure) = self.quarantined(&matched.print) {
            return Err(trace.fail(failure));
        }
        if let Err(failure) = self.take_rate(&matched.admit.organisation) {
            return Err(trace.fail(failure));
        }
        if let Some(key) = &matched.key {
            let row = claim_key(&matched.admit.organisation, key);
            let is_minted = MintedKey::parse(key).is_some();
            if let Err(failure) = self.claim(&row, is_minted, &mut trace).await {
                return Err(trace.fail(failure));
            }
        }
        self.attempt_all(matched, trace).await
    }

    fn take_rate(&self, organisation: &str) -> Result<(), CallerFailure> {
        let config = self.shared.config.read();
        let limit = config
            .book
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

    /// Claims a caller's key, so that work under it is begun at most once on all nodes.
    ///
    /// A key that this node minted needs no claim in the table: nobody else may begin work under it.
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
                    trace.hold_key(&self.keys, row);
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
                trace.hold_key(&self.keys, row);
                Ok(())
            }
            ClaimVerdict::Taken => {
                let mut keys = self.lock_keys();
                keys.settle(row, Outcome::Unknown, now);
                Err(CallerFailure::at(FailurePoint::KeyClaimed))
            }
            ClaimVerdict::Unsettled => {
                self.lock_keys().forget(row);
                let failure = CallerFailure::at(FailurePoint::ClaimStore);
                Err(failure.retry_after(std::time::Duration::from_secs(1)))
            }
        }
    }

    fn lock_keys(&self) -> std::sync::MutexGuard<'_, ClaimCache> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn gate(&self, deployment: &str) -> Arc<DeploymentGate> {
        let gates = self.gates.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = gates.get(deployment) {
            return Arc::clone(gate);
        }
        drop(gates);
        let mut gates = self.gates.write().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(deployment.to_owned())
            .or_insert_with(|| DeploymentGate::open(Arc::clone(&self.shared), deployment));
        Arc::clone(gate)
    }

    async fn attempt_all(
        self: &Arc<Self>,
        matched: MatchedRequest,
        mut trace: RequestTrace,
    ) -> Result<Response, CallerFailure> {
        let gate = self.gate(&matched.admit.deployment);
        let mut tried: Vec<TargetId> = Vec::new();
        let mut last: Option<FailurePoint> = None;
        let mut broken = 0;
        loop {
            let permit = match gate.admit(&matched.admit, &tried).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    // Once an attempt may have run, running out of targets does not undo that.
                    let point = worst(last, refusal.point);
                    let failure = CallerFailure::at(point).retry_after(refusal.retry_after);
                    return Err(self.end_failed(failure, trace).await);
                }
            };
            // It may have waited since it came, and may have ended a target elsewhere meanwhile.
            if let Some(failure) = self.quarantined(&matched.print) {
                let point = worst(last, failure.point);
                let failure = CallerFailure { point, ..failure };
                return Err(self.end_failed(failure, trace).await);
            }
            let point = match self.attempt_once(&matched, permit, &mut trace).await {
                Ok(AttemptEnd::Whole(reply)) => return Ok(reply),
                Ok(AttemptEnd::Stream(start)) => return Ok(self.stream(matched, *start, trace)),
                Err((point, target)) => {
                    tried.push(target);
                    point
                }
            };
            broken += usize::from(breaks_run(point));
            let may_retry = point.allows_retry(matched.ask.is_repeatable)
                && self.suspects().may_retry(&matched.print, broken);
            let point = worst(last, point);
            last = Some(point);
            if !may_retry || !self.spend_retry(&trace) {
                let failure = CallerFailure::at(point);
                let failure = failure.retry_after(std::time::Duration::from_secs(1));
                return Err(self.end_failed(failure, trace).await);
            }
        }
    }

    fn spend_retry(&self, trace: &RequestTrace) -> bool {
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
    ) -> Result<AttemptEnd, (FailurePoint, TargetId)> {
        trace.attempts += 1;
        trace.target.clone_from(&permit.target.label);
        let attempt = format!("{}.{}", trace.request, trace.attempts);
        let target = Arc::clone(&permit.target);
        let failed = |point| (point, target.id.clone());
        let mut run = self.open_run(&RunSubject::of(matched), &target);
        let begun = self
            .runner
            .begin(&matched.ask, &target, &attempt, None)
            .await;
        let reply = begun.map_err(|point| {
            end_run(&mut run, point);
            failed(point)
        })?;
        if matched.is_stream && reply.head.status == StatusCode::OK {
            let start = StreamStart {
                permit,
                attempt,
                reply,
                run,
            };
            return Ok(AttemptEnd::Stream(Box::new(start)));
        }
        let AttemptReply { head, body } = reply;
        let read = read_whole(body, matched.ask.deadline).await;
        let bytes = read.map_err(|point| {
            end_run(&mut run, point);
            failed(point)
        })?;
        run.complete(self.suspects());
        trace.tokens = tokens_of(&bytes);
        trace.settle(Outcome::Answered);
        self.earn_retry();
        Ok(AttemptEnd::Whole(self.whole(&head, bytes, trace)))
    }

    fn earn_retry(&self) {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .deposit();
    }

    fn whole(&self, head: &http::response::Parts, bytes: Bytes, trace: &RequestTrace) -> Response {
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

    fn stream(
        self: &Arc<Self>,
        matched: MatchedRequest,
        start: StreamStart,
        trace: RequestTrace,
    ) -> Response {
        self.earn_retry();
        let (request, target) = (trace.request.clone(), trace.target.clone());
        let subject = RunSubject::of(&matched);
        let kind = start.reply.head.headers.get(CONTENT_TYPE).cloned();
        let relay = StreamRelay::spawn(
            Arc::clone(self),
            matched.ask,
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

    /// Ends a request that failed; a key under which nothing ran is given back first.
    async fn end_failed(&self, failure: CallerFailure, mut trace: RequestTrace) -> CallerFailure {
        if failure.outcome() == Outcome::NotRun {
            if let Some(key) = trace.drop_key() {
                self.give_back(&key).await;
            }
        }
        trace.fail(failure)
    }
}

impl RequestDispatcher {
    /// Mints a key for an organisation; `None` when as many as are kept are out already.
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

    /// Makes a key usable again, nothing having run under it.
    async fn give_back(&self, row: &str) {
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

enum AttemptEnd {
    Whole(Response),
    Stream(Box<StreamStart>),
}

struct StreamStart {
    permit: TargetPermit,
    attempt: AttemptId,
    reply: AttemptReply,
    run: TargetRun,
}

/// Whose runs are watched.
#[derive(Clone, Debug)]
pub struct RunSubject {
    request: RequestId,
    print: RequestFingerprint,
    organisation: OrganisationId,
}

impl RunSubject {
    fn of(matched: &MatchedRequest) -> Self {
        Self {
            request: matched.request.clone(),
            print: matched.print,
            organisation: matched.admit.organisation.clone(),
        }
    }

    /// Returns the request's fingerprint.
    pub fn print(&self) -> &RequestFingerprint {
        &self.print
    }
}

/// Returns whether a failure means that the connection broke while the target had the request.
fn breaks_run(point: FailurePoint) -> bool {
    matches!(
        point,
        FailurePoint::BrokenBeforeHead | FailurePoint::Truncated
    )
}

/// Notes how a run ended that failed; one that nobody waits for any more is left to its watch.
pub fn end_run(run: &mut TargetRun, point: FailurePoint) {
    if breaks_run(point) {
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

/// Returns the point to report after several failures: one that leaves the outcome open stays.
fn worst(earlier: Option<FailurePoint>, later: FailurePoint) -> FailurePoint {
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
