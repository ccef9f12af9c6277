//! Tests which crash rows a node writes to the store's table, and when.

use std::time::Duration;

use briarswitch_core::crash::{CrashReport, IncarnationKey, StoreMillis, CRASH_RETENTION};
use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::Moment;
use briarswitch_fleet::ports::{SuspectChange, SuspectRow, MAX_SUSPECT_ROWS};
use briarswitch_fleet::suspect_table::{SuspectBatch, SuspectTable};
use googletest::prelude::*;

/// Time of the store's clock when the rows are written.
const NOW: StoreMillis = 1_000_000;

fn row(incarnation: u64) -> SuspectRow {
    SuspectRow::Crash(CrashReport {
        fingerprint: SuspectFingerprint::from([1; 16]),
        incarnation: IncarnationKey(incarnation),
        domain: 1,
        at: NOW,
        chance_permille: 10,
    })
}

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn rows(batch: Option<SuspectBatch>) -> usize {
    batch.map_or(0, |batch| batch.rows.len())
}

/// Guards against three nodes that saw the same crash and each pay for writing its row: the first
/// one writes it, and the others read it from the table before their turn.
#[gtest]
fn a_row_that_another_node_has_written_is_not_written_again() {
    let mut table = SuspectTable::default();
    table.schedule_write(row(1), at(250));
    table.schedule_write(row(2), at(250));
    expect_that!(
        table.apply(&[SuspectChange::Put(row(1))], false),
        len(eq(1))
    );
    expect_that!(rows(table.begin_write(at(249), NOW, |_| true)), eq(0));
    let batch = table.begin_write(at(250), NOW, |_| true);
    expect_that!(rows(batch.clone()), eq(1));
    expect_that!(
        rows(table.begin_write(at(260), NOW, |_| true)),
        eq(0),
        "one at a time"
    );
    table.commit_batch(&batch.expect("a batch"));
    expect_that!(table.unwritten_rows(), eq(0));
    expect_that!(table.stored_rows(), eq(2));
}

/// Guards against a crash that other nodes never learn of, because a row counts as written once it
/// was sent: the response to a write may be lost, with or without the row, and the store may later
/// lose a row that it held.
#[gtest]
fn a_row_is_written_until_the_store_is_known_to_hold_it() {
    let mut table = SuspectTable::default();
    table.schedule_write(row(1), at(0));
    expect_that!(rows(table.begin_write(at(0), NOW, |_| true)), eq(1));
    table.retry_batch(at(400));
    expect_that!(rows(table.begin_write(at(399), NOW, |_| true)), eq(0));
    let batch = table.begin_write(at(400), NOW, |_| true);
    table.commit_batch(&batch.expect("a batch"));
    table.schedule_write(row(1), at(500));
    expect_that!(rows(table.begin_write(at(500), NOW, |_| true)), eq(0));
    table.apply(&[], true);
    table.schedule_write(row(1), at(600));
    expect_that!(rows(table.begin_write(at(600), NOW, |_| true)), eq(1));
}

/// Guards against rows that are deleted while they still count, which would hide a recent crash
/// from a node that starts, and against rows that are never deleted: clocks of nodes differ, and
/// one node has to delete each row.
#[gtest]
fn expired_rows_are_deleted_by_one_node() {
    let mut table = SuspectTable::default();
    table.apply(&[SuspectChange::Put(row(1))], false);
    let retention = CRASH_RETENTION.as_millis() as StoreMillis;
    expect_true!(table
        .begin_write(at(0), NOW + retention + 29_999, |_| true)
        .is_none());
    expect_true!(table
        .begin_write(at(0), NOW + retention + 30_000, |_| false)
        .is_none());
    let batch = table.begin_write(at(0), NOW + retention + 30_000, |_| true);
    let batch = batch.expect("a batch");
    expect_that!(batch.deleted, elements_are![eq(&row(1).key())]);
    table.commit_batch(&batch);
    expect_that!(table.stored_rows(), eq(0));
}

#[gtest]
fn a_batch_is_limited_to_the_maximum_number_of_rows() {
    let mut table = SuspectTable::default();
    (0..250).for_each(|incarnation| table.schedule_write(row(incarnation), at(0)));
    let mut sizes = Vec::new();
    while let Some(batch) = table.begin_write(at(1), NOW, |_| true) {
        sizes.push(batch.rows.len());
        table.commit_batch(&batch);
    }
    expect_that!(
        sizes,
        elements_are![eq(&MAX_SUSPECT_ROWS), eq(&MAX_SUSPECT_ROWS), eq(&50)]
    );
}
