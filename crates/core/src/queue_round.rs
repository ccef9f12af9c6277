//! One round of a shared queue: grants of free slots, then refusals of requests without a chance.

use std::time::Duration;

use indexmap::IndexMap;

use crate::forecast::{refusal, SlotOutlook};
use crate::id::{Moment, OrganisationId};
use crate::queue_order::{service_class, ServiceClass};
use crate::queue_rates::QueueRates;
use crate::queue_shares::OrganisationShares;
use crate::queue_slots::{FreeSlots, SlotLedger};
use crate::shared_queue::{GroupCapacity, GroupKey, QueuedRequest};
use crate::waiting::{WaitVerdict, WaitingRequest};

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
}

impl QueueRound<'_> {
    /// Grants free slots, and refuses requests for which none can be expected in time.
    pub(crate) fn run(mut self) -> (RoundGrants, RoundRefusals) {
        self.shares.record_waiting(&self.requests, self.now);
        let order = self.shares.order(&self.requests, self.now);
        let grants = self.grant(&order);
        let refusals = self.refuse(&order, &grants);
        (grants, refusals)
    }

    fn grant(&mut self, order: &[usize]) -> RoundGrants {
        let mut grants = RoundGrants::new();
        let mut free = FreeSlots::new(self.groups, self.ledger);
        if free.is_empty() {
            return grants;
        }
        let starved = self.shares.starved(&self.requests, self.now);
        let mut starved = starved.into_iter();
        for index in order {
            if self.shares.is_floor_due() {
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
        starved: &mut impl Iterator<Item = OrganisationId>,
        free: &mut FreeSlots,
        grants: &mut RoundGrants,
    ) {
        for organisation in starved {
            let is_served = |index: &usize| self.requests[*index].organisation == organisation;
            if grants.keys().any(is_served) {
                continue;
            }
            let usable = order.iter().filter(|index| is_served(index));
            let first = usable
                .filter_map(|index| Some((*index, self.usable_group(*index, free, grants)?)))
                .next();
            if let Some((index, group)) = first {
                self.shares
                    .record_floor_grant(self.requests[index], self.now);
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
        let mut preceding_rates: IndexMap<ServiceClass, PrecedingRates> = IndexMap::new();
        let mut refusals = RoundRefusals::new();
        let remaining = order.iter().filter(|index| !grants.contains_key(*index));
        let mut ahead = 0;
        for index in remaining {
            let queued = self.requests[*index];
            let class = service_class(&queued.request, self.now);
            let preceding = preceding_rates
                .entry(class)
                .or_insert_with(|| self.preceding_rates(class));
            let outlook = SlotOutlook {
                ahead,
                preceding_rate: preceding.all,
                // Whatever the request can use was granted to others.
                free_slots: 0,
                release_rate: self.release_rate(&queued.excluded),
            };
            match self.verdict(&queued.request, &outlook, preceding.urgent) {
                Some(available_in) => refusals.push((*index, available_in)),
                None => ahead += 1,
            }
        }
        refusals
    }

    /// Returns when a slot can be expected, if the request is to be refused now.
    fn verdict(
        &self,
        request: &WaitingRequest,
        outlook: &SlotOutlook,
        urgent_rate: f64,
    ) -> Option<Option<Duration>> {
        if !self.is_kept(request) {
            return Some(outlook.expected_wait());
        }
        // The newest request of a class is served first, so that each one has a chance while its class has slots.
        let has_slots = outlook.release_rate > urgent_rate;
        if !request.is_late(self.now) && has_slots {
            return None;
        }
        refusal(request, outlook, self.now).map(|refusal| refusal.available_in)
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

    /// Returns the arrival rates of requests that go before those of a class.
    ///
    /// Of one class, the newest goes first while it is on time, and the oldest once it is late.
    fn preceding_rates(&self, class: ServiceClass) -> PrecedingRates {
        let (is_new, is_late, _) = class;
        let urgent = self.rates.arrival_rate(self.now, |other| *other < class);
        let is_newest_first = is_new && !is_late;
        let same = self.rates.arrival_rate(self.now, |other| *other == class);
        PrecedingRates {
            urgent,
            all: urgent + if is_newest_first { same } else { 0.0 },
        }
    }
}

/// Requests per second that go before those of a class.
struct PrecedingRates {
    /// Of more urgent classes.
    urgent: f64,
    /// Including those of the same class.
    all: f64,
}
