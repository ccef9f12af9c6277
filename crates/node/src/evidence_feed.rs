//! Feed of evidence for other nodes: changes with sequence numbers, and the age of the oldest
//! evidence.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_wire::engine::ReportDoc;
use briarswitch_wire::peer::{age_ms, EvidenceDoc, EvidenceMark};
use indexmap::IndexMap;

/// State of the evidence on a VM.
#[derive(Clone, Debug)]
enum EvidenceState {
    Valid(MemberReport),
    Lost,
    Dropped,
}

#[derive(Clone, Debug)]
struct EvidenceEntry {
    state: EvidenceState,
    requested_at: Moment,
    change_sequence: u64,
}

/// One node's evidence on VMs, with a change history that peers poll.
#[derive(Clone, Debug)]
pub struct EvidenceFeed {
    mark: EvidenceMark,
    entries: IndexMap<VmId, EvidenceEntry>,
}

impl EvidenceFeed {
    /// Creates an empty feed for one incarnation of a node.
    ///
    /// ```
    /// use briarswitch_node::evidence_feed::EvidenceFeed;
    ///
    /// assert_eq!(EvidenceFeed::new(7).mark().incarnation, 7);
    /// ```
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            mark: EvidenceMark {
                incarnation,
                sequence: 0,
            },
            entries: IndexMap::new(),
        }
    }

    /// Returns the position of the last change.
    pub fn mark(&self) -> EvidenceMark {
        self.mark
    }

    /// Records a report; a report equivalent to the last one only renews the evidence.
    pub fn record(&mut self, report: &MemberReport, requested_at: Moment) {
        let is_same = match self.entries.get_mut(&report.vm) {
            Some(entry) => {
                entry.requested_at = requested_at;
                matches!(&entry.state, EvidenceState::Valid(current) if is_equivalent(current, report))
            }
            None => false,
        };
        if is_same {
            return;
        }
        let entry = EvidenceEntry {
            state: EvidenceState::Valid(report.clone()),
            requested_at,
            change_sequence: self.mark.sequence + 1,
        };
        self.entries.insert(report.vm.clone(), entry);
        self.mark.sequence += 1;
    }

    /// Records that a VM was found to be gone.
    pub fn mark_lost(&mut self, vm: &str) {
        self.set_state(vm, EvidenceState::Lost);
    }

    /// Records that this node no longer has evidence on a VM.
    pub fn mark_dropped(&mut self, vm: &str) {
        self.set_state(vm, EvidenceState::Dropped);
    }

    /// Drops all VMs whose evidence has expired at `now`.
    pub fn expire(&mut self, now: Moment, ttl: Duration) {
        let stale: Vec<VmId> = self
            .valid_entries()
            .filter(|(_, entry)| now >= entry.requested_at + ttl)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in stale {
            self.mark_dropped(&vm);
        }
    }

    /// Drops the VMs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        let gone: Vec<VmId> = self
            .valid_entries()
            .map(|(vm, _)| vm)
            .filter(|vm| !keep(vm))
            .cloned()
            .collect();
        for vm in gone {
            self.mark_dropped(&vm);
        }
    }

    fn valid_entries(&self) -> impl Iterator<Item = (&VmId, &EvidenceEntry)> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches!(entry.state, EvidenceState::Valid(_)))
    }

    fn set_state(&mut self, vm: &str, state: EvidenceState) {
        let Some(entry) = self.entries.get_mut(vm) else {
            return;
        };
        if matches!(entry.state, EvidenceState::Valid(_)) {
            self.mark.sequence += 1;
            entry.change_sequence = self.mark.sequence;
            entry.state = state;
        }
    }

    /// Returns the changes after `mark`, or a full snapshot if `mark` is of another incarnation or
    /// empty.
    pub fn changes_since(&self, mark: EvidenceMark, now: Moment) -> EvidenceDoc {
        let is_whole = mark.incarnation != self.mark.incarnation || mark.sequence == 0;
        let since = if is_whole { 0 } else { mark.sequence };
        let mut doc = EvidenceDoc {
            mark: self.mark,
            is_whole,
            ..EvidenceDoc::default()
        };
        let mut oldest = now;
        for (vm, entry) in &self.entries {
            let is_new = entry.change_sequence > since;
            match &entry.state {
                EvidenceState::Valid(report) => {
                    oldest = oldest.min(entry.requested_at);
                    if is_new {
                        doc.changed.push(ReportDoc::from(report.clone()));
                    }
                }
                EvidenceState::Lost if is_new => doc.lost.push(vm.clone()),
                EvidenceState::Dropped if is_new => doc.dropped.push(vm.clone()),
                _ => {}
            }
        }
        doc.age_ms = age_ms(now.saturating_sub(oldest));
        doc
    }
}

/// Returns whether two reports have the same state and the same order of magnitude of load, so that
/// the difference need not be sent.
fn is_equivalent(left: &MemberReport, right: &MemberReport) -> bool {
    let bucket = |report: &MemberReport| report.load().max(1).ilog2();
    left.has_same_state(right) && bucket(left) == bucket(right)
}
