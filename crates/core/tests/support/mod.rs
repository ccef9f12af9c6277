//! Plays requests of many nodes to one target with a limit.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::request_limit::{RequestLimit, RequestWindow};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests per second of the callers of all nodes together.
const CALLER_RATE: f64 = 400.0;
/// Longest time from the decision of a node until its request arrives.
const MAX_TRANSIT: Duration = Duration::from_millis(200);

/// Returns when requests arrive at a target for which every request of every node is meant.
pub fn arrivals(limit: &RequestLimit, nodes: usize, time: Duration, seed: u64) -> Vec<Moment> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut windows = vec![RequestWindow::default(); nodes];
    let mut arrivals = Vec::new();
    let mut now = Moment::ZERO;
    while now < time {
        let rank = random.random_range(0..nodes);
        if windows[rank].reserve(limit, limit.share(nodes, rank), now) {
            arrivals.push(now + MAX_TRANSIT.mul_f64(random.random::<f64>()));
        }
        now += Duration::from_secs_f64(-random.random::<f64>().ln() / CALLER_RATE);
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns the largest number of arrivals in any span of a length.
pub fn most_within(arrivals: &[Moment], time: Duration) -> usize {
    let counts = arrivals.iter().map(|start| {
        let end = *start + time;
        arrivals
            .iter()
            .filter(|at| *at >= start && **at < end)
            .count()
    });
    counts.max().unwrap_or(0)
}
