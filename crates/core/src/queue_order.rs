//! Order in which the requests of a shared queue are served in one round.
//!
//! Classes follow each other; within one, organisations take turns by their clocks, and each organisation's requests
//! keep the order of [`sort_key`](crate::waiting::WaitingRequest::sort_key).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use indexmap::IndexMap;

use crate::fair::{virtual_cost, OrganisationClock, VirtualTag};
use crate::id::{Moment, OrganisationId};
use crate::queued_request::QueuedRequest;
use crate::waiting::RequestClass;

/// Clocks of the organisations by class.
pub(crate) type ClassClocks = IndexMap<RequestClass, OrganisationClock>;
/// Weights of the organisations that do not have the usual one.
pub(crate) type OrganisationWeights = IndexMap<OrganisationId, u32>;
/// Order among the requests of one class and organisation.
type AgeKey = i128;

/// Weight of an organisation for which none is configured.
const DEFAULT_WEIGHT: u32 = 1;

/// Returns the weight of an organisation.
pub(crate) fn weight_of(weights: &OrganisationWeights, organisation: &str) -> u32 {
    weights.get(organisation).copied().unwrap_or(DEFAULT_WEIGHT)
}

/// Requests of one organisation in one class; the next to serve is the last.
type Backlog = Vec<(AgeKey, usize)>;

/// Returns the indices of requests in the order in which they are to be served.
///
/// The clocks are those at the beginning of the round; each request is assumed to be served in its turn.
pub(crate) fn service_order(
    requests: &[&QueuedRequest],
    clocks: &ClassClocks,
    weights: &OrganisationWeights,
    now: Moment,
) -> Vec<usize> {
    let mut classes: BTreeMap<RequestClass, IndexMap<&str, Backlog>> = BTreeMap::new();
    for (index, queued) in requests.iter().enumerate() {
        let (is_new, is_late, priority, age_key) = queued.request.sort_key(now);
        let class = classes.entry((is_new, is_late, priority)).or_default();
        let backlog = class.entry(queued.organisation.as_str()).or_default();
        backlog.push((age_key, index));
    }
    let mut order = Vec::with_capacity(requests.len());
    for (class, backlogs) in classes {
        let clock = clocks.get(&class);
        merge_backlogs(backlogs, clock, weights, requests, &mut order);
    }
    order
}

/// Appends the requests of one class, which its organisations contribute in turns.
fn merge_backlogs(
    mut backlogs: IndexMap<&str, Backlog>,
    clock: Option<&OrganisationClock>,
    weights: &OrganisationWeights,
    requests: &[&QueuedRequest],
    order: &mut Vec<usize>,
) {
    let mut turns: BinaryHeap<Reverse<(VirtualTag, AgeKey, usize)>> = BinaryHeap::new();
    for (position, (organisation, backlog)) in backlogs.iter_mut().enumerate() {
        backlog.sort_unstable_by(|left, right| right.cmp(left));
        let start = clock.map_or(0, |clock| clock.start_tag(organisation));
        if let Some((age_key, _)) = backlog.last() {
            turns.push(Reverse((start, *age_key, position)));
        }
    }
    while let Some(Reverse((start, _, position))) = turns.pop() {
        let Some((organisation, backlog)) = backlogs.get_index_mut(position) else {
            continue;
        };
        let Some((_, index)) = backlog.pop() else {
            continue;
        };
        order.push(index);
        let cost = virtual_cost(weight_of(weights, organisation), requests[index].tokens);
        if let Some((age_key, _)) = backlog.last() {
            turns.push(Reverse((start.saturating_add(cost), *age_key, position)));
        }
    }
}
