//! Free machines that are still available in one planning round.

use indexmap::IndexMap;

use crate::fleet::FleetState;
use crate::group::GroupMember;
use crate::id::{DomainId, PoolId};
use crate::vm::Vm;

/// A pool and a fabric domain.
pub(crate) type PoolDomain = (PoolId, DomainId);

/// Free machines by pool and fabric domain.
pub(crate) struct FreePool<'a> {
    fleet: &'a FleetState,
    by_domain: IndexMap<PoolDomain, Vec<&'a Vm>>,
}

impl<'a> FreePool<'a> {
    /// Collects all machines that may be claimed.
    pub(crate) fn new(fleet: &'a FleetState) -> Self {
        let mut by_domain: IndexMap<PoolDomain, Vec<&Vm>> = IndexMap::new();
        for facts in fleet.vms.values().filter(|facts| facts.is_free()) {
            let key = (facts.vm.pool.clone(), facts.vm.domain.clone());
            by_domain.entry(key).or_default().push(&facts.vm);
        }
        Self { fleet, by_domain }
    }

    /// Returns the free machines by pool and domain.
    pub(crate) fn by_domain(&self) -> impl Iterator<Item = (&PoolDomain, &[&'a Vm])> {
        self.by_domain
            .iter()
            .map(|(key, vms)| (key, vms.as_slice()))
    }

    /// Counts the free machines of a pool in a domain.
    pub(crate) fn count(&self, key: &PoolDomain) -> usize {
        self.by_domain.get(key).map_or(0, Vec::len)
    }

    /// Counts the free machines of a pool in a domain that already hold a deployment's weights.
    pub(crate) fn count_preloaded(&self, key: &PoolDomain, deployment: &str) -> usize {
        let vms = self.by_domain.get(key).map_or(&[][..], Vec::as_slice);
        vms.iter()
            .filter(|vm| self.has_weights(&vm.id, deployment))
            .count()
    }

    /// Returns the domain with the fewest free machines that still fit (best fit), which leaves
    /// domains with many free machines for large replicas.
    pub(crate) fn best_fit(&self, pool: &str, size: usize) -> Option<PoolDomain> {
        self.by_domain
            .iter()
            .filter(|((found, _), vms)| found == pool && vms.len() >= size)
            .min_by_key(|(_, vms)| vms.len())
            .map(|(key, _)| key.clone())
    }

    /// Takes free machines, preferring those that hold the deployment's weights.
    pub(crate) fn take(
        &mut self,
        key: &PoolDomain,
        count: usize,
        deployment: &str,
    ) -> Option<Vec<GroupMember>> {
        let mut vms = std::mem::take(self.by_domain.get_mut(key)?);
        let is_enough = vms.len() >= count;
        let taken = is_enough.then(|| {
            vms.sort_by_cached_key(|vm| self.has_weights(&vm.id, deployment));
            vms.split_off(vms.len() - count)
        });
        self.by_domain.insert(key.clone(), vms);
        Some(taken?.into_iter().map(member_of).collect())
    }

    /// Takes free machines of a pool from any domains.
    pub(crate) fn take_across_domains(
        &mut self,
        pool: &str,
        count: usize,
        deployment: &str,
    ) -> Option<Vec<GroupMember>> {
        let domains: Vec<PoolDomain> = self
            .by_domain
            .keys()
            .filter(|(found, _)| found == pool)
            .cloned()
            .collect();
        let total: usize = domains.iter().map(|key| self.by_domain[key].len()).sum();
        if total < count {
            return None;
        }
        let mut members = Vec::with_capacity(count);
        for key in domains {
            let share = (count - members.len()).min(self.by_domain[&key].len());
            members.extend(self.take(&key, share, deployment).unwrap_or_default());
        }
        Some(members)
    }

    fn has_weights(&self, vm: &str, deployment: &str) -> bool {
        let report = self
            .fleet
            .vms
            .get(vm)
            .and_then(|facts| facts.report.as_ref());
        report.is_some_and(|report| report.weights.as_deref() == Some(deployment))
    }
}

fn member_of(vm: &Vm) -> GroupMember {
    GroupMember {
        vm: vm.id.clone(),
        incarnation: vm.incarnation,
        address: vm.address.clone(),
    }
}
