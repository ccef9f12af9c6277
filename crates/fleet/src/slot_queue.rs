//! Queue of a node's requests that wait for a slot at a target.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::forecast::Refusal;
use briarswitch_core::id::*;
use briarswitch_core::residency::AllowedRegions;
use briarswitch_core::shared_queue::Ticket;
use briarswitch_core::waiting::{next_waiting, WaitVerdict, WaitingRequest};
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::gauge::SlotGuard;
use crate::micros::micros;
use crate::queue_client::QueueRoute;
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
    /// Organisation of its caller; empty if none.
    pub organisation: OrganisationId,
    /// Maximum number of tokens of the response; zero if the caller does not state it.
    pub max_tokens: u64,
}

/// How the wait for a slot ended.
#[derive(Debug)]
pub enum SlotReply {
    /// A slot is reserved.
    Reserved {
        /// The target and its slot.
        reserved: ReservedTarget,
        /// Node that granted the slot; empty if this node found it by itself.
        granted_by: NodeId,
    },
    /// No slot can be expected in time.
    Refused {
        /// Time until a slot can be expected, if known.
        available_in: Option<Duration>,
    },
}

/// What became of a granted slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantResult {
    /// The request has it.
    Used,
    /// The request no longer waits.
    Unclaimed,
    /// The request may not use it, and keeps waiting.
    Unusable,
}

struct Waiter {
    ticket: Ticket,
    slot_request: SlotRequest,
    request: WaitingRequest,
    reply: oneshot::Sender<SlotReply>,
}

#[derive(Default)]
struct QueueState {
    waiters: IndexMap<QueueKey, Vec<Waiter>>,
    first_event_times: IndexMap<QueueKey, Duration>,
    next_ticket: Ticket,
    /// Requests that were refused by forecast and have not been told yet, by ticket.
    refusals: IndexMap<Ticket, Refusal>,
}

/// Waiting requests, served in the order that [`next_waiting`] defines.
#[derive(Default)]
pub struct SlotQueue {
    state: Mutex<QueueState>,
    /// When a waiting request last checked for free slots, in microseconds.
    polled_at: AtomicU64,
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

    /// Returns whether a check for free slots is due at `now`, and counts it as done.
    ///
    /// One check serves all waiting requests. If each checked for itself, the work would grow with the square of
    /// their number, and a crowded node would have no time left for its callers.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::slot_queue::SlotQueue;
    ///
    /// let queue = SlotQueue::default();
    /// let (interval, now) = (Duration::from_millis(25), Duration::from_secs(1));
    /// assert!(queue.claim_poll(interval, now));
    /// assert!(!queue.claim_poll(interval, now));
    /// assert!(queue.claim_poll(interval, now + interval));
    /// ```
    pub fn claim_poll(&self, interval: Duration, now: Moment) -> bool {
        let polled_at = self.polled_at.load(Ordering::Relaxed);
        if micros(now) < polled_at + micros(interval) {
            return false;
        }
        let claimed = self.polled_at.compare_exchange(
            polled_at,
            micros(now),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        claimed.is_ok()
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
    ) -> (Ticket, oneshot::Receiver<SlotReply>) {
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
    pub fn cancel(&self, key: &QueueKey, ticket: Ticket) {
        let mut state = self.lock();
        if let Some(waiters) = state.waiters.get_mut(key) {
            waiters.retain(|waiter| waiter.ticket != ticket);
        }
        state.refusals.swap_remove(&ticket);
    }

    /// Calls `visit` with each request that waits for these targets.
    pub fn for_each(
        &self,
        key: &QueueKey,
        mut visit: impl FnMut(Ticket, &SlotRequest, &WaitingRequest),
    ) {
        let state = self.lock();
        for waiter in state.waiters.get(key).into_iter().flatten() {
            visit(waiter.ticket, &waiter.slot_request, &waiter.request);
        }
    }

    /// Gives a request the slot that another node granted, if `reserve` can reserve it.
    pub fn grant(
        &self,
        key: &QueueKey,
        ticket: Ticket,
        granted_by: &NodeId,
        reserve: impl FnOnce(&SlotRequest) -> Option<ReservedTarget>,
    ) -> GrantResult {
        let mut state = self.lock();
        let waiters = state.waiters.get_mut(key);
        let position = |waiters: &Vec<Waiter>| {
            let is_meant = |waiter: &Waiter| waiter.ticket == ticket && !waiter.reply.is_closed();
            waiters.iter().position(is_meant)
        };
        let Some((waiters, index)) =
            waiters.and_then(|waiters| position(waiters).map(|index| (waiters, index)))
        else {
            return GrantResult::Unclaimed;
        };
        let Some(reserved) = reserve(&waiters[index].slot_request) else {
            return GrantResult::Unusable;
        };
        let waiter = waiters.remove(index);
        // If the waiter has left in the meantime, dropping the value releases the slot.
        let _ = waiter.reply.send(SlotReply::Reserved {
            reserved,
            granted_by: granted_by.clone(),
        });
        GrantResult::Used
    }

    /// Refuses a request that still waits.
    pub fn refuse(&self, key: &QueueKey, ticket: Ticket, available_in: Option<Duration>) {
        let mut state = self.lock();
        let Some(waiters) = state.waiters.get_mut(key) else {
            return;
        };
        if let Some(index) = waiters.iter().position(|waiter| waiter.ticket == ticket) {
            // The waiter may have left in the meantime.
            let waiter = waiters.remove(index);
            let _ = waiter.reply.send(SlotReply::Refused { available_in });
        }
    }

    /// Reserves slots as long as `pick` finds one for the request that is next, and drops the requests that `refuse`
    /// returns by their index.
    ///
    /// Requests that wait in a queue of all nodes, as `route` says, are left out.
    pub fn serve(
        &self,
        route: impl Fn(&QueueKey) -> Option<QueueRoute>,
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
            let route = route(key);
            let is_local = |waiter: &Waiter| {
                let route = route.as_ref();
                route.is_none_or(|route| route.link(waiter.ticket, now).is_none())
            };
            loop {
                let (indices, requests) = requests_of(waiters, is_local);
                let Some(next) = next_waiting(&requests, now) else {
                    break;
                };
                let index = indices[next];
                waiters[index].slot_request.is_late = requests[next].is_late(now);
                let Some(reserved) = pick(&waiters[index].slot_request) else {
                    break;
                };
                let waiter = waiters.remove(index);
                // If the waiter has left in the meantime, dropping the value releases the slot.
                let _ = waiter.reply.send(SlotReply::Reserved {
                    reserved,
                    granted_by: NodeId::new(),
                });
            }
            let (indices, requests) = requests_of(waiters, is_local);
            for (index, refusal) in refuse(key, &requests) {
                refusals.insert(waiters[indices[index]].ticket, refusal);
            }
            waiters.retain(|waiter| !refusals.contains_key(&waiter.ticket));
        }
        state.waiters.retain(|_, waiters| !waiters.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the requests of the selected waiters, with their indices.
fn requests_of(
    waiters: &[Waiter],
    is_selected: impl Fn(&Waiter) -> bool,
) -> (Vec<usize>, Vec<WaitingRequest>) {
    let selected = waiters.iter().enumerate();
    let selected = selected.filter(|(_, waiter)| is_selected(waiter));
    selected
        .map(|(index, waiter)| (index, waiter.request))
        .unzip()
}

/// Waits for a slot until the request is to be refused.
///
/// `poll` is called once per `interval`, since slots may become free without a notification to this node.
pub async fn wait_for_slot(
    mut reply: oneshot::Receiver<SlotReply>,
    request: WaitingRequest,
    interval: Duration,
    mut poll: impl FnMut(),
) -> Option<SlotReply> {
    loop {
        match tokio::time::timeout(interval, &mut reply).await {
            Ok(reply) => return reply.ok(),
            Err(_) => poll(),
        }
        if request.verdict(BootClock::now()) == WaitVerdict::Refuse {
            // A slot that was reserved at the last moment is used.
            return reply.try_recv().ok();
        }
    }
}
