//! Probes targets when this node may be partitioned from all of them, and publishes the result.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::reachability::{
    ProbeRound, Reachability, ReachabilityTracker, TargetSilence, DOUBTFUL_SILENCE,
};
use briarswitch_kernel::{BootClock, Mailbox, Service, ServiceLink};
use indexmap::IndexSet;
use serde_json::{json, Value};

use crate::costs::CostKind;
use crate::shared::FleetShared;
use crate::timer::MAX_TIMER_DELAY;

/// Interval between checks of how long all targets have been silent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out of a probe; a healthy target accepts a connection within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Name of the service.
pub const REACH_SERVICE: &str = "reach";

/// Message to [`ReachMonitor`].
pub enum ReachMessage {
    /// Check whether probes are due.
    Tick,
    /// A connection to a target could not be opened, or broke.
    Failed(TargetId),
    /// Probes have ended.
    Probed(ProbeRound),
}

/// Reports failures of targets to the [`ReachMonitor`].
#[derive(Clone)]
pub struct ReachReporter {
    mailbox: Mailbox<ReachMessage>,
}

impl ReachReporter {
    /// Creates a reporter that posts to the monitor's mailbox.
    pub fn new(mailbox: Mailbox<ReachMessage>) -> Self {
        Self { mailbox }
    }

    /// Reports that a connection to a target could not be opened, or broke.
    pub fn report_failure(&self, target: &TargetId) {
        let message = ReachMessage::Failed(target.clone());
        if let Err(error) = self.mailbox.post(message) {
            log::warn!(error:% = error; "reach_untold");
        }
    }
}

/// Finds out whether this node is partitioned from all targets.
pub struct ReachMonitor {
    shared: Arc<FleetShared>,
    tracker: ReachabilityTracker,
    partitioned_at: Option<Moment>,
}

impl ReachMonitor {
    /// Creates a monitor of a node that reaches targets.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            tracker: ReachabilityTracker::default(),
            partitioned_at: None,
        }
    }

    /// Begins to probe targets if that is due.
    fn check(&mut self, link: &ServiceLink<ReachMessage>) {
        let now = link.now();
        if self.shared.reach.take_request() {
            self.tracker.record_suspicion();
        }
        let heard = self.heard(now);
        let Some(reason) = self.tracker.begin_due(&heard, now) else {
            return;
        };
        self.publish();
        let addresses = self.sample_addresses();
        self.shared.costs.count(CostKind::ReachProbed);
        log::info!(
            reason = reason.name(),
            silence_ms = heard.silence.as_millis() as u64,
            silent = heard.silent_targets,
            probed = addresses.len();
            "reach_doubted"
        );
        let shared = Arc::clone(&self.shared);
        link.spawn(async move { ReachMessage::Probed(probe_all(&shared, &addresses).await) });
    }

    fn heard(&self, now: Moment) -> TargetSilence {
        let gauges = &self.shared.gauges;
        let silence = gauges.silence(now);
        // Counting targets takes time that follows their number.
        let silent_targets = if silence >= DOUBTFUL_SILENCE {
            gauges.silent_targets(DOUBTFUL_SILENCE, now)
        } else {
            0
        };
        TargetSilence {
            silence,
            silent_targets,
            known_targets: self.shared.directory.read().cache.targets().len(),
        }
    }

    /// Returns the addresses of some targets, drawn from all zones and services.
    fn sample_addresses(&self) -> Vec<String> {
        let directory = self.shared.directory.load();
        let targets = directory.cache.targets();
        let size = self.tracker.sample_size().min(targets.len());
        let mut drawn = IndexSet::new();
        while drawn.len() < size {
            drawn.insert(rand::random_range(0..targets.len()));
        }
        let records = drawn.iter().filter_map(|index| targets.get_index(*index));
        records.map(|(_, record)| record.address.clone()).collect()
    }

    fn end_round(&mut self, round: &ProbeRound, now: Moment) {
        let before = self.tracker.state();
        self.tracker.end_round(round, now);
        self.publish();
        match (before, self.tracker.state()) {
            (Reachability::Verifying, Reachability::Partitioned) => {
                self.partitioned_at = Some(now);
                log::warn!(probed = round.probed; "reach_lost");
            }
            (Reachability::Partitioned, Reachability::Reachable) => {
                let since = self.partitioned_at.take().unwrap_or(now);
                self.forgive_targets();
                log::warn!(
                    probed = round.probed,
                    reached = round.reached,
                    away_ms = now.saturating_sub(since).as_millis() as u64;
                    "reach_regained"
                );
            }
            _ => {}
        }
    }

    /// Withdraws the suspicions that a partition caused.
    fn forgive_targets(&self) {
        self.shared.gauges.for_each(|gauge| gauge.clear_suspicion());
    }

    fn publish(&self) {
        let state = self.tracker.state();
        self.shared.reach.publish(state, self.tracker.verified_at());
        let is_partitioned = state == Reachability::Partitioned;
        self.shared.metrics.set_partitioned(is_partitioned);
        self.shared.membership().set_partitioned(is_partitioned);
    }
}

/// Probes targets at the same time.
async fn probe_all(shared: &FleetShared, addresses: &[String]) -> ProbeRound {
    let began = BootClock::now();
    let targets = &shared.platform.targets;
    let probes = addresses
        .iter()
        .map(|address| targets.probe(address, PROBE_TIMEOUT));
    let results = futures::future::join_all(probes).await;
    let took = BootClock::now().saturating_sub(began);
    ProbeRound {
        probed: results.len(),
        reached: results.iter().filter(|result| result.is_ok()).count(),
        is_late: took > PROBE_TIMEOUT + MAX_TIMER_DELAY,
    }
}

impl Service for ReachMonitor {
    type Message = ReachMessage;

    fn name(&self) -> &'static str {
        REACH_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ReachMessage>) {
        self.publish();
        link.send_after(TICK_INTERVAL, ReachMessage::Tick);
    }

    fn handle(&mut self, message: ReachMessage, link: &ServiceLink<ReachMessage>) {
        match message {
            ReachMessage::Tick => link.send_after(TICK_INTERVAL, ReachMessage::Tick),
            ReachMessage::Failed(target) => self.tracker.record_failure(&target, link.now()),
            ReachMessage::Probed(round) => self.end_round(&round, link.now()),
        }
        self.check(link);
    }

    fn dump(&self) -> Value {
        let now = BootClock::now();
        let away = self.partitioned_at;
        json!({
            "state": format!("{:?}", self.tracker.state()),
            "silence_ms": self.shared.gauges.silence(now).as_millis() as u64,
            "partitioned_ms": away.map(|at| now.saturating_sub(at).as_millis() as u64),
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
