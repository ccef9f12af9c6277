//! What crash detection and the sync of crash reports need of the node they run in.
//!
//! Nodes that find their targets through a platform and nodes whose settings list all targets
//! implement this interface differently; everything else is common to both.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::*;
use briarswitch_membership::KeyHolders;
use futures::future::BoxFuture;

use crate::ports::{FeedMark, FeedResponse, ReportError, SourceFuture, SuspectRegistry};
use crate::run_info::{RunInfo, TargetIncarnation};
use crate::suspect_ledger::SuspectLedger;

/// Evidence that an incarnation of a target has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// Nothing listens at its address.
    Refused,
    /// Another incarnation responds at its address.
    OtherIncarnation,
    /// The directory lists another incarnation, or none.
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

/// What a probe of a target's address shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The probed incarnation is alive.
    Alive,
    /// A process listens there; which incarnation it is, is not known.
    Listening,
}

/// Number of targets, and of crashes so far; a target that announced its shutdown has not crashed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCount {
    /// Crashes since this node started.
    pub crashes: u64,
    /// Targets.
    pub targets: usize,
}

/// Event that a node counts in its metrics or costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectEvent {
    /// A target at which a run failed was probed.
    TargetProbed,
    /// Crashes were reported to another node.
    CrashReported,
    /// Rows were written to the store or deleted.
    RowsWritten,
    /// A target has crashed.
    TargetCrashed(CrashEvidence),
    /// A request was quarantined.
    QuarantineStarted,
}

/// The node in which crash reports are kept.
pub trait SuspectHost: Send + Sync {
    /// Returns the ledger that traffic reads.
    fn suspects(&self) -> &SuspectLedger;

    /// Returns the store's table of crash reports, which all nodes follow.
    fn registry(&self) -> &dyn SuspectRegistry;

    /// Returns the full table, or its changes after a mark.
    fn changes(
        self: Arc<Self>,
        mark: Option<FeedMark>,
        wait: Duration,
    ) -> SourceFuture<'static, FeedResponse>;

    /// Returns the nodes that collect the crash reports of a request.
    ///
    /// A node that reports to no other node writes each crash to the store itself.
    fn holders_of(&self, fingerprint: &SuspectFingerprint, count: usize) -> KeyHolders;

    /// Probes whether the target of a run is alive; a refused connection may be the fault of this node.
    fn probe_once<'a>(
        &'a self,
        run: &'a RunInfo,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>>;

    /// Probes whether the target of a failed run is alive; a refused connection is the fault of the target.
    fn probe<'a>(
        &'a self,
        run: &'a RunInfo,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Liveness, ReportError>> {
        self.probe_once(run, timeout)
    }

    /// Returns whether the directory lists an incarnation, as far as this node knows its entries.
    fn is_listed(&self, incarnation: &TargetIncarnation) -> bool;

    /// Returns how many targets there are and how many have crashed.
    fn crash_count(&self) -> CrashCount;

    /// Excludes a target from new work until a moment.
    fn exclude_target(&self, target: &TargetId, until: Moment);

    /// Counts an event.
    fn count(&self, event: SuspectEvent);
}
