//! Groups of a domain as reported by its targets.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{DomainView, TargetStatus};
use crate::id::{Epoch, GroupId, Incarnation, ModelId, TargetId};
use crate::target::Membership;

/// Limit on the member combinations tried when several targets claim the same ranks.
const MAX_MEMBER_SETS: usize = 64;

/// One group as reported by its members.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedGroup {
    pub(super) epoch: Epoch,
    pub(super) model: Option<ModelId>,
    /// Members by rank, sorted.
    pub(super) members: IndexMap<usize, TargetId>,
}

impl ObservedGroup {
    /// Returns whether every rank is held by a responding target, all at the same epoch.
    ///
    /// A member that the directory does not list only counts in a group that already serves. The
    /// controller does not learn when it moves to another group, so a group opened on the basis of
    /// its last report might open without it.
    pub(super) fn is_complete(&self, view: &DomainView<'_>, is_serving: bool) -> bool {
        let model = self.model.as_ref();
        let Some(model) = model.and_then(|id| view.engine.models.get(id)) else {
            return false;
        };
        (0..model.group_size).all(|rank| {
            let facts = self.members.get(&rank).map(|id| &view.targets[id]);
            facts.is_some_and(|facts| {
                let membership = facts.membership.as_ref();
                let is_counted = match facts.status {
                    TargetStatus::Live | TargetStatus::Draining => true,
                    TargetStatus::Unlisted => is_serving,
                    TargetStatus::Silent => false,
                };
                is_counted && membership.is_some_and(|membership| membership.epoch == self.epoch)
            })
        })
    }

    /// Returns whether the members are the incarnations that were chosen.
    pub(super) fn has_chosen_incarnations(&self, group: &str, view: &DomainView<'_>) -> bool {
        name_matches(group, self.members.values(), view)
    }
}

/// Targets that claim each rank of a group.
type RankClaims = IndexMap<usize, Vec<TargetId>>;

/// Returns the groups that the targets of a domain report to be in, sorted by name.
pub(super) fn observe_groups(view: &DomainView<'_>) -> IndexMap<GroupId, ObservedGroup> {
    let mut members: IndexMap<&GroupId, Vec<(&TargetId, &Membership)>> = IndexMap::new();
    for (id, facts) in view.targets {
        if let Some(membership) = &facts.membership {
            members
                .entry(&membership.group)
                .or_default()
                .push((id, membership));
        }
    }
    members.sort_keys();
    let groups = members.into_iter();
    let groups =
        groups.map(|(group, members)| (group.clone(), observe_group(group, &members, view)));
    groups.collect()
}

fn observe_group(
    group: &str,
    members: &[(&TargetId, &Membership)],
    view: &DomainView<'_>,
) -> ObservedGroup {
    let mut claims = RankClaims::new();
    for (id, membership) in members {
        claims
            .entry(membership.rank)
            .or_default()
            .push((*id).clone());
    }
    let epochs = members.iter().map(|(_, membership)| membership.epoch);
    let models = members.iter().map(|(id, _)| &view.targets[*id].model);
    ObservedGroup {
        epoch: epochs.max().unwrap_or_default(),
        model: models.flatten().next().cloned(),
        members: members_of(group, claims, view),
    }
}

/// Returns the member of each rank.
///
/// A terminated target counts as live while another one responds at its address, and appears with
/// that one's state. If two targets claim the same rank, the hash in the group's name shows which
/// was chosen. If the terminated one were taken for the member, the group would seem to differ from
/// the one formed and would be dissolved.
fn members_of(
    group: &str,
    mut claims: RankClaims,
    view: &DomainView<'_>,
) -> IndexMap<usize, TargetId> {
    claims.sort_keys();
    let is_contested = claims.values().any(|ids| ids.len() > 1);
    let mut sets: Vec<Vec<&TargetId>> = vec![Vec::new()];
    for ids in claims.values().filter(|_| is_contested) {
        let longer = sets.iter().flat_map(|set| {
            let with = move |id| set.iter().copied().chain([id]).collect();
            ids.iter().map(with)
        });
        sets = longer.take(MAX_MEMBER_SETS).collect();
    }
    let is_chosen = |set: &&Vec<&TargetId>| name_matches(group, set.iter().copied(), view);
    let chosen = sets.iter().find(is_chosen).filter(|_| is_contested);
    let first = || claims.values().filter_map(|ids| ids.first()).collect();
    let members = chosen.cloned().unwrap_or_else(first);
    let ranks = claims.keys().copied();
    ranks.zip(members.into_iter().cloned()).collect()
}

/// Returns the suffix of a group's name, a hash of its members' incarnations.
///
/// A delayed join order can bring a target into a group for which an earlier incarnation was
/// chosen. The next order, based on what is known of that earlier incarnation, might then match the
/// expected count and remove the target from a group that serves. From the name, every controller,
/// including a successor, can tell that this is not the group that was formed, and dissolves it
/// instead of opening it.
pub(super) fn incarnations_suffix<'a>(
    incarnations: impl Iterator<Item = (&'a TargetId, Incarnation)>,
) -> String {
    let list: Vec<String> = incarnations
        .map(|(id, incarnation)| format!("{id}/{incarnation}"))
        .collect();
    format!("{:08x}", xxh3_64(list.join(" ").as_bytes()) as u32)
}

/// Returns whether a group's name was made for these incarnations, in order of rank.
fn name_matches<'a>(
    group: &str,
    members: impl Iterator<Item = &'a TargetId>,
    view: &DomainView<'_>,
) -> bool {
    let incarnations = members.map(|id| (id, view.targets[id].incarnation));
    group.ends_with(&incarnations_suffix(incarnations))
}
