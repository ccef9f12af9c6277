//! Simulates groups that fail repeatedly under overload, and checks how many streams complete.
//!
//! Five groups have six slots each. Once per second one group fails, and it is back a second later.
//! Callers send three times what the groups can serve; a stream lasts 1.2 s on average and at most
//! 5 s. An interrupted stream may be resumed at another group once. A caller whose request was
//! refused or whose stream was lost retries once.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const GROUPS: usize = 5;
const SLOTS: usize = 6;
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(60);
const MEAN_S: f64 = 1.2;
const MAX_S: f64 = 5.0;
const CALLERS_PER_SECOND: f64 = 75.0;
const DEADLINE: Duration = Duration::from_secs(8);
/// Minimum service rate of the longest tenth of the streams, relative to the rate of all streams.
const MIN_LONGEST_SHARE: f64 = 0.5;

#[derive(Clone, Debug)]
struct SimulatedStream {
    caller: usize,
    /// Remaining duration.
    remaining: Duration,
    is_resumed: bool,
}

#[derive(Clone, Debug)]
struct Waiter {
    request: WaitingRequest,
    stream: SimulatedStream,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    length: Duration,
    has_retried: bool,
    is_served: bool,
}

struct Simulation {
    rng: StdRng,
    now: Moment,
    callers: Vec<Caller>,
    waiting: Vec<Waiter>,
    groups: Vec<(Moment, Vec<SimulatedStream>)>,
    retries: Vec<(Moment, usize)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            callers: Vec::new(),
            waiting: Vec::new(),
            groups: vec![(Moment::ZERO, Vec::new()); GROUPS],
            retries: Vec::new(),
        }
    }

    fn enqueue(&mut self, stream: SimulatedStream, is_resumption: bool) {
        let request = WaitingRequest::new(WaitParams {
            arrived: self.now,
            objective: Duration::from_millis(300),
            first_event_time: Duration::from_millis(100),
            deadline: self.now + DEADLINE,
            is_resumption,
            ..WaitParams::default()
        });
        self.waiting.push(Waiter { request, stream });
    }

    fn start(&mut self, caller: usize) {
        let remaining = self.callers[caller].length;
        let stream = SimulatedStream {
            caller,
            remaining,
            is_resumed: false,
        };
        self.enqueue(stream, false);
    }

    fn fail(&mut self, caller: usize) {
        if !self.callers[caller].has_retried {
            self.callers[caller].has_retried = true;
            self.retries
                .push((self.now + Duration::from_millis(400), caller));
        }
    }

    fn fail_group(&mut self, index: usize) {
        let (up_at, streams) = &mut self.groups[index];
        *up_at = self.now + Duration::from_secs(1);
        for stream in std::mem::take(streams) {
            if stream.is_resumed {
                self.fail(stream.caller);
            } else {
                let resumed = SimulatedStream {
                    is_resumed: true,
                    ..stream
                };
                self.enqueue(resumed, true);
            }
        }
    }

    fn serve(&mut self) {
        for index in 0..GROUPS {
            while self.groups[index].0 <= self.now && self.groups[index].1.len() < SLOTS {
                let requests: Vec<WaitingRequest> =
                    self.waiting.iter().map(|waiter| waiter.request).collect();
                let Some(next) = next_waiting(&requests, self.now) else {
                    return;
                };
                // A late request gets no slot if the group is at least half full.
                let is_late = requests[next].is_late(self.now);
                if is_late && self.groups[index].1.len() * 2 >= SLOTS {
                    break;
                }
                let waiter = self.waiting.remove(next);
                self.groups[index].1.push(waiter.stream);
            }
        }
    }

    fn step(&mut self) {
        if self
            .rng
            .random_bool(CALLERS_PER_SECOND * STEP.as_secs_f64())
        {
            let length = (-self.rng.random::<f64>().ln() * MEAN_S).min(MAX_S);
            self.callers.push(Caller {
                length: Duration::from_secs_f64(length),
                has_retried: false,
                is_served: false,
            });
            self.start(self.callers.len() - 1);
        }
        let now = self.now;
        let due: Vec<usize> = self
            .retries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, caller)| *caller)
            .collect();
        self.retries.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|caller| self.start(caller));
        let (kept, refused): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiter| waiter.request.verdict(now) == WaitVerdict::Wait);
        self.waiting = kept;
        refused
            .into_iter()
            .for_each(|waiter| self.fail(waiter.stream.caller));
        self.serve();
        for (_, streams) in &mut self.groups {
            for stream in streams.iter_mut() {
                stream.remaining = stream.remaining.saturating_sub(STEP);
                self.callers[stream.caller].is_served |= stream.remaining.is_zero();
            }
            streams.retain(|stream| !stream.remaining.is_zero());
        }
        if now.as_millis() % 1_000 == 0 {
            let index = self.rng.random_range(0..GROUPS);
            self.fail_group(index);
        }
        self.now += STEP;
    }

    /// Returns the share of callers served among the longest tenth, and among all.
    fn simulate(mut self) -> (f64, f64) {
        while self.now < LENGTH {
            self.step();
        }
        let mut callers = self.callers;
        callers.sort_by_key(|caller| std::cmp::Reverse(caller.length));
        let share = |callers: &[Caller]| {
            let served = callers.iter().filter(|caller| caller.is_served).count();
            served as f64 / callers.len() as f64
        };
        (share(&callers[..callers.len() / 10]), share(&callers))
    }
}

/// Guards against long streams being starved when groups fail often and all slots are in use.
///
/// The longer a stream, the more often its group fails. If an interrupted stream queues like a new
/// request, it waits behind new requests and is lost. The symptom was that 0.10 of the longest
/// tenth were served where 0.32 of all were; in this simulation 0.13 to 0.18 and 0.26 to 0.28. With
/// resumptions first, 0.22 to 0.25 of the longest tenth are served.
#[gtest]
fn long_streams_are_served_at_least_half_as_often_as_all() {
    for seed in 0..5 {
        let (longest, all) = Simulation::new(seed).simulate();
        println!("longest tenth {longest:.3}, all {all:.3}");
        expect_that!(longest, ge(MIN_LONGEST_SHARE * all), "seed {seed}");
    }
}
