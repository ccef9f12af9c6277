//! Where requests may go, published by the control thread and read by traffic.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_http::TargetAddress;
use indexmap::IndexMap;

/// Names one target: a replica group at one generation, or a plain service's machine in one life.
pub type TargetId = String;

/// A back end that requests can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name, unique over generations and lives.
    pub id: TargetId,
    /// Group or machine, as operators know it.
    pub label: String,
    /// Zone it stands in.
    pub zone: ZoneId,
    /// Where requests go.
    pub address: TargetAddress,
    /// Machine that takes the requests.
    pub vm: VmId,
    /// Local time until which the evidence for every member is good.
    pub fresh_until: Moment,
    /// Requests running and queued there by its last report.
    pub reported: u32,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
}

impl Target {
    /// Returns whether a request may be sent to it at `now`.
    ///
    /// A node that was frozen finds here that its evidence has run out, since the clock went on.
    pub fn is_routable(&self, now: Moment) -> bool {
        now < self.fresh_until && !self.is_leaving
    }
}

/// The targets of every deployment.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    targets: IndexMap<DeploymentId, Vec<Arc<Target>>>,
}

impl RouteTable {
    /// Builds the table.
    ///
    /// Groups come from the zones' views and the evidence for their members; the targets of plain
    /// services are the machines of their pool that report themselves ready.
    pub fn build(
        book: &VersionedConfig,
        views: &IndexMap<ZoneId, ZoneView>,
        service_vms: &IndexMap<VmId, Vm>,
        ledger: &EvidenceCache,
        leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) -> Self {
        let mut table = Self::default();
        for view in views.values() {
            for group in view.groups.values() {
                table.add_group(book, &view.zone, group, ledger, leaving, now);
            }
        }
        for deployment in book.deployments().values() {
            if deployment.kind == DeploymentKind::Service {
                table.add_service(deployment, service_vms, ledger, leaving, now);
            }
        }
        table
    }

    /// Returns a deployment's targets.
    pub fn targets(&self, deployment: &str) -> &[Arc<Target>] {
        self.targets.get(deployment).map_or(&[], Vec::as_slice)
    }

    /// Returns every target.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values().flatten()
    }

    /// Returns whether a group is open at `now`.
    pub fn is_routable(&self, group: &str, now: Moment) -> bool {
        self.all()
            .any(|target| target.label == group && target.is_routable(now))
    }

    fn add_group(
        &mut self,
        book: &VersionedConfig,
        zone: &str,
        group: &GroupRecord,
        ledger: &EvidenceCache,
        leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) {
        let is_known = book.deployments().contains_key(&group.deployment);
        if group.state != GroupState::Serving || !is_known {
            return;
        }
        let Some(fresh_until) = ledger.complete_until(group, now) else {
            return;
        };
        let Some(leader) = group.leader() else {
            return;
        };
        let reported = ledger.fresh(&leader.vm, now).map_or(0, |evidence| {
            evidence.report.running + evidence.report.queued
        });
        let is_leaving = group
            .members
            .iter()
            .any(|member| leaving(&member.vm, member.incarnation));
        let target = Target {
            id: format!("{}@{}", group.id, group.generation),
            label: group.id.clone(),
            zone: zone.to_owned(),
            address: TargetAddress {
                address: leader.address.clone(),
                incarnation: leader.incarnation,
            },
            vm: leader.vm.clone(),
            fresh_until,
            reported,
            is_leaving,
        };
        let targets = self.targets.entry(group.deployment.clone()).or_default();
        targets.push(Arc::new(target));
    }

    fn add_service(
        &mut self,
        deployment: &Deployment,
        vms: &IndexMap<VmId, Vm>,
        ledger: &EvidenceCache,
        leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) {
        for vm in vms.values().filter(|vm| vm.pool == deployment.pool) {
            let Some(evidence) = ledger.fresh(&vm.id, now) else {
                continue;
            };
            let is_ready = evidence.report.state == MemberState::Ready
                && evidence.report.incarnation == vm.incarnation;
            if !is_ready {
                continue;
            }
            let is_leaving = vm.status == VmStatus::Leaving || leaving(&vm.id, vm.incarnation);
            let target = Target {
                id: format!("{}@{}", vm.id, vm.incarnation),
                label: vm.id.clone(),
                zone: vm.zone.clone(),
                address: TargetAddress {
                    address: vm.address.clone(),
                    incarnation: vm.incarnation,
                },
                vm: vm.id.clone(),
                fresh_until: ledger.expires_at(evidence),
                reported: evidence.report.running + evidence.report.queued,
                is_leaving,
            };
            let targets = self.targets.entry(deployment.id.clone()).or_default();
            targets.push(Arc::new(target));
        }
    }
}
