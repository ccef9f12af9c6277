//! Which entries stay in use although they are missing after the directory could not be read.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{Moment, ZoneId};

/// Time after the directory recovers during which expired entries may be written again.
///
/// Targets rewrite their entries within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);

/// Minimum number of missing entries that are taken for an outage although most are listed; one or two targets may
/// leave at the same time.
const MIN_OUTAGE_LOSSES: usize = 3;

/// What a response of the directory says of a known entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryState {
    /// It is as it was.
    Unchanged,
    /// It was written since the previous response.
    Written,
    /// It is no longer listed.
    Missing,
}

/// Number of known entries in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EntryCounts {
    /// Number of entries that are as they were.
    pub unchanged: usize,
    /// Number of entries that were written since the previous response.
    pub written: usize,
    /// Number of entries that are no longer listed.
    pub missing: usize,
}

impl EntryCounts {
    /// Returns the number of entries that are listed.
    ///
    /// ```
    /// use briarswitch_core::recovery_window::EntryCounts;
    ///
    /// assert_eq!(EntryCounts { unchanged: 2, written: 1, missing: 4 }.listed(), 3);
    /// ```
    pub fn listed(self) -> usize {
        self.unchanged + self.written
    }

    fn add(&mut self, state: EntryState) {
        let count = match state {
            EntryState::Unchanged => &mut self.unchanged,
            EntryState::Written => &mut self.written,
            EntryState::Missing => &mut self.missing,
        };
        *count += 1;
    }

    /// Returns whether most entries are missing or had to be written again.
    fn have_mostly_expired(self) -> bool {
        self.missing >= MIN_OUTAGE_LOSSES && self.missing + self.written > self.unchanged
    }
}

/// Counts of the known entries of the directory, in all and by zone.
///
/// An outage of the directory, or of the path of a zone to it, keeps all targets there alike from renewing their
/// entries, whereas targets that leave are few at a time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryCensus {
    total: EntryCounts,
    by_zone: IndexMap<ZoneId, EntryCounts>,
}

impl EntryCensus {
    /// Counts one entry.
    ///
    /// ```
    /// use briarswitch_core::recovery_window::{EntryCensus, EntryState};
    ///
    /// let mut census = EntryCensus::default();
    /// census.add("a", EntryState::Missing);
    /// assert_eq!(census.total().missing, 1);
    /// ```
    pub fn add(&mut self, zone: &str, state: EntryState) {
        self.total.add(state);
        if !self.by_zone.contains_key(zone) {
            self.by_zone.insert(zone.to_owned(), EntryCounts::default());
        }
        self.by_zone[zone].add(state);
    }

    /// Returns the counts of all entries.
    pub fn total(&self) -> EntryCounts {
        self.total
    }

    /// Returns the zones of the entries.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.by_zone.keys()
    }

    /// Returns whether the targets of a zone must have been unable to renew their entries.
    ///
    /// ```
    /// use briarswitch_core::recovery_window::{EntryCensus, EntryState};
    ///
    /// let mut census = EntryCensus::default();
    /// census.add("a", EntryState::Missing);
    /// assert!(census.shows_outage_of("a"));
    /// census.add("b", EntryState::Unchanged);
    /// assert!(!census.shows_outage_of("a"));
    /// ```
    pub fn shows_outage_of(&self, zone: &str) -> bool {
        let of_zone = self.by_zone.get(zone).copied().unwrap_or_default();
        self.total.missing > self.total.listed()
            || self.total.have_mostly_expired()
            || of_zone.have_mostly_expired()
    }

    fn shows_outage(&self) -> bool {
        self.by_zone.keys().any(|zone| self.shows_outage_of(zone))
    }
}

/// Why entries may be missing although their targets have not left.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
enum EntryLoss {
    /// Targets may have been unable to renew their entries.
    #[default]
    Expired,
    /// The directory was restored from a backup without its last writes.
    Restored,
}

/// Distinguishes entries that expired during a directory outage from targets that left.
///
/// A failed read does not show that the directory was out of service: the connection of this node alone may have
/// failed, while targets renewed their entries and left. An entry kept then would get requests for seconds after its
/// target left, which are lost when the target exits. Missing entries are therefore kept only if most have expired; if a
/// live target is dropped by mistake, its capacity is missing until it renews its entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct RecoveryWindow {
    is_unreachable: bool,
    loss: EntryLoss,
    until: Moment,
}

impl RecoveryWindow {
    /// Records that the directory did not respond to this node.
    pub fn note_failure(&mut self) {
        self.is_unreachable = true;
    }

    /// Records that the directory responded.
    pub fn note_answer(&mut self, now: Moment) {
        if std::mem::take(&mut self.is_unreachable) {
            self.open(EntryLoss::Expired, now);
        }
    }

    /// Records that the directory was restored from a backup, so that single entries may be lost.
    pub fn note_restore(&mut self, now: Moment) {
        self.is_unreachable = false;
        self.open(EntryLoss::Restored, now);
    }

    /// Returns the time until which entries of a zone that are found missing at `now` are kept; `None` if their targets
    /// have left.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::recovery_window::{EntryCensus, EntryState, RecoveryWindow};
    ///
    /// let at = Duration::from_secs;
    /// let mut window = RecoveryWindow::default();
    /// window.note_failure();
    /// window.note_answer(at(10));
    /// let mut census = EntryCensus::default();
    /// census.add("a", EntryState::Missing);
    /// assert!(window.keep_until(&census, "a", at(11)).is_some());
    /// assert!(window.keep_until(&census, "a", at(13)).is_none());
    /// ```
    pub fn keep_until(&self, census: &EntryCensus, zone: &str, now: Moment) -> Option<Moment> {
        let is_lost = self.loss == EntryLoss::Restored || census.shows_outage_of(zone);
        (now < self.until && is_lost).then_some(self.until)
    }

    /// Returns whether kept entries may be dropped when their time is up.
    ///
    /// While the directory does not respond, targets may be unable to renew their entries. Once most have, the others
    /// had their chance, and a failure of this node's own connection must not extend the time of those that left.
    ///
    /// ```
    /// use briarswitch_core::recovery_window::{EntryCensus, EntryState, RecoveryWindow};
    ///
    /// let mut window = RecoveryWindow::default();
    /// window.note_failure();
    /// let mut census = EntryCensus::default();
    /// census.add("a", EntryState::Missing);
    /// assert!(!window.may_expire(&census));
    /// census.add("a", EntryState::Unchanged);
    /// assert!(window.may_expire(&census));
    /// ```
    pub fn may_expire(&self, census: &EntryCensus) -> bool {
        !self.is_unreachable || !census.shows_outage()
    }

    fn open(&mut self, loss: EntryLoss, now: Moment) {
        self.loss = loss;
        self.until = now + REREGISTRATION_GRACE;
    }
}
