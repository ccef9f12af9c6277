//! Which rows a node writes of requests under which targets have ended, and when.

use std::time::Duration;

use briarswitch_core::crash::{CrashReport, IncarnationKey, StoreMillis, CRASH_RETENTION};
use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::Moment;
use briarswitch_fleet::ports::{SuspectChange, SuspectRow, MOST_SUSPECT_ROWS};
use briarswitch_fleet::suspect_table::{SuspectBatch, SuspectTable};
use googletest::prelude::*;

/// Reading of the store's clock when the rows are written.
const NOW: StoreMillis = 1_000_000;

fn row(life: u64) -> SuspectRow {
    SuspectRow::End(CrashReport {
        fingerprint: RequestFingerprint::from([1; 16]),
        incarnation: IncarnationKey(life),
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

/// Symptom: three nodes that saw one end each pay for the same row.
/// Events: the first one writes it; the others read that before their turn.
/// Cause guarded against: writing without looking at what is there.
#[gtest]
fn a_row_that_another_node_has_written_is_not_written_again() {
    let mut table = SuspectTable::default();
    table.write_later(row(1), at(250));
    table.write_later(row(2), at(250));
    expect_that!(table.take(&[SuspectChange::Put(row(1))], false), len(eq(1)));
    expect_that!(rows(table.begin_write(at(249), NOW, |_| true)), eq(0));
    let batch = table.begin_write(at(250), NOW, |_| true);
    expect_that!(rows(batch.clone()), eq(1));
    expect_that!(
        rows(table.begin_write(at(260), NOW, |_| true)),
        eq(0),
        "one at a time"
    );
    table.note_written(&batch.expect("a batch"));
    expect_that!(table.unwritten_rows(), eq(0));
    expect_that!(table.stored_rows(), eq(2));
}

/// Symptom: other nodes never learn of an end.
/// Events: the answer to a write is lost, and the row with it, or not; later the store has lost a row that it held.
/// Cause guarded against: taking what was sent once for written.
#[gtest]
fn a_row_is_written_until_the_store_is_known_to_hold_it() {
    let mut table = SuspectTable::default();
    table.write_later(row(1), at(0));
    expect_that!(rows(table.begin_write(at(0), NOW, |_| true)), eq(1));
    table.note_unwritten(at(400));
    expect_that!(rows(table.begin_write(at(399), NOW, |_| true)), eq(0));
    let batch = table.begin_write(at(400), NOW, |_| true);
    table.note_written(&batch.expect("a batch"));
    table.write_later(row(1), at(500));
    expect_that!(rows(table.begin_write(at(500), NOW, |_| true)), eq(0));
    table.take(&[], true);
    table.write_later(row(1), at(600));
    expect_that!(rows(table.begin_write(at(600), NOW, |_| true)), eq(1));
}

/// Symptom: a request that ended a target a minute ago is unknown to a node that starts, or rows pile up for ever.
/// Cause guarded against: dropping rows that still count, by nodes whose clocks differ, or by nobody.
#[gtest]
fn rows_are_dropped_by_one_node_once_they_count_no_more() {
    let mut table = SuspectTable::default();
    table.take(&[SuspectChange::Put(row(1))], false);
    let memory = CRASH_RETENTION.as_millis() as StoreMillis;
    expect_true!(table
        .begin_write(at(0), NOW + memory + 29_999, |_| true)
        .is_none());
    expect_true!(table
        .begin_write(at(0), NOW + memory + 30_000, |_| false)
        .is_none());
    let batch = table.begin_write(at(0), NOW + memory + 30_000, |_| true);
    let batch = batch.expect("a batch");
    expect_that!(batch.dropped, elements_are![eq(&row(1).key())]);
    table.note_written(&batch);
    expect_that!(table.stored_rows(), eq(0));
}

#[gtest]
fn a_batch_is_no_larger_than_the_store_takes() {
    let mut table = SuspectTable::default();
    (0..250).for_each(|life| table.write_later(row(life), at(0)));
    let mut sizes = Vec::new();
    while let Some(batch) = table.begin_write(at(1), NOW, |_| true) {
        sizes.push(batch.rows.len());
        table.note_written(&batch);
    }
    expect_that!(
        sizes,
        elements_are![eq(&MOST_SUSPECT_ROWS), eq(&MOST_SUSPECT_ROWS), eq(&50)]
    );
}
