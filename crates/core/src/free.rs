//! The machines that one round of the planner may still use.

use indexmap::IndexMap;

use crate::fleet::FleetState;
use crate::group::GroupMember;
use crate::id::{DomainId, PoolId};
use crate::vm::Vm;

/// Free machines of one pool in one fabric domain.
pub(crate) type FreeKey = (PoolId, DomainId);

/// Free machines by pool and fabric domain.
pub(crate) struct FreePool<'a> {
    fleet: &'a FleetState,
    places: IndexMap<FreeKey, Vec<&'a Vm>>,
}

impl<'a> FreePool<'a> {
    /// Opens the pool of every machine that may be claimed.
    pub(crate) fn open(fleet: &'a FleetState) -> Self {
        let mut places: IndexMap<FreeKey, Vec<&Vm>> = IndexMap::new();
        for facts in fleet.vms.values().filter(|facts| facts.is_free()) {
            let key = (facts.vm.pool.clone(), facts.vm.domain.clone());
            places.entry(key).or_default().push(&facts.vm);
        }
        Self { fleet, places }
    }

    /// Returns the free machines by place.
    pub(crate) fn places(&self) -> impl Iterator<Item = (&FreeKey, &[&'a Vm])> {
        self.places.iter().map(|(key, vms)| (key, vms.as_slice()))
    }

    /// Counts the free machines of a place.
    pub(crate) fn count(&self, key: &FreeKey) -> usize {
        self.places.get(key).map_or(0, Vec::len)
    }

    /// Counts the free machines of a place that hold a deployment's weights.
    pub(crate) fn count_warm(&self, key: &FreeKey, deployment: &str) -> usize {
        let vms = self.places.get(key).map_or(&[][..], Vec::as_slice);
        vms.iter()
            .filter(|vm| self.holds(&vm.id, deployment))
            .count()
    }

    /// Returns the domain with the fewest free machines that still fit, which keeps large runs of
    /// free machines whole for large replicas.
    pub(crate) fn tightest(&self, pool: &str, size: usize) -> Option<FreeKey> {
        self.places
            .iter()
            .filter(|((found, _), vms)| found == pool && vms.len() >= size)
            .min_by_key(|(_, vms)| vms.len())
            .map(|(key, _)| key.clone())
    }

    /// Takes free machines, those that hold the deployment's weights first.
    pub(crate) fn take(
        &mut self,
        key: &FreeKey,
        count: usize,
        deployment: &str,
    ) -> Option<Vec<GroupMember>> {
        let mut vms = std::mem::take(self.places.get_mut(key)?);
        let is_enough = vms.len() >= count;
        let taken = is_enough.then(|| {
            vms.sort_by_cached_key(|vm| self.holds(&vm.id, deployment));
            vms.split_off(vms.len() - count)
        });
        self.places.insert(key.clone(), vms);
        Some(taken?.into_iter().map(member_of).collect())
    }

    /// Takes free machines of a pool wherever they stand.
    pub(crate) fn take_anywhere(
        &mut self,
        pool: &str,
        count: usize,
        deployment: &str,
    ) -> Option<Vec<GroupMember>> {
        let places: Vec<FreeKey> = self
            .places
            .keys()
            .filter(|(found, _)| found == pool)
            .cloned()
            .collect();
        let total: usize = places.iter().map(|key| self.places[key].len()).sum();
        if total < count {
            return None;
        }
        let mut members = Vec::with_capacity(count);
        for key in places {
            let share = (count - members.len()).min(self.places[&key].len());
            members.extend(self.take(&key, share, deployment).unwrap_or_default());
        }
        Some(members)
    }

    fn holds(&self, vm: &str, deployment: &str) -> bool {
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
