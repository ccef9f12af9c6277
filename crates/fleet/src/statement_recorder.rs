//! Records and logs what targets say of themselves, in responses and through other nodes.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::{Incarnation, Moment};
use briarswitch_core::stated_limit::{LimitChange, LimitHeader};
use briarswitch_kernel::BootClock;
use briarswitch_membership::Gossip;

use crate::job::RequestJob;
use crate::ports::ResponseInfo;
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;

/// How a node learned of a change of a target's limit.
#[derive(Clone, Copy, Debug)]
enum LimitSource<'a> {
    /// From the response of an incarnation to a request with this id.
    Response(&'a str, Incarnation),
    /// From another node, which heard it so long ago.
    Peer(Duration),
}

impl<'a> LimitSource<'a> {
    fn name(self) -> &'static str {
        match self {
            Self::Response(..) => "response",
            Self::Peer(_) => "peer",
        }
    }

    fn request(self) -> &'a str {
        match self {
            Self::Response(request, _) => request,
            Self::Peer(_) => "",
        }
    }

    fn incarnation(self) -> Incarnation {
        match self {
            Self::Response(_, incarnation) => incarnation,
            Self::Peer(_) => 0,
        }
    }

    fn age(self) -> Duration {
        match self {
            Self::Response(..) => Duration::ZERO,
            Self::Peer(age) => age,
        }
    }
}

/// Records what targets say of themselves.
pub struct StatementRecorder {
    shared: Arc<FleetShared>,
}

impl StatementRecorder {
    /// Creates a recorder.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self { shared }
    }

    /// Records what a target says in the response to a request that was sent at `sent_at`.
    ///
    /// A response of another incarnation, or to another attempt, says nothing about the requests that the target takes
    /// now.
    pub fn record_response(
        &self,
        job: &RequestJob,
        target: &RouteTarget,
        info: &ResponseInfo,
        sent_at: Moment,
    ) {
        let attempt = info.attempt.as_ref();
        let is_foreign = attempt.is_some_and(|attempt| *attempt != job.request.attempt);
        if info.is_other_incarnation || is_foreign {
            return;
        }
        self.record_leaving(job, target, info);
        self.record_retry_after(job, target, info);
        self.record_limit(job, target, info, sent_at);
    }

    fn record_leaving(&self, job: &RequestJob, target: &RouteTarget, info: &ResponseInfo) {
        let statements = target.gauge.statements();
        if info.is_leaving && statements.record_leaving(BootClock::now()) {
            log::info!(
                request = job.request.attempt.as_str(),
                target_id = target.id.as_str();
                "target_leaving"
            );
        }
    }

    fn record_retry_after(&self, job: &RequestJob, target: &RouteTarget, info: &ResponseInfo) {
        let Some(asked) = info.retry_after else {
            return;
        };
        let now = BootClock::now();
        let statements = target.gauge.statements();
        statements.begin_backoff(asked, now);
        self.shared.metrics.count_backoff(&job.service);
        log::info!(
            request = job.request.attempt.as_str(),
            target_id = target.id.as_str(),
            asked_ms = asked.as_millis() as u64,
            left_ms = statements.backoff_left(now).as_millis() as u64;
            "target_backoff_begun"
        );
    }

    /// Records the limit that a target states, or no longer states.
    ///
    /// A response without a signature may not be the target's, so it does not end a limit.
    fn record_limit(
        &self,
        job: &RequestJob,
        target: &RouteTarget,
        info: &ResponseInfo,
        sent_at: Moment,
    ) {
        if info.limit == LimitHeader::Absent && !info.is_signed {
            return;
        }
        let statements = target.gauge.statements();
        let change = statements.record_limit_header(info.limit, sent_at, BootClock::now());
        if let Some(change) = change {
            let source = LimitSource::Response(&job.request.attempt, target.incarnation);
            log_change(&self.shared, &target.id, change, source);
        }
    }

    /// Logs that a request is sent to a target that states a limit, and what this node takes for its share, or to one
    /// that wants no requests from this node.
    pub fn log_choice(&self, job: &RequestJob, target: &RouteTarget, now: Moment) {
        let statements = target.gauge.statements();
        let left = statements.backoff_left(now);
        if !left.is_zero() {
            log::info!(
                request = job.request.attempt.as_str(),
                target_id = target.id.as_str(),
                left_ms = left.as_millis() as u64;
                "backoff_target_chosen"
            );
        }
        let Some((limit, age)) = statements.limit_with_age(now) else {
            return;
        };
        let share = self.shared.limit_share(limit, age, target, now);
        log::info!(
            request = job.request.attempt.as_str(),
            target_id = target.id.as_str(),
            per_second = limit.rate(),
            age_ms = age.as_millis() as u64,
            sent = statements.counted_requests(&limit, now),
            share = share.requests,
            window_ms = limit.counting_time().as_millis() as u64,
            nodes = self.shared.rank_for(target, now).nodes;
            "limited_target_chosen"
        );
    }
}

/// Applies what other nodes have heard about the limits of targets.
pub fn apply_limit_reports(shared: &FleetShared, gossip: &Gossip) {
    let now = BootClock::now();
    for report in gossip.limits() {
        let gauge = shared.gauges.get(&report.target);
        let statements = gauge.statements();
        if let Some(change) = statements.record_limit_report(report.limit, report.age, now) {
            let source = LimitSource::Peer(report.age);
            log_change(shared, &report.target, change, source);
        }
    }
}

fn log_change(shared: &FleetShared, target: &str, change: LimitChange, source: LimitSource<'_>) {
    shared.metrics.count_limit_change(change);
    let per_second = match change {
        LimitChange::Begun(limit) => limit.rate(),
        LimitChange::Ended => 0.0,
    };
    log::info!(
        target_id = target,
        incarnation = source.incarnation(),
        heard = source.name(),
        request = source.request(),
        change = change.name(),
        per_second = per_second,
        age_ms = source.age().as_millis() as u64;
        "target_limit_changed"
    );
}
