//! Finds out whether a body is complete that ended with its connection.
//!
//! The connections of a process that crashes end in the same way, so its target is asked whether it is still alive.

use std::time::Duration;

use briarswitch_http::{BodyEnd, BodyError, WholeBody};
use briarswitch_kernel::BootClock;
use bytes::Bytes;

use crate::ports::ReportError;
use crate::run::TargetRun;
use crate::run_info::RunInfo;
use crate::suspect_host::{SuspectEvent, SuspectHost};

/// Time within which a crashing process has closed its listener as well as its connections.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Time-out of the check; a healthy target responds within a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the body of a run's response if it is complete.
///
/// # Errors
///
/// Returns [`BodyError::Incomplete`] if it is not, or if that cannot be found out.
pub async fn complete_body(
    host: &dyn SuspectHost,
    run: &TargetRun,
    body: WholeBody,
) -> Result<Bytes, BodyError> {
    let is_complete = is_complete(host, run, body.end).await;
    is_complete
        .then_some(body.bytes)
        .ok_or(BodyError::Incomplete)
}

/// Returns whether the body of a run's response is complete, given how its end was recognised.
///
/// It is not if that cannot be found out: a caller can repeat a request whose response is visibly broken, but not one
/// whose response looks complete.
pub async fn is_complete(host: &dyn SuspectHost, run: &TargetRun, end: BodyEnd) -> bool {
    match (end, run.info()) {
        (BodyEnd::Marked, _) => true,
        (BodyEnd::Closed, Some(run)) => is_alive(host, run).await,
        (BodyEnd::Closed, None) => false,
    }
}

/// Returns whether the target of a run is alive after its connection has ended.
async fn is_alive(host: &dyn SuspectHost, run: &RunInfo) -> bool {
    let ended_at = BootClock::now();
    tokio::time::sleep(SETTLE_TIME).await;
    host.count(SuspectEvent::TargetProbed);
    let probed = host.probe_once(run, CHECK_TIMEOUT).await;
    // Something that responds listens there, as for a target that does not report its incarnation.
    let is_alive = matches!(probed, Ok(_) | Err(ReportError::Unreadable));
    log::info!(
        request = run.request.as_str(),
        target_id = run.target.id.as_str(),
        group = run.group.as_str(),
        complete = is_alive,
        took_ms = BootClock::now().saturating_sub(ended_at).as_millis() as u64;
        "end_checked"
    );
    is_alive
}
