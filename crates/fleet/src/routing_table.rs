//! Routing table: the targets that requests may be sent to.
//!
//! It is rebuilt when the directory or the configuration changes.

use std::sync::Arc;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::*;
use briarswitch_core::target::{Membership, MembershipState, TargetCache, TargetRecord};
use briarswitch_core::traffic::TrafficConfig;
use indexmap::{IndexMap, IndexSet};
use rustc_hash::FxBuildHasher;

use crate::gauge::TargetGauge;
use crate::gauge_map::GaugeMap;

/// A target that accepts requests: one without a group, or the leader of a complete group.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Target that has to run the request.
    pub id: TargetId,
    /// Incarnation under that id; zero if the target does not report it.
    pub incarnation: Incarnation,
    /// Address of its listener.
    pub address: String,
    /// Zone.
    pub zone: ZoneId,
    /// Fabric domain; empty if it has none.
    pub domain: DomainId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// The group that it leads, if any.
    pub group: Option<RouteGroup>,
    /// Load and liveness.
    pub gauge: Arc<TargetGauge>,
}

/// The group behind a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteGroup {
    /// Name.
    pub id: GroupId,
    /// Epoch in which it was formed.
    pub epoch: Epoch,
    /// Model.
    pub model: ModelId,
    /// Members in order of rank.
    pub members: Vec<TargetId>,
}

/// Targets by service, and by model for services that run on engines.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    single_targets: IndexMap<ServiceId, Vec<Arc<RouteTarget>>>,
    groups_by_model: IndexMap<ServiceId, IndexMap<ModelId, Vec<Arc<RouteTarget>>>>,
}

impl RoutingTable {
    /// Builds a new table.
    ///
    /// The previous one shows which groups have been complete, so that they stay routable while a member's
    /// directory entry is missing.
    pub fn build(
        config: &TrafficConfig,
        targets: &TargetCache,
        previous: &Self,
        gauges: &GaugeMap,
    ) -> Self {
        let mut table = Self::default();
        let unlisted = unlisted_members(targets, previous);
        for service in config.services.values() {
            let of_service = targets
                .targets()
                .values()
                .filter(|record| record.service == service.id);
            match &service.engine {
                None => {
                    let accepting = of_service.filter(|record| !record.is_draining);
                    let routes = accepting
                        .map(|record| route_target(record, None, gauges))
                        .collect();
                    table.single_targets.insert(service.id.clone(), routes);
                }
                Some(engine) => {
                    let models =
                        complete_groups(of_service.map(Arc::as_ref), &unlisted, engine, gauges);
                    table.groups_by_model.insert(service.id.clone(), models);
                }
            }
        }
        table
    }

    /// Returns the targets of a service that does not use groups.
    pub fn single_targets(&self, service: &str) -> &[Arc<RouteTarget>] {
        self.single_targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the leaders of the groups that serve a model.
    pub fn groups(&self, service: &str, model: &str) -> &[Arc<RouteTarget>] {
        let models = self.groups_by_model.get(service);
        models
            .and_then(|models| models.get(model))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the targets among which requests choose, by service, and by model for services with groups.
    pub fn choices(&self) -> impl Iterator<Item = (&ServiceId, &[Arc<RouteTarget>])> {
        let singles = self.single_targets.iter();
        let singles = singles.map(|(service, targets)| (service, targets.as_slice()));
        let by_model = self.groups_by_model.iter();
        let groups = by_model.flat_map(|(service, models)| {
            models
                .values()
                .map(move |groups| (service, groups.as_slice()))
        });
        singles.chain(groups)
    }

    /// Returns the leaders of all groups.
    pub fn all_groups(&self) -> impl Iterator<Item = &Arc<RouteTarget>> {
        self.groups_by_model
            .values()
            .flat_map(IndexMap::values)
            .flatten()
    }
}

fn route_target(
    record: &TargetRecord,
    group: Option<RouteGroup>,
    gauges: &GaugeMap,
) -> Arc<RouteTarget> {
    Arc::new(RouteTarget {
        id: record.id.clone(),
        incarnation: record.incarnation,
        address: record.address.clone(),
        zone: record.zone.clone(),
        domain: record.domain.clone(),
        slots: record.slots,
        group,
        gauge: gauges.get(&record.id),
    })
}

/// Members by group, epoch and rank.
type MemberMap<'a> = IndexMap<(&'a GroupId, Epoch, usize), &'a TargetId, FxBuildHasher>;

/// Returns the members without a directory entry, of groups that were complete in the previous table.
///
/// A node routes to a group only after it has itself seen all members under the group's id and epoch.
fn unlisted_members<'a>(targets: &'a TargetCache, previous: &RoutingTable) -> MemberMap<'a> {
    let unlisted = targets.unlisted();
    if unlisted.is_empty() {
        return MemberMap::default();
    }
    let groups = previous
        .all_groups()
        .filter_map(|target| target.group.as_ref());
    let complete: IndexSet<(&GroupId, Epoch)> =
        groups.map(|group| (&group.id, group.epoch)).collect();
    let members = unlisted.values().filter_map(|record| {
        let membership = record.membership.as_ref()?;
        let is_known = complete.contains(&(&membership.group, membership.epoch));
        is_known.then_some((
            (&membership.group, membership.epoch, membership.rank),
            &record.id,
        ))
    });
    members.collect()
}

/// Returns the groups of a service that accept requests, by model.
fn complete_groups<'a>(
    records: impl Iterator<Item = &'a TargetRecord>,
    unlisted: &MemberMap<'a>,
    engine: &EngineSpec,
    gauges: &GaugeMap,
) -> IndexMap<ModelId, Vec<Arc<RouteTarget>>> {
    let mut members = unlisted.clone();
    let mut leaders = Vec::new();
    for record in records {
        let Some(membership) = &record.membership else {
            continue;
        };
        members.insert(
            (&membership.group, membership.epoch, membership.rank),
            &record.id,
        );
        let is_open = membership.rank == 0 && membership.state == MembershipState::Open;
        if is_open && !record.is_draining {
            leaders.push((record, membership));
        }
    }
    let mut models: IndexMap<ModelId, Vec<Arc<RouteTarget>>> = IndexMap::new();
    for (leader, membership) in leaders {
        if let Some(group) = complete_group(leader, membership, &members, engine) {
            let of_model = models.entry(group.model.clone()).or_default();
            of_model.push(route_target(leader, Some(group), gauges));
        }
    }
    models
}

/// Returns the group that a target leads, if each member is or was listed under the group's id and epoch.
///
/// An engine accepts requests even if members are missing, and such requests then stall. A crashed member is
/// detected by its group's silence; the controller polls each member without a directory entry, and dissolves
/// the group if it does not respond.
fn complete_group(
    leader: &TargetRecord,
    membership: &Membership,
    members: &MemberMap<'_>,
    engine: &EngineSpec,
) -> Option<RouteGroup> {
    let model = leader.models.first()?;
    let size = engine.models.get(model)?.group_size;
    let member = |rank| members.get(&(&membership.group, membership.epoch, rank));
    let ranks =
        std::iter::once(Some(&leader.id)).chain((1..size).map(|rank| member(rank).copied()));
    Some(RouteGroup {
        id: membership.group.clone(),
        epoch: membership.epoch,
        model: model.clone(),
        members: ranks.map(|id| id.cloned()).collect::<Option<Vec<_>>>()?,
    })
}
