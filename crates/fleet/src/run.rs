//! The run of a request on a target, from sending the request to the end of the response.

use briarswitch_kernel::{BootClock, Mailbox};

use crate::crash_watcher::CrashWatchMessage;
use crate::run_info::{RunEnd, RunInfo};
use crate::suspect_ledger::SuspectLedger;
use crate::suspect_sync::SuspectMessage;

/// A run in progress. A run that ends without a complete response is reported to the crash watcher.
///
/// If it is dropped before its end is known, it counts as abandoned: the caller disconnected, or the request was sent
/// to another target. If the target crashes soon after, the request may be the cause.
pub struct TargetRun {
    info: Option<RunInfo>,
    listeners: RunListeners,
}

/// Services that are notified of how runs end.
#[derive(Clone)]
pub struct RunListeners {
    /// Receives runs that ended without a complete response.
    pub watch: Mailbox<CrashWatchMessage>,
    /// Receives complete responses to requests that were running on targets when these crashed.
    pub suspects: Mailbox<SuspectMessage>,
}

impl TargetRun {
    /// Starts a run.
    pub fn start(info: RunInfo, listeners: RunListeners) -> Self {
        Self {
            info: Some(info),
            listeners,
        }
    }

    /// Returns the request and the target; `None` once the run has ended.
    pub fn info(&self) -> Option<&RunInfo> {
        self.info.as_ref()
    }

    /// Ends the run without a report: the target sent an error response or never received the request.
    pub fn end_unreported(&mut self) {
        self.info = None;
    }

    /// Ends the run with a complete response.
    ///
    /// Neither the request nor a part of its prompt crashed the target, so they are cleared of the suspicion from earlier
    /// crashes.
    pub fn complete(&mut self, suspects: &SuspectLedger) {
        let Some(info) = self.info.take() else {
            return;
        };
        for fingerprint in suspects.complete(&info.suspects, BootClock::now()) {
            let message = SuspectMessage::Completed(fingerprint);
            if let Err(error) = self.listeners.suspects.post(message) {
                log::warn!(error:% = error; "run_untold");
            }
        }
    }

    /// Ends the run because the connection broke.
    pub fn report_broken(&mut self, reason: &'static str) {
        let Some(info) = self.info.take() else {
            return;
        };
        log::info!(
            request = info.request.as_str(),
            print:% = info.suspects.request(),
            parts = info.suspects.parts_text().as_str(),
            target_id = info.target.id.as_str(),
            group = info.group.as_str(),
            reason = reason,
            ran_ms = BootClock::now().saturating_sub(info.sent).as_millis() as u64;
            "run_broken"
        );
        self.report(info, RunEnd::Broken);
    }

    fn report(&self, info: RunInfo, end: RunEnd) {
        let message = CrashWatchMessage::RunFailed(Box::new(info), end);
        if let Err(error) = self.listeners.watch.post(message) {
            log::warn!(error:% = error; "run_untold");
        }
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        if let Some(info) = self.info.take() {
            self.report(info, RunEnd::Abandoned);
        }
    }
}
