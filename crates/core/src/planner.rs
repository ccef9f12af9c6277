//! Which groups to form, mend and dissolve, decided from the state of one zone's fleet.
//!
//! The planner is pure: the controller carries its steps out, and a replay of fault sequences
//! measures it. It never touches a machine that is claimed, unseen, leaving or in an unknown state,
//! and it dissolves a group only to complete another one, because survivors that help nobody are
//! stranded whether their group is dissolved or not.

use std::time::Duration;

use crate::draft::PlanDraft;
use crate::fleet::{FleetState, PlanStep};
use crate::id::Moment;
use crate::outage_history::OutageHistory;

/// Plans one zone's groups.
#[derive(Clone, Debug)]
pub struct GroupPlanner {
    /// How long lost machines took to come back.
    pub history: OutageHistory,
    /// Time a machine takes to load weights it does not hold.
    pub load_time: Duration,
    /// Shortest time a machine must be unseen before its group is changed.
    pub grace: Duration,
}

impl GroupPlanner {
    /// Opens a planner that has seen nothing yet.
    pub fn open(load_time: Duration, grace: Duration) -> Self {
        Self {
            history: OutageHistory::default(),
            load_time,
            grace,
        }
    }

    /// Returns the steps to take now, the most urgent first.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    /// use std::time::Duration;
    ///
    /// let planner = GroupPlanner::open(Duration::from_secs(60), Duration::from_secs(1));
    /// assert!(planner.plan(&FleetState::default(), Duration::ZERO).is_empty());
    /// ```
    pub fn plan(&self, fleet: &FleetState, now: Moment) -> Vec<PlanStep> {
        let patience = self
            .grace
            .max(self.history.replacement_delay(self.load_time));
        let mut draft = PlanDraft::open(fleet, now, patience, self.grace);
        draft.drop_unwanted();
        draft.mend_broken();
        draft.form_wanted();
        draft.form_extra();
        draft.preload_spares();
        draft.steps
    }
}
