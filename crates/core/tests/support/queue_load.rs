//! Recorded loads of requests that arrive at the nodes of a fleet.

use std::time::Duration;

use briarswitch_core::id::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of nodes.
pub const NODES: usize = 60;
/// Shortest and longest time for which a request holds a slot, in seconds.
const SLOT_SECONDS: (f64, f64) = (0.5, 1.5);
/// Mean time for which a request holds a slot, in seconds.
pub const MEAN_SLOT_SECONDS: f64 = (SLOT_SECONDS.0 + SLOT_SECONDS.1) / 2.0;

/// Requests of one organisation and priority.
#[derive(Clone, Copy, Debug)]
pub struct RequestStream {
    /// The organisation.
    pub organisation: &'static str,
    /// Priority of its requests; zero is the highest.
    pub priority: u8,
    /// Requests per second.
    pub per_second: f64,
    /// Tokens of a request.
    pub tokens: u64,
    /// Latency objective.
    pub objective: Duration,
    /// When the requests begin and end.
    pub active: (Moment, Moment),
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Moment,
    /// Node at which it arrives.
    pub node: usize,
    /// The stream to which it belongs.
    pub stream: RequestStream,
    /// Time for which it holds a slot.
    pub slot_time: Duration,
}

/// Returns the relative number of requests that arrive at a node.
///
/// The load balancer sends some nodes seven times as many requests as others.
pub fn node_weight(node: usize) -> f64 {
    (1 + node % 7) as f64
}

/// Returns the total of the weights of the nodes up to a node.
pub fn weight_before(node: usize) -> f64 {
    (0..node).map(node_weight).sum()
}

fn draw_node(random: &mut StdRng) -> usize {
    let mut draw = random.random_range(0.0..weight_before(NODES));
    (0..NODES)
        .find(|node| {
            draw -= node_weight(*node);
            draw < 0.0
        })
        .unwrap_or(0)
}

/// Records the requests of several streams in order of arrival.
pub fn record_load(streams: &[RequestStream], seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for stream in streams {
        let (mut at, end) = stream.active;
        loop {
            at += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / stream.per_second);
            if at >= end {
                break;
            }
            let seconds = random.random_range(SLOT_SECONDS.0..SLOT_SECONDS.1);
            arrivals.push(Arrival {
                at,
                node: draw_node(&mut random),
                stream: *stream,
                slot_time: Duration::from_secs_f64(seconds),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
