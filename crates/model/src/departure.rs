//! A node reads the directory through a connection that may fail, while targets renew their entries, leave, or lose
//! their entries in an outage of the store.
//!
//! The store or the node's connection to it fails, not both in one run. Which missing entries are kept is
//! decided by [`RecoveryWindow`].

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::recovery_window::{EntryCensus, EntryState, RecoveryWindow};

use crate::search::{Specification, Step};

/// Length of a step of time.
const TICK: Duration = Duration::from_millis(500);
/// Ticks that a run lasts.
const MAX_TICKS: u8 = 20;
/// Zone of the targets.
const ZONE: &str = "zone";
/// Number of targets; one of them may leave, fewer than stay.
const TARGETS: usize = 3;
/// Ticks after which a target whose departure is acknowledged must get no requests.
const DRAIN_TICKS: u8 = 4;
/// Ticks without disruption after which the limit of departures applies.
const CALM_TICKS: u8 = 6;
/// Ticks within which a target rewrites an expired entry once the store is back.
const REWRITE_TICKS: u8 = 3;
/// Ticks within which a node that reaches the store reads it.
const READ_TICKS: u8 = 1;
/// The same after its connection failed, while a call that hangs has to time out.
const RETRY_TICKS: u8 = 2;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureDefect {
    /// Each failed read counts as an outage of the store.
    OwnFailureIsOutage,
    /// Missing entries are dropped at once.
    NothingKept,
    /// Kept entries are only dropped if they are read as missing again.
    KeptForGood,
}

/// Copy of the directory at one node.
#[derive(Clone, Copy, Debug)]
pub struct DepartureSpec {
    defect: Option<DepartureDefect>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Target {
    /// Whether the directory lists it.
    is_listed: bool,
    /// When it left, if the store was calm then and acknowledged it.
    left_at: Option<u8>,
    has_left: bool,
    /// Whether the node sends it requests.
    is_used: bool,
    /// When the node drops it unless it is listed again.
    dropped_at: Option<Moment>,
}

/// State of the store, the connection, the targets and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct DepartureState {
    tick: u8,
    targets: [Target; TARGETS],
    is_store_up: bool,
    is_connected: bool,
    /// Ticks since the last disruption of the store ended.
    store_calm: u8,
    /// Ticks since the connection last worked again.
    connection_calm: u8,
    /// Ticks for which the node could have read and has not.
    unread: u8,
    /// Whether a call of the node may hang.
    is_hanging: bool,
    window: RecoveryWindow,
    has_failed: bool,
    has_expired: bool,
}

impl DepartureSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: DepartureDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: DepartureDefect) -> bool {
        self.defect == Some(defect)
    }

    fn keep_until(&self, state: &DepartureState, now: Moment) -> Option<Moment> {
        let is_failure_outage = self.has_defect(DepartureDefect::OwnFailureIsOutage);
        let census = state.census(|target| target.is_listed && !is_failure_outage);
        let keep = state.window.keep_until(&census, ZONE, now);
        keep.filter(|_| !self.has_defect(DepartureDefect::NothingKept))
    }

    fn read(&self, state: &DepartureState) -> DepartureState {
        let mut next = state.clone();
        let now = state.now();
        next.window.note_answer(now);
        next.unread = 0;
        next.is_hanging = false;
        let keep = self.keep_until(&next, now);
        for target in &mut next.targets {
            match (target.is_listed, target.is_used, target.dropped_at) {
                (true, _, _) => {
                    target.is_used = true;
                    target.dropped_at = None;
                }
                (false, true, None) => {
                    target.is_used = keep.is_some();
                    target.dropped_at = keep;
                }
                _ => {}
            }
        }
        next
    }

    fn expire(&self, state: &mut DepartureState) {
        let now = state.now();
        let census = state.census(|target| target.dropped_at.is_none());
        let is_blocked =
            self.has_defect(DepartureDefect::KeptForGood) || !state.window.may_expire(&census);
        for target in &mut state.targets {
            if target.dropped_at.is_some_and(|at| now >= at) && !is_blocked {
                target.is_used = false;
                target.dropped_at = None;
            }
        }
    }

    fn fault_steps(state: &DepartureState, steps: &mut Vec<Step<DepartureState>>) {
        let mut next = state.clone();
        let may_fail = !state.has_failed;
        if state.is_connected && may_fail {
            next.is_connected = false;
            next.has_failed = true;
            next.is_hanging = true;
            next.window.note_failure();
            steps.push(Step::fault("the node's connection fails", next));
        } else if !state.is_connected {
            next.is_connected = true;
            next.connection_calm = 0;
            steps.push(Step::new("the node's connection works again", next));
        }
        let mut next = state.clone();
        if state.is_store_up && may_fail {
            next.is_store_up = false;
            next.has_failed = true;
            next.window.note_failure();
            steps.push(Step::fault("the store is down", next));
        } else if !state.is_store_up {
            next.is_store_up = true;
            next.store_calm = 0;
            steps.push(Step::new("the store is back", next));
        }
        if !state.is_store_up && !state.has_expired {
            let mut next = state.clone();
            next.has_expired = true;
            next.targets
                .iter_mut()
                .for_each(|target| target.is_listed = false);
            steps.push(Step::fault("all entries expire", next));
        }
    }

    fn target_steps(state: &DepartureState, index: usize, steps: &mut Vec<Step<DepartureState>>) {
        let target = state.targets[index];
        if !state.is_store_up || target.has_left {
            return;
        }
        let mut next = state.clone();
        if !target.is_listed {
            next.targets[index].is_listed = true;
            steps.push(Step::new(
                format!("target {index} rewrites its entry"),
                next,
            ));
        } else if state.targets.iter().all(|target| !target.has_left) {
            next.targets[index].is_listed = false;
            next.targets[index].has_left = true;
            next.targets[index].left_at = state.is_store_calm().then_some(state.tick);
            steps.push(Step::new(format!("target {index} leaves"), next));
        }
    }

    /// Returns the state a tick later; `None` if something else is due first.
    fn pass_time(&self, state: &DepartureState) -> Option<DepartureState> {
        let targets = state.targets.iter();
        let mut staying = targets.filter(|target| !target.has_left);
        let is_rewrite_due = state.store_calm >= REWRITE_TICKS
            && state.is_store_up
            && staying.any(|target| !target.is_listed);
        let may_read = state.is_connected && state.is_store_up;
        let read_ticks = if state.is_hanging {
            RETRY_TICKS
        } else {
            READ_TICKS
        };
        let is_read_due = may_read && state.unread >= read_ticks;
        if state.tick == MAX_TICKS || is_rewrite_due || is_read_due {
            return None;
        }
        let mut next = state.clone();
        next.tick += 1;
        next.store_calm = next.store_calm.saturating_add(1).min(CALM_TICKS);
        next.connection_calm = next.connection_calm.saturating_add(1).min(CALM_TICKS);
        next.unread = if may_read { next.unread + 1 } else { 0 };
        self.expire(&mut next);
        Some(next)
    }
}

impl DepartureState {
    fn now(&self) -> Moment {
        TICK * u32::from(self.tick)
    }

    /// Counts the targets in use that are listed and those that are not.
    fn census(&self, is_listed: impl Fn(&Target) -> bool) -> EntryCensus {
        let mut census = EntryCensus::default();
        for target in self.targets.iter().filter(|target| target.is_used) {
            let state = if is_listed(target) {
                EntryState::Unchanged
            } else {
                EntryState::Missing
            };
            census.add(ZONE, state);
        }
        census
    }

    fn is_store_calm(&self) -> bool {
        self.is_store_up && self.store_calm >= CALM_TICKS
    }

    fn is_undisturbed(&self) -> bool {
        self.is_store_calm() && self.is_connected && self.connection_calm >= CALM_TICKS
    }
}

impl Specification for DepartureSpec {
    type State = DepartureState;

    fn initial(&self) -> DepartureState {
        let target = Target {
            is_listed: true,
            is_used: true,
            ..Target::default()
        };
        DepartureState {
            tick: 0,
            targets: [target; TARGETS],
            is_store_up: true,
            is_connected: true,
            store_calm: CALM_TICKS,
            connection_calm: CALM_TICKS,
            unread: 0,
            is_hanging: false,
            window: RecoveryWindow::default(),
            has_failed: false,
            has_expired: false,
        }
    }

    fn steps(&self, state: &DepartureState) -> Vec<Step<DepartureState>> {
        let mut steps = Vec::new();
        if state.tick == MAX_TICKS {
            return steps;
        }
        Self::fault_steps(state, &mut steps);
        // The targets are alike, so that only the first one leaves.
        Self::target_steps(state, 0, &mut steps);
        for index in 1..TARGETS {
            if !state.targets[index].is_listed {
                Self::target_steps(state, index, &mut steps);
            }
        }
        if state.is_connected && state.is_store_up {
            steps.push(Step::new("the node reads the directory", self.read(state)));
        }
        if let Some(next) = self.pass_time(state) {
            steps.push(Step::new("half a second passes", next));
        }
        steps
    }

    fn violated_property(&self, state: &DepartureState) -> Option<&'static str> {
        let mut targets = state.targets.iter();
        let is_late = |target: &Target| {
            let left_at = target.left_at.filter(|_| target.is_used);
            left_at.is_some_and(|at| state.tick > at + DRAIN_TICKS)
        };
        if state.is_undisturbed() && targets.any(is_late) {
            return Some("an undisturbed node sends nothing to a target that has left");
        }
        let has_target = state.targets.iter().any(|target| target.is_used);
        (!has_target).then_some("an outage of the store leaves no node without targets")
    }

    fn is_goal(&self, state: &DepartureState) -> bool {
        state.tick == MAX_TICKS
    }
}
