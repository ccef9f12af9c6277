//! Decides which targets of a domain load which weights, and which groups are reassigned to another
//! model.

use indexmap::IndexMap;

use super::observed::ObservedGroup;
use super::{DomainReconciler, DomainView, TargetFacts, TargetStatus};
use crate::held_weights::HeldWeights;
use crate::id::{GroupId, ModelId, TargetId};
use crate::order::{TargetAction, TargetOrder};
use crate::target::MembershipState;

/// Reason of the order to load other weights that a member of a surplus group gets.
const EXCHANGE: &str = "exchange";

impl<'a> From<&'a TargetFacts> for HeldWeights<'a> {
    /// Returns what a target holds, without what it is loading.
    fn from(facts: &'a TargetFacts) -> Self {
        Self {
            membership: facts.membership.as_ref(),
            model: facts.model.as_ref(),
            staged: &facts.staged,
            loading: None,
        }
    }
}

impl DomainView<'_> {
    /// Returns the model that a target can serve next.
    pub(super) fn next_model(&self, id: &TargetId) -> Option<&ModelId> {
        self.held_weights(id).next_model()
    }

    pub(super) fn held_weights(&self, id: &TargetId) -> HeldWeights<'_> {
        let facts = &self.targets[id];
        HeldWeights {
            loading: self.loading.get(id).filter(|_| facts.is_busy),
            ..facts.into()
        }
    }

    /// Returns whether a target holds a model's weights or will hold them after its current load.
    pub(super) fn will_hold(&self, id: &TargetId, model: &ModelId) -> bool {
        match self.loading.get(id) {
            Some(loading) if self.targets[id].is_busy => loading == model,
            _ => self.targets[id].staged.contains(model),
        }
    }

    /// Returns whether a target can join a group of a model without loading weights.
    pub(super) fn is_ready_for(&self, id: &TargetId, model: &ModelId) -> bool {
        let facts = &self.targets[id];
        !facts.is_busy && facts.staged.contains(model)
    }

    /// Returns whether a target is loading weights on another controller's order.
    fn has_foreign_load(&self, id: &TargetId) -> bool {
        self.targets[id].is_busy && !self.loading.contains_key(id)
    }

    /// Returns whether the domain's layout needs the weights that a target holds.
    fn has_useful_weights(&self, id: &TargetId) -> bool {
        let mut models = self.layout.holders.keys();
        models.any(|model| self.will_hold(id, model))
    }

    pub(super) fn size_of(&self, model: &ModelId) -> usize {
        self.engine
            .models
            .get(model)
            .map_or(0, |model| model.group_size)
    }
}

impl DomainReconciler {
    /// Orders targets to load the weights that the domain lacks: free targets first, then members
    /// of surplus groups.
    ///
    /// A member loads in the background, and its group continues to serve.
    pub(super) fn stage(
        &mut self,
        free: &[TargetId],
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
        orders: &[TargetOrder],
        budget: usize,
    ) -> Vec<TargetOrder> {
        let mut idle: Vec<&TargetId> = free.iter().collect();
        idle.retain(|id| self.kept_for(id).is_none());
        let surplus = self.surplus_groups(groups, view);
        let mut surplus_members: Vec<&TargetId> = surplus.values().flatten().copied().collect();
        surplus_members.retain(|id| !orders.iter().any(|order| order.target == **id));
        let mut staged = Vec::new();
        for (model, holders) in &view.layout.holders {
            let members = view.targets.iter().filter(|(id, facts)| {
                let is_reassigned = facts.membership.as_ref().is_some_and(|membership| {
                    surplus.contains_key(&membership.group)
                        || self.reassigning.contains(&membership.group)
                });
                // Weights staged on a member's host cannot be used while its group remains.
                let usable = if is_reassigned {
                    view.next_model(id)
                } else {
                    facts.model.as_ref()
                };
                facts.membership.is_some() && !free.contains(*id) && usable == Some(model)
            });
            let kept = free.iter().filter(|id| self.kept_for(id) == Some(model));
            let lacking = holders.saturating_sub(members.count() + kept.count());
            let lacking = take_holders(&mut idle, model, lacking, view);
            let mut chosen = take_movable(&mut idle, lacking, view);
            chosen.extend(take_members(
                &mut surplus_members,
                model,
                lacking - chosen.len(),
                view,
            ));
            let staging = chosen.into_iter();
            staged.extend(staging.filter_map(|id| self.stage_order(id, model, view)));
        }
        self.limit_loads(&mut staged, budget);
        for order in staged.iter().filter(|order| order.reason == EXCHANGE) {
            self.note_moving(order, view);
        }
        staged
    }

    fn stage_order(
        &self,
        id: &TargetId,
        model: &ModelId,
        view: &DomainView<'_>,
    ) -> Option<TargetOrder> {
        let is_member = view.targets[id].membership.is_some();
        let action = TargetAction::Stage {
            model: model.clone(),
        };
        let reason = if is_member { EXCHANGE } else { "spare" };
        self.order(id, action, reason, view)
    }

    /// Returns the groups beyond the number that the domain should have, with their members.
    ///
    /// Groups with the most members that already hold other weights come first.
    fn surplus_groups<'a>(
        &self,
        groups: &'a IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
    ) -> IndexMap<&'a GroupId, Vec<&'a TargetId>> {
        let mut surplus = IndexMap::new();
        if view.may_load_on_join {
            // No requests are served yet, and the layout changes with each target that registers.
            return surplus;
        }
        for model in view.engine.models.keys() {
            let of_model = groups.iter().filter(|(id, observed)| {
                let is_staying =
                    !self.dissolving.contains_key(*id) && !self.reassigning.contains(*id);
                observed.model.as_ref() == Some(model) && is_staying && is_serving(observed, view)
            });
            let mut of_model: Vec<(&GroupId, &ObservedGroup)> = of_model.collect();
            let holders = view.layout.holders.get(model).copied().unwrap_or(0);
            let kept = holders / view.size_of(model).max(1);
            let count = of_model.len().saturating_sub(kept);
            let staying = |observed: &ObservedGroup| {
                let members = observed.members.values();
                let staying = members.filter(|id| view.next_model(id) == Some(model));
                staying.count()
            };
            of_model.sort_by_key(|(_, observed)| staying(observed));
            for (id, observed) in of_model.into_iter().take(count) {
                surplus.insert(id, observed.members.values().collect());
            }
        }
        surplus
    }

    /// Reassigns groups whose members, together with free targets, can serve a model that lacks
    /// groups.
    ///
    /// A group is not reassigned while a member is still loading, if no complete group of the other
    /// model would result, or if only a minority of its members holds the other weights.
    pub(super) fn reassign_surplus(
        &mut self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        free: &[TargetId],
        missing: &IndexMap<ModelId, usize>,
        view: &DomainView<'_>,
    ) {
        if missing.values().all(|count| *count == 0) {
            return;
        }
        let surplus = self.surplus_groups(groups, view);
        for (model, _) in missing.iter().filter(|(_, count)| **count > 0) {
            let reassigned = self.reassigning.iter().filter_map(|id| groups.get(id));
            let reassigned = reassigned.flat_map(|observed| observed.members.values());
            let available = free.iter().chain(reassigned);
            let mut ready = available.filter(|id| view.is_ready_for(id, model)).count();
            let mut chosen = Vec::new();
            for (group, members) in &surplus {
                if ready >= view.size_of(model) {
                    break;
                }
                let of_group = members.iter().filter(|id| view.is_ready_for(id, model));
                let of_group = of_group.count();
                let is_loading = members.iter().any(|id| view.targets[*id].is_busy);
                if of_group * 2 >= members.len() && !is_loading {
                    ready += of_group;
                    chosen.push((*group).clone());
                }
            }
            if ready >= view.size_of(model) {
                self.reassigning.extend(chosen);
            }
        }
    }
}

/// Returns whether a group is open and all its members are live.
pub(super) fn is_serving(observed: &ObservedGroup, view: &DomainView<'_>) -> bool {
    let leader = observed.members.get(&0).map(|id| &view.targets[id]);
    let membership = leader.and_then(|facts| facts.membership.as_ref());
    membership.is_some_and(|membership| membership.state == MembershipState::Open)
        && observed
            .members
            .values()
            .all(|id| view.targets[id].status == TargetStatus::Live)
}

/// Removes up to `count` targets that hold or are loading a model's weights from a list, and
/// returns how many are still lacking.
fn take_holders(
    idle: &mut Vec<&TargetId>,
    model: &ModelId,
    count: usize,
    view: &DomainView<'_>,
) -> usize {
    let mut lacking = count;
    idle.retain(|id| {
        let is_holder = view.will_hold(id, model) || view.has_foreign_load(id);
        let is_taken = lacking > 0 && is_holder;
        lacking -= usize::from(is_taken);
        !is_taken
    });
    lacking
}

/// Removes up to `count` targets that can load other weights from a list, preferring those whose
/// weights are not needed.
fn take_movable<'a>(
    idle: &mut Vec<&'a TargetId>,
    count: usize,
    view: &DomainView<'_>,
) -> Vec<&'a TargetId> {
    let mut movable = idle.clone();
    movable.retain(|id| !view.targets[*id].is_busy);
    movable.sort_by_key(|id| view.has_useful_weights(id));
    movable.truncate(count);
    idle.retain(|id| !movable.contains(id));
    movable
}

/// Removes up to `count` members of surplus groups that can load a model's weights from a list.
fn take_members<'a>(
    surplus_members: &mut Vec<&'a TargetId>,
    model: &ModelId,
    count: usize,
    view: &DomainView<'_>,
) -> Vec<&'a TargetId> {
    let can_load = |id: &TargetId| {
        let facts = &view.targets[id];
        let serves = view.next_model(id) == facts.model.as_ref();
        serves && !facts.is_busy && facts.model.as_ref() != Some(model)
    };
    let mut members = surplus_members.clone();
    members.retain(|id| can_load(id));
    members.truncate(count);
    surplus_members.retain(|id| !members.contains(id));
    members
}
