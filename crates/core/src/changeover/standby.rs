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

/// Groups of one domain that are to be prepared together.
struct QueuedGroups<'a> {
    domain: &'a DomainId,
    targets: usize,
    /// Whether some of their members hold the weights.
    is_begun: bool,
}

/// Groups of one domain that could prepare.
struct UnpreparedGroups<'a> {
    domain: &'a DomainId,
    count: usize,
    /// Number of them that complete a group of the other model.
    lacking: usize,
    /// Members that already hold the weights towards that group.
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
        let is_spare = count > 0 && !self.short.contains_key(serves);
        is_spare.then_some(SpareGroups {
            serves,
            prepares,
            count,
        })
    }

    /// Allocates the spare groups of a model to domains: first those that are prepared.
    ///
    /// Returns the others in the order in which they are to be prepared.
    fn allocate(&self, spare: &SpareGroups<'a>, plan: &mut StandbyPlan) -> Vec<QueuedGroups<'a>> {
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
        while let Some(next) = unprepared
            .iter_mut()
            .filter(|rest| rest.count >= rest.lacking && rest.lacking <= left)
            .max_by_key(|rest| (rest.progress, rest.count, Reverse(rest.domain)))
        {
            plan.add(next.domain, spare, next.lacking);
            queue.push(QueuedGroups {
                domain: next.domain,
                targets: next.lacking * group_size(self.params.engine, spare.serves),
                is_begun: next.progress > 0,
            });
            left -= next.lacking;
            next.count -= next.lacking;
            next.lacking = self.groups_at_once(spare);
            next.progress = 0;
        }
        queue
    }

    /// Returns the number of groups whose members form at least one group of the other model.
    fn groups_at_once(&self, spare: &SpareGroups<'a>) -> usize {
        let engine = self.params.engine;
        group_size(engine, spare.prepares).div_ceil(group_size(engine, spare.serves))
    }

    /// Lets the first in the queue load, or as many as fit the limit while a model lacks groups.
    ///
    /// Such a model gets at least one complete group with one load.
    fn allot_loads(&self, queue: &[QueuedGroups<'a>], plan: &mut StandbyPlan) {
        let Some(first) = queue.first() else {
            return;
        };
        let limit = |share: f64| (self.params.engine.parallel_loads as f64 * share) as usize;
        if self.short.is_empty() {
            let loads = limit(STANDBY_LOAD_SHARE).clamp(1, first.targets);
            plan.loads.insert(first.domain.clone(), loads);
            return;
        }
        let mut left = limit(SHORTAGE_LOAD_SHARE).max(first.targets);
        for queued in queue {
            let loads = queued.targets.min(left);
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
        let progress = progress.max().unwrap_or(0);
        let prepared = self.prepared_groups(spare, draft);
        let at_once = draft.groups_at_once(spare);
        let begun = prepared % at_once;
        UnpreparedGroups {
            domain: &self.supply.domain,
            count: self.open_of(spare.serves) - prepared,
            lacking: at_once - begun,
            progress: progress + begun * group_size(engine, spare.serves),
        }
    }
}
