//! Slots of groups as the coordinator of a shared queue knows them before gossip reports them.
//!
//! The coordinator counts its own grants and the releases that nodes report, and corrects the count by gossip only when
//! a difference persists. Gossip is 150 to 250 ms old, by a delay that varies: adding recent changes to it would count
//! some of them twice and others not at all, and the count would alternate between too high and too low.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::id::Moment;
use crate::queued_request::{GroupCapacity, GroupKey, GRANT_TTL, NODE_TTL};

/// Shortest time after which gossip reports a request; the longest is [`GRANT_TTL`].
const MIN_REPORT_AGE: Duration = Duration::from_millis(150);
/// Time for which gossip must report more requests than were counted before it is believed.
///
/// Nodes' reports are of different ages, so that a slot that changes hands is reported twice or not at all.
const SURPLUS_TIME: Duration = Duration::from_millis(250);
/// Time for which gossip must report fewer requests than were counted before it is believed.
///
/// It also reports slots that have become free sooner than their node's message does.
const SHORTFALL_TIME: Duration = Duration::from_millis(500);
/// Usual time after which gossip reports a request.
const MEAN_REPORT_AGE: Duration = Duration::from_millis(200);
/// Mean time for which a slot is free before its next request starts: two messages and the interval between messages.
///
/// Gossip reports such slots as free, although they are in use for the coordinator.
const HANDOVER_TIME: Duration = Duration::from_millis(15);
/// Time over which the mean difference between the count and the reports is taken.
const DIFFERENCE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Mean difference in slots from which it is corrected; a smaller one can be chance.
const MIN_MEAN_DIFFERENCE: f64 = 0.8;

/// A difference between what gossip reports and what was counted.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deviation {
    since: Moment,
    /// Its smallest size since then.
    smallest: i64,
}

impl Deviation {
    /// Follows a difference, and returns by how much to correct the count once it has lasted for long enough.
    fn follow(deviation: &mut Option<Self>, size: i64, min_time: Duration, now: Moment) -> i64 {
        if size <= 0 {
            *deviation = None;
            return 0;
        }
        let known = deviation.get_or_insert(Self {
            since: now,
            smallest: size,
        });
        known.smallest = size.min(known.smallest);
        if now < known.since + min_time {
            return 0;
        }
        deviation.take().map_or(0, |known| known.smallest)
    }
}

/// Requests at one group.
#[derive(Clone, Debug, Default, PartialEq)]
struct GroupCount {
    load: i64,
    /// Grants and releases of the last [`GRANT_TTL`], the oldest first.
    changes: VecDeque<(Moment, i64)>,
    /// What gossip reported last, and when.
    reported: i64,
    reported_at: Option<Moment>,
    counted_since: Moment,
    surplus: Option<Deviation>,
    shortfall: Option<Deviation>,
    /// Smoothed number of requests that were counted and that gossip does not report.
    unreported: f64,
}

impl GroupCount {
    fn change(&mut self, slots: i64, now: Moment) {
        self.load += slots;
        self.changes.push_back((now, slots));
    }

    /// Corrects the count by what gossip reports.
    fn correct(&mut self, reported: i64, now: Moment) {
        self.prune(now);
        // Until then a reply may be on its way whose grant gossip does not report yet.
        let is_current = self.reported_at.is_some_and(|at| now < at + NODE_TTL);
        if !is_current {
            let changed: i64 = self.changes.iter().map(|(_, slots)| slots).sum();
            self.load = reported + changed;
            self.counted_since = now;
            (self.surplus, self.shortfall) = (None, None);
            self.unreported = 0.0;
        } else if now < self.counted_since + MIN_REPORT_AGE {
            // What was counted is not reported yet, so that everything new comes from elsewhere.
            self.load += reported - self.reported;
        } else {
            self.compare(reported, now);
        }
        self.reported = reported;
        self.reported_at = Some(now);
    }

    fn compare(&mut self, reported: i64, now: Moment) {
        let (lowest, highest, released) = self.reported_range(now);
        // Each slot that changed hands may be reported twice; what is beyond has been sent by other nodes on their own.
        let certain = (reported - highest - released).max(0);
        self.load += certain;
        let (more, less) = (reported - highest - certain, lowest - reported);
        self.load += Deviation::follow(&mut self.surplus, more, SURPLUS_TIME, now);
        self.load -= Deviation::follow(&mut self.shortfall, less, SHORTFALL_TIME, now);
        self.correct_mean(reported, now);
    }

    /// Corrects a difference that is smaller than the fluctuations of the reports.
    fn correct_mean(&mut self, reported: i64, now: Moment) {
        let difference = self.load_at(now.saturating_sub(MEAN_REPORT_AGE)) - reported;
        let released = self.changes.iter().map(|(_, slots)| -slots.min(&0));
        let released = released.sum::<i64>() as f64;
        let handed_over = released * HANDOVER_TIME.div_duration_f64(GRANT_TTL);
        let elapsed = now.saturating_sub(self.reported_at.unwrap_or(now));
        let weight = 1.0 - (-elapsed.div_duration_f64(DIFFERENCE_TIME_CONSTANT)).exp();
        self.unreported += weight * (difference as f64 - handed_over - self.unreported);
        if self.unreported.abs() >= MIN_MEAN_DIFFERENCE {
            let slots = self.unreported.round();
            self.load -= slots as i64;
            self.unreported -= slots;
        }
    }

    /// Returns what the count was at a time.
    fn load_at(&self, time: Moment) -> i64 {
        let later = self.changes.iter().rev().take_while(|(at, _)| *at > time);
        self.load - later.map(|(_, slots)| slots).sum::<i64>()
    }

    /// Returns the lowest and the highest count of the time that gossip may report now, and the slots released then.
    fn reported_range(&self, now: Moment) -> (i64, i64, i64) {
        let latest = now.saturating_sub(MIN_REPORT_AGE);
        let (mut load, mut released) = (self.load, 0);
        let mut within = Vec::new();
        for (at, slots) in self.changes.iter().rev() {
            if *at <= latest {
                within.push(load);
                released -= slots.min(&0);
            }
            load -= slots;
        }
        let lowest = within.iter().fold(load, |lowest, load| lowest.min(*load));
        let highest = within.iter().fold(load, |highest, load| highest.max(*load));
        (lowest, highest, released)
    }

    fn prune(&mut self, now: Moment) {
        let is_old = |(at, _): &(Moment, i64)| now >= *at + GRANT_TTL;
        while self.changes.front().is_some_and(is_old) {
            self.changes.pop_front();
        }
    }
}

/// Requests at the groups of a queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SlotLedger {
    groups: IndexMap<GroupKey, GroupCount>,
}

impl SlotLedger {
    /// Records that a slot of a group was granted.
    pub(crate) fn record_grant(&mut self, group: GroupKey, now: Moment) {
        self.groups.entry(group).or_default().change(1, now);
    }

    /// Records that slots of a group have become free.
    pub(crate) fn record_releases(&mut self, group: GroupKey, slots: u32, now: Moment) {
        let count = self.groups.entry(group).or_default();
        count.change(-i64::from(slots), now);
    }

    /// Takes note of what gossip reports; groups that are not listed are dropped.
    pub(crate) fn correct(&mut self, groups: &[GroupCapacity], now: Moment) {
        let is_listed = |key: &GroupKey| groups.iter().any(|group| group.group == *key);
        self.groups.retain(|key, _| is_listed(key));
        for group in groups {
            let count = self.groups.entry(group.group).or_default();
            count.correct(i64::from(group.active_requests), now);
        }
    }

    /// Returns the number of requests at a group by the coordinator's count, or as gossip reports it if it is not counted.
    pub(crate) fn load_of(&self, group: &GroupCapacity) -> u32 {
        let count = self.groups.get(&group.group);
        count.map_or(group.active_requests, |count| {
            u32::try_from(count.load.max(0)).unwrap_or(u32::MAX)
        })
    }
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
