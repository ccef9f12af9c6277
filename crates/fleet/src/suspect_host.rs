//! What the memory of requests under which targets have ended needs of the node it runs in.
//!
//! Nodes that find their targets through a platform and nodes whose settings name everything differ in all of
//! this, and in nothing else of that memory.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::*;
use briarswitch_membership::ThingHolders;
use futures::future::BoxFuture;

use crate::ports::{FeedMark, FeedResponse, ReportError, SourceFuture, SuspectRegistry};
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::suspects::SuspectBoard;

/// What shows that a life of a target has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndProof {
    /// Nobody listens at its address.
    Refused,
    /// Another life answers at its address.
    OtherLife,
    /// The directory lists another life, or none.
    Unlisted,
}

impl EndProof {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::OtherLife => "other_life",
            Self::Unlisted => "unlisted",
        }
    }
}

/// What an answer at a target's address shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeSign {
    /// The life that was meant lives.
    Lives,
    /// Somebody listens.
    Listens,
}

/// Targets, and how many have ended so far without asking for no new work before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndCount {
    /// Ends.
    pub ends: u64,
    /// Targets.
    pub targets: usize,
}

/// What a node counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectEvent {
    /// A target at which a run broke was asked whether it lives.
    EndChecked,
    /// Another node was told of ends.
    EndTold,
    /// Rows were written.
    RowsWritten,
    /// A target has ended.
    TargetEnded(EndProof),
    /// A request is not to run for a while.
    QuarantineBegun,
}

/// The node that remembers.
pub trait SuspectHost: Send + Sync {
    /// Returns what traffic reads.
    fn suspects(&self) -> &SuspectBoard;

    /// Returns the table that all nodes follow.
    fn registry(&self) -> &dyn SuspectRegistry;

    /// Returns the whole table, or its changes after a mark.
    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> SourceFuture<'static, FeedResponse>;

    /// Returns the nodes that add up the ends of a request.
    ///
    /// A node that tells nobody writes each end itself.
    fn holders_of(&self, print: &RequestFingerprint, count: usize) -> ThingHolders;

    /// Finds out whether the target of a run that broke lives.
    fn life_sign<'a>(
        &'a self,
        facts: &'a RunInfo,
        limit: Duration,
    ) -> BoxFuture<'a, Result<LifeSign, ReportError>>;

    /// Returns whether the directory lists a life, as far as this node follows it.
    fn is_listed(&self, life: &TargetIncarnation) -> bool;

    /// Returns how many targets have ended.
    fn end_count(&self) -> EndCount;

    /// Keeps new work from a target.
    fn keep_away(&self, target: &TargetId, until: Moment);

    /// Counts an event.
    fn note(&self, event: SuspectEvent);
}
