//! This node's requests for loads, and the permits that it holds.

use std::time::Duration;

use briarswitch_core::id::{Moment, ServiceId};
use briarswitch_core::load_ledger::{LoadLedger, LoadUrgency};
use briarswitch_core::load_permits::LoadPermits;

use crate::load_client::LoadFailure;
use crate::load_coordinator::grant;
use crate::load_doc::LoadRequest;
use crate::shared::FleetShared;

/// Minimum interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a response of the coordinator after which this node grants loads to itself.
///
/// A node that is partitioned from the coordinator has to repair its groups all the same. Nodes that are gone are
/// replaced as coordinators sooner.
const FALLBACK_DELAY: Duration = Duration::from_secs(2);

/// Time of consecutive failures.
#[derive(Clone, Copy, Debug)]
struct FailureSpan {
    first: Moment,
    last: Moment,
}

/// The loads that this node wants, and those that it may begin.
#[derive(Debug, Default)]
pub struct LoadRequests {
    permits: LoadPermits,
    wanted: Option<LoadRequest>,
    is_pending: bool,
    next_at: Moment,
    /// When the first and the last of the consecutive requests without a response failed.
    failing: Option<FailureSpan>,
    /// Loads that this node has granted to itself; `None` while the coordinator responds.
    own_ledger: Option<LoadLedger>,
}

impl LoadRequests {
    /// Returns the number of loads that may begin.
    pub fn available(&mut self, now: Moment) -> usize {
        self.permits.available(now)
    }

    /// Records that loads have begun.
    pub fn spend(&mut self, count: usize) {
        self.permits.spend(count);
    }

    /// Records that a plan needs more loads; the wanted numbers of one service add up until the next request.
    pub fn want(&mut self, service: &ServiceId, count: usize, urgency: LoadUrgency) {
        if count == 0 {
            return;
        }
        match &mut self.wanted {
            Some(wanted) if wanted.service == *service && wanted.urgency == urgency => {
                wanted.wanted += count;
            }
            Some(wanted) if wanted.urgency == LoadUrgency::Repair => {}
            _ => {
                self.wanted = Some(LoadRequest {
                    service: service.clone(),
                    wanted: count,
                    urgency,
                });
            }
        }
    }

    /// Returns the request to send now, if any.
    pub fn take_request(&mut self, now: Moment) -> Option<LoadRequest> {
        let wanted = self.wanted.take();
        if self.is_pending || now < self.next_at {
            return None;
        }
        let request = wanted?;
        self.is_pending = true;
        self.next_at = now + REQUEST_INTERVAL;
        Some(request)
    }

    /// Processes the response to a request that was sent at `sent_at`.
    pub fn handle_response(
        &mut self,
        request: &LoadRequest,
        response: Result<usize, LoadFailure>,
        sent_at: Moment,
        shared: &FleetShared,
        now: Moment,
    ) {
        self.is_pending = false;
        match response {
            Ok(granted) => {
                self.failing = None;
                self.own_ledger = None;
                self.permits.add(granted, sent_at);
            }
            Err(error) => self.fall_back(request, &error, shared, now),
        }
    }

    fn fall_back(
        &mut self,
        request: &LoadRequest,
        error: &LoadFailure,
        shared: &FleetShared,
        now: Moment,
    ) {
        // A failure long ago says nothing of the coordinator today.
        let recent = self.failing.filter(|span| now < span.last + FALLBACK_DELAY);
        let first = recent.map_or(now, |span| span.first);
        self.failing = Some(FailureSpan { first, last: now });
        if now < first + FALLBACK_DELAY {
            return;
        }
        let ledger = self.own_ledger.get_or_insert_with(|| {
            log::warn!(error:% = error; "load_coordinator_silent");
            LoadLedger::new(now)
        });
        let granted = grant(shared, ledger, request, now);
        self.permits.add(granted, now);
    }
}
