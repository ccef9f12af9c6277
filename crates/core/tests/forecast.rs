//! What callers get under load if requests are refused by forecast.
//!
//! Each load is simulated for a node with few slots and for one with many, with several seeds; what is required holds
//! for all of them together, since chance decides at a node with few slots.

#[path = "support/slot_load.rs"]
mod slot_load;

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::waiting::{next_waiting, WaitingRequest};
use googletest::prelude::*;

use slot_load::{
    group_rate, simulate, Attempt, AttemptEnd, LoadParams, LoadPhase, LoadRecord, ROUND, TIMEOUT,
};

const SEEDS: std::ops::Range<u64> = 0..2;
/// Groups of a small and of a large model.
const GROUPS: [u32; 2] = [2, 8];
/// Latency objective; callers' objectives are between 250 and 1,000 ms.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Part of the objective within which callers that will not be served are told.
const TOLD_SHARE: f64 = 1.0 / 8.0;
/// Part of the refused callers that are told in time; a lull of some milliseconds may let a forecast hope.
const MIN_TOLD_SHARE: f64 = 0.99;
/// Time after a change of the load or of the groups in which a node cannot know what comes.
const CHANGE_TIME: Duration = Duration::from_secs(1);
/// Part of the slots under overload that yield a response on time, as without retries in
/// `waiting.rs`.
const MIN_ON_TIME_SHARE: f64 = 0.96;
/// Part by which a node may take the rate at which slots become free for too high: three standard deviations of the
/// smoothed time for which requests hold a slot.
const RATE_TOLERANCE: f64 = 0.2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn phase(seconds: u64, load: [f64; 3], groups: f64) -> (u64, [f64; 3], f64) {
    (seconds, load, groups)
}

/// A load, by phase: seconds, requests by priority and groups, both as parts of the model's groups.
struct Load {
    name: &'static str,
    phases: [(u64, [f64; 3], f64); 3],
}

/// Loads whose second phase is the overload.
fn overloads() -> [Load; 4] {
    let calm = [0.0, 0.8, 0.0];
    let load = |name, phases| Load { name, phases };
    [
        load(
            "burst",
            [
                phase(5, calm, 1.0),
                phase(6, [0.0, 2.0, 0.0], 1.0),
                phase(6, calm, 1.0),
            ],
        ),
        load(
            "three priorities",
            [
                phase(5, [0.2, 0.4, 0.2], 1.0),
                phase(6, [0.5, 1.0, 0.5], 1.0),
                phase(6, [0.2, 0.4, 0.2], 1.0),
            ],
        ),
        load(
            "half of the groups die and form again",
            [
                phase(5, calm, 1.0),
                phase(6, calm, 0.5),
                phase(6, calm, 1.0),
            ],
        ),
        load(
            "groups form",
            [
                phase(5, calm, 1.0),
                phase(6, [0.0, 1.6, 0.0], 1.0),
                phase(6, [0.0, 1.6, 0.0], 2.0),
            ],
        ),
    ]
}

fn params(load: &Load, groups: u32, seed: u64) -> LoadParams {
    let groups = f64::from(groups);
    let phases = load.phases.map(|(seconds, load, part)| LoadPhase {
        duration: Duration::from_secs(seconds),
        load: load.map(|load| load * groups),
        groups: (part * groups) as u32,
    });
    LoadParams {
        seed,
        phases: phases.to_vec(),
        objective: OBJECTIVE,
        first_event_time: ms(150),
        forecasts: true,
        impatient_share: 0.0,
    }
}

/// Simulates a load with models of all sizes and all seeds.
fn records(load: &Load, change: impl Fn(&mut LoadParams)) -> Vec<LoadRecord> {
    let runs = GROUPS
        .iter()
        .flat_map(|groups| SEEDS.map(move |seed| (*groups, seed)));
    let params = runs.map(|(groups, seed)| {
        let mut params = params(load, groups, seed);
        change(&mut params);
        params
    });
    params.map(simulate).collect()
}

/// Returns whether a moment is in the overload.
fn is_overload(record: &LoadRecord, at: Moment) -> bool {
    record.phase_ends[0] <= at && at < record.phase_ends[1]
}

/// Returns the time after the arrival at which a request that is not served is to be told at the latest.
fn told_by(attempt: &Attempt) -> Moment {
    let told_by = attempt.arrived + OBJECTIVE.mul_f64(TOLD_SHARE);
    told_by.max(attempt.request.on_time_until + ROUND)
}

/// Guards against callers that are held until a constant time is over although they will not be served.
#[gtest]
fn callers_that_are_not_served_are_told_soon() {
    for load in overloads() {
        let (mut refused, mut told) = (0.0, 0.0);
        for record in records(&load, |_| ()) {
            for attempt in &record.attempts {
                let Some(AttemptEnd::Refused { at, .. }) = attempt.end else {
                    continue;
                };
                if is_overload(&record, attempt.arrived) {
                    refused += 1.0;
                    told += f64::from(u8::from(at <= told_by(attempt)));
                }
            }
        }
        expect_that!(refused, gt(0.0), "{}", load.name);
        let required = MIN_TOLD_SHARE * refused;
        expect_that!(told, ge(required), "{}: {refused}", load.name);
    }
}

/// Guards against forecasts that refuse callers by chance, where there are slots for all of them.
#[gtest]
fn nobody_is_refused_where_slots_suffice() {
    for load in [0.5, 0.8] {
        for groups in GROUPS {
            for seed in SEEDS {
                let phases = [phase(6, [load / 4.0, load / 2.0, load / 4.0], 1.0); 3];
                let load = Load { name: "", phases };
                let record = simulate(params(&load, groups, seed));
                let unserved = record
                    .attempts
                    .iter()
                    .filter(|attempt| !attempt.is_served());
                // Requests that still wait at the end are not refused.
                let refused = unserved.filter(|attempt| attempt.end.is_some()).count();
                expect_that!(refused, eq(0), "{groups} groups, seed {seed}");
            }
        }
    }
}

/// Returns the requests that were refused by forecast and would have got a slot otherwise, with the time of that slot.
///
/// Slots that became free are given once more in order, with refused requests among those that wait. A slot that stayed
/// free for some rounds is used once: the request that got it in fact has to wait for another.
fn refused_in_vain(record: &LoadRecord) -> Vec<(Attempt, Moment)> {
    let mut refused: Vec<(Moment, Attempt)> = record
        .attempts
        .iter()
        .filter_map(|attempt| match attempt.end {
            Some(AttemptEnd::Refused { at, refusal, .. }) => refusal.and(Some((at, *attempt))),
            _ => None,
        })
        .collect();
    refused.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let mut pool: Vec<Attempt> = Vec::new();
    let mut in_vain = Vec::new();
    let mut is_lent = false;
    for slot in &record.slot_uses {
        while refused.last().is_some_and(|(at, _)| *at < slot.at) {
            pool.extend(refused.pop().map(|(_, attempt)| attempt));
        }
        pool.extend(slot.attempt.map(|index| record.attempts[index]));
        pool.retain(|attempt| slot.at < attempt.request.refuse_at);
        let was_lent = is_lent;
        is_lent &= slot.attempt.is_none();
        if was_lent {
            continue;
        }
        let requests: Vec<WaitingRequest> = pool.iter().map(|attempt| attempt.request).collect();
        let Some(position) = next_waiting(&requests, slot.at) else {
            continue;
        };
        is_lent = slot.attempt.is_none();
        let winner = pool.remove(position);
        if !winner.is_served() {
            in_vain.push((winner, slot.at));
        }
    }
    in_vain
}

/// Guards against refusals while the load stays the same of requests that would have got a slot.
#[gtest]
fn hardly_any_request_is_refused_that_would_have_been_served() {
    for load in overloads() {
        let (mut refused, mut in_vain) = (0.0, 0.0);
        for record in records(&load, |_| ()) {
            let start = record.phase_ends[0] + CHANGE_TIME;
            let attempts = record.attempts.iter();
            let unserved = attempts.filter(|attempt| !attempt.is_served());
            refused += unserved.count() as f64;
            let in_vain_there = refused_in_vain(&record)
                .into_iter()
                .filter(|(attempt, at)| attempt.arrived >= start && *at < record.phase_ends[1]);
            in_vain += in_vain_there.count() as f64;
        }
        let allowed = (1.0 - MIN_TOLD_SHARE) * refused;
        expect_that!(in_vain, le(allowed), "{}: {refused}", load.name);
    }
}

/// Guards against slots for requests that are late, while callers that could be on time wait or are refused; also
/// where the node expects the first event only after the objective, as it does under overload.
#[gtest]
fn under_overload_slots_yield_responses_on_time() {
    for load in overloads() {
        for first_event_time in [ms(150), ms(400)] {
            let (mut used, mut on_time) = (0.0, 0.0);
            for record in records(&load, |params| params.first_event_time = first_event_time) {
                let start = record.phase_ends[0] + CHANGE_TIME;
                let slots = record.slot_uses.iter();
                let slots = slots.filter(|slot| start < slot.at && slot.at < record.phase_ends[1]);
                for index in slots.filter_map(|slot| slot.attempt) {
                    used += 1.0;
                    let is_on_time = record.attempts[index].is_on_time(OBJECTIVE);
                    on_time += f64::from(u8::from(is_on_time));
                }
            }
            let required = MIN_ON_TIME_SHARE * used;
            expect_that!(
                on_time,
                ge(required),
                "{}, {first_event_time:?}: {used}",
                load.name
            );
        }
    }
}

/// Returns what the responses are worth to a caller on average; a late one is worth a quarter of one on time.
fn mean_worth(records: &[LoadRecord]) -> f64 {
    let (mut callers, mut worth) = (0.0, 0.0);
    for attempt in records.iter().flat_map(|record| &record.attempts) {
        callers += f64::from(u8::from(attempt.waited_before.is_zero()));
        worth += match attempt.is_on_time(OBJECTIVE) {
            true => 1.0,
            false if attempt.is_served() => 0.25,
            false => 0.0,
        };
    }
    worth / callers
}

/// Guards against forecasts that cost callers more than they gain.
#[gtest]
fn responses_are_worth_at_least_as_much_as_without_forecasts() {
    for load in overloads() {
        let with = mean_worth(&records(&load, |_| ()));
        let without = mean_worth(&records(&load, |params| params.forecasts = false));
        expect_that!(with, ge(without), "{}", load.name);
    }
}

/// Guards against callers that gain a place by coming back at once.
#[gtest]
fn callers_that_keep_their_retry_after_are_served_more_often() {
    for load in overloads() {
        let (mut retries, mut served) = ([0.0; 2], [0.0; 2]);
        for record in records(&load, |params| params.impatient_share = 0.5) {
            let attempts = record.attempts.iter();
            for attempt in attempts.filter(|attempt| !attempt.waited_before.is_zero()) {
                let kind = usize::from(attempt.is_impatient);
                retries[kind] += 1.0;
                served[kind] += f64::from(u8::from(attempt.is_served()));
            }
        }
        let [patient, impatient] = [0, 1].map(|kind| served[kind] / retries[kind]);
        expect_that!(patient, gt(impatient), "{}", load.name);
    }
}

/// Guards against times after which a caller does not retry any more, and against times that are too soon.
#[gtest]
fn callers_are_asked_to_return_in_time() {
    for load in overloads() {
        let mut longest = Duration::ZERO;
        for attempt in records(&load, |_| ())
            .iter()
            .flat_map(|record| &record.attempts)
        {
            let Some(AttemptEnd::Refused {
                at, retry_after, ..
            }) = attempt.end
            else {
                continue;
            };
            let remaining = attempt.first_arrived() + TIMEOUT - at;
            expect_that!(retry_after, all!(ge(ms(200)), le(remaining / 3 + ms(1))));
            longest = longest.max(retry_after);
        }
        // The overload lasts longer than a caller is asked to wait where there is no forecast.
        expect_that!(longest, gt(ms(600)), "{}", load.name);
    }
}

/// Guards against callers that all return when the first slot becomes free.
#[gtest]
fn callers_return_at_the_rate_at_which_slots_become_free() {
    let window = ms(500);
    for load in overloads() {
        for groups in GROUPS {
            let params = params(&load, groups, SEEDS.start);
            let most_groups = params.phases.iter().map(|phase| phase.groups).max();
            let slots = f64::from(most_groups.unwrap_or(0)) * group_rate() * window.as_secs_f64();
            let record = simulate(params);
            let attempts = record.attempts.iter();
            let retries = attempts.filter(|attempt| !attempt.waited_before.is_zero());
            let returns: Vec<Moment> = retries.map(|attempt| attempt.arrived).collect();
            let counts = returns.iter().enumerate().map(|(index, start)| {
                let within = returns[index..].iter();
                within.take_while(|at| **at < *start + window).count()
            });
            let most = counts.max().unwrap_or(0) as f64;
            let allowed = slots * (1.0 + RATE_TOLERANCE) + 1.0;
            expect_that!(most, all!(gt(0.0), le(allowed)), "{}", load.name);
        }
    }
}
