//! Lines that say why a process ends or a thread panicked, on the same output as all others.

use std::panic::{self, PanicHookInfo};

use briarswitch_core::finding::Finding;

use crate::start_error::StartError;

/// Logs every panic, in addition to what the default hook writes.
///
/// A panic ends only the task it occurs in, so that without a line a process could lose a part of its work unnoticed.
pub fn log_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        default_hook(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let thread = thread.name().unwrap_or("unnamed");
    let place = info.location().map(ToString::to_string);
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let reason = text.unwrap_or("not a text");
    log::error!(
        thread = thread,
        place = place.unwrap_or_default().as_str(),
        reason = reason;
        "thread_panicked"
    );
}

/// Logs what is wrong with the settings because of which the process ends.
pub fn log_findings(findings: &[Finding]) {
    for finding in findings {
        log::error!(finding:% = finding; "settings_rejected");
    }
}

/// Logs the error because of which the process ends.
pub fn log_failure(error: &StartError) {
    log::error!(error:% = error; "node_failed");
}
