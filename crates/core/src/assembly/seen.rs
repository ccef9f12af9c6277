//! The groups of a domain, as its targets tell of them.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{DomainView, TargetStanding};
use crate::id::{Epoch, GroupId, Incarnation, ModelId, TargetId};
use crate::target::Membership;

/// Most sets of members that are looked at where targets claim the same places.
const MOST_SETS: usize = 64;

/// One group.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenGroup {
    pub(super) epoch: Epoch,
    pub(super) model: Option<ModelId>,
    /// Members by rank, in its order.
    pub(super) members: IndexMap<usize, TargetId>,
}

impl SeenGroup {
    /// Returns whether every rank is taken by a target that answers, at one epoch.
    ///
    /// Only a group that serves already keeps a member that the directory does not list. Its moves to other groups
    /// are not heard of, so a group that is opened on what it said last may open without it.
    pub(super) fn is_whole(&self, view: &DomainView<'_>, is_served: bool) -> bool {
        let model = self.model.as_ref();
        let Some(model) = model.and_then(|id| view.engine.models.get(id)) else {
            return false;
        };
        (0..model.group_size).all(|rank| {
            let facts = self.members.get(&rank).map(|id| &view.targets[id]);
            facts.is_some_and(|facts| {
                let held = facts.membership.as_ref();
                let is_counted = match facts.standing {
                    TargetStanding::Live | TargetStanding::Draining => true,
                    TargetStanding::Unlisted => is_served,
                    TargetStanding::Silent => false,
                };
                is_counted && held.is_some_and(|held| held.epoch == self.epoch)
            })
        })
    }

    /// Returns whether the members are of the lives that were chosen.
    pub(super) fn are_lives_chosen(&self, group: &str, view: &DomainView<'_>) -> bool {
        is_marked_for(group, self.members.values(), view)
    }
}

/// Targets that say they have one place of a group, by rank.
type PlaceClaims = IndexMap<usize, Vec<TargetId>>;

/// Returns the groups in which the targets of a domain say they are, in the order of their names.
pub(super) fn seen_groups(view: &DomainView<'_>) -> IndexMap<GroupId, SeenGroup> {
    let mut members: IndexMap<&GroupId, Vec<(&TargetId, &Membership)>> = IndexMap::new();
    for (id, facts) in view.targets {
        if let Some(held) = &facts.membership {
            members.entry(&held.group).or_default().push((id, held));
        }
    }
    members.sort_keys();
    let groups = members.into_iter();
    let groups = groups.map(|(group, members)| (group.clone(), seen_group(group, &members, view)));
    groups.collect()
}

fn seen_group(
    group: &str,
    members: &[(&TargetId, &Membership)],
    view: &DomainView<'_>,
) -> SeenGroup {
    let mut claims = PlaceClaims::new();
    for (id, held) in members {
        claims.entry(held.rank).or_default().push((*id).clone());
    }
    let epochs = members.iter().map(|(_, held)| held.epoch);
    let models = members.iter().map(|(id, _)| &view.targets[*id].model);
    SeenGroup {
        epoch: epochs.max().unwrap_or_default(),
        model: models.flatten().next().cloned(),
        members: members_of(group, claims, view),
    }
}

/// Returns the member of each rank.
///
/// A target that has ended passes for live while another one answers at its address, and says what that one
/// is. Of two that claim one place the group's name tells which was chosen; taken for a member, the ended one
/// would make a group look other than it was formed, and it would be ended.
fn members_of(
    group: &str,
    mut claims: PlaceClaims,
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
        sets = longer.take(MOST_SETS).collect();
    }
    let is_chosen = |set: &&Vec<&TargetId>| is_marked_for(group, set.iter().copied(), view);
    let chosen = sets.iter().find(is_chosen).filter(|_| is_contested);
    let first = || claims.values().filter_map(|ids| ids.first()).collect();
    let members = chosen.cloned().unwrap_or_else(first);
    let ranks = claims.keys().copied();
    ranks.zip(members.into_iter().cloned()).collect()
}

/// Returns the end of a group's name, which tells the lives of its members.
///
/// An order to join that was held up can bring a target into a group for which an earlier life of it was
/// chosen. The order that is sent next on what is believed of that earlier life may then find the count
/// it expects, and take the target out of a group that serves. Every controller, also one that took over,
/// sees by the name that such a group is not the one that was formed, and ends it instead of opening it.
pub(super) fn lives_mark<'a>(lives: impl Iterator<Item = (&'a TargetId, Incarnation)>) -> String {
    let list: Vec<String> = lives.map(|(id, born)| format!("{id}/{born}")).collect();
    format!("{:08x}", xxh3_64(list.join(" ").as_bytes()) as u32)
}

/// Returns whether a group's name tells the lives of these members, in order of rank.
fn is_marked_for<'a>(
    group: &str,
    members: impl Iterator<Item = &'a TargetId>,
    view: &DomainView<'_>,
) -> bool {
    let lives = members.map(|id| (id, view.targets[id].incarnation));
    group.ends_with(&lives_mark(lives))
}
