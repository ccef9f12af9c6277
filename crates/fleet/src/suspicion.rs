//! Keeps new work from targets that fall silent or refuse connections, and has them looked at.

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::silence::{silence_limit, GroupWork};
use briarswitch_kernel::Mailbox;

use crate::job::RequestJob;
use crate::peers::{PeerMessage, SilentTarget};
use crate::table::RouteTarget;

/// Least time without an answer after which a request that may be repeated is sent elsewhere.
const MIN_REROUTE_DELAY: Duration = Duration::from_millis(500);
/// Time for which a silent target gets no new work.
const SUSPICION_TTL: Duration = Duration::from_millis(900);

/// Returns the time without an answer after which a request is worth sending elsewhere, if it may be.
pub fn reroute_delay(job: &RequestJob) -> Duration {
    (job.rule.objective * 2).max(MIN_REROUTE_DELAY)
}

/// Returns the silence of a target after which it has lost a member or is cut off.
pub fn silence_limit_for(job: &RequestJob, target: &RouteTarget) -> Duration {
    let model = target.group.as_ref().and_then(|group| {
        let engine = job.engine()?;
        Some((engine, engine.models.get(&group.model)?))
    });
    let Some((engine, model)) = model else {
        return reroute_delay(job);
    };
    let gauge = &target.gauge;
    let work = GroupWork {
        writers: gauge.writers(),
        own: gauge.own(),
        unread: gauge.unread_requests(),
        unread_tokens: gauge.unread(),
        interval: gauge.interval(),
    };
    silence_limit(engine, model, &work)
}

/// Suspects targets, and tells those that give their groups orders.
pub struct SuspicionReporter {
    peers: Mailbox<PeerMessage>,
}

impl SuspicionReporter {
    /// Opens a teller that tells `peers` of targets that fall silent.
    pub fn new(peers: Mailbox<PeerMessage>) -> Self {
        Self { peers }
    }

    /// Keeps new work from a target that fell silent, and has it looked at.
    pub fn suspect(&self, target: &RouteTarget, now: Moment) {
        if !target.gauge.is_suspect(now) {
            log::warn!(
                target_id = target.id.as_str(),
                group = target.group.as_ref().map_or("", |group| group.id.as_str()),
                silence_ms = target.gauge.silence(now).as_millis() as u64,
                writers = target.gauge.writers();
                "target_suspected"
            );
            self.report_suspicion(target);
        }
        target.gauge.suspect(now + SUSPICION_TTL);
    }

    /// Has the node told that gives the group its orders; a single target has none.
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
