//! Decides which spare groups stage another model's weights.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::supply::group_size;
use super::{ChangeoverDraft, DomainDraft};
use crate::id::{DomainId, ModelId};

/// Share of the concurrent loads that standbys may use while no model lacks groups.
///
/// Replacements of lost targets need the others at once.
const STANDBY_LOAD_SHARE: f64 = 0.25;
/// Share of the concurrent loads that may be used for a model that lacks groups now.
const SHORTAGE_LOAD_SHARE: f64 = 0.6;

/// Groups of one domain whose members hold or should stage another model's weights.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StandbyShare {
    /// Model that they serve.
    pub serves: ModelId,
    /// Model whose weights they prepare.
    pub prepares: ModelId,
    /// Number of groups, including those that are prepared.
    pub groups: usize,
}

/// Which domains prepare how many spare groups as standbys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StandbyPlan {
    /// Standbys of each domain.
    pub shares: IndexMap<DomainId, Vec<StandbyShare>>,
    /// Number of loads for standbys that may be in progress in a domain; none in other domains.
    ///
    /// Groups are prepared one after the other, because a group with only half of its members
    /// prepared cannot change over.
    pub loads: IndexMap<DomainId, usize>,
}

/// Spare groups of one model, and the model that they prepare for.
struct SpareGroups<'a> {
    serves: &'a ModelId,
    prepares: &'a ModelId,
    count: usize,
}

/// A group that is to be prepared.
struct QueuedGroup<'a> {
    domain: &'a DomainId,
    serves: &'a ModelId,
    /// Whether some of its members hold the weights.
    is_begun: bool,
}

/// Groups of one domain that could prepare.
struct UnpreparedGroups<'a> {
    domain: &'a DomainId,
    count: usize,
    /// Most members of one of them that already hold the weights.
    progress: usize,
}

impl<'a> ChangeoverDraft<'a> {
    /// Plans the standbys with the groups that remain after the transfers.
    pub(super) fn plan_standbys(&self) -> StandbyPlan {
        let mut spares: Vec<SpareGroups<'a>> = self
            .models
            .iter()
            .filter_map(|model| self.spares(model))
            .collect();
        spares.sort_by(|left, right| {
            let coverage = |spare: &SpareGroups<'a>| self.coverage(spare.prepares);
            coverage(left).total_cmp(&coverage(right))
        });
        let mut plan = StandbyPlan::default();
        let mut queue = Vec::new();
        for spare in &spares {
            queue.extend(self.allocate(spare, &mut plan));
        }
        // One that has begun goes on, whatever the coverage of the models is now.
        queue.sort_by_key(|queued| !queued.is_begun);
        self.allot_loads(&queue, &mut plan);
        plan
    }

    /// Returns the spare groups of a model; they prepare for the model with the least coverage.
    fn spares(&self, serves: &'a ModelId) -> Option<SpareGroups<'a>> {
        let count = self.spare_groups(serves);
        let others = self.models.iter().filter(|model| **model != serves);
        let prepares =
            others.min_by(|left, right| self.coverage(left).total_cmp(&self.coverage(right)))?;
        let is_spare = count > 0 && !self.short.contains(serves);
        is_spare.then_some(SpareGroups {
            serves,
            prepares,
            count,
        })
    }

    /// Allocates the spare groups of a model to domains: first those that are prepared.
    ///
    /// Returns the others in the order in which they are to be prepared.
    fn allocate(&self, spare: &SpareGroups<'a>, plan: &mut StandbyPlan) -> Vec<QueuedGroup<'a>> {
        let mut left = spare.count;
        let mut unprepared = Vec::new();
        for domain in &self.domains {
            let prepared = domain.prepared_groups(spare, self).min(left);
            left -= prepared;
            plan.add(&domain.supply.domain, spare, prepared);
            let rest = domain.unprepared(spare, self);
            unprepared.extend((rest.count > 0).then_some(rest));
        }
        let mut queue = Vec::new();
        for _ in 0..left {
            let next = unprepared.iter_mut().max_by_key(|rest| {
                let order = Reverse(rest.domain);
                (rest.count > 0, rest.progress, rest.count, order)
            });
            let Some(next) = next.filter(|rest| rest.count > 0) else {
                break;
            };
            plan.add(next.domain, spare, 1);
            queue.push(QueuedGroup {
                domain: next.domain,
                serves: spare.serves,
                is_begun: next.progress > 0,
            });
            next.count -= 1;
            next.progress = 0;
        }
        queue
    }

    /// Lets the first groups of the queue load: one of them, or as many as fit the limit while a
    /// model lacks groups.
    fn allot_loads(&self, queue: &[QueuedGroup<'a>], plan: &mut StandbyPlan) {
        let engine = self.params.engine;
        let is_short = !self.short.is_empty();
        let share = if is_short {
            SHORTAGE_LOAD_SHARE
        } else {
            STANDBY_LOAD_SHARE
        };
        let limit = (engine.parallel_loads as f64 * share) as usize;
        let mut left = limit.max(1);
        let count = if is_short { queue.len() } else { 1 };
        for queued in queue.iter().take(count) {
            let loads = group_size(engine, queued.serves).min(left);
            if loads == 0 {
                return;
            }
            *plan.loads.entry(queued.domain.clone()).or_insert(0) += loads;
            left -= loads;
        }
    }
}

impl StandbyPlan {
    fn add(&mut self, domain: &DomainId, spare: &SpareGroups<'_>, groups: usize) {
        if groups == 0 {
            return;
        }
        let shares = self.shares.entry(domain.clone()).or_default();
        let mut same = shares.iter_mut();
        let same =
            same.find(|share| share.serves == *spare.serves && share.prepares == *spare.prepares);
        match same {
            Some(share) => share.groups += groups,
            None => shares.push(StandbyShare {
                serves: spare.serves.clone(),
                prepares: spare.prepares.clone(),
                groups,
            }),
        }
    }
}

impl<'a> DomainDraft<'a> {
    /// Returns the open groups whose members all hold the weights, whatever their age.
    fn prepared_groups(&self, spare: &SpareGroups<'a>, draft: &ChangeoverDraft<'a>) -> usize {
        let of_model = self.supply.groups.iter();
        let of_model = of_model.filter(|group| group.model == *spare.serves);
        let prepared =
            of_model.filter(|group| group.is_prepared_for(spare.prepares, draft.params.engine));
        prepared.count().min(self.open_of(spare.serves))
    }

    fn unprepared(
        &self,
        spare: &SpareGroups<'a>,
        draft: &ChangeoverDraft<'a>,
    ) -> UnpreparedGroups<'a> {
        let engine = draft.params.engine;
        let of_model = self.supply.groups.iter();
        let of_model = of_model.filter(|group| group.model == *spare.serves);
        let others = of_model.filter(|group| !group.is_prepared_for(spare.prepares, engine));
        let progress = others.map(|group| group.prepared_members(spare.prepares));
        let prepared = self.prepared_groups(spare, draft);
        UnpreparedGroups {
            domain: &self.supply.domain,
            count: self.open_of(spare.serves) - prepared,
            progress: progress.max().unwrap_or(0),
        }
    }
}
