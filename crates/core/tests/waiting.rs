//! Which requests get slots when demand exceeds capacity.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use googletest::prelude::*;

/// Latency objective for the first event.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time from getting a slot to the first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Time between two requests.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two slots that become free, at half the request rate.
const SLOT_INTERVAL: Duration = Duration::from_millis(80);
/// Simulated time.
const DURATION: Duration = Duration::from_secs(30);

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn params(arrived: Moment) -> WaitParams {
    WaitParams {
        arrived,
        objective: OBJECTIVE,
        first_event_time: FIRST_EVENT_TIME,
        deadline: arrived + Duration::from_secs(8),
        ..WaitParams::default()
    }
}

#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    on_time: u32,
    refused: u32,
    max_wait: Duration,
}

/// Simulates requests that arrive at twice the rate of free slots; `choose` selects the next one.
fn simulate(choose: impl Fn(&[WaitingRequest], Moment) -> Option<usize>) -> Counts {
    let mut counts = Counts::default();
    let mut waiting: Vec<WaitingRequest> = Vec::new();
    let (mut next_arrival, mut next_slot) = (Moment::ZERO, Moment::ZERO);
    let mut now = Moment::ZERO;
    while now < DURATION {
        if now >= next_arrival {
            next_arrival += ARRIVAL_INTERVAL;
            counts.requests += 1;
            waiting.push(WaitingRequest::new(params(now)));
        }
        waiting.retain(|request| {
            let is_kept = request.verdict(now) == WaitVerdict::Wait;
            if !is_kept {
                counts.refused += 1;
                counts.max_wait = counts.max_wait.max(now - request.arrived);
            }
            is_kept
        });
        if now >= next_slot {
            next_slot += SLOT_INTERVAL;
            if let Some(index) = choose(&waiting, now) {
                let request = waiting.remove(index);
                let latency = now + FIRST_EVENT_TIME - request.arrived;
                counts.on_time += u32::from(latency <= OBJECTIVE);
            }
        }
        now += Duration::from_millis(5);
    }
    counts
}

/// Guards against serving in order of arrival under overload: with twice the load, no request would
/// be on time. If those that can still be on time go first, every slot yields a response on time.
#[gtest]
fn under_twice_the_load_every_slot_yields_a_response_on_time() {
    let by_arrival = simulate(|waiting, _| (!waiting.is_empty()).then_some(0));
    let by_deadline = simulate(next_waiting);
    expect_that!(by_arrival.on_time, le(by_arrival.requests / 20));
    expect_that!(by_deadline.on_time, ge(by_deadline.requests * 48 / 100));
}

#[gtest]
fn refused_requests_are_refused_soon() {
    let counts = simulate(next_waiting);
    expect_that!(counts.refused, gt(0));
    expect_that!(counts.max_wait, le(OBJECTIVE + Duration::from_millis(510)));
}

#[gtest]
fn urgent_requests_go_first_among_those_that_can_be_on_time() {
    let urgent = WaitingRequest::new(params(at(0)));
    let newer = WaitingRequest::new(WaitParams {
        priority: 2,
        ..params(at(50))
    });
    expect_that!(next_waiting(&[newer, urgent], at(60)), some(eq(1)));
    // Once the urgent request can no longer be on time, it does not block the other one.
    expect_that!(next_waiting(&[newer, urgent], at(180)), some(eq(0)));
}

/// Guards against counting a retried request's objective from its latest attempt. Retries would
/// then take the slots of new requests, and both would be late.
#[gtest]
fn a_retried_request_counts_from_its_first_attempt() {
    let retried = WaitingRequest::new(WaitParams {
        waited_before: Duration::from_millis(700),
        ..params(at(1_000))
    });
    let new = WaitingRequest::new(params(at(990)));
    expect_true!(retried.is_late(at(1_001)));
    expect_that!(next_waiting(&[retried, new], at(1_001)), some(eq(1)));
    // Its caller retries only once, so it is kept longer than a late new request.
    expect_that!(retried.refuse_at, gt(new.refuse_at));
}
