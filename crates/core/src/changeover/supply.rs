//! Groups and arriving targets of each domain, by model.

use std::time::Duration;

use indexmap::IndexMap;

use super::CHANGEOVER_INTERVAL;
use crate::engine::EngineSpec;
use crate::held_weights::HeldWeights;
use crate::id::{DomainId, GroupId, ModelId};
use crate::target::MembershipState;

/// One available target, by the directory or by its own report.
#[derive(Clone, Copy, Debug)]
pub struct TargetSupply<'a> {
    /// Domain.
    pub domain: &'a DomainId,
    /// Its group and weights.
    pub weights: HeldWeights<'a>,
    /// Time since its group was formed.
    pub group_age: Duration,
    /// Model to which its controller is moving it, if known.
    pub next: Option<&'a ModelId>,
}

/// An open group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupSupply {
    /// Model that it serves.
    pub model: ModelId,
    /// Time since it was formed.
    pub age: Duration,
    /// Members that hold another model's weights, by that model.
    pub prepared: IndexMap<ModelId, usize>,
}

/// Groups and arriving targets of one domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainSupply {
    /// Domain.
    pub domain: DomainId,
    /// Open groups.
    pub groups: Vec<GroupSupply>,
    /// Targets that form groups of a model without a load, by model.
    pub arriving: IndexMap<ModelId, usize>,
}

impl DomainSupply {
    /// Returns the supply of each domain, sorted by domain.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::assembly::HeldWeights;
    /// use briarswitch_core::changeover::{DomainSupply, TargetSupply};
    ///
    /// let (domain, staged) = ("d1".to_owned(), ["chat".to_owned()]);
    /// let free = TargetSupply {
    ///     domain: &domain,
    ///     weights: HeldWeights { staged: &staged, ..HeldWeights::default() },
    ///     group_age: Duration::ZERO,
    ///     next: None,
    /// };
    /// let supplies = DomainSupply::collect([free, free].into_iter());
    /// assert_eq!(supplies[0].arriving["chat"], 2);
    /// ```
    pub fn collect<'a>(targets: impl Iterator<Item = TargetSupply<'a>>) -> Vec<Self> {
        let mut domains: IndexMap<&DomainId, DomainTargets<'a>> = IndexMap::new();
        for target in targets {
            domains.entry(target.domain).or_default().add(target);
        }
        domains.sort_keys();
        let domains = domains.into_iter();
        domains
            .map(|(domain, targets)| targets.finish(domain))
            .collect()
    }

    /// Returns the number of open groups that serve a model.
    pub(super) fn open_groups(&self, model: &str) -> usize {
        let of_model = self.groups.iter().filter(|group| group.model == model);
        of_model.count()
    }

    /// Returns the open groups of one model that may change over to another now.
    pub(super) fn ready_groups(&self, from: &str, to: &str, engine: &EngineSpec) -> usize {
        let ready = self.groups.iter().filter(|group| {
            group.model == from
                && group.age >= CHANGEOVER_INTERVAL
                && group.is_prepared_for(to, engine)
        });
        ready.count()
    }
}

impl GroupSupply {
    /// Returns whether all members hold a model's weights.
    pub(super) fn is_prepared_for(&self, model: &str, engine: &EngineSpec) -> bool {
        self.prepared_members(model) >= group_size(engine, &self.model)
    }

    /// Returns the number of members that hold a model's weights.
    pub(super) fn prepared_members(&self, model: &str) -> usize {
        self.prepared.get(model).copied().unwrap_or(0)
    }
}

pub(super) fn group_size(engine: &EngineSpec, model: &str) -> usize {
    let spec = engine.models.get(model);
    spec.map_or(1, |spec| spec.group_size.max(1))
}

/// Targets of one domain while they are being collected.
#[derive(Default)]
struct DomainTargets<'a> {
    groups: IndexMap<&'a GroupId, GroupTargets>,
    arriving: IndexMap<ModelId, usize>,
}

#[derive(Default)]
struct GroupTargets {
    supply: GroupSupply,
    members: usize,
    is_open: bool,
}

impl<'a> DomainTargets<'a> {
    fn add(&mut self, target: TargetSupply<'a>) {
        let weights = target.weights;
        let staged = weights.staged.last();
        let arriving = match weights.membership {
            None => target.next.or(staged),
            Some(_) => target.next,
        };
        if let Some(model) = arriving {
            *self.arriving.entry(model.clone()).or_insert(0) += 1;
            return;
        }
        let (Some(membership), Some(model)) = (weights.membership, weights.model) else {
            return;
        };
        let group = self.groups.entry(&membership.group).or_default();
        group.is_open |= membership.rank == 0 && membership.state == MembershipState::Open;
        group.members += 1;
        group.supply.model.clone_from(model);
        group.supply.age = target.group_age;
        if let Some(staged) = staged.filter(|staged| *staged != model) {
            *group.supply.prepared.entry(staged.clone()).or_insert(0) += 1;
        }
    }

    fn finish(mut self, domain: &DomainId) -> DomainSupply {
        let (open, others): (Vec<GroupTargets>, Vec<GroupTargets>) =
            self.groups.into_values().partition(|group| group.is_open);
        for group in others {
            // One that was formed recently has yet to open, an older one has been closed.
            let arriving = if group.supply.age < CHANGEOVER_INTERVAL {
                IndexMap::from([(group.supply.model, group.members)])
            } else {
                group.supply.prepared
            };
            for (model, count) in arriving {
                *self.arriving.entry(model).or_insert(0) += count;
            }
        }
        DomainSupply {
            domain: domain.clone(),
            groups: open.into_iter().map(|group| group.supply).collect(),
            arriving: self.arriving,
        }
    }
}
