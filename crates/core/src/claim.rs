//! Callers' idempotency keys, and what is known of the work done under each.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::Moment;
use crate::outcome::Outcome;

/// What this node knows of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The key was minted here and nothing was begun under it.
    Minted,
    /// A request with this key is being worked on here.
    Open,
    /// The work ended.
    Settled(Outcome),
}

/// The keys this node has seen lately.
///
/// The book only spares table reads: a key that is not in it is still claimed in the table before
/// any byte goes out, so forgetting an entry costs a read and never a second run.
#[derive(Clone, Debug)]
pub struct ClaimCache {
    capacity: usize,
    retention: Duration,
    entries: IndexMap<String, (ClaimState, Moment)>,
}

impl ClaimCache {
    /// Opens a book of at most `capacity` keys, each kept for `keep` after it settled.
    pub fn new(capacity: usize, keep: Duration) -> Self {
        Self {
            capacity,
            retention: keep,
            entries: IndexMap::new(),
        }
    }

    /// Opens a key, or returns what is already known of it.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    /// use std::time::Duration;
    ///
    /// let mut book = ClaimCache::open(8, Duration::from_secs(60));
    /// assert_eq!(book.begin("order-1", Duration::ZERO), None);
    /// assert_eq!(book.begin("order-1", Duration::ZERO), Some(ClaimState::Open));
    /// ```
    pub fn begin(&mut self, key: &str, now: Moment) -> Option<ClaimState> {
        if let Some((state, _)) = self.entries.get(key) {
            return Some(*state);
        }
        self.trim(now);
        self.entries.insert(key.to_owned(), (ClaimState::Open, now));
        None
    }

    /// Adds a key minted here; false when there is no room.
    pub fn mint(&mut self, key: &str, now: Moment) -> bool {
        self.trim(now);
        let has_room = self.entries.len() < self.capacity;
        if has_room {
            self.entries
                .insert(key.to_owned(), (ClaimState::Minted, now));
        }
        has_room
    }

    /// Opens a key that was minted here, or returns what is known of it; a minted key that is not
    /// in the book any more may have run.
    pub fn begin_minted(&mut self, key: &str, now: Moment) -> Option<ClaimState> {
        match self.entries.get_mut(key) {
            Some(entry) if entry.0 == ClaimState::Minted => {
                *entry = (ClaimState::Open, now);
                None
            }
            Some((state, _)) => Some(*state),
            None => Some(ClaimState::Settled(Outcome::Unknown)),
        }
    }

    /// Makes a minted key usable again, nothing having run under it.
    pub fn restore(&mut self, key: &str, now: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = (ClaimState::Minted, now);
        }
    }

    /// Records how the work under a key ended.
    pub fn settle(&mut self, key: &str, outcome: Outcome, now: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = (ClaimState::Settled(outcome), now);
        }
    }

    /// Forgets a key, so that it may be claimed anew.
    pub fn forget(&mut self, key: &str) {
        self.entries.swap_remove(key);
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn trim(&mut self, now: Moment) {
        if self.entries.len() < self.capacity {
            return;
        }
        let keep = self.retention;
        self.entries
            .retain(|_, (state, at)| *state == ClaimState::Open || now < *at + keep);
    }
}
