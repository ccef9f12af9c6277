//! What ran where, and how a run ended that brought no whole answer.

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;

/// One life of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetIncarnation {
    /// Name.
    pub id: TargetId,
    /// Life under that name; zero where the target does not say.
    pub incarnation: Incarnation,
}

/// What ran where.
#[derive(Clone, Debug)]
pub struct RunInfo {
    /// Id of the caller's attempt.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: RequestPrint,
    /// Organisation; empty where no key is asked for.
    pub organisation: OrganisationId,
    /// Target.
    pub target: TargetIncarnation,
    /// Its address.
    pub address: String,
    /// Its domain.
    pub domain: DomainId,
    /// Its group; empty for a single target.
    pub group: GroupId,
    /// When the request was sent.
    pub sent: Moment,
}

/// How a run ended that brought no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Its connection broke.
    Broken,
    /// Nobody waits for it any more; what became of it is not known.
    Abandoned,
}
