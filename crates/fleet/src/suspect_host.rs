//! What the memory of requests under which targets have ended needs of the node it runs in.
//!
//! Nodes that find their targets through a platform and nodes whose settings name everything differ in all of
//! this, and in nothing else of that memory.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_membership::ThingHolders;
use futures::future::BoxFuture;

use crate::ports::{FeedAnswer, FeedMark, ReportError, SourceFuture, SuspectRegistry};
use crate::run_facts::{RunFacts, TargetLife};
use crate::suspect_ledger::SuspectLedger;

/// What shows that a life of a target has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// Nobody listens at its address.
    Refused,
    /// Another life answers at its address.
    OtherIncarnation,
    /// The directory lists another life, or none.
    Unlisted,
}

impl CrashEvidence {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::OtherIncarnation => "other_life",
            Self::Unlisted => "unlisted",
        }
    }
}

/// What an answer at a target's address shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The life that was meant lives.
    Alive,
    /// Somebody listens.
    Listening,
}

/// Targets, and how many have ended so far without asking for no new work before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCount {
    /// Ends.
    pub crashes: u64,
    /// Targets.
    pub targets: usize,
}

/// What a node counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectEvent {
    /// A target at which a run broke was asked whether it lives.
    TargetProbed,
    /// Another node was told of ends.
    CrashReported,
    /// Rows were written.
    RowsWritten,
    /// A target has ended.
    TargetCrashed(CrashEvidence),
    /// A request is not to run for a while.
    QuarantineStarted,
}

/// The node that remembers.
pub trait SuspectHost: Send + Sync {
    /// Returns what traffic reads.
    fn suspects(&self) -> &SuspectLedger;

    /// Returns the table that all nodes follow.
    fn registry(&self) -> &dyn SuspectRegistry;

    /// Returns the whole table, or its changes after a mark.
    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> SourceFuture<'static, FeedAnswer>;

    /// Returns the nodes that add up the ends of a request.
    ///
    /// A node that tells nobody writes each end itself.
    fn holders_of(&self, fingerprint: &RequestPrint, count: usize) -> ThingHolders;

    /// Finds out whether the target of a run that broke lives.
    fn probe<'a>(
        &'a self,
        facts: &'a RunFacts,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>>;

    /// Returns whether the directory lists a life, as far as this node follows it.
    fn is_listed(&self, incarnation: &TargetLife) -> bool;

    /// Returns how many targets have ended.
    fn crash_count(&self) -> CrashCount;

    /// Keeps new work from a target.
    fn exclude_target(&self, target: &TargetId, until: Moment);

    /// Counts an event.
    fn count(&self, event: SuspectEvent);
}
