//! One run of a request at a target, from its sending to its end.

use briarswitch_kernel::{BootClock, Mailbox};

use crate::end_watch::WatchMessage;
use crate::run_info::{RunEnd, RunInfo};
use crate::suspect_keeper::SuspectMessage;
use crate::suspects::SuspectBoard;

/// A run under way; whatever becomes of it, the watch of targets hears of a run that brought no whole answer.
///
/// Dropped without a word it counts as abandoned: the caller left, or the request was moved elsewhere. A target
/// that ends in the next moment may have ended because of it.
pub struct TargetRun {
    info: Option<RunInfo>,
    listeners: RunListeners,
}

/// Who is told how runs end.
#[derive(Clone)]
pub struct RunListeners {
    /// Hears of runs that brought no whole answer.
    pub watch: Mailbox<WatchMessage>,
    /// Hears of whole answers to requests under which targets have ended.
    pub suspects: Mailbox<SuspectMessage>,
}

impl TargetRun {
    /// Begins a run.
    pub fn start(facts: RunInfo, reports: RunListeners) -> Self {
        Self {
            info: Some(facts),
            listeners: reports,
        }
    }

    /// Notes that the target gave an answer that is none of success, or never had the request.
    pub fn end_unreported(&mut self) {
        self.info = None;
    }

    /// Notes that the target gave its whole answer; the request did not end it, and so is cleared of earlier ends.
    pub fn complete(&mut self, board: &SuspectBoard) {
        let Some(facts) = self.info.take() else {
            return;
        };
        if board.has_ends(&facts.fingerprint) {
            let message = SuspectMessage::Completed(facts.fingerprint);
            if let Err(error) = self.listeners.suspects.post(message) {
                log::warn!(error:% = error; "run_untold");
            }
        }
    }

    /// Notes that the connection broke.
    pub fn report_broken(&mut self, reason: &'static str) {
        let Some(facts) = self.info.take() else {
            return;
        };
        log::info!(
            request = facts.request.as_str(),
            print:% = facts.fingerprint,
            target_id = facts.target.id.as_str(),
            group = facts.group.as_str(),
            reason = reason,
            ran_ms = BootClock::now().saturating_sub(facts.sent).as_millis() as u64;
            "run_broken"
        );
        self.report(facts, RunEnd::Broken);
    }

    fn report(&self, facts: RunInfo, end: RunEnd) {
        let message = WatchMessage::Ended(Box::new(facts), end);
        if let Err(error) = self.listeners.watch.post(message) {
            log::warn!(error:% = error; "run_untold");
        }
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        if let Some(facts) = self.info.take() {
            self.report(facts, RunEnd::Abandoned);
        }
    }
}
