//! Queue of a node's requests that wait for a slot at a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::forecast::Refusal;
use briarswitch_core::id::*;
use briarswitch_core::residency::AllowedRegions;
use briarswitch_core::waiting::{next_waiting, WaitVerdict, WaitingRequest};
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::gauge::SlotGuard;
use crate::routing_table::RouteTarget;

/// Weight of the newest sample in the smoothed time to the first event.
const FIRST_EVENT_SMOOTHING: f64 = 0.1;

/// Identifies the targets for which requests compete: a service, and a model if the service runs models.
pub type QueueKey = (ServiceId, Option<ModelId>);
/// A target with the slot that is reserved there.
pub type ReservedTarget = (Arc<RouteTarget>, SlotGuard);

/// What a request requires of a target.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Targets for which it competes.
    pub key: QueueKey,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Targets to which it has already been sent.
    pub tried: Vec<TargetId>,
    /// Regions in which it may be processed.
    pub allowed_regions: AllowedRegions,
    /// Whether it can no longer meet its latency objective.
    pub is_late: bool,
}

struct Waiter {
    ticket: u64,
    slot_request: SlotRequest,
    request: WaitingRequest,
    reply: oneshot::Sender<ReservedTarget>,
}

#[derive(Default)]
struct QueueState {
    waiters: IndexMap<QueueKey, Vec<Waiter>>,
    first_event_times: IndexMap<QueueKey, Duration>,
    next_ticket: u64,
    /// Requests that were refused by forecast and have not been told yet, by ticket.
    refusals: IndexMap<u64, Refusal>,
}

/// Waiting requests, served in the order that [`next_waiting`] defines.
#[derive(Default)]
pub struct SlotQueue {
    state: Mutex<QueueState>,
}

impl SlotQueue {
    /// Returns the number of requests that wait for these targets.
    pub fn waiting(&self, key: &QueueKey) -> usize {
        self.lock().waiters.get(key).map_or(0, Vec::len)
    }

    /// Returns the requests that wait for these targets.
    pub fn requests(&self, key: &QueueKey) -> Vec<WaitingRequest> {
        let state = self.lock();
        let waiters = state.waiters.get(key).into_iter().flatten();
        waiters.map(|waiter| waiter.request).collect()
    }

    /// Returns and forgets why a request got no slot, if it was refused by forecast.
    pub fn take_refusal(&self, ticket: u64) -> Option<Refusal> {
        self.lock().refusals.swap_remove(&ticket)
    }

    /// Records the time from reserving a slot to the first event of a stream.
    pub fn record_first_event(&self, key: &QueueKey, time: Duration) {
        let mut state = self.lock();
        let smoothed = state.first_event_times.entry(key.clone()).or_insert(time);
        *smoothed =
            smoothed.mul_f64(1.0 - FIRST_EVENT_SMOOTHING) + time.mul_f64(FIRST_EVENT_SMOOTHING);
    }

    /// Returns the smoothed time from reserving a slot to the first event of a stream.
    pub fn usual_first_event_time(&self, key: &QueueKey) -> Duration {
        self.lock()
            .first_event_times
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.lock().waiters.values().map(Vec::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request to the queue; the receiver yields its reserved target.
    pub fn push(
        &self,
        slot_request: SlotRequest,
        request: WaitingRequest,
    ) -> (u64, oneshot::Receiver<ReservedTarget>) {
        let (reply, reserved) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let key = slot_request.key.clone();
        state.waiters.entry(key).or_default().push(Waiter {
            ticket,
            slot_request,
            request,
            reply,
        });
        (ticket, reserved)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&self, key: &QueueKey, ticket: u64) {
        let mut state = self.lock();
        if let Some(waiters) = state.waiters.get_mut(key) {
            waiters.retain(|waiter| waiter.ticket != ticket);
        }
        state.refusals.swap_remove(&ticket);
    }

    /// Reserves slots as long as `pick` finds one for the request that is next, and drops the requests that `refuse`
    /// returns by their index.
    pub fn serve(
        &self,
        pick: impl Fn(&SlotRequest) -> Option<ReservedTarget>,
        refuse: impl Fn(&QueueKey, &[WaitingRequest]) -> Vec<(usize, Refusal)>,
    ) {
        let now = BootClock::now();
        let mut state = self.lock();
        let QueueState {
            waiters, refusals, ..
        } = &mut *state;
        for (key, waiters) in waiters.iter_mut() {
            waiters.retain(|waiter| !waiter.reply.is_closed());
            loop {
                let requests: Vec<WaitingRequest> =
                    waiters.iter().map(|waiter| waiter.request).collect();
                let Some(index) = next_waiting(&requests, now) else {
                    break;
                };
                waiters[index].slot_request.is_late = requests[index].is_late(now);
                let Some(reserved) = pick(&waiters[index].slot_request) else {
                    break;
                };
                let waiter = waiters.remove(index);
                // If the waiter has left in the meantime, dropping the value releases the slot.
                let _ = waiter.reply.send(reserved);
            }
            let requests: Vec<WaitingRequest> =
                waiters.iter().map(|waiter| waiter.request).collect();
            for (index, refusal) in refuse(key, &requests) {
                refusals.insert(waiters[index].ticket, refusal);
            }
            waiters.retain(|waiter| !refusals.contains_key(&waiter.ticket));
        }
        state.waiters.retain(|_, waiters| !waiters.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for a slot until the request is to be refused.
///
/// `poll` is called once per `interval`, since slots may become free without a notification to this node.
pub async fn wait_for_slot(
    mut reserved: oneshot::Receiver<ReservedTarget>,
    request: WaitingRequest,
    interval: Duration,
    mut poll: impl FnMut(),
) -> Option<ReservedTarget> {
    loop {
        match tokio::time::timeout(interval, &mut reserved).await {
            Ok(reserved) => return reserved.ok(),
            Err(_) => poll(),
        }
        if request.verdict(BootClock::now()) == WaitVerdict::Refuse {
            // A slot that was reserved at the last moment is used.
            return reserved.try_recv().ok();
        }
    }
}
