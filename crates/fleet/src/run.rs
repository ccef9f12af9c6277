//! One run of a request at a target, from its sending to its end.

use briarswitch_core::id::*;
use briarswitch_core::print::RequestPrint;
use briarswitch_kernel::{BootClock, Mailbox};

use crate::end_watch::WatchMessage;
use crate::job::RequestJob;
use crate::suspect_keeper::SuspectMessage;
use crate::suspects::SuspectBoard;
use crate::table::RouteTarget;

/// One life of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetLife {
    /// Name.
    pub target: TargetId,
    /// Life under that name; zero where the target does not say.
    pub incarnation: Incarnation,
}

/// What ran where.
#[derive(Clone, Debug)]
pub struct RunFacts {
    /// Id of the caller's attempt.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub print: RequestPrint,
    /// Organisation; empty where no key is asked for.
    pub organisation: OrganisationId,
    /// Target.
    pub life: TargetLife,
    /// Its address.
    pub address: String,
    /// Its domain.
    pub domain: DomainId,
    /// Its group; empty for a single target.
    pub group: GroupId,
    /// When the request was sent.
    pub sent: Moment,
}

/// How a run ended that brought no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunBreak {
    /// Its connection broke.
    Broken,
    /// Nobody waits for it any more; what became of it is not known.
    Abandoned,
}

/// A run under way; whatever becomes of it, the watch of targets hears of a run that brought no whole answer.
///
/// Dropped without a word it counts as abandoned: the caller left, or the request was moved elsewhere. A target
/// that ends in the next moment may have ended because of it.
pub struct TargetRun {
    facts: Option<RunFacts>,
    reports: RunReports,
}

/// Who is told how runs end.
#[derive(Clone)]
pub struct RunReports {
    /// Hears of runs that brought no whole answer.
    pub watch: Mailbox<WatchMessage>,
    /// Hears of whole answers to requests under which targets have ended.
    pub suspects: Mailbox<SuspectMessage>,
}

impl TargetRun {
    /// Begins a run.
    pub fn open(job: &RequestJob, target: &RouteTarget, sent: Moment, reports: RunReports) -> Self {
        let group = target.group.as_ref().map(|group| group.id.clone());
        let facts = RunFacts {
            request: job.ask.attempt.clone(),
            print: job.print,
            organisation: job.organisation.clone().unwrap_or_default(),
            life: TargetLife {
                target: target.id.clone(),
                incarnation: target.incarnation,
            },
            address: target.address.clone(),
            domain: target.domain.clone(),
            group: group.unwrap_or_default(),
            sent,
        };
        Self {
            facts: Some(facts),
            reports,
        }
    }

    /// Notes that the target gave an answer that is none of success, or never had the request.
    pub fn settle(&mut self) {
        self.facts = None;
    }

    /// Notes that the target gave its whole answer; the request did not end it, and so is cleared of earlier ends.
    pub fn complete(&mut self, board: &SuspectBoard) {
        let Some(facts) = self.facts.take() else {
            return;
        };
        if board.has_ends(&facts.print) {
            let message = SuspectMessage::Completed(facts.print);
            if let Err(error) = self.reports.suspects.post(message) {
                log::warn!(error:% = error; "run_untold");
            }
        }
    }

    /// Notes that the connection broke.
    pub fn broke(&mut self, reason: &'static str) {
        let Some(facts) = self.facts.take() else {
            return;
        };
        log::info!(
            request = facts.request.as_str(),
            print:% = facts.print,
            target_id = facts.life.target.as_str(),
            group = facts.group.as_str(),
            reason = reason,
            ran_ms = BootClock::now().saturating_sub(facts.sent).as_millis() as u64;
            "run_broken"
        );
        self.tell(facts, RunBreak::Broken);
    }

    fn tell(&self, facts: RunFacts, end: RunBreak) {
        let message = WatchMessage::Ended(Box::new(facts), end);
        if let Err(error) = self.reports.watch.post(message) {
            log::warn!(error:% = error; "run_untold");
        }
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        if let Some(facts) = self.facts.take() {
            self.tell(facts, RunBreak::Abandoned);
        }
    }
}
