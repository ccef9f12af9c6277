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
use crate::run_info::{RunEnd, RunInfo, TargetIncarnation};
use crate::suspect_host::{EndProof, LifeSign, SuspectEvent, SuspectHost};
use crate::suspect_keeper::{FatalRun, SuspectMessage};

/// Time to wait for a target's answer; a healthy one takes a few milliseconds.
const CHECK_TIME: Duration = Duration::from_millis(400);
/// Time between looks at the directory for targets that did not answer.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the directory drops a target that has ended: three renewals missed, and what it takes to
/// hear of it.
const LAPSE_TIME: Duration = Duration::from_secs(6);
/// Time within which the directory lists a later life that has begun: a renewal, and what it takes to hear of it.
const REBIRTH_TIME: Duration = Duration::from_millis(2_500);
/// Time after which the end of a target has nothing to do any more with a run that nobody waits for.
const ABANDONED_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an end is remembered, for connections that break late.
const ENDED_TIME: Duration = Duration::from_secs(10);

/// Name of the watch.
pub const WATCH_SERVICE: &str = "end_watch";

/// What is known of a target at which a run broke off.
#[derive(Debug)]
enum LifeState {
    /// It was asked.
    Asked,
    /// It did not answer; the directory will tell.
    Silent,
    /// Somebody listens at its address, perhaps a later life; the directory will tell.
    Listening,
    /// Runs there were abandoned, which is no reason to ask.
    Unasked,
    /// It has ended.
    Ended(EndProof),
}

/// A run that brought no whole answer.
#[derive(Debug)]
struct BrokenRun {
    facts: RunInfo,
    end: RunEnd,
    at: Moment,
}

#[derive(Debug)]
struct WatchedLife {
    state: LifeState,
    since: Moment,
    runs: Vec<BrokenRun>,
}

impl WatchedLife {
    /// Drops the runs that nobody waited for any more well before a moment.
    fn drop_abandoned(&mut self, at: Moment) {
        self.runs
            .retain(|run| run.end == RunEnd::Broken || at < run.at + ABANDONED_TIME);
    }
}

/// Message to [`EndWatch`].
pub enum WatchMessage {
    /// A run brought no whole answer.
    Ended(Box<RunInfo>, RunEnd),
    /// A target answered, or not.
    Checked(TargetIncarnation, Result<LifeSign, ReportError>),
    /// Look at what is watched.
    Look,
}

/// Watches the targets at which runs broke off.
pub struct EndWatch {
    host: Arc<dyn SuspectHost>,
    suspects: Mailbox<SuspectMessage>,
    lives: IndexMap<TargetIncarnation, WatchedLife>,
    is_looking: bool,
}

impl EndWatch {
    /// Opens a watch of nothing that tells `suspects` which requests were under way when a target ended.
    pub fn open(host: Arc<dyn SuspectHost>, suspects: Mailbox<SuspectMessage>) -> Self {
        Self {
            host,
            suspects,
            lives: IndexMap::new(),
            is_looking: false,
        }
    }

    fn take(&mut self, facts: RunInfo, end: RunEnd, link: &ServiceLink<WatchMessage>) {
        let now = link.now();
        let life = facts.target.clone();
        let watched = self.lives.entry(life.clone()).or_insert(WatchedLife {
            state: LifeState::Unasked,
            since: now,
            runs: Vec::new(),
        });
        let check = facts.clone();
        watched.runs.push(BrokenRun {
            facts,
            end,
            at: now,
        });
        match watched.state {
            LifeState::Ended(proof) => self.note_end(&life, proof, now),
            LifeState::Unasked => {
                watched.drop_abandoned(now);
                watched.since = now;
                if end == RunEnd::Broken {
                    watched.state = LifeState::Asked;
                    self.check(check, link);
                }
            }
            LifeState::Asked | LifeState::Silent | LifeState::Listening => {}
        }
        if !self.is_looking {
            self.is_looking = true;
            link.later(LOOK_INTERVAL, WatchMessage::Look);
        }
    }

    fn check(&self, facts: RunInfo, link: &ServiceLink<WatchMessage>) {
        if !self.host.is_listed(&facts.target) {
            link.spawn(async move {
                WatchMessage::Checked(facts.target, Err(ReportError::OtherIncarnation))
            });
            return;
        }
        let host = Arc::clone(&self.host);
        host.note(SuspectEvent::EndChecked);
        link.spawn(async move {
            let sign = host.life_sign(&facts, CHECK_TIME).await;
            WatchMessage::Checked(facts.target, sign)
        });
    }

    fn take_check(
        &mut self,
        life: &TargetIncarnation,
        answer: Result<LifeSign, ReportError>,
        now: Moment,
    ) {
        match answer {
            Ok(LifeSign::Lives) => {
                self.lives.swap_remove(life);
            }
            Ok(LifeSign::Listens) => self.set_state(life, LifeState::Listening),
            Err(ReportError::Refused) => self.note_end(life, EndProof::Refused, now),
            Err(ReportError::OtherIncarnation) => self.note_end(life, EndProof::OtherLife, now),
            Err(ReportError::NoResponse | ReportError::Unreadable) => {
                self.set_state(life, LifeState::Silent);
            }
        }
    }

    fn set_state(&mut self, life: &TargetIncarnation, state: LifeState) {
        if let Some(watched) = self.lives.get_mut(life) {
            watched.state = state;
        }
    }

    /// Notes that a life has ended, and with it the runs that were under way there.
    fn note_end(&mut self, life: &TargetIncarnation, proof: EndProof, now: Moment) {
        let Some(watched) = self.lives.get_mut(life) else {
            return;
        };
        watched.drop_abandoned(watched.since);
        let runs = std::mem::take(&mut watched.runs);
        let is_news = !matches!(watched.state, LifeState::Ended(_));
        watched.state = LifeState::Ended(proof);
        if is_news {
            let after = now.saturating_sub(watched.since);
            watched.since = now;
            let group = runs.first().map_or("", |run| run.facts.group.as_str());
            self.host.note(SuspectEvent::TargetEnded(proof));
            log::warn!(
                target_id = life.id.as_str(),
                group = group,
                proof = proof.name(),
                under_way = runs.len(),
                after_ms = after.as_millis() as u64;
                "target_ended"
            );
        }
        self.keep_work_away(now);
        let fatal = runs.into_iter().map(|run| FatalRun {
            ran: run.at.saturating_sub(run.facts.sent),
            // A run that was given up says nothing of when its target ended.
            ended: match run.end {
                RunEnd::Broken => run.at,
                RunEnd::Abandoned => now,
            },
            facts: run.facts,
        });
        let message = SuspectMessage::Ended(fatal.collect());
        if let Err(error) = self.suspects.post(message) {
            log::warn!(error:% = error; "ends_untold");
        }
    }

    /// Keeps new work from lives that have ended, as long as the directory lists them.
    ///
    /// Without requests at work they would look like the targets with the least to do.
    fn keep_work_away(&self, now: Moment) {
        for (life, watched) in &self.lives {
            if matches!(watched.state, LifeState::Ended(_)) && self.host.is_listed(life) {
                self.host.keep_away(&life.id, now + LOOK_INTERVAL * 2);
            }
        }
    }

    fn look(&mut self, now: Moment) {
        let silent: Vec<TargetIncarnation> = self
            .lives
            .iter()
            .filter(|(life, watched)| {
                let is_over = matches!(watched.state, LifeState::Asked | LifeState::Ended(_));
                !is_over && !self.host.is_listed(life)
            })
            .map(|(life, _)| life.clone())
            .collect();
        for life in silent {
            self.note_end(&life, EndProof::Unlisted, now);
        }
        self.keep_work_away(now);
        self.lives.retain(|_, watched| {
            let limit = match watched.state {
                LifeState::Unasked => ABANDONED_TIME,
                LifeState::Listening => REBIRTH_TIME,
                LifeState::Asked | LifeState::Silent => LAPSE_TIME,
                LifeState::Ended(_) => ENDED_TIME,
            };
            now < watched.since + limit
        });
    }
}

impl Service for EndWatch {
    type Message = WatchMessage;

    fn name(&self) -> &'static str {
        WATCH_SERVICE
    }

    fn start(&mut self, _link: &ServiceLink<WatchMessage>) {}

    fn handle(&mut self, message: WatchMessage, link: &ServiceLink<WatchMessage>) {
        match message {
            WatchMessage::Ended(facts, end) => self.take(*facts, end, link),
            WatchMessage::Checked(life, answer) => self.take_check(&life, answer, link.now()),
            WatchMessage::Look => {
                self.look(link.now());
                self.is_looking = !self.lives.is_empty();
                if self.is_looking {
                    link.later(LOOK_INTERVAL, WatchMessage::Look);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let ended = self.lives.iter().filter_map(|(life, watched)| {
            let LifeState::Ended(proof) = watched.state else {
                return None;
            };
            Some(json!({"target": life.id, "proof": proof.name()}))
        });
        json!({
            "watched": self.lives.len(),
            "ended": ended.collect::<Vec<_>>(),
        })
    }
}
