//! Coordinates queues: takes the waiting requests of all nodes, and grants them slots.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::placement::{first_event_time, GroupLoad};
use briarswitch_core::shared_queue::GroupCapacity;
use briarswitch_kernel::BootClock;
use briarswitch_membership::RankedNode;
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::coordinated_queue::{CoordinatedQueue, QueueSummary};
use crate::queue_doc::{QueueReply, QueueUpdate};
use crate::queue_id::QueueId;
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;

/// Longest time for which a reply is held while there is no decision.
pub const REPLY_HOLD_TIME: Duration = Duration::from_millis(200);
/// Interval at which a queue with waiting requests is served if no message arrives; gossip may show free slots.
const SERVE_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest time between two rounds of a queue, so that the messages of many nodes share a round.
const MIN_SERVE_INTERVAL: Duration = Duration::from_millis(3);

/// This node does not coordinate the queue in its own view.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("this node does not coordinate the queue")]
pub struct NotCoordinator;

/// Coordinates the queues for which this node ranks first.
pub struct QueueCoordinator {
    shared: Arc<FleetShared>,
    queues: Mutex<IndexMap<QueueId, CoordinatedQueue>>,
}

impl QueueCoordinator {
    /// Creates a coordinator without queues.
    pub fn new(shared: Arc<FleetShared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            queues: Mutex::default(),
        })
    }

    /// Takes a node's waiting requests, and returns the reply as soon as there is a decision for that node.
    ///
    /// The reply is empty if there is none within 200 ms, or if a newer message of the node arrives.
    ///
    /// # Errors
    ///
    /// Returns [`NotCoordinator`] if another node coordinates the queue.
    pub async fn exchange(
        self: &Arc<Self>,
        update: QueueUpdate,
    ) -> Result<QueueReply, NotCoordinator> {
        if !self.coordinates(&update.id) {
            return Err(NotCoordinator);
        }
        let Some(mut held) = self.take(update) else {
            return Ok(QueueReply::default());
        };
        let decided = tokio::time::timeout(REPLY_HOLD_TIME, &mut held).await;
        let reply = match decided {
            Ok(reply) => reply,
            Err(_) => {
                // Decisions that come from now on are kept for the node's next message.
                held.close();
                return Ok(held.try_recv().unwrap_or_default());
            }
        };
        // A newer message of the node has replaced this one.
        Ok(reply.unwrap_or_default())
    }

    fn coordinates(&self, id: &QueueId) -> bool {
        let live = self.shared.live_view.read();
        self.shared.settings.load_control.shares_queue
            && live.coordinator_for(&id.rank_key()) == Some(RankedNode::Own)
    }

    fn take(
        self: &Arc<Self>,
        update: QueueUpdate,
    ) -> Option<tokio::sync::oneshot::Receiver<QueueReply>> {
        let id = update.id.clone();
        let mut queues = self.lock();
        let settings = &self.shared.settings;
        let forecasts = settings.load_control.forecasts;
        let queue = queues
            .entry(id.clone())
            .or_insert_with(|| CoordinatedQueue::new(settings.node.clone(), forecasts));
        let held = queue.update(update, BootClock::now());
        queue.wake().notify_one();
        if queue.is_waiting() && !queue.set_served(true) {
            tokio::spawn(serve_while_waiting(
                Arc::clone(self),
                id,
                Arc::clone(queue.wake()),
            ));
        }
        held
    }

    /// Serves a queue once; returns whether requests still wait there.
    fn serve(&self, id: &QueueId) -> bool {
        let now = BootClock::now();
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(id) else {
            return false;
        };
        queue.expire(now);
        let capacities = self.capacities(id, queue, now);
        let decided = queue.serve(capacities, now);
        let metrics = &self.shared.metrics;
        metrics.count_queue_grants(&id.service, &id.model, decided.grants);
        metrics.count_queue_refusals(&id.service, &id.model, decided.refusals);
        mark_served(queue)
    }

    /// Marks a queue as served while requests wait there; returns whether they do.
    fn refresh_served(&self, id: &QueueId) -> bool {
        let mut queues = self.lock();
        queues.get_mut(id).is_some_and(mark_served)
    }

    /// Returns the groups of a queue that take requests.
    fn capacities(
        &self,
        id: &QueueId,
        queue: &CoordinatedQueue,
        now: Moment,
    ) -> Vec<GroupCapacity> {
        let table = self.shared.routing_table.load();
        let config = self.shared.config.load();
        let services = config.as_ref().as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&id.service));
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return Vec::new();
        };
        let Some(model) = engine.models.get(&id.model) else {
            return Vec::new();
        };
        let groups = table.groups(&id.service, &id.model);
        let usable = groups
            .iter()
            .filter(|group| id.serves(group.gauge.key(), groups.len()) && is_usable(group, now));
        let capacities = usable.map(|group| {
            let key = group.gauge.key();
            let (remote, own) = (group.gauge.remote_requests(), group.gauge.local_requests());
            let known = queue.reported_requests(key, remote, own);
            let is_queueing = group.gauge.is_queueing(now);
            let active_requests = if is_queueing {
                known.max(engine.slots)
            } else {
                known
            };
            let load = GroupLoad {
                active_requests: queue.estimated(key).unwrap_or(known),
                ..GroupLoad::default()
            };
            GroupCapacity {
                group: key,
                slots: engine.slots,
                active_requests,
                first_event_time: first_event_time(engine, model, &load, 0),
            }
        });
        capacities.collect()
    }

    /// Returns the state of every queue, and drops those of which nothing is kept.
    pub fn summarise(&self, now: Moment) -> Vec<(QueueId, QueueSummary)> {
        let mut queues = self.lock();
        for queue in queues.values_mut() {
            queue.expire(now);
        }
        queues.retain(|_, queue| !queue.is_idle());
        let queues = queues.iter_mut();
        queues
            .map(|(id, queue)| (id.clone(), queue.take_summary(now)))
            .collect()
    }

    /// Returns the state of every queue for diagnostics.
    pub fn dump(&self) -> serde_json::Value {
        let now = BootClock::now();
        let queues = self.lock();
        let states = queues
            .iter()
            .map(|(id, queue)| (id.rank_key(), queue.dump(now)));
        serde_json::Value::Object(states.collect())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<QueueId, CoordinatedQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a queue as served while requests wait there; returns whether they do.
fn mark_served(queue: &mut CoordinatedQueue) -> bool {
    let is_waiting = queue.is_waiting();
    queue.set_served(is_waiting);
    is_waiting
}

/// Returns whether a group may get requests of any node.
fn is_usable(group: &RouteTarget, now: Moment) -> bool {
    !group.gauge.is_suspect(now) && !group.gauge.statements().is_leaving(now)
}

/// Serves a queue until no request waits there.
///
/// A panic while it does so must not leave the queue marked as served: no other task would serve it.
async fn serve_while_waiting(coordinator: Arc<QueueCoordinator>, id: QueueId, wake: Arc<Notify>) {
    let serve = || coordinator.serve(&id);
    while catch_unwind(AssertUnwindSafe(serve)).unwrap_or_else(|_| coordinator.refresh_served(&id))
    {
        tokio::time::sleep(MIN_SERVE_INTERVAL).await;
        // Without a message the queue is served all the same.
        let _ = tokio::time::timeout(SERVE_INTERVAL, wake.notified()).await;
    }
}
