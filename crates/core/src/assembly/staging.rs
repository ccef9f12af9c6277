//! Which targets of a domain load which weights, and which groups are given up for another model's.

use indexmap::IndexMap;

use super::seen::SeenGroup;
use super::{DomainKeeper, DomainView, TargetStanding};
use crate::id::{GroupId, ModelId, TargetId};
use crate::order::{TargetAction, TargetOrder};
use crate::target::{Membership, MembershipState};

/// What is known of the weights at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldWeights<'a> {
    /// Its group.
    pub membership: Option<&'a Membership>,
    /// Model of its group.
    pub model: Option<&'a ModelId>,
    /// Models on its host.
    pub staged: &'a [ModelId],
    /// Model that it is loading.
    pub loading: Option<&'a ModelId>,
}

impl<'a> HeldWeights<'a> {
    /// Returns the model that the target can serve next: the one it loads or has on its host, or else its group's.
    ///
    /// A member that has another model's weights on its host is on its way to that model. One that is still
    /// joining brings its group's weights to its host by that.
    ///
    /// ```
    /// use briarswitch_core::assembly::HeldWeights;
    ///
    /// let staged = ["large".to_owned()];
    /// let small = "small".to_owned();
    /// let held = HeldWeights { staged: &staged, ..HeldWeights::default() };
    /// assert_eq!(held.next_model(), Some(&staged[0]));
    /// let loading = HeldWeights { loading: Some(&small), ..held };
    /// assert_eq!(loading.next_model(), Some(&small));
    /// ```
    pub fn next_model(&self) -> Option<&'a ModelId> {
        let state = self.membership.map(|held| held.state);
        let member = self.model.filter(|_| state.is_some());
        if state == Some(MembershipState::Joining) && member.is_some() {
            return member;
        }
        self.loading.or(self.staged.last()).or(member)
    }
}

impl DomainView<'_> {
    /// Returns the model that a target can serve next.
    pub(super) fn next_model(&self, id: &TargetId) -> Option<&ModelId> {
        let facts = &self.targets[id];
        let held = HeldWeights {
            membership: facts.membership.as_ref(),
            model: facts.model.as_ref(),
            staged: &facts.staged,
            loading: self.loading.get(id).filter(|_| facts.is_busy),
        };
        held.next_model()
    }

    /// Returns whether a target holds a model's weights, or will when it has loaded.
    fn will_hold(&self, id: &TargetId, model: &ModelId) -> bool {
        match self.loading.get(id) {
            Some(loading) if self.targets[id].is_busy => loading == model,
            _ => self.targets[id].staged.contains(model),
        }
    }

    /// Returns whether a target can join a group of a model without a load.
    fn is_ready_for(&self, id: &TargetId, model: &ModelId) -> bool {
        let facts = &self.targets[id];
        !facts.is_busy && facts.staged.contains(model)
    }

    /// Returns whether a target loads weights that somebody else ordered.
    fn is_loading_unknown(&self, id: &TargetId) -> bool {
        self.targets[id].is_busy && !self.loading.contains_key(id)
    }

    /// Returns whether a target's weights are of use in the domain as it should be.
    fn is_of_use(&self, id: &TargetId) -> bool {
        let mut models = self.layout.holders.keys();
        models.any(|model| self.will_hold(id, model))
    }

    fn size_of(&self, model: &ModelId) -> usize {
        self.engine
            .models
            .get(model)
            .map_or(0, |model| model.group_size)
    }
}

impl DomainKeeper {
    /// Has targets load the weights that the domain lacks: free ones, then members of groups beyond need.
    ///
    /// A member loads beside its work, and its group goes on serving.
    pub(super) fn stage(
        &self,
        free: &[TargetId],
        groups: &IndexMap<GroupId, SeenGroup>,
        view: &DomainView<'_>,
        orders: &[TargetOrder],
        budget: usize,
    ) -> Vec<TargetOrder> {
        let mut idle: Vec<&TargetId> = free.iter().collect();
        let given = self.givers(groups, view);
        let mut givers: Vec<&TargetId> = given.values().flatten().copied().collect();
        givers.retain(|id| !orders.iter().any(|order| order.target == **id));
        let mut staged = Vec::new();
        for (model, holders) in &view.layout.holders {
            let members = view.targets.iter().filter(|(id, facts)| {
                let is_given = facts.membership.as_ref().is_some_and(|held| {
                    given.contains_key(&held.group) || self.giving.contains(&held.group)
                });
                // The weights on a member's host are of no use while its group stays.
                let held = if is_given {
                    view.next_model(id)
                } else {
                    facts.model.as_ref()
                };
                facts.membership.is_some() && !free.contains(*id) && held == Some(model)
            });
            let lacking = holders.saturating_sub(members.count());
            let lacking = take_holders(&mut idle, model, lacking, view);
            let mut chosen = take_movable(&mut idle, lacking, view);
            chosen.extend(take_members(
                &mut givers,
                model,
                lacking - chosen.len(),
                view,
            ));
            let staging = chosen.into_iter();
            staged.extend(staging.filter_map(|id| self.stage_order(id, model, view)));
        }
        staged.truncate(budget);
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
        let reason = if is_member { "exchange" } else { "spare" };
        self.order(id, action, reason, view)
    }

    /// Returns the groups beyond those that the domain should hold, with their members.
    ///
    /// Those go first of which most members have other weights already.
    fn givers<'a>(
        &self,
        groups: &'a IndexMap<GroupId, SeenGroup>,
        view: &DomainView<'_>,
    ) -> IndexMap<&'a GroupId, Vec<&'a TargetId>> {
        let mut givers = IndexMap::new();
        if view.joins_load {
            // Nobody is served yet, and what the domain should hold changes with each target that registers.
            return givers;
        }
        for model in view.engine.models.keys() {
            let of_model = groups.iter().filter(|(id, seen)| {
                let is_staying = !self.dissolving.contains_key(*id) && !self.giving.contains(*id);
                seen.model.as_ref() == Some(model) && is_staying && is_at_work(seen, view)
            });
            let mut of_model: Vec<(&GroupId, &SeenGroup)> = of_model.collect();
            let holders = view.layout.holders.get(model).copied().unwrap_or(0);
            let kept = holders / view.size_of(model).max(1);
            let surplus = of_model.len().saturating_sub(kept);
            let staying = |seen: &SeenGroup| {
                let members = seen.members.values();
                let staying = members.filter(|id| view.next_model(id) == Some(model));
                staying.count()
            };
            of_model.sort_by_key(|(_, seen)| staying(seen));
            for (id, seen) in of_model.into_iter().take(surplus) {
                givers.insert(id, seen.members.values().collect());
            }
        }
        givers
    }

    /// Gives up groups whose members, with the free targets, can serve a model that lacks groups.
    ///
    /// No group is given up while a member is still loading, for less than a whole group of the other model, or for
    /// the few of its members that happen to have other weights.
    pub(super) fn give_up(
        &mut self,
        groups: &IndexMap<GroupId, SeenGroup>,
        free: &[TargetId],
        wanted: &IndexMap<ModelId, usize>,
        view: &DomainView<'_>,
    ) {
        if wanted.values().all(|count| *count == 0) {
            return;
        }
        let givers = self.givers(groups, view);
        for (model, _) in wanted.iter().filter(|(_, count)| **count > 0) {
            let given = self.giving.iter().filter_map(|id| groups.get(id));
            let given = given.flat_map(|seen| seen.members.values());
            let coming = free.iter().chain(given);
            let mut ready = coming.filter(|id| view.is_ready_for(id, model)).count();
            let mut chosen = Vec::new();
            for (group, members) in &givers {
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
                self.giving.extend(chosen);
            }
        }
    }
}

/// Returns whether a group is open and all its members can be counted on.
fn is_at_work(seen: &SeenGroup, view: &DomainView<'_>) -> bool {
    let head = seen.members.get(&0).map(|id| &view.targets[id]);
    let held = head.and_then(|facts| facts.membership.as_ref());
    held.is_some_and(|held| held.state == MembershipState::Open)
        && seen
            .members
            .values()
            .all(|id| view.targets[id].standing == TargetStanding::Live)
}

/// Takes up to `count` targets that hold a model's weights or load them out of a list; returns how many lack.
fn take_holders(
    idle: &mut Vec<&TargetId>,
    model: &ModelId,
    count: usize,
    view: &DomainView<'_>,
) -> usize {
    let mut lacking = count;
    idle.retain(|id| {
        let is_holder = view.will_hold(id, model) || view.is_loading_unknown(id);
        let is_taken = lacking > 0 && is_holder;
        lacking -= usize::from(is_taken);
        !is_taken
    });
    lacking
}

/// Takes up to `count` targets out of a list to load other weights, those first whose own are of no use.
fn take_movable<'a>(
    idle: &mut Vec<&'a TargetId>,
    count: usize,
    view: &DomainView<'_>,
) -> Vec<&'a TargetId> {
    let mut movable = idle.clone();
    movable.retain(|id| !view.targets[*id].is_busy);
    movable.sort_by_key(|id| view.is_of_use(id));
    movable.truncate(count);
    idle.retain(|id| !movable.contains(id));
    movable
}

/// Takes up to `count` members of groups beyond need out of a list to load a model's weights.
fn take_members<'a>(
    givers: &mut Vec<&'a TargetId>,
    model: &ModelId,
    count: usize,
    view: &DomainView<'_>,
) -> Vec<&'a TargetId> {
    let can_load = |id: &TargetId| {
        let facts = &view.targets[id];
        let serves = view.next_model(id) == facts.model.as_ref();
        serves && !facts.is_busy && facts.model.as_ref() != Some(model)
    };
    let mut members = givers.clone();
    members.retain(|id| can_load(id));
    members.truncate(count);
    givers.retain(|id| !members.contains(id));
    members
}
