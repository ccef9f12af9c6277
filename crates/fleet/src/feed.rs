//! Lets one node of each zone ask the store for changes, and the others ask it.
//!
//! Every node needs the configuration and the list of targets within a second or two, and a question
//! held open by each is paid for by the call: 71 nodes made 167 calls a second. One node of each zone
//! asks the store; the questions of the others wait there for the same answer. A node whose reader does
//! not answer, or can not reach the store, asks the next best of its zone, and only then the store.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{CallError, CallerClient, Codec};
use briarswitch_kernel::BootClock;
use briarswitch_membership::{LiveView, NodeEntry, ZonePart};
use futures::future::{BoxFuture, FutureExt, Shared};
use futures::stream::{FuturesUnordered, StreamExt};
use http::Method;
use indexmap::IndexMap;

use crate::costs::{CostKind, CostLedger};
use crate::feed_doc::{FeedRequestDoc, FeedResponseDoc};
use crate::feed_pacer::{cost_kind_of, lock, request_paced, FeedPacer, FeedResult};
use crate::ports::{FeedAnswer, FeedQuestion, FeedSource, SourceError};

/// Status of an answer that the changes asked for are no longer kept.
const HISTORY_GONE: u16 = 410;
/// Path at which a reader is asked.
pub const FEED_PATH: &str = "/feed";
/// Nodes of a zone that are asked one after the other; two may be lost at once.
const MAX_READERS: usize = 3;
/// Nodes of a zone from which on not all of them ask the store.
///
/// Below it there is nothing to win, and a reader that freezes costs its followers a second and a half.
const MIN_RELAYED_ZONE_NODES: u32 = 3;
/// Time beyond the time that a question is held open after which a reader has failed.
///
/// The store answers in a quarter of a second on its slowest days.
const READER_TIMEOUT: Duration = Duration::from_millis(700);
/// Part of that time in which a reader says that the store has not answered.
///
/// Its followers would take it for lost otherwise, and each ask a store that is away.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the store is asked beside a second reader.
///
/// One that lives says at once that it does not reach the store either.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Seconds between two questions of a node whose readers do not reach the store, about.
const MEAN_RETRY_INTERVAL_S: f64 = 0.4;
/// Time after which a reader that is asked for a whole table has failed; the store may need several calls.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the next reader is asked for a whole table beside those that have not answered.
const SNAPSHOT_HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Times that each reader is asked for a whole table before the store is.
const SNAPSHOT_ROUNDS: usize = 2;
/// Time for which a reader that failed is not asked.
const READER_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which an answer is kept for others that ask the same.
const CHANGES_TTL: Duration = Duration::from_secs(3);
/// Time for which an answer without changes is kept for others that ask without waiting.
const IMMEDIATE_TTL: Duration = Duration::from_millis(250);
/// Questions in a second that the nodes of a zone together ask the store while its readers do not reach it.
///
/// Those that do reach it are found so, and become its readers.
const PROBES_PER_SECOND: f64 = 8.0;
/// Time for which an answer of the store shows that this node reaches it; longer than a held question.
const STORE_REACHABLE_TTL: Duration = Duration::from_millis(1_600);

type ResponseFuture = Shared<BoxFuture<'static, FeedResult>>;

/// A question that was sent to the store, and its answer once it is there.
#[derive(Clone)]
struct SharedRequest {
    started_at: Moment,
    response: ResponseFuture,
}

impl SharedRequest {
    /// Returns whether the answer may be given to another who asks the same at `now`.
    ///
    /// An answer without changes to a question that was held open would be given again at once to the same
    /// node, over and over. One to a question that was not held open dates what many nodes hold, and is
    /// told with its age.
    fn is_reusable(&self, request: &FeedQuestion, now: Moment) -> bool {
        match self.response.peek() {
            None => true,
            Some(Ok(response)) if response.is_whole => now < self.started_at + IMMEDIATE_TTL,
            Some(Ok(response)) if !response.rows.is_empty() => now < self.started_at + CHANGES_TTL,
            Some(Ok(_)) => request.wait.is_zero() && now < self.started_at + IMMEDIATE_TTL,
            Some(Err(_)) => false,
        }
    }
}

/// Answers questions for changes, from the store or from another node.
pub struct FeedRelay {
    store: Arc<dyn FeedSource>,
    client: CallerClient,
    shared_requests: Mutex<IndexMap<FeedQuestion, SharedRequest>>,
    /// Readers that failed, and until when they are not asked.
    backed_off: Mutex<IndexMap<NodeId, Moment>>,
    pacers: Mutex<IndexMap<String, Arc<Mutex<FeedPacer>>>>,
    /// Milliseconds of the clock at which the store last answered.
    store_answered_ms: Arc<AtomicU64>,
    costs: Arc<CostLedger>,
}

impl FeedRelay {
    /// Opens a relay before the store.
    pub fn new(store: Arc<dyn FeedSource>, costs: Arc<CostLedger>) -> Self {
        Self {
            store,
            client: CallerClient::open(Codec::Packed, None),
            shared_requests: Mutex::default(),
            backed_off: Mutex::default(),
            pacers: Mutex::default(),
            store_answered_ms: Arc::default(),
            costs,
        }
    }

    /// Sets the least time between two held questions for changes of a table.
    ///
    /// The questions of many nodes come at any time. Without a pace here each change is a call of its own,
    /// whatever pause each node makes.
    pub fn set_min_interval(&self, table: &str, min_interval: Duration) {
        lock(&self.pacer_for(table)).min_interval = min_interval;
    }

    fn pacer_for(&self, table: &str) -> Arc<Mutex<FeedPacer>> {
        let mut pacers = lock(&self.pacers);
        Arc::clone(pacers.entry(table.to_owned()).or_default())
    }

    /// Returns the changes after a mark as soon as there are any, or none when the wait is over.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when neither a reader nor the store answered.
    pub async fn changes(
        &self,
        live: &LiveView,
        request: FeedQuestion,
    ) -> Result<FeedAnswer, SourceError> {
        match live.reader_part(MAX_READERS, MIN_RELAYED_ZONE_NODES, self.reads_store()) {
            ZonePart::Alone | ZonePart::First => {
                self.request_store(request, BootClock::now()).await
            }
            ZonePart::Other(readers) => {
                let nodes = f64::from(live.zone_nodes());
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

    /// Asks the readers of the zone, best first, and the store where none of them answers.
    ///
    /// One that answers without having reached the store may be the only one turned away, so another is
    /// asked. Where that says so too the store is likely to be away, and only a few nodes of the zone ask it:
    /// calls of all would be paid for in vain, and those of none would leave a zone whose readers are cut off
    /// with keys that were taken away.
    async fn request_from_readers(
        &self,
        readers: &[Arc<NodeEntry>],
        request: FeedQuestion,
        may_probe_store: bool,
    ) -> Result<FeedAnswer, SourceError> {
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
            // Time was lost already, so the next question is not held open.
            request.wait = Duration::ZERO;
        }
        self.request_store(request, BootClock::now()).await
    }

    /// Asks the readers of the zone for a whole table, each beside those that have not answered yet, then the store.
    ///
    /// A node that reads a whole table knows nothing yet. Where all nodes have lost power the first reader may not be
    /// up again; what is sent to it is lost, and the connection is tried again only after a second, in which every
    /// caller is refused. So the next is asked soon, and each of them again: by then it may be there.
    async fn request_snapshot(
        &self,
        readers: &[Arc<NodeEntry>],
        request: FeedQuestion,
    ) -> Result<FeedAnswer, SourceError> {
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

    /// Asks the store beside a reader that has not answered after a pause, and returns whichever answer comes first.
    ///
    /// Readers that give no answer are each waited for in vain. One after the other the waits add up to more than
    /// the three seconds after which no removed key may be in use: 1.9 s at a reader whose way to the store is silent,
    /// and the time of the next one.
    async fn hedge_with_store(
        &self,
        pending: impl Future<Output = Result<FeedAnswer, CallError>>,
        request: &FeedQuestion,
        delay: Duration,
    ) -> Result<FeedAnswer, CallError> {
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

    /// Returns whether the store has lately answered this node itself.
    pub fn reads_store(&self) -> bool {
        let store_answered_ms =
            Duration::from_millis(self.store_answered_ms.load(Ordering::Relaxed));
        !store_answered_ms.is_zero() && BootClock::now() < store_answered_ms + STORE_REACHABLE_TTL
    }

    fn back_off(&self, node: &NodeId) {
        let until = BootClock::now() + READER_BACKOFF;
        lock(&self.backed_off).insert(node.clone(), until);
    }

    async fn request_from(
        &self,
        reader: &NodeEntry,
        request: &FeedQuestion,
    ) -> Result<FeedAnswer, CallError> {
        self.costs.count(CostKind::ReaderAsked);
        let url = format!("http://{}{FEED_PATH}", reader.address);
        let timeout = timeout_for(request, READER_TIMEOUT);
        let doc = FeedRequestDoc::from(request.clone());
        let call = self.client.call(Method::POST, &url, Some(&doc), timeout);
        let response: FeedResponseDoc = call.await?;
        Ok(response.into())
    }

    fn is_backed_off(&self, node: &str) -> bool {
        let now = BootClock::now();
        let backed_off = lock(&self.backed_off);
        backed_off.get(node).is_some_and(|until| now < *until)
    }

    /// Answers a question of another node, in the time that it will wait.
    ///
    /// The answer's age counts up to `arrived`, when the question came, and so dates it for the node that
    /// asked: the store was asked at most that long before the question was sent.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not answer.
    pub async fn respond(
        &self,
        request: FeedQuestion,
        arrived: Moment,
    ) -> Result<FeedAnswer, SourceError> {
        let timeout = timeout_for(&request, STORE_TIMEOUT);
        let response = self.request_store(request, arrived);
        let answered = tokio::time::timeout(timeout, response).await;
        answered.unwrap_or_else(|_| Err(SourceError::Unavailable("no answer yet".to_owned())))
    }

    /// Answers a question; what many ask is asked of the store once.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not answer.
    pub async fn request_store(
        &self,
        request: FeedQuestion,
        arrived: Moment,
    ) -> Result<FeedAnswer, SourceError> {
        let shared_request = self.shared_request(request, arrived);
        let response = shared_request.response.await?;
        let age = arrived.saturating_sub(shared_request.started_at) + response.age;
        Ok(FeedAnswer { age, ..response })
    }

    fn shared_request(&self, request: FeedQuestion, now: Moment) -> SharedRequest {
        let mut shared_requests = lock(&self.shared_requests);
        shared_requests.retain(|request, shared_request| shared_request.is_reusable(request, now));
        let shared_request = shared_requests.entry(request.clone()).or_insert_with(|| {
            self.costs.count(cost_kind_of(&request));
            let store = Arc::clone(&self.store);
            let pacer = self.pacer_for(&request.table);
            let store_answered_ms = Arc::clone(&self.store_answered_ms);
            let response = request_paced(store, request, pacer, store_answered_ms);
            SharedRequest {
                started_at: now,
                response: response.boxed().shared(),
            }
        });
        shared_request.clone()
    }
}

/// Returns the time for an answer; `beyond` the time that the question is held open.
fn timeout_for(request: &FeedQuestion, margin: Duration) -> Duration {
    match request.mark {
        Some(_) => request.wait + margin,
        None => SNAPSHOT_TIMEOUT,
    }
}

/// Returns how many nodes ask the store, of zones of this one's size.
pub fn store_reader_count(live: &LiveView) -> u32 {
    let nodes = live.live_nodes();
    let in_zone = live.zone_nodes();
    if in_zone < MIN_RELAYED_ZONE_NODES {
        nodes
    } else {
        (nodes / in_zone).max(1)
    }
}
