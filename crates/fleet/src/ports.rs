//! Traits at the border to the platform that the fleet runs on.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction};
use briarswitch_core::target::{Membership, TargetChange};
use briarswitch_core::traffic::TrafficBook;
use futures::future::BoxFuture;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use serde::Serialize;

pub use crate::suspect_row::{SuspectChange, SuspectKey, SuspectRow, MAX_SUSPECT_ROWS};
pub use briarswitch_membership::NodeEntry;

/// Why a call to the platform's store gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SourceError {
    /// The store turned the call away or did not answer it.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The changes asked for are no longer kept; everything has to be read anew.
    #[error("the change history is gone")]
    HistoryGone,
    /// What was stored can not be understood.
    #[error("unreadable: {0}")]
    Unreadable(String),
}

/// Answer of a source.
pub type SourceFuture<'a, T> = BoxFuture<'a, Result<T, SourceError>>;

/// Point in the store's history up to which changes were read.
///
/// A store that comes back from a copy has lost its last versions and gives them out again, in another era. Held
/// without its era, a version from before would pass for one of now: what is written under the versions up to it
/// would never be asked for.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize)]
pub struct FeedMark {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// Version, counted anew from the copy's in each era.
    pub version: u64,
}

/// Question for the changes of one table of the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct FeedQuestion {
    /// Table, as the platform calls it.
    pub table: String,
    /// Point after which changes are asked for; without one the whole table is.
    pub mark: Option<FeedMark>,
    /// Longest time that the question may be held open.
    pub wait: Duration,
}

/// One row that has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedRow {
    /// Name within its table.
    pub key: String,
    /// Content; `None` when the row was dropped.
    pub value: Option<Vec<u8>>,
}

/// Rows of one table, and the point in history they are from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FeedAnswer {
    /// Where to go on.
    pub mark: FeedMark,
    /// Rows in the order in which they were written.
    pub rows: Vec<FeedRow>,
    /// How long before the question was sent the store may have been asked.
    pub age: Duration,
    /// Whether the rows are the whole table and not changes of it.
    pub is_whole: bool,
}

impl FeedAnswer {
    /// Returns whether nothing had changed after these rows when the store was asked.
    ///
    /// The store bounds its answers and does not say that one was cut short. Taken for all there is, the
    /// first part of a long history would date what a node holds as new: keys that a later part takes away
    /// were used for 5.4 s. Only an answer without changes, or the whole table, proves that there are no more.
    pub fn is_complete(&self) -> bool {
        self.is_whole || self.rows.is_empty()
    }
}

/// Where changes of the store's tables come from.
pub trait FeedSource: Send + Sync {
    /// Returns the whole table, or the changes after a mark as soon as there are any, or none when the wait
    /// is over.
    fn changes(&self, question: FeedQuestion) -> SourceFuture<'static, FeedAnswer>;
}

/// Answer of [`ConfigSource`].
#[derive(Clone, Debug)]
pub struct ConfigNews {
    /// Where to go on.
    pub mark: FeedMark,
    /// Newest configuration, if there is one that was not read yet.
    pub book: Option<Box<TrafficBook>>,
    /// Whether no newer one can have been there when the store was asked.
    pub is_newest: bool,
    /// How long before the question was sent the store may have been asked.
    pub age: Duration,
}

/// Answer of [`TargetDirectory`].
#[derive(Clone, Debug)]
pub enum DirectoryNews {
    /// Everything that is listed.
    Whole(FeedMark, Vec<TargetChange>),
    /// What changed since the mark asked for.
    Changes(FeedMark, Vec<TargetChange>),
}

impl DirectoryNews {
    /// Returns where to go on.
    pub fn mark(&self) -> FeedMark {
        match self {
            Self::Whole(mark, _) | Self::Changes(mark, _) => *mark,
        }
    }
}

/// Answer of [`NodeRegistry`].
#[derive(Clone, Debug)]
pub struct NodeNews {
    /// Where to go on.
    pub mark: FeedMark,
    /// Nodes that are new or have changed.
    pub nodes: Vec<NodeEntry>,
}

/// Where whole configurations come from.
pub trait ConfigSource: Send + Sync {
    /// Returns the table whose changes hold them.
    fn table(&self) -> &'static str;

    /// Reads the table or changes of it.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError::Unreadable`] when a configuration can not be understood.
    fn news(&self, answer: &FeedAnswer) -> Result<ConfigNews, SourceError>;
}

/// Where the list of targets comes from.
pub trait TargetDirectory: Send + Sync {
    /// Returns the table whose changes hold it.
    fn table(&self) -> &'static str;

    /// Reads the table or changes of it.
    fn news(&self, answer: &FeedAnswer) -> DirectoryNews;
}

/// The store's clock, which is the same for all nodes.
pub trait StoreClock: Send + Sync {
    /// Returns its reading in milliseconds, or zero while it is not known.
    ///
    /// What is returned is late by the way of the quickest answer so far, and goes on while the store
    /// is away.
    fn millis(&self) -> u64;
}

/// Where nodes find each other.
pub trait NodeRegistry: Send + Sync {
    /// Writes this node's entry.
    fn register(&self, entry: NodeEntry) -> SourceFuture<'_, ()>;

    /// Reads all entries, or waits up to `wait` for changes after the mark.
    fn next(&self, mark: Option<FeedMark>, wait: Duration) -> SourceFuture<'_, NodeNews>;
}

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Life that speaks; zero where the target does not say.
    pub incarnation: Incarnation,
    /// Its group.
    pub membership: Option<Membership>,
    /// Model of its group.
    pub model: Option<ModelId>,
    /// Models on its host.
    pub staged: Vec<ModelId>,
    /// Orders it has begun.
    pub sequence: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Requests it works on.
    pub active: u32,
    /// Requests that wait there.
    pub queued: u32,
}

/// Why a target gave no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReportError {
    /// No answer came in time.
    #[error("no answer")]
    Silent,
    /// Nobody listens at the address: the life that did has ended.
    #[error("nobody listens")]
    Refused,
    /// Another life answers at the address.
    #[error("another life answers")]
    Gone,
    /// The answer can not be understood.
    #[error("unreadable answer")]
    Unreadable,
}

/// Where the nodes keep what all of them have to know of requests under which targets have ended.
pub trait SuspectRegistry: Send + Sync {
    /// Returns the table whose changes hold it.
    fn table(&self) -> &'static str;

    /// Reads the table or changes of it; rows that can not be understood are left out.
    fn news(&self, answer: &FeedAnswer) -> Vec<SuspectChange>;

    /// Writes and drops rows, all of them or none.
    fn write(&self, rows: Vec<SuspectRow>, dropped: Vec<SuspectKey>) -> SourceFuture<'_, ()>;
}

/// Asks and orders targets.
pub trait TargetControl: Send + Sync {
    /// Finds out whether anybody listens at a target's address; nothing is asked.
    fn reach<'a>(
        &'a self,
        address: &'a str,
        limit: Duration,
    ) -> BoxFuture<'a, Result<(), ReportError>>;

    /// Asks one life of a target for its state.
    fn report<'a>(
        &'a self,
        target: &'a TargetId,
        address: &'a str,
        limit: Duration,
    ) -> BoxFuture<'a, Result<TargetReport, ReportError>>;

    /// Gives one life of a target an order, on the condition that it has begun `expected` so far.
    fn order<'a>(
        &'a self,
        target: &'a TargetId,
        address: &'a str,
        expected: u64,
        action: &'a TargetAction,
        limit: Duration,
    ) -> BoxFuture<'a, OrderResult>;
}

/// What a caller's request says, in this project's words.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerAsk {
    /// Id of this attempt, chosen by the caller.
    pub attempt: RequestId,
    /// Host asked for, without a port.
    pub host: String,
    /// Key, if there is one.
    pub key: Option<String>,
    /// Time the caller will wait.
    pub patience: Option<Duration>,
    /// Model asked for.
    pub model: Option<ModelId>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have; zero where the caller does not say.
    pub most_tokens: u64,
    /// Tokens that the caller expects of the answer; right at the median, and often far off.
    pub expected_tokens: Option<u64>,
    /// Last event the caller has already, where it resumes a stream.
    pub last_event: Option<String>,
}

/// What is added to a request for a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetMark<'a> {
    /// Life that may run it.
    pub target: &'a TargetId,
    /// Organisation, if a key was asked for.
    pub organisation: Option<&'a str>,
    /// Time that is left.
    pub left: Duration,
    /// Rank at the target, zero first.
    pub priority: u8,
    /// Event after which a stream goes on.
    pub last_event: Option<&'a str>,
}

/// What a target's answer says about itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerFacts {
    /// Attempt that the target says it answers.
    pub attempt: Option<String>,
    /// Whether the answer bears proof that a target made it.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another life than the one meant answered.
    pub is_other_life: bool,
    /// Member to which the target puts the failure down.
    pub at_fault: Option<TargetId>,
    /// Requests at work there.
    pub running: Option<u32>,
    /// Requests that wait there.
    pub waiting: Option<u32>,
    /// Whether the body is not as the target made it.
    pub is_recoded: bool,
}

/// How callers and targets spell what the fleet has to know.
pub trait CallerDialect: Send + Sync {
    /// Reads a caller's request.
    fn ask(&self, head: &Parts) -> CallerAsk;

    /// Returns the headers that a target is sent.
    fn to_target(&self, head: &HeaderMap, mark: TargetMark<'_>) -> HeaderMap;

    /// Reads a target's answer.
    fn facts(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Returns the headers that a caller is sent with a target's answer.
    fn to_caller(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the header that carries the attempt's id, for answers of the node's own.
    fn mark_own(&self, headers: &mut HeaderMap, attempt: &str);
}

/// The platform as the fleet sees it.
#[derive(Clone)]
pub struct FleetPlatform {
    /// Changes of the store's tables.
    pub feed: Arc<dyn FeedSource>,
    /// Clock of the store.
    pub clock: Arc<dyn StoreClock>,
    /// Configurations.
    pub config: Arc<dyn ConfigSource>,
    /// Targets.
    pub directory: Arc<dyn TargetDirectory>,
    /// Nodes.
    pub nodes: Arc<dyn NodeRegistry>,
    /// Orders and reports.
    pub targets: Arc<dyn TargetControl>,
    /// Requests under which targets have ended.
    pub suspects: Arc<dyn SuspectRegistry>,
    /// Spelling of requests and answers.
    pub dialect: Arc<dyn CallerDialect>,
}
