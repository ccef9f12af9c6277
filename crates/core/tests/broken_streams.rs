//! Plays of groups that end again and again while callers ask for more than is left, and whose streams are finished.
//!
//! Five groups of six places; each second one of them ends and is back a second later. Callers ask for three times what
//! the groups can do; a stream lasts 1.2 s in the mean and 5 s at most. One that breaks may go on at another group once;
//! a caller that was refused or whose stream broke off comes back once.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const GROUPS: usize = 5;
const PLACES: usize = 6;
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(60);
const MEAN: f64 = 1.2;
const LONGEST: f64 = 5.0;
const CALLERS_PER_SECOND: f64 = 75.0;
const DEADLINE: Duration = Duration::from_secs(8);
/// Part of its time that the largest tenth is served at least, against all: half as often.
const LARGEST_SHARE: f64 = 0.5;

#[derive(Clone, Debug)]
struct PlayStream {
    caller: usize,
    /// What is left of it.
    left: Duration,
    is_resumed: bool,
}

#[derive(Clone, Debug)]
struct PlayWaiter {
    request: WaitingRequest,
    stream: PlayStream,
}

#[derive(Clone, Copy, Debug)]
struct PlayCaller {
    length: Duration,
    is_back: bool,
    is_served: bool,
}

struct Play {
    rng: StdRng,
    now: Moment,
    callers: Vec<PlayCaller>,
    waiting: Vec<PlayWaiter>,
    groups: Vec<(Moment, Vec<PlayStream>)>,
    returns: Vec<(Moment, usize)>,
}

impl Play {
    fn open(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            callers: Vec::new(),
            waiting: Vec::new(),
            groups: vec![(Moment::ZERO, Vec::new()); GROUPS],
            returns: Vec::new(),
        }
    }

    fn wait(&mut self, stream: PlayStream, is_begun: bool) {
        let request = WaitingRequest::new(WaitParams {
            arrived: self.now,
            objective: Duration::from_millis(300),
            first_event_time: Duration::from_millis(100),
            deadline: self.now + DEADLINE,
            is_resumption: is_begun,
            ..WaitParams::default()
        });
        self.waiting.push(PlayWaiter { request, stream });
    }

    fn begin(&mut self, caller: usize) {
        let left = self.callers[caller].length;
        let stream = PlayStream {
            caller,
            left,
            is_resumed: false,
        };
        self.wait(stream, false);
    }

    fn fail(&mut self, caller: usize) {
        if !self.callers[caller].is_back {
            self.callers[caller].is_back = true;
            self.returns
                .push((self.now + Duration::from_millis(400), caller));
        }
    }

    fn end_group(&mut self, index: usize) {
        let (back, streams) = &mut self.groups[index];
        *back = self.now + Duration::from_secs(1);
        for stream in std::mem::take(streams) {
            if stream.is_resumed {
                self.fail(stream.caller);
            } else {
                let resumed = PlayStream {
                    is_resumed: true,
                    ..stream
                };
                self.wait(resumed, true);
            }
        }
    }

    fn serve(&mut self) {
        for index in 0..GROUPS {
            while self.groups[index].0 <= self.now && self.groups[index].1.len() < PLACES {
                let requests: Vec<WaitingRequest> =
                    self.waiting.iter().map(|waiter| waiter.request).collect();
                let Some(next) = next_waiting(&requests, self.now) else {
                    return;
                };
                // A late request takes no place while the group is half full.
                let is_late = requests[next].is_late(self.now);
                if is_late && self.groups[index].1.len() * 2 >= PLACES {
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
            let length = (-self.rng.random::<f64>().ln() * MEAN).min(LONGEST);
            self.callers.push(PlayCaller {
                length: Duration::from_secs_f64(length),
                is_back: false,
                is_served: false,
            });
            self.begin(self.callers.len() - 1);
        }
        let now = self.now;
        let due: Vec<usize> = self
            .returns
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, caller)| *caller)
            .collect();
        self.returns.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|caller| self.begin(caller));
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
                stream.left = stream.left.saturating_sub(STEP);
                self.callers[stream.caller].is_served |= stream.left.is_zero();
            }
            streams.retain(|stream| !stream.left.is_zero());
        }
        if now.as_millis() % 1_000 == 0 {
            let index = self.rng.random_range(0..GROUPS);
            self.end_group(index);
        }
        self.now += STEP;
    }

    /// Returns how often the longest tenth of the callers is served, and how often all are.
    fn play(mut self) -> (f64, f64) {
        while self.now < LENGTH {
            self.step();
        }
        let mut callers = self.callers;
        callers.sort_by_key(|caller| std::cmp::Reverse(caller.length));
        let share = |callers: &[PlayCaller]| {
            let served = callers.iter().filter(|caller| caller.is_served).count();
            served as f64 / callers.len() as f64
        };
        (share(&callers[..callers.len() / 10]), share(&callers))
    }
}

/// Symptom: of the longest tenth of a kind of request 0.10 are served, of all 0.32.
/// Events: groups end every few seconds while all places of the others are taken. The longer a stream, the more often
/// its group ends; then it waits for a place behind callers that have just come, and breaks off.
/// Cause: a stream that broke counted as one that comes now, and as late after the time to a first event. The longest
/// tenth was served 0.13 to 0.18 of the time where all were 0.26 to 0.28; with those that have begun first 0.22 to 0.25.
#[gtest]
fn long_streams_are_served_at_least_half_as_often_as_all() {
    for seed in 0..5 {
        let (largest, all) = Play::open(seed).play();
        println!("largest tenth {largest:.3}, all {all:.3}");
        expect_that!(largest, ge(LARGEST_SHARE * all), "seed {seed}");
    }
}
