//! This node's exchange with the coordinator of one queue.

use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, NodeRequests, Ticket};
use briarswitch_kernel::BootClock;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::micros::micros;
use crate::queue_client::{QueueClient, QueueFailure};
use crate::queue_doc::{QueueReply, QueueUpdate};
use crate::queue_id::QueueId;
use crate::slot_queue::{GrantResult, QueueKey};
use crate::target_selector::TargetSelector;

/// Messages of a queue that may await their replies at the same time.
const MAX_IN_FLIGHT: usize = 2;
/// Shortest time between two messages of a queue.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a group is excluded from this node's requests after one of them could not use a grant there.
const UNUSABLE_TIME: Duration = Duration::from_millis(500);

/// What the next message reports besides the waiting requests.
#[derive(Default)]
struct PendingReport {
    releases: IndexMap<GroupKey, u32>,
    returned: Vec<(Ticket, GroupKey)>,
    unusable: IndexMap<GroupKey, Moment>,
}

/// A queue as one of its nodes sees it.
pub struct QueueLink {
    id: QueueId,
    is_running: AtomicBool,
    is_changed: AtomicBool,
    wake: Notify,
    fallback_until: AtomicU64,
    report: Mutex<PendingReport>,
}

/// Reply to a message, and the node that sent it.
type SentResult = Result<(NodeId, QueueReply), QueueFailure>;

impl QueueLink {
    /// Creates the link to a queue in which nothing waits.
    pub fn new(id: QueueId) -> Arc<Self> {
        Arc::new(Self {
            id,
            is_running: AtomicBool::new(false),
            is_changed: AtomicBool::new(false),
            wake: Notify::new(),
            fallback_until: AtomicU64::new(0),
            report: Mutex::default(),
        })
    }

    /// Returns the queue.
    pub fn id(&self) -> &QueueId {
        &self.id
    }

    /// Returns whether groups are selected locally because the last exchange with the coordinator failed.
    pub fn is_in_fallback(&self, now: Moment) -> bool {
        micros(now) < self.fallback_until.load(Ordering::Relaxed)
    }

    /// Sends a message soon, since a request has begun to wait or a slot has become free.
    pub fn notify(&self) {
        self.is_changed.store(true, Ordering::Release);
        self.wake.notify_one();
    }

    /// Reports a free slot with the next message.
    pub fn release(&self, group: GroupKey) {
        *self.lock().releases.entry(group).or_insert(0) += 1;
        self.notify();
    }

    /// Returns whether the task runs.
    pub fn is_running(&self) -> bool {
        self.is_running.load(Ordering::Acquire)
    }

    /// Marks the task as running; returns whether it did not run before.
    pub fn start(&self) -> bool {
        !self.is_running.swap(true, Ordering::AcqRel)
    }

    /// Exchanges messages until no request of this node waits here and nothing is to be reported.
    pub async fn run(
        self: Arc<Self>,
        client: Arc<QueueClient>,
        selector: Weak<TargetSelector>,
        key: QueueKey,
    ) {
        loop {
            let exchange = AssertUnwindSafe(self.exchange(&client, &selector, &key));
            let ended = exchange.catch_unwind().await;
            // After a panic the queue is left as after a coordinator that doesn't answer.
            let ended = ended.unwrap_or(Err(QueueFailure::NoResponse));
            self.is_running.swap(false, Ordering::AcqRel);
            if let Err(failure) = ended {
                self.fall_back(&client, failure);
            }
            let Some(selector) = selector.upgrade() else {
                return;
            };
            // Waiting requests are served by local selection unless the queue can be used.
            selector.serve_queue();
            let is_done = ended.is_err() || !self.is_changed.load(Ordering::Acquire);
            if is_done || !self.start() {
                return;
            }
        }
    }

    /// Exchanges messages until there is nothing to tell; replies that are still awaited then are dropped.
    async fn exchange(
        &self,
        client: &QueueClient,
        selector: &Weak<TargetSelector>,
        key: &QueueKey,
    ) -> Result<(), QueueFailure> {
        let mut in_flight = FuturesUnordered::new();
        let mut sent_at: Option<Moment> = None;
        self.is_changed.store(true, Ordering::Release);
        loop {
            let is_changed = self.is_changed.load(Ordering::Acquire);
            let now = BootClock::now();
            let send_at = sent_at.map_or(now, |at| at + MIN_SEND_INTERVAL);
            let may_send = is_changed && in_flight.len() < MAX_IN_FLIGHT;
            if may_send && now >= send_at {
                self.is_changed.store(false, Ordering::Release);
                let Some(update) = self.update(client, selector, key, now) else {
                    if in_flight.is_empty() {
                        return Ok(());
                    }
                    continue;
                };
                sent_at = Some(now);
                in_flight.push(client.send(update));
            }
            let delay = send_at.saturating_sub(now);
            tokio::select! {
                Some(sent) = in_flight.next() => {
                    self.apply(sent, selector, key)?;
                    if in_flight.is_empty() {
                        self.is_changed.store(true, Ordering::Release);
                    }
                }
                () = self.wake.notified() => {}
                () = tokio::time::sleep(delay), if may_send && !delay.is_zero() => {}
            }
        }
    }

    /// Returns the next message; `None` if there is nothing to tell, or during local selection.
    fn update(
        &self,
        client: &QueueClient,
        selector: &Weak<TargetSelector>,
        key: &QueueKey,
        now: Moment,
    ) -> Option<QueueUpdate> {
        let selector = selector.upgrade()?;
        let Some(route) = client.route(key, now) else {
            *self.lock() = PendingReport::default();
            return None;
        };
        let mut report = self.lock();
        let releases = std::mem::take(&mut report.releases);
        let returned = std::mem::take(&mut report.returned);
        report.unusable.retain(|_, until| now < *until);
        let unusable: Vec<GroupKey> = report.unusable.keys().copied().collect();
        drop(report);
        let is_listed = |ticket| route.holds(self, ticket);
        let requests = selector.queued_requests(key, &self.id, is_listed, &unusable, now);
        if requests.is_empty() && releases.is_empty() && returned.is_empty() {
            return None;
        }
        let shared = client.shared();
        let incarnation = shared.membership().own().incarnation;
        Some(QueueUpdate {
            id: self.id.clone(),
            requests: NodeRequests {
                node: shared.settings.node.clone(),
                incarnation,
                sequence: client.next_sequence(),
                requests,
            },
            releases,
            returned,
        })
    }

    /// Passes the decisions of a reply on to the waiting requests.
    fn apply(
        &self,
        sent: SentResult,
        selector: &Weak<TargetSelector>,
        key: &QueueKey,
    ) -> Result<(), QueueFailure> {
        let (coordinator, reply) = sent?;
        let Some(selector) = selector.upgrade() else {
            return Ok(());
        };
        let now = BootClock::now();
        for (ticket, group) in reply.grants {
            let result = selector.use_grant(key, ticket, group, &coordinator);
            if result == GrantResult::Used {
                continue;
            }
            let mut report = self.lock();
            report.returned.push((ticket, group));
            if result == GrantResult::Unusable {
                report.unusable.insert(group, now + UNUSABLE_TIME);
            }
            drop(report);
            self.notify();
        }
        for (ticket, available_in) in reply.refusals {
            selector.refuse(key, ticket, available_in);
        }
        Ok(())
    }

    /// Falls back to local selection for a while.
    fn fall_back(&self, client: &QueueClient, failure: QueueFailure) {
        let duration = failure.fallback_time();
        let until = BootClock::now() + duration;
        self.fallback_until.store(micros(until), Ordering::Relaxed);
        *self.lock() = PendingReport::default();
        client.shared().metrics.count_queue_fallback(failure.name());
        log::warn!(
            service = self.id.service.as_str(),
            model = self.id.model.as_str(),
            shard = self.id.shard.map_or(-1, i64::from),
            reason = failure.name(),
            duration_ms = duration.as_millis() as u64;
            "queue_fallback"
        );
    }

    fn lock(&self) -> MutexGuard<'_, PendingReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
