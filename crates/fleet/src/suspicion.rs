//! Excludes targets that fall silent or refuse connections from new work, and has their groups
//! checked.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::silence::{silence_limit, GroupActivity};
use briarswitch_kernel::Mailbox;

use crate::job::RequestJob;
use crate::peers::{PeerMessage, SilentTarget};
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;

/// Minimum time without a response after which a request that may be repeated is sent to another
/// target.
const MIN_REROUTE_DELAY: Duration = Duration::from_millis(500);
/// Time for which a silent target gets no new work.
const SUSPICION_TTL: Duration = Duration::from_millis(900);

/// Returns the time without a response after which a request is better sent to another target, if
/// it may be.
pub fn reroute_delay(job: &RequestJob) -> Duration {
    (job.rule.objective * 2).max(MIN_REROUTE_DELAY)
}

/// Returns the silence of a target after which it counts as having lost a member or being
/// partitioned.
pub fn silence_limit_for(job: &RequestJob, target: &RouteTarget) -> Duration {
    let model = target.group.as_ref().and_then(|group| {
        let engine = job.engine()?;
        Some((engine, engine.models.get(&group.model)?))
    });
    let Some((engine, model)) = model else {
        return reroute_delay(job);
    };
    let gauge = &target.gauge;
    let activity = GroupActivity {
        active_requests: gauge.active_requests(),
        local_requests: gauge.local_requests(),
        prefill_requests: gauge.prefill_requests(),
        prefill_tokens: gauge.prefill_tokens(),
        max_interval: gauge.max_activity_gap(),
    };
    silence_limit(engine, model, &activity)
}

/// Marks targets as suspect and reports them to the nodes that control their groups.
pub struct SuspicionReporter {
    shared: Arc<FleetShared>,
    peers: Mailbox<PeerMessage>,
}

impl SuspicionReporter {
    /// Creates a reporter that sends silent targets to `peers`.
    pub fn new(shared: Arc<FleetShared>, peers: Mailbox<PeerMessage>) -> Self {
        Self { shared, peers }
    }

    /// Excludes a silent target from new work and has its group checked.
    ///
    /// While this node may be partitioned, that waits for the probes: other nodes would exclude healthy targets.
    pub fn suspect(&self, target: &RouteTarget, now: Moment) {
        if self.shared.doubts_reach(now) {
            if !self.shared.reach.is_partitioned() {
                self.shared.reach.request_verification();
                return;
            }
        } else if !target.gauge.is_suspect(now) {
            log::warn!(
                target_id = target.id.as_str(),
                group = target.group.as_ref().map_or("", |group| group.id.as_str()),
                silence_ms = target.gauge.silence(now).as_millis() as u64,
                writers = target.gauge.active_requests();
                "target_suspected"
            );
            self.report_suspicion(target);
        }
        target.gauge.suspect(now + SUSPICION_TTL);
    }

    /// Has the target reported to the node that controls its group; a target without a group has
    /// none.
    fn report_suspicion(&self, target: &RouteTarget) {
        if target.group.is_none() {
            return;
        }
        let silent = SilentTarget {
            target: target.id.clone(),
            domain: target.domain.clone(),
            zone: target.zone.clone(),
        };
        if let Err(error) = self.peers.post(PeerMessage::Suspected(silent)) {
            log::warn!(target_id = target.id.as_str(), error:% = error; "suspicion_dropped");
        }
    }
}
