//! What a node makes of other nodes' notes and of digests of other zones.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_fleet::hearsay::HearsayBook;
use briarswitch_fleet::note::{NodeWork, PeerNote, PeerNoteDoc};
use googletest::prelude::*;

fn at(millis: u64) -> Moment {
    Duration::from_millis(10_000 + millis)
}

fn note(node: &str, requests: u32) -> PeerNote {
    PeerNote {
        node: node.to_owned(),
        incarnation: 7,
        work: NodeWork {
            loads: [("head".to_owned(), requests)].into_iter().collect(),
            loading: 1,
            arrivals: [("large".to_owned(), 2.0)].into_iter().collect(),
            ..NodeWork::default()
        },
        suspects: vec![format!("silent-{node}")],
        ..PeerNote::default()
    }
}

/// Returns what the two nodes of zone `a` tell at `now`; the second was heard 300 ms before.
fn told_by_zone(now: Moment) -> PeerNote {
    let mut book = HearsayBook::default();
    book.hear_near(note("a2", 3), now - Duration::from_millis(300));
    let own = note("a1", 4);
    let digest = book.digest("a", &own, now);
    PeerNote {
        zone: Some(Box::new(digest)),
        ..own
    }
}

#[gtest]
fn a_digest_tells_the_work_and_the_life_of_its_whole_zone() {
    let told = told_by_zone(at(1_000));
    let told = PeerNote::from(PeerNoteDoc::from(told));
    let digest = told.zone.expect("a digest");
    let ages = digest
        .members
        .iter()
        .map(|sign| (sign.node.as_str(), sign.age.as_millis()));
    expect_that!(
        ages.collect::<Vec<_>>(),
        elements_are![eq(&("a1", 0)), eq(&("a2", 300))]
    );
    expect_that!(
        digest.suspects,
        elements_are![eq("silent-a1"), eq("silent-a2")]
    );

    let mut book = HearsayBook::default();
    book.hear_near(note("b1", 5), at(1_000));
    book.hear_zone(*digest, at(1_000));
    let work = book.work(at(1_100));
    expect_that!(work.loads["head"], eq(12));
    expect_that!(work.loading, eq(3));
    expect_that!(work.arrivals["large"], eq(6.0));
}

/// Symptom: groups are taken for full that are empty, and loads are not begun, long after a zone was cut
/// off.
/// Events: a zone falls silent after its last digest; another digest of it, made earlier, comes late.
/// Cause guarded against: counting work for ever that nobody tells of any more.
#[gtest]
fn work_that_nobody_tells_of_any_more_is_forgotten() {
    let mut book = HearsayBook::default();
    let newer = told_by_zone(at(1_000)).zone.expect("a digest");
    let mut older = newer.clone();
    older.work.loading = 99;
    book.hear_zone(*newer, at(1_000));
    book.hear_zone(*older, at(900));
    expect_that!(book.work(at(1_200)).loading, eq(2));
    expect_that!(book.work(at(3_000)), eq(&NodeWork::default()));
}
