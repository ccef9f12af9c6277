//! Decides which groups to form, repair and dissolve from the state of one zone's fleet.
//!
//! The planner is pure: the controller carries out its steps, and recorded fault sequences can be
//! replayed against it. It never uses a machine that is claimed, unreachable, leaving or in an
//! unknown state. It dissolves a broken group only if that completes another one, because survivors
//! that cannot be used are stranded whether or not their group is dissolved.

use std::time::Duration;

use crate::draft::PlanDraft;
use crate::fleet::{FleetState, PlanStep};
use crate::id::Moment;
use crate::outage_history::OutageHistory;

/// Plans the groups of one zone.
#[derive(Clone, Debug)]
pub struct GroupPlanner {
    /// Past outages of lost machines.
    pub history: OutageHistory,
    /// Time to load weights that a machine does not hold.
    pub load_time: Duration,
    /// Minimum time that a machine must be unreachable before its group is changed.
    pub grace: Duration,
}

impl GroupPlanner {
    /// Creates a planner with an empty history.
    pub fn new(load_time: Duration, grace: Duration) -> Self {
        Self {
            history: OutageHistory::default(),
            load_time,
            grace,
        }
    }

    /// Returns the steps to carry out now, the most urgent first.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    /// use std::time::Duration;
    ///
    /// let planner = GroupPlanner::new(Duration::from_secs(60), Duration::from_secs(1));
    /// assert!(planner.plan(&FleetState::default(), Duration::ZERO).is_empty());
    /// ```
    pub fn plan(&self, fleet: &FleetState, now: Moment) -> Vec<PlanStep> {
        let replacement_delay = self
            .grace
            .max(self.history.replacement_delay(self.load_time));
        let mut draft = PlanDraft::new(fleet, now, replacement_delay, self.grace);
        draft.dissolve_surplus();
        draft.repair_broken();
        draft.form_wanted();
        draft.form_extra();
        draft.preload_spares();
        draft.steps
    }
}
