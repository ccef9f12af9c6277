//! What was last held of each request under which targets have ended, told when it changes.

use briarswitch_core::crash::CrashVerdict;
use briarswitch_core::fingerprint::RequestFingerprint;
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::suspect_host::{SuspectEvent, SuspectHost};

/// The last verdict on each request that is not clear.
#[derive(Debug, Default)]
pub struct VerdictLog {
    verdicts: IndexMap<RequestFingerprint, CrashVerdict>,
}

impl VerdictLog {
    /// Returns whether a request is suspected or quarantined.
    pub fn holds(&self, print: &RequestFingerprint) -> bool {
        self.verdicts.contains_key(print)
    }

    /// Returns the requests that are suspected or quarantined.
    pub fn prints(&self) -> Vec<RequestFingerprint> {
        self.verdicts.keys().copied().collect()
    }

    /// Takes a verdict in, and tells what it changes.
    pub fn note(
        &mut self,
        host: &dyn SuspectHost,
        print: &RequestFingerprint,
        verdict: CrashVerdict,
    ) {
        let before = self.verdicts.get(print).copied();
        let ends = host.suspects().ends(print);
        let was_held = matches!(before, Some(CrashVerdict::Quarantined(_)));
        match verdict {
            CrashVerdict::Quarantined(left) if !was_held => {
                host.note(SuspectEvent::QuarantineBegun);
                let left_ms = left.as_millis() as u64;
                log::warn!(print:% = print, ends = ends, left_ms = left_ms; "quarantine_begun");
            }
            CrashVerdict::Suspect if before.is_none() => {
                log::info!(print:% = print, ends = ends; "request_suspected");
            }
            CrashVerdict::Clear if was_held => {
                log::info!(print:% = print; "quarantine_ended");
            }
            _ => {}
        }
        if verdict == CrashVerdict::Clear {
            self.verdicts.swap_remove(print);
        } else {
            self.verdicts.insert(*print, verdict);
        }
    }

    /// Shows what is held of each request.
    pub fn dump(&self, host: &dyn SuspectHost) -> Vec<Value> {
        let held = self.verdicts.iter().map(|(print, verdict)| {
            let left = match verdict {
                CrashVerdict::Quarantined(_) => host.suspects().quarantine(print),
                CrashVerdict::Clear | CrashVerdict::Suspect => None,
            };
            json!({
                "print": print.to_string(),
                "ends": host.suspects().ends(print),
                "quarantine_ms": left.map(|left| left.as_millis() as u64),
            })
        });
        held.collect()
    }
}
