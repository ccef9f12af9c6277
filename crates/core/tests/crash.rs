//! What speaks against a request under which targets have ended, and for how long.

use std::time::Duration;

use briarswitch_core::crash::*;
use briarswitch_core::fingerprint::{FingerprintParts, RequestFingerprint};
use googletest::prelude::*;
use proptest::prelude::*;

/// Ends of one target in a second where one in fifty ends in half a minute.
const CALM: f64 = 0.000_7;
/// Time for which the request had run at each end.
const RAN: Duration = Duration::from_millis(90);

fn print() -> RequestFingerprint {
    RequestFingerprint::from([7; 16])
}

fn end(target: &str, domain: &str, at: StoreMillis, rate: f64) -> CrashReport {
    let (target, domain) = (target.to_owned(), domain.to_owned());
    let target = CrashedTarget {
        target: &target,
        incarnation: 0,
        domain: &domain,
    };
    CrashReport::of(print(), target, at, RAN, rate)
}

fn ledger_of(ends: &[CrashReport]) -> CrashHistory {
    let mut ledger = CrashHistory::default();
    for end in ends {
        ledger.record_crash(*end);
    }
    ledger
}

/// Returns ends of different targets, a second apart.
fn ends(count: usize, rate: f64) -> Vec<CrashReport> {
    let end = |index: usize| {
        let at = 1_000 * (index as StoreMillis + 1);
        end(&format!("t{index}"), &format!("d{index}"), at, rate)
    };
    (0..count).map(end).collect()
}

fn verdict(ends: &[CrashReport]) -> CrashVerdict {
    ledger_of(ends).verdict(&print(), 10_000)
}

fn is_quarantined(verdict: CrashVerdict) -> bool {
    matches!(verdict, CrashVerdict::Quarantined(_))
}

/// Symptom: one caller's request is refused because of another's, or a repeat passes for a new request.
/// Cause guarded against: a fingerprint that holds too little, parts that run into each other, or headers of one attempt.
#[gtest]
fn a_fingerprint_is_of_caller_method_host_path_and_body() {
    let parts = FingerprintParts {
        caller: "org",
        method: "POST",
        host: "api",
        path: "/x/y",
        body: b"text",
    };
    let others = [
        FingerprintParts {
            caller: "or",
            ..parts
        },
        FingerprintParts {
            method: "PUT",
            ..parts
        },
        FingerprintParts {
            host: "app",
            ..parts
        },
        FingerprintParts {
            path: "/x/y?z",
            ..parts
        },
        FingerprintParts {
            body: b"texts",
            ..parts
        },
        FingerprintParts {
            host: "api/x",
            path: "/y",
            ..parts
        },
        FingerprintParts {
            caller: "orgPOST",
            method: "",
            ..parts
        },
    ];
    for other in others {
        expect_that!(
            RequestFingerprint::of(&other),
            not(eq(RequestFingerprint::of(&parts))),
            "{other:?}"
        );
    }
    let again = FingerprintParts {
        body: b"text",
        ..parts
    };
    expect_that!(
        RequestFingerprint::of(&again),
        eq(RequestFingerprint::of(&parts))
    );
}

#[gtest]
fn three_ends_quarantine_where_targets_seldom_end() {
    expect_that!(verdict(&ends(1, CALM)), eq(CrashVerdict::Clear));
    expect_that!(verdict(&ends(2, CALM)), eq(CrashVerdict::Suspect));
    expect_true!(is_quarantined(verdict(&ends(3, CALM))));
}

/// Symptom: callers whose streams break are refused when they come again.
/// Events: nearly all targets start again every few seconds; a stream is there at three of the ends.
/// Cause guarded against: counting ends without asking how often targets end anyway.
#[gtest]
fn ends_count_for_less_where_targets_often_end() {
    let rate = 2.0;
    expect_that!(
        verdict(&ends(3, rate)),
        not(matches_pattern!(CrashVerdict::Quarantined(_)))
    );
    expect_true!(
        is_quarantined(verdict(&ends(5, rate))),
        "so many are no coincidence"
    );
}

/// Symptom: a request that many callers' programs send alike is refused after a domain is lost.
/// Events: it is under way at several targets of the domain, which end together.
/// Cause guarded against: counting one loss as many.
#[gtest]
fn targets_of_one_domain_that_end_together_count_once() {
    let together = |index: u64| end(&format!("t{index}"), "d", 1_000 + 10 * index, CALM);
    let ends: Vec<CrashReport> = (0..6).map(together).collect();
    expect_that!(verdict(&ends), eq(CrashVerdict::Clear));
    let apart = |index: u64| end(&format!("t{index}"), "d", 1_000 + 200 * index, CALM);
    let ends: Vec<CrashReport> = (0..3).map(apart).collect();
    expect_true!(is_quarantined(verdict(&ends)));
}

/// Symptom: a request that runs well everywhere is refused for minutes.
/// Events: it was under way at three ends, and is answered as a whole at another target.
/// Cause guarded against: a verdict that nothing can turn over.
#[gtest]
fn a_whole_answer_clears_what_was_before_and_nothing_later() {
    let mut ledger = ledger_of(&ends(3, CALM));
    let clear = ClearReport {
        fingerprint: print(),
        at: 5_000,
    };
    expect_true!(ledger.record_clear(clear));
    expect_that!(ledger.verdict(&print(), 10_000), eq(CrashVerdict::Clear));
    ledger.record_crash(ends(1, CALM)[0]);
    expect_false!(ledger.has_crashes(&print()), "told late");
    for index in 0..3 {
        ledger.record_crash(end(&format!("u{index}"), "d", 6_000 + 1_000 * index, CALM));
    }
    expect_true!(is_quarantined(ledger.verdict(&print(), 10_000)));
}

/// Symptom: a request can never run again, or its caller is told a time to come back at which it is refused.
/// Events: ten minutes pass after its ends; it runs again and ends another target.
/// Cause guarded against: a quarantine without an end, and one that starts anew with nothing known.
#[gtest]
fn a_quarantine_is_over_when_it_said_and_one_more_end_brings_it_back() {
    let mut ledger = ledger_of(&ends(3, CALM));
    let verdict = ledger.verdict(&print(), 4_000);
    let CrashVerdict::Quarantined(left) = verdict else {
        panic!("it is {verdict:?}");
    };
    // Its first end, at one second, is forgotten then.
    expect_that!(left, eq(CRASH_RETENTION - Duration::from_secs(3)));
    let over = 4_000 + left.as_millis() as StoreMillis;
    expect_true!(is_quarantined(ledger.verdict(&print(), over - 1)));
    expect_false!(is_quarantined(ledger.verdict(&print(), over)));
    ledger.record_crash(end("later", "d", over + 100, CALM));
    expect_true!(is_quarantined(ledger.verdict(&print(), over + 100)));
}

/// Symptom: a node's memory grows while a caller sends ever new requests to targets that end.
/// Cause guarded against: a ledger without a bound, or one that forgets the worst first.
#[gtest]
fn thousands_of_requests_leave_the_memory_bounded_and_the_worst_in_it() {
    let mut ledger = ledger_of(&ends(3, CALM));
    for index in 0..20_000_u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(index + 1).to_le_bytes());
        let other = CrashReport {
            fingerprint: RequestFingerprint::from(bytes),
            ..end("t", "d", 4_000, CALM)
        };
        ledger.record_crash(other);
    }
    expect_that!(ledger.fingerprints().count(), le(4_096));
    expect_true!(is_quarantined(ledger.verdict(&print(), 10_000)));
    ledger.prune(4_000 + CRASH_RETENTION.as_millis() as StoreMillis);
    expect_that!(ledger.fingerprints().count(), eq(0));
}

#[gtest]
fn the_rate_counts_what_ended_lately() {
    let mut rate = CrashRate::default();
    let at = Duration::from_secs;
    for second in 0..20 {
        rate.record(10 * second, 100, at(second));
    }
    expect_that!(rate.per_second(), gt(0.05));
    for second in 20..60 {
        rate.record(190, 100, at(second));
    }
    expect_that!(rate.per_second(), lt(0.001));
    expect_that!(rate.per_second(), gt(0.0));
}

/// One thing that a ledger is told.
#[derive(Clone, Copy, Debug)]
enum Told {
    End(CrashReport),
    Clear(ClearReport),
}

fn told() -> impl Strategy<Value = Told> {
    let ends = (0..4_u64, 1..60_u64, 10..400_u16).prop_map(|(life, at, chance)| {
        Told::End(CrashReport {
            fingerprint: print(),
            incarnation: IncarnationKey(life),
            domain: life % 2,
            at: at * 100,
            chance_permille: chance,
        })
    });
    let clears = (1..60_u64).prop_map(|at| {
        Told::Clear(ClearReport {
            fingerprint: print(),
            at: at * 100,
        })
    });
    prop_oneof![4 => ends, 1 => clears]
}

fn take(ledger: &mut CrashHistory, told: Told) {
    match told {
        Told::End(end) => ledger.record_crash(end),
        Told::Clear(clear) => ledger.record_clear(clear),
    };
}

proptest! {
    /// Symptom: one node refuses a request that another one runs.
    /// Events: ends and words that clear the request are told twice, late and in any order, by several nodes.
    /// Cause guarded against: a verdict that hangs on the order in which a node hears.
    #[test]
    fn ledgers_that_heard_the_same_hold_the_same(
        told in prop::collection::vec(told(), 0..12),
        again in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
        seed in any::<u64>(),
    ) {
        let mut first = CrashHistory::default();
        told.iter().for_each(|one| take(&mut first, *one));
        let mut other = told.clone();
        if !told.is_empty() {
            other.extend(again.iter().map(|index| *index.get(&told)));
        }
        other.sort_by_key(|one| format!("{seed}{one:?}").bytes().fold(seed, |sum, byte| {
            sum.rotate_left(5) ^ u64::from(byte).wrapping_mul(0x9e37_79b9)
        }));
        let mut second = CrashHistory::default();
        other.iter().for_each(|one| take(&mut second, *one));
        prop_assert_eq!(first.crashes(&print(), 10_000), second.crashes(&print(), 10_000));
        prop_assert_eq!(first.verdict(&print(), 10_000), second.verdict(&print(), 10_000));
    }
}
