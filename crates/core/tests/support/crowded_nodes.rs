//! Nodes that place requests by slot shares and what they know of each other, most of whose callers use a few of them.

use std::collections::VecDeque;
use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::id::Moment;
use briarswitch_core::placement::{
    pick_group, slot_share, ArrivalRates, GroupLoad, NodeWeight, PlacementParams,
};
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::large_engine::large_engine;

/// Number of groups.
const GROUPS: usize = 8;
/// Number of slots of a group.
const SLOTS: u32 = 22;
/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(10);
/// Age of the nodes' information about each other, in ticks, which is also the length of their turns.
const INFO_AGE_TICKS: usize = 20;
/// Interval after which a node's requests count as known to the others, in ticks.
const REPORT_TICKS: usize = 30;
/// Interval at which waiting requests look for a slot, in ticks.
const POLL_TICKS: usize = 2;
/// Mean time for which a request holds a slot.
const MEAN_SLOT_TIME: Duration = Duration::from_millis(500);
/// Latency objective of the requests.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time that callers wait for the whole response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time constant of the nodes' request rates.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// Time constant of a node's own recent request rate.
const RECENT_WINDOW: Duration = Duration::from_millis(500);
/// Relative change of a request rate from which the other nodes learn of it.
const RATE_STEP: f64 = 0.5;
/// Requests per second added to each node's rate.
const MIN_RATE: f64 = 1.0;
/// One in so many callers uses any node while a few are crowded.
const OTHER_CALLERS: usize = 10;

type GroupCounts = [u32; GROUPS];

/// Which nodes are crowded, and when.
#[derive(Clone, Copy, Debug)]
pub struct Crowding {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes that nine in ten callers use at a time.
    pub crowded: usize,
    /// When it begins.
    pub start: Moment,
    /// Time after which other nodes are crowded.
    pub change_interval: Duration,
    /// When it ends.
    pub end: Moment,
}

/// What became of the requests, as shares.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCounts {
    /// Share of the requests that were placed before any node was crowded.
    pub served_before: f64,
    /// Share of the requests that were placed while nodes were crowded.
    pub served: f64,
    /// Share of the placed requests that went to groups without a free slot, while nodes were crowded.
    pub overfilled: f64,
}

#[derive(Clone, Default)]
struct SimulatedNode {
    own: GroupCounts,
    /// Its requests as of its last report.
    reported: GroupCounts,
    /// Requests sent since then.
    unreported: GroupCounts,
    rate_sum: f64,
    recent_sum: f64,
    published_rate: f64,
    shares: GroupCounts,
    waiting: Vec<WaitingRequest>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    arrived: u32,
    placed: u32,
    overfilled: u32,
}

/// What all nodes report at one tick.
#[derive(Clone)]
struct FleetReport {
    active: GroupCounts,
    own: Vec<GroupCounts>,
    rate: f64,
}

/// The simulated fleet.
pub struct Simulation {
    crowding: Crowding,
    per_second: f64,
    rng: StdRng,
    engine: EngineSpec,
    nodes: Vec<SimulatedNode>,
    /// The newest report is last.
    reports: VecDeque<FleetReport>,
    /// Node, group and end tick of each running request.
    running: Vec<(usize, usize, usize)>,
    before: RequestCounts,
    during: RequestCounts,
}

impl Simulation {
    /// Prepares a play in which callers would use this share of all slots.
    pub fn new(crowding: Crowding, utilization: f64, seed: u64) -> Self {
        let slots = f64::from(SLOTS) * GROUPS as f64;
        let empty = FleetReport {
            active: [0; GROUPS],
            own: vec![[0; GROUPS]; crowding.nodes],
            rate: 0.0,
        };
        Self {
            per_second: utilization * slots / MEAN_SLOT_TIME.as_secs_f64(),
            rng: StdRng::seed_from_u64(seed),
            engine: large_engine(SLOTS),
            nodes: vec![SimulatedNode::default(); crowding.nodes],
            reports: VecDeque::from(vec![empty; INFO_AGE_TICKS]),
            running: Vec::new(),
            before: RequestCounts::default(),
            during: RequestCounts::default(),
            crowding,
        }
    }

    /// Plays until the end; requests count from `contact_time` after the beginning of the crowding on.
    pub fn run(mut self, contact_time: Duration) -> PlacementCounts {
        let ticks = self.crowding.end.div_duration_f64(TICK) as usize;
        for tick in 0..ticks {
            self.end_requests(tick);
            self.arrive(tick, contact_time);
            if tick % POLL_TICKS == 0 {
                (0..self.nodes.len()).for_each(|node| self.serve(node, tick, contact_time));
            }
            self.report(tick);
        }
        let share = |part: u32, of: u32| f64::from(part) / f64::from(of.max(1));
        PlacementCounts {
            served_before: share(self.before.placed, self.before.arrived),
            served: share(self.during.placed, self.during.arrived),
            overfilled: share(self.during.overfilled, self.during.placed),
        }
    }

    fn end_requests(&mut self, tick: usize) {
        let nodes = &mut self.nodes;
        self.running.retain(|(node, group, end)| {
            let is_running = *end > tick;
            if !is_running {
                nodes[*node].own[*group] -= 1;
            }
            is_running
        });
    }

    fn node_of_caller(&mut self, now: Moment) -> usize {
        let count = self.nodes.len();
        let is_crowded = now >= self.crowding.start && self.rng.random_range(0..OTHER_CALLERS) > 0;
        if !is_crowded {
            return self.rng.random_range(0..count);
        }
        let change = (now - self.crowding.start).div_duration_f64(self.crowding.change_interval);
        let first = change as usize * self.crowding.crowded;
        (first + self.rng.random_range(0..self.crowding.crowded)) % count
    }

    /// Returns the counts to which a request that arrived at a moment belongs.
    fn counts_at(&mut self, arrived: Moment, contact_time: Duration) -> Option<&mut RequestCounts> {
        let start = self.crowding.start;
        if arrived > start + contact_time {
            Some(&mut self.during)
        } else if arrived + contact_time > start && arrived + OBJECTIVE * 3 < start {
            Some(&mut self.before)
        } else {
            None
        }
    }

    fn arrive(&mut self, tick: usize, contact_time: Duration) {
        let now = TICK * tick as u32;
        let each = self.per_second * TICK.as_secs_f64();
        let count = each as u32 + u32::from(self.rng.random::<f64>() < each.fract());
        for _ in 0..count {
            let node = self.node_of_caller(now);
            self.nodes[node].rate_sum += 1.0;
            self.nodes[node].recent_sum += 1.0;
            let request = WaitingRequest::new(WaitParams {
                arrived: now,
                objective: OBJECTIVE,
                deadline: now + CALLER_TIMEOUT,
                ..WaitParams::default()
            });
            self.nodes[node].waiting.push(request);
            if let Some(counts) = self.counts_at(now, contact_time) {
                counts.arrived += 1;
            }
            self.serve(node, tick, contact_time);
        }
    }

    /// Places the waiting requests of a node as long as it finds slots for them.
    fn serve(&mut self, node: usize, tick: usize, contact_time: Duration) {
        let now = TICK * tick as u32;
        let waiting = &mut self.nodes[node].waiting;
        waiting.retain(|request| request.verdict(now) == WaitVerdict::Wait);
        while let Some(index) = next_waiting(&self.nodes[node].waiting, now) {
            let request = self.nodes[node].waiting[index];
            let Some(group) = self.pick(node, request.is_late(now), tick) else {
                return;
            };
            self.nodes[node].waiting.remove(index);
            self.place(node, group, tick);
            let active: u32 = self.nodes.iter().map(|node| node.own[group]).sum();
            if let Some(counts) = self.counts_at(request.arrived, contact_time) {
                counts.placed += 1;
                counts.overfilled += u32::from(active > SLOTS);
            }
        }
    }

    fn pick(&mut self, node: usize, is_late: bool, tick: usize) -> Option<usize> {
        let report = &self.reports[0];
        let state = &self.nodes[node];
        let own_rate = state.rate_sum / RATE_WINDOW.as_secs_f64();
        let rates = ArrivalRates {
            own: state.recent_sum / RECENT_WINDOW.as_secs_f64(),
            peers: (report.rate - own_rate).max(0.0),
        };
        let loads: Vec<GroupLoad> = (0..GROUPS)
            .map(|group| {
                let remote = report.active[group] - report.own[node][group];
                let added = state.own[group].saturating_sub(state.reported[group]);
                GroupLoad {
                    active_requests: state.own[group] + remote,
                    local_requests: state.own[group],
                    unreported_requests: state.unreported[group],
                    replaced_requests: state.unreported[group].saturating_sub(added),
                    nodes: self.nodes.len() as u32,
                    arrival_share: rates.own_share(),
                    slot_share: state.shares[group],
                    is_request_late: is_late,
                    ..GroupLoad::default()
                }
            })
            .collect();
        let window = (tick / INFO_AGE_TICKS) as u64;
        let mut turn = StdRng::seed_from_u64(window * 1_000 + node as u64);
        let params = PlacementParams {
            prompt_tokens: 1_600,
            unseen_requests: rates.peers * INFO_AGE_TICKS as f64 * TICK.as_secs_f64(),
            draw: self.rng.random(),
            turn: turn.random(),
        };
        pick_group(&self.engine, &self.engine.models["large"], &loads, &params)
    }

    fn place(&mut self, node: usize, group: usize, tick: usize) {
        let state = &mut self.nodes[node];
        state.own[group] += 1;
        state.unreported[group] += 1;
        let ticks = MEAN_SLOT_TIME.div_duration_f64(TICK) * self.rng.random_range(0.3..1.7);
        self.running.push((node, group, tick + ticks as usize));
    }

    /// Lets all nodes report, and learn of the reports that have arrived.
    fn report(&mut self, tick: usize) {
        let decay = (-TICK.div_duration_f64(RATE_WINDOW)).exp();
        for node in &mut self.nodes {
            node.rate_sum *= decay;
            node.recent_sum *= (-TICK.div_duration_f64(RECENT_WINDOW)).exp();
            let rate = node.rate_sum / RATE_WINDOW.as_secs_f64();
            let step = (node.published_rate * RATE_STEP).max(MIN_RATE);
            if (node.published_rate - rate).abs() > step {
                node.published_rate = rate;
            }
            if tick % REPORT_TICKS == 0 {
                node.reported = node.own;
                node.unreported = [0; GROUPS];
            }
        }
        let own: Vec<GroupCounts> = self.nodes.iter().map(|node| node.own).collect();
        let active = std::array::from_fn(|group| own.iter().map(|own| own[group]).sum());
        let sums = self.nodes.iter().map(|node| node.rate_sum);
        self.reports.pop_front();
        self.reports.push_back(FleetReport {
            active,
            own,
            rate: sums.sum::<f64>() / RATE_WINDOW.as_secs_f64(),
        });
        if tick % REPORT_TICKS == 0 {
            self.divide_slots();
        }
    }

    /// Gives each node its shares; those of each group begin at another node.
    fn divide_slots(&mut self) {
        let weights = self.nodes.iter().map(|node| node.published_rate + MIN_RATE);
        let weights: Vec<f64> = weights.collect();
        let total: f64 = weights.iter().sum();
        let count = self.nodes.len();
        for group in 0..GROUPS {
            let mut before = 0.0;
            for offset in 0..count {
                let node = (group * count / GROUPS + offset) % count;
                let own = weights[node];
                self.nodes[node].shares[group] =
                    slot_share(SLOTS, NodeWeight { before, own, total });
                before += own;
            }
        }
    }
}
