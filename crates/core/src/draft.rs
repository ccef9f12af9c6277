//! One planning round.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::deployment::{Deployment, DeploymentKind};
use crate::fleet::{FleetState, PlanStep, PlanWeights, VmFacts};
use crate::free_pool::{FreePool, PoolDomain};
use crate::group::{GroupMember, GroupRecord, GroupState};
use crate::id::{DeploymentId, DomainId, GroupId, Moment, PoolId};
use crate::vm::VmStatus;

/// A group that has lost members.
struct BrokenGroup<'a> {
    group: &'a GroupRecord,
    priority: u8,
    /// Members that remain.
    kept: Vec<GroupMember>,
    /// Whether every lost member has been unreachable for longer than the replacement delay.
    is_overdue: bool,
    domain: DomainId,
    pool: PoolId,
}

/// State of a planning round: machines that are still free, changed groups, and steps so far.
pub(crate) struct PlanDraft<'a> {
    fleet: &'a FleetState,
    now: Moment,
    replacement_delay: Duration,
    grace: Duration,
    free: FreePool<'a>,
    by_priority: Vec<&'a Deployment>,
    dissolved: BTreeSet<GroupId>,
    repaired: BTreeSet<GroupId>,
    load_budget: usize,
    pub(crate) steps: Vec<PlanStep>,
}

impl<'a> PlanDraft<'a> {
    pub(crate) fn new(
        fleet: &'a FleetState,
        now: Moment,
        replacement_delay: Duration,
        grace: Duration,
    ) -> Self {
        let mut by_priority: Vec<_> = fleet.deployments.values().collect();
        by_priority.sort_by_key(|deployment| Reverse(deployment.priority));
        Self {
            fleet,
            now,
            replacement_delay,
            grace,
            free: FreePool::new(fleet),
            by_priority,
            dissolved: BTreeSet::new(),
            repaired: BTreeSet::new(),
            load_budget: fleet.load_budget,
            steps: Vec::new(),
        }
    }

    /// Dissolves groups of deleted or changed deployments and groups beyond the configured number.
    pub(crate) fn dissolve_surplus(&mut self) {
        let fleet = self.fleet;
        let mut counts: IndexMap<&DeploymentId, u32> = IndexMap::new();
        for group in active_groups(fleet) {
            let Some((size, wanted, weights)) = replica_params(fleet, &group.deployment) else {
                self.dissolve(&group.id, "its deployment is gone");
                continue;
            };
            if group.members.len() != size {
                self.dissolve(&group.id, "its deployment changed the size of a replica");
                continue;
            }
            let count = counts.entry(&group.deployment).or_default();
            *count += 1;
            let keeps_extra = prefers_extra(weights) && wanted > 0;
            if *count > wanted && !keeps_extra {
                self.dissolve(&group.id, "more replicas stand than are wanted");
            }
        }
    }

    /// Replaces lost members by free machines, and breaks up groups where there are not enough.
    pub(crate) fn repair_broken(&mut self) {
        let mut broken: Vec<_> = active_groups(self.fleet)
            .filter(|group| !self.dissolved.contains(&group.id))
            .filter_map(|group| self.examine(group))
            .collect();
        // Groups with the fewest missing members first: they are completed with the fewest loads.
        broken.sort_by_key(|group| {
            let lacking = group.group.members.len() - group.kept.len();
            (Reverse(group.priority), lacking)
        });
        let mut waiting: Vec<BrokenGroup<'a>> = Vec::new();
        for group in broken {
            if !self.repair(&group) && !self.relocate(&group) {
                waiting.push(group);
            }
        }
        self.break_up(waiting);
    }

    /// Returns a group that has lost members, with its remaining members; `None` if it is
    /// complete or its deployment was deleted.
    fn examine(&self, group: &'a GroupRecord) -> Option<BrokenGroup<'a>> {
        let deployment = self.fleet.deployments.get(&group.deployment)?;
        let mut kept = Vec::with_capacity(group.members.len());
        let mut is_overdue = true;
        let mut domain = None;
        for member in &group.members {
            let facts = self.fleet.vms.get(&member.vm);
            if domain.is_none() {
                domain = facts.map(|facts| facts.vm.domain.clone());
            }
            match self.member_loss(member, facts) {
                None => kept.push(member.clone()),
                Some(loss) => is_overdue &= loss,
            }
        }
        let is_broken = kept.len() < group.members.len();
        is_broken.then(|| BrokenGroup {
            group,
            priority: deployment.priority,
            kept,
            is_overdue,
            domain: domain.unwrap_or_default(),
            pool: deployment.pool.clone(),
        })
    }

    /// Returns `None` for a member that remains, else whether it should be replaced by now.
    fn member_loss(&self, member: &GroupMember, facts: Option<&VmFacts>) -> Option<bool> {
        let Some(facts) = facts else {
            return Some(true);
        };
        if facts.vm.incarnation != member.incarnation || facts.vm.status == VmStatus::Leaving {
            return Some(true);
        }
        let lost_for = self.now.saturating_sub(facts.lost_since?);
        if lost_for < self.grace {
            return None;
        }
        Some(lost_for >= self.replacement_delay)
    }

    fn repair(&mut self, broken: &BrokenGroup<'a>) -> bool {
        let lacking = broken.group.members.len() - broken.kept.len();
        let key = (broken.pool.clone(), broken.domain.clone());
        let preloaded = self.free.count_preloaded(&key, &broken.group.deployment);
        // Using a spare that already holds the weights is better than waiting for a lost machine.
        if !broken.is_overdue && preloaded < lacking {
            return false;
        }
        let loads = lacking.saturating_sub(preloaded);
        if loads > self.load_budget {
            return false;
        }
        let Some(found) = self.take_for_repair(broken, lacking) else {
            return false;
        };
        self.load_budget -= loads;
        self.repaired.insert(broken.group.id.clone());
        let mut members = broken.kept.clone();
        members.extend(found);
        self.steps.push(PlanStep::Repair {
            group: broken.group.id.clone(),
            members,
            reason: format!("{lacking} of its members were lost and machines are free"),
        });
        true
    }

    /// Dissolves a group that cannot be repaired in its fabric domain, for example after an outage
    /// of the whole domain, if another domain has room for a complete new one. The new group is
    /// formed in the same round.
    fn relocate(&mut self, broken: &BrokenGroup<'a>) -> bool {
        let size = broken.group.members.len();
        let fits_elsewhere = self.free.best_fit(&broken.pool, size).is_some();
        if !broken.is_overdue || size > self.load_budget || !fits_elsewhere {
            return false;
        }
        self.dissolve(
            &broken.group.id,
            "another fabric domain can hold a whole group",
        );
        true
    }

    /// Loads weights on free machines, for the deployment of the pool with the highest downtime
    /// weight.
    pub(crate) fn preload_spares(&mut self) {
        let mut steps = Vec::new();
        for ((pool, _), vms) in self.free.by_domain() {
            let Some(deployment) = self.preload_deployment(pool) else {
                continue;
            };
            for vm in vms {
                let report = self
                    .fleet
                    .vms
                    .get(&vm.id)
                    .and_then(|facts| facts.report.as_ref());
                let is_empty = report.is_some_and(|report| report.weights.is_none());
                if !is_empty || self.load_budget == steps.len() {
                    continue;
                }
                steps.push(PlanStep::Preload {
                    vm: vm.id.clone(),
                    deployment: deployment.clone(),
                    reason: "a spare that holds the weights ends an outage sooner".to_owned(),
                });
            }
        }
        self.steps.extend(steps);
    }

    fn preload_deployment(&self, pool: &str) -> Option<DeploymentId> {
        let models = self
            .by_priority
            .iter()
            .filter(|deployment| deployment.pool == pool);
        models
            .filter_map(|deployment| {
                let (_, wanted, weights) = replica_params(self.fleet, &deployment.id)?;
                (wanted > 0).then_some((weights.downtime, &deployment.id))
            })
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, id)| id.clone())
    }

    fn take_for_repair(
        &mut self,
        broken: &BrokenGroup<'a>,
        lacking: usize,
    ) -> Option<Vec<GroupMember>> {
        let key = (broken.pool.clone(), broken.domain.clone());
        let spans = may_span_domains(self.fleet, &broken.group.deployment);
        if let Some(found) = self.free.take(&key, lacking, &broken.group.deployment) {
            return Some(found);
        }
        if spans {
            return self
                .free
                .take_across_domains(&broken.pool, lacking, &broken.group.deployment);
        }
        None
    }

    /// In each domain, dissolves an expendable group, or else the weakest broken groups, so that
    /// their machines can complete the strongest broken group.
    fn break_up(&mut self, waiting: Vec<BrokenGroup<'a>>) {
        let mut by_domain: IndexMap<PoolDomain, Vec<BrokenGroup<'a>>> = IndexMap::new();
        for group in waiting.into_iter().filter(|group| group.is_overdue) {
            let key = (group.pool.clone(), group.domain.clone());
            by_domain.entry(key).or_default().push(group);
        }
        for (key, groups) in by_domain {
            self.break_up_in_domain(&key, &groups);
        }
    }

    fn break_up_in_domain(&mut self, key: &PoolDomain, groups: &[BrokenGroup<'a>]) {
        if self.is_releasing(key) {
            return;
        }
        let strongest = &groups[0];
        let lacking = strongest.group.members.len() - strongest.kept.len();
        let free = self.free.count(key);
        let mut gained = free;
        if let Some(expendable) = self.expendable_group(key, strongest) {
            let reason = format!("its machines complete {}", strongest.group.id);
            self.dissolve(&expendable, &reason);
            return;
        }
        for weakest in groups[1..].iter().rev() {
            if gained >= lacking {
                break;
            }
            gained += weakest.kept.len();
            let reason = format!("its survivors complete {}", strongest.group.id);
            self.dissolve(&weakest.group.id, &reason);
        }
    }

    /// Returns whether machines of the pool in the domain are about to become free.
    fn is_releasing(&self, (pool, domain): &PoolDomain) -> bool {
        self.fleet
            .groups
            .values()
            .filter(|group| group.state == GroupState::Dissolving)
            .flat_map(|group| &group.members)
            .filter_map(|member| self.fleet.vms.get(&member.vm))
            .any(|facts| {
                facts.lost_since.is_none() && facts.vm.pool == *pool && facts.vm.domain == *domain
            })
    }

    /// Finds a complete group in the domain that is less important than the broken one: it exceeds
    /// the configured number of its deployment or has a lower priority.
    fn expendable_group(
        &self,
        (pool, domain): &PoolDomain,
        broken: &BrokenGroup<'_>,
    ) -> Option<GroupId> {
        let mut counts: IndexMap<&DeploymentId, u32> = IndexMap::new();
        for group in active_groups(self.fleet).filter(|group| !self.dissolved.contains(&group.id)) {
            *counts.entry(&group.deployment).or_default() += 1;
        }
        active_groups(self.fleet)
            .filter(|group| !self.is_changed(group) && group.id != broken.group.id)
            .filter(|group| self.is_located_in(group, pool, domain))
            .filter(|group| self.examine(group).is_none())
            .filter_map(|group| {
                let deployment = self.fleet.deployments.get(&group.deployment)?;
                let (_, wanted, _) = replica_params(self.fleet, &group.deployment)?;
                let is_extra = counts[&group.deployment] > wanted;
                let is_lower = deployment.priority < broken.priority;
                let rank = (!is_extra, deployment.priority);
                (is_extra || is_lower).then_some((rank, group))
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, group)| group.id.clone())
    }

    /// Returns whether a step of this plan already changes the group.
    fn is_changed(&self, group: &GroupRecord) -> bool {
        self.dissolved.contains(&group.id) || self.repaired.contains(&group.id)
    }

    fn is_located_in(&self, group: &GroupRecord, pool: &str, domain: &str) -> bool {
        group
            .members
            .first()
            .and_then(|member| self.fleet.vms.get(&member.vm))
            .is_some_and(|facts| facts.vm.pool == pool && facts.vm.domain == domain)
    }

    /// Forms groups until each deployment has its configured number.
    pub(crate) fn form_wanted(&mut self) {
        for deployment in self.by_priority.clone() {
            let Some((size, wanted, _)) = replica_params(self.fleet, &deployment.id) else {
                continue;
            };
            let mut active = self.count_active(&deployment.id);
            while active < wanted {
                if !self.form(deployment, size, "fewer replicas stand than are wanted") {
                    self.preempt_for(deployment, size);
                    break;
                }
                active += 1;
            }
        }
    }

    /// Forms groups beyond the configured number where stranded accelerators weigh more than
    /// downtime.
    pub(crate) fn form_extra(&mut self) {
        for deployment in self.by_priority.clone() {
            let Some((size, wanted, weights)) = replica_params(self.fleet, &deployment.id) else {
                continue;
            };
            if wanted == 0 || !prefers_extra(weights) {
                continue;
            }
            while self.form(deployment, size, "free machines would be stranded") {}
        }
    }

    fn count_active(&self, deployment: &str) -> u32 {
        let count = active_groups(self.fleet)
            .filter(|group| group.deployment == deployment && !self.dissolved.contains(&group.id))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn form(&mut self, deployment: &Deployment, size: usize, why: &str) -> bool {
        if size > self.load_budget {
            return false;
        }
        let single = self.free.best_fit(&deployment.pool, size);
        let (members, spans_domains) =
            match single.and_then(|key| self.free.take(&key, size, &deployment.id)) {
                Some(members) => (members, false),
                None if may_span_domains(self.fleet, &deployment.id) => {
                    match self
                        .free
                        .take_across_domains(&deployment.pool, size, &deployment.id)
                    {
                        Some(members) => (members, true),
                        None => return false,
                    }
                }
                None => return false,
            };
        self.load_budget -= size;
        let reason = if spans_domains {
            format!("{why}; no single fabric domain has {size} free machines")
        } else {
            why.to_owned()
        };
        self.steps.push(PlanStep::Form {
            deployment: deployment.id.clone(),
            members,
            spans_domains,
            reason,
        });
        true
    }

    /// Dissolves one group of lower priority if its machines allow a required group to form.
    fn preempt_for(&mut self, deployment: &Deployment, size: usize) {
        if size > self.load_budget {
            return;
        }
        let fleet = self.fleet;
        let candidate = active_groups(fleet)
            .filter(|group| !self.is_changed(group))
            .filter_map(|group| {
                let other = fleet.deployments.get(&group.deployment)?;
                let facts = fleet.vms.get(&group.members.first()?.vm)?;
                let key = (facts.vm.pool.clone(), facts.vm.domain.clone());
                let free = self.free.count(&key);
                let is_enough = free + group.members.len() >= size;
                let is_lower = other.priority < deployment.priority;
                let fits = is_lower && is_enough && facts.vm.pool == deployment.pool;
                (fits && !self.is_releasing(&key)).then_some((other.priority, group))
            })
            .min_by_key(|(priority, _)| *priority);
        if let Some((_, group)) = candidate {
            let reason = format!(
                "{} has a higher priority and lacks a replica",
                deployment.id
            );
            self.dissolve(&group.id, &reason);
        }
    }

    fn dissolve(&mut self, group: &str, reason: &str) {
        let is_new = self.dissolved.insert(group.to_owned());
        if is_new {
            self.steps.push(PlanStep::Dissolve {
                group: group.to_owned(),
                reason: reason.to_owned(),
            });
        }
    }
}

fn active_groups(fleet: &FleetState) -> impl Iterator<Item = &GroupRecord> {
    fleet
        .groups
        .values()
        .filter(|group| group.state != GroupState::Dissolving)
}

fn replica_params(fleet: &FleetState, deployment: &str) -> Option<(usize, u32, PlanWeights)> {
    match fleet.deployments.get(deployment)?.kind {
        DeploymentKind::Model {
            vms_per_replica,
            replicas_per_zone,
            weights,
            ..
        } => Some((vms_per_replica as usize, replicas_per_zone, weights)),
        DeploymentKind::Service => None,
    }
}

fn may_span_domains(fleet: &FleetState, deployment: &str) -> bool {
    let kind = fleet.deployments.get(deployment).map(|found| &found.kind);
    matches!(
        kind,
        Some(DeploymentKind::Model {
            spans_domains: true,
            ..
        })
    )
}

/// Returns whether free machines are better used in extra groups than kept as spares.
fn prefers_extra(weights: PlanWeights) -> bool {
    weights.stranded > weights.downtime
}
