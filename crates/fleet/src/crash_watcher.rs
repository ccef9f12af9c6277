//! Finds out whether a target at which a run broke off has ended.
//!
//! A broken connection does not tell: the target may have ended, or only the connection, or the way to it.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_kernel::{Mailbox, Service, ServiceLink};
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::ports::ReportError;
use crate::run_facts::{RunBreak, RunFacts, TargetLife};
use crate::suspect_host::{CrashEvidence, Liveness, SuspectEvent, SuspectHost};
use crate::suspect_sync::{CrashedRun, SuspectMessage};

/// Time to wait for a target's answer; a healthy one takes a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between looks at the directory for targets that did not answer.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the directory drops a target that has ended: three renewals missed, and what it takes to
/// hear of it.
const LAPSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which the directory lists a later life that has begun: a renewal, and what it takes to hear of it.
const RESTART_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which the end of a target has nothing to do any more with a run that nobody waits for.
const ABANDONED_RUN_TTL: Duration = Duration::from_millis(1_500);
/// Time for which an end is remembered, for connections that break late.
const CRASHED_TTL: Duration = Duration::from_secs(10);

/// Name of the watch.
pub const WATCH_SERVICE: &str = "end_watch";

/// What is known of a target at which a run broke off.
#[derive(Debug)]
enum WatchState {
    /// It was asked.
    Probing,
    /// It did not answer; the directory will tell.
    Silent,
    /// Somebody listens at its address, perhaps a later life; the directory will tell.
    Listening,
    /// Runs there were abandoned, which is no reason to ask.
    Unprobed,
    /// It has ended.
    Crashed(CrashEvidence),
}

/// A run that brought no whole answer.
#[derive(Debug)]
struct FailedRun {
    facts: RunFacts,
    failure: RunBreak,
    at: Moment,
}

#[derive(Debug)]
struct WatchedTarget {
    state: WatchState,
    since: Moment,
    runs: Vec<FailedRun>,
}

impl WatchedTarget {
    /// Drops the runs that nobody waited for any more well before a moment.
    fn drop_abandoned_before(&mut self, at: Moment) {
        self.runs
            .retain(|run| run.failure == RunBreak::Broken || at < run.at + ABANDONED_RUN_TTL);
    }
}

/// Message to [`CrashWatcher`].
pub enum CrashWatchMessage {
    /// A run brought no whole answer.
    RunFailed(Box<RunFacts>, RunBreak),
    /// A target answered, or not.
    Probed(TargetLife, Result<Liveness, ReportError>),
    /// Look at what is watched.
    Sweep,
}

/// Watches the targets at which runs broke off.
pub struct CrashWatcher {
    host: Arc<dyn SuspectHost>,
    suspects: Mailbox<SuspectMessage>,
    targets: IndexMap<TargetLife, WatchedTarget>,
    is_sweep_scheduled: bool,
}

impl CrashWatcher {
    /// Opens a watch of nothing that tells `suspects` which requests were under way when a target ended.
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
        facts: RunFacts,
        failure: RunBreak,
        link: &ServiceLink<CrashWatchMessage>,
    ) {
        let now = link.now();
        let incarnation = facts.life.clone();
        let watched = self
            .targets
            .entry(incarnation.clone())
            .or_insert(WatchedTarget {
                state: WatchState::Unprobed,
                since: now,
                runs: Vec::new(),
            });
        let probed_facts = facts.clone();
        watched.runs.push(FailedRun {
            facts,
            failure,
            at: now,
        });
        match watched.state {
            WatchState::Crashed(evidence) => self.record_crash(&incarnation, evidence, now),
            WatchState::Unprobed => {
                watched.drop_abandoned_before(now);
                watched.since = now;
                if failure == RunBreak::Broken {
                    watched.state = WatchState::Probing;
                    self.probe(probed_facts, link);
                }
            }
            WatchState::Probing | WatchState::Silent | WatchState::Listening => {}
        }
        if !self.is_sweep_scheduled {
            self.is_sweep_scheduled = true;
            link.later(SWEEP_INTERVAL, CrashWatchMessage::Sweep);
        }
    }

    fn probe(&self, facts: RunFacts, link: &ServiceLink<CrashWatchMessage>) {
        if !self.host.is_listed(&facts.life) {
            link.spawn(
                async move { CrashWatchMessage::Probed(facts.life, Err(ReportError::Gone)) },
            );
            return;
        }
        let host = Arc::clone(&self.host);
        host.count(SuspectEvent::TargetProbed);
        link.spawn(async move {
            let liveness = host.probe(&facts, PROBE_TIMEOUT).await;
            CrashWatchMessage::Probed(facts.life, liveness)
        });
    }

    fn apply_probe(
        &mut self,
        incarnation: &TargetLife,
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
            Err(ReportError::Gone) => {
                self.record_crash(incarnation, CrashEvidence::OtherIncarnation, now);
            }
            Err(ReportError::Silent | ReportError::Unreadable) => {
                self.set_state(incarnation, WatchState::Silent);
            }
        }
    }

    fn set_state(&mut self, incarnation: &TargetLife, state: WatchState) {
        if let Some(watched) = self.targets.get_mut(incarnation) {
            watched.state = state;
        }
    }

    /// Notes that a life has ended, and with it the runs that were under way there.
    fn record_crash(&mut self, incarnation: &TargetLife, evidence: CrashEvidence, now: Moment) {
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
            let group = runs.first().map_or("", |run| run.facts.group.as_str());
            self.host.count(SuspectEvent::TargetCrashed(evidence));
            log::warn!(
                target_id = incarnation.target.as_str(),
                group = group,
                proof = evidence.name(),
                under_way = runs.len(),
                after_ms = elapsed.as_millis() as u64;
                "target_ended"
            );
        }
        self.exclude_crashed(now);
        let crashed = runs.into_iter().map(|run| CrashedRun {
            ran_for: run.at.saturating_sub(run.facts.sent),
            // A run that was given up says nothing of when its target ended.
            ended_at: match run.failure {
                RunBreak::Broken => run.at,
                RunBreak::Abandoned => now,
            },
            facts: run.facts,
        });
        let message = SuspectMessage::Crashed(crashed.collect());
        if let Err(error) = self.suspects.post(message) {
            log::warn!(error:% = error; "ends_untold");
        }
    }

    /// Keeps new work from lives that have ended, as long as the directory lists them.
    ///
    /// Without requests at work they would look like the targets with the least to do.
    fn exclude_crashed(&self, now: Moment) {
        for (incarnation, watched) in &self.targets {
            if matches!(watched.state, WatchState::Crashed(_)) && self.host.is_listed(incarnation) {
                self.host
                    .exclude_target(&incarnation.target, now + SWEEP_INTERVAL * 2);
            }
        }
    }

    fn sweep(&mut self, now: Moment) {
        let unlisted: Vec<TargetLife> = self
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
            CrashWatchMessage::RunFailed(facts, failure) => {
                self.record_failure(*facts, failure, link);
            }
            CrashWatchMessage::Probed(incarnation, liveness) => {
                self.apply_probe(&incarnation, liveness, link.now());
            }
            CrashWatchMessage::Sweep => {
                self.sweep(link.now());
                self.is_sweep_scheduled = !self.targets.is_empty();
                if self.is_sweep_scheduled {
                    link.later(SWEEP_INTERVAL, CrashWatchMessage::Sweep);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let crashed = self.targets.iter().filter_map(|(incarnation, watched)| {
            let WatchState::Crashed(evidence) = watched.state else {
                return None;
            };
            Some(json!({"target": incarnation.target, "proof": evidence.name()}))
        });
        json!({
            "watched": self.targets.len(),
            "ended": crashed.collect::<Vec<_>>(),
        })
    }
}
