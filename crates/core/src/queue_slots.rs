//! Slots of groups as the coordinator of a shared queue knows them before gossip reports them.

use std::cmp::Reverse;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::id::Moment;
use crate::shared_queue::{GroupCapacity, GroupKey, GRANT_TTL};

/// Numbers of slots of one group, with the time of each, the oldest first.
type SlotEvents = VecDeque<(Moment, u32)>;

/// Grants and releases of the last [`GRANT_TTL`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SlotLedger {
    grants: IndexMap<GroupKey, SlotEvents>,
    releases: IndexMap<GroupKey, SlotEvents>,
}

impl SlotLedger {
    /// Records that a slot of a group was granted.
    pub(crate) fn record_grant(&mut self, group: GroupKey, now: Moment) {
        self.grants.entry(group).or_default().push_back((now, 1));
    }

    /// Records that slots of a group have become free.
    pub(crate) fn record_releases(&mut self, group: GroupKey, slots: u32, now: Moment) {
        let releases = self.releases.entry(group).or_default();
        releases.push_back((now, slots));
    }

    /// Drops what gossip reports by now.
    pub(crate) fn prune(&mut self, now: Moment) {
        for groups in [&mut self.grants, &mut self.releases] {
            groups.retain(|_, events| {
                while events.front().is_some_and(|(at, _)| now >= *at + GRANT_TTL) {
                    events.pop_front();
                }
                !events.is_empty()
            });
        }
    }

    /// Returns the requests at a group: those that gossip reports, and what it cannot report yet.
    pub(crate) fn load_of(&self, group: &GroupCapacity) -> u32 {
        let granted = count_slots(self.grants.get(&group.group));
        let released = count_slots(self.releases.get(&group.group));
        let known = group.active_requests.saturating_add(granted);
        known.saturating_sub(released).max(granted)
    }
}

fn count_slots(events: Option<&SlotEvents>) -> u32 {
    let slots = events.into_iter().flatten().map(|(_, slots)| *slots);
    slots.fold(0, u32::saturating_add)
}

/// Slots that are still free in one round of the queue.
pub(crate) struct FreeSlots {
    groups: Vec<(GroupCapacity, u32)>,
}

impl FreeSlots {
    /// Returns the free slots of groups.
    pub(crate) fn new(groups: &[GroupCapacity], ledger: &SlotLedger) -> Self {
        let free = groups
            .iter()
            .map(|group| (*group, group.slots.saturating_sub(ledger.load_of(group))));
        Self {
            groups: free.filter(|(_, slots)| *slots > 0).collect(),
        }
    }

    /// Returns whether no slot is free.
    pub(crate) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the fastest group with a free slot that is not excluded; of equal ones that with most free slots.
    pub(crate) fn fastest(&self, excluded: &[GroupKey]) -> Option<GroupKey> {
        let usable = self
            .groups
            .iter()
            .filter(|(group, _)| !excluded.contains(&group.group));
        let (group, _) =
            usable.min_by_key(|(group, slots)| (group.first_event_time, Reverse(*slots)))?;
        Some(group.group)
    }

    /// Takes a slot of a group.
    pub(crate) fn take(&mut self, key: GroupKey) {
        self.groups.retain_mut(|(group, slots)| {
            if group.group == key {
                *slots -= 1;
            }
            *slots > 0
        });
    }
}
