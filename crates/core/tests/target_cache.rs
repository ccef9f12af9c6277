//! Which directory entry is used when an address is reused.

use std::time::Duration;

use briarswitch_core::target::{TargetCache, TargetChange, TargetRecord};
use googletest::prelude::*;

/// Longer than a replaced entry stays unused after its replacement is gone.
const LONG: Duration = Duration::from_secs(7);

fn entry(id: &str) -> TargetChange {
    entry_at(id, "10.0.0.1:80")
}

fn entry_at(id: &str, address: &str) -> TargetChange {
    TargetChange::Put(Box::new(TargetRecord {
        id: id.to_owned(),
        incarnation: 0,
        service: "s".to_owned(),
        address: address.to_owned(),
        zone: "z".to_owned(),
        is_draining: false,
        slots: 1,
        domain: String::new(),
        staged: Vec::new(),
        models: Vec::new(),
        membership: None,
    }))
}

fn removal(id: &str) -> TargetChange {
    TargetChange::Removed(id.to_owned())
}

fn book(changes: impl IntoIterator<Item = TargetChange>) -> TargetCache {
    let mut book = TargetCache::default();
    for change in changes {
        book.apply(change, None);
    }
    book
}

fn used(book: &TargetCache) -> Vec<&str> {
    book.targets().keys().map(String::as_str).collect()
}

/// A terminated target must not count as live for as long as its entry remains.
#[gtest]
fn an_ended_target_gives_way_to_the_one_at_its_address() {
    let book = book([entry("old"), entry("new")]);
    expect_that!(used(&book), elements_are![eq(&"new")]);
    expect_that!(book.unexpected_exits(), eq(1));
}

/// The last call of a terminated target may rewrite its entry after its successor has appeared.
#[gtest]
fn an_entry_written_late_does_not_drive_out_the_one_at_its_address() {
    let book = book([entry("old"), removal("old"), entry("new"), entry("old")]);
    expect_that!(used(&book), elements_are![eq(&"new")]);
}

/// A list that is some seconds old must not make the newer target look like the older one.
#[gtest]
fn a_list_from_before_does_not_turn_the_order_of_targets_round() {
    let mut book = book([entry("old"), entry("new")]);
    book.replace(vec![entry("old")], None);
    expect_that!(used(&book), is_empty());
    book.replace(vec![entry("old"), entry("new")], None);
    expect_that!(used(&book), elements_are![eq(&"new")]);
}

/// A live target must be used again if a terminated target's entry was seen after its own.
#[gtest]
fn an_entry_is_used_again_once_the_one_that_took_its_address_is_long_gone() {
    let mut book = book([entry("live"), entry("ended"), removal("ended")]);
    let start = Duration::from_secs(1);
    expect_false!(book.expire(start));
    expect_true!(book.is_pending());
    expect_true!(book.expire(start + LONG));
    expect_that!(used(&book), elements_are![eq(&"live")]);
    expect_false!(book.is_pending());
}

/// The order within a complete list must not make a terminated target look like the newer one.
#[gtest]
fn of_a_whole_list_the_entry_written_last_has_the_address() {
    let mut book = TargetCache::default();
    book.replace(vec![entry("old"), entry("new")], None);
    expect_that!(used(&book), elements_are![eq(&"new")]);
}

/// A target must not be dropped for another one at an address that it has left.
#[gtest]
fn a_target_that_has_moved_stays_when_its_old_address_is_used_again() {
    let book = book([
        entry("moved"),
        entry_at("moved", "10.0.0.2:80"),
        entry("new"),
    ]);
    expect_that!(
        used(&book),
        unordered_elements_are![eq(&"moved"), eq(&"new")]
    );
}
