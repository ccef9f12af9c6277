//! Carries out a domain's part of the changeover plan: standbys stage another model's weights, and
//! groups close so that their targets can join groups of that model.
//!
//! A group that changes over is closed, its leader leaves once its streams have ended or been given
//! up, and its members then count for the other model, whose groups they form as after a loss. A
//! successor that finds the group closed opens it again; one that finds its targets free forms
//! groups of the model whose weights they hold.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::observed::ObservedGroup;
use super::staging::is_serving;
use super::{DomainReconciler, DomainView, TargetFacts, TargetStatus};
use crate::changeover::{
    DomainChangeover, GroupTransfer, StandbyShare, CHANGEOVER_INTERVAL, CLOSE_LIMIT,
};
use crate::held_weights::HeldWeights;
use crate::id::{GroupId, ModelId, Moment, TargetId};
use crate::order::{TargetAction, TargetOrder};
use crate::target::MembershipState;

/// Time for which a free standby is kept for the model of its last group.
///
/// Its engine still has that model loaded. A group that lost a member forms again within this time
/// if the domain has a target to replace it.
const FREE_STANDBY_TIME: Duration = Duration::from_secs(3);
/// Time after which a changeover is no longer followed; its targets then form what they can.
const CHANGEOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// How a changeover ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ChangeoverOutcome {
    /// Targets of the group serve the other model.
    Completed,
    /// The group opened again.
    Undone,
    /// No group of the other model has opened in time.
    TimedOut,
}

impl ChangeoverOutcome {
    /// Returns the name used in logs.
    ///
    /// ```
    /// use briarswitch_core::assembly::ChangeoverOutcome;
    ///
    /// assert_eq!(ChangeoverOutcome::TimedOut.name(), "timed_out");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Undone => "undone",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Progress of one changeover, for logs and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeoverEvent {
    /// Group that changes over.
    pub group: GroupId,
    /// Model that it served.
    pub from: ModelId,
    /// Model that its targets are to serve.
    pub to: ModelId,
    /// Number of its targets.
    pub targets: usize,
    /// How it ended and how long it took; `None` if it has begun.
    pub end: Option<(ChangeoverOutcome, Duration)>,
}

/// A group that is changing over.
#[derive(Clone, Debug)]
struct ActiveChangeover {
    from: ModelId,
    to: ModelId,
    members: Vec<TargetId>,
    begun: Moment,
    /// When it was first seen closing.
    closing_since: Option<Moment>,
}

/// A target that holds other weights than those of the model that it serves.
#[derive(Clone, Debug, Default)]
struct Standby {
    /// Since when it has had no group.
    free_since: Option<Moment>,
}

/// Changeovers and standbys of one domain.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeoverState {
    /// The domain's part of the plan; `None` if groups do not change over.
    plan: Option<DomainChangeover>,
    active: IndexMap<GroupId, ActiveChangeover>,
    standbys: IndexMap<TargetId, Standby>,
    /// Members that were ordered to load other weights because their group is surplus.
    moving: IndexSet<TargetId>,
    events: Vec<ChangeoverEvent>,
}

impl ChangeoverState {
    /// Returns whether the group's streams have had enough time to end.
    pub(super) fn is_close_overdue(&self, group: &str, now: Moment) -> bool {
        let since = self
            .active
            .get(group)
            .and_then(|active| active.closing_since);
        since.is_some_and(|since| now >= since + CLOSE_LIMIT)
    }

    /// Returns why a reassigned group is closed, for the logs.
    pub(super) fn reason(&self, group: &str) -> &'static str {
        if self.active.contains_key(group) {
            "changeover"
        } else {
            "exchanged"
        }
    }

    /// Forgets targets that are gone.
    pub(super) fn prune(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.standbys.retain(|id, _| is_known(id));
        self.moving.retain(is_known);
    }

    fn end(&mut self, group: &GroupId, outcome: ChangeoverOutcome, now: Moment) {
        if let Some(active) = self.active.shift_remove(group) {
            let took = now.saturating_sub(active.begun);
            let end = Some((outcome, took));
            self.events.push(active.event(group, end));
        }
    }
}

impl ActiveChangeover {
    fn event(
        &self,
        group: &GroupId,
        end: Option<(ChangeoverOutcome, Duration)>,
    ) -> ChangeoverEvent {
        ChangeoverEvent {
            group: group.clone(),
            from: self.from.clone(),
            to: self.to.clone(),
            targets: self.members.len(),
            end,
        }
    }

    /// Returns whether an open group of the other model has targets of the group.
    fn is_completed(
        &self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
    ) -> bool {
        groups.values().any(|observed| {
            let mut members = observed.members.values();
            observed.model.as_ref() == Some(&self.to)
                && leader_state(observed, view) == Some(MembershipState::Open)
                && members.any(|id| self.members.contains(id))
        })
    }

    /// Returns whether a target is still on its way from the group to the other model.
    fn is_on_way(&self, group: &GroupId, facts: &TargetFacts) -> bool {
        let membership = facts.membership.as_ref();
        membership.is_none_or(|membership| membership.group == *group)
    }
}

impl DomainReconciler {
    /// Lets members of a group hold another model's weights as standbys.
    ///
    /// Otherwise, weights staged on a member's host mean that the member is about to move to their
    /// model.
    pub fn enable_changeovers(&mut self) {
        self.changeover.plan.get_or_insert_default();
    }

    /// Begins the transfers of the domain's part of the changeover plan, and adopts its standbys.
    ///
    /// Must be called before the layout is planned: the layout counts the targets of a group that
    /// changes over for the other model.
    pub fn begin_changeovers(
        &mut self,
        mut plan: DomainChangeover,
        view: DomainView<'_>,
        now: Moment,
    ) {
        let groups = self.groups(&view);
        let transfers = std::mem::take(&mut plan.transfers);
        self.changeover.plan = Some(plan);
        self.end_changeovers(&groups, &view, now);
        for transfer in &transfers {
            self.begin_transfer(transfer, &groups, &view, now);
        }
        self.update_standbys(&view, now);
    }

    /// Takes the changeovers that have begun or ended since the last call.
    pub fn take_changeover_events(&mut self) -> Vec<ChangeoverEvent> {
        std::mem::take(&mut self.changeover.events)
    }

    /// Returns the weights of a target as they count in the inventory.
    ///
    /// A standby counts for the model that it serves, and for a short time after its group was lost
    /// for the one that it served.
    pub fn counted_weights<'a>(
        &'a self,
        id: &TargetId,
        facts: &'a TargetFacts,
        loading: Option<&'a ModelId>,
    ) -> HeldWeights<'a> {
        let held = HeldWeights {
            loading,
            ..facts.into()
        };
        if self.is_standby(id, held) {
            return HeldWeights {
                staged: &[],
                loading: None,
                ..held
            };
        }
        let kept_for = self.kept_for(id).filter(|_| held.membership.is_none());
        match kept_for {
            Some(model) => HeldWeights {
                staged: std::slice::from_ref(model),
                loading: None,
                ..held
            },
            None => held,
        }
    }

    /// Returns the members of groups that change over and have not left yet.
    ///
    /// Their reports are needed soon: the leader's shows when its streams have ended, and members
    /// can be chosen only by recent ones.
    pub fn changing_targets(&self) -> impl Iterator<Item = &TargetId> {
        let active = self.changeover.active.iter();
        let active = active.filter(|(group, _)| self.reassigning.contains(*group));
        active.flat_map(|(_, active)| &active.members)
    }

    /// Returns the model to which a target without an open group is moving.
    pub fn arriving_model(&self, id: &TargetId, facts: &TargetFacts) -> Option<&ModelId> {
        let mut active = self.changeover.active.iter();
        let active = active
            .find(|(group, active)| active.members.contains(id) && active.is_on_way(group, facts));
        if let Some((_, active)) = active {
            return Some(&active.to);
        }
        self.kept_for(id).filter(|_| facts.membership.is_none())
    }

    /// Returns the model for which a target without a group counts.
    pub(super) fn counted_model<'a>(
        &'a self,
        id: &TargetId,
        view: &'a DomainView<'_>,
    ) -> Option<&'a ModelId> {
        self.kept_for(id).or_else(|| view.next_model(id))
    }

    /// Returns the model for which a free target is kept although it holds other weights.
    pub(super) fn kept_for(&self, id: &TargetId) -> Option<&ModelId> {
        let last = self.last_model.get(id);
        let last = last.filter(|_| self.changeover.standbys.contains_key(id));
        last.map(|last| &last.model)
    }

    /// Records that a member of a surplus group is ordered to load other weights.
    ///
    /// Those members of its group that hold these weights already are about to move with it.
    pub(super) fn note_moving(&mut self, order: &TargetOrder, view: &DomainView<'_>) {
        let TargetAction::Stage { model } = &order.action else {
            return;
        };
        if self.changeover.plan.is_none() {
            return;
        }
        let group_of = |id: &TargetId| {
            let membership = view.targets.get(id)?.membership.as_ref();
            membership.map(|membership| &membership.group)
        };
        let group = group_of(&order.target);
        let with_it = view.targets.keys().filter(|id| {
            **id == order.target || (group_of(id) == group && view.will_hold(id, model))
        });
        self.changeover.moving.extend(with_it.cloned());
    }

    /// Records which groups that change over are closing.
    pub(super) fn note_closing(
        &mut self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
        now: Moment,
    ) {
        for (group, active) in &mut self.changeover.active {
            let state = groups
                .get(group)
                .and_then(|group| leader_state(group, view));
            if state == Some(MembershipState::Closing) {
                active.closing_since.get_or_insert(now);
            }
        }
    }

    fn end_changeovers(
        &mut self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
        now: Moment,
    ) {
        let active = self.changeover.active.iter();
        let ended = active.filter_map(|(group, active)| {
            let state = groups
                .get(group)
                .and_then(|group| leader_state(group, view));
            let is_open = state == Some(MembershipState::Open);
            let outcome = if is_open && active.closing_since.is_some() {
                ChangeoverOutcome::Undone
            } else if active.is_completed(groups, view) {
                ChangeoverOutcome::Completed
            } else if now >= active.begun + CHANGEOVER_TIMEOUT {
                ChangeoverOutcome::TimedOut
            } else {
                return None;
            };
            Some((group.clone(), outcome))
        });
        let ended: Vec<(GroupId, ChangeoverOutcome)> = ended.collect();
        for (group, outcome) in ended {
            self.reassigning.swap_remove(&group);
            self.changeover.end(&group, outcome, now);
        }
    }

    fn update_standbys(&mut self, view: &DomainView<'_>, now: Moment) {
        let mut standbys = std::mem::take(&mut self.changeover.standbys);
        self.changeover.moving.retain(|id| {
            let facts = view.targets.get(id);
            facts.is_some_and(|facts| facts.membership.is_some())
        });
        for (id, facts) in view.targets {
            if self.is_standby(id, view.held_weights(id)) {
                standbys.insert(id.clone(), Standby::default());
                continue;
            }
            let last = self.last_model.get(id);
            let is_kept = standbys.get_mut(id).is_some_and(|standby| {
                let since = *standby.free_since.get_or_insert(now);
                let is_same = last.is_some_and(|last| last.incarnation == facts.incarnation);
                facts.membership.is_none() && is_same && now < since + FREE_STANDBY_TIME
            });
            if !is_kept {
                standbys.swap_remove(id);
            }
        }
        for active in self.changeover.active.values() {
            standbys.retain(|id, _| !active.members.contains(id));
        }
        self.changeover.standbys = standbys;
    }

    /// Returns whether a member of a group that stays holds or loads another model's weights.
    ///
    /// This does not depend on earlier rounds, so that a successor does not take the standbys that
    /// it finds for targets that are about to move.
    fn is_standby(&self, id: &TargetId, held: HeldWeights<'_>) -> bool {
        let (Some(membership), Some(model)) = (held.membership, held.model) else {
            return false;
        };
        self.changeover.plan.is_some()
            && membership.state != MembershipState::Joining
            && !self.reassigning.contains(&membership.group)
            && !self.changeover.moving.contains(id)
            && held.next_model().is_some_and(|next| next != model)
    }

    /// Begins a transfer with groups that are open, prepared and old enough.
    fn begin_transfer(
        &mut self,
        transfer: &GroupTransfer,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
        now: Moment,
    ) {
        let able = groups
            .iter()
            .filter(|(group, observed)| self.may_change_over(group, observed, transfer, view));
        // The oldest groups first, so that the same ones do not change over again and again.
        let mut able: Vec<(&GroupId, &ObservedGroup)> = able.collect();
        able.sort_by_key(|(_, observed)| observed.epoch);
        for (group, observed) in able.into_iter().take(transfer.groups) {
            self.begin_changeover(group, observed, transfer, now);
        }
    }

    fn begin_changeover(
        &mut self,
        group: &GroupId,
        observed: &ObservedGroup,
        transfer: &GroupTransfer,
        now: Moment,
    ) {
        let members: Vec<TargetId> = observed.members.values().cloned().collect();
        let state = &mut self.changeover;
        state.standbys.retain(|id, _| !members.contains(id));
        let active = ActiveChangeover {
            from: transfer.from.clone(),
            to: transfer.to.clone(),
            members,
            begun: now,
            closing_since: None,
        };
        state.events.push(active.event(group, None));
        state.active.insert(group.clone(), active);
        self.reassigning.insert(group.clone());
    }

    fn may_change_over(
        &self,
        group: &GroupId,
        observed: &ObservedGroup,
        transfer: &GroupTransfer,
        view: &DomainView<'_>,
    ) -> bool {
        let is_staying = !self.dissolving.contains_key(group) && !self.reassigning.contains(group);
        is_staying
            && observed.model.as_ref() == Some(&transfer.from)
            && group_age(observed, view) >= CHANGEOVER_INTERVAL
            && is_serving(observed, view)
            && observed.is_complete(view, true)
            && observed
                .members
                .values()
                .all(|id| view.is_ready_for(id, &transfer.to))
    }

    /// Orders members of spare groups to load the weights that they prepare.
    pub(super) fn stage_standbys(
        &mut self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
        orders: &[TargetOrder],
        budget: usize,
    ) -> Vec<TargetOrder> {
        let Some(plan) = &self.changeover.plan else {
            return Vec::new();
        };
        let in_progress = self.changeover.standbys.keys();
        let in_progress = in_progress.filter(|id| view.targets[*id].is_busy).count();
        let limit = plan.loads.saturating_sub(in_progress);
        let mut staged = Vec::new();
        for share in &plan.standbys {
            let chosen = self.members_to_prepare(share, plan.loads, groups, view);
            let chosen = chosen.filter(|id| !orders.iter().any(|order| order.target == **id));
            let action = TargetAction::Stage {
                model: share.prepares.clone(),
            };
            staged.extend(chosen.filter_map(|id| self.order(id, action.clone(), "standby", view)));
        }
        staged.truncate(limit);
        self.limit_loads(&mut staged, budget);
        for order in &staged {
            self.changeover.moving.swap_remove(&order.target);
        }
        staged
    }

    /// Returns the members of spare groups that have to load, those of the groups closest to being
    /// prepared first.
    fn members_to_prepare<'a>(
        &self,
        share: &StandbyShare,
        loads: usize,
        groups: &'a IndexMap<GroupId, ObservedGroup>,
        view: &'a DomainView<'_>,
    ) -> impl Iterator<Item = &'a TargetId> {
        let prepares = share.prepares.clone();
        let lacking = |observed: &ObservedGroup| {
            let members = observed.members.values();
            members
                .filter(|id| !view.will_hold(id, &share.prepares))
                .count()
        };
        let of_model = groups.iter().filter(|(group, observed)| {
            observed.model.as_ref() == Some(&share.serves)
                && !self.dissolving.contains_key(*group)
                && !self.reassigning.contains(*group)
                && is_serving(observed, view)
        });
        let mut of_model: Vec<&ObservedGroup> = of_model.map(|(_, observed)| observed).collect();
        of_model.sort_by_key(|observed| (lacking(observed), observed.epoch));
        of_model.truncate(share.groups);
        of_model.retain(|observed| lacking(observed) > 0);
        let at_a_time = loads.div_ceil(view.size_of(&share.serves).max(1));
        let members = of_model.into_iter().take(at_a_time);
        let members = members.flat_map(|observed| observed.members.values());
        members.filter(move |id| !view.will_hold(id, &prepares) && !view.targets[*id].is_busy)
    }
}

fn leader_state(observed: &ObservedGroup, view: &DomainView<'_>) -> Option<MembershipState> {
    let facts = &view.targets[observed.members.get(&0)?];
    let is_known = facts.status != TargetStatus::Silent;
    let membership = facts.membership.as_ref().filter(|_| is_known);
    membership.map(|membership| membership.state)
}

/// Returns the time since a group was formed: epochs are milliseconds of the store's clock.
fn group_age(observed: &ObservedGroup, view: &DomainView<'_>) -> Duration {
    Duration::from_millis(view.epoch_floor.saturating_sub(observed.epoch))
}
