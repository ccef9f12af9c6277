//! Loads with slow targets, played against the decisions on observed speed.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::speed::{
    median_ratio, slow_set, JudgedSpeed, ProbeTurn, ReportedSpeed, SpeedRatio, SpeedRecord,
    SpeedSample, UsualTime,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(5);
/// Interval at which nodes judge targets.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which nodes learn of each other's reports.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Response time of a target at normal speed, or time to the first event.
const NORMAL_TIME: Duration = Duration::from_millis(100);
/// Interval between the events of a stream at normal speed.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Events of a stream after the first one.
const STREAM_EVENTS: u32 = 15;
/// When targets become slow, after a time in which all are normal.
const SLOW_AT: Duration = Duration::from_secs(2);
/// Time of traffic after which slow targets are avoided.
const DETECTION: Duration = Duration::from_secs(1);
/// Time after which targets that have recovered have work again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Probe requests of the whole fleet to one slow target per second.
const PROBES_PER_SECOND: f64 = 2.0;

/// A request that a target processes.
struct RunningRequest {
    node: usize,
    target: usize,
    sent_at: Moment,
    /// When the response, or the next event, arrives.
    ends_at: Moment,
    is_counted: bool,
    /// When the first event arrived, and the latest one, of a stream.
    event_at: Option<Moment>,
    events_left: u32,
}

/// What one node knows of one target.
#[derive(Clone, Copy, Default)]
struct TargetKnowledge {
    record: SpeedRecord,
    reported: ReportedSpeed,
    probed_at: Moment,
    relative: f64,
    is_slow: bool,
}

/// A request that was sent.
#[derive(Clone, Copy)]
struct SentRequest {
    target: usize,
    sent_at: Moment,
}

struct LoadSimulation {
    rng: StdRng,
    now: Moment,
    rate: f64,
    /// Factor on the response time of each target.
    factors: Vec<f64>,
    nodes: Vec<Vec<TargetKnowledge>>,
    running: Vec<RunningRequest>,
    sent: Vec<SentRequest>,
    usual: Vec<UsualTime>,
    max_slow: usize,
    has_streams: bool,
}

impl LoadSimulation {
    /// Creates a simulation of `rate` requests per second in total.
    fn new(nodes: usize, targets: usize, rate: f64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(7),
            now: Duration::from_secs(60),
            rate,
            factors: vec![1.0; targets],
            nodes: vec![vec![TargetKnowledge::default(); targets]; nodes],
            running: Vec::new(),
            sent: Vec::new(),
            usual: vec![UsualTime::default(); nodes],
            max_slow: 0,
            has_streams: false,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.end_requests();
            if self.is_due(JUDGE_INTERVAL) {
                self.judge();
            }
            if self.is_due(GOSSIP_INTERVAL) {
                self.gossip();
            }
            let arrivals = self.rate * STEP.as_secs_f64();
            let count = arrivals.floor() as usize
                + usize::from(self.rng.random::<f64>() < arrivals.fract());
            for _ in 0..count {
                let node = self.rng.random_range(0..self.nodes.len());
                self.send(node);
            }
        }
    }

    fn is_due(&self, interval: Duration) -> bool {
        self.now.as_millis() % interval.as_millis() == 0
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let mut running = std::mem::take(&mut self.running);
        for request in &mut running {
            let is_ended = now >= request.ends_at;
            let record = &mut self.nodes[request.node][request.target].record;
            if let Some(begun_at) = request.event_at {
                let sample = SpeedSample {
                    begun_at,
                    ended_at: now,
                    expected: EVENT_INTERVAL,
                };
                if is_ended {
                    record.record_interval(&sample);
                }
                continue;
            }
            let usual = self.usual[request.node].get().unwrap_or(NORMAL_TIME);
            let sample = SpeedSample {
                begun_at: request.sent_at,
                ended_at: now,
                expected: usual,
            };
            if request.is_counted {
                record.renew(&sample);
            } else if is_ended || sample.is_overdue() {
                request.is_counted = record.record(&sample);
                self.usual[request.node].record(now - request.sent_at);
            }
        }
        for request in running.iter_mut().filter(|request| now >= request.ends_at) {
            request.event_at = Some(now);
            let interval = EVENT_INTERVAL.mul_f64(self.factors[request.target]);
            if request.events_left > 0 {
                request.events_left -= 1;
                request.ends_at = now + interval;
            }
        }
        running.retain(|request| now < request.ends_at);
        self.running = running;
    }

    fn speeds(knowledge: &[TargetKnowledge], now: Moment) -> Vec<JudgedSpeed> {
        let speed = |target: &TargetKnowledge| JudgedSpeed {
            own: target.record.ratio(now),
            is_judged: target.record.is_judged(),
            reported: target.reported.ratio(now),
            is_slow: target.is_slow,
        };
        knowledge.iter().map(speed).collect()
    }

    fn judge(&mut self) {
        let now = self.now;
        for knowledge in &mut self.nodes {
            let speeds = Self::speeds(knowledge, now);
            let median = median_ratio(&speeds);
            let slow = slow_set(&speeds);
            self.max_slow = self.max_slow.max(slow.iter().filter(|slow| **slow).count());
            for (index, target) in knowledge.iter_mut().enumerate() {
                target.is_slow = slow[index];
                target.relative = speeds[index].relative(median);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        for target in 0..self.factors.len() {
            let mut reports: Vec<(usize, SpeedRatio, Duration)> = Vec::new();
            for (node, knowledge) in self.nodes.iter_mut().enumerate() {
                let speeds = Self::speeds(knowledge, now);
                let relative = speeds[target].own_relative(median_ratio(&speeds));
                let report = knowledge[target].record.report(relative, now);
                reports.extend(report.map(|(ratio, age)| (node, ratio, age)));
            }
            for (node, knowledge) in self.nodes.iter_mut().enumerate() {
                for (from, ratio, age) in &reports {
                    if *from != node {
                        knowledge[target].reported.record(*ratio, *age, now);
                        if *ratio == SpeedRatio::default() {
                            knowledge[target]
                                .record
                                .record_normal(now.saturating_sub(*age));
                        }
                    }
                }
            }
        }
    }

    fn send(&mut self, node: usize) {
        let target = self.choose(node);
        let jitter = 0.7 + 0.6 * self.rng.random::<f64>();
        let time = NORMAL_TIME.mul_f64(self.factors[target] * jitter);
        self.sent.push(SentRequest {
            target,
            sent_at: self.now,
        });
        self.running.push(RunningRequest {
            node,
            target,
            sent_at: self.now,
            ends_at: self.now + time,
            is_counted: false,
            event_at: None,
            events_left: if self.has_streams { STREAM_EVENTS } else { 0 },
        });
    }

    /// Chooses the target with the least load by its ratio, or one that is due for a probe request.
    fn choose(&mut self, node: usize) -> usize {
        let now = self.now;
        let nodes = self.nodes.len();
        let knowledge = &mut self.nodes[node];
        for (index, target) in knowledge.iter_mut().enumerate() {
            let turn = ProbeTurn {
                rank: (node + index) % nodes,
                probed_at: target.probed_at,
                renewed_at: target.record.renewed_at().max(target.reported.renewed_at()),
            };
            if target.is_slow && turn.is_due(now) {
                target.probed_at = now;
                return index;
            }
        }
        let mut load = vec![0.0; knowledge.len()];
        for request in &self.running {
            load[request.target] += 1.0;
        }
        let open = (0..knowledge.len()).filter(|index| !knowledge[*index].is_slow);
        let cost = |index: &usize| (load[*index] + 1.0) * knowledge[*index].relative.max(1.0);
        let costs: Vec<(usize, f64)> = open.map(|index| (index, cost(&index))).collect();
        let least = costs.iter().map(|(_, cost)| *cost).fold(f64::MAX, f64::min);
        let best: Vec<usize> = costs
            .iter()
            .filter(|(_, cost)| *cost <= least)
            .map(|(index, _)| *index)
            .collect();
        best[self.rng.random_range(0..best.len())]
    }

    /// Returns the requests that a target got from `begin` until `end`, both before now.
    fn requests(&self, target: usize, begin: Moment, end: Moment) -> usize {
        let sent = self.sent.iter();
        sent.filter(|sent| sent.target == target && (begin..end).contains(&sent.sent_at))
            .count()
    }

    fn slow_targets(&self) -> usize {
        let slow = |knowledge: &Vec<TargetKnowledge>| {
            knowledge.iter().filter(|target| target.is_slow).count()
        };
        self.nodes.iter().map(slow).max().unwrap_or_default()
    }
}

/// Returns a simulation in which the first `slow` targets become slow by a factor, at that time.
fn with_slow(nodes: usize, targets: usize, rate: f64, slow: usize, factor: f64) -> LoadSimulation {
    slow_down(LoadSimulation::new(nodes, targets, rate), slow, factor)
}

fn slow_down(mut simulation: LoadSimulation, slow: usize, factor: f64) -> LoadSimulation {
    simulation.run(SLOW_AT);
    simulation.factors[..slow].fill(factor);
    simulation
}

/// Asserts that slow targets get only probe requests after the time for detection, and work again after they recover.
fn check_avoided_and_restored(mut simulation: LoadSimulation, slow: usize) {
    simulation.run(DETECTION);
    let detected_at = simulation.now;
    let observation = Duration::from_secs(3);
    simulation.run(observation);
    let probes = (PROBES_PER_SECOND * observation.as_secs_f64()) as usize + 1;
    let targets = simulation.factors.len();
    let share = simulation.rate / targets as f64;
    // Other nodes learn of what one node has seen a little later.
    let is_fleet = simulation.nodes.len() > 1;
    let unaware = if is_fleet {
        (share * GOSSIP_INTERVAL.as_secs_f64()) as usize
    } else {
        0
    };
    for target in 0..slow {
        let requests = simulation.requests(target, detected_at, simulation.now);
        expect_that!(
            requests,
            all![ge(1), le(probes + unaware)],
            "target {target}"
        );
    }
    simulation.factors.fill(1.0);
    simulation.run(RECOVERY);
    expect_that!(simulation.slow_targets(), eq(0));
    let recovered_at = simulation.now;
    simulation.run(Duration::from_secs(1));
    for target in 0..slow {
        let requests = simulation.requests(target, recovered_at, simulation.now);
        expect_that!(requests as f64, ge(share / 2.0), "target {target}");
    }
}

/// Guards against requests that are late at a target four times slower than the others.
#[gtest]
fn targets_that_are_four_times_slower_are_avoided_and_restored() {
    check_avoided_and_restored(with_slow(1, 10, 200.0, 1, 4.0), 1);
}

/// Guards against noticing a target that is twelve times slower only when its first responses are complete.
#[gtest]
fn targets_that_are_twelve_times_slower_are_avoided_and_restored() {
    check_avoided_and_restored(with_slow(1, 10, 200.0, 1, 12.0), 1);
}

/// Guards against a usual time that slow targets raise until they look normal.
#[gtest]
fn a_fifth_of_the_targets_is_avoided_and_restored() {
    check_avoided_and_restored(with_slow(1, 20, 400.0, 4, 12.0), 4);
}

/// Guards against each node of a fleet sending probe requests of its own, and against nodes that learn late that a
/// target has recovered.
#[gtest]
fn a_fleet_avoids_and_restores_together() {
    check_avoided_and_restored(with_slow(6, 10, 400.0, 2, 4.0), 2);
}

/// Guards against fleets in which each node has so few requests at a group that none of them can judge it.
#[gtest]
fn slow_groups_are_avoided_and_restored_by_many_nodes() {
    for factor in [4.0, 12.0] {
        let mut simulation = LoadSimulation::new(58, 12, 120.0);
        simulation.has_streams = true;
        check_avoided_and_restored(slow_down(simulation, 2, factor), 2);
    }
}

/// Guards against taking load on all targets for a fault of some.
#[gtest]
fn targets_that_are_all_slow_are_no_fault() {
    for factor in [4.0, 12.0] {
        let mut simulation = with_slow(2, 12, 300.0, 12, factor);
        simulation.run(Duration::from_secs(5));
        expect_that!(simulation.max_slow, eq(0), "factor {factor}");
    }
}

/// Guards against setting a target aside for one response that took long for its own reasons.
#[gtest]
fn one_slow_response_is_no_fault() {
    let mut simulation = LoadSimulation::new(1, 10, 200.0);
    simulation.run(SLOW_AT);
    simulation.running.push(RunningRequest {
        node: 0,
        target: 3,
        sent_at: simulation.now,
        ends_at: simulation.now + NORMAL_TIME * 50,
        is_counted: false,
        event_at: None,
        events_left: 0,
    });
    simulation.run(Duration::from_secs(6));
    expect_that!(simulation.max_slow, eq(0));
}

/// Guards against leaving the callers too few targets when more than a quarter of them are slow.
#[gtest]
fn at_most_a_quarter_is_set_aside() {
    for (targets, slow) in [(10, 4), (7, 3), (3, 1)] {
        let mut simulation = with_slow(1, targets, 40.0 * targets as f64, slow, 12.0);
        simulation.run(Duration::from_secs(4));
        expect_that!(simulation.max_slow, le(targets / 4), "{slow} of {targets}");
    }
}
