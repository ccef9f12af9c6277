//! Idempotency keys and the known state of the work under each.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::Moment;
use crate::outcome::Outcome;

/// What this node knows about one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The key was issued by this node and no work has begun under it.
    Minted,
    /// This node is processing a request with this key.
    Open,
    /// The work has ended.
    Settled(Outcome),
}

/// Idempotency keys recently seen by this node.
///
/// The cache only saves table reads. A key that is not cached is still claimed in the table before
/// any byte is sent, so evicting an entry costs a read and never a second run.
#[derive(Clone, Debug)]
pub struct ClaimCache {
    capacity: usize,
    retention: Duration,
    entries: IndexMap<String, (ClaimState, Moment)>,
}

impl ClaimCache {
    /// Creates a cache for `capacity` keys.
    ///
    /// When it is full, keys that have not changed for `retention` are evicted, except those in
    /// use.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            capacity,
            retention,
            entries: IndexMap::new(),
        }
    }

    /// Begins work under a key, or returns the known state of the key.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    /// use std::time::Duration;
    ///
    /// let mut cache = ClaimCache::new(8, Duration::from_secs(60));
    /// assert_eq!(cache.begin("order-1", Duration::ZERO), None);
    /// assert_eq!(cache.begin("order-1", Duration::ZERO), Some(ClaimState::Open));
    /// ```
    pub fn begin(&mut self, key: &str, now: Moment) -> Option<ClaimState> {
        if let Some((state, _)) = self.entries.get(key) {
            return Some(*state);
        }
        self.evict(now);
        self.entries.insert(key.to_owned(), (ClaimState::Open, now));
        None
    }

    /// Adds a key issued by this node; returns false if the cache is full.
    pub fn mint(&mut self, key: &str, now: Moment) -> bool {
        self.evict(now);
        let has_room = self.entries.len() < self.capacity;
        if has_room {
            self.entries
                .insert(key.to_owned(), (ClaimState::Minted, now));
        }
        has_room
    }

    /// Begins work under a key issued by this node, or returns the known state of the key. Work may
    /// already have run under an issued key that is no longer cached.
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

    /// Makes an issued key usable again after nothing has run under it.
    pub fn restore(&mut self, key: &str, now: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = (ClaimState::Minted, now);
        }
    }

    /// Records the outcome of the work under a key.
    pub fn settle(&mut self, key: &str, outcome: Outcome, now: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = (ClaimState::Settled(outcome), now);
        }
    }

    /// Removes a key, so that it can be claimed again.
    pub fn forget(&mut self, key: &str) {
        self.entries.swap_remove(key);
    }

    /// Returns the number of cached keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict(&mut self, now: Moment) {
        if self.entries.len() < self.capacity {
            return;
        }
        let retention = self.retention;
        self.entries
            .retain(|_, (state, at)| *state == ClaimState::Open || now < *at + retention);
    }
}
