//! Tracks the verdict on each request that was running when targets crashed, and logs changes.

use briarswitch_core::crash::CrashVerdict;
use briarswitch_core::fingerprint::SuspectFingerprint;
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::suspect_host::{SuspectEvent, SuspectHost};

/// The last verdict on each request that is not clear.
#[derive(Debug, Default)]
pub struct VerdictLog {
    verdicts: IndexMap<SuspectFingerprint, CrashVerdict>,
}

impl VerdictLog {
    /// Returns whether a request is suspected or quarantined.
    pub fn contains(&self, fingerprint: &SuspectFingerprint) -> bool {
        self.verdicts.contains_key(fingerprint)
    }

    /// Returns the requests that are suspected or quarantined.
    pub fn fingerprints(&self) -> Vec<SuspectFingerprint> {
        self.verdicts.keys().copied().collect()
    }

    /// Records a verdict, and logs and counts what it changes.
    pub fn record(
        &mut self,
        host: &dyn SuspectHost,
        fingerprint: &SuspectFingerprint,
        verdict: CrashVerdict,
    ) {
        let previous = self.verdicts.get(fingerprint).copied();
        let crashes = host.suspects().crashes(fingerprint);
        let was_quarantined = matches!(previous, Some(CrashVerdict::Quarantined(_)));
        match verdict {
            CrashVerdict::Quarantined(remaining) if !was_quarantined => {
                host.count(SuspectEvent::QuarantineStarted);
                let remaining_ms = remaining.as_millis() as u64;
                log::warn!(print:% = fingerprint, kind = fingerprint.kind(), ends = crashes, left_ms = remaining_ms; "quarantine_begun");
            }
            CrashVerdict::Suspect if previous.is_none() => {
                log::info!(print:% = fingerprint, kind = fingerprint.kind(), ends = crashes; "request_suspected");
            }
            CrashVerdict::Clear if was_quarantined => {
                log::info!(print:% = fingerprint; "quarantine_ended");
            }
            _ => {}
        }
        if verdict == CrashVerdict::Clear {
            self.verdicts.swap_remove(fingerprint);
        } else {
            self.verdicts.insert(*fingerprint, verdict);
        }
    }

    /// Returns the state of each request for the node's state dump.
    pub fn dump(&self, host: &dyn SuspectHost) -> Vec<Value> {
        let entries = self.verdicts.iter().map(|(fingerprint, verdict)| {
            let remaining = match verdict {
                CrashVerdict::Quarantined(_) => host.suspects().quarantine_left(fingerprint),
                CrashVerdict::Clear | CrashVerdict::Suspect => None,
            };
            json!({
                "print": fingerprint.to_string(),
                "kind": fingerprint.kind(),
                "ends": host.suspects().crashes(fingerprint),
                "quarantine_ms": remaining.map(|remaining| remaining.as_millis() as u64),
            })
        });
        entries.collect()
    }
}
