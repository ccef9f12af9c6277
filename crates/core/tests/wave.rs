//! Callers that were cut off together come back to all nodes at once: what those get who have just come.

use std::collections::VecDeque;
use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::placement::{pick_group, slot_share, GroupLoad, NodeWeight, PlacementParams};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 76;
const GROUPS: usize = 12;
const SLOTS: u32 = 48;
/// Ticks in a second.
const SECOND: usize = 100;
/// Age of what nodes know of each other, in ticks.
const LATE_TICKS: usize = 25;
/// Time that a request is at work in its group, in ticks.
const WORK_TICKS: f64 = 110.0;
/// Callers that come for the first time, in a second.
const CALLERS: f64 = 300.0;
/// Callers that come back, and the ticks in which they do.
const WAVE: (usize, usize) = (700, 40);
/// Ticks for which a caller can wait for a place and be on time.
const SLACK_TICKS: usize = 12;

/// A caller that has no place yet.
#[derive(Clone, Copy, Debug)]
struct WaitingCaller {
    node: usize,
    came: usize,
    is_back: bool,
}

/// Nodes that place callers, a second after they started.
struct WavePlay {
    rng: StdRng,
    engine: EngineSpec,
    own: Vec<[u32; GROUPS]>,
    /// What each node has sent that others have not heard of, by tick.
    sent: VecDeque<Vec<[u32; GROUPS]>>,
    known: VecDeque<[u32; GROUPS]>,
    ends: Vec<(usize, usize, usize)>,
    waiting: Vec<WaitingCaller>,
    knows_who_is_back: bool,
}

/// What became of those that came for the first time, and how many that came back were served.
#[derive(Debug, Default)]
struct WaveTally {
    first: u32,
    on_time: u32,
    back: u32,
}

impl WavePlay {
    fn open(seed: u64, knows_who_is_back: bool) -> Self {
        let small = ModelSpec {
            id: "small".to_owned(),
            group_size: 6,
            time_factor: 0.6,
            ..ModelSpec::default()
        };
        let engine = EngineSpec {
            slots: SLOTS,
            steps_per_pass: 5,
            step_time: Duration::from_micros(6_450),
            step_time_per_request: Duration::from_nanos(96_700),
            prefill_tokens_per_second: 56_100.0,
            models: [(small.id.clone(), small)].into_iter().collect(),
            ..EngineSpec::default()
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            engine,
            own: vec![[0; GROUPS]; NODES],
            sent: VecDeque::from(vec![vec![[0; GROUPS]; NODES]; LATE_TICKS]),
            known: VecDeque::from(vec![[0; GROUPS]; LATE_TICKS]),
            ends: Vec::new(),
            waiting: Vec::new(),
            knows_who_is_back,
        }
    }

    fn at_work(&self) -> [u32; GROUPS] {
        let mut sums = [0; GROUPS];
        for own in &self.own {
            for (sum, own) in sums.iter_mut().zip(own) {
                *sum += own;
            }
        }
        sums
    }

    fn pick(&mut self, caller: WaitingCaller, tick: usize) -> Option<usize> {
        let node = caller.node;
        let is_late = caller.is_back || tick > caller.came + SLACK_TICKS;
        let loads: Vec<GroupLoad> = (0..GROUPS)
            .map(|group| {
                let fresh: u32 = self.sent.iter().map(|sent| sent[node][group]).sum();
                let weight = NodeWeight {
                    before: ((node + group * 37) % NODES) as f64,
                    own: 1.0,
                    total: NODES as f64,
                };
                GroupLoad {
                    active_requests: self.known[0][group] + fresh,
                    local_requests: self.own[node][group],
                    unreported_requests: fresh,
                    nodes: NODES as u32,
                    slot_share: slot_share(SLOTS, weight),
                    is_request_late: is_late && (self.knows_who_is_back || !caller.is_back),
                    ..GroupLoad::default()
                }
            })
            .collect();
        let window = (tick / LATE_TICKS) as u64;
        let mut turn = StdRng::seed_from_u64(window * 1_000 + node as u64);
        let terms = PlacementParams {
            prompt_tokens: 714,
            unseen_requests: CALLERS * LATE_TICKS as f64 / SECOND as f64,
            draw: self.rng.random(),
            turn: turn.random(),
        };
        pick_group(&self.engine, &self.engine.models["small"], &loads, &terms)
    }

    fn come(&mut self, tick: usize, tally: &mut WaveTally) {
        let (wave, ticks) = WAVE;
        let first = CALLERS / SECOND as f64;
        let first = first as usize + usize::from(self.rng.random::<f64>() < first.fract());
        tally.first += first as u32;
        let back = if tick < ticks { wave / ticks } else { 0 };
        for index in 0..first + back {
            let node = self.rng.random_range(0..NODES);
            self.waiting.push(WaitingCaller {
                node,
                came: tick,
                is_back: index >= first,
            });
        }
    }

    /// Plays three seconds from the moment at which the wave begins.
    fn play(&mut self) -> WaveTally {
        let mut tally = WaveTally::default();
        for tick in 0..3 * SECOND {
            let (over, left): (Vec<_>, Vec<_>) = self.ends.iter().partition(|end| end.2 <= tick);
            self.ends = left;
            for (node, group, _) in over {
                self.own[node][group] -= 1;
            }
            self.come(tick, &mut tally);
            self.sent.pop_front();
            self.sent.push_back(vec![[0; GROUPS]; NODES]);
            let mut waiting = std::mem::take(&mut self.waiting);
            // Those that can be on time go first, the newest before the others.
            waiting.sort_by_key(|caller| {
                (
                    caller.is_back && self.knows_who_is_back,
                    std::cmp::Reverse(caller.came),
                )
            });
            for caller in waiting {
                let Some(group) = self.pick(caller, tick) else {
                    if tick < caller.came + SECOND {
                        self.waiting.push(caller);
                    }
                    continue;
                };
                let has_place = self.at_work()[group] < SLOTS;
                let is_in_time = tick <= caller.came + SLACK_TICKS;
                tally.back += u32::from(caller.is_back);
                tally.on_time += u32::from(!caller.is_back && is_in_time && has_place);
                self.own[caller.node][group] += 1;
                self.sent[LATE_TICKS - 1][caller.node][group] += 1;
                let work = WORK_TICKS * self.rng.random_range(0.6..1.4);
                self.ends.push((caller.node, group, tick + work as usize));
            }
            self.known.pop_front();
            self.known.push_back(self.at_work());
        }
        tally
    }
}

/// Guards against callers that have just come being late because those that come back took every place.
#[gtest]
fn who_has_just_come_is_on_time_while_others_come_back() {
    for seed in 0..4 {
        let before = WavePlay::open(seed, false).play();
        let after = WavePlay::open(seed, true).play();
        let part = |tally: &WaveTally| f64::from(tally.on_time) / f64::from(tally.first);
        expect_that!(
            part(&after),
            gt(part(&before) + 0.1),
            "{before:?} {after:?}"
        );
        expect_that!(part(&after), gt(0.75), "{after:?}");
        // They are served as well, as far as there is room.
        expect_that!(after.back, gt(250), "{after:?}");
    }
}
