//! What a controller knows of each target: its last report, its orders, and whether it answers.

use std::time::Duration;

use briarswitch_core::assembly::{TargetFacts, TargetStanding};
use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::{MembershipState, TargetRecord};
use indexmap::{IndexMap, IndexSet};
use rustc_hash::FxBuildHasher;

use crate::ports::{ReportError, TargetReport};

/// Time between two questions to a target about which nothing is in doubt.
///
/// A group at work shows by its streams that it lives, and what changes in a target shows in the
/// directory; this finds members that die while nothing runs. Questions are paid for.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time between questions to a target that is joining, once its expected time is over.
const JOINING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two questions to one target.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Time between questions to a member whose entry is gone; nothing else tells whether it lives.
const UNLISTED_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Questions in a row without an answer after which a target counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Time to join again for the model of the last group, and a little more.
const REJOIN_POLL_DELAY: Duration = Duration::from_millis(220);
/// Age of a report by which a target may be chosen for a group.
///
/// A target that has restarted since needs its warmup, over a second, before a group with it can serve.
const REPORT_MAX_AGE: Duration = Duration::from_millis(500);
/// Time that is added to an expected one before it is checked.
const JOIN_POLL_MARGIN: Duration = Duration::from_millis(30);

/// One target.
#[derive(Clone, Debug)]
pub struct TrackedTarget {
    /// The directory's entry.
    pub record: TargetRecord,
    /// What the planner is told.
    pub facts: TargetFacts,
    /// Whether it has answered or is known to be silent.
    pub is_resolved: bool,
    is_listed: bool,
    failures: u32,
    is_poll_pending: bool,
    next_poll: Moment,
    last_poll: Moment,
    joining_since: Option<Moment>,
    acknowledged_at: Moment,
    reported_at: Option<Moment>,
    /// Most orders that it has itself reported, and when it first did.
    highest_count: (u64, Moment),
    is_replaced: bool,
}

impl TrackedTarget {
    /// Returns what the planner is told at `now`.
    pub fn facts_at(&self, now: Moment) -> TargetFacts {
        TargetFacts {
            is_fresh: self.reported_at.is_some_and(|at| now < at + REPORT_MAX_AGE),
            ..self.facts.clone()
        }
    }

    fn new(record: TargetRecord, now: Moment) -> Self {
        Self {
            facts: TargetFacts {
                incarnation: record.incarnation,
                standing: TargetStanding::Live,
                membership: None,
                model: None,
                staged: record.staged.clone(),
                sequence: 0,
                is_busy: false,
                epoch_seen: 0,
                is_fresh: false,
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
        }
    }

    fn poll_by(&mut self, at: Moment) {
        let at = at.max(self.last_poll + MIN_POLL_INTERVAL);
        self.next_poll = self.next_poll.min(at);
    }

    fn status(&self) -> TargetStanding {
        if self.is_replaced || self.failures >= SILENT_AFTER_FAILURES {
            TargetStanding::Silent
        } else if !self.is_listed {
            TargetStanding::Unlisted
        } else if self.record.is_draining {
            TargetStanding::Draining
        } else {
            TargetStanding::Live
        }
    }
}

/// All targets of the domains that a controller is responsible for.
#[derive(Clone, Debug, Default)]
pub struct TargetTracker {
    targets: IndexMap<TargetId, TrackedTarget>,
}

impl TargetTracker {
    /// Returns the targets by id.
    pub fn targets(&self) -> &IndexMap<TargetId, TrackedTarget> {
        &self.targets
    }

    /// Takes in the directory's entries, and those of members that it lists no more.
    ///
    /// An entry that disagrees with the last report only hastens the next question: entries are
    /// older than reports, and a condition must rest on what the target itself said.
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
                // Only a target that lives writes its entry.
                tracked.is_replaced = false;
                let differs = tracked.facts.membership != record.membership
                    || tracked.facts.incarnation != record.incarnation
                    || tracked.facts.staged != record.staged;
                if differs {
                    tracked.poll_by(now);
                }
            }
            tracked.facts.standing = tracked.status();
        }
        self.targets.retain(|id, _| known.contains(id.as_str()));
    }

    /// Returns the targets to ask now, and marks them as asked.
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

    /// Has a target asked at once.
    pub fn poll_now(&mut self, target: &str, now: Moment) {
        if let Some(tracked) = self.targets.get_mut(target) {
            tracked.poll_by(now);
        }
    }

    /// Takes in a report, or that there was none; returns whether the target fell silent by it.
    ///
    /// A question whose own timer ran late proves nothing and is asked again.
    pub fn record_report(
        &mut self,
        target: &str,
        report: Result<TargetReport, ReportError>,
        is_late: bool,
        engine: &EngineModel,
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
        tracked.facts.standing = tracked.status();
        before != TargetStanding::Silent && tracked.facts.standing == TargetStanding::Silent
    }

    /// Takes in what became of an order.
    pub fn record_order_result(&mut self, order: &TargetOrder, result: OrderResult, now: Moment) {
        let Some(tracked) = self.targets.get_mut(&order.target) else {
            return;
        };
        if result == OrderResult::Gone && order.incarnation == tracked.facts.incarnation {
            tracked.mark_replaced("order_misdirected");
            return;
        }
        let facts = &mut tracked.facts;
        let is_leave = matches!(order.action, TargetAction::Leave { .. });
        let was_member = facts.membership.as_ref().map(|held| &held.group) == order.action.group();
        // Leaving is over when it is answered, so it is told as done and not as begun.
        let has_taken_effect =
            result == OrderResult::Begun || (result == OrderResult::Held && is_leave && was_member);
        // An answer of another life than the one looked at says nothing of what is known now.
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
    /// Takes a report over, unless it is older than the last order that was acknowledged.
    ///
    /// Reports lag. For a moment after an order one may show the count before it; an order on that
    /// condition would be refused for nothing. Later the report is right, whatever was believed.
    fn apply_report(&mut self, report: TargetReport, lag: Duration, now: Moment) {
        self.reset_after_restart(report.incarnation);
        let facts = &mut self.facts;
        let is_recent = now < self.acknowledged_at + lag * 2;
        if is_recent && report.sequence < facts.sequence {
            return;
        }
        if let Some(held) = &report.membership {
            facts.epoch_seen = facts.epoch_seen.max(held.epoch);
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
    }

    /// Returns whether a report tells of fewer orders than the target had already counted itself.
    ///
    /// A target may end and another one start at its address. Reports do not say whose they are, so the
    /// new one's would pass for the old one's, which would count as live for as long as it is remembered.
    fn is_from_other_target(&self, report: &TargetReport, lag: Duration) -> bool {
        let (count, since) = self.highest_count;
        // Reports lag, so one that was asked for soon after may show the count before.
        let is_settled = self.last_poll >= since + lag * 2;
        report.incarnation == self.facts.incarnation && is_settled && report.sequence < count
    }

    /// Takes in that another target answers at the address; it counts as silent until its entry is written again.
    fn mark_replaced(&mut self, proof: &'static str) {
        if !self.is_replaced {
            log::warn!(target_id = self.record.id.as_str(), proof = proof; "target_replaced");
        }
        self.is_replaced = true;
        self.facts.standing = self.status();
    }

    /// Forgets what was known of a life that has ended.
    ///
    /// A target that restarted under its name counts its orders anew. Were its count held against what
    /// the earlier life had reached, its reports would pass for old ones and be dropped.
    fn reset_after_restart(&mut self, incarnation: Incarnation) {
        if incarnation == self.facts.incarnation {
            return;
        }
        log::info!(target_id = self.record.id.as_str(), born = incarnation; "target_restarted");
        self.facts.incarnation = incarnation;
        self.facts.sequence = 0;
        self.facts.epoch_seen = 0;
        self.acknowledged_at = Moment::ZERO;
        self.highest_count = (0, Moment::ZERO);
        self.joining_since = None;
    }

    fn next_poll_time(&mut self, engine: &EngineModel, now: Moment) -> Moment {
        let is_joining = self
            .facts
            .membership
            .as_ref()
            .is_some_and(|held| held.state == MembershipState::Joining);
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
