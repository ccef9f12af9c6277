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
    Withdrawn(TargetId),
}

impl TargetChange {
    /// Returns the target that the change is about.
    pub fn target(&self) -> &TargetId {
        match self {
            Self::Put(record) => &record.id,
            Self::Removed(id) | Self::Withdrawn(id) => id,
        }
    }
}

/// Time after the directory's return within which entries that lapsed meanwhile are put back.
///
/// Targets write their entries again within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Tells lapses during an absence of the directory from departures.
///
/// What is missing when the directory returns may only have lapsed. What is removed later has left: kept
/// as a lapse, it would get requests for seconds after everybody else has stopped.
#[derive(Clone, Copy, Debug, Default)]
pub struct LapseWindow {
    is_away: bool,
    until: Moment,
}

impl LapseWindow {
    /// Notes that the directory did not answer.
    pub fn note_failure(&mut self) {
        self.is_away = true;
    }

    /// Notes that the directory answered.
    pub fn note_answer(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_away) {
            self.until = now + RETURN_TIME;
        }
    }

    /// Returns until when an entry is kept that is found removed at `now`; `None` if it has left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::target::LapseWindow;
    ///
    /// let at = Duration::from_secs;
    /// let mut window = LapseWindow::default();
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

/// What the directory lists, with departures held back while the directory itself was away.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: TargetList,
    lapsed: IndexMap<TargetId, Moment>,
    unlisted: TargetList,
    ended: u64,
}

impl TargetBook {
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
    /// use briarswitch_core::target::TargetBook;
    ///
    /// assert!(TargetBook::default().unlisted().is_empty());
    /// ```
    pub fn unlisted(&self) -> &TargetList {
        &self.unlisted
    }

    /// Returns how many targets have ended so far without asking for no new work before, lapses among them.
    ///
    /// ```
    /// use briarswitch_core::target::TargetBook;
    ///
    /// assert_eq!(TargetBook::default().ended(), 0);
    /// ```
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// Forgets the unlisted members of groups that no listed target is in any more.
    ///
    /// To be called once the changes of an answer are taken in.
    ///
    /// ```
    /// use briarswitch_core::target::TargetBook;
    ///
    /// let mut book = TargetBook::default();
    /// book.forget_ended();
    /// assert!(book.unlisted().is_empty());
    /// ```
    pub fn forget_ended(&mut self) {
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
            TargetChange::Put(record) => {
                self.lapsed.swap_remove(&record.id);
                self.unlisted.swap_remove(&record.id);
                let born = record.incarnation;
                let before = self.targets.insert(record.id.clone(), Arc::from(record));
                self.ended += u64::from(before.is_some_and(|before| before.incarnation != born));
            }
            TargetChange::Removed(id) => match keep_until {
                Some(until) if self.targets.contains_key(&id) => {
                    self.lapsed.insert(id, until);
                }
                _ => self.depart(&id),
            },
            // Somebody wrote it, so it has not lapsed; kept as it was before, it would get requests
            // for as long as nobody writes it again.
            TargetChange::Withdrawn(id) => self.drop_entry(&id),
        }
    }

    /// Drops an entry that nobody renewed; the target may live on as a member of its group.
    fn depart(&mut self, id: &TargetId) {
        let record = self.targets.get(id).cloned();
        let is_sudden = record.as_ref().is_some_and(|record| !record.is_draining);
        self.ended += u64::from(is_sudden);
        let member = record.filter(|record| !record.is_draining && record.membership.is_some());
        self.drop_entry(id);
        if let Some(member) = member {
            self.unlisted.insert(id.clone(), member);
        }
    }

    fn drop_entry(&mut self, id: &TargetId) {
        self.targets.swap_remove(id);
        self.lapsed.swap_remove(id);
        self.unlisted.swap_remove(id);
    }

    /// Takes in a whole list; what it does not hold is removed.
    pub fn replace(&mut self, listed: Vec<TargetChange>, keep_until: Option<Moment>) {
        let names: IndexSet<&TargetId> = listed.iter().map(TargetChange::target).collect();
        let missing: Vec<TargetId> = self
            .targets
            .keys()
            .filter(|id| !names.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.apply(TargetChange::Removed(id), keep_until);
        }
        for change in listed {
            self.apply(change, None);
        }
    }

    /// Returns whether any entry is kept although it is not listed.
    pub fn has_lapsed(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// Drops entries that were not put back in time, and returns whether there were any.
    pub fn expire(&mut self, now: Moment) -> bool {
        let due: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.apply(TargetChange::Removed(id.clone()), None);
        }
        !due.is_empty()
    }
}
