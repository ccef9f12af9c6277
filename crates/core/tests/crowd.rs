//! Hundreds of nodes that choose among the groups of a model and know of each other some tenths of a second
//! late: what callers get, and what groups are sent beyond what they can take.

use std::collections::VecDeque;
use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::placement::{pick_group, slot_share, GroupLoad, NodeWeight, PlacementParams};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 295;
const GROUPS: usize = 8;
const SLOTS: u32 = 22;
/// Age of what nodes know of each other, in ticks.
const LATE_TICKS: usize = 35;
/// Ticks in a second.
const SECOND: usize = 100;
/// Time that a request is at work in its group, in ticks; longer in one that is sent too much.
const WORK_TICKS: f64 = 130.0;

fn engine() -> EngineSpec {
    let large = ModelSpec {
        id: "large".to_owned(),
        group_size: 32,
        expected_share: 0.5,
        time_factor: 1.0,
        ..ModelSpec::default()
    };
    EngineSpec {
        slots: SLOTS,
        steps_per_pass: 11,
        step_time: Duration::from_micros(5_950),
        step_time_per_request: Duration::from_nanos(44_500),
        prefill_tokens_per_second: 50_700.0,
        models: [(large.id.clone(), large)].into_iter().collect(),
        ..EngineSpec::default()
    }
}

struct Crowd {
    rng: StdRng,
    engine: EngineSpec,
    /// Requests at each group by node.
    own: Vec<[u32; GROUPS]>,
    /// Requests at each group, the newest last.
    known: VecDeque<[u32; GROUPS]>,
    /// Node, group and tick of each request's end.
    ends: Vec<(usize, usize, usize)>,
    /// Whether a node's turn is drawn; otherwise every node may always use what looks free.
    takes_turns: bool,
}

/// What became of the requests.
#[derive(Debug, Default)]
struct CrowdTally {
    asked: u32,
    placed: u32,
    /// Placed where every place was taken already.
    beyond: u32,
}

impl Crowd {
    fn open(seed: u64, takes_turns: bool) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            engine: engine(),
            own: vec![[0; GROUPS]; NODES],
            known: VecDeque::from(vec![[0; GROUPS]; LATE_TICKS]),
            ends: Vec::new(),
            takes_turns,
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

    fn pick(&mut self, node: usize, per_second: f64, tick: usize) -> Option<usize> {
        let known = self.known[0];
        let loads: Vec<GroupLoad> = (0..GROUPS)
            .map(|group| {
                let own = self.own[node][group];
                let weight = NodeWeight {
                    before: ((node + group * 37) % NODES) as f64,
                    own: 1.0,
                    total: NODES as f64,
                };
                GroupLoad {
                    active_requests: known[group].max(own),
                    local_requests: own,
                    unreported_requests: own,
                    nodes: NODES as u32,
                    slot_share: slot_share(SLOTS, weight),
                    ..GroupLoad::default()
                }
            })
            .collect();
        let window = (tick / LATE_TICKS) as u64;
        let mut turn = StdRng::seed_from_u64(window * 1_000 + node as u64);
        let terms = PlacementParams {
            prompt_tokens: 1_600,
            unseen_requests: per_second * LATE_TICKS as f64 / SECOND as f64,
            draw: self.rng.random(),
            turn: if self.takes_turns { turn.random() } else { 0.0 },
        };
        let spec = &self.engine.models["large"];
        pick_group(&self.engine, spec, &loads, &terms)
    }

    /// Plays twenty seconds of callers; one without a place goes away.
    fn play(&mut self, per_second: f64) -> CrowdTally {
        let mut tally = CrowdTally::default();
        for tick in 0..20 * SECOND {
            let (over, left): (Vec<_>, Vec<_>) = self.ends.iter().partition(|end| end.2 <= tick);
            self.ends = left;
            for (node, group, _) in over {
                self.own[node][group] -= 1;
            }
            let each = per_second / SECOND as f64;
            let count = each as u32 + u32::from(self.rng.random::<f64>() < each.fract());
            for _ in 0..count {
                let node = self.rng.random_range(0..NODES);
                tally.asked += 1;
                let Some(group) = self.pick(node, per_second, tick) else {
                    continue;
                };
                tally.placed += 1;
                tally.beyond += u32::from(self.at_work()[group] >= SLOTS);
                self.own[node][group] += 1;
                let work = WORK_TICKS * self.rng.random_range(0.3..1.7);
                self.ends.push((node, group, tick + work as usize));
            }
            self.known.pop_front();
            self.known.push_back(self.at_work());
        }
        tally
    }
}

/// Symptom: while callers of a model ask for a little more than its groups can take, one request in twelve is
/// turned away by a group whose places and queue are full, and those that wait in groups are late.
/// Events: 295 nodes see the same few free places, and each uses one before it hears of the others.
/// Cause: what looked free was limited for each node and not for all of them.
///
/// Sent to full groups of what was placed, without turns: 55 to 57 in 100; with turns: 10 to 12 in 100, and 81
/// to 83 in 100 of the places are used.
#[gtest]
fn hundreds_of_nodes_do_not_overfill_what_looks_free() {
    for seed in 0..4 {
        let crowded = 1.2 * f64::from(SLOTS) * GROUPS as f64 / (WORK_TICKS / SECOND as f64);
        let before = Crowd::open(seed, false).play(crowded);
        let after = Crowd::open(seed, true).play(crowded);
        let part = |tally: &CrowdTally| f64::from(tally.beyond) / f64::from(tally.placed);
        expect_that!(part(&after), lt(part(&before) / 3.0));
        let places = 20.0 * f64::from(SLOTS) * GROUPS as f64 / (WORK_TICKS / SECOND as f64);
        expect_that!(f64::from(after.placed), gt(places * 0.78));
    }
}

#[gtest]
fn nobody_waits_for_a_turn_while_places_are_free() {
    let calm = 0.5 * f64::from(SLOTS) * GROUPS as f64 / (WORK_TICKS / SECOND as f64);
    let tally = Crowd::open(7, true).play(calm);
    expect_that!(tally.placed, ge(tally.asked * 99 / 100), "{tally:?}");
    expect_that!(tally.beyond, le(tally.asked / 100));
}
