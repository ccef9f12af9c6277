//! One round of a shared queue: grants of free slots, then refusals of requests without a chance.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::forecast::{refusal, SlotOutlook};
use crate::id::Moment;
use crate::queue_rates::QueueRates;
use crate::queue_shares::{OrganisationShares, STARVATION_INTERVAL};
use crate::queue_slots::{FreeSlots, SlotLedger};
use crate::queued_request::{GroupCapacity, GroupKey, QueuedRequest};
use crate::waiting::{RequestClass, WaitVerdict, WaitingRequest};

/// Group of each request that was granted a slot, by the request's index.
pub(crate) type RoundGrants = IndexMap<usize, GroupKey>;
/// Time until a slot can be expected for each refused request, by the request's index.
pub(crate) type RoundRefusals = Vec<(usize, Option<Duration>)>;

/// The requests and groups of one round, and what is known of earlier rounds.
pub(crate) struct QueueRound<'a> {
    pub(crate) requests: Vec<&'a QueuedRequest>,
    pub(crate) groups: &'a [GroupCapacity],
    pub(crate) ledger: &'a mut SlotLedger,
    pub(crate) shares: &'a mut OrganisationShares,
    pub(crate) rates: &'a QueueRates,
    pub(crate) now: Moment,
    /// Whether requests are refused if no slot can be expected for them in time.
    pub(crate) refuses: bool,
}

impl<'a> QueueRound<'a> {
    /// Grants free slots, and refuses requests for which none can be expected in time.
    pub(crate) fn run(mut self) -> (RoundGrants, RoundRefusals) {
        self.shares.record_waiting(&self.requests, self.now);
        let order = self.shares.order(&self.requests, self.now);
        let grants = self.grant(&order);
        let refusals = if self.refuses {
            self.refuse(&order, &grants)
        } else {
            RoundRefusals::new()
        };
        (grants, refusals)
    }

    fn grant(&mut self, order: &[usize]) -> RoundGrants {
        let mut grants = RoundGrants::new();
        let mut free = FreeSlots::new(self.groups, self.ledger);
        if free.is_empty() {
            return grants;
        }
        let starvation_times = self.shares.starvation_times(&self.requests);
        let mut starved = starvation_times
            .into_iter()
            .filter(|(_, time)| self.now > *time)
            .map(|(organisation, _)| organisation)
            .collect::<Vec<_>>()
            .into_iter();
        for index in order {
            if self.shares.is_starved_grant_due() {
                self.grant_starved(order, &mut starved, &mut free, &mut grants);
            }
            if free.is_empty() {
                break;
            }
            if let Some(group) = self.usable_group(*index, &free, &grants) {
                self.shares.record_grant(self.requests[*index], self.now);
                self.take_slot(*index, group, &mut free, &mut grants);
            }
        }
        grants
    }

    /// Grants a slot to the organisation that has waited longest, unless it has been served in this round.
    fn grant_starved(
        &mut self,
        order: &[usize],
        starved: &mut impl Iterator<Item = &'a str>,
        free: &mut FreeSlots,
        grants: &mut RoundGrants,
    ) {
        for organisation in starved {
            let is_of_organisation =
                |index: &usize| self.requests[*index].organisation == organisation;
            if grants.keys().any(is_of_organisation) {
                continue;
            }
            let mut candidates = order.iter().filter(|index| is_of_organisation(index));
            let first = candidates
                .find_map(|index| Some((*index, self.usable_group(*index, free, grants)?)));
            if let Some((index, group)) = first {
                self.shares
                    .record_starved_grant(self.requests[index], self.now);
                self.take_slot(index, group, free, grants);
                return;
            }
        }
    }

    /// Returns the group whose slot a request gets, if it still waits and can use one.
    ///
    /// A request that can use none of the free groups does not block those behind it.
    fn usable_group(
        &self,
        index: usize,
        free: &FreeSlots,
        grants: &RoundGrants,
    ) -> Option<GroupKey> {
        let queued = self.requests[index];
        let is_waiting = !grants.contains_key(&index) && self.is_kept(&queued.request);
        is_waiting.then(|| free.fastest(&queued.excluded))?
    }

    fn take_slot(
        &mut self,
        index: usize,
        group: GroupKey,
        free: &mut FreeSlots,
        grants: &mut RoundGrants,
    ) {
        self.ledger.record_grant(group, self.now);
        free.take(group);
        grants.insert(index, group);
    }

    fn is_kept(&self, request: &WaitingRequest) -> bool {
        request.verdict(self.now) == WaitVerdict::Wait
    }

    fn refuse(&self, order: &[usize], grants: &RoundGrants) -> RoundRefusals {
        let mut preceding_rates: IndexMap<RequestClass, f64> = IndexMap::new();
        let mut refusals = RoundRefusals::new();
        let remaining = order.iter().filter(|index| !grants.contains_key(*index));
        let starvation_times = self.shares.starvation_times(&self.requests);
        let mut organisations: IndexSet<&str> = IndexSet::new();
        let mut ahead = 0;
        for index in remaining {
            let queued = self.requests[*index];
            let class = queued.request.class(self.now);
            let preceding_rate = *preceding_rates
                .entry(class)
                .or_insert_with(|| self.rates.arrival_rate(self.now, |other| *other < class));
            let outlook = SlotOutlook {
                ahead,
                preceding_rate,
                // Whatever the request can use was granted to others.
                free_slots: 0,
                release_rate: self.release_rate(&queued.excluded),
            };
            // Each organisation keeps one request for the next grant to the longest wait, if that comes in time.
            let is_first = organisations.insert(&queued.organisation);
            let starved = is_first.then(|| starvation_times.get_full(queued.organisation.as_str()));
            let is_starved_in_time = starved.flatten().is_some_and(|(rank, _, time)| {
                self.is_starved_grant_in_time(&queued.request, &outlook, rank, *time)
            });
            match self.refusal_of(&queued.request, &outlook) {
                Some(_) if is_starved_in_time => ahead += 1,
                Some(available_in) => refusals.push((*index, available_in)),
                None => ahead += 1,
            }
        }
        refusals
    }

    /// Returns `None` if the request keeps waiting; otherwise the time until a slot can be expected, if that is known.
    fn refusal_of(
        &self,
        request: &WaitingRequest,
        outlook: &SlotOutlook,
    ) -> Option<Option<Duration>> {
        if !self.is_kept(request) {
            return Some(outlook.expected_wait());
        }
        refusal(request, outlook, self.now).map(|refusal| refusal.available_in)
    }

    /// Returns whether the starvation guard serves the organisation at `rank` (0 has waited longest) before its request is
    /// refused.
    fn is_starved_grant_in_time(
        &self,
        request: &WaitingRequest,
        outlook: &SlotOutlook,
        rank: usize,
        time: Moment,
    ) -> bool {
        let grants = (rank + 1) as f64 * f64::from(STARVATION_INTERVAL);
        let wait = Duration::try_from_secs_f64(grants / outlook.release_rate);
        wait.is_ok_and(|wait| time.max(self.now).saturating_add(wait) < request.refuse_at)
    }

    fn release_rate(&self, excluded: &[GroupKey]) -> f64 {
        let usable = self
            .groups
            .iter()
            .filter(|group| !excluded.contains(&group.group));
        usable
            .map(|group| self.rates.release_rate(group.group, self.now))
            .sum()
    }
}
