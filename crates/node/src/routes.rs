//! Targets that requests may be sent to, published by the control thread for the traffic threads.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_http::TargetAddress;
use indexmap::IndexMap;

/// Identifies a target: a replica group at one generation, or one incarnation of a VM that runs a
/// plain service.
pub type TargetId = String;

/// A back end that requests can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id, unique over generations and incarnations.
    pub id: TargetId,
    /// Id of the group or VM, as shown to operators.
    pub label: String,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Address that requests are sent to.
    pub address: TargetAddress,
    /// VM that receives the requests.
    pub vm: VmId,
    /// Local time at which the evidence for its members expires.
    pub fresh_until: Moment,
    /// Number of running and queued requests, according to its latest report.
    pub reported: u32,
    /// Whether the target is shutting down and takes no new requests.
    pub is_leaving: bool,
}

impl Target {
    /// Returns whether a request may be sent to the target at `now`.
    ///
    /// The expiry is checked for each request, so that a node whose process was suspended does not
    /// use evidence that expired meanwhile.
    pub fn is_routable(&self, now: Moment) -> bool {
        now < self.fresh_until && !self.is_leaving
    }
}

/// The targets of each deployment.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    targets: IndexMap<DeploymentId, Vec<Arc<Target>>>,
}

impl RouteTable {
    /// Builds the table.
    ///
    /// The targets of a model are its serving groups for whose members there is fresh evidence. The
    /// targets of a plain service are the VMs of its pool that report that they are ready.
    pub fn build(
        config: &VersionedConfig,
        views: &IndexMap<ZoneId, ZoneView>,
        service_vms: &IndexMap<VmId, Vm>,
        evidence: &EvidenceCache,
        is_vm_leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) -> Self {
        let mut table = Self::default();
        for view in views.values() {
            for group in view.groups.values() {
                table.add_group(config, &view.zone, group, evidence, is_vm_leaving, now);
            }
        }
        for deployment in config.deployments().values() {
            if deployment.kind == DeploymentKind::Service {
                table.add_service(deployment, service_vms, evidence, is_vm_leaving, now);
            }
        }
        table
    }

    /// Returns the targets of a deployment.
    pub fn targets(&self, deployment: &str) -> &[Arc<Target>] {
        self.targets.get(deployment).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of all deployments.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values().flatten()
    }

    /// Returns whether requests may be sent to a group at `now`.
    pub fn is_routable(&self, group: &str, now: Moment) -> bool {
        self.all()
            .any(|target| target.label == group && target.is_routable(now))
    }

    fn add_group(
        &mut self,
        config: &VersionedConfig,
        zone: &str,
        group: &GroupRecord,
        evidence: &EvidenceCache,
        is_vm_leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) {
        let is_known = config.deployments().contains_key(&group.deployment);
        if group.state != GroupState::Serving || !is_known {
            return;
        }
        let Some(fresh_until) = evidence.complete_until(group, now) else {
            return;
        };
        let Some(leader) = group.leader() else {
            return;
        };
        let reported = evidence
            .fresh(&leader.vm, now)
            .map_or(0, |member| member.report.load());
        let is_leaving = group
            .members
            .iter()
            .any(|member| is_vm_leaving(&member.vm, member.incarnation));
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
        evidence: &EvidenceCache,
        is_vm_leaving: &dyn Fn(&str, Incarnation) -> bool,
        now: Moment,
    ) {
        for vm in vms.values().filter(|vm| vm.pool == deployment.pool) {
            let Some(member) = evidence.fresh(&vm.id, now) else {
                continue;
            };
            let is_ready = member.report.state == MemberState::Ready
                && member.report.incarnation == vm.incarnation;
            if !is_ready {
                continue;
            }
            let is_leaving =
                vm.status == VmStatus::Leaving || is_vm_leaving(&vm.id, vm.incarnation);
            let target = Target {
                id: format!("{}@{}", vm.id, vm.incarnation),
                label: vm.id.clone(),
                zone: vm.zone.clone(),
                address: TargetAddress {
                    address: vm.address.clone(),
                    incarnation: vm.incarnation,
                },
                vm: vm.id.clone(),
                fresh_until: evidence.expires_at(member),
                reported: member.report.load(),
                is_leaving,
            };
            let targets = self.targets.entry(deployment.id.clone()).or_default();
            targets.push(Arc::new(target));
        }
    }
}
