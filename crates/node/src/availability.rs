//! Counts group downtime and stranded accelerators, the two measures of a zone's availability.

use std::time::Duration;

use briarswitch_core::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::shared::NodeShared;
use crate::term::ControllerTerm;

/// Availability of one zone since this process became its controller.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityCounters {
    /// Time during which configured groups could not serve, summed over groups.
    pub downtime: Duration,
    /// Accelerators that currently belong to no routable group.
    pub stranded: u32,
    last_update: Option<Moment>,
}

impl AvailabilityCounters {
    /// Stops counting time until the next call of [`AvailabilityCounters::update`].
    pub fn pause(&mut self) {
        self.last_update = None;
    }

    /// Adds the downtime since the last call and counts the stranded accelerators.
    pub fn update(&mut self, shared: &NodeShared, reign: &ControllerTerm, now: Moment) {
        let elapsed = self.last_update.map_or(Duration::ZERO, |at| now - at);
        self.last_update = Some(now);
        let routes = shared.routes.read();
        let config = shared.config.load();
        let mut in_use: IndexSet<&VmId> = IndexSet::new();
        let mut serving: IndexMap<&DeploymentId, u32> = IndexMap::new();
        for row in reign.groups.values() {
            let group = &row.value;
            if routes.is_routable(&group.id, now) {
                *serving.entry(&group.deployment).or_default() += 1;
                in_use.extend(group.members.iter().map(|member| &member.vm));
            }
        }
        let mut pools: IndexSet<&PoolId> = IndexSet::new();
        for deployment in config.config.deployments().values() {
            let DeploymentKind::Model {
                replicas_per_zone, ..
            } = deployment.kind
            else {
                continue;
            };
            pools.insert(&deployment.pool);
            let routable = serving.get(&deployment.id).copied().unwrap_or(0);
            self.downtime += elapsed * replicas_per_zone.saturating_sub(routable);
        }
        let fleet = shared.fleet.read();
        let idle = fleet
            .vms
            .values()
            .filter(|vm| pools.contains(&vm.pool) && !in_use.contains(&vm.id));
        self.stranded = idle.map(|vm| vm.accelerators).sum();
        shared.metrics.set_fleet(self.stranded, self.downtime);
    }
}
