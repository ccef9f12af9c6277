//! Finds out whether a body is complete that ended with its connection.
//!
//! The connections of a process that crashes end in the same way, so its target is asked whether it is still alive.

use std::time::Duration;

use briarswitch_http::BodyEnd;
use briarswitch_kernel::BootClock;

use crate::ports::ReportError;
use crate::run_info::RunInfo;
use crate::suspect_host::{SuspectEvent, SuspectHost};

/// Time within which a crashing process has closed its listener as well as its connections.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Time-out of the check; a healthy target responds within a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns whether the body of a run's response is complete.
///
/// It is not if that cannot be found out: a caller can repeat a request whose response is visibly broken, but not one
/// whose response looks complete.
pub async fn is_complete(host: &dyn SuspectHost, run: &RunInfo, end: BodyEnd) -> bool {
    if end == BodyEnd::Marked {
        return true;
    }
    let ended_at = BootClock::now();
    tokio::time::sleep(SETTLE_TIME).await;
    host.count(SuspectEvent::TargetProbed);
    let probed = host.probe_once(run, CHECK_TIMEOUT).await;
    // Something that responds listens there, as for a target that does not report its incarnation.
    let is_complete = matches!(probed, Ok(_) | Err(ReportError::Unreadable));
    log::info!(
        request = run.request.as_str(),
        target_id = run.target.id.as_str(),
        group = run.group.as_str(),
        complete = is_complete,
        took_ms = BootClock::now().saturating_sub(ended_at).as_millis() as u64;
        "end_checked"
    );
    is_complete
}
