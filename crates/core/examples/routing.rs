//! Compares target selection by cost with random, round-robin and least-reported-load selection.
//!
//! Six nodes send the same requests to sixteen targets. Each node knows only its own requests and
//! reports that lag. Prompts share prefixes, targets cache them in limited memory, and two targets
//! are slow.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use briarswitch_core::prefix::{PrefixChain, PrefixIndex};
use briarswitch_core::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 6;
const TARGETS: usize = 16;
/// Maximum number of concurrent requests at a target.
const SLOTS: usize = 8;
const STRAGGLERS: usize = 2;
/// Factor by which a straggler is slower.
const STRAGGLER_FACTOR: u64 = 3;
const CONVERSATIONS: usize = 240;
const REQUESTS: usize = 40_000;
/// Microseconds to process one uncached block of a prompt.
const BLOCK_US: u64 = 8_000;
/// Microseconds to generate a response.
const RESPONSE_US: u64 = 600_000;
/// Microseconds between reports, the maximum age of a report.
const REPORT_US: u64 = 500_000;
const BLOCK_BYTES: usize = 256;
const PROMPT_BLOCKS: usize = 24;
/// Blocks that a target caches.
const CACHE_BLOCKS: usize = 600;
const SMOOTHING: f64 = 0.2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Random,
    RoundRobin,
    LeastReported,
    Blend,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Finish { target: usize, node: usize },
    Report,
    Arrive { index: usize },
}

struct Arrival {
    node: usize,
    chain: PrefixChain,
    at: u64,
}

struct Server {
    running: usize,
    queue: VecDeque<Arrival>,
    cache: PrefixIndex,
    reported: u32,
}

/// What a node knows of a target.
struct TargetView {
    in_flight: u32,
    sent_since_report: u32,
    latency: Duration,
    prefix: PrefixIndex,
}

struct Simulation {
    policy: Policy,
    servers: Vec<Server>,
    known: Vec<Vec<TargetView>>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    next: usize,
    first_tokens: Vec<u64>,
    cached: f64,
    work_us: u64,
    end: u64,
    random: StdRng,
}

fn main() {
    println!("load  policy          first token p50 ms  p95 ms  cached  prompt work s  done in s");
    for per_second in [120, 150, 170] {
        for policy in [
            Policy::Random,
            Policy::RoundRobin,
            Policy::LeastReported,
            Policy::Blend,
        ] {
            let run = Simulation::simulate(policy, per_second);
            let at = |share: f64| {
                let index = (run.first_tokens.len() - 1) as f64 * share;
                run.first_tokens[index as usize] as f64 / 1e3
            };
            println!(
                "{per_second:>4}  {:<14} {:>14.0} {:>11.0} {:>6.0} % {:>12.0} {:>10.0}",
                format!("{policy:?}"),
                at(0.5),
                at(0.95),
                run.cached * 100.0 / REQUESTS as f64,
                run.work_us as f64 / 1e6,
                run.end as f64 / 1e6,
            );
        }
    }
}

impl Simulation {
    fn simulate(policy: Policy, per_second: u64) -> Self {
        let mut run = Self::new(policy);
        let arrivals = arrivals(per_second);
        for (index, arrival) in arrivals.iter().enumerate() {
            run.events
                .push(Reverse((arrival.at, Event::Arrive { index })));
        }
        run.events.push(Reverse((REPORT_US, Event::Report)));
        let mut arrivals: Vec<Option<Arrival>> = arrivals.into_iter().map(Some).collect();
        while let Some(Reverse((now, event))) = run.events.pop() {
            match event {
                Event::Arrive { index } => {
                    if let Some(arrival) = arrivals[index].take() {
                        run.arrive(arrival, now);
                    }
                }
                Event::Finish { target, node } => run.finish_request(target, node, now),
                Event::Report => run.report(now),
            }
            if run.first_tokens.len() == REQUESTS && run.servers.iter().all(|one| one.running == 0)
            {
                run.end = now;
                break;
            }
        }
        run.first_tokens.sort_unstable();
        run
    }

    fn new(policy: Policy) -> Self {
        let server = || Server {
            running: 0,
            queue: VecDeque::new(),
            cache: PrefixIndex::new(CACHE_BLOCKS),
            reported: 0,
        };
        let known = || TargetView {
            in_flight: 0,
            sent_since_report: 0,
            latency: Duration::ZERO,
            prefix: PrefixIndex::new(CACHE_BLOCKS),
        };
        Self {
            policy,
            servers: std::iter::repeat_with(server).take(TARGETS).collect(),
            known: (0..NODES)
                .map(|_| std::iter::repeat_with(known).take(TARGETS).collect())
                .collect(),
            events: BinaryHeap::new(),
            next: 0,
            first_tokens: Vec::with_capacity(REQUESTS),
            cached: 0.0,
            work_us: 0,
            end: 0,
            random: StdRng::seed_from_u64(7),
        }
    }

    fn arrive(&mut self, arrival: Arrival, now: u64) {
        let target = self.choose(&arrival);
        let known = &mut self.known[arrival.node][target];
        known.in_flight += 1;
        known.sent_since_report += 1;
        known.prefix.record(&arrival.chain);
        self.servers[target].queue.push_back(arrival);
        self.start(target, now);
    }

    fn choose(&mut self, arrival: &Arrival) -> usize {
        let draws = [
            self.random.random_range(0..TARGETS),
            self.random.random_range(0..TARGETS),
        ];
        self.next += 1;
        match self.policy {
            Policy::Random => draws[0],
            Policy::RoundRobin => self.next % TARGETS,
            Policy::LeastReported => {
                let targets = 0..TARGETS;
                let least = targets.min_by_key(|target| self.servers[*target].reported);
                least.unwrap_or(0)
            }
            Policy::Blend => {
                let names: Vec<String> = (0..TARGETS).map(|index| index.to_string()).collect();
                let affinity_target = arrival
                    .chain
                    .affinity_target(names.iter().map(String::as_str));
                let known = self.known[arrival.node].iter().zip(&self.servers);
                let loads: Vec<TargetLoad> = known
                    .enumerate()
                    .map(|(index, (known, server))| TargetLoad {
                        is_affinity_target: affinity_target == Some(index),
                        reported: server.reported,
                        in_flight: known.in_flight,
                        sent_since_report: known.sent_since_report,
                        cached_share: known.prefix.cached_share(&arrival.chain),
                        latency: known.latency,
                        is_remote: false,
                    })
                    .collect();
                TargetPicker::default().pick(&loads, draws).unwrap_or(0)
            }
        }
    }

    /// Starts the queued requests that fit into a target's batch.
    fn start(&mut self, target: usize, now: u64) {
        let slowness = if target < STRAGGLERS {
            STRAGGLER_FACTOR
        } else {
            1
        };
        while self.servers[target].running < SLOTS {
            let server = &mut self.servers[target];
            let Some(arrival) = server.queue.pop_front() else {
                return;
            };
            server.running += 1;
            let share = server.cache.cached_share(&arrival.chain);
            server.cache.record(&arrival.chain);
            let uncached = ((1.0 - share) * PROMPT_BLOCKS as f64) as u64;
            let prefill_us = (uncached + 1) * BLOCK_US * slowness;
            let first = now + prefill_us - arrival.at;
            self.first_tokens.push(first);
            self.cached += share;
            self.work_us += prefill_us;
            let known = &mut self.known[arrival.node][target];
            let sample = Duration::from_micros(first);
            known.latency = if known.latency.is_zero() {
                sample
            } else {
                known.latency.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING)
            };
            let finish = Event::Finish {
                target,
                node: arrival.node,
            };
            let ends = now + prefill_us + RESPONSE_US * slowness;
            self.events.push(Reverse((ends, finish)));
        }
    }

    fn finish_request(&mut self, target: usize, node: usize, now: u64) {
        self.servers[target].running -= 1;
        self.known[node][target].in_flight -= 1;
        self.start(target, now);
    }

    fn report(&mut self, now: u64) {
        for server in &mut self.servers {
            server.reported = (server.running + server.queue.len()) as u32;
        }
        for known in self.known.iter_mut().flatten() {
            known.sent_since_report = 0;
        }
        self.events.push(Reverse((now + REPORT_US, Event::Report)));
    }
}

/// Draws the requests for one load level, which are the same for every policy.
fn arrivals(per_second: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(11);
    let mean = 1e6 / per_second as f64;
    let mut at = 0.0;
    (0..REQUESTS)
        .map(|_| {
            at -= mean * (1.0 - random.random::<f64>()).ln();
            let conversation = random.random_range(0..CONVERSATIONS) as u8;
            let mut prompt = vec![conversation; BLOCK_BYTES * PROMPT_BLOCKS];
            // The last quarter of the prompt differs between requests.
            let own = prompt.len() * 3 / 4;
            random.fill(&mut prompt[own..]);
            Arrival {
                node: random.random_range(0..NODES),
                chain: PrefixChain::of(&prompt),
                at: at as u64,
            }
        })
        .collect()
}
