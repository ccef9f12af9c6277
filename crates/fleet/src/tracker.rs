//! A controller's view of each target: its last report, its orders, and whether it responds.

use std::time::Duration;

use briarswitch_core::assembly::{TargetFacts, TargetPace, TargetStatus};
use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{MembershipState, TargetRecord};
use indexmap::{IndexMap, IndexSet};
use rustc_hash::FxBuildHasher;

use crate::ports::{ReportError, TargetReport};

/// Interval between polls of a target that is in a stable state.
///
/// Streams show that a group is alive while it serves, and the directory shows changes of state. These polls
/// find members that die while idle; they are rare because each one has a cost.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval between polls of a joining target whose expected join time has passed.
const JOINING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two polls of one target.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between polls of a member without a directory entry, for which only polls show whether it is alive.
const UNLISTED_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of consecutive failed polls after which a target counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Delay of the poll after an order to join: a little longer than a target takes to rejoin with its last model.
const REJOIN_POLL_DELAY: Duration = Duration::from_millis(220);
/// Maximum age of a report that makes a target eligible for a new group.
///
/// A target that has restarted after the report needs over a second of warm-up before a group with it could
/// serve.
const REPORT_MAX_AGE: Duration = Duration::from_millis(500);
/// Margin added to the expected join time before the target is polled.
const JOIN_POLL_MARGIN: Duration = Duration::from_millis(30);

/// State of one target.
#[derive(Clone, Debug)]
pub struct TrackedTarget {
    /// Directory entry.
    pub record: TargetRecord,
    /// Facts that the planner uses.
    pub facts: TargetFacts,
    /// Whether the target has responded or is known to be silent.
    pub is_resolved: bool,
    is_listed: bool,
    failures: u32,
    is_poll_pending: bool,
    next_poll: Moment,
    last_poll: Moment,
    joining_since: Option<Moment>,
    /// When it last acknowledged an order.
    acknowledged_at: Moment,
    reported_at: Option<Moment>,
    /// Highest number of orders that the target has reported, and when it first did so.
    highest_count: (u64, Moment),
    /// Whether another target was found at its address.
    is_replaced: bool,
    /// Whether its last report says that its pace is normal again.
    has_recovered: bool,
}

impl TrackedTarget {
    /// Returns the facts that the planner uses at `now`.
    pub fn facts_at(&self, now: Moment) -> TargetFacts {
        TargetFacts {
            is_fresh: self.reported_at.is_some_and(|at| now < at + REPORT_MAX_AGE),
            ..self.facts.clone()
        }
    }

    /// Returns whether its last report says that its pace is normal again, after it was slow.
    pub fn has_recovered(&self) -> bool {
        self.has_recovered
    }

    fn new(record: TargetRecord, now: Moment) -> Self {
        Self {
            facts: TargetFacts {
                incarnation: record.incarnation,
                status: TargetStatus::Live,
                membership: None,
                model: None,
                staged: record.staged.clone(),
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: false,
                pace: TargetPace::default(),
            },
            record,
            is_resolved: false,
            is_listed: true,
            failures: 0,
            is_poll_pending: false,
            next_poll: now,
            last_poll: Moment::ZERO,
            joining_since: None,
            acknowledged_at: Moment::ZERO,
            reported_at: None,
            highest_count: (0, Moment::ZERO),
            is_replaced: false,
            has_recovered: false,
        }
    }

    fn poll_by(&mut self, at: Moment) {
        let at = at.max(self.last_poll + MIN_POLL_INTERVAL);
        self.next_poll = self.next_poll.min(at);
    }

    fn status(&self) -> TargetStatus {
        if self.is_replaced || self.failures >= SILENT_AFTER_FAILURES {
            TargetStatus::Silent
        } else if !self.is_listed {
            TargetStatus::Unlisted
        } else if self.record.is_draining {
            TargetStatus::Draining
        } else {
            TargetStatus::Live
        }
    }
}

/// All targets in the domains that a controller is responsible for.
#[derive(Clone, Debug, Default)]
pub struct TargetTracker {
    targets: IndexMap<TargetId, TrackedTarget>,
}

impl TargetTracker {
    /// Returns the targets by id.
    pub fn targets(&self) -> &IndexMap<TargetId, TrackedTarget> {
        &self.targets
    }

    /// Updates the targets from the directory entries and from the last known entries of unlisted members.
    ///
    /// An entry that differs from the last report only triggers a poll. Entries are older than reports, and the
    /// condition on an order must be based on what the target itself has reported.
    pub fn sync<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a TargetRecord>,
        unlisted: impl Iterator<Item = &'a TargetRecord>,
        now: Moment,
    ) {
        let mut known: IndexSet<&str, FxBuildHasher> = IndexSet::default();
        let listed = listed.map(|record| (record, true));
        let unlisted = unlisted.map(|record| (record, false));
        for (record, is_listed) in listed.chain(unlisted) {
            known.insert(&record.id);
            let tracked = self
                .targets
                .entry(record.id.clone())
                .or_insert_with(|| TrackedTarget::new(record.clone(), now));
            if tracked.is_listed != is_listed {
                tracked.is_listed = is_listed;
                tracked.poll_by(now);
            }
            let is_changed = tracked.record != *record;
            if is_changed {
                tracked.record = record.clone();
                // Only a running target writes its entry.
                tracked.is_replaced = false;
                let differs = tracked.facts.membership != record.membership
                    || tracked.facts.incarnation != record.incarnation
                    || tracked.facts.staged != record.staged;
                if differs {
                    tracked.poll_by(now);
                }
            }
            tracked.facts.status = tracked.status();
        }
        self.targets.retain(|id, _| known.contains(id.as_str()));
    }

    /// Returns the targets that are due for a poll, and marks their polls as pending.
    pub fn take_due(&mut self, now: Moment) -> Vec<(TargetId, String)> {
        let due = self.targets.iter_mut().filter(|(_, tracked)| {
            !tracked.is_replaced && !tracked.is_poll_pending && now >= tracked.next_poll
        });
        due.map(|(id, tracked)| {
            tracked.is_poll_pending = true;
            tracked.last_poll = now;
            (id.clone(), tracked.record.address.clone())
        })
        .collect()
    }

    /// Schedules a poll of a target as soon as the minimum interval allows.
    pub fn poll_now(&mut self, target: &str, now: Moment) {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.poll_by(now);
        }
    }

    /// Records a report or a failed poll; returns whether the target became silent by it.
    ///
    /// A failed poll whose local timer fired late proves nothing and is repeated.
    pub fn record_report(
        &mut self,
        target: &str,
        report: Result<TargetReport, ReportError>,
        is_late: bool,
        engine: &EngineSpec,
        now: Moment,
    ) -> bool {
        let Some(tracked) = self.targets.get_mut(target) else {
            return false;
        };
        tracked.is_poll_pending = false;
        let before = tracked.status();
        match report {
            Ok(report) if tracked.is_from_other_target(&report, engine.report_lag) => {
                tracked.is_resolved = true;
                tracked.mark_replaced("count_fell");
            }
            Ok(report) => {
                tracked.failures = 0;
                tracked.is_resolved = true;
                tracked.reported_at = Some(now);
                tracked.apply_report(report, engine.report_lag, now);
                tracked.next_poll = tracked.next_poll_time(engine, now);
            }
            Err(_) if is_late => tracked.next_poll = now + MIN_POLL_INTERVAL,
            Err(_) => {
                tracked.failures += 1;
                if tracked.failures >= SILENT_AFTER_FAILURES {
                    tracked.is_resolved = true;
                    tracked.next_poll = now + JOINING_POLL_INTERVAL * 2;
                } else {
                    tracked.next_poll = now;
                }
            }
        }
        tracked.facts.status = tracked.status();
        before != TargetStatus::Silent && tracked.facts.status == TargetStatus::Silent
    }

    /// Records the result of an order.
    pub fn record_order_result(&mut self, order: &TargetOrder, result: OrderResult, now: Moment) {
        let Some(tracked) = self.targets.get_mut(&order.target) else {
            return;
        };
        if result == OrderResult::OtherIncarnation && order.incarnation == tracked.facts.incarnation
        {
            tracked.mark_replaced("order_misdirected");
            return;
        }
        let facts = &mut tracked.facts;
        let is_leave = matches!(order.action, TargetAction::Leave { .. });
        let was_member = facts
            .membership
            .as_ref()
            .map(|membership| &membership.group)
            == order.action.group();
        // An order to leave is complete when it is acknowledged, so targets respond with `Held` instead of
        // `Begun`.
        let has_taken_effect =
            result == OrderResult::Begun || (result == OrderResult::Held && is_leave && was_member);
        // A response of another incarnation says nothing about the known state.
        if !has_taken_effect || order.incarnation != facts.incarnation {
            tracked.poll_by(now);
            return;
        }
        facts.sequence = facts.sequence.max(order.expected + 1);
        facts.is_busy = !is_leave;
        tracked.acknowledged_at = now;
        let effect = order
            .action
            .effect(&order.target, facts.membership.as_ref());
        if let TargetAction::Join { model, epoch, .. } = &order.action {
            facts.model = Some(model.clone());
            facts.epoch_seen = facts.epoch_seen.max(*epoch);
            tracked.joining_since = Some(now);
            tracked.next_poll = now + REJOIN_POLL_DELAY;
        }
        facts.membership = effect;
        if facts.membership.is_none() {
            facts.model = None;
        }
    }
}

impl TrackedTarget {
    /// Applies a report, unless it is older than the last acknowledged order.
    ///
    /// Reports lag behind: shortly after an order, one may contain the count from before it, and an order with
    /// that count as its condition would be refused. After that time the report prevails over the assumed
    /// state.
    fn apply_report(&mut self, report: TargetReport, lag: Duration, now: Moment) {
        self.reset_after_restart(report.incarnation);
        self.has_recovered = false;
        let facts = &mut self.facts;
        let is_recent = now < self.acknowledged_at + lag * 2;
        if is_recent && report.sequence < facts.sequence {
            return;
        }
        if let Some(membership) = &report.membership {
            facts.epoch_seen = facts.epoch_seen.max(membership.epoch);
        }
        if facts.staged != report.staged {
            let models = report.staged.join(",");
            log::info!(target_id = self.record.id.as_str(), models = models.as_str(); "weights_staged");
        }
        if report.sequence > self.highest_count.0 {
            self.highest_count = (report.sequence, now);
        }
        facts.membership = report.membership;
        facts.model = report.model;
        facts.staged = report.staged;
        facts.sequence = report.sequence;
        facts.is_busy = report.is_busy;
        self.has_recovered = facts.pace.record(report.pace);
    }

    /// Returns whether a report must come from another target, because its count of orders is lower than
    /// before.
    ///
    /// If a target exits and another one starts at its address, a report does not show which of them sent it.
    /// Without this check, the reports of the new target would be taken for those of the old one.
    fn is_from_other_target(&self, report: &TargetReport, lag: Duration) -> bool {
        let (count, since) = self.highest_count;
        // Reports lag behind, so one requested shortly after the count rose may contain the previous count.
        let is_settled = self.last_poll >= since + lag * 2;
        report.incarnation == self.facts.incarnation && is_settled && report.sequence < count
    }

    /// Marks the target as replaced by another one at its address; it counts as silent until its entry is
    /// written again.
    fn mark_replaced(&mut self, evidence: &'static str) {
        if !self.is_replaced {
            log::warn!(target_id = self.record.id.as_str(), proof = evidence; "target_replaced");
        }
        self.is_replaced = true;
        self.facts.status = self.status();
    }

    /// Discards the state of the previous incarnation.
    ///
    /// A restarted target counts its orders from zero. Compared with the previous incarnation's count, its
    /// reports would look outdated and be ignored.
    fn reset_after_restart(&mut self, incarnation: Incarnation) {
        if incarnation == self.facts.incarnation {
            return;
        }
        log::info!(target_id = self.record.id.as_str(), born = incarnation; "target_restarted");
        self.facts.incarnation = incarnation;
        self.facts.sequence = 0;
        self.facts.epoch_seen = 0;
        self.facts.pace = TargetPace::default();
        self.acknowledged_at = Moment::ZERO;
        self.highest_count = (0, Moment::ZERO);
        self.joining_since = None;
    }

    fn next_poll_time(&mut self, engine: &EngineSpec, now: Moment) -> Moment {
        let is_joining = self
            .facts
            .membership
            .as_ref()
            .is_some_and(|membership| membership.state == MembershipState::Joining);
        if !is_joining {
            self.joining_since = None;
            let interval = if self.is_listed {
                IDLE_POLL_INTERVAL
            } else {
                UNLISTED_POLL_INTERVAL
            };
            return now + interval;
        }
        let since = *self.joining_since.get_or_insert(now);
        let model = self.facts.model.as_ref();
        let model = model.and_then(|id| engine.models.get(id));
        let expected = model.map(|model| since + model.warmup + JOIN_POLL_MARGIN);
        match expected {
            Some(at) if now < at => at,
            _ => now + JOINING_POLL_INTERVAL,
        }
    }
}
