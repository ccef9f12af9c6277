//! Quarantine of requests that were running when targets crashed, and its duration.

use std::time::Duration;

use briarswitch_core::crash::*;
use briarswitch_core::fingerprint::{FingerprintParts, SuspectFingerprint};
use googletest::prelude::*;
use proptest::prelude::*;

/// Crashes per target and second if one target in fifty crashes in half a minute.
const LOW_CRASH_RATE: f64 = 0.000_7;
/// Time for which the request had run at each crash.
const RUN_TIME: Duration = Duration::from_millis(90);

fn fingerprint() -> SuspectFingerprint {
    SuspectFingerprint::from([7; 16])
}

fn crash(target: &str, domain: &str, at: StoreMillis, rate: f64) -> CrashReport {
    let (target, domain) = (target.to_owned(), domain.to_owned());
    let target = CrashedTarget {
        target: &target,
        incarnation: 0,
        domain: &domain,
    };
    CrashReport::of(fingerprint(), target, at, RUN_TIME, rate)
}

fn history_of(crashes: &[CrashReport]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for crash in crashes {
        history.record_crash(*crash);
    }
    history
}

/// Returns crashes of different targets, one second apart.
fn crashes(count: usize, rate: f64) -> Vec<CrashReport> {
    let crash = |index: usize| {
        let at = 1_000 * (index as StoreMillis + 1);
        crash(&format!("t{index}"), &format!("d{index}"), at, rate)
    };
    (0..count).map(crash).collect()
}

fn verdict(crashes: &[CrashReport]) -> CrashVerdict {
    history_of(crashes).verdict(&fingerprint(), 10_000)
}

fn is_quarantined(verdict: CrashVerdict) -> bool {
    matches!(verdict, CrashVerdict::Quarantined(_))
}

/// Guards against one caller's request being refused because of another's, and against a repeat
/// that counts as a new request: the fingerprint covers too little, its parts run together, or it
/// covers headers that differ between attempts.
#[gtest]
fn a_fingerprint_covers_caller_method_host_path_and_body() {
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
            SuspectFingerprint::of(&other),
            not(eq(SuspectFingerprint::of(&parts))),
            "{other:?}"
        );
    }
    let again = FingerprintParts {
        body: b"text",
        ..parts
    };
    expect_that!(
        SuspectFingerprint::of(&again),
        eq(SuspectFingerprint::of(&parts))
    );
}

#[gtest]
fn three_crashes_quarantine_where_targets_seldom_crash() {
    expect_that!(
        verdict(&crashes(1, LOW_CRASH_RATE)),
        eq(CrashVerdict::Clear)
    );
    expect_that!(
        verdict(&crashes(2, LOW_CRASH_RATE)),
        eq(CrashVerdict::Suspect)
    );
    expect_true!(is_quarantined(verdict(&crashes(3, LOW_CRASH_RATE))));
}

/// Guards against streams being refused on retry because crashes are counted regardless of how
/// often targets crash anyway. If nearly all targets restart every few seconds, a stream is present
/// at three crashes by chance.
#[gtest]
fn crashes_count_less_where_targets_often_crash() {
    let rate = 2.0;
    expect_that!(
        verdict(&crashes(3, rate)),
        not(matches_pattern!(CrashVerdict::Quarantined(_)))
    );
    expect_true!(
        is_quarantined(verdict(&crashes(5, rate))),
        "five crashes are no coincidence"
    );
}

/// Guards against counting the loss of one domain as several crashes. A request that is running at
/// several targets of the domain would be refused afterwards.
#[gtest]
fn targets_of_one_domain_that_crash_together_count_once() {
    let together = |index: u64| {
        crash(
            &format!("t{index}"),
            "d",
            1_000 + 10 * index,
            LOW_CRASH_RATE,
        )
    };
    let crashes: Vec<CrashReport> = (0..6).map(together).collect();
    expect_that!(verdict(&crashes), eq(CrashVerdict::Clear));
    let apart = |index: u64| {
        crash(
            &format!("t{index}"),
            "d",
            1_000 + 200 * index,
            LOW_CRASH_RATE,
        )
    };
    let crashes: Vec<CrashReport> = (0..3).map(apart).collect();
    expect_true!(is_quarantined(verdict(&crashes)));
}

/// Guards against a quarantine that cannot be lifted. A request that was present at three crashes
/// may get a complete response from another target, and must then run again.
#[gtest]
fn a_complete_response_clears_only_earlier_crashes() {
    let mut history = history_of(&crashes(3, LOW_CRASH_RATE));
    let clear = ClearReport {
        fingerprint: fingerprint(),
        at: 5_000,
    };
    expect_true!(history.record_clear(clear));
    expect_that!(
        history.verdict(&fingerprint(), 10_000),
        eq(CrashVerdict::Clear)
    );
    history.record_crash(crashes(1, LOW_CRASH_RATE)[0]);
    expect_false!(
        history.has_crashes(&fingerprint()),
        "a late report of an earlier crash"
    );
    for index in 0..3 {
        history.record_crash(crash(
            &format!("u{index}"),
            "d",
            6_000 + 1_000 * index,
            LOW_CRASH_RATE,
        ));
    }
    expect_true!(is_quarantined(history.verdict(&fingerprint(), 10_000)));
}

/// Guards against a quarantine that never ends or outlasts the time announced to the caller, and
/// against one that forgets all earlier crashes when it ends. When enough crashes have expired the
/// request runs again; one more crash restores the quarantine.
#[gtest]
fn a_quarantine_expires_as_announced_and_one_more_crash_restores_it() {
    let mut history = history_of(&crashes(3, LOW_CRASH_RATE));
    let verdict = history.verdict(&fingerprint(), 4_000);
    let CrashVerdict::Quarantined(remaining) = verdict else {
        panic!("unexpected verdict: {verdict:?}");
    };
    // The first crash, at one second, expires then.
    expect_that!(remaining, eq(CRASH_RETENTION - Duration::from_secs(3)));
    let expiry = 4_000 + remaining.as_millis() as StoreMillis;
    expect_true!(is_quarantined(history.verdict(&fingerprint(), expiry - 1)));
    expect_false!(is_quarantined(history.verdict(&fingerprint(), expiry)));
    history.record_crash(crash("later", "d", expiry + 100, LOW_CRASH_RATE));
    expect_true!(is_quarantined(
        history.verdict(&fingerprint(), expiry + 100)
    ));
}

/// Guards against unbounded memory if a caller keeps sending new requests to crashing targets, and
/// against dropping the requests with the most crashes first.
#[gtest]
fn the_history_is_bounded_and_keeps_the_requests_with_most_crashes() {
    let mut history = history_of(&crashes(3, LOW_CRASH_RATE));
    for index in 0..20_000_u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&(index + 1).to_le_bytes());
        let other = CrashReport {
            fingerprint: SuspectFingerprint::from(bytes),
            ..crash("t", "d", 4_000, LOW_CRASH_RATE)
        };
        history.record_crash(other);
    }
    expect_that!(history.fingerprints().count(), le(4_096));
    expect_true!(is_quarantined(history.verdict(&fingerprint(), 10_000)));
    history.prune(4_000 + CRASH_RETENTION.as_millis() as StoreMillis);
    expect_that!(history.fingerprints().count(), eq(0));
}

#[gtest]
fn the_rate_counts_recent_crashes() {
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

/// A report that a history receives.
#[derive(Clone, Copy, Debug)]
enum Report {
    Crash(CrashReport),
    Clear(ClearReport),
}

fn report() -> impl Strategy<Value = Report> {
    let crashes = (0..4_u64, 1..60_u64, 10..400_u16).prop_map(|(incarnation, at, chance)| {
        Report::Crash(CrashReport {
            fingerprint: fingerprint(),
            incarnation: IncarnationKey(incarnation),
            domain: incarnation % 2,
            at: at * 100,
            chance_permille: chance,
        })
    });
    let clears = (1..60_u64).prop_map(|at| {
        Report::Clear(ClearReport {
            fingerprint: fingerprint(),
            at: at * 100,
        })
    });
    prop_oneof![4 => crashes, 1 => clears]
}

fn record(history: &mut CrashHistory, report: Report) {
    match report {
        Report::Crash(crash) => history.record_crash(crash),
        Report::Clear(clear) => history.record_clear(clear),
    };
}

proptest! {
    /// Guards against nodes that disagree about a request because the result depends on the order
    /// in which reports arrive. Reports may arrive twice, late, and in any order.
    #[test]
    fn histories_with_the_same_reports_agree(
        reports in prop::collection::vec(report(), 0..12),
        again in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
        seed in any::<u64>(),
    ) {
        let mut first = CrashHistory::default();
        reports.iter().for_each(|one| record(&mut first, *one));
        let mut other = reports.clone();
        if !reports.is_empty() {
            other.extend(again.iter().map(|index| *index.get(&reports)));
        }
        other.sort_by_key(|one| format!("{seed}{one:?}").bytes().fold(seed, |sum, byte| {
            sum.rotate_left(5) ^ u64::from(byte).wrapping_mul(0x9e37_79b9)
        }));
        let mut second = CrashHistory::default();
        other.iter().for_each(|one| record(&mut second, *one));
        prop_assert_eq!(first.crashes(&fingerprint(), 10_000), second.crashes(&fingerprint(), 10_000));
        prop_assert_eq!(first.verdict(&fingerprint(), 10_000), second.verdict(&fingerprint(), 10_000));
    }
}

fn part_history(crashes: &[(u64, StoreMillis)]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for (incarnation, at) in crashes {
        history.record_crash(CrashReport {
            fingerprint: SuspectFingerprint::of_part("part"),
            incarnation: IncarnationKey(*incarnation),
            domain: *incarnation,
            at: *at,
            chance_permille: 20,
        });
    }
    history
}

/// Guards against a part of sound prompts that is barred because many targets were lost at once.
#[gtest]
fn many_targets_lost_at_once_are_one_crash_for_a_part() {
    let part = SuspectFingerprint::of_part("part");
    let lost: Vec<(u64, StoreMillis)> = (0..40).map(|target| (target, 1_000 + target)).collect();
    let history = part_history(&lost);
    expect_that!(history.crash_count(&part, 60_000), eq(1));
    expect_that!(history.verdict(&part, 60_000), eq(CrashVerdict::Clear));
}

/// Guards against a part that is barred before nodes that have served it could say so.
#[gtest]
fn a_part_is_barred_only_after_the_time_for_objections() {
    let part = SuspectFingerprint::of_part("part");
    let history = part_history(&[(1, 1_000), (2, 2_000), (3, 3_000)]);
    expect_that!(history.verdict(&part, 3_999), eq(CrashVerdict::Suspect));
    expect_true!(is_quarantined(history.verdict(&part, 4_000)));
}

/// Guards against a part that is barred for crashes which another part explains.
#[gtest]
fn a_part_is_not_barred_for_crashes_that_another_one_explains() {
    let beside = SuspectFingerprint::of_part("beside");
    let mut history = part_history(&[(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)]);
    for (incarnation, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        history.record_crash(CrashReport {
            fingerprint: beside,
            incarnation: IncarnationKey(incarnation),
            domain: incarnation,
            at,
            chance_permille: 20,
        });
    }
    expect_that!(history.verdict(&beside, 9_000), eq(CrashVerdict::Clear));
    let part = SuspectFingerprint::of_part("part");
    expect_true!(is_quarantined(history.verdict(&part, 9_000)));
}
