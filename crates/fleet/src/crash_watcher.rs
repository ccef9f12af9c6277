//! Finds out whether a target has crashed after a run of a request there failed.
//!
//! A broken connection does not prove a crash: the target may be gone, or only the connection or
//! the network path to it.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_kernel::{Mailbox, Service, ServiceLink};
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::ports::ReportError;
use crate::run_info::{RunEnd, RunInfo, TargetIncarnation};
use crate::suspect_host::{CrashEvidence, Liveness, SuspectEvent, SuspectHost};
use crate::suspect_sync::{CrashedRun, SuspectMessage};

/// Time-out of a probe; a healthy target responds within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks whether the directory still lists targets that did not respond.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the directory drops a crashed target: three missed renewals, and the time
/// until this node has read the change.
const LAPSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which the directory lists the next incarnation of a target: one renewal, and the
/// time until this node has read the change.
const RESTART_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a crash of the target is no longer attributed to an abandoned run.
const ABANDONED_RUN_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a crash is remembered, for connections that break late.
const CRASHED_TTL: Duration = Duration::from_secs(10);

/// Name of the service.
pub const WATCH_SERVICE: &str = "end_watch";

/// What is known of a target at which a run failed.
#[derive(Debug)]
enum WatchState {
    /// A probe is under way.
    Probing,
    /// It did not respond to the probe; the directory decides.
    Silent,
    /// A process listens at its address, perhaps a later incarnation; the directory decides.
    Listening,
    /// Runs there were only abandoned, which is no reason to probe it.
    Unprobed,
    /// It has crashed.
    Crashed(CrashEvidence),
}

/// A run without a complete response.
#[derive(Debug)]
struct FailedRun {
    info: RunInfo,
    failure: RunEnd,
    at: Moment,
}

#[derive(Debug)]
struct WatchedTarget {
    state: WatchState,
    /// When the failure or crash was noticed from which the time-outs of the state count.
    since: Moment,
    runs: Vec<FailedRun>,
}

impl WatchedTarget {
    /// Drops the runs that were abandoned at least [`ABANDONED_RUN_TTL`] before a moment.
    fn drop_abandoned_before(&mut self, at: Moment) {
        self.runs
            .retain(|run| run.failure == RunEnd::Broken || at < run.at + ABANDONED_RUN_TTL);
    }
}

/// Message to [`CrashWatcher`].
pub enum CrashWatchMessage {
    /// A run ended without a complete response.
    RunFailed(Box<RunInfo>, RunEnd),
    /// A probe of a target has finished.
    Probed(TargetIncarnation, Result<Liveness, ReportError>),
    /// Check the watched targets against the directory.
    Sweep,
}

/// Watches the targets at which runs failed.
pub struct CrashWatcher {
    host: Arc<dyn SuspectHost>,
    suspects: Mailbox<SuspectMessage>,
    targets: IndexMap<TargetIncarnation, WatchedTarget>,
    is_sweep_scheduled: bool,
}

impl CrashWatcher {
    /// Creates a watcher that notifies `suspects` of the requests that were running when a target
    /// crashed.
    pub fn new(host: Arc<dyn SuspectHost>, suspects: Mailbox<SuspectMessage>) -> Self {
        Self {
            host,
            suspects,
            targets: IndexMap::new(),
            is_sweep_scheduled: false,
        }
    }

    fn record_failure(
        &mut self,
        info: RunInfo,
        failure: RunEnd,
        link: &ServiceLink<CrashWatchMessage>,
    ) {
        let now = link.now();
        let incarnation = info.target.clone();
        let watched = self
            .targets
            .entry(incarnation.clone())
            .or_insert(WatchedTarget {
                state: WatchState::Unprobed,
                since: now,
                runs: Vec::new(),
            });
        let probed_run = info.clone();
        watched.runs.push(FailedRun {
            info,
            failure,
            at: now,
        });
        match watched.state {
            WatchState::Crashed(evidence) => self.record_crash(&incarnation, evidence, now),
            WatchState::Unprobed => {
                watched.drop_abandoned_before(now);
                watched.since = now;
                if failure == RunEnd::Broken {
                    watched.state = WatchState::Probing;
                    self.probe(probed_run, link);
                }
            }
            WatchState::Probing | WatchState::Silent | WatchState::Listening => {}
        }
        if !self.is_sweep_scheduled {
            self.is_sweep_scheduled = true;
            link.send_after(SWEEP_INTERVAL, CrashWatchMessage::Sweep);
        }
    }

    fn probe(&self, info: RunInfo, link: &ServiceLink<CrashWatchMessage>) {
        if !self.host.is_listed(&info.target) {
            link.spawn(async move {
                CrashWatchMessage::Probed(info.target, Err(ReportError::OtherIncarnation))
            });
            return;
        }
        let host = Arc::clone(&self.host);
        host.count(SuspectEvent::TargetProbed);
        link.spawn(async move {
            let liveness = host.probe(&info, PROBE_TIMEOUT).await;
            CrashWatchMessage::Probed(info.target, liveness)
        });
    }

    fn apply_probe(
        &mut self,
        incarnation: &TargetIncarnation,
        liveness: Result<Liveness, ReportError>,
        now: Moment,
    ) {
        match liveness {
            Ok(Liveness::Alive) => {
                self.targets.swap_remove(incarnation);
            }
            Ok(Liveness::Listening) => self.set_state(incarnation, WatchState::Listening),
            Err(ReportError::Refused) => {
                self.record_crash(incarnation, CrashEvidence::Refused, now);
            }
            Err(ReportError::OtherIncarnation) => {
                self.record_crash(incarnation, CrashEvidence::OtherIncarnation, now);
            }
            Err(ReportError::NoResponse | ReportError::Unreadable) => {
                self.set_state(incarnation, WatchState::Silent);
            }
        }
    }

    fn set_state(&mut self, incarnation: &TargetIncarnation, state: WatchState) {
        if let Some(watched) = self.targets.get_mut(incarnation) {
            watched.state = state;
        }
    }

    /// Records that an incarnation of a target has crashed, together with the runs that were active
    /// there.
    fn record_crash(
        &mut self,
        incarnation: &TargetIncarnation,
        evidence: CrashEvidence,
        now: Moment,
    ) {
        let Some(watched) = self.targets.get_mut(incarnation) else {
            return;
        };
        watched.drop_abandoned_before(watched.since);
        let runs = std::mem::take(&mut watched.runs);
        let is_new = !matches!(watched.state, WatchState::Crashed(_));
        watched.state = WatchState::Crashed(evidence);
        if is_new {
            let elapsed = now.saturating_sub(watched.since);
            watched.since = now;
            let group = runs.first().map_or("", |run| run.info.group.as_str());
            self.host.count(SuspectEvent::TargetCrashed(evidence));
            log::warn!(
                target_id = incarnation.id.as_str(),
                group = group,
                proof = evidence.name(),
                under_way = runs.len(),
                after_ms = elapsed.as_millis() as u64;
                "target_ended"
            );
        }
        self.exclude_crashed(now);
        let crashed = runs.into_iter().map(|run| CrashedRun {
            ran_for: run.at.saturating_sub(run.info.sent),
            // An abandoned run does not show when its target crashed.
            crashed_at: match run.failure {
                RunEnd::Broken => run.at,
                RunEnd::Abandoned => now,
            },
            is_broken: run.failure == RunEnd::Broken,
            info: run.info,
        });
        let message = SuspectMessage::Crashed(crashed.collect());
        if let Err(error) = self.suspects.post(message) {
            log::warn!(error:% = error; "ends_untold");
        }
    }

    /// Excludes crashed targets from new work as long as the directory lists them.
    ///
    /// Since they have no active requests, they would otherwise look like the least loaded targets.
    fn exclude_crashed(&self, now: Moment) {
        for (incarnation, watched) in &self.targets {
            if matches!(watched.state, WatchState::Crashed(_)) && self.host.is_listed(incarnation) {
                self.host
                    .exclude_target(&incarnation.id, now + SWEEP_INTERVAL * 2);
            }
        }
    }

    fn sweep(&mut self, now: Moment) {
        let unlisted: Vec<TargetIncarnation> = self
            .targets
            .iter()
            .filter(|(incarnation, watched)| {
                let is_settled =
                    matches!(watched.state, WatchState::Probing | WatchState::Crashed(_));
                !is_settled && !self.host.is_listed(incarnation)
            })
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in unlisted {
            self.record_crash(&incarnation, CrashEvidence::Unlisted, now);
        }
        self.exclude_crashed(now);
        self.targets.retain(|_, watched| {
            let ttl = match watched.state {
                WatchState::Unprobed => ABANDONED_RUN_TTL,
                WatchState::Listening => RESTART_TIMEOUT,
                WatchState::Probing | WatchState::Silent => LAPSE_TIMEOUT,
                WatchState::Crashed(_) => CRASHED_TTL,
            };
            now < watched.since + ttl
        });
    }
}

impl Service for CrashWatcher {
    type Message = CrashWatchMessage;

    fn name(&self) -> &'static str {
        WATCH_SERVICE
    }

    fn start(&mut self, _link: &ServiceLink<CrashWatchMessage>) {}

    fn handle(&mut self, message: CrashWatchMessage, link: &ServiceLink<CrashWatchMessage>) {
        match message {
            CrashWatchMessage::RunFailed(info, failure) => {
                self.record_failure(*info, failure, link);
            }
            CrashWatchMessage::Probed(incarnation, liveness) => {
                self.apply_probe(&incarnation, liveness, link.now());
            }
            CrashWatchMessage::Sweep => {
                self.sweep(link.now());
                self.is_sweep_scheduled = !self.targets.is_empty();
                if self.is_sweep_scheduled {
                    link.send_after(SWEEP_INTERVAL, CrashWatchMessage::Sweep);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let crashed = self.targets.iter().filter_map(|(incarnation, watched)| {
            let WatchState::Crashed(evidence) = watched.state else {
                return None;
            };
            Some(json!({"target": incarnation.id, "proof": evidence.name()}))
        });
        json!({
            "watched": self.targets.len(),
            "ended": crashed.collect::<Vec<_>>(),
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.host), self.suspects.clone())
    }
}
