//! Shares requests for the store's tables among the nodes of a zone.
//!
//! Every node needs the configuration and the list of targets within a second or two, and the store
//! charges for each call: long polls from every node came to 167 calls a second with 71 nodes. One
//! node of each zone therefore reads from the store, and the others send their requests to that
//! reader, which serves all of them with one call. A node whose reader does not respond, or cannot
//! reach the store, asks the next best reader of its zone, and the store itself only after that.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::BootClock;
use briarswitch_membership::{LiveView, NodeEntry, ReaderRole};
use futures::future::{BoxFuture, FutureExt, Shared, TryFutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use http::Method;
use indexmap::IndexMap;

use crate::costs::{CostCounters, CostKind};
use crate::feed_doc::{FeedRequestDoc, FeedResponseDoc, PackedRows};
use crate::feed_pacer::lock;
use crate::ports::{FeedRequest, FeedResponse, FeedSource, SourceError};
use crate::store_table::StoreTable;

/// HTTP status of a response which says that the requested changes are no longer kept.
const HISTORY_GONE: u16 = 410;
/// Path at which a node serves the store's tables to other nodes.
pub const FEED_PATH: &str = "/feed";
/// Readers of a zone that are tried one after the other; two may fail at the same time.
const MAX_READERS: usize = 3;
/// Smallest number of nodes in a zone at which requests go through readers.
///
/// A smaller zone would save nothing, and a reader that freezes delays its followers by 1.5 s.
const MIN_RELAYED_ZONE_NODES: u32 = 3;
/// Time beyond the requested wait after which a reader counts as failed.
///
/// The store itself responds within 250 ms even when it is slow.
const READER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time beyond the requested wait after which a reader reports that the store has not responded.
///
/// It is shorter than [`READER_TIMEOUT`]; otherwise the followers would take the reader for failed
/// and would each call a store that is down.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a request to the second reader is hedged with a request to the store.
///
/// A healthy reader that cannot reach the store either says so at once.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Approximate interval in seconds between requests of a node whose readers cannot reach the store.
const MEAN_RETRY_INTERVAL_S: f64 = 0.4;
/// Time after which a reader that was asked for a full table counts as failed; reading the table
/// from the store may take several calls.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a request for a full table is hedged with a request to the next reader.
const SNAPSHOT_HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Number of times that each reader is asked for a full table before the store is.
const SNAPSHOT_ROUNDS: usize = 2;
/// Time for which a failed reader is skipped.
const READER_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a response with changes is reused for identical requests.
const CHANGES_TTL: Duration = Duration::from_secs(3);
/// Time for which a full table, or a response without changes to a request that does not wait, is
/// reused for identical requests.
const IMMEDIATE_TTL: Duration = Duration::from_millis(250);
/// Requests per second that all nodes of a zone together send to the store while their readers
/// cannot reach it.
///
/// Nodes that do reach the store are discovered this way and become readers.
const PROBES_PER_SECOND: f64 = 8.0;
/// Time for which a response shows that this node reaches the store; longer than a long poll.
const STORE_REACHABLE_TTL: Duration = Duration::from_millis(1_600);

/// The store's response to a request, packed once for all nodes that get it.
struct SharedResponse {
    response: FeedResponse,
    packed: OnceLock<PackedRows>,
}

type ResponseFuture = Shared<BoxFuture<'static, Result<Arc<SharedResponse>, SourceError>>>;

/// A request that was sent to the store, with its response once it has arrived.
#[derive(Clone)]
struct SharedRequest {
    started_at: Moment,
    response: ResponseFuture,
}

impl SharedRequest {
    /// Returns whether an identical request made at `now` may get this response.
    ///
    /// If an empty response to a long poll were reused, the same node would get it again
    /// immediately and would poll in a tight loop. An empty response to a request that does not
    /// wait only confirms what many nodes hold, and is passed on with its age.
    fn is_reusable(&self, request: &FeedRequest, now: Moment) -> bool {
        match self.response.peek() {
            None => true,
            Some(Ok(shared)) if shared.response.is_snapshot => {
                now < self.started_at + IMMEDIATE_TTL
            }
            Some(Ok(shared)) if !shared.response.rows.is_empty() => {
                now < self.started_at + CHANGES_TTL
            }
            Some(Ok(_)) => request.wait.is_zero() && now < self.started_at + IMMEDIATE_TTL,
            Some(Err(_)) => false,
        }
    }
}

/// Reads tables of the store, directly or through another node.
pub struct FeedRelay {
    store: Arc<dyn FeedSource>,
    client: ApiClient,
    shared_requests: Mutex<IndexMap<FeedRequest, SharedRequest>>,
    /// Failed readers, with the time until which each is skipped.
    backed_off: Mutex<IndexMap<NodeId, Moment>>,
    tables: Mutex<IndexMap<String, StoreTable>>,
    /// Time of the store's last response in milliseconds of [`BootClock`]; zero before the first
    /// one.
    store_answered_ms: Arc<AtomicU64>,
    costs: Arc<CostCounters>,
}

impl FeedRelay {
    /// Creates a relay in front of `store`.
    pub fn new(store: Arc<dyn FeedSource>, costs: Arc<CostCounters>) -> Self {
        Self {
            store,
            client: ApiClient::new(Codec::MessagePack, None),
            shared_requests: Mutex::default(),
            backed_off: Mutex::default(),
            tables: Mutex::default(),
            store_answered_ms: Arc::default(),
            costs,
        }
    }

    /// Sets the minimum interval between two long polls for the changes of a table.
    ///
    /// Requests of many nodes arrive at any time. Without a limit here, each change of the table
    /// would cost a call of its own, whatever interval each node keeps.
    pub fn set_min_interval(&self, table: &str, min_interval: Duration) {
        lock(&self.store_table(table).pacer).min_interval = min_interval;
    }

    fn store_table(&self, table: &str) -> StoreTable {
        let mut tables = lock(&self.tables);
        let entry = tables.entry(table.to_owned());
        let store_table = entry.or_insert_with(|| StoreTable {
            store: Arc::clone(&self.store),
            pacer: Arc::default(),
            copy: Arc::default(),
            answered_ms: Arc::clone(&self.store_answered_ms),
            costs: Arc::clone(&self.costs),
        });
        store_table.clone()
    }

    /// Returns the changes after a mark as soon as there are any, or none when the wait is over.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when neither a reader nor the store responded.
    pub async fn changes(
        &self,
        live: &LiveView,
        request: FeedRequest,
    ) -> Result<FeedResponse, SourceError> {
        let role = live.reader_role(MAX_READERS, MIN_RELAYED_ZONE_NODES, self.reads_store());
        if request.mark.is_some() {
            return self.request_as(role, request, live.zone_nodes()).await;
        }
        let (sent_at, table, role_name) = (BootClock::now(), request.table.clone(), role.name());
        let response = self.request_as(role, request, live.zone_nodes()).await;
        if let Ok(response) = &response {
            log::info!(
                table = table.as_str(),
                role = role_name,
                rows = response.rows.len(),
                age_ms = response.age.as_millis() as u64,
                took_ms = BootClock::now().saturating_sub(sent_at).as_millis() as u64;
                "table_read"
            );
        }
        response
    }

    async fn request_as(
        &self,
        role: ReaderRole,
        request: FeedRequest,
        zone_nodes: u32,
    ) -> Result<FeedResponse, SourceError> {
        match role {
            ReaderRole::Independent | ReaderRole::Reader => {
                self.request_store(request, BootClock::now()).await
            }
            ReaderRole::Follower(readers) => {
                let nodes = f64::from(zone_nodes);
                let may_probe_store =
                    rand::random::<f64>() < PROBES_PER_SECOND * MEAN_RETRY_INTERVAL_S / nodes;
                if request.mark.is_none() {
                    return self.request_snapshot(&readers, request).await;
                }
                self.request_from_readers(&readers, request, may_probe_store)
                    .await
            }
        }
    }

    /// Asks the readers of the zone, best first, and the store if none of them responds.
    ///
    /// A reader that cannot reach the store may be the only node with that problem, so a second
    /// reader is asked. If that one cannot reach it either, the store is probably down and only a
    /// few nodes of the zone call it. If all nodes called it, they would pay for calls in vain; if
    /// none did, a zone whose readers are partitioned from the store would keep accepting keys that
    /// were revoked.
    async fn request_from_readers(
        &self,
        readers: &[Arc<NodeEntry>],
        request: FeedRequest,
        may_probe_store: bool,
    ) -> Result<FeedResponse, SourceError> {
        let mut request = request;
        let mut without_store: Vec<&NodeId> = Vec::new();
        let mut hedge_delay = None;
        for reader in readers {
            if self.is_backed_off(&reader.node) {
                continue;
            }
            let pending = self.request_from(reader, &request);
            let response = match hedge_delay {
                Some(delay) => self.hedge_with_store(pending, &request, delay).await,
                None => pending.await,
            };
            match response {
                Ok(response) => {
                    without_store
                        .into_iter()
                        .for_each(|node| self.back_off(node));
                    return Ok(response);
                }
                Err(CallError::Status {
                    status: HISTORY_GONE,
                    ..
                }) => return Err(SourceError::HistoryGone),
                Err(CallError::Status { text, .. })
                    if !without_store.is_empty() && !may_probe_store =>
                {
                    return Err(SourceError::Unavailable(text));
                }
                Err(CallError::Status { .. }) if !without_store.is_empty() => break,
                Err(CallError::Status { .. }) => {
                    without_store.push(&reader.node);
                    hedge_delay = Some(HEDGE_DELAY);
                }
                Err(error) => {
                    log::info!(reader = reader.node.as_str(), error:% = error; "reader_failed");
                    self.back_off(&reader.node);
                    hedge_delay = Some(Duration::ZERO);
                }
            }
            // This attempt has already used up time, so the next request does not wait for changes.
            request.wait = Duration::ZERO;
        }
        self.request_store(request, BootClock::now()).await
    }

    /// Asks the readers of the zone for a full table, hedging with the next one after a delay, and
    /// then the store.
    ///
    /// A node that requests a full table has no data yet. After a power loss of all nodes the first
    /// reader may not be up again; what is sent to it is lost and the connection is retried only
    /// after a second, during which every caller is refused. So the next reader is asked soon, and
    /// each of them twice: by then it may be up.
    async fn request_snapshot(
        &self,
        readers: &[Arc<NodeEntry>],
        request: FeedRequest,
    ) -> Result<FeedResponse, SourceError> {
        let mut pending = FuturesUnordered::new();
        for reader in readers.iter().cycle().take(readers.len() * SNAPSHOT_ROUNDS) {
            pending.push(self.request_from(reader, &request));
            let delay = tokio::time::sleep(SNAPSHOT_HEDGE_DELAY);
            tokio::pin!(delay);
            loop {
                tokio::select! {
                    Some(response) = pending.next() => match response {
                        Ok(response) => return Ok(response),
                        Err(error) => log::info!(error:% = error; "reader_failed"),
                    },
                    () = &mut delay => break,
                }
            }
        }
        drop(pending);
        self.request_store(request, BootClock::now()).await
    }

    /// Hedges a request to a reader with one to the store after a delay, and returns the first
    /// response.
    ///
    /// Unresponsive readers that are tried one after the other add up to more than the three
    /// seconds within which a revoked key must stop working: 1.9 s for a reader whose connection to
    /// the store is silent, and the time-out of the next reader.
    async fn hedge_with_store(
        &self,
        pending: impl Future<Output = Result<FeedResponse, CallError>>,
        request: &FeedRequest,
        delay: Duration,
    ) -> Result<FeedResponse, CallError> {
        let store = async {
            tokio::time::sleep(delay).await;
            self.request_store(request.clone(), BootClock::now()).await
        };
        tokio::pin!(pending, store);
        tokio::select! {
            response = &mut pending => response,
            Ok(response) = &mut store => Ok(response),
        }
    }

    /// Returns whether the store has recently responded to this node itself.
    pub fn reads_store(&self) -> bool {
        let answered_at = Duration::from_millis(self.store_answered_ms.load(Ordering::Relaxed));
        !answered_at.is_zero() && BootClock::now() < answered_at + STORE_REACHABLE_TTL
    }

    fn back_off(&self, node: &NodeId) {
        let until = BootClock::now() + READER_BACKOFF;
        lock(&self.backed_off).insert(node.clone(), until);
    }

    async fn request_from(
        &self,
        reader: &NodeEntry,
        request: &FeedRequest,
    ) -> Result<FeedResponse, CallError> {
        self.costs.count(CostKind::ReaderAsked);
        let url = format!("http://{}{FEED_PATH}", reader.address);
        let timeout = timeout_for(request, READER_TIMEOUT);
        let doc = FeedRequestDoc::from(request.clone());
        let call = self.client.call(Method::POST, &url, Some(&doc), timeout);
        let doc: FeedResponseDoc = call.await?;
        let response = FeedResponse::try_from(doc);
        response.map_err(|error| CallError::InvalidBody(error.to_string()))
    }

    fn is_backed_off(&self, node: &str) -> bool {
        let now = BootClock::now();
        let backed_off = lock(&self.backed_off);
        backed_off.get(node).is_some_and(|until| now < *until)
    }

    /// Responds to a request of another node within the time that the node waits.
    ///
    /// The age of the response is measured at `arrived`, when the request came in. That makes it
    /// correct for the requesting node: the data was at most that old when the request was sent.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not respond.
    pub async fn respond(
        &self,
        request: FeedRequest,
        arrived: Moment,
    ) -> Result<FeedResponseDoc, SourceError> {
        let timeout = timeout_for(&request, STORE_TIMEOUT);
        let response = self.request_shared(request, arrived);
        let result = tokio::time::timeout(timeout, response).await;
        let (shared, age) =
            result.unwrap_or_else(|_| Err(SourceError::Unavailable("no answer yet".to_owned())))?;
        let SharedResponse { response, packed } = shared.as_ref();
        let rows = packed.get_or_init(|| PackedRows::of(&response.rows));
        Ok(FeedResponseDoc::new(response, rows.clone(), age))
    }

    /// Reads from the store; identical concurrent requests share one call.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not respond.
    pub async fn request_store(
        &self,
        request: FeedRequest,
        arrived: Moment,
    ) -> Result<FeedResponse, SourceError> {
        let (shared, age) = self.request_shared(request, arrived).await?;
        Ok(FeedResponse {
            age,
            ..shared.response.clone()
        })
    }

    /// Returns the response that all identical requests share, and its age at `arrived`.
    async fn request_shared(
        &self,
        request: FeedRequest,
        arrived: Moment,
    ) -> Result<(Arc<SharedResponse>, Duration), SourceError> {
        let shared_request = self.shared_request(request, arrived);
        let shared = shared_request.response.await?;
        let age = arrived.saturating_sub(shared_request.started_at) + shared.response.age;
        Ok((shared, age))
    }

    fn shared_request(&self, request: FeedRequest, now: Moment) -> SharedRequest {
        let mut shared_requests = lock(&self.shared_requests);
        shared_requests.retain(|request, shared_request| shared_request.is_reusable(request, now));
        let shared_request = shared_requests.entry(request.clone()).or_insert_with(|| {
            let requested = AssertUnwindSafe(self.store_table(&request.table).request(request));
            // A shared future that panicked would panic again for each later request that looks at it.
            let requested = requested.catch_unwind().map(|result| {
                let text = "the read failed by a fault of this node";
                result.unwrap_or_else(|_| Err(SourceError::Unavailable(text.to_owned())))
            });
            let response = requested.map_ok(|response| {
                Arc::new(SharedResponse {
                    response,
                    packed: OnceLock::new(),
                })
            });
            SharedRequest {
                started_at: now,
                response: response.boxed().shared(),
            }
        });
        shared_request.clone()
    }
}

/// Returns the time-out of a request: its wait and a margin, or a fixed time for a full table.
fn timeout_for(request: &FeedRequest, margin: Duration) -> Duration {
    match request.mark {
        Some(_) => request.wait + margin,
        None => SNAPSHOT_TIMEOUT,
    }
}

/// Returns how many nodes read from the store, assuming that all zones are as large as this one.
pub fn store_reader_count(live: &LiveView) -> u32 {
    let nodes = live.live_nodes();
    let in_zone = live.zone_nodes();
    if in_zone < MIN_RELAYED_ZONE_NODES {
        nodes
    } else {
        (nodes / in_zone).max(1)
    }
}
