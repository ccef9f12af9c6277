//! Local copy of the store's table of crash reports, and the rows that this node has to write.

use briarswitch_core::crash::{is_expired, StoreMillis};
use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::Moment;
use indexmap::IndexMap;

use crate::ports::{SuspectChange, SuspectKey, SuspectRow, MAX_SUSPECT_ROWS};

/// Time for which an expired row is kept, in case the clocks of nodes differ.
const DELETION_GRACE_MS: StoreMillis = 30_000;

/// Rows to write and to delete in one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectBatch {
    /// Rows to write.
    pub rows: Vec<SuspectRow>,
    /// Rows to delete.
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
    /// Rows that the store holds, with the time when their content was observed.
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

    /// Returns whether the store holds any row of a request.
    pub fn contains(&self, fingerprint: &SuspectFingerprint) -> bool {
        self.stored
            .keys()
            .any(|key| key.fingerprint == *fingerprint)
    }

    /// Schedules a row to be written at a moment, unless the store holds it by then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::crash::ClearReport;
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    /// use briarswitch_fleet::ports::SuspectRow;
    /// use briarswitch_fleet::suspect_table::SuspectTable;
    ///
    /// let row = SuspectRow::Clear(ClearReport { fingerprint: SuspectFingerprint::from([1; 16]), at: 5 });
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

    /// Cancels all scheduled writes of crashes under a request.
    pub fn cancel_writes(&mut self, fingerprint: &SuspectFingerprint) {
        self.pending
            .retain(|key, _| key.fingerprint != *fingerprint || key.incarnation.is_none());
    }

    /// Returns the scheduled rows that are due, and the expired rows of requests that `may_delete`
    /// accepts; `None` if there are none or the last batch is still being written.
    pub fn begin_write(
        &mut self,
        now: Moment,
        store_time: StoreMillis,
        may_delete: impl Fn(&SuspectFingerprint) -> bool,
    ) -> Option<SuspectBatch> {
        if self.is_writing {
            return None;
        }
        let due = self.pending.values().filter(|due| now >= due.at);
        let rows: Vec<SuspectRow> = due.map(|due| due.row).take(MAX_SUSPECT_ROWS).collect();
        let expired = self.stored.iter();
        let expired = expired.filter(|(_, at)| is_expired(**at + DELETION_GRACE_MS, store_time));
        let deleted: Vec<SuspectKey> = expired
            .map(|(key, _)| *key)
            .filter(|key| may_delete(&key.fingerprint))
            .take(MAX_SUSPECT_ROWS - rows.len())
            .collect();
        self.is_writing = !rows.is_empty() || !deleted.is_empty();
        self.is_writing.then_some(SuspectBatch { rows, deleted })
    }

    /// Records that a batch was written.
    pub fn commit_batch(&mut self, batch: &SuspectBatch) {
        self.is_writing = false;
        batch.rows.iter().for_each(|row| self.record_stored(row));
        for key in &batch.deleted {
            self.stored.swap_remove(key);
        }
    }

    /// Records that the write of a batch may have failed. Its rows stay scheduled, and nothing is
    /// written before `retry_at`; writing a row twice has no effect.
    pub fn retry_batch(&mut self, retry_at: Moment) {
        self.is_writing = false;
        for due in self.pending.values_mut() {
            due.at = due.at.max(retry_at);
        }
    }

    /// Applies changes, or the full table, and returns the rows that were added or changed.
    pub fn apply(&mut self, changes: &[SuspectChange], is_snapshot: bool) -> Vec<SuspectRow> {
        if is_snapshot {
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
