//! Description of a run, and how a run without a complete response ended.

use briarswitch_core::id::*;
use briarswitch_core::run_suspects::RunSuspects;

/// One incarnation of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetIncarnation {
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation under that id; zero if the target does not report it.
    pub incarnation: Incarnation,
}

/// The request and the target of a run.
#[derive(Clone, Debug)]
pub struct RunInfo {
    /// Id of the caller's attempt.
    pub request: RequestId,
    /// What a crash of the target can be put down to.
    pub suspects: RunSuspects,
    /// Organisation of the caller; empty if no key is required.
    pub organisation: OrganisationId,
    /// Target that ran the request.
    pub target: TargetIncarnation,
    /// Address of the target.
    pub address: String,
    /// Domain of the target.
    pub domain: DomainId,
    /// Group of the target; empty for a single target.
    pub group: GroupId,
    /// Time at which the request was sent.
    pub sent: Moment,
}

/// How a run without a complete response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The connection broke.
    Broken,
    /// The response is no longer awaited; how the run ended is unknown.
    Abandoned,
}
