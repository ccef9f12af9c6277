//! Groups with a slow member, which are closed and formed again without it.

use indexmap::IndexMap;

use super::observed::ObservedGroup;
use super::{DomainReconciler, DomainView, TargetStatus};
use crate::id::{GroupId, ModelId, TargetId};
use crate::speed::{SpeedRatio, REPORT_FACTOR, SLOW_FACTOR};
use crate::target::MembershipState;

/// Consecutive reports of a slow pace after which a member is replaced.
///
/// Closing a group costs its callers more than one slow pass, which a single report may show.
const MIN_SLOW_REPORTS: u32 = 2;

/// Pace that a target reports of itself: by how much it takes longer than at its normal speed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetPace {
    latest: Option<SpeedRatio>,
    /// Consecutive reports of a slow pace, the latest included.
    slow_reports: u32,
}

impl TargetPace {
    /// Records a report; returns whether the pace is normal again after it was slow.
    ///
    /// ```
    /// use briarswitch_core::assembly::TargetPace;
    /// use briarswitch_core::speed::SpeedRatio;
    ///
    /// let mut pace = TargetPace::default();
    /// assert!(!pace.record(Some(SpeedRatio::nearest(4.0))));
    /// assert!(!pace.is_slow());
    /// assert!(!pace.record(Some(SpeedRatio::nearest(4.0))));
    /// assert!(pace.is_slow());
    /// assert!(pace.record(Some(SpeedRatio::nearest(1.0))));
    /// ```
    pub fn record(&mut self, pace: Option<SpeedRatio>) -> bool {
        let was_slow = is_beyond(self.latest, REPORT_FACTOR);
        self.latest = pace;
        self.slow_reports = if is_beyond(pace, SLOW_FACTOR) {
            self.slow_reports.saturating_add(1)
        } else {
            0
        };
        was_slow && pace.is_some() && !is_beyond(pace, REPORT_FACTOR)
    }

    /// Returns whether the target has reported a slow pace often enough to be replaced.
    pub fn is_slow(&self) -> bool {
        self.slow_reports >= MIN_SLOW_REPORTS
    }

    /// Returns whether the latest report says that the pace is normal, or says nothing of it.
    pub fn is_normal(&self) -> bool {
        !is_beyond(self.latest, REPORT_FACTOR)
    }
}

fn is_beyond(pace: Option<SpeedRatio>, factor: f64) -> bool {
    pace.is_some_and(|pace| pace.value() > factor)
}

impl DomainReconciler {
    /// Marks a group with slow members to be closed and formed again, if free targets can take their places.
    ///
    /// Without such targets the group remains: a slow group serves more than none. One group at a time, since its
    /// callers use the others of the domain meanwhile.
    pub(super) fn replace_slow_members(
        &mut self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        free: &[TargetId],
        missing: &IndexMap<ModelId, usize>,
        view: &DomainView<'_>,
    ) {
        // Members of a group that has ended are in it until they join another one.
        let mut closing = self.reassigning.difference(&self.released);
        if view.may_load_on_join || closing.next().is_some() {
            return;
        }
        for (group, observed) in groups {
            let is_ending = self.dissolving.contains_key(group) || self.released.contains(group);
            let Some(model) = observed.model.as_ref().filter(|_| !is_ending) else {
                continue;
            };
            let slow = slow_members(observed, view);
            if slow == 0 || missing.get(model) != Some(&0) || !is_open(observed, view) {
                continue;
            }
            let replacements = free.iter().filter(|id| can_replace(id, model, view));
            let replacements: Vec<&TargetId> = replacements.take(slow).collect();
            if replacements.len() < slow {
                continue;
            }
            // The last report may be of a target that has gone since.
            let stale = replacements
                .iter()
                .filter(|id| !view.targets[**id].is_fresh);
            let stale: Vec<TargetId> = stale.map(|id| (*id).clone()).collect();
            if stale.is_empty() {
                self.reassigning.insert(group.clone());
            }
            self.stale_candidates.extend(stale);
            return;
        }
    }

    /// Returns the reason for closing a group, for the logs; `None` if none of its members is slow.
    pub(super) fn closing_reason(
        &self,
        observed: &ObservedGroup,
        view: &DomainView<'_>,
    ) -> Option<&'static str> {
        (slow_members(observed, view) > 0).then_some("member_slow")
    }
}

fn slow_members(observed: &ObservedGroup, view: &DomainView<'_>) -> usize {
    let members = observed.members.values();
    members
        .filter(|id| view.targets[*id].pace.is_slow())
        .count()
}

/// Returns whether a free target can join a group of a model at once and is chosen before a slow one.
fn can_replace(id: &TargetId, model: &ModelId, view: &DomainView<'_>) -> bool {
    let facts = &view.targets[id];
    facts.status == TargetStatus::Live
        && facts.pace.is_normal()
        && !facts.is_busy
        && facts.staged.contains(model)
        && view.next_model(id) == Some(model)
}

fn is_open(observed: &ObservedGroup, view: &DomainView<'_>) -> bool {
    let leader = observed.members.get(&0).map(|id| &view.targets[id]);
    let membership = leader.and_then(|facts| facts.membership.as_ref());
    membership.is_some_and(|membership| membership.state == MembershipState::Open)
}
