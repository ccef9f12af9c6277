//! Simulates callers that were disconnected together and retry at all nodes at once, and checks
//! that new requests are still served on time.

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
/// Ticks per second.
const TICKS_PER_SECOND: usize = 100;
/// Age of the nodes' information about each other, in ticks.
const INFO_AGE_TICKS: usize = 25;
/// Mean duration of a request in ticks.
const REQUEST_TICKS: f64 = 110.0;
/// New requests per second.
const NEW_REQUESTS_PER_SECOND: f64 = 300.0;
/// Number of retried requests, and the number of ticks over which they arrive.
const RETRY_WAVE: (usize, usize) = (700, 40);
/// Ticks for which a request can wait for a slot and still be on time.
const SLACK_TICKS: usize = 12;

/// A request without a slot.
#[derive(Clone, Copy, Debug)]
struct UnplacedRequest {
    node: usize,
    arrived: usize,
    is_retry: bool,
}

/// Nodes that place requests, starting one second after a restart.
struct Simulation {
    rng: StdRng,
    engine: EngineSpec,
    active: Vec<[u32; GROUPS]>,
    /// Requests that each node has sent and others do not know of yet, by tick.
    sent: VecDeque<Vec<[u32; GROUPS]>>,
    known: VecDeque<[u32; GROUPS]>,
    completions: Vec<(usize, usize, usize)>,
    waiting: Vec<UnplacedRequest>,
    distinguishes_retries: bool,
}

/// Counts of new requests, of those served on time, and of retried requests served.
#[derive(Debug, Default)]
struct Counts {
    new_requests: u32,
    on_time: u32,
    retried: u32,
}

impl Simulation {
    fn new(seed: u64, distinguishes_retries: bool) -> Self {
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
            active: vec![[0; GROUPS]; NODES],
            sent: VecDeque::from(vec![vec![[0; GROUPS]; NODES]; INFO_AGE_TICKS]),
            known: VecDeque::from(vec![[0; GROUPS]; INFO_AGE_TICKS]),
            completions: Vec::new(),
            waiting: Vec::new(),
            distinguishes_retries,
        }
    }

    fn active_by_group(&self) -> [u32; GROUPS] {
        let mut sums = [0; GROUPS];
        for own in &self.active {
            for (sum, own) in sums.iter_mut().zip(own) {
                *sum += own;
            }
        }
        sums
    }

    fn pick(&mut self, request: UnplacedRequest, tick: usize) -> Option<usize> {
        let node = request.node;
        let is_late = request.is_retry || tick > request.arrived + SLACK_TICKS;
        let loads: Vec<GroupLoad> = (0..GROUPS)
            .map(|group| {
                let unreported: u32 = self.sent.iter().map(|sent| sent[node][group]).sum();
                let weight = NodeWeight {
                    before: ((node + group * 37) % NODES) as f64,
                    own: 1.0,
                    total: NODES as f64,
                };
                GroupLoad {
                    active_requests: self.known[0][group] + unreported,
                    local_requests: self.active[node][group],
                    unreported_requests: unreported,
                    nodes: NODES as u32,
                    slot_share: slot_share(SLOTS, weight),
                    is_request_late: is_late && (self.distinguishes_retries || !request.is_retry),
                    ..GroupLoad::default()
                }
            })
            .collect();
        let window = (tick / INFO_AGE_TICKS) as u64;
        let mut turn = StdRng::seed_from_u64(window * 1_000 + node as u64);
        let params = PlacementParams {
            prompt_tokens: 714,
            unseen_requests: NEW_REQUESTS_PER_SECOND * INFO_AGE_TICKS as f64
                / TICKS_PER_SECOND as f64,
            draw: self.rng.random(),
            turn: turn.random(),
        };
        pick_group(&self.engine, &self.engine.models["small"], &loads, &params)
    }

    fn arrive(&mut self, tick: usize, counts: &mut Counts) {
        let (wave, ticks) = RETRY_WAVE;
        let new_requests = NEW_REQUESTS_PER_SECOND / TICKS_PER_SECOND as f64;
        let new_requests =
            new_requests as usize + usize::from(self.rng.random::<f64>() < new_requests.fract());
        counts.new_requests += new_requests as u32;
        let retried = if tick < ticks { wave / ticks } else { 0 };
        for index in 0..new_requests + retried {
            let node = self.rng.random_range(0..NODES);
            self.waiting.push(UnplacedRequest {
                node,
                arrived: tick,
                is_retry: index >= new_requests,
            });
        }
    }

    /// Simulates three seconds from the start of the wave.
    fn simulate(&mut self) -> Counts {
        let mut counts = Counts::default();
        for tick in 0..3 * TICKS_PER_SECOND {
            let (finished, rest): (Vec<_>, Vec<_>) =
                self.completions.iter().partition(|end| end.2 <= tick);
            self.completions = rest;
            for (node, group, _) in finished {
                self.active[node][group] -= 1;
            }
            self.arrive(tick, &mut counts);
            self.sent.pop_front();
            self.sent.push_back(vec![[0; GROUPS]; NODES]);
            let mut waiting = std::mem::take(&mut self.waiting);
            // Requests that can be on time go first, the newest of them before the others.
            waiting.sort_by_key(|request| {
                (
                    request.is_retry && self.distinguishes_retries,
                    std::cmp::Reverse(request.arrived),
                )
            });
            for request in waiting {
                let Some(group) = self.pick(request, tick) else {
                    if tick < request.arrived + TICKS_PER_SECOND {
                        self.waiting.push(request);
                    }
                    continue;
                };
                let has_slot = self.active_by_group()[group] < SLOTS;
                let is_in_time = tick <= request.arrived + SLACK_TICKS;
                counts.retried += u32::from(request.is_retry);
                counts.on_time += u32::from(!request.is_retry && is_in_time && has_slot);
                self.active[request.node][group] += 1;
                self.sent[INFO_AGE_TICKS - 1][request.node][group] += 1;
                let duration = REQUEST_TICKS * self.rng.random_range(0.6..1.4);
                self.completions
                    .push((request.node, group, tick + duration as usize));
            }
            self.known.pop_front();
            self.known.push_back(self.active_by_group());
        }
        counts
    }
}

/// Guards against new requests being late because retried ones took every slot.
#[gtest]
fn new_requests_are_on_time_during_a_wave_of_retries() {
    for seed in 0..4 {
        let undistinguished = Simulation::new(seed, false).simulate();
        let distinguished = Simulation::new(seed, true).simulate();
        let on_time_share =
            |counts: &Counts| f64::from(counts.on_time) / f64::from(counts.new_requests);
        expect_that!(
            on_time_share(&distinguished),
            gt(on_time_share(&undistinguished) + 0.1),
            "{undistinguished:?} {distinguished:?}"
        );
        expect_that!(on_time_share(&distinguished), gt(0.75), "{distinguished:?}");
        // Retried requests are served as well, as far as there is room.
        expect_that!(distinguished.retried, gt(250), "{distinguished:?}");
    }
}
