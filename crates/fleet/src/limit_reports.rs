//! Limits of targets, as nodes learn of them from responses and from each other.

use briarswitch_core::stated_limit::LimitChange;
use briarswitch_kernel::BootClock;
use briarswitch_membership::Gossip;

use crate::gauge::TargetGauge;
use crate::shared::FleetShared;

/// How a node learned of a change of a target's limit.
#[derive(Clone, Copy, Debug)]
pub enum LimitSource<'a> {
    /// From the response to a request with this id.
    Response(&'a str),
    /// From another node.
    Peer,
}

impl<'a> LimitSource<'a> {
    fn name(self) -> &'static str {
        match self {
            Self::Response(_) => "response",
            Self::Peer => "peer",
        }
    }

    fn request(self) -> &'a str {
        match self {
            Self::Response(request) => request,
            Self::Peer => "",
        }
    }
}

/// Logs and counts that this node has learned of a change of a target's limit.
pub fn log_change(
    shared: &FleetShared,
    target: &str,
    gauge: &TargetGauge,
    change: LimitChange,
    source: LimitSource<'_>,
) {
    shared.metrics.count_limit_change(change);
    let limit = gauge.limit_with_age(BootClock::now());
    log::info!(
        target_id = target,
        heard = source.name(),
        request = source.request(),
        change = change.name(),
        per_second = limit.map_or(0.0, |(limit, _)| limit.rate()),
        age_ms = limit.map_or(0, |(_, age)| age.as_millis() as u64);
        "target_limit_changed"
    );
}

/// Applies what other nodes have heard about the limits of targets.
pub fn apply_reports(shared: &FleetShared, gossip: &Gossip) {
    let now = BootClock::now();
    for report in &gossip.digest.limits {
        let gauge = shared.gauges.get(&report.target);
        let age = report.age + gossip.digest.age;
        if let Some(change) = gauge.record_limit_report(report.limit, age, now) {
            log_change(shared, &report.target, &gauge, change, LimitSource::Peer);
        }
    }
}
