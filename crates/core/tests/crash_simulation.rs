//! Simulates targets that crash on their own or because of a request, and checks which requests are
//! quarantined.
//!
//! 170 callers per second use 17 targets, the leaders of their groups; a run lasts one second on
//! average. An interrupted run continues at another target once, and its caller retries once. A
//! crashed target is counted when the directory drops it, four seconds later. Each simulation
//! covers 40 s and is repeated with several seeds.

#[path = "support/simulated_crashes.rs"]
mod simulated_crashes;

use std::time::Duration;

use briarswitch_core::crash::*;
use briarswitch_core::fingerprint::SuspectFingerprint;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use simulated_crashes::{
    draw_crash, is_at, millis, ObservedRate, LENGTH_S, POWER_LOSSES, RESTART_S, STEP_S,
};

const TARGETS: usize = 17;
/// Targets in one domain.
const TARGETS_PER_DOMAIN: usize = 3;
const REQUESTS_PER_SECOND: f64 = 170.0;
/// Runs of one request: two for each of two attempts.
const MAX_RUNS: u32 = 4;
/// Maximum share of harmless requests that may be quarantined.
const MAX_HARMLESS_SHARE: f64 = 0.001;
const SEEDS: std::ops::Range<u64> = 0..6;

/// Why targets crash.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Faults {
    /// Only because of requests.
    None,
    /// Each restarts this many times during the simulation.
    Restarts(f64),
    /// One domain after another is lost.
    Domains,
    /// All lose power at the same time, three times.
    Power,
}

#[derive(Clone, Debug)]
struct SimulatedRequest {
    fingerprint: SuspectFingerprint,
    is_crashing: bool,
    runs: u32,
    target: usize,
    sent: f64,
    ends_at: f64,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct SimulationResult {
    requests: usize,
    /// Harmless requests that were quarantined.
    harmless_quarantined: usize,
    /// Crashes caused by a crashing request.
    caused_crashes: usize,
}

struct Simulation {
    rng: StdRng,
    faults: Faults,
    now: f64,
    down_until: [f64; TARGETS],
    incarnations: [u64; TARGETS],
    requests: Vec<SimulatedRequest>,
    waiting: Vec<(f64, SimulatedRequest)>,
    history: CrashHistory,
    rate: ObservedRate,
    refused: std::collections::HashSet<SuspectFingerprint>,
    result: SimulationResult,
}

impl Simulation {
    fn new(faults: Faults, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            faults,
            now: 0.0,
            down_until: [0.0; TARGETS],
            incarnations: [0; TARGETS],
            requests: Vec::new(),
            waiting: Vec::new(),
            history: CrashHistory::default(),
            rate: ObservedRate::default(),
            refused: Default::default(),
            result: SimulationResult::default(),
        }
    }

    fn new_fingerprint(&mut self) -> SuspectFingerprint {
        SuspectFingerprint::from(self.rng.random::<[u8; 16]>())
    }

    fn send(&mut self, mut request: SimulatedRequest) {
        let verdict = self.history.verdict(&request.fingerprint, millis(self.now));
        if matches!(verdict, CrashVerdict::Quarantined(_)) {
            if !request.is_crashing && self.refused.insert(request.fingerprint) {
                self.result.harmless_quarantined += 1;
            }
            return;
        }
        let available: Vec<usize> = (0..TARGETS)
            .filter(|target| self.down_until[*target] <= self.now)
            .collect();
        if available.is_empty() || request.runs >= MAX_RUNS {
            return;
        }
        request.target = available[self.rng.random_range(0..available.len())];
        request.runs += 1;
        request.sent = self.now;
        let duration = if request.is_crashing {
            0.08
        } else {
            (-self.rng.random::<f64>().ln()).min(4.0)
        };
        request.ends_at = self.now + duration;
        self.requests.push(request);
    }

    fn crash_target(&mut self, target: usize) {
        if self.down_until[target] > self.now {
            return;
        }
        self.down_until[target] = self.now + RESTART_S;
        self.rate.record_crash(self.now);
        let (domain, rate) = (
            format!("d{}", target / TARGETS_PER_DOMAIN),
            self.rate.per_second(),
        );
        let all = std::mem::take(&mut self.requests);
        let (interrupted, rest): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|run| run.target == target);
        self.requests = rest;
        for request in interrupted {
            let ran = Duration::from_secs_f64(self.now - request.sent);
            let target = CrashedTarget {
                target: &format!("h{target}"),
                incarnation: self.incarnations[target],
                domain: &domain,
            };
            let report = CrashReport::of(request.fingerprint, target, millis(self.now), ran, rate);
            self.history.record_crash(report);
            // The second run of an attempt follows at once, the next attempt after a pause.
            let pause = if request.runs % 2 == 1 { 0.0 } else { 0.4 };
            self.waiting.push((self.now + pause, request));
        }
        self.incarnations[target] += 1;
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        match self.faults {
            Faults::None => {}
            Faults::Restarts(times) => {
                for target in 0..TARGETS {
                    if draw_crash(&mut self.rng, times) {
                        self.crash_target(target);
                    }
                }
            }
            Faults::Domains => {
                for (domain, at) in [10.0, 14.0, 18.0, 22.0].into_iter().enumerate() {
                    if is_at(at, now) {
                        (domain * TARGETS_PER_DOMAIN..(domain + 1) * TARGETS_PER_DOMAIN)
                            .for_each(|target| self.crash_target(target));
                    }
                }
            }
            Faults::Power => {
                if POWER_LOSSES.into_iter().any(|at| is_at(at, now)) {
                    (0..TARGETS).for_each(|target| self.crash_target(target));
                }
            }
        }
    }

    fn step(&mut self) {
        self.inject_faults();
        let (now, all) = (self.now, std::mem::take(&mut self.requests));
        let (finished, rest): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|run| run.ends_at <= now);
        self.requests = rest;
        for request in finished {
            if request.is_crashing {
                self.requests.push(request.clone());
                self.result.caused_crashes += 1;
                self.crash_target(request.target);
            } else if self.history.has_crashes(&request.fingerprint) {
                let (fingerprint, at) = (request.fingerprint, millis(now));
                self.history.record_clear(ClearReport { fingerprint, at });
            }
        }
        let all = std::mem::take(&mut self.waiting);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.waiting = rest;
        due.into_iter().for_each(|(_, request)| self.send(request));
        if self.rng.random_bool(REQUESTS_PER_SECOND * STEP_S / 2.0) {
            self.arrive();
            self.arrive();
        }
        self.rate.sample(TARGETS, now);
        self.now += STEP_S;
    }

    fn arrive(&mut self) {
        let fingerprint = self.new_fingerprint();
        self.result.requests += 1;
        self.send(new_request(fingerprint, false));
    }

    /// Runs the simulation; if `interval` is given, a crashing request is sent at that interval in
    /// seconds.
    fn simulate(mut self, crash_interval: Option<f64>) -> SimulationResult {
        let fingerprint = self.new_fingerprint();
        let mut next = 5.0;
        while self.now < LENGTH_S {
            if let Some(interval) = crash_interval.filter(|_| self.now >= next) {
                next += interval;
                self.send(new_request(fingerprint, true));
            }
            self.step();
        }
        self.result
    }
}

fn new_request(fingerprint: SuspectFingerprint, is_crashing: bool) -> SimulatedRequest {
    SimulatedRequest {
        fingerprint,
        is_crashing,
        runs: 0,
        target: 0,
        sent: 0.0,
        ends_at: 0.0,
    }
}

fn simulate_all(faults: Faults, crash_interval: Option<f64>) -> Vec<SimulationResult> {
    SEEDS
        .map(|seed| Simulation::new(faults, seed).simulate(crash_interval))
        .collect()
}

fn harmless_share(results: &[SimulationResult]) -> f64 {
    let harmless_quarantined: usize = results
        .iter()
        .map(|result| result.harmless_quarantined)
        .sum();
    let requests: usize = results.iter().map(|result| result.requests).sum();
    println!("{harmless_quarantined} of {requests} harmless requests quarantined");
    harmless_quarantined as f64 / requests as f64
}

/// Guards against harmless requests being quarantined because targets crashed while they ran:
/// targets restart all the time, domains are lost, or all targets lose power.
///
/// Multiplying the probabilities of several crashes quarantined 3.7 in 1000 requests where each
/// target crashed eight times, since among many requests some are present by chance at each crash
/// early in their runs. A node that had just started also computed the crash rate over time that it
/// had not observed.
#[gtest]
fn few_harmless_requests_are_quarantined() {
    for faults in [
        Faults::Restarts(4.0),
        Faults::Restarts(8.0),
        Faults::Domains,
        Faults::Power,
    ] {
        let results = simulate_all(faults, None);
        expect_that!(
            harmless_share(&results),
            le(MAX_HARMLESS_SHARE),
            "{faults:?}"
        );
    }
}

/// Guards against a request that crashes one target after the other, and against quarantining the
/// requests that run at the same time. The request is retried several times per second, alone or
/// while targets crash for other reasons too.
#[gtest]
fn a_crashing_request_is_distinguished_from_concurrent_ones() {
    for faults in [Faults::None, Faults::Restarts(4.0), Faults::Domains] {
        for interval in [0.15, 1.0] {
            let results = simulate_all(faults, Some(interval));
            expect_that!(
                harmless_share(&results),
                le(MAX_HARMLESS_SHARE),
                "{faults:?} {interval}"
            );
            for result in results {
                // Three crashes, plus those of runs already active at the third.
                expect_that!(
                    result.caused_crashes,
                    all!(ge(3), le(6)),
                    "{faults:?} {interval}"
                );
            }
        }
    }
}
