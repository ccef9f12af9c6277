//! Lets a few nodes of each zone ask the store for changes, and the others ask them.
//!
//! Every node needs the configuration and the list of targets within a second or two, and a question
//! held open by each is paid for by the call: 71 nodes made 167 calls a second. Two nodes of each zone
//! ask the store; the questions of the others wait at them for the same answer. A node whose reader does
//! not answer, or can not reach the store, asks the store itself.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_http::{CallerClient, Codec};
use briarswitch_kernel::BootClock;
use futures::future::{BoxFuture, FutureExt, Shared};
use http::Method;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ports::{FeedAnswer, FeedMark, FeedQuestion, FeedRow, FeedSource, SourceError};
use crate::shared::{FleetShared, ZonePart};

/// Path at which a reader is asked.
pub const FEED_PATH: &str = "/feed";
/// Nodes of a zone that ask the store; one of them may be lost at any time.
const READERS: u32 = 2;
/// Nodes of a zone from which on not all of them ask the store.
///
/// Below it there is nothing to win, and a reader that freezes costs its followers a second and a half.
const RELAYED_ZONE: u32 = 6;
/// Time beyond the time that a question is held open after which a reader has failed.
const READER_TIME: Duration = Duration::from_millis(300);
/// Time for which the store is asked directly after a reader failed.
const DIRECT_TIME: Duration = Duration::from_secs(2);
/// Time for which an answer is kept for others that ask the same.
const KEPT_TIME: Duration = Duration::from_secs(3);
/// Time for which an answer without changes is kept for others that ask without waiting.
const DATED_TIME: Duration = Duration::from_millis(250);
/// Rank of the readers; any word does, if all nodes use the same.
const READER_RANK: &str = "feed";

type FlightResult = Result<FeedAnswer, SourceError>;
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
    fn is_useful(&self, question: &FeedQuestion, now: Moment) -> bool {
        match self.answer.peek() {
            None => true,
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
    flights: Mutex<IndexMap<FeedQuestion, FeedFlight>>,
    direct_until: Mutex<Moment>,
}

/// [`FeedQuestion`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedQuestionDoc {
    table: String,
    mark: FeedMark,
    wait_ms: u64,
}

/// [`FeedAnswer`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedAnswerDoc {
    mark: FeedMark,
    /// Key, and content unless the row was dropped.
    rows: Vec<(String, Option<Vec<u8>>)>,
    age_ms: u64,
}

impl From<FeedQuestion> for FeedQuestionDoc {
    fn from(question: FeedQuestion) -> Self {
        Self {
            table: question.table,
            mark: question.mark,
            wait_ms: question.wait.as_millis() as u64,
        }
    }
}

impl From<FeedQuestionDoc> for FeedQuestion {
    fn from(doc: FeedQuestionDoc) -> Self {
        Self {
            table: doc.table,
            mark: doc.mark,
            wait: Duration::from_millis(doc.wait_ms),
        }
    }
}

impl From<FeedAnswer> for FeedAnswerDoc {
    fn from(answer: FeedAnswer) -> Self {
        let rows = answer.rows.into_iter().map(|row| (row.key, row.value));
        Self {
            mark: answer.mark,
            rows: rows.collect(),
            // Rounded up, so that an age is never told as less than it is.
            age_ms: answer.age.as_millis() as u64 + 1,
        }
    }
}

impl From<FeedAnswerDoc> for FeedAnswer {
    fn from(doc: FeedAnswerDoc) -> Self {
        let rows = doc.rows.into_iter();
        Self {
            mark: doc.mark,
            rows: rows.map(|(key, value)| FeedRow { key, value }).collect(),
            age: Duration::from_millis(doc.age_ms),
        }
    }
}

impl FeedRelay {
    /// Opens a relay before the store.
    pub fn open(direct: Arc<dyn FeedSource>) -> Self {
        Self {
            direct,
            client: CallerClient::open(Codec::Packed, None),
            flights: Mutex::default(),
            direct_until: Mutex::new(Moment::ZERO),
        }
    }

    /// Returns the changes after a mark as soon as there are any, or none when the wait is over.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when neither a reader nor the store answered.
    pub async fn changes(
        &self,
        shared: &FleetShared,
        question: FeedQuestion,
    ) -> Result<FeedAnswer, SourceError> {
        let now = BootClock::now();
        let reader = match self.part(shared, now) {
            ZonePart::Alone => return self.direct.changes(question).await,
            ZonePart::First => return self.serve(question, now).await,
            ZonePart::Other(readers) => choose(&shared.settings.node, &readers),
        };
        let url = format!("http://{reader}{FEED_PATH}");
        let limit = question.wait + READER_TIME;
        let doc = FeedQuestionDoc::from(question.clone());
        let answer: Result<FeedAnswerDoc, _> = self
            .client
            .call(Method::POST, &url, Some(&doc), limit)
            .await;
        match answer {
            Ok(doc) => Ok(doc.into()),
            Err(error) => {
                log::info!(reader = reader.as_str(), error:% = error; "reader_failed");
                *lock(&self.direct_until) = BootClock::now() + DIRECT_TIME;
                // Time was lost already, so this one is not held open.
                let wait = Duration::ZERO;
                self.direct.changes(FeedQuestion { wait, ..question }).await
            }
        }
    }

    /// Answers a question of this or another node; what many ask is asked of the store once.
    ///
    /// The answer's age counts up to `arrived`, when the question came, and so dates it for the node that
    /// asked: the store was asked at most that long before the question was sent.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError`] when the store did not answer.
    pub async fn serve(
        &self,
        question: FeedQuestion,
        arrived: Moment,
    ) -> Result<FeedAnswer, SourceError> {
        let flight = self.flight(question, arrived);
        let answer = flight.answer.await?;
        let age = arrived.saturating_sub(flight.begun) + answer.age;
        Ok(FeedAnswer { age, ..answer })
    }

    fn flight(&self, question: FeedQuestion, now: Moment) -> FeedFlight {
        let mut flights = lock(&self.flights);
        flights.retain(|question, flight| flight.is_useful(question, now));
        let flight = flights.entry(question.clone()).or_insert_with(|| {
            let direct = Arc::clone(&self.direct);
            let answer = async move { direct.changes(question).await };
            FeedFlight {
                begun: now,
                answer: answer.boxed().shared(),
            }
        });
        flight.clone()
    }

    fn part(&self, shared: &FleetShared, now: Moment) -> ZonePart {
        if now < *lock(&self.direct_until) {
            return ZonePart::Alone;
        }
        shared.zone_part(READER_RANK, READERS, RELAYED_ZONE, now)
    }
}

/// Returns the reader of a node, the same one every time while the readers stay.
fn choose(node: &str, readers: &[String]) -> String {
    let choice = node.bytes().map(usize::from).sum::<usize>() % readers.len();
    readers[choice].clone()
}

/// Returns how many nodes ask the store, of zones of this one's size.
pub fn askers(shared: &FleetShared, now: Moment) -> u32 {
    let nodes = shared.live_nodes(now);
    let in_zone = shared.zone_nodes(now).max(1);
    if in_zone < RELAYED_ZONE {
        nodes
    } else {
        (nodes / in_zone).max(1) * READERS
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
