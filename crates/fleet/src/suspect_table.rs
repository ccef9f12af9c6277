//! What the store's table holds of requests under which targets have ended, and what this node is to write there.

use briarswitch_core::crash::{is_forgotten, StoreMillis};
use briarswitch_core::id::Moment;
use briarswitch_core::print::RequestPrint;
use indexmap::IndexMap;

use crate::ports::{SuspectChange, SuspectKey, SuspectRow, MAX_SUSPECT_ROWS};

/// Time for which a row that counts no more is left, so that clocks need not agree to the second.
const DELETION_GRACE_MS: StoreMillis = 30_000;

/// Rows to write and to drop in one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectBatch {
    /// Rows to write.
    pub rows: Vec<SuspectRow>,
    /// Rows to drop.
    pub deleted: Vec<SuspectKey>,
}

#[derive(Clone, Copy, Debug)]
struct PendingRow {
    row: SuspectRow,
    at: Moment,
}

/// The table as this node knows it.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// Rows that the store holds, and when what they say was seen.
    stored: IndexMap<SuspectKey, StoreMillis>,
    pending: IndexMap<SuspectKey, PendingRow>,
    is_writing: bool,
}

impl SuspectTable {
    /// Returns how many rows the store holds.
    pub fn stored_rows(&self) -> usize {
        self.stored.len()
    }

    /// Returns how many rows this node has still to write.
    pub fn unwritten_rows(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the store holds anything of a request.
    pub fn contains(&self, fingerprint: &RequestPrint) -> bool {
        self.stored
            .keys()
            .any(|key| key.fingerprint == *fingerprint)
    }

    /// Has a row written from a moment on, unless the store holds it by then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::ClearSign;
    /// use briarswitch_core::print::RequestPrint;
    /// use briarswitch_fleet::ports::SuspectRow;
    /// use briarswitch_fleet::suspect_table::SuspectTable;
    ///
    /// let row = SuspectRow::Clear(ClearSign { print: RequestPrint::from([1; 16]), at: 5 });
    /// let mut table = SuspectTable::default();
    /// table.schedule_write(row, Duration::from_secs(2));
    /// assert!(table.begin_write(Duration::from_secs(1), 10, |_| true).is_none());
    /// assert!(table.begin_write(Duration::from_secs(2), 10, |_| true).is_some());
    /// ```
    pub fn schedule_write(&mut self, row: SuspectRow, at: Moment) {
        let key = row.key();
        if self
            .stored
            .get(&key)
            .is_some_and(|seen_at| *seen_at >= row.at())
        {
            return;
        }
        let at = self.pending.get(&key).map_or(at, |due| due.at.min(at));
        self.pending.insert(key, PendingRow { row, at });
    }

    /// Forgets what was to be written of a request.
    pub fn cancel_writes(&mut self, fingerprint: &RequestPrint) {
        self.pending
            .retain(|key, _| key.fingerprint != *fingerprint);
    }

    /// Returns what is due and nobody else has written, and of the rows that count no more those that `drops` names;
    /// `None` while there is nothing or the last batch is still on its way.
    pub fn begin_write(
        &mut self,
        now: Moment,
        store_time: StoreMillis,
        may_delete: impl Fn(&RequestPrint) -> bool,
    ) -> Option<SuspectBatch> {
        if self.is_writing {
            return None;
        }
        let due = self.pending.values().filter(|due| now >= due.at);
        let rows: Vec<SuspectRow> = due.map(|due| due.row).take(MAX_SUSPECT_ROWS).collect();
        let expired = self.stored.iter();
        let expired = expired.filter(|(_, at)| is_forgotten(**at + DELETION_GRACE_MS, store_time));
        let deleted: Vec<SuspectKey> = expired
            .map(|(key, _)| *key)
            .filter(|key| may_delete(&key.fingerprint))
            .take(MAX_SUSPECT_ROWS - rows.len())
            .collect();
        self.is_writing = !rows.is_empty() || !deleted.is_empty();
        self.is_writing.then_some(SuspectBatch { rows, deleted })
    }

    /// Notes that a batch was written.
    pub fn commit_batch(&mut self, batch: &SuspectBatch) {
        self.is_writing = false;
        batch.rows.iter().for_each(|row| self.record_stored(row));
        for key in &batch.deleted {
            self.stored.swap_remove(key);
        }
    }

    /// Notes that a batch may not have been written: its rows stay due, and written twice they are the same rows.
    pub fn retry_batch(&mut self, retry_at: Moment) {
        self.is_writing = false;
        for due in self.pending.values_mut() {
            due.at = due.at.max(retry_at);
        }
    }

    /// Takes changes in, or the whole table, and returns the rows that were put.
    pub fn apply(&mut self, changes: &[SuspectChange], is_whole: bool) -> Vec<SuspectRow> {
        if is_whole {
            self.stored.clear();
        }
        let mut rows = Vec::new();
        for change in changes {
            match change {
                SuspectChange::Put(row) => {
                    self.record_stored(row);
                    rows.push(*row);
                }
                SuspectChange::Removed(key) => {
                    self.stored.swap_remove(key);
                }
            }
        }
        rows
    }

    fn record_stored(&mut self, row: &SuspectRow) {
        let key = row.key();
        self.stored.insert(key, row.at());
        let pending = self.pending.get(&key);
        if pending.is_some_and(|pending| pending.row.at() <= row.at()) {
            self.pending.swap_remove(&key);
        }
    }
}
