//! What the store's table holds of requests under which targets have ended, and what this node is to write there.

use briarswitch_core::crash::{is_expired, StoreMillis};
use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::Moment;
use indexmap::IndexMap;

use crate::ports::{SuspectChange, SuspectKey, SuspectRow, MOST_SUSPECT_ROWS};

/// Time for which a row that counts no more is left, so that clocks need not agree to the second.
const DROP_SLACK: StoreMillis = 30_000;

/// Rows to write and to drop in one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectBatch {
    /// Rows to write.
    pub rows: Vec<SuspectRow>,
    /// Rows to drop.
    pub dropped: Vec<SuspectKey>,
}

#[derive(Clone, Copy, Debug)]
struct DueRow {
    row: SuspectRow,
    at: Moment,
}

/// The table as this node knows it.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// Rows that the store holds, and when what they say was seen.
    stored: IndexMap<SuspectKey, StoreMillis>,
    unwritten: IndexMap<SuspectKey, DueRow>,
    is_writing: bool,
}

impl SuspectTable {
    /// Returns how many rows the store holds.
    pub fn stored_rows(&self) -> usize {
        self.stored.len()
    }

    /// Returns how many rows this node has still to write.
    pub fn unwritten_rows(&self) -> usize {
        self.unwritten.len()
    }

    /// Returns whether the store holds anything of a request.
    pub fn knows(&self, print: &RequestFingerprint) -> bool {
        self.stored.keys().any(|key| key.print == *print)
    }

    /// Has a row written from a moment on, unless the store holds it by then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::ClearReport;
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    /// use briarswitch_fleet::ports::SuspectRow;
    /// use briarswitch_fleet::suspect_table::SuspectTable;
    ///
    /// let row = SuspectRow::Clear(ClearReport { fingerprint: RequestFingerprint::from([1; 16]), at: 5 });
    /// let mut table = SuspectTable::default();
    /// table.write_later(row, Duration::from_secs(2));
    /// assert!(table.begin_write(Duration::from_secs(1), 10, |_| true).is_none());
    /// assert!(table.begin_write(Duration::from_secs(2), 10, |_| true).is_some());
    /// ```
    pub fn write_later(&mut self, row: SuspectRow, at: Moment) {
        let key = row.key();
        if self.stored.get(&key).is_some_and(|held| *held >= row.at()) {
            return;
        }
        let at = self.unwritten.get(&key).map_or(at, |due| due.at.min(at));
        self.unwritten.insert(key, DueRow { row, at });
    }

    /// Forgets what was to be written of a request.
    pub fn forget(&mut self, print: &RequestFingerprint) {
        self.unwritten.retain(|key, _| key.print != *print);
    }

    /// Returns what is due and nobody else has written, and of the rows that count no more those that `drops` names;
    /// `None` while there is nothing or the last batch is still on its way.
    pub fn begin_write(
        &mut self,
        now: Moment,
        store_now: StoreMillis,
        drops: impl Fn(&RequestFingerprint) -> bool,
    ) -> Option<SuspectBatch> {
        if self.is_writing {
            return None;
        }
        let due = self.unwritten.values().filter(|due| now >= due.at);
        let rows: Vec<SuspectRow> = due.map(|due| due.row).take(MOST_SUSPECT_ROWS).collect();
        let old = self.stored.iter();
        let old = old.filter(|(_, at)| is_expired(**at + DROP_SLACK, store_now));
        let dropped: Vec<SuspectKey> = old
            .map(|(key, _)| *key)
            .filter(|key| drops(&key.print))
            .take(MOST_SUSPECT_ROWS - rows.len())
            .collect();
        self.is_writing = !rows.is_empty() || !dropped.is_empty();
        self.is_writing.then_some(SuspectBatch { rows, dropped })
    }

    /// Notes that a batch was written.
    pub fn note_written(&mut self, batch: &SuspectBatch) {
        self.is_writing = false;
        batch.rows.iter().for_each(|row| self.note_stored(row));
        for key in &batch.dropped {
            self.stored.swap_remove(key);
        }
    }

    /// Notes that a batch may not have been written: its rows stay due, and written twice they are the same rows.
    pub fn note_unwritten(&mut self, retry: Moment) {
        self.is_writing = false;
        for due in self.unwritten.values_mut() {
            due.at = due.at.max(retry);
        }
    }

    /// Takes changes in, or the whole table, and returns the rows that were put.
    pub fn take(&mut self, changes: &[SuspectChange], is_whole: bool) -> Vec<SuspectRow> {
        if is_whole {
            self.stored.clear();
        }
        let mut rows = Vec::new();
        for change in changes {
            match change {
                SuspectChange::Put(row) => {
                    self.note_stored(row);
                    rows.push(*row);
                }
                SuspectChange::Removed(key) => {
                    self.stored.swap_remove(key);
                }
            }
        }
        rows
    }

    fn note_stored(&mut self, row: &SuspectRow) {
        let key = row.key();
        self.stored.insert(key, row.at());
        let due = self.unwritten.get(&key);
        if due.is_some_and(|due| due.row.at() <= row.at()) {
            self.unwritten.swap_remove(&key);
        }
    }
}
