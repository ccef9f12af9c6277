//! Decides whether a node reaches targets, or is partitioned from all of them.
//!
//! A target that fails looks the same to one request whether the target has crashed or the node is partitioned. Several
//! targets that fail at once, or the silence of all, are a reason to probe others: only a node that reaches none of
//! them counts as partitioned.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{Moment, TargetId};

/// Targets that must fail, or be silent, before others are probed; fewer if fewer are known.
const MIN_DOUBTED_TARGETS: usize = 2;
/// Time within which failures at several targets count together.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Silence of all targets after which others are probed; several passes of an engine.
pub const DOUBTFUL_SILENCE: Duration = Duration::from_millis(150);
/// Time for which a probe that reached a target shows that silence is the targets'.
pub const VERIFIED_TIME: Duration = Duration::from_millis(500);
/// Time from a probe that reached a target until new failures or a suspicion are a reason for the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Targets that are probed at the same time; together they lie in several zones and services.
const PROBED_TARGETS: usize = 4;
/// Interval between probes while the node is partitioned.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a node reaches targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reachability {
    /// It reaches targets, as far as it knows.
    #[default]
    Reachable,
    /// It is in doubt, and probes are under way.
    Verifying,
    /// It reaches none.
    Partitioned,
}

/// Why targets are probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VerificationReason {
    /// Connections to several targets failed.
    Failures,
    /// No target was heard.
    Silence,
    /// A single target is silent, and no other was heard in the meantime.
    Suspicion,
    /// The node is partitioned and checks whether that has ended.
    Return,
}

impl VerificationReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Silence => "silence",
            Self::Suspicion => "suspicion",
            Self::Return => "return",
        }
    }
}

/// What a node hears of its targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetSilence {
    /// Time since any target was heard.
    pub silence: Duration,
    /// Targets with requests of this node that have been silent for [`DOUBTFUL_SILENCE`].
    pub silent_targets: usize,
    /// Targets known.
    pub known_targets: usize,
}

/// Result of probing several targets at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeRound {
    /// Targets that were probed.
    pub probed: usize,
    /// Targets that accepted a connection.
    pub reached: usize,
    /// Whether the local timer fired late, so that a missing answer proves nothing.
    pub is_late: bool,
}

/// Tracks whether a node reaches targets.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::reachability::{
///     ProbeRound, Reachability, ReachabilityTracker, TargetSilence,
/// };
///
/// let now = Duration::from_secs(9);
/// let mut tracker = ReachabilityTracker::default();
/// let silence = TargetSilence {
///     silence: Duration::from_millis(200),
///     silent_targets: 3,
///     known_targets: 9,
/// };
/// assert!(tracker.begin_due(&silence, now).is_some());
/// let unreached = ProbeRound { probed: 4, reached: 0, is_late: false };
/// tracker.end_round(&unreached, now);
/// assert_eq!(tracker.state(), Reachability::Partitioned);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTracker {
    state: Reachability,
    /// Targets to which connections failed, and when they last did.
    failures: IndexMap<TargetId, Moment>,
    is_suspected: bool,
    is_round_active: bool,
    round_began_at: Moment,
    verified_at: Option<Moment>,
    /// Whether the last probe of a partitioned node reached its target.
    is_returning: bool,
}

impl ReachabilityTracker {
    /// Returns whether the node reaches targets.
    pub fn state(&self) -> Reachability {
        self.state
    }

    /// Returns when a probe last showed that the node reaches targets.
    pub fn verified_at(&self) -> Option<Moment> {
        self.verified_at
    }

    /// Returns the number of targets to be probed in the next round.
    ///
    /// A partitioned node tries one target at a time until that is reached.
    pub fn sample_size(&self) -> usize {
        match self.state {
            Reachability::Partitioned if !self.is_returning => 1,
            _ => PROBED_TARGETS,
        }
    }

    /// Records that a connection to a target could not be opened, or broke.
    pub fn record_failure(&mut self, target: &TargetId, now: Moment) {
        self.failures
            .retain(|_, failed_at| now < *failed_at + FAILURE_WINDOW);
        self.failures.insert(target.clone(), now);
    }

    /// Records that a target is silent while no other was heard.
    pub fn record_suspicion(&mut self) {
        self.is_suspected = true;
    }

    /// Begins a round of probes if one is due, and returns why.
    pub fn begin_due(&mut self, heard: &TargetSilence, now: Moment) -> Option<VerificationReason> {
        if self.is_round_active || heard.known_targets == 0 {
            return None;
        }
        let reason = self.due_reason(heard, now)?;
        self.is_round_active = true;
        self.round_began_at = now;
        if self.state == Reachability::Reachable {
            self.state = Reachability::Verifying;
        }
        Some(reason)
    }

    fn due_reason(&self, heard: &TargetSilence, now: Moment) -> Option<VerificationReason> {
        if self.state == Reachability::Partitioned {
            let is_due = self.is_returning || now >= self.round_began_at + RETURN_INTERVAL;
            return is_due.then_some(VerificationReason::Return);
        }
        let is_verified = |time| self.verified_at.is_some_and(|at| now < at + time);
        let doubted = MIN_DOUBTED_TARGETS.min(heard.known_targets);
        let failures = self.failures.values();
        let failed = failures.filter(|failed_at| now < **failed_at + FAILURE_WINDOW);
        if failed.count() >= doubted && !is_verified(FAILURE_PAUSE) {
            return Some(VerificationReason::Failures);
        }
        if self.is_suspected && !is_verified(FAILURE_PAUSE) {
            return Some(VerificationReason::Suspicion);
        }
        let is_silent = heard.silence >= DOUBTFUL_SILENCE && heard.silent_targets >= doubted;
        (is_silent && !is_verified(VERIFIED_TIME)).then_some(VerificationReason::Silence)
    }

    /// Ends a round of probes.
    ///
    /// A node is partitioned if it reached none of several targets. It returns when one target was reached, and then
    /// half of several others, so that a path that works now and then does not take requests back.
    pub fn end_round(&mut self, round: &ProbeRound, now: Moment) {
        self.is_round_active = false;
        if self.state == Reachability::Partitioned {
            self.end_return_round(round, now);
            return;
        }
        let proves_nothing = round.probed == 0 || (round.is_late && round.reached == 0);
        if round.reached > 0 {
            self.set_verified(now);
        } else if proves_nothing {
            self.state = Reachability::Reachable;
        } else {
            self.state = Reachability::Partitioned;
            self.is_returning = false;
        }
    }

    fn end_return_round(&mut self, round: &ProbeRound, now: Moment) {
        let is_first = !self.is_returning;
        let is_reached = round.reached > 0 && round.reached * 2 >= round.probed;
        self.is_returning = is_first && is_reached;
        if !is_first && is_reached {
            self.set_verified(now);
        }
    }

    fn set_verified(&mut self, now: Moment) {
        self.state = Reachability::Reachable;
        self.verified_at = Some(now);
        self.failures.clear();
        self.is_suspected = false;
        self.is_returning = false;
    }
}

/// Tracks whether a node reaches the targets that it probes regularly.
///
/// ```
/// use briarswitch_core::reachability::ProbeHistory;
///
/// let mut history = ProbeHistory::default();
/// for _ in 0..2 {
///     history.record(&"t1".to_owned(), false);
///     history.record(&"t2".to_owned(), false);
/// }
/// assert!(history.is_partitioned());
/// history.record(&"t1".to_owned(), true);
/// assert!(!history.is_partitioned());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ProbeHistory {
    /// Probes of each target that have failed since the last one that succeeded.
    failures: IndexMap<TargetId, u32>,
    is_partitioned: bool,
}

impl ProbeHistory {
    /// Records the result of a probe.
    ///
    /// The node is partitioned when the last two probes of every target have failed, and no longer when those of half
    /// of them succeed.
    pub fn record(&mut self, target: &TargetId, is_reached: bool) {
        let failures = self.failures.entry(target.clone()).or_default();
        *failures = if is_reached { 0 } else { *failures + 1 };
        let reached = self.failures.values().filter(|failures| **failures == 0);
        let reached = reached.count();
        let is_each_failed = self.failures.values().all(|failures| *failures >= 2);
        if self.failures.len() >= MIN_DOUBTED_TARGETS && is_each_failed {
            self.is_partitioned = true;
        } else if reached * 2 >= self.failures.len() {
            self.is_partitioned = false;
        }
    }

    /// Forgets the targets that are no longer probed.
    pub fn retain(&mut self, is_probed: impl Fn(&TargetId) -> bool) {
        self.failures.retain(|target, _| is_probed(target));
        if self.failures.is_empty() {
            self.is_partitioned = false;
        }
    }

    /// Returns whether the node reaches none of the targets that it probes.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }
}
