//! Plays of heads that end for reasons of their own or because of a request, and whom the ledger quarantines.
//!
//! 17 heads of groups, 170 callers a second whose runs last a second in the mean. A run that breaks goes on at another
//! head once, and its caller comes again once. Targets are counted as ended when the directory drops them, four seconds
//! late. Each play lasts 40 s and is played with several seeds.

use std::time::Duration;

use briarswitch_core::crash::*;
use briarswitch_core::fingerprint::RequestFingerprint;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HEADS: usize = 17;
/// Heads of one domain.
const DOMAIN: usize = 3;
const CALLERS: f64 = 170.0;
const STEP: f64 = 0.01;
const LENGTH: f64 = 40.0;
/// Seconds until a head that has ended is back.
const AWAY: f64 = 2.0;
/// Seconds until the directory drops a target that has ended.
const LAPSE: f64 = 4.0;
/// Runs of one request: two for each of two attempts.
const RUNS: u32 = 4;
/// Of all requests so many may be quarantined for nothing.
const INNOCENT_SHARE: f64 = 0.001;
const SEEDS: std::ops::Range<u64> = 0..6;

/// Why heads end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Nothing but the requests.
    Nothing,
    /// Each starts again so many times in the play.
    Restarts(f64),
    /// A domain is lost, then another.
    Domains,
    /// All lose power together, three times.
    Power,
}

#[derive(Clone, Debug)]
struct PlayRequest {
    print: RequestFingerprint,
    is_deadly: bool,
    runs: u32,
    head: usize,
    sent: f64,
    until: f64,
}

/// What a play ended with.
#[derive(Clone, Copy, Debug, Default)]
struct PlayEnd {
    requests: usize,
    /// Requests that do no harm and were quarantined.
    innocents: usize,
    /// Heads that ended by a deadly request.
    deadly_ends: usize,
}

struct Play {
    rng: StdRng,
    trouble: Trouble,
    now: f64,
    away: [f64; HEADS],
    lives: [u64; HEADS],
    requests: Vec<PlayRequest>,
    waiting: Vec<(f64, PlayRequest)>,
    ledger: CrashHistory,
    rate: CrashRate,
    /// When the directory drops what has ended.
    lapses: Vec<f64>,
    refused: std::collections::HashSet<RequestFingerprint>,
    end: PlayEnd,
}

fn millis(seconds: f64) -> StoreMillis {
    (seconds * 1000.0) as StoreMillis + 1
}

impl Play {
    fn open(trouble: Trouble, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            trouble,
            now: 0.0,
            away: [0.0; HEADS],
            lives: [0; HEADS],
            requests: Vec::new(),
            waiting: Vec::new(),
            ledger: CrashHistory::default(),
            rate: CrashRate::default(),
            lapses: Vec::new(),
            refused: Default::default(),
            end: PlayEnd::default(),
        }
    }

    fn new_print(&mut self) -> RequestFingerprint {
        RequestFingerprint::from(self.rng.random::<[u8; 16]>())
    }

    fn send(&mut self, mut request: PlayRequest) {
        let verdict = self.ledger.verdict(&request.print, millis(self.now));
        if matches!(verdict, CrashVerdict::Quarantined(_)) {
            if !request.is_deadly && self.refused.insert(request.print) {
                self.end.innocents += 1;
            }
            return;
        }
        let live: Vec<usize> = (0..HEADS)
            .filter(|head| self.away[*head] <= self.now)
            .collect();
        if live.is_empty() || request.runs >= RUNS {
            return;
        }
        request.head = live[self.rng.random_range(0..live.len())];
        request.runs += 1;
        request.sent = self.now;
        let lasts = if request.is_deadly {
            0.08
        } else {
            (-self.rng.random::<f64>().ln()).min(4.0)
        };
        request.until = self.now + lasts;
        self.requests.push(request);
    }

    fn end_head(&mut self, head: usize) {
        if self.away[head] > self.now {
            return;
        }
        self.away[head] = self.now + AWAY;
        self.lapses.push(self.now + LAPSE);
        let (domain, rate) = (format!("d{}", head / DOMAIN), self.rate.per_second());
        let all = std::mem::take(&mut self.requests);
        let (hit, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|run| run.head == head);
        self.requests = left;
        for request in hit {
            let ran = Duration::from_secs_f64(self.now - request.sent);
            let target = CrashedTarget {
                target: &format!("h{head}"),
                incarnation: self.lives[head],
                domain: &domain,
            };
            let end = CrashReport::of(request.print, target, millis(self.now), ran, rate);
            self.ledger.record_crash(end);
            // The second run of an attempt follows at once, the next attempt after a while.
            let pause = if request.runs % 2 == 1 { 0.0 } else { 0.4 };
            self.waiting.push((self.now + pause, request));
        }
        self.lives[head] += 1;
    }

    fn strike(&mut self) {
        let is_at = |at: f64, now: f64| now >= at && now < at + STEP;
        let now = self.now;
        match self.trouble {
            Trouble::Nothing => {}
            Trouble::Restarts(times) => {
                for head in 0..HEADS {
                    if self.rng.random_bool(times / LENGTH * STEP) {
                        self.end_head(head);
                    }
                }
            }
            Trouble::Domains => {
                for (domain, at) in [10.0, 14.0, 18.0, 22.0].into_iter().enumerate() {
                    if is_at(at, now) {
                        (domain * DOMAIN..(domain + 1) * DOMAIN)
                            .for_each(|head| self.end_head(head));
                    }
                }
            }
            Trouble::Power => {
                if [10.0, 14.0, 18.0].into_iter().any(|at| is_at(at, now)) {
                    (0..HEADS).for_each(|head| self.end_head(head));
                }
            }
        }
    }

    fn step(&mut self) {
        self.strike();
        let (now, all) = (self.now, std::mem::take(&mut self.requests));
        let (over, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|run| run.until <= now);
        self.requests = left;
        for request in over {
            if request.is_deadly {
                self.requests.push(request.clone());
                self.end.deadly_ends += 1;
                self.end_head(request.head);
            } else if self.ledger.has_crashes(&request.print) {
                let (print, at) = (request.print, millis(now));
                self.ledger.record_clear(ClearReport {
                    fingerprint: print,
                    at,
                });
            }
        }
        let all = std::mem::take(&mut self.waiting);
        let (due, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.waiting = left;
        due.into_iter().for_each(|(_, request)| self.send(request));
        if self.rng.random_bool(CALLERS * STEP / 2.0) {
            self.arrive();
            self.arrive();
        }
        let ended = self.lapses.iter().filter(|at| **at <= now).count();
        self.rate
            .record(ended as u64, HEADS, Duration::from_secs_f64(now));
        self.now += STEP;
    }

    fn arrive(&mut self) {
        let print = self.new_print();
        self.end.requests += 1;
        self.send(open_request(print, false));
    }

    /// Plays to the end; a deadly request comes every `pace` seconds if there is one.
    fn play(mut self, deadly: Option<f64>) -> PlayEnd {
        let print = self.new_print();
        let mut next = 5.0;
        while self.now < LENGTH {
            if let Some(pace) = deadly.filter(|_| self.now >= next) {
                next += pace;
                self.send(open_request(print, true));
            }
            self.step();
        }
        self.end
    }
}

fn open_request(print: RequestFingerprint, is_deadly: bool) -> PlayRequest {
    PlayRequest {
        print,
        is_deadly,
        runs: 0,
        head: 0,
        sent: 0.0,
        until: 0.0,
    }
}

fn play_all(trouble: Trouble, deadly: Option<f64>) -> Vec<PlayEnd> {
    SEEDS
        .map(|seed| Play::open(trouble, seed).play(deadly))
        .collect()
}

fn innocent_share(ends: &[PlayEnd]) -> f64 {
    let innocents: usize = ends.iter().map(|end| end.innocents).sum();
    let requests: usize = ends.iter().map(|end| end.requests).sum();
    println!("{innocents} of {requests} requests quarantined for nothing");
    innocents as f64 / requests as f64
}

/// Symptom: callers are refused for minutes because targets ended under their requests.
/// Events: targets start again all the time, domains are lost, all lose power; most requests are only there.
/// Cause: the chances of several ends were multiplied and held against the bound. Of many requests some are at each end
/// early in their runs by luck; 3.7 in 1000 were quarantined where each head ended eight times. And a node that had
/// just started took the rate of ends over time that it had not seen.
#[gtest]
fn few_requests_that_do_no_harm_are_quarantined() {
    for trouble in [
        Trouble::Restarts(4.0),
        Trouble::Restarts(8.0),
        Trouble::Domains,
        Trouble::Power,
    ] {
        let ends = play_all(trouble, None);
        expect_that!(innocent_share(&ends), le(INNOCENT_SHARE), "{trouble:?}");
    }
}

/// Symptom: one request ends a target after the other, or those that run beside it are refused with it.
/// Events: it comes again several times a second, alone or while targets end for other reasons too.
/// Cause guarded against: evidence that does not tell the one that was always there from those beside it.
#[gtest]
fn a_deadly_request_is_told_from_those_beside_it() {
    for trouble in [Trouble::Nothing, Trouble::Restarts(4.0), Trouble::Domains] {
        for pace in [0.15, 1.0] {
            let ends = play_all(trouble, Some(pace));
            expect_that!(
                innocent_share(&ends),
                le(INNOCENT_SHARE),
                "{trouble:?} {pace}"
            );
            for end in ends {
                // Three ends, and those of runs under way at the third.
                expect_that!(end.deadly_ends, all!(ge(3), le(6)), "{trouble:?} {pace}");
            }
        }
    }
}
