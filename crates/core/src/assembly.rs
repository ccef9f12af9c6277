//! Keeps the replica groups of one fabric domain whole, by conditional orders to targets.
//!
//! Every order names the life of the target and the count of orders it has begun. The target is
//! therefore the arbiter: of two controllers that saw the same state one is obeyed and the other is
//! told to look again, and an order that arrives late is void once anything else has begun there.
//! A target that restarts under its name counts anew, so that a late order may find the count it
//! expects; orders to join are then barred by their epochs, which rise with the store's clock.
//! No lease has to be waited out before a successor acts.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::{EngineSpec, ModelSpec};
use crate::id::{Epoch, GroupId, Incarnation, ModelId, Moment, TargetId};
use crate::layout::DomainLayout;
use crate::order::{OrderResult, TargetAction, TargetOrder};
use crate::target::{Membership, MembershipState};

mod seen;
mod staging;

pub use staging::HeldWeights;

use seen::{lives_mark, seen_groups, SeenGroup};

/// Time that members may be missing from a group that is being formed by somebody else.
///
/// A predecessor may have died between two orders to join; what it began is finished by nobody.
const FORMING_GRACE: Duration = Duration::from_millis(1_500);
/// Time to join again for the model of the last group; engines keep its weights in place.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// Shortest time for which no group is formed after another controller came first.
///
/// Two controllers that begin again at the same moment refuse each other's orders for ever. The time
/// doubles with each conflict in a row and is drawn differently by each.
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);
/// Conflicts in a row after which the pause grows no more.
const LONGEST_BACKOFF: u32 = 4;

/// Whether a target can be counted on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TargetStanding {
    /// Answers, and asked for nothing else.
    Live,
    /// Answers, and wants to leave.
    Draining,
    /// Answers, though the directory lists it no more; it stays in its group and joins no other.
    Unlisted,
    /// Has not answered lately.
    Silent,
}

/// One target as its controller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetFacts {
    /// Life that the other facts are of.
    pub incarnation: Incarnation,
    /// Whether it can be counted on.
    pub standing: TargetStanding,
    /// Its group.
    pub membership: Option<Membership>,
    /// Model of its group.
    pub model: Option<ModelId>,
    /// Models on its host.
    pub staged: Vec<ModelId>,
    /// Orders it has begun, as of the same report as the membership.
    pub sequence: u64,
    /// Whether an order is under way there.
    pub is_busy: bool,
    /// Highest epoch it is known to have seen.
    pub epoch_seen: Epoch,
    /// Whether it has reported so lately that nothing can have come of a restart since.
    pub is_fresh: bool,
}

/// What the planner is told of the domain and of the rest of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// Targets of the domain.
    pub targets: &'a IndexMap<TargetId, TargetFacts>,
    /// Speeds and models.
    pub engine: &'a EngineSpec,
    /// What the domain should hold.
    pub layout: &'a DomainLayout,
    /// Weights that targets are loading, as far as this controller ordered it.
    pub loading: &'a IndexMap<TargetId, ModelId>,
    /// Loads from the weight store that may begin now.
    pub load_budget: usize,
    /// Whether members may load while they join.
    ///
    /// Before the first caller that is the soonest way to serve. Later a target that loads for many
    /// seconds would bind the others of its group, which could complete another one at once; it
    /// loads first, and joins when it is needed.
    pub joins_load: bool,
    /// Least epoch of a new group.
    ///
    /// It has to be higher than that of any order sent before, to whichever life and by whichever
    /// controller, also where nobody is left who has seen that order's epoch.
    pub epoch_floor: Epoch,
}

#[derive(Clone, Debug)]
struct FormingGroup {
    epoch: Epoch,
    model: ModelId,
    members: Vec<TargetId>,
    /// Life of each member and the orders that it had begun when it was chosen.
    expected: Vec<(Incarnation, u64)>,
}

/// The controller's memory of one domain.
#[derive(Clone, Debug)]
pub struct DomainKeeper {
    prefix: String,
    count: u64,
    in_flight: IndexMap<TargetId, TargetOrder>,
    unsure: IndexSet<TargetId>,
    forming: IndexMap<GroupId, FormingGroup>,
    incomplete: IndexMap<GroupId, Moment>,
    conflicts: u32,
    is_conflict_new: bool,
    paused_until: Moment,
    dissolving: IndexMap<GroupId, TargetId>,
    /// Groups that are being closed because their targets hold another model's weights by now.
    giving: IndexSet<GroupId>,
    released: IndexSet<GroupId>,
    last_model: IndexMap<TargetId, LastModel>,
    doubtful: IndexSet<TargetId>,
}

/// Model of the last group that a life of a target was in.
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

impl DomainKeeper {
    /// Opens a keeper whose group names begin with `prefix`.
    ///
    /// The prefix has to differ between controllers and between the lives of one: a name used twice
    /// with other members would let a late order put a target into a group it was not chosen for.
    pub fn open(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            count: 0,
            in_flight: IndexMap::new(),
            unsure: IndexSet::new(),
            forming: IndexMap::new(),
            incomplete: IndexMap::new(),
            conflicts: 0,
            is_conflict_new: false,
            paused_until: Moment::ZERO,
            dissolving: IndexMap::new(),
            giving: IndexSet::new(),
            released: IndexSet::new(),
            last_model: IndexMap::new(),
            doubtful: IndexSet::new(),
        }
    }

    /// Returns the targets that have to report before they can be chosen, each once.
    pub fn take_doubtful(&mut self) -> IndexSet<TargetId> {
        std::mem::take(&mut self.doubtful)
    }

    /// Takes in that a target was asked for its state after its last order.
    pub fn note_report(&mut self, target: &str) {
        self.unsure.swap_remove(target);
    }

    /// Takes in what became of an order.
    ///
    /// After anything but a clear acceptance the target has to report before it is ordered again,
    /// so that the next order's condition rests on what it says and not on a guess.
    pub fn note_result(&mut self, target: &str, result: OrderResult) {
        let Some(order) = self.in_flight.swap_remove(target) else {
            return;
        };
        let is_accepted = matches!(result, OrderResult::Begun | OrderResult::Held);
        if !is_accepted {
            self.unsure.insert(target.to_owned());
        }
        match order.action {
            // Only when the first member has left can the others be taken as they are.
            TargetAction::Leave { group, .. }
                if is_accepted && self.dissolving.get(&group) == Some(&order.target) =>
            {
                self.released.insert(group);
            }
            // Without this member the group can not become whole; there is nothing to wait for.
            TargetAction::Join { group, .. } if !is_accepted && result != OrderResult::Lost => {
                self.incomplete.insert(group, Moment::ZERO);
                self.is_conflict_new = result == OrderResult::Conflict;
            }
            TargetAction::Open { .. } if is_accepted => self.conflicts = 0,
            _ => {}
        }
    }

    /// Returns the orders to send at `now`.
    pub fn plan(&mut self, view: DomainView<'_>, now: Moment) -> Vec<TargetOrder> {
        self.forget_gone(&view);
        let groups = self.groups(&view);
        let mut orders = Vec::new();
        for (group, seen) in &groups {
            orders.extend(self.tend(group, seen, &view, now));
        }
        orders.extend(self.join_again(&view, &orders));
        let mut free = self.free(&view, &orders);
        let mut budget = view.load_budget;
        self.back_off(now);
        if now < self.paused_until {
            free.clear();
        }
        let mut wanted = self.wanted(&groups, &view);
        while let Some(candidate) = self.next_candidate(&wanted, &free, &view, budget) {
            free.retain(|id| !candidate.members.contains(id));
            if let Some(count) = wanted.get_mut(&candidate.model) {
                *count -= 1;
            }
            // Chosen by what an ended life last said, a target that restarted under its name could be
            // taken out of the group that another controller has since put it into.
            let members = candidate.members.iter();
            let stale = members.filter(|id| !view.targets[*id].is_fresh);
            let stale: Vec<TargetId> = stale.cloned().collect();
            if stale.is_empty() {
                budget -= candidate.loads;
                orders.extend(self.form(candidate, &view));
            }
            self.doubtful.extend(stale);
        }
        self.give_up(&groups, &free, &wanted, &view);
        let staged = self.stage(&free, &groups, &view, &orders, budget);
        orders.extend(staged);
        for order in &orders {
            self.in_flight.insert(order.target.clone(), order.clone());
        }
        orders
    }

    fn back_off(&mut self, now: Moment) {
        if !std::mem::take(&mut self.is_conflict_new) {
            return;
        }
        self.conflicts = (self.conflicts + 1).min(LONGEST_BACKOFF);
        let draw = xxh3_64(format!("{}-{}", self.prefix, self.count).as_bytes());
        let share = 0.5 + (draw % 1_000) as f64 / 1_000.0;
        let pause = CONFLICT_PAUSE * 2_u32.pow(self.conflicts - 1);
        self.paused_until = now + pause.mul_f64(share);
    }

    fn forget_gone(&mut self, view: &DomainView<'_>) {
        let is_there = |id: &TargetId| view.targets.contains_key(id);
        self.in_flight.retain(|id, _| is_there(id));
        self.unsure.retain(is_there);
        self.last_model.retain(|id, _| is_there(id));
        for (id, facts) in view.targets {
            if let (Some(_), Some(model)) = (&facts.membership, &facts.model) {
                let last = LastModel {
                    incarnation: facts.incarnation,
                    model: model.clone(),
                };
                self.last_model.insert(id.clone(), last);
            }
        }
        let named: IndexSet<&GroupId> = view
            .targets
            .values()
            .filter_map(|facts| facts.membership.as_ref().map(|held| &held.group))
            .collect();
        self.incomplete.retain(|group, _| named.contains(group));
        let ordered: IndexSet<GroupId> = self
            .in_flight
            .values()
            .filter_map(|order| order.action.group().cloned())
            .collect();
        self.dissolving.retain(|group, _| named.contains(group));
        self.giving.retain(|group| named.contains(group));
        self.released.retain(|group| named.contains(group));
        self.forming
            .retain(|group, _| named.contains(group) || ordered.contains(group));
    }

    fn groups(&self, view: &DomainView<'_>) -> IndexMap<GroupId, SeenGroup> {
        let mut groups = seen_groups(view);
        for (group, seen) in &mut groups {
            if let Some(forming) = self.forming.get(group) {
                seen.model = Some(forming.model.clone());
            }
        }
        groups
    }

    fn tend(
        &mut self,
        group: &GroupId,
        seen: &SeenGroup,
        view: &DomainView<'_>,
        now: Moment,
    ) -> Vec<TargetOrder> {
        if self.released.contains(group) {
            return Vec::new();
        }
        let head = seen.members.get(&0);
        let is_head_silent =
            head.is_some_and(|id| view.targets[id].standing == TargetStanding::Silent);
        let Some(head) = head.filter(|_| !is_head_silent) else {
            // A first member that is not there may still be joining.
            if !is_head_silent && self.is_awaited(group, now) {
                return Vec::new();
            }
            return self.abandon(group, seen, view);
        };
        let Some(held) = &view.targets[head].membership else {
            return Vec::new();
        };
        let (epoch, state) = (held.epoch, held.state);
        let is_served = matches!(state, MembershipState::Open | MembershipState::Closing);
        let leave = |reason| {
            let action = TargetAction::Leave {
                group: group.clone(),
                epoch,
            };
            (action, reason)
        };
        let next = if state == MembershipState::Broken {
            Some(leave("head_broken"))
        } else if view.targets[head].standing == TargetStanding::Unlisted {
            // Were its members taken without its word, an order to open that is held up could still reach it.
            Some(leave("head_unlisted"))
        } else if !seen.is_whole(view, is_served) {
            let is_lost = seen
                .members
                .values()
                .any(|id| view.targets[id].standing == TargetStanding::Silent);
            if !is_lost && !is_served && self.is_awaited(group, now) {
                None
            } else {
                Some(leave("member_lost"))
            }
        } else if !seen.are_lives_chosen(group, view) {
            Some(leave("member_restarted"))
        } else {
            self.incomplete.swap_remove(group);
            self.tend_whole(group, seen, view, state, epoch)
        };
        if let Some((TargetAction::Leave { .. }, _)) = &next {
            self.dissolving.insert(group.clone(), head.clone());
        }
        next.and_then(|(action, reason)| self.order(head, action, reason, view))
            .into_iter()
            .collect()
    }

    fn tend_whole(
        &self,
        group: &GroupId,
        seen: &SeenGroup,
        view: &DomainView<'_>,
        state: MembershipState,
        epoch: Epoch,
    ) -> Option<(TargetAction, &'static str)> {
        let is_given = self.giving.contains(group);
        let group = group.clone();
        let is_draining = seen
            .members
            .values()
            .any(|id| view.targets[id].standing == TargetStanding::Draining);
        let are_ready = seen.members.iter().all(|(rank, id)| {
            let held = view.targets[id].membership.as_ref();
            *rank == 0 || held.is_some_and(|held| held.state == MembershipState::Ready)
        });
        match (state, is_draining) {
            (MembershipState::Open, true) => {
                Some((TargetAction::Close { group, epoch }, "member_draining"))
            }
            (MembershipState::Ready | MembershipState::Joining, true) => {
                Some((TargetAction::Leave { group, epoch }, "member_draining"))
            }
            (MembershipState::Open, false) if is_given => {
                Some((TargetAction::Close { group, epoch }, "exchanged"))
            }
            (MembershipState::Ready, false) if is_given => {
                Some((TargetAction::Leave { group, epoch }, "exchanged"))
            }
            (MembershipState::Ready, false) if are_ready => {
                Some((TargetAction::Open { group, epoch }, "all_ready"))
            }
            _ => None,
        }
    }

    /// Repeats orders to join that were not answered and, by the target's report, not carried out.
    ///
    /// The same order on the same condition takes effect at most once, and only if nothing else has
    /// begun at the target since. On a newer condition it could bring a target back into a group that
    /// it was ordered out of, whose other members are already taken.
    fn join_again(&self, view: &DomainView<'_>, orders: &[TargetOrder]) -> Vec<TargetOrder> {
        let mut again = Vec::new();
        for (group, forming) in &self.forming {
            let is_given_up = self.incomplete.get(group) == Some(&Moment::ZERO);
            let is_ending = self.released.contains(group) || self.dissolving.contains_key(group);
            if is_given_up || is_ending {
                continue;
            }
            let due = forming.orders(group, "join_again").filter(|order| {
                let facts = view.targets.get(&order.target);
                let is_unmoved = facts.is_some_and(|facts| {
                    let held = facts.membership.as_ref();
                    facts.standing == TargetStanding::Live
                        && facts.incarnation == order.incarnation
                        && facts.sequence == order.expected
                        && held.is_none_or(|held| held.group != *group)
                });
                is_unmoved
                    && !self.in_flight.contains_key(&order.target)
                    && !self.unsure.contains(&order.target)
                    && !orders.iter().any(|other| other.target == order.target)
            });
            again.extend(due);
        }
        again
    }

    /// Returns whether a group that is not whole may still become so.
    fn is_awaited(&mut self, group: &GroupId, now: Moment) -> bool {
        let is_ordered = self
            .in_flight
            .values()
            .any(|order| order.action.group() == Some(group));
        let since = *self.incomplete.entry(group.clone()).or_insert(now);
        is_ordered || now < since + FORMING_GRACE
    }

    /// Orders every member out of a group whose first member can not be asked.
    ///
    /// Were they told to join elsewhere at once, a first member that is only out of reach would
    /// still count them as its own. Once one of them has left, that first member can do no work.
    fn abandon(
        &mut self,
        group: &GroupId,
        seen: &SeenGroup,
        view: &DomainView<'_>,
    ) -> Vec<TargetOrder> {
        let mut orders = Vec::new();
        for id in seen.members.values() {
            let facts = &view.targets[id];
            let Some(held) = facts.membership.as_ref() else {
                continue;
            };
            if facts.standing == TargetStanding::Silent {
                continue;
            }
            let action = TargetAction::Leave {
                group: group.clone(),
                epoch: held.epoch,
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
        if self.in_flight.contains_key(target) || self.unsure.contains(target) {
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

    fn free(&self, view: &DomainView<'_>, orders: &[TargetOrder]) -> Vec<TargetId> {
        let is_free = |id: &TargetId, facts: &TargetFacts| {
            let is_out = match &facts.membership {
                None => true,
                Some(held) => self.released.contains(&held.group) && held.rank != 0,
            };
            is_out
                && facts.standing == TargetStanding::Live
                && !self.in_flight.contains_key(id)
                && !self.unsure.contains(id)
                && !orders.iter().any(|order| order.target == *id)
        };
        let free = view.targets.iter().filter(|(id, facts)| is_free(id, facts));
        free.map(|(id, _)| id.clone()).collect()
    }

    /// Returns how many groups of each model the domain lacks.
    fn wanted(
        &self,
        groups: &IndexMap<GroupId, SeenGroup>,
        view: &DomainView<'_>,
    ) -> IndexMap<ModelId, usize> {
        let is_staying = |group: &GroupId| {
            !self.released.contains(group)
                && !self.dissolving.contains_key(group)
                && !self.giving.contains(group)
        };
        let lacking = view.layout.holders.iter().map(|(model, holders)| {
            let size = view
                .engine
                .models
                .get(model)
                .map_or(1, |model| model.group_size);
            let held = groups
                .iter()
                .filter(|(group, seen)| seen.model.as_ref() == Some(model) && is_staying(group));
            let count = holders / size.max(1);
            (model.clone(), count.saturating_sub(held.count()))
        });
        lacking.collect()
    }

    fn next_candidate(
        &self,
        wanted: &IndexMap<ModelId, usize>,
        free: &[TargetId],
        view: &DomainView<'_>,
        budget: usize,
    ) -> Option<Candidate> {
        let lacking = wanted.iter().filter(|(_, count)| **count > 0);
        let mut models = lacking.filter_map(|(id, _)| view.engine.models.get(id));
        models.find_map(|model| self.candidate(model, free, view, budget))
    }

    /// Returns the members of the next group of a model, those first that can serve soonest.
    fn candidate(
        &self,
        model: &ModelSpec,
        free: &[TargetId],
        view: &DomainView<'_>,
        budget: usize,
    ) -> Option<Candidate> {
        // One that is loading would keep the others of its group waiting.
        let idle = free.iter().filter(|id| !view.targets[*id].is_busy);
        let mut ranked: Vec<(Duration, &TargetId)> = idle
            .map(|id| (self.join_time(id, model, view), id))
            .collect();
        if ranked.len() < model.group_size || model.group_size == 0 {
            return None;
        }
        // One that has another model's weights would be missing there, though it could join soonest.
        ranked.sort_by_key(|(time, id)| (view.next_model(id) != Some(&model.id), *time));
        ranked.truncate(model.group_size);
        let loading = ranked.iter().filter(|(time, _)| *time >= model.load_time);
        let loads = loading.count();
        let is_allowed = loads == 0 || (view.joins_load && loads <= budget);
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
        self.count += 1;
        let lives = candidate.members.iter();
        let lives = lives.map(|id| (id, view.targets[id].incarnation));
        let group = format!("{}-{}-{}", self.prefix, self.count, lives_mark(lives));
        let seen = view.targets.values().map(|facts| facts.epoch_seen);
        let epoch = (seen.max().unwrap_or(0) + 1).max(view.epoch_floor);
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
