//! Shares of organisations in the grants of a queue that all nodes share.

use std::time::Duration;

use briarswitch_core::fair::OrganisationClock;
use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::*;
use briarswitch_core::waiting::{WaitParams, WaitingRequest};
use googletest::prelude::*;
use indexmap::IndexMap;

/// When the tests begin.
const START: Moment = Duration::from_secs(100);
/// Time between two grants.
const GRANT_INTERVAL: Duration = Duration::from_millis(5);
/// Number of nodes, over which the requests of each organisation are distributed.
const NODES: u64 = 60;

/// An organisation whose requests never run out.
struct Demand {
    organisation: &'static str,
    weight: u32,
    tokens: u64,
    priority: u8,
    objective: Duration,
}

/// Plays single grants to organisations, and returns who got each.
struct GrantPlay {
    queue: SharedQueue,
    now: Moment,
    sequence: u64,
}

impl GrantPlay {
    fn new(demands: &[Demand]) -> Self {
        let mut queue = SharedQueue::default();
        let weights = demands.iter();
        let weights = weights.map(|demand| (demand.organisation.to_owned(), demand.weight));
        queue.set_weights(weights.collect());
        Self {
            queue,
            now: START,
            sequence: 0,
        }
    }

    /// Returns the organisation that gets the next slot while all of these have new requests.
    fn grant(&mut self, demands: &[Demand]) -> &'static str {
        self.now += GRANT_INTERVAL;
        self.sequence += 1;
        let node = (self.sequence % NODES).to_string();
        let requests = demands.iter().enumerate().map(|(index, demand)| {
            let request = WaitingRequest::new(WaitParams {
                arrived: self.now,
                objective: demand.objective,
                deadline: self.now + Duration::from_secs(10),
                priority: demand.priority,
                ..WaitParams::default()
            });
            QueuedRequest {
                ticket: self.sequence * 100 + index as u64,
                organisation: demand.organisation.to_owned(),
                tokens: demand.tokens,
                request,
                excluded: Vec::new(),
            }
        });
        let requests = NodeRequests {
            node,
            incarnation: 1,
            sequence: self.sequence,
            requests: requests.collect(),
        };
        self.queue.update(requests, self.now);
        // Each grant is for a group of its own, so that there is exactly one slot per round.
        let group = GroupCapacity {
            group: self.sequence as GroupKey,
            slots: 1,
            ..GroupCapacity::default()
        };
        let decision = self.queue.serve(&[group], self.now);
        let ticket = decision.grants[0].ticket;
        demands[(ticket % 100) as usize].organisation
    }
}

fn demand(organisation: &'static str, weight: u32, tokens: u64) -> Demand {
    Demand {
        organisation,
        weight,
        tokens,
        priority: 0,
        objective: Duration::from_secs(2),
    }
}

/// Guards against shares by requests instead of tokens, and against an error beyond one request per organisation, in
/// any part of the time.
#[gtest]
fn tokens_are_shared_by_weight_up_to_one_request_per_organisation() {
    let demands = [
        demand("short", 1, 300),
        demand("double", 2, 1_000),
        demand("long", 1, 7_000),
    ];
    let mut play = GrantPlay::new(&demands);
    let mut tokens: IndexMap<&str, u64> = IndexMap::new();
    let mut history: Vec<[f64; 3]> = Vec::new();
    for _ in 0..3_000 {
        let served = play.grant(&demands);
        for demand in demands
            .iter()
            .filter(|demand| demand.organisation == served)
        {
            *tokens.entry(served).or_default() += demand.tokens;
        }
        let per_weight = |demand: &Demand| {
            let tokens = tokens.get(demand.organisation).copied().unwrap_or(0);
            tokens as f64 / f64::from(demand.weight)
        };
        history.push([0, 1, 2].map(|index| per_weight(&demands[index])));
    }
    for (from, until) in [
        (0, 400),
        (0, 2_999),
        (1_000, 1_400),
        (1_111, 2_345),
        (2_500, 2_999),
    ] {
        for (left, right) in [(0, 1), (0, 2), (1, 2)] {
            let got = |index: usize| history[until][index] - history[from][index];
            let request =
                |index: usize| demands[index].tokens as f64 / f64::from(demands[index].weight);
            let error = (got(left) - got(right)).abs();
            expect_that!(error, le(request(left) + request(right)));
        }
    }
}

/// Guards against credit for idle time: an organisation that returns would take all slots until it has caught up.
#[gtest]
fn an_organisation_that_was_idle_has_no_credit() {
    let both = [demand("busy", 1, 1_000), demand("idle", 1, 1_000)];
    let mut play = GrantPlay::new(&both);
    for _ in 0..1_000 {
        play.grant(&both[..1]);
    }
    let mut served = 0;
    for grants in 1..=200 {
        served += u32::from(play.grant(&both) == "idle");
        // Half of the grants, and one request.
        expect_that!(served, le(grants / 2 + 1));
        expect_that!(served + 1, ge(grants / 2));
    }
}

/// Guards against organisations that get nothing: those of low priority, and those with the longest prompts. Of any 16
/// grants, one goes to the organisation that has waited longest, once that is longer than is on time.
#[gtest]
fn every_organisation_is_served() {
    let objective = Duration::from_millis(250);
    let mut demands = vec![demand("urgent", 1, 100)];
    for organisation in ["low", "lower", "long"] {
        demands.push(Demand {
            priority: if organisation == "long" { 0 } else { 2 },
            tokens: if organisation == "long" { 1 << 40 } else { 100 },
            objective,
            ..demand(organisation, 1, 100)
        });
    }
    let mut play = GrantPlay::new(&demands);
    let mut last: IndexMap<&str, Moment> = IndexMap::new();
    for _ in 0..2_000 {
        let served = play.grant(&demands);
        last.insert(served, play.now);
        // The objective, and 16 grants for each of the others that may have waited longer.
        let longest = objective + GRANT_INTERVAL * 16 * 4;
        for demand in &demands {
            let since = last.get(demand.organisation).copied().unwrap_or(START);
            expect_that!(play.now - since, le(longest), "{}", demand.organisation);
        }
    }
}

/// Guards against an organisation that keeps its place when its entries are forgotten, or loses what it has used.
#[gtest]
fn pruning_a_clock_changes_no_start_tag() {
    let mut clock = OrganisationClock::default();
    clock.charge("light", 1, 10);
    clock.charge("heavy", 1, 1_000);
    let start = clock.charge("light", 1, 10);
    clock.advance(start + (100 << 16));
    let tags = ["light", "heavy", "other"].map(|organisation| clock.start_tag(organisation));
    clock.prune();
    let pruned = ["light", "heavy", "other"].map(|organisation| clock.start_tag(organisation));
    expect_that!(pruned, eq(tags));
    expect_that!(pruned[0], eq(pruned[2]));
    expect_that!(pruned[1], gt(pruned[2]));
}
