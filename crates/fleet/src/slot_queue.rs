//! The requests of a node that wait for a place at a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::waiting::{next_waiting, WaitVerdict, WaitingRequest};
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::gauge::GaugePlace;
use crate::table::RouteTarget;

/// Weight of the newest sample in the usual time to the first event.
const FIRST_EVENT_SMOOTHING: f64 = 0.1;

/// Names the targets that requests compete for: a service, and a model where it has several.
pub type QueueKey = (ServiceId, Option<ModelId>);
/// A place at a target.
pub type ReservedTarget = (Arc<RouteTarget>, GaugePlace);

/// What a waiting request needs of its target.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Targets it competes for.
    pub key: QueueKey,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Targets it has been sent to.
    pub tried: Vec<TargetId>,
    /// Whether it can not be on time any more.
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
}

/// Requests in order of who goes next.
#[derive(Default)]
pub struct SlotQueue {
    state: Mutex<QueueState>,
}

impl SlotQueue {
    /// Returns whether anybody waits for these targets.
    pub fn has_waiters(&self, key: &QueueKey) -> bool {
        let state = self.lock();
        state
            .waiters
            .get(key)
            .is_some_and(|waiters| !waiters.is_empty())
    }

    /// Notes the time from a place to the first event there.
    pub fn record_first_event(&self, key: &QueueKey, time: Duration) {
        let mut state = self.lock();
        let held = state.first_event_times.entry(key.clone()).or_insert(time);
        *held = held.mul_f64(1.0 - FIRST_EVENT_SMOOTHING) + time.mul_f64(FIRST_EVENT_SMOOTHING);
    }

    /// Returns the time that usually passes from a place to the first event there.
    pub fn usual_first_event_time(&self, key: &QueueKey) -> Duration {
        self.lock()
            .first_event_times
            .get(key)
            .copied()
            .unwrap_or_default()
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.lock().waiters.values().map(Vec::len).sum()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts a request in the queue; the receiver yields its place.
    pub fn push(
        &self,
        ask: SlotRequest,
        request: WaitingRequest,
    ) -> (u64, oneshot::Receiver<ReservedTarget>) {
        let (reply, place) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let key = ask.key.clone();
        state.waiters.entry(key).or_default().push(Waiter {
            ticket,
            slot_request: ask,
            request,
            reply,
        });
        (ticket, place)
    }

    /// Takes a request out that waits no more.
    pub fn cancel(&self, key: &QueueKey, ticket: u64) {
        let mut state = self.lock();
        if let Some(waiters) = state.waiters.get_mut(key) {
            waiters.retain(|waiter| waiter.ticket != ticket);
        }
    }

    /// Gives out places as long as `pick` finds one for whoever goes next.
    pub fn serve(&self, pick: impl Fn(&SlotRequest) -> Option<ReservedTarget>) {
        let now = BootClock::now();
        let mut state = self.lock();
        for waiters in state.waiters.values_mut() {
            waiters.retain(|waiter| !waiter.reply.is_closed());
            loop {
                let requests: Vec<WaitingRequest> =
                    waiters.iter().map(|waiter| waiter.request).collect();
                let Some(index) = next_waiting(&requests, now) else {
                    break;
                };
                waiters[index].slot_request.is_late = requests[index].is_late(now);
                let Some(placed) = pick(&waiters[index].slot_request) else {
                    break;
                };
                let waiter = waiters.remove(index);
                // A waiter that left in between gives its place back by dropping it.
                let _ = waiter.reply.send(placed);
            }
        }
        state.waiters.retain(|_, waiters| !waiters.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for a place until the request is to be refused.
///
/// `look` is called now and then, for places that come free without this node hearing of it.
pub async fn wait_for_slot(
    mut place: oneshot::Receiver<ReservedTarget>,
    request: WaitingRequest,
    interval: Duration,
    mut look: impl FnMut(),
) -> Option<ReservedTarget> {
    loop {
        match tokio::time::timeout(interval, &mut place).await {
            Ok(placed) => return placed.ok(),
            Err(_) => look(),
        }
        if request.verdict(BootClock::now()) == WaitVerdict::Refuse {
            // A place given in the last moment is not let go.
            return place.try_recv().ok();
        }
    }
}
