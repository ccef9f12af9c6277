//! Judges the speed of targets, exchanges ratios with other nodes, and keeps requests away from slow targets.

use std::sync::Arc;

use briarswitch_core::id::*;
use briarswitch_core::speed::{median_ratio, slow_set, JudgedSpeed, SpeedReport};
use briarswitch_membership::Gossip;

use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;
use crate::target_speed::rounded;

/// Nodes that send probe requests to a slow target: the first by rank, and two in its place.
const PROBING_NODES: usize = 3;

/// Judges the targets of each service, and the groups of each model, against each other.
pub fn judge_speeds(shared: &FleetShared, now: Moment) {
    if !shared.settings.load_control.observes_speed {
        return;
    }
    let table = shared.routing_table.load();
    let slow = table
        .choices()
        .map(|(service, targets)| judge(service, targets, now));
    let slow: usize = slow.sum();
    shared.metrics.set_slow_targets(slow);
}

/// Judges the targets among which requests choose; returns how many are slow.
fn judge(service: &str, targets: &[Arc<RouteTarget>], now: Moment) -> usize {
    let judged = |target: &Arc<RouteTarget>| {
        let group = target.group.as_ref().map(|group| &group.id);
        target.gauge.speed().judged(group, now)
    };
    let speeds: Vec<JudgedSpeed> = targets.iter().map(judged).collect();
    let median = median_ratio(&speeds);
    let slow = slow_set(&speeds);
    for ((target, speed), is_slow) in targets.iter().zip(&speeds).zip(&slow) {
        if target.gauge.speed().publish(speed, median, *is_slow) {
            log_change(service, target, speed, median, *is_slow);
        }
    }
    slow.iter().filter(|is_slow| **is_slow).count()
}

fn log_change(
    service: &str,
    target: &RouteTarget,
    speed: &JudgedSpeed,
    median: f64,
    is_slow: bool,
) {
    let group = target.group.as_ref().map_or("", |group| group.id.as_str());
    if is_slow {
        log::warn!(
            target_id = target.id.as_str(),
            group = group,
            service = service,
            ratio = rounded(speed.relative(median)),
            own_ratio = rounded(speed.own),
            peer_ratio = rounded(speed.reported),
            median = rounded(median);
            "target_slow"
        );
    } else {
        log::info!(
            target_id = target.id.as_str(),
            group = group,
            service = service,
            ratio = rounded(speed.relative(median));
            "target_speed_normal"
        );
    }
}

/// Returns what this node reports about slow targets; nothing while it is not certain to reach targets.
pub fn speed_reports(shared: &FleetShared, now: Moment) -> Vec<SpeedReport> {
    if !shared.settings.load_control.observes_speed || !shared.reach.is_reachable() {
        return Vec::new();
    }
    shared.gauges.speed_reports(now)
}

/// Applies what other nodes have observed of slow targets.
pub fn apply_speed_reports(shared: &FleetShared, gossip: &Gossip, now: Moment) {
    if !shared.settings.load_control.observes_speed {
        return;
    }
    for report in gossip.speeds() {
        let gauge = shared.gauges.get(&report.target);
        gauge.speed().record_report(report.ratio, report.age, now);
    }
}

/// Returns the slow target that is due for a probe request and has a free slot, if there is one.
pub fn due_probe<'a>(
    shared: &FleetShared,
    candidates: &[&'a Arc<RouteTarget>],
    slots: Option<u32>,
    now: Moment,
) -> Option<&'a Arc<RouteTarget>> {
    let mut slow = candidates
        .iter()
        .filter(|target| target.gauge.speed().is_slow());
    let probed = slow.find(|target| {
        let gauge = &target.gauge;
        let is_free = gauge.estimated_load(now) < slots.unwrap_or(target.slots.max(1));
        let rank = || {
            let live = shared.live_view.read();
            live.holders_of(&target.id, PROBING_NODES).own_rank
        };
        is_free && !gauge.is_queueing(now) && gauge.speed().is_probe_due(now, rank)
    });
    probed.copied()
}

/// Returns the candidates without slow targets, or all of them if no others are left.
pub fn without_slow(candidates: Vec<&Arc<RouteTarget>>) -> Vec<&Arc<RouteTarget>> {
    let is_normal = |target: &&Arc<RouteTarget>| !target.gauge.speed().is_slow();
    let normal = candidates.iter().filter(|target| is_normal(target)).count();
    if normal == 0 || normal == candidates.len() {
        return candidates;
    }
    candidates.into_iter().filter(is_normal).collect()
}
