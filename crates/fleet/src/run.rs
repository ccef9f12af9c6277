//! One run of a request at a target, from its sending to its end.

use briarswitch_kernel::{BootClock, Mailbox};

use crate::crash_watcher::CrashWatchMessage;
use crate::run_facts::{RunBreak, RunFacts};
use crate::suspect_ledger::SuspectLedger;
use crate::suspect_sync::SuspectMessage;

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
    pub watch: Mailbox<CrashWatchMessage>,
    /// Hears of whole answers to requests under which targets have ended.
    pub suspects: Mailbox<SuspectMessage>,
}

impl TargetRun {
    /// Begins a run.
    pub fn open(facts: RunFacts, reports: RunReports) -> Self {
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
    pub fn complete(&mut self, board: &SuspectLedger) {
        let Some(facts) = self.facts.take() else {
            return;
        };
        if board.has_crashes(&facts.print) {
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
        let message = CrashWatchMessage::RunFailed(Box::new(facts), end);
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
