//! Targets as listed in the platform's directory, and their own reports of group membership.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::id::{
    DomainId, Epoch, GroupId, Incarnation, ModelId, Moment, ServiceId, TargetId, ZoneId,
};
use crate::recovery_window::{EntryCensus, EntryState};

/// Progress of a group member.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MembershipState {
    /// Weights are still loading or peers are still missing.
    Joining,
    /// Complete as far as this member knows, but not serving yet.
    Ready,
    /// The leader serves requests.
    Open,
    /// The leader finishes the requests it has and accepts no new ones.
    Closing,
    /// A member was lost and the group no longer serves.
    Broken,
}

/// Group membership as reported by the target itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Membership {
    /// Group.
    pub group: GroupId,
    /// Epoch of the attempt to form the group.
    pub epoch: Epoch,
    /// Position in the member list; rank 0 is the leader, which takes the requests.
    pub rank: usize,
    /// Progress of this member.
    pub state: MembershipState,
}

/// Directory entry of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name.
    pub id: TargetId,
    /// Incarnation under that name; zero if the target does not report one.
    pub incarnation: Incarnation,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Address of its listener.
    pub address: String,
    /// Zone.
    pub zone: ZoneId,
    /// Whether the target has asked for no new work.
    pub is_draining: bool,
    /// Number of requests it processes concurrently.
    pub slots: u32,
    /// Time until it has warmed up, as of the writing of the entry.
    pub warmup_left: Duration,
    /// Fabric domain; empty if it has none.
    pub domain: DomainId,
    /// Models whose weights are staged on its host.
    pub staged: Vec<ModelId>,
    /// Models it serves.
    pub models: Vec<ModelId>,
    /// Membership in a group, if any.
    pub membership: Option<Membership>,
}

/// One change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChange {
    /// The entry is new or has changed.
    Put(Box<TargetRecord>),
    /// The entry was deleted.
    Removed(TargetId),
    /// The entry cannot be parsed, so its target must not be used.
    Unreadable(TargetId),
}

impl TargetChange {
    /// Returns the id of the changed target.
    pub fn target(&self) -> &TargetId {
        match self {
            Self::Put(record) => &record.id,
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// Targets by id. Records are shared because each change produces a new list for concurrent
/// readers.
pub type TargetList = IndexMap<TargetId, Arc<TargetRecord>>;

/// Time for which a replaced entry stays unused after the entry that took its address is gone.
///
/// By then the directory has dropped the entry of a target that has terminated.
const RESTORE_DELAY: Duration = Duration::from_secs(6);
/// Number of target ids remembered per address.
const MAX_TARGETS_PER_ADDRESS: usize = 4;
/// Number of addresses remembered beyond the number of listed targets.
const MAX_UNLISTED_ADDRESSES: usize = 1_024;

/// Local copy of the directory that tolerates directory outages and reused addresses.
///
/// An address is reused only after its target has terminated, but the old entry may stay for
/// seconds or be rewritten by a delayed call. The new target would then respond for both, and
/// terminated members would count as live. Of several entries with the same address, only that of
/// the target seen last is therefore used.
#[derive(Clone, Debug, Default)]
pub struct TargetCache {
    targets: TargetList,
    /// Target ids seen at each address, oldest first. Shared between clones, since it changes only
    /// when a target appears.
    ids_by_address: Arc<IndexMap<String, Vec<TargetId>>>,
    /// Targets missing after an outage, and when to remove them unless they are listed again.
    removal_due: IndexMap<TargetId, Moment>,
    /// Group members without a directory entry.
    unlisted: TargetList,
    /// Listed targets whose address has since been taken by another target.
    replaced: TargetList,
    /// For each entry of `replaced` whose address is no longer in use: when that was first noticed.
    address_free_since: IndexMap<TargetId, Moment>,
    unexpected_exits: u64,
}

impl TargetCache {
    /// Returns the targets by id.
    pub fn targets(&self) -> &TargetList {
        &self.targets
    }

    /// Returns group members whose directory entries are gone.
    ///
    /// A target that is cut off from the directory loses its entry but keeps working. If it is not
    /// the leader of its group, it takes no requests and the group can keep serving. When groups
    /// were dissolved for every expired entry, 25 of 222 targets cut off for 5 s cost all groups of
    /// sixteen and a third of the groups of four.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert!(TargetCache::default().unlisted().is_empty());
    /// ```
    pub fn unlisted(&self) -> &TargetList {
        &self.unlisted
    }

    /// Returns how many targets have restarted, or disappeared without draining first, so far.
    ///
    /// Entries that merely expired are included.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert_eq!(TargetCache::default().unexpected_exits(), 0);
    /// ```
    pub fn unexpected_exits(&self) -> u64 {
        self.unexpected_exits
    }

    /// Removes unlisted members whose group has no listed member any more.
    ///
    /// Must be called after all changes of one directory response have been applied.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// let mut cache = TargetCache::default();
    /// cache.prune_unlisted();
    /// assert!(cache.unlisted().is_empty());
    /// ```
    pub fn prune_unlisted(&mut self) {
        if self.unlisted.is_empty() {
            return;
        }
        let memberships = self.targets.values();
        let memberships = memberships.filter_map(|record| record.membership.as_ref());
        let listed: IndexSet<(&GroupId, Epoch)> = memberships
            .map(|membership| (&membership.group, membership.epoch))
            .collect();
        self.unlisted.retain(|_, record| {
            let membership = record.membership.as_ref();
            membership
                .is_some_and(|membership| listed.contains(&(&membership.group, membership.epoch)))
        });
    }

    /// Applies one change.
    ///
    /// Entries expire during a directory outage although their targets are alive. Dropping them at
    /// once would empty the routing table just when the directory recovers. With `keep_until` set,
    /// a removed entry is kept until then, and for good if it is written again.
    pub fn apply(&mut self, change: TargetChange, keep_until: Option<Moment>) {
        match change {
            TargetChange::Put(record) => self.put(Arc::from(record)),
            TargetChange::Removed(id) => match keep_until {
                Some(until) if self.targets.contains_key(&id) => {
                    self.removal_due.insert(id, until);
                }
                _ => self.remove_departed(&id),
            },
            // The entry was rewritten, so it did not expire. The previous version must not be kept:
            // it would get requests until the entry is written again.
            TargetChange::Unreadable(id) => self.drop_entry(&id),
        }
    }

    fn is_known(&self, record: &TargetRecord) -> bool {
        let known = self.targets.get(&record.id);
        known.is_some_and(|known| **known == *record)
    }

    fn put(&mut self, record: Arc<TargetRecord>) {
        let current = self.targets.get(&record.id);
        let is_known = current.is_some_and(|current| current.address == record.address);
        if !is_known && !self.claim_address(&record) {
            self.drop_entry(&record.id);
            self.replaced.insert(record.id.clone(), record);
            return;
        }
        self.removal_due.swap_remove(&record.id);
        self.unlisted.swap_remove(&record.id);
        self.replaced.swap_remove(&record.id);
        let incarnation = record.incarnation;
        let previous = self.targets.insert(record.id.clone(), record);
        let has_restarted = previous.is_some_and(|previous| previous.incarnation != incarnation);
        self.unexpected_exits += u64::from(has_restarted);
    }

    /// Returns whether `record` is the newest target at its address; if so, the previous one is
    /// replaced.
    fn claim_address(&mut self, record: &TargetRecord) -> bool {
        let address = &record.address;
        self.unlisted
            .retain(|id, other| *id == record.id || other.address != *address);
        self.note_seen(record);
        let ids = &self.ids_by_address[address];
        if ids.last() != Some(&record.id) {
            return false;
        }
        let mut others = ids.iter().filter(|id| **id != record.id);
        if let Some(previous) = others.find_map(|id| self.at_address(id, address)).cloned() {
            self.unexpected_exits += u64::from(!previous.is_draining);
            self.drop_entry(&previous.id);
            self.replaced.insert(previous.id.clone(), previous);
        }
        true
    }

    /// Returns the entry in use for `id` if it has this address.
    fn at_address(&self, id: &TargetId, address: &str) -> Option<&Arc<TargetRecord>> {
        self.targets
            .get(id)
            .filter(|record| record.address == address)
    }

    fn note_seen(&mut self, record: &TargetRecord) {
        let ids = self.ids_by_address.get(&record.address);
        if ids.is_some_and(|ids| ids.contains(&record.id)) {
            return;
        }
        let ids_by_address = Arc::make_mut(&mut self.ids_by_address);
        let ids = ids_by_address.entry(record.address.clone()).or_default();
        ids.push(record.id.clone());
        if ids.len() > MAX_TARGETS_PER_ADDRESS {
            ids.remove(0);
        }
        if ids_by_address.len() > self.targets.len() + MAX_UNLISTED_ADDRESSES {
            let targets = &self.targets;
            let is_listed = |ids: &[TargetId]| ids.iter().any(|id| targets.contains_key(id));
            ids_by_address.retain(|address, ids| *address == record.address || is_listed(ids));
        }
    }

    /// Drops an entry that was not renewed; the target may keep working as a member of its group.
    fn remove_departed(&mut self, id: &TargetId) {
        let record = self.targets.get(id).cloned();
        let is_unexpected = record.as_ref().is_some_and(|record| !record.is_draining);
        self.unexpected_exits += u64::from(is_unexpected);
        self.drop_entry(id);
        let member = record.filter(|record| !record.is_draining && record.membership.is_some());
        if let Some(member) = member {
            self.unlisted.insert(id.clone(), member);
        }
    }

    /// Restores entries whose replacement is gone, and returns whether there were any.
    ///
    /// A node that has just started sees entries in no reliable order and may mistake a target's
    /// successor for its predecessor.
    fn restore_replaced(&mut self, now: Moment) -> bool {
        let is_listed = |address: &str| {
            let mut ids = self.ids_by_address.get(address).into_iter().flatten();
            ids.any(|id| self.at_address(id, address).is_some())
        };
        let replaced = self.replaced.values();
        let restorable: IndexSet<TargetId> = replaced
            .filter(|record| !is_listed(&record.address))
            .map(|record| record.id.clone())
            .collect();
        self.address_free_since
            .retain(|id, _| restorable.contains(id));
        for id in restorable {
            self.address_free_since.entry(id).or_insert(now);
        }
        let due = self.address_free_since.iter();
        let due = due.filter(|(_, since)| now >= **since + RESTORE_DELAY);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            if let Some(record) = self.replaced.swap_remove(id) {
                self.targets.insert(id.clone(), record);
            }
        }
        !due.is_empty()
    }

    fn drop_entry(&mut self, id: &TargetId) {
        self.targets.swap_remove(id);
        self.removal_due.swap_remove(id);
        self.unlisted.swap_remove(id);
        self.replaced.swap_remove(id);
    }

    /// Counts the known entries that are listed, and those that are gone, as of a response with these changes.
    ///
    /// Entries that went missing earlier and are still kept count as missing.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// let census = TargetCache::default().census(&[], true);
    /// assert_eq!(census.total().missing, 0);
    /// ```
    pub fn census(&self, changes: &[TargetChange], is_snapshot: bool) -> EntryCensus {
        let states = changes.iter().map(|change| {
            let state = match change {
                TargetChange::Removed(_) => EntryState::Missing,
                TargetChange::Put(record) if is_snapshot && self.is_known(record) => {
                    EntryState::Unchanged
                }
                _ => EntryState::Written,
            };
            (change.target(), state)
        });
        let states: IndexMap<&TargetId, EntryState> = states.collect();
        let state_of = |id: &TargetId| match states.get(id) {
            Some(state) => *state,
            None if is_snapshot || self.removal_due.contains_key(id) => EntryState::Missing,
            None => EntryState::Unchanged,
        };
        let mut census = EntryCensus::default();
        for (id, record) in &self.targets {
            census.add(&record.zone, state_of(id));
        }
        census
    }

    /// Applies a complete list in the order in which its entries were written, and removes entries
    /// that are not in it; those of zones with a time are kept until then.
    pub fn replace(
        &mut self,
        listed: Vec<TargetChange>,
        keep_until: impl Fn(&ZoneId) -> Option<Moment>,
    ) {
        let names: IndexSet<&TargetId> = listed.iter().map(TargetChange::target).collect();
        let known = self.targets.keys().chain(self.replaced.keys());
        let missing: Vec<TargetId> = known.filter(|id| !names.contains(id)).cloned().collect();
        for id in missing {
            let zone = self.targets.get(&id).map(|record| &record.zone);
            let until = zone.and_then(&keep_until);
            self.apply(TargetChange::Removed(id), until);
        }
        for change in listed {
            self.apply(change, None);
        }
    }

    /// Returns whether the passage of time alone will change anything.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert!(!TargetCache::default().is_pending());
    /// ```
    pub fn is_pending(&self) -> bool {
        !self.removal_due.is_empty() || !self.replaced.is_empty()
    }

    /// Drops entries whose time is up, restores replaced ones that are due, and returns whether
    /// anything has changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        let due: Vec<TargetId> = self
            .removal_due
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.apply(TargetChange::Removed(id.clone()), None);
        }
        let has_restored = self.restore_replaced(now);
        !due.is_empty() || has_restored
    }
}
