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

use crate::costs::{CostCounters, CostKind};
use crate::feed_doc::{FeedAnswerDoc, FeedQuestionDoc};
use crate::feed_pace::{ask_at_pace, kind_of, lock, FeedPace, FlightResult};
use crate::ports::{FeedRequest, FeedResponse, FeedSource, SourceError};

/// Status of an answer that the changes asked for are no longer kept.
const HISTORY_GONE: u16 = 410;
/// Path at which a reader is asked.
pub const FEED_PATH: &str = "/feed";
/// Nodes of a zone that are asked one after the other; two may be lost at once.
const READERS: usize = 3;
/// Nodes of a zone from which on not all of them ask the store.
///
/// Below it there is nothing to win, and a reader that freezes costs its followers a second and a half.
const RELAYED_ZONE: u32 = 3;
/// Time beyond the time that a question is held open after which a reader has failed.
///
/// The store answers in a quarter of a second on its slowest days.
const READER_TIME: Duration = Duration::from_millis(700);
/// Part of that time in which a reader says that the store has not answered.
///
/// Its followers would take it for lost otherwise, and each ask a store that is away.
const STORE_TIME: Duration = Duration::from_millis(500);
/// Time after which the store is asked beside a second reader.
///
/// One that lives says at once that it does not reach the store either.
const BESIDE_PAUSE: Duration = Duration::from_millis(150);
/// Seconds between two questions of a node whose readers do not reach the store, about.
const RETRY_TIME: f64 = 0.4;
/// Time after which a reader that is asked for a whole table has failed; the store may need several calls.
const WHOLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which the next reader is asked for a whole table beside those that have not answered.
const WHOLE_PAUSE: Duration = Duration::from_millis(150);
/// Times that each reader is asked for a whole table before the store is.
const WHOLE_ROUNDS: usize = 2;
/// Time for which a reader that failed is not asked.
const AVOIDED_TIME: Duration = Duration::from_secs(2);
/// Time for which an answer is kept for others that ask the same.
const KEPT_TIME: Duration = Duration::from_secs(3);
/// Time for which an answer without changes is kept for others that ask without waiting.
const DATED_TIME: Duration = Duration::from_millis(250);
/// Questions in a second that the nodes of a zone together ask the store while its readers do not reach it.
///
/// Those that do reach it are found so, and become its readers.
const PROBES: f64 = 8.0;
/// Time for which an answer of the store shows that this node reaches it; longer than a held question.
const REACHED_TIME: Duration = Duration::from_millis(1_600);

type FlightFuture = Shared<BoxFuture<'static, FlightResult>>;

/// A question that was sent to the store, and its answer once it is there.
#[derive(Clone)]
struct FeedFlight {
    begun: Moment,
    answer: FlightFuture,
}

impl FeedFlight {
    /// Returns whether the answer may be given to another who asks the same at `now`.
    ///
    /// An answer without changes to a question that was held open would be given again at once to the same
    /// node, over and over. One to a question that was not held open dates what many nodes hold, and is
    /// told with its age.
    fn is_useful(&self, question: &FeedRequest, now: Moment) -> bool {
        match self.answer.peek() {
            None => true,
            Some(Ok(answer)) if answer.is_snapshot => now < self.begun + DATED_TIME,
            Some(Ok(answer)) if !answer.rows.is_empty() => now < self.begun + KEPT_TIME,
            Some(Ok(_)) => question.wait.is_zero() && now < self.begun + DATED_TIME,
            Some(Err(_)) => false,
        }
    }
}

/// Answers questions for changes, from the store or from another node.
pub struct FeedRelay {
    direct: Arc<dyn FeedSource>,
    client: CallerClient,
    flights: Mutex<IndexMap<FeedRequest, FeedFlight>>,
    /// Readers that failed, and until when they are not asked.
    avoided: Mutex<IndexMap<NodeId, Moment>>,
    paces: Mutex<IndexMap<String, Arc<Mutex<FeedPace>>>>,
    /// Milliseconds of the clock at which the store last answered.
    reached: Arc<AtomicU64>,
    costs: Arc<CostCounters>,
}

impl FeedRelay {
    /// Opens a relay before the store.
    pub fn open(direct: Arc<dyn FeedSource>, costs: Arc<CostCounters>) -> Self {
        Self {
            direct,
            client: CallerClient::open(Codec::Packed, None),
            flights: Mutex::default(),
            avoided: Mutex::default(),
            paces: Mutex::default(),
            reached: Arc::default(),
            costs,
        }
    }

    /// Sets the least time between two held questions for changes of a table.
    ///
    /// The questions of many nodes come at any time. Without a pace here each change is a call of its own,
    /// whatever pause each node makes.
    pub fn set_pace(&self, table: &str, pace: Duration) {
        lock(&self.pace_of(table)).pause = pace;
    }

    fn pace_of(&self, table: &str) -> Arc<Mutex<FeedPace>> {
        let mut paces = lock(&self.paces);
        Arc::clone(paces.entry(table.to_owned()).or_default())
    }

    /// Returns the changes after a mark as soon as there are any, or none when the wait is over.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when neither a reader nor the store answered.
    pub async fn changes(
        &self,
        live: &LiveView,
        question: FeedRequest,
    ) -> Result<FeedResponse, SourceError> {
        match live.reader_part(READERS, RELAYED_ZONE, self.reads_store()) {
            ZonePart::Alone | ZonePart::First => self.serve(question, BootClock::now()).await,
            ZonePart::Other(readers) => {
                let nodes = f64::from(live.zone_nodes());
                let is_prober = rand::random::<f64>() < PROBES * RETRY_TIME / nodes;
                if question.mark.is_none() {
                    return self.ask_for_whole(&readers, question).await;
                }
                self.ask_readers(&readers, question, is_prober).await
            }
        }
    }

    /// Asks the readers of the zone, best first, and the store where none of them answers.
    ///
    /// One that answers without having reached the store may be the only one turned away, so another is
    /// asked. Where that says so too the store is likely to be away, and only a few nodes of the zone ask it:
    /// calls of all would be paid for in vain, and those of none would leave a zone whose readers are cut off
    /// with keys that were taken away.
    async fn ask_readers(
        &self,
        readers: &[Arc<NodeEntry>],
        question: FeedRequest,
        is_prober: bool,
    ) -> Result<FeedResponse, SourceError> {
        let mut question = question;
        let mut turned_away: Vec<&NodeId> = Vec::new();
        let mut pause = None;
        for reader in readers {
            if self.is_avoided(&reader.node) {
                continue;
            }
            let asking = self.ask_reader(reader, &question);
            let answer = match pause {
                Some(pause) => self.ask_beside(asking, &question, pause).await,
                None => asking.await,
            };
            match answer {
                Ok(answer) => {
                    turned_away.into_iter().for_each(|node| self.avoid(node));
                    return Ok(answer);
                }
                Err(CallError::Status {
                    status: HISTORY_GONE,
                    ..
                }) => return Err(SourceError::HistoryGone),
                Err(CallError::Status { text, .. }) if !turned_away.is_empty() && !is_prober => {
                    return Err(SourceError::Unavailable(text));
                }
                Err(CallError::Status { .. }) if !turned_away.is_empty() => break,
                Err(CallError::Status { .. }) => {
                    turned_away.push(&reader.node);
                    pause = Some(BESIDE_PAUSE);
                }
                Err(error) => {
                    log::info!(reader = reader.node.as_str(), error:% = error; "reader_failed");
                    self.avoid(&reader.node);
                    pause = Some(Duration::ZERO);
                }
            }
            // Time was lost already, so the next question is not held open.
            question.wait = Duration::ZERO;
        }
        self.serve(question, BootClock::now()).await
    }

    /// Asks the readers of the zone for a whole table, each beside those that have not answered yet, then the store.
    ///
    /// A node that reads a whole table knows nothing yet. Where all nodes have lost power the first reader may not be
    /// up again; what is sent to it is lost, and the connection is tried again only after a second, in which every
    /// caller is refused. So the next is asked soon, and each of them again: by then it may be there.
    async fn ask_for_whole(
        &self,
        readers: &[Arc<NodeEntry>],
        question: FeedRequest,
    ) -> Result<FeedResponse, SourceError> {
        let mut asking = FuturesUnordered::new();
        for reader in readers.iter().cycle().take(readers.len() * WHOLE_ROUNDS) {
            asking.push(self.ask_reader(reader, &question));
            let pause = tokio::time::sleep(WHOLE_PAUSE);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    Some(answer) = asking.next() => match answer {
                        Ok(answer) => return Ok(answer),
                        Err(error) => log::info!(error:% = error; "reader_failed"),
                    },
                    () = &mut pause => break,
                }
            }
        }
        drop(asking);
        self.serve(question, BootClock::now()).await
    }

    /// Asks the store beside a reader that has not answered after a pause, and returns whichever answer comes first.
    ///
    /// Readers that give no answer are each waited for in vain. One after the other the waits add up to more than
    /// the three seconds after which no removed key may be in use: 1.9 s at a reader whose way to the store is silent,
    /// and the time of the next one.
    async fn ask_beside(
        &self,
        asking: impl Future<Output = Result<FeedResponse, CallError>>,
        question: &FeedRequest,
        pause: Duration,
    ) -> Result<FeedResponse, CallError> {
        let direct = async {
            tokio::time::sleep(pause).await;
            self.serve(question.clone(), BootClock::now()).await
        };
        tokio::pin!(asking, direct);
        tokio::select! {
            answer = &mut asking => answer,
            Ok(answer) = &mut direct => Ok(answer),
        }
    }

    /// Returns whether the store has lately answered this node itself.
    pub fn reads_store(&self) -> bool {
        let reached = Duration::from_millis(self.reached.load(Ordering::Relaxed));
        !reached.is_zero() && BootClock::now() < reached + REACHED_TIME
    }

    fn avoid(&self, node: &NodeId) {
        let until = BootClock::now() + AVOIDED_TIME;
        lock(&self.avoided).insert(node.clone(), until);
    }

    async fn ask_reader(
        &self,
        reader: &NodeEntry,
        question: &FeedRequest,
    ) -> Result<FeedResponse, CallError> {
        self.costs.count(CostKind::ReaderAsked);
        let url = format!("http://{}{FEED_PATH}", reader.address);
        let limit = limit_of(question, READER_TIME);
        let doc = FeedQuestionDoc::from(question.clone());
        let call = self.client.call(Method::POST, &url, Some(&doc), limit);
        let answer: FeedAnswerDoc = call.await?;
        Ok(answer.into())
    }

    fn is_avoided(&self, node: &str) -> bool {
        let now = BootClock::now();
        let avoided = lock(&self.avoided);
        avoided.get(node).is_some_and(|until| now < *until)
    }

    /// Answers a question of another node, in the time that it will wait.
    ///
    /// The answer's age counts up to `arrived`, when the question came, and so dates it for the node that
    /// asked: the store was asked at most that long before the question was sent.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not answer.
    pub async fn answer(
        &self,
        question: FeedRequest,
        arrived: Moment,
    ) -> Result<FeedResponse, SourceError> {
        let limit = limit_of(&question, STORE_TIME);
        let answer = self.serve(question, arrived);
        let answered = tokio::time::timeout(limit, answer).await;
        answered.unwrap_or_else(|_| Err(SourceError::Unavailable("no answer yet".to_owned())))
    }

    /// Answers a question; what many ask is asked of the store once.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not answer.
    pub async fn serve(
        &self,
        question: FeedRequest,
        arrived: Moment,
    ) -> Result<FeedResponse, SourceError> {
        let flight = self.flight(question, arrived);
        let answer = flight.answer.await?;
        let age = arrived.saturating_sub(flight.begun) + answer.age;
        Ok(FeedResponse { age, ..answer })
    }

    fn flight(&self, question: FeedRequest, now: Moment) -> FeedFlight {
        let mut flights = lock(&self.flights);
        flights.retain(|question, flight| flight.is_useful(question, now));
        let flight = flights.entry(question.clone()).or_insert_with(|| {
            self.costs.count(kind_of(&question));
            let direct = Arc::clone(&self.direct);
            let pace = self.pace_of(&question.table);
            let reached = Arc::clone(&self.reached);
            let answer = ask_at_pace(direct, question, pace, reached);
            FeedFlight {
                begun: now,
                answer: answer.boxed().shared(),
            }
        });
        flight.clone()
    }
}

/// Returns the time for an answer; `beyond` the time that the question is held open.
fn limit_of(question: &FeedRequest, beyond: Duration) -> Duration {
    match question.mark {
        Some(_) => question.wait + beyond,
        None => WHOLE_TIME,
    }
}

/// Returns how many nodes ask the store, of zones of this one's size.
pub fn askers(live: &LiveView) -> u32 {
    let nodes = live.live_nodes();
    let in_zone = live.zone_nodes();
    if in_zone < RELAYED_ZONE {
        nodes
    } else {
        (nodes / in_zone).max(1)
    }
}
