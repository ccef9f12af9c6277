//! Where requests may go, rebuilt when the directory or the configuration changes.

use std::sync::Arc;

use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::target::{Membership, MembershipState, TargetBook, TargetRecord};
use briarswitch_core::traffic::TrafficBook;
use indexmap::{IndexMap, IndexSet};
use rustc_hash::FxBuildHasher;

use crate::gauge::{GaugeMap, TargetGauge};

/// One target that takes requests: a single one, or the first member of a whole group.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Life that has to run the request.
    pub id: TargetId,
    /// Life under that name; zero where the target does not say.
    pub incarnation: Incarnation,
    /// Address of its listener.
    pub address: String,
    /// Zone.
    pub zone: ZoneId,
    /// Fabric domain; empty where it has none.
    pub domain: DomainId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Group, and its members in order of rank.
    pub group: Option<RouteGroup>,
    /// Load and liveness.
    pub gauge: Arc<TargetGauge>,
}

/// The group behind a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteGroup {
    /// Name.
    pub id: GroupId,
    /// Attempt at forming it.
    pub epoch: Epoch,
    /// Model.
    pub model: ModelId,
    /// Members in order of rank.
    pub members: Vec<TargetId>,
}

/// Targets by service, and by model where a service's targets are engines.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    single_targets: IndexMap<ServiceId, Vec<Arc<RouteTarget>>>,
    groups_by_model: IndexMap<ServiceId, IndexMap<ModelId, Vec<Arc<RouteTarget>>>>,
}

impl RoutingTable {
    /// Builds the table that follows the one before.
    pub fn build(
        book: &TrafficBook,
        targets: &TargetBook,
        previous: &Self,
        gauges: &GaugeMap,
    ) -> Self {
        let mut table = Self::default();
        let unlisted = unlisted_members(targets, previous);
        for service in book.services.values() {
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

    /// Returns the single targets of a service.
    pub fn single_targets(&self, service: &str) -> &[Arc<RouteTarget>] {
        self.single_targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the groups that serve a model.
    pub fn groups(&self, service: &str, model: &str) -> &[Arc<RouteTarget>] {
        let models = self.groups_by_model.get(service);
        models
            .and_then(|models| models.get(model))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns all groups.
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

/// Returns the members whose entries are gone, of groups that were whole before.
///
/// A node that has not itself seen every member under the group's name and epoch sends nothing there.
fn unlisted_members<'a>(targets: &'a TargetBook, previous: &RoutingTable) -> MemberMap<'a> {
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

/// Returns the groups of a service that take requests, by model.
fn complete_groups<'a>(
    records: impl Iterator<Item = &'a TargetRecord>,
    unlisted: &MemberMap<'a>,
    engine: &EngineModel,
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

/// Returns the group that a target heads, if every member is or was listed under its name and epoch.
///
/// An engine accepts requests while members are missing, and they then stall. A member that died is noticed
/// by its group's silence, and the controller, which asks each member whose entry is gone, ends the group.
fn complete_group(
    leader: &TargetRecord,
    membership: &Membership,
    members: &MemberMap<'_>,
    engine: &EngineModel,
) -> Option<RouteGroup> {
    let model = leader.models.first()?;
    let size = engine.models.get(model)?.size;
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
