//! Lets this node's waiting requests use the queues that all nodes share, while the groups of a model are contended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, Ticket};
use briarswitch_http::{decode_msgpack, encode_msgpack, ApiClient, CallError, Codec};
use briarswitch_kernel::BootClock;
use briarswitch_membership::RankedNode;
use http::{Method, StatusCode};
use indexmap::IndexMap;

use crate::costs::CostKind;
use crate::gauge::SlotListener;
use crate::queue_coordinator::{QueueCoordinator, REPLY_HOLD_TIME};
use crate::queue_doc::{QueueReply, QueueReplyDoc, QueueUpdate, QueueUpdateDoc, QUEUE_PATH};
use crate::queue_id::{shard_count, shard_of, QueueId};
use crate::queue_link::QueueLink;
use crate::queue_mode::QueueMode;
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;
use crate::slot_queue::QueueKey;
use crate::target_selector::TargetSelector;

/// Interval at which the utilization of a model's groups is determined while requests for it arrive or wait.
const MODE_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out of a message: the time for which the coordinator holds its reply, and the way there and back.
const RESPONSE_TIMEOUT: Duration = REPLY_HOLD_TIME.saturating_add(Duration::from_millis(150));
/// Time for which this node selects groups on its own (local selection) after the coordinator did not respond.
///
/// After that the ranking of nodes has usually changed.
const FALLBACK_TIME: Duration = Duration::from_secs(1);
/// Time of local selection after a node responded that it does not coordinate the queue; the nodes' views soon agree.
const MISDIRECTED_FALLBACK_TIME: Duration = Duration::from_millis(100);

/// Why a queue cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueFailure {
    /// No node coordinates the queue, or the node asked does not in its own view.
    NotCoordinator,
    /// No response in time, or the connection failed.
    NoResponse,
    /// The coordinator responded with an error, or with something that cannot be decoded.
    BadResponse,
}

impl QueueFailure {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotCoordinator => "not_coordinator",
            Self::NoResponse => "no_response",
            Self::BadResponse => "bad_response",
        }
    }

    /// Returns the time of local selection after it.
    ///
    /// ```
    /// use briarswitch_fleet::queue_client::QueueFailure;
    ///
    /// assert!(QueueFailure::NotCoordinator.fallback_time() < QueueFailure::NoResponse.fallback_time());
    /// ```
    pub fn fallback_time(self) -> Duration {
        match self {
            Self::NotCoordinator => MISDIRECTED_FALLBACK_TIME,
            Self::NoResponse | Self::BadResponse => FALLBACK_TIME,
        }
    }
}

impl From<CallError> for QueueFailure {
    fn from(error: CallError) -> Self {
        let misdirected = StatusCode::MISDIRECTED_REQUEST.as_u16();
        match error {
            CallError::Status { status, .. } if status == misdirected => Self::NotCoordinator,
            CallError::NoResponse(_) => Self::NoResponse,
            CallError::Status { .. } | CallError::InvalidBody(_) => Self::BadResponse,
        }
    }
}

/// The queues that requests for one model use at present.
#[derive(Clone)]
pub struct QueueRoute {
    links: Arc<Vec<Arc<QueueLink>>>,
}

impl QueueRoute {
    /// Returns the queue in which a request waits; `None` during local selection, while that queue cannot be used.
    pub fn link(&self, ticket: Ticket, now: Moment) -> Option<&Arc<QueueLink>> {
        let link = self.link_of_ticket(ticket)?;
        (!link.is_in_fallback(now)).then_some(link)
    }

    fn link_of_ticket(&self, ticket: Ticket) -> Option<&Arc<QueueLink>> {
        let index = ticket % self.links.len().max(1) as u64;
        self.links.get(index as usize)
    }

    fn link_of_group(&self, group: GroupKey) -> Option<&Arc<QueueLink>> {
        let index = shard_of(group, self.links.len() as u32);
        self.links.get(index as usize)
    }

    /// Returns whether a request waits in a queue.
    pub fn holds(&self, link: &QueueLink, ticket: Ticket) -> bool {
        let held = self.link_of_ticket(ticket);
        held.is_some_and(|held| held.id() == link.id())
    }
}

/// What this node knows of the queues for one model.
struct ModelQueues {
    mode: QueueMode,
    checked_at: Moment,
    links: Arc<Vec<Arc<QueueLink>>>,
}

/// Sends this node's waiting requests to the coordinators of their queues.
pub struct QueueClient {
    shared: Arc<FleetShared>,
    coordinator: Arc<QueueCoordinator>,
    selector: Weak<TargetSelector>,
    api: ApiClient,
    models: Mutex<IndexMap<QueueKey, ModelQueues>>,
    next_sequence: AtomicU64,
}

impl QueueClient {
    /// Creates a client; `coordinator` is that of this node, and `selector` reserves granted slots.
    pub fn new(
        shared: Arc<FleetShared>,
        coordinator: Arc<QueueCoordinator>,
        selector: Weak<TargetSelector>,
    ) -> Arc<Self> {
        Arc::new(Self {
            shared,
            coordinator,
            selector,
            api: ApiClient::new(Codec::MessagePack, None),
            models: Mutex::default(),
            next_sequence: AtomicU64::new(1),
        })
    }

    /// Returns the queues for a model; `None` while its groups are selected locally.
    pub fn route(&self, key: &QueueKey, now: Moment) -> Option<QueueRoute> {
        if !self.shared.settings.load_control.shares_queue || key.1.is_none() {
            return None;
        }
        if self.shared.live_view.read().live_nodes() < 2 || self.shared.reach.is_partitioned() {
            return None;
        }
        let mut models = self.lock();
        if !models.contains_key(key) {
            // Callers may name any model.
            let table = self.shared.routing_table.read();
            if table.groups(&key.0, key.1.as_ref()?).is_empty() {
                return None;
            }
            let queues = ModelQueues {
                mode: QueueMode::default(),
                checked_at: Moment::ZERO,
                links: Arc::default(),
            };
            models.insert(key.clone(), queues);
        }
        let queues = models.get_mut(key)?;
        if now >= queues.checked_at + MODE_INTERVAL {
            self.update(key, queues, now);
        }
        queues.mode.is_contended().then(|| QueueRoute {
            links: Arc::clone(&queues.links),
        })
    }

    /// Determines the mode and the queues of a model.
    fn update(&self, key: &QueueKey, queues: &mut ModelQueues, now: Moment) {
        let (service, Some(model)) = key else {
            return;
        };
        queues.checked_at = now;
        let table = self.shared.routing_table.load();
        let groups = table.groups(service, model);
        let utilization = self.utilization(service, groups, now);
        if queues.mode.update(utilization) {
            log::info!(
                service = service.as_str(),
                model = model.as_str(),
                contended = queues.mode.is_contended(),
                utilization_permille = (utilization * 1000.0) as u64;
                "queue_mode"
            );
        }
        // The queues of a model differ only by their number.
        if queues.links.len() != shard_count(groups.len()) as usize {
            let ids = QueueId::of_model(service, model, groups.len());
            queues.links = Arc::new(ids.map(QueueLink::new).collect());
        }
    }

    /// Returns the share of the groups' slots that is known to be in use.
    fn utilization(&self, service: &str, groups: &[Arc<RouteTarget>], now: Moment) -> f64 {
        let config = self.shared.config.load();
        let services = config.as_ref().as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let each = engine.map_or(0, |engine| engine.slots);
        let usable = groups.iter().filter(|group| !group.gauge.is_suspect(now));
        let (used, slots) = usable.fold((0, 0), |(used, slots), group| {
            (
                used + group.gauge.estimated_load(now).min(each),
                slots + each,
            )
        });
        f64::from(used) / f64::from(slots.max(1))
    }

    /// Records that a slot has become free, if its model's groups are contended.
    pub fn release(self: &Arc<Self>, key: &QueueKey, group: GroupKey) {
        let now = BootClock::now();
        let Some(route) = self.route(key, now) else {
            return;
        };
        if let Some(link) = route.link_of_group(group) {
            if !link.is_in_fallback(now) {
                link.release(group);
                self.run(link, key);
            }
        }
    }

    /// Starts the task of a queue unless it runs.
    pub fn run(self: &Arc<Self>, link: &Arc<QueueLink>, key: &QueueKey) {
        // Slots are also given back while the runtime shuts down.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if link.start() {
            let (client, link) = (Arc::clone(self), Arc::clone(link));
            let selector = self.selector.clone();
            runtime.spawn(link.run(client, selector, key.clone()));
        }
    }

    /// Starts the tasks of the queues that can be used.
    pub fn run_all(self: &Arc<Self>, route: &QueueRoute, key: &QueueKey, now: Moment) {
        for link in route.links.iter() {
            if !link.is_in_fallback(now) && !link.is_running() {
                self.run(link, key);
            }
        }
    }

    /// Returns a number greater than those of all earlier messages.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the state of the node.
    pub fn shared(&self) -> &FleetShared {
        &self.shared
    }

    /// Sends a message to the coordinator of its queue; returns that node and its reply.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFailure`] if there is no coordinator, or none that responds.
    pub async fn send(&self, update: QueueUpdate) -> Result<(NodeId, QueueReply), QueueFailure> {
        let coordinator = {
            let live = self.shared.live_view.read();
            live.coordinator_for(&update.id.rank_key())
        };
        match coordinator {
            None => Err(QueueFailure::NotCoordinator),
            Some(RankedNode::Own) => {
                let reply = self.coordinator.exchange(update).await;
                let reply = reply.map_err(|_| QueueFailure::NotCoordinator)?;
                Ok((self.shared.settings.node.clone(), reply))
            }
            Some(RankedNode::Peer(entry)) => {
                let reply = self.send_to(&entry.address, update).await?;
                Ok((entry.node.clone(), reply))
            }
        }
    }

    async fn send_to(&self, address: &str, update: QueueUpdate) -> Result<QueueReply, CallError> {
        let doc = QueueUpdateDoc::from((update, BootClock::now()));
        let body = encode_msgpack(&doc);
        let body = body.map_err(|error| CallError::InvalidBody(error.to_string()))?;
        let url = format!("http://{address}{QUEUE_PATH}");
        let size = body.len();
        let sent = self
            .api
            .call_raw(Method::POST, &url, body, RESPONSE_TIMEOUT);
        let response = sent.await?;
        let costs = &self.shared.costs;
        costs.count_bytes(CostKind::QueueTold, size + response.len());
        let doc = decode_msgpack::<QueueReplyDoc>(&response);
        let doc = doc.map_err(|error| CallError::InvalidBody(error.to_string()))?;
        Ok(doc.into())
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<QueueKey, ModelQueues>> {
        self.models.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the coordinator that a slot is free when the request there has ended.
pub struct SlotRelease {
    client: Arc<QueueClient>,
    key: QueueKey,
    group: GroupKey,
}

impl SlotRelease {
    /// Creates the release of a group's slot; `None` if this node never uses shared queues.
    pub fn of(client: &Arc<QueueClient>, key: &QueueKey, group: GroupKey) -> Option<Self> {
        let is_used = client.shared.settings.load_control.shares_queue && key.1.is_some();
        is_used.then(|| Self {
            client: Arc::clone(client),
            key: key.clone(),
            group,
        })
    }
}

impl std::fmt::Debug for SlotRelease {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_tuple("SlotRelease")
            .field(&self.group)
            .finish()
    }
}

impl SlotListener for SlotRelease {
    fn slot_released(&self, _has_run: bool) {
        self.client.release(&self.key, self.group);
    }
}
