//! Targets as the platform's directory lists them, and the groups they say they are in.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::id::{
    DomainId, Epoch, GroupId, Incarnation, ModelId, Moment, ServiceId, TargetId, ZoneId,
};

/// How far a member of a group has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MembershipState {
    /// Weights or peers are not there yet.
    Joining,
    /// Whole as far as this member knows, and not serving.
    Ready,
    /// The first member serves requests.
    Open,
    /// The first member finishes what it has and takes nothing new.
    Closing,
    /// A member was lost and the group serves no more.
    Broken,
}

/// What a target says of its own place in a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Membership {
    /// Group.
    pub group: GroupId,
    /// Attempt at forming it.
    pub epoch: Epoch,
    /// Place in the list of members; zero takes the requests.
    pub rank: usize,
    /// How far the member has come.
    pub state: MembershipState,
}

/// One target as the directory lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name.
    pub id: TargetId,
    /// Life under that name; zero where the target does not say.
    pub incarnation: Incarnation,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Address of its listener.
    pub address: String,
    /// Zone.
    pub zone: ZoneId,
    /// Whether it asked for no new work.
    pub is_draining: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// Fabric domain; empty where it has none.
    pub domain: DomainId,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Models it serves.
    pub models: Vec<ModelId>,
    /// Its group.
    pub membership: Option<Membership>,
}

/// One change of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetChange {
    /// The entry is new or has changed.
    Put(Box<TargetRecord>),
    /// The entry is gone.
    Removed(TargetId),
    /// The entry can not be understood, so it names no target to use.
    Unreadable(TargetId),
}

impl TargetChange {
    /// Returns the target that the change is about.
    pub fn target(&self) -> &TargetId {
        match self {
            Self::Put(record) => &record.id,
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// Time after the directory's return within which entries that lapsed meanwhile are put back.
///
/// Targets write their entries again within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);

/// Tells lapses during an absence of the directory from departures.
///
/// What is missing when the directory returns may only have lapsed. What is removed later has left: kept
/// as a lapse, it would get requests for seconds after everybody else has stopped.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecoveryWindow {
    is_unreachable: bool,
    until: Moment,
}

impl RecoveryWindow {
    /// Notes that the directory did not answer.
    pub fn note_failure(&mut self) {
        self.is_unreachable = true;
    }

    /// Notes that the directory answered.
    pub fn note_answer(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_unreachable) {
            self.until = now + REREGISTRATION_GRACE;
        }
    }

    /// Returns until when an entry is kept that is found removed at `now`; `None` if it has left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::target::RecoveryWindow;
    ///
    /// let at = Duration::from_secs;
    /// let mut window = RecoveryWindow::default();
    /// window.note_failure();
    /// window.note_answer(at(10));
    /// assert!(window.keep_until(at(11)).is_some());
    /// assert!(window.keep_until(at(13)).is_none());
    /// ```
    pub fn keep_until(&self, now: Moment) -> Option<Moment> {
        (now < self.until).then_some(self.until)
    }
}

/// Targets by id; records are shared, since every change makes a new list that others read.
pub type TargetList = IndexMap<TargetId, Arc<TargetRecord>>;

/// Time for which an entry stays unused after the one that took its address is gone.
///
/// The entry of a target that has ended is gone by then.
const RESTORE_DELAY: Duration = Duration::from_secs(6);
/// Most targets that are remembered of one address.
const MAX_TARGETS_PER_ADDRESS: usize = 4;
/// Most addresses without a listed target that are remembered.
const MAX_UNLISTED_ADDRESSES: usize = 1_024;

/// What the directory lists, with departures held back while the directory itself was away.
///
/// An address is used again only after its target has ended, whose entry may stay for seconds, or be written
/// once more by a call that was held up. What answers at the address would pass for both, and members that are
/// gone would count as live. So of the entries with one address only that of the target seen last is used.
#[derive(Clone, Debug, Default)]
pub struct TargetCache {
    targets: TargetList,
    /// Targets seen at each address, the first one first; shared, since it changes only as targets come.
    seen: Arc<IndexMap<String, Vec<TargetId>>>,
    removal_due: IndexMap<TargetId, Moment>,
    unlisted: TargetList,
    /// Listed targets whose address another one has since.
    replaced: TargetList,
    /// Those of them whose address nobody has any more, and since when.
    address_free_since: IndexMap<TargetId, Moment>,
    unexpected_exits: u64,
}

impl TargetCache {
    /// Returns the targets by id.
    pub fn targets(&self) -> &TargetList {
        &self.targets
    }

    /// Returns the members of groups whose entries are gone.
    ///
    /// A target that is cut off from the directory loses its entry and works on. Where another member heads
    /// its group it takes no requests, and the group serves as before. Ended for each lapsed entry, 25 of 222
    /// targets that were cut off for 5 s cost all groups of sixteen and a third of those of four.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert!(TargetCache::default().unlisted().is_empty());
    /// ```
    pub fn unlisted(&self) -> &TargetList {
        &self.unlisted
    }

    /// Returns how many targets have ended so far without asking for no new work before, lapses among them.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert_eq!(TargetCache::default().ended(), 0);
    /// ```
    pub fn unexpected_exits(&self) -> u64 {
        self.unexpected_exits
    }

    /// Forgets the unlisted members of groups that no listed target is in any more.
    ///
    /// To be called once the changes of an answer are taken in.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// let mut book = TargetCache::default();
    /// book.forget_ended();
    /// assert!(book.unlisted().is_empty());
    /// ```
    pub fn prune_unlisted(&mut self) {
        if self.unlisted.is_empty() {
            return;
        }
        let held = self.targets.values();
        let held = held.filter_map(|record| record.membership.as_ref());
        let known: IndexSet<(&GroupId, Epoch)> =
            held.map(|held| (&held.group, held.epoch)).collect();
        self.unlisted.retain(|_, record| {
            let held = record.membership.as_ref();
            held.is_some_and(|held| known.contains(&(&held.group, held.epoch)))
        });
    }

    /// Takes in one change.
    ///
    /// Entries lapse while the directory is away though their targets live. Dropping them at once
    /// would empty the routing table just when the directory returns. With `keep_until` set, a
    /// removed entry is kept until then, and stays if it is put back.
    pub fn apply(&mut self, change: TargetChange, keep_until: Option<Moment>) {
        match change {
            TargetChange::Put(record) => self.put(Arc::from(record)),
            TargetChange::Removed(id) => match keep_until {
                Some(until) if self.targets.contains_key(&id) => {
                    self.removal_due.insert(id, until);
                }
                _ => self.remove_departed(&id),
            },
            // Somebody wrote it, so it has not lapsed; kept as it was before, it would get requests
            // for as long as nobody writes it again.
            TargetChange::Unreadable(id) => self.drop_entry(&id),
        }
    }

    fn put(&mut self, record: Arc<TargetRecord>) {
        let held = self.targets.get(&record.id);
        let is_known = held.is_some_and(|held| held.address == record.address);
        if !is_known && !self.claim_address(&record) {
            self.drop_entry(&record.id);
            self.replaced.insert(record.id.clone(), record);
            return;
        }
        self.removal_due.swap_remove(&record.id);
        self.unlisted.swap_remove(&record.id);
        self.replaced.swap_remove(&record.id);
        let born = record.incarnation;
        let before = self.targets.insert(record.id.clone(), record);
        self.unexpected_exits += u64::from(before.is_some_and(|before| before.incarnation != born));
    }

    /// Returns whether a target that is not in use has its address now; the one that had it gives way.
    fn claim_address(&mut self, record: &TargetRecord) -> bool {
        let address = &record.address;
        self.unlisted
            .retain(|id, other| *id == record.id || other.address != *address);
        self.note_seen(record);
        let seen = &self.seen[address];
        if seen.last() != Some(&record.id) {
            return false;
        }
        let mut holders = seen.iter().filter(|id| **id != record.id);
        if let Some(holder) = holders.find_map(|id| self.at_address(id, address)).cloned() {
            self.unexpected_exits += u64::from(!holder.is_draining);
            self.drop_entry(&holder.id);
            self.replaced.insert(holder.id.clone(), holder);
        }
        true
    }

    /// Returns the entry that is used of a target, if the target is at an address.
    fn at_address(&self, id: &TargetId, address: &str) -> Option<&Arc<TargetRecord>> {
        self.targets
            .get(id)
            .filter(|record| record.address == address)
    }

    fn note_seen(&mut self, record: &TargetRecord) {
        let seen = self.seen.get(&record.address);
        if seen.is_some_and(|ids| ids.contains(&record.id)) {
            return;
        }
        let seen = Arc::make_mut(&mut self.seen);
        let ids = seen.entry(record.address.clone()).or_default();
        ids.push(record.id.clone());
        if ids.len() > MAX_TARGETS_PER_ADDRESS {
            ids.remove(0);
        }
        if seen.len() > self.targets.len() + MAX_UNLISTED_ADDRESSES {
            let targets = &self.targets;
            let is_listed = |ids: &[TargetId]| ids.iter().any(|id| targets.contains_key(id));
            seen.retain(|address, ids| *address == record.address || is_listed(ids));
        }
    }

    /// Drops an entry that nobody renewed; the target may live on as a member of its group.
    fn remove_departed(&mut self, id: &TargetId) {
        let record = self.targets.get(id).cloned();
        let is_sudden = record.as_ref().is_some_and(|record| !record.is_draining);
        self.unexpected_exits += u64::from(is_sudden);
        self.drop_entry(id);
        let member = record.filter(|record| !record.is_draining && record.membership.is_some());
        if let Some(member) = member {
            self.unlisted.insert(id.clone(), member);
        }
    }

    /// Uses entries again that gave way to ones which are gone, and returns whether there were any.
    ///
    /// A node that has just started may take a target's successor for its predecessor.
    fn restore_replaced(&mut self, now: Moment) -> bool {
        let is_listed = |address: &str| {
            let mut seen = self.seen.get(address).into_iter().flatten();
            seen.any(|id| self.at_address(id, address).is_some())
        };
        let vacant = self.replaced.values();
        let vacant: IndexSet<TargetId> = vacant
            .filter(|record| !is_listed(&record.address))
            .map(|record| record.id.clone())
            .collect();
        self.address_free_since.retain(|id, _| vacant.contains(id));
        for id in vacant {
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

    /// Takes in a whole list, in the order in which its entries were written; what it does not hold is removed.
    pub fn replace(&mut self, listed: Vec<TargetChange>, keep_until: Option<Moment>) {
        let names: IndexSet<&TargetId> = listed.iter().map(TargetChange::target).collect();
        let known = self.targets.keys().chain(self.replaced.keys());
        let missing: Vec<TargetId> = known.filter(|id| !names.contains(id)).cloned().collect();
        for id in missing {
            self.apply(TargetChange::Removed(id), keep_until);
        }
        for change in listed {
            self.apply(change, None);
        }
    }

    /// Returns whether anything changes by time alone.
    ///
    /// ```
    /// use briarswitch_core::target::TargetCache;
    ///
    /// assert!(!TargetCache::default().is_pending());
    /// ```
    pub fn is_pending(&self) -> bool {
        !self.removal_due.is_empty() || !self.replaced.is_empty()
    }

    /// Drops entries that were not put back in time, and returns whether anything has changed.
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
        let is_given_back = self.restore_replaced(now);
        !due.is_empty() || is_given_back
    }
}
