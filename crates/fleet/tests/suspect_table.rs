//! Which rows a node writes of requests under which targets have ended, and when.

use std::time::Duration;

use briarswitch_core::crash::{EndSign, LifeKey, StoreMillis, MEMORY_TIME};
use briarswitch_core::id::Moment;
use briarswitch_core::print::RequestPrint;
use briarswitch_fleet::ports::{SuspectChange, SuspectRow, MAX_SUSPECT_ROWS};
use briarswitch_fleet::suspect_table::{SuspectBatch, SuspectTable};
use googletest::prelude::*;

/// Reading of the store's clock when the rows are written.
const NOW: StoreMillis = 1_000_000;

fn row(incarnation: u64) -> SuspectRow {
    SuspectRow::Crash(EndSign {
        print: RequestPrint::from([1; 16]),
        life: LifeKey(incarnation),
        domain: 1,
        at: NOW,
        chance: 10,
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

/// Symptom: other nodes never learn of an end.
/// Events: the answer to a write is lost, and the row with it, or not; later the store has lost a row that it held.
/// Cause guarded against: taking what was sent once for written.
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

/// Symptom: a request that ended a target a minute ago is unknown to a node that starts, or rows pile up for ever.
/// Cause guarded against: dropping rows that still count, by nodes whose clocks differ, or by nobody.
#[gtest]
fn expired_rows_are_deleted_by_one_node() {
    let mut table = SuspectTable::default();
    table.apply(&[SuspectChange::Put(row(1))], false);
    let retention = MEMORY_TIME.as_millis() as StoreMillis;
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
