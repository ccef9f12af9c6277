//! What a reader remembers of a table, to tell what has changed when the store no longer can.
//!
//! The store may drop its history at any moment. If every node then read the whole table, each drop would cost as many
//! bytes as there are nodes times rows. A reader therefore keeps the hash of each row that it has passed on, reads the
//! table once, and passes on what differs.

use std::collections::HashSet;

use briarswitch_core::id::Moment;
use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use xxhash_rust::xxh3::xxh3_64;

use crate::ports::{FeedMark, FeedResponse, FeedRow};

/// Hashes of a table's rows at one point in the store's history.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    /// Point that the hashes reflect; `None` before the first whole table.
    mark: Option<FeedMark>,
    hashes: IndexMap<String, u64, FxBuildHasher>,
    /// When the request was sent whose response last showed that nothing is missing here.
    confirmed_at: Moment,
}

impl TableCopy {
    /// Records a response to a request for the changes after `since` that was sent at `sent_at`.
    pub fn record(&mut self, since: Option<FeedMark>, response: &FeedResponse, sent_at: Moment) {
        let is_known = match (self.mark, since) {
            _ if response.is_snapshot => true,
            (Some(own), Some(since)) => own.era == since.era && own.version >= since.version,
            _ => false,
        };
        if !is_known {
            // Changes between the two points were never seen here.
            *self = Self::default();
            return;
        }
        if self.is_ahead_of(response.mark) {
            return;
        }
        if response.is_snapshot {
            self.hashes.clear();
        }
        for row in &response.rows {
            match &row.value {
                Some(value) => self.hashes.insert(row.key.clone(), xxh3_64(value)),
                None => self.hashes.swap_remove(&row.key),
            };
        }
        self.mark = Some(response.mark);
        if response.is_up_to_date() {
            self.confirmed_at = self.confirmed_at.max(sent_at);
        }
    }

    /// Returns the changes after `since` that follow from a whole table; `None` if they do not, because this copy is
    /// of another point in history.
    ///
    /// The store may also return a table that is older than `since`. Nothing has changed then as far as anyone knows,
    /// and the age of the response says for how long that has not been confirmed.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::ports::{FeedMark, FeedResponse, FeedRow};
    /// use briarswitch_fleet::table_copy::TableCopy;
    ///
    /// let table = |version, keys: &[&str]| FeedResponse {
    ///     mark: FeedMark { version, era: 0 },
    ///     rows: keys.iter().map(|key| FeedRow { key: (*key).into(), value: Some(vec![]) }).collect(),
    ///     is_snapshot: true,
    ///     ..FeedResponse::default()
    /// };
    /// let mut copy = TableCopy::default();
    /// copy.record(None, &table(1, &["a", "b"]), Duration::ZERO);
    /// let changes = copy.changes_to(&table(5, &["b"]), FeedMark { version: 1, era: 0 }, Duration::ZERO).unwrap();
    /// assert_eq!(changes.rows, [FeedRow { key: "a".into(), value: None }]);
    /// assert!(!changes.is_snapshot);
    /// ```
    pub fn changes_to(
        &self,
        snapshot: &FeedResponse,
        since: FeedMark,
        now: Moment,
    ) -> Option<FeedResponse> {
        if !self.is_of(since) || snapshot.mark.era != since.era {
            return None;
        }
        if snapshot.mark.version < since.version {
            return Some(FeedResponse {
                mark: since,
                rows: Vec::new(),
                age: now.saturating_sub(self.confirmed_at),
                is_snapshot: false,
            });
        }
        let changed = snapshot.rows.iter().filter(|row| {
            let hash = row.value.as_deref().map(xxh3_64);
            self.hashes.get(&row.key).copied() != hash
        });
        let mut rows: Vec<FeedRow> = changed.cloned().collect();
        let present: HashSet<&str, FxBuildHasher> =
            snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        let removed = self
            .hashes
            .keys()
            .filter(|key| !present.contains(key.as_str()));
        rows.extend(removed.map(|key| FeedRow {
            key: key.clone(),
            value: None,
        }));
        Some(FeedResponse {
            mark: snapshot.mark,
            rows,
            age: snapshot.age,
            is_snapshot: false,
        })
    }

    /// Returns whether this copy is of a point in history.
    pub fn is_of(&self, mark: FeedMark) -> bool {
        self.mark == Some(mark)
    }

    fn is_ahead_of(&self, mark: FeedMark) -> bool {
        self.mark
            .is_some_and(|own| own.era == mark.era && own.version > mark.version)
    }
}
