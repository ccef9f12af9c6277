//! Maintains the replica groups of one fabric domain by sending conditional orders to its targets.
//!
//! Every order names the target's incarnation and the number of orders it has begun. The target
//! therefore arbitrates: of two controllers that saw the same state, one is obeyed and the other
//! has to read the state again, and a delayed order is void once anything else has begun there. A
//! target that restarts under its name counts from zero, so that a delayed order may match its
//! count; delayed joins are then rejected by their epochs, which increase with the store's clock. A
//! successor can act without waiting for a lease to expire.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::{EngineSpec, ModelSpec};
use crate::id::{Epoch, GroupId, Incarnation, ModelId, Moment, TargetId};
use crate::layout::DomainLayout;
use crate::order::{OrderResult, TargetAction, TargetOrder};
use crate::target::{Membership, MembershipState};

mod changeover;
mod observed;
mod pace;
mod staging;

pub use crate::held_weights::HeldWeights;
pub use changeover::{ChangeoverEvent, ChangeoverOutcome};
pub use pace::TargetPace;

use changeover::ChangeoverState;
use observed::{incarnations_suffix, observe_groups, ObservedGroup};

/// Time that members may be missing from a group that another controller is forming.
///
/// A predecessor may have stopped between two join orders; its group is then never completed.
const FORMING_GRACE: Duration = Duration::from_millis(1_500);
/// Time to join again for the model of the previous group, whose weights the engine keeps loaded.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// Minimum time without forming groups after another controller's order came first.
///
/// Two controllers that retry at the same moment would reject each other's orders indefinitely. The
/// time doubles with each consecutive conflict and is randomised per controller.
const MIN_CONFLICT_BACKOFF: Duration = Duration::from_millis(100);
/// Consecutive conflicts after which the backoff stops growing.
const MAX_COUNTED_CONFLICTS: u32 = 4;

/// Availability of a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TargetStatus {
    /// Responds and is not draining.
    Live,
    /// Responds but has asked to leave.
    Draining,
    /// Responds but is no longer listed in the directory; it stays in its group and joins no other.
    Unlisted,
    /// Has not responded lately.
    Silent,
}

/// State of one target as known to its controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetFacts {
    /// Incarnation that the other fields describe.
    pub incarnation: Incarnation,
    /// Availability.
    pub status: TargetStatus,
    /// Membership in a group, if any.
    pub membership: Option<Membership>,
    /// Model of its group.
    pub model: Option<ModelId>,
    /// Models staged on its host.
    pub staged: Vec<ModelId>,
    /// Number of orders it has begun, from the same report as the membership.
    pub sequence: u64,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Highest epoch it is known to have seen.
    pub epoch_seen: Epoch,
    /// Whether its last report is so recent that a restart since then cannot have had any effect
    /// yet.
    pub is_fresh: bool,
    /// Pace that it reports of itself.
    pub pace: TargetPace,
}

/// Input of a planning round: the domain, and limits given by the rest of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// Targets of the domain.
    pub targets: &'a IndexMap<TargetId, TargetFacts>,
    /// Performance figures and models.
    pub engine: &'a EngineSpec,
    /// Planned content of the domain.
    pub layout: &'a DomainLayout,
    /// Weights that targets are loading on orders of this controller.
    pub loading: &'a IndexMap<TargetId, ModelId>,
    /// Number of loads from the weight store that may begin now.
    pub load_budget: usize,
    /// Whether members may load weights while joining.
    ///
    /// Before the first request this is the fastest way to serve. Later, a target that loads for
    /// many seconds would block the other members, which could complete another group immediately;
    /// it loads first and joins when needed.
    pub may_load_on_join: bool,
    /// Minimum epoch of a new group.
    ///
    /// Must exceed the epoch of any order sent before, to any incarnation and by any controller,
    /// even if no target that has seen that epoch is left.
    pub epoch_floor: Epoch,
}

#[derive(Clone, Debug)]
struct FormingGroup {
    epoch: Epoch,
    model: ModelId,
    members: Vec<TargetId>,
    /// Incarnation and order count of each member when it was chosen.
    expected: Vec<(Incarnation, u64)>,
}

/// A controller's state for one domain.
#[derive(Clone, Debug)]
pub struct DomainReconciler {
    name_prefix: String,
    formed_count: u64,
    /// Orders without a result yet.
    in_flight: IndexMap<TargetId, TargetOrder>,
    /// Targets that must report before they get another order.
    awaiting_report: IndexSet<TargetId>,
    forming: IndexMap<GroupId, FormingGroup>,
    /// When each group was first found incomplete; zero if it can no longer be completed.
    incomplete_since: IndexMap<GroupId, Moment>,
    conflicts: u32,
    has_new_conflict: bool,
    backoff_until: Moment,
    /// Groups being dissolved, with their leaders.
    dissolving: IndexMap<GroupId, TargetId>,
    /// Groups being closed because their targets now hold another model's weights.
    reassigning: IndexSet<GroupId>,
    changeover: ChangeoverState,
    /// Groups whose leader has left, so that the other members can be reused.
    released: IndexSet<GroupId>,
    last_model: IndexMap<TargetId, LastModel>,
    /// Targets that must report again before they can be chosen.
    stale_candidates: IndexSet<TargetId>,
    /// Loads that the last plan lacked permits for.
    denied_loads: usize,
}

/// Model of the last group of one incarnation of a target.
#[derive(Clone, Debug)]
struct LastModel {
    incarnation: Incarnation,
    model: ModelId,
}

struct Candidate {
    model: ModelId,
    members: Vec<TargetId>,
    loads: usize,
}

impl DomainReconciler {
    /// Creates a reconciler whose group names begin with `prefix`.
    ///
    /// The prefix must be unique per controller and incarnation. If a name were reused with other
    /// members, a delayed order could put a target into a group it was not chosen for.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            name_prefix: prefix.into(),
            formed_count: 0,
            in_flight: IndexMap::new(),
            awaiting_report: IndexSet::new(),
            forming: IndexMap::new(),
            incomplete_since: IndexMap::new(),
            conflicts: 0,
            has_new_conflict: false,
            backoff_until: Moment::ZERO,
            dissolving: IndexMap::new(),
            reassigning: IndexSet::new(),
            changeover: ChangeoverState::default(),
            released: IndexSet::new(),
            last_model: IndexMap::new(),
            stale_candidates: IndexSet::new(),
            denied_loads: 0,
        }
    }

    /// Returns how many more loads the last plan would have begun with a larger budget.
    pub fn denied_loads(&self) -> usize {
        self.denied_loads
    }

    /// Takes the targets that must report again before they can be chosen.
    pub fn take_stale_candidates(&mut self) -> IndexSet<TargetId> {
        std::mem::take(&mut self.stale_candidates)
    }

    /// Records that a target has reported its state after its last order.
    pub fn note_report(&mut self, target: &str) {
        self.awaiting_report.swap_remove(target);
    }

    /// Processes the result of an order.
    ///
    /// Unless it was clearly accepted, the target must report before it gets another order, so that
    /// the condition of that order is based on its actual state.
    pub fn note_result(&mut self, target: &str, result: OrderResult) {
        let Some(order) = self.in_flight.swap_remove(target) else {
            return;
        };
        let is_accepted = matches!(result, OrderResult::Begun | OrderResult::Held);
        if !is_accepted {
            self.awaiting_report.insert(target.to_owned());
        }
        match order.action {
            // The other members may only be reused once the leader has left.
            TargetAction::Leave { group, .. }
                if is_accepted && self.dissolving.get(&group) == Some(&order.target) =>
            {
                self.released.insert(group);
            }
            // The group cannot be completed without this member, so there is nothing to wait for.
            TargetAction::Join { group, .. } if !is_accepted && result != OrderResult::Lost => {
                self.incomplete_since.insert(group, Moment::ZERO);
                self.has_new_conflict = result == OrderResult::Conflict;
            }
            TargetAction::Open { .. } if is_accepted => self.conflicts = 0,
            _ => {}
        }
    }

    /// Returns the orders to send at `now`.
    pub fn plan(&mut self, view: DomainView<'_>, now: Moment) -> Vec<TargetOrder> {
        self.prune(&view);
        self.denied_loads = 0;
        let groups = self.groups(&view);
        self.note_closing(&groups, &view, now);
        let mut orders = Vec::new();
        for (group, observed) in &groups {
            orders.extend(self.reconcile_group(group, observed, &view, now));
        }
        orders.extend(self.retry_joins(&view, &orders));
        let mut free = self.free_targets(&view, &orders);
        let mut budget = view.load_budget;
        self.back_off(now);
        if now < self.backoff_until {
            free.clear();
        }
        let mut missing = self.missing_groups(&groups, &view);
        while let Some(candidate) = self.next_candidate(&missing, &free, &view, budget) {
            free.retain(|id| !candidate.members.contains(id));
            if let Some(count) = missing.get_mut(&candidate.model) {
                *count -= 1;
            }
            // The last report may be of an earlier incarnation. If a target has restarted under its
            // name since, an order based on that report could take it out of a group that another
            // controller has put it into.
            let members = candidate.members.iter();
            let stale = members.filter(|id| !view.targets[*id].is_fresh);
            let stale: Vec<TargetId> = stale.cloned().collect();
            if stale.is_empty() {
                budget -= candidate.loads;
                orders.extend(self.form(candidate, &view));
            }
            self.stale_candidates.extend(stale);
        }
        self.reassign_surplus(&groups, &free, &missing, &view);
        self.replace_slow_members(&groups, &free, &missing, &view);
        let staged = self.stage(&free, &groups, &view, &orders, budget);
        budget -= staged.len();
        orders.extend(staged);
        let staged = self.stage_standbys(&groups, &view, &orders, budget);
        orders.extend(staged);
        for order in &orders {
            self.in_flight.insert(order.target.clone(), order.clone());
        }
        orders
    }

    /// Leaves out the orders to load beyond the budget, and counts them.
    fn limit_loads(&mut self, staged: &mut Vec<TargetOrder>, budget: usize) {
        self.denied_loads += staged.len().saturating_sub(budget);
        staged.truncate(budget);
    }

    fn back_off(&mut self, now: Moment) {
        if !std::mem::take(&mut self.has_new_conflict) {
            return;
        }
        self.conflicts = (self.conflicts + 1).min(MAX_COUNTED_CONFLICTS);
        let random = xxh3_64(format!("{}-{}", self.name_prefix, self.formed_count).as_bytes());
        let factor = 0.5 + (random % 1_000) as f64 / 1_000.0;
        let backoff = MIN_CONFLICT_BACKOFF * 2_u32.pow(self.conflicts - 1);
        self.backoff_until = now + backoff.mul_f64(factor);
    }

    fn prune(&mut self, view: &DomainView<'_>) {
        let is_known = |id: &TargetId| view.targets.contains_key(id);
        self.in_flight.retain(|id, _| is_known(id));
        self.awaiting_report.retain(is_known);
        self.last_model.retain(|id, _| is_known(id));
        self.changeover.prune(is_known);
        for (id, facts) in view.targets {
            if let (Some(_), Some(model)) = (&facts.membership, &facts.model) {
                let last = LastModel {
                    incarnation: facts.incarnation,
                    model: model.clone(),
                };
                self.last_model.insert(id.clone(), last);
            }
        }
        let reported: IndexSet<&GroupId> = view
            .targets
            .values()
            .filter_map(|facts| {
                facts
                    .membership
                    .as_ref()
                    .map(|membership| &membership.group)
            })
            .collect();
        self.incomplete_since
            .retain(|group, _| reported.contains(group));
        let ordered: IndexSet<GroupId> = self
            .in_flight
            .values()
            .filter_map(|order| order.action.group().cloned())
            .collect();
        self.dissolving.retain(|group, _| reported.contains(group));
        self.reassigning.retain(|group| reported.contains(group));
        self.released.retain(|group| reported.contains(group));
        self.forming
            .retain(|group, _| reported.contains(group) || ordered.contains(group));
    }

    fn groups(&self, view: &DomainView<'_>) -> IndexMap<GroupId, ObservedGroup> {
        let mut groups = observe_groups(view);
        for (group, observed) in &mut groups {
            if let Some(forming) = self.forming.get(group) {
                observed.model = Some(forming.model.clone());
            }
        }
        groups
    }

    fn reconcile_group(
        &mut self,
        group: &GroupId,
        observed: &ObservedGroup,
        view: &DomainView<'_>,
        now: Moment,
    ) -> Vec<TargetOrder> {
        if self.released.contains(group) {
            return Vec::new();
        }
        let leader = observed.members.get(&0);
        let is_leader_silent =
            leader.is_some_and(|id| view.targets[id].status == TargetStatus::Silent);
        let Some(leader) = leader.filter(|_| !is_leader_silent) else {
            // A missing leader may still be joining.
            if !is_leader_silent && self.may_complete(group, now) {
                return Vec::new();
            }
            return self.disband(group, observed, view);
        };
        let Some(membership) = &view.targets[leader].membership else {
            return Vec::new();
        };
        let (epoch, state) = (membership.epoch, membership.state);
        let is_serving = matches!(state, MembershipState::Open | MembershipState::Closing);
        let leave = |reason| {
            let action = TargetAction::Leave {
                group: group.clone(),
                epoch,
            };
            (action, reason)
        };
        let next = if state == MembershipState::Broken {
            Some(leave("head_broken"))
        } else if view.targets[leader].status == TargetStatus::Unlisted {
            // If its members were reused before it has left, a delayed order to open could still
            // reach it.
            Some(leave("head_unlisted"))
        } else if !observed.is_complete(view, is_serving) {
            let is_lost = observed
                .members
                .values()
                .any(|id| view.targets[id].status == TargetStatus::Silent);
            if !is_lost && !is_serving && self.may_complete(group, now) {
                None
            } else {
                Some(leave("member_lost"))
            }
        } else if !observed.has_chosen_incarnations(group, view) {
            Some(leave("member_restarted"))
        } else {
            self.incomplete_since.swap_remove(group);
            self.next_action(group, observed, view, now)
        };
        if let Some((TargetAction::Leave { .. }, _)) = &next {
            self.dissolving.insert(group.clone(), leader.clone());
        }
        next.and_then(|(action, reason)| self.order(leader, action, reason, view))
            .into_iter()
            .collect()
    }

    fn next_action(
        &self,
        group: &GroupId,
        observed: &ObservedGroup,
        view: &DomainView<'_>,
        now: Moment,
    ) -> Option<(TargetAction, &'static str)> {
        let leader = &view.targets[observed.members.get(&0)?];
        let Membership { epoch, state, .. } = *leader.membership.as_ref()?;
        let is_reassigned = self.reassigning.contains(group);
        let is_close_overdue = self.changeover.is_close_overdue(group, now);
        let reason = self.changeover.reason(group);
        let group = group.clone();
        let is_draining = observed
            .members
            .values()
            .any(|id| view.targets[id].status == TargetStatus::Draining);
        let are_ready = observed.members.iter().all(|(rank, id)| {
            let membership = view.targets[id].membership.as_ref();
            *rank == 0
                || membership.is_some_and(|membership| membership.state == MembershipState::Ready)
        });
        match (state, is_draining) {
            (MembershipState::Open, true) => {
                Some((TargetAction::Close { group, epoch }, "member_draining"))
            }
            (MembershipState::Ready | MembershipState::Joining, true) => {
                Some((TargetAction::Leave { group, epoch }, "member_draining"))
            }
            (MembershipState::Open, false) if is_reassigned => {
                let reason = self.closing_reason(observed, view).unwrap_or(reason);
                Some((TargetAction::Close { group, epoch }, reason))
            }
            (MembershipState::Ready, false) if is_reassigned => {
                let reason = self.closing_reason(observed, view).unwrap_or(reason);
                Some((TargetAction::Leave { group, epoch }, reason))
            }
            (MembershipState::Closing, _) if is_reassigned && is_close_overdue => {
                Some((TargetAction::Leave { group, epoch }, reason))
            }
            (MembershipState::Ready, false) if are_ready => {
                Some((TargetAction::Open { group, epoch }, "all_ready"))
            }
            _ => None,
        }
    }

    /// Repeats join orders that got no response and, according to the target's report, not
    /// executed.
    ///
    /// The same order with the same condition is executed at most once, and only if nothing else
    /// has begun at the target since. With a newer condition it could return a target to a group it
    /// was ordered to leave and whose other members have already been reused.
    fn retry_joins(&self, view: &DomainView<'_>, orders: &[TargetOrder]) -> Vec<TargetOrder> {
        let mut retries = Vec::new();
        for (group, forming) in &self.forming {
            let cannot_complete = self.incomplete_since.get(group) == Some(&Moment::ZERO);
            let is_ending = self.released.contains(group) || self.dissolving.contains_key(group);
            if cannot_complete || is_ending {
                continue;
            }
            let due = forming.orders(group, "join_again").filter(|order| {
                let facts = view.targets.get(&order.target);
                let is_unchanged = facts.is_some_and(|facts| {
                    let membership = facts.membership.as_ref();
                    facts.status == TargetStatus::Live
                        && facts.incarnation == order.incarnation
                        && facts.sequence == order.expected
                        && membership.is_none_or(|membership| membership.group != *group)
                });
                is_unchanged
                    && !self.in_flight.contains_key(&order.target)
                    && !self.awaiting_report.contains(&order.target)
                    && !orders.iter().any(|other| other.target == order.target)
            });
            retries.extend(due);
        }
        retries
    }

    /// Returns whether an incomplete group may still be completed.
    fn may_complete(&mut self, group: &GroupId, now: Moment) -> bool {
        let is_ordered = self
            .in_flight
            .values()
            .any(|order| order.action.group() == Some(group));
        let since = *self.incomplete_since.entry(group.clone()).or_insert(now);
        is_ordered || now < since + FORMING_GRACE
    }

    /// Orders all members to leave a group whose leader is unreachable.
    ///
    /// If they were ordered to join another group right away, a leader that is merely cut off would
    /// still count them as members. Once one of them has left, that leader cannot do any work.
    fn disband(
        &mut self,
        group: &GroupId,
        observed: &ObservedGroup,
        view: &DomainView<'_>,
    ) -> Vec<TargetOrder> {
        let mut orders = Vec::new();
        for id in observed.members.values() {
            let facts = &view.targets[id];
            let Some(membership) = facts.membership.as_ref() else {
                continue;
            };
            if facts.status == TargetStatus::Silent {
                continue;
            }
            let action = TargetAction::Leave {
                group: group.clone(),
                epoch: membership.epoch,
            };
            orders.extend(self.order(id, action, "head_lost", view));
        }
        orders
    }

    fn order(
        &self,
        target: &TargetId,
        action: TargetAction,
        reason: &'static str,
        view: &DomainView<'_>,
    ) -> Option<TargetOrder> {
        if self.in_flight.contains_key(target) || self.awaiting_report.contains(target) {
            return None;
        }
        Some(TargetOrder {
            target: target.clone(),
            incarnation: view.targets[target].incarnation,
            expected: view.targets[target].sequence,
            action,
            reason,
        })
    }

    fn free_targets(&self, view: &DomainView<'_>, orders: &[TargetOrder]) -> Vec<TargetId> {
        let is_free = |id: &TargetId, facts: &TargetFacts| {
            let is_available = match &facts.membership {
                None => true,
                Some(membership) => {
                    self.released.contains(&membership.group) && membership.rank != 0
                }
            };
            is_available
                && facts.status == TargetStatus::Live
                && !self.in_flight.contains_key(id)
                && !self.awaiting_report.contains(id)
                && !orders.iter().any(|order| order.target == *id)
        };
        let free = view.targets.iter().filter(|(id, facts)| is_free(id, facts));
        free.map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many groups of each model the domain lacks.
    fn missing_groups(
        &self,
        groups: &IndexMap<GroupId, ObservedGroup>,
        view: &DomainView<'_>,
    ) -> IndexMap<ModelId, usize> {
        let is_staying = |group: &GroupId| {
            !self.released.contains(group)
                && !self.dissolving.contains_key(group)
                && !self.reassigning.contains(group)
        };
        let lacking = view.layout.holders.iter().map(|(model, holders)| {
            let size = view
                .engine
                .models
                .get(model)
                .map_or(1, |model| model.group_size);
            let existing = groups.iter().filter(|(group, observed)| {
                observed.model.as_ref() == Some(model) && is_staying(group)
            });
            let count = holders / size.max(1);
            (model.clone(), count.saturating_sub(existing.count()))
        });
        lacking.collect()
    }

    fn next_candidate(
        &self,
        missing: &IndexMap<ModelId, usize>,
        free: &[TargetId],
        view: &DomainView<'_>,
        budget: usize,
    ) -> Option<Candidate> {
        let lacking = missing.iter().filter(|(_, count)| **count > 0);
        let mut models = lacking.filter_map(|(id, _)| view.engine.models.get(id));
        models.find_map(|model| self.candidate(model, free, view, budget))
    }

    /// Chooses the members of the next group of a model, preferring those that can serve soonest.
    fn candidate(
        &self,
        model: &ModelSpec,
        free: &[TargetId],
        view: &DomainView<'_>,
        budget: usize,
    ) -> Option<Candidate> {
        // A target that is loading would make the rest of its group wait.
        let idle = free.iter().filter(|id| !view.targets[*id].is_busy);
        let mut ranked: Vec<(Duration, &TargetId)> = idle
            .map(|id| (self.join_time(id, model, view), id))
            .collect();
        if ranked.len() < model.group_size || model.group_size == 0 {
            return None;
        }
        // Targets with another model's weights come last: that model needs them, even if they could
        // join sooner.
        ranked.sort_by_key(|(time, id)| {
            let is_other = self.counted_model(id, view) != Some(&model.id);
            (is_other, view.targets[*id].pace.is_slow(), *time)
        });
        ranked.truncate(model.group_size);
        let loading = ranked.iter().filter(|(time, _)| *time >= model.load_time);
        let loads = loading.count();
        let is_allowed = loads == 0 || (view.may_load_on_join && loads <= budget);
        is_allowed.then(|| Candidate {
            model: model.id.clone(),
            members: ranked.into_iter().map(|(_, id)| id.clone()).collect(),
            loads,
        })
    }

    fn join_time(&self, id: &TargetId, model: &ModelSpec, view: &DomainView<'_>) -> Duration {
        let facts = &view.targets[id];
        let last = self.last_model.get(id);
        let is_last = last
            .is_some_and(|last| last.incarnation == facts.incarnation && last.model == model.id);
        if is_last {
            REJOIN_TIME
        } else if facts.staged.contains(&model.id) {
            model.warmup
        } else {
            model.load_time
        }
    }

    fn form(&mut self, candidate: Candidate, view: &DomainView<'_>) -> Vec<TargetOrder> {
        self.formed_count += 1;
        let incarnations = candidate.members.iter();
        let incarnations = incarnations.map(|id| (id, view.targets[id].incarnation));
        let group = format!(
            "{}-{}-{}",
            self.name_prefix,
            self.formed_count,
            incarnations_suffix(incarnations)
        );
        let epochs = view.targets.values().map(|facts| facts.epoch_seen);
        let epoch = (epochs.max().unwrap_or(0) + 1).max(view.epoch_floor);
        let expected = candidate.members.iter().map(|id| {
            let facts = &view.targets[id];
            (facts.incarnation, facts.sequence)
        });
        let forming = FormingGroup {
            epoch,
            model: candidate.model,
            expected: expected.collect(),
            members: candidate.members,
        };
        let orders = forming.orders(&group, "form").collect();
        self.forming.insert(group, forming);
        orders
    }
}

impl FormingGroup {
    fn orders<'a>(
        &'a self,
        group: &'a GroupId,
        reason: &'static str,
    ) -> impl Iterator<Item = TargetOrder> + 'a {
        let members = self.members.iter().zip(&self.expected);
        members.map(move |(id, (incarnation, expected))| TargetOrder {
            target: id.clone(),
            incarnation: *incarnation,
            expected: *expected,
            action: TargetAction::Join {
                group: group.clone(),
                epoch: self.epoch,
                model: self.model.clone(),
                members: self.members.clone(),
            },
            reason,
        })
    }
}
