//! Shares of the organisations in the grants of a shared queue.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{Moment, OrganisationId};
use crate::queue_order::{service_order, weight_of, ClassClocks, OrganisationWeights};
use crate::queued_request::QueuedRequest;
use crate::waiting::RequestClass;

/// Starvation guard: of this many grants in a row, one goes to the starved organisation that has waited longest, if
/// there is one.
pub(crate) const STARVATION_INTERVAL: u32 = 16;
/// Time for which the wait of an organisation without waiting requests is remembered; its callers may retry until then.
const WAIT_TTL: Duration = Duration::from_secs(2);

/// How long an organisation has waited for a slot.
#[derive(Clone, Debug, PartialEq)]
struct OrganisationWait {
    /// Its last grant, or the arrival of its first request since it was idle.
    since: Moment,
    /// When it last had a waiting request.
    seen_at: Moment,
}

/// Clocks, weights and waits of the organisations.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OrganisationShares {
    clocks: ClassClocks,
    weights: OrganisationWeights,
    waits: IndexMap<OrganisationId, OrganisationWait>,
    grants_since_starved: u32,
}

impl OrganisationShares {
    /// Replaces the weights.
    pub(crate) fn set_weights(&mut self, weights: OrganisationWeights) {
        self.weights = weights;
    }

    /// Drops what no longer makes a difference.
    pub(crate) fn prune(&mut self, now: Moment) {
        self.waits.retain(|_, wait| now < wait.seen_at + WAIT_TTL);
        self.clocks.values_mut().for_each(|clock| clock.prune());
    }

    /// Returns the indices of requests in the order in which they are to be served.
    pub(crate) fn order(&self, requests: &[&QueuedRequest], now: Moment) -> Vec<usize> {
        service_order(requests, &self.clocks, &self.weights, now)
    }

    /// Records which organisations have waiting requests.
    pub(crate) fn record_waiting(&mut self, requests: &[&QueuedRequest], now: Moment) {
        let mut first_arrivals: IndexMap<&str, Moment> = IndexMap::new();
        for queued in requests {
            let arrived = queued.request.arrived;
            let first = first_arrivals
                .entry(&queued.organisation)
                .or_insert(arrived);
            *first = arrived.min(*first);
        }
        for (organisation, since) in first_arrivals {
            let seen_at = now;
            match self.waits.get_mut(organisation) {
                Some(wait) => wait.seen_at = seen_at,
                None => {
                    let wait = OrganisationWait { since, seen_at };
                    self.waits.insert(organisation.to_owned(), wait);
                }
            }
        }
    }

    /// Returns when each organisation counts as starved: once it has waited for longer than any of its requests may wait
    /// and still be on time. The longest wait comes first.
    pub(crate) fn starvation_times<'a>(
        &self,
        requests: &[&'a QueuedRequest],
    ) -> IndexMap<&'a str, Moment> {
        let mut slacks: IndexMap<&str, Duration> = IndexMap::new();
        for queued in requests {
            let request = &queued.request;
            let slack = request.on_time_until.saturating_sub(request.arrived);
            let longest = slacks.entry(&queued.organisation).or_default();
            *longest = slack.max(*longest);
        }
        let waits = slacks.into_iter().filter_map(|(organisation, slack)| {
            let since = self.waits.get(organisation)?.since;
            Some((since, organisation, since + slack))
        });
        let mut waits: Vec<(Moment, &str, Moment)> = waits.collect();
        waits.sort_unstable();
        let times = waits.into_iter();
        times.map(|(_, name, time)| (name, time)).collect()
    }

    /// Returns whether the next grant goes to a starved organisation, if there is one.
    pub(crate) fn is_starved_grant_due(&self) -> bool {
        self.grants_since_starved + 1 >= STARVATION_INTERVAL
    }

    /// Records a grant to the request whose turn it is.
    pub(crate) fn record_grant(&mut self, queued: &QueuedRequest, now: Moment) {
        let class = queued.request.class(now);
        let start = self.charge(class, queued, now);
        self.clocks.entry(class).or_default().advance(start);
        self.grants_since_starved = self.grants_since_starved.saturating_add(1);
    }

    /// Records a grant to a starved organisation.
    ///
    /// The clock is not advanced, since the organisations with lower tags have not been served.
    pub(crate) fn record_starved_grant(&mut self, queued: &QueuedRequest, now: Moment) {
        self.charge(queued.request.class(now), queued, now);
        self.grants_since_starved = 0;
    }

    fn charge(&mut self, class: RequestClass, queued: &QueuedRequest, now: Moment) -> u64 {
        if let Some(wait) = self.waits.get_mut(&queued.organisation) {
            wait.since = now;
        }
        let weight = weight_of(&self.weights, &queued.organisation);
        let clock = self.clocks.entry(class).or_default();
        clock.charge(&queued.organisation, weight, queued.tokens)
    }
}
