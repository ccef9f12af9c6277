//! Evidence as it is offered to other nodes: numbered changes and one age.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_wire::engine::ReportDoc;
use briarswitch_wire::peer::{age_ms, EvidenceDoc, EvidenceMark};
use indexmap::IndexMap;

/// What stands of a machine's evidence.
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

/// What one node knows of machines, for others to ask.
#[derive(Clone, Debug)]
pub struct EvidenceFeed {
    mark: EvidenceMark,
    entries: IndexMap<VmId, EvidenceEntry>,
}

impl EvidenceFeed {
    /// Opens an empty board of one life of a node.
    ///
    /// ```
    /// use briarswitch_node::evidence_feed::EvidenceFeed;
    ///
    /// assert_eq!(EvidenceFeed::open(7).mark().incarnation, 7);
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

    /// Returns the last change.
    pub fn mark(&self) -> EvidenceMark {
        self.mark
    }

    /// Takes in a report.
    pub fn record(&mut self, report: &MemberReport, requested_at: Moment) {
        let is_same = match self.entries.get_mut(&report.vm) {
            Some(entry) => {
                entry.requested_at = requested_at;
                matches!(&entry.state, EvidenceState::Valid(held) if is_equivalent(held, report))
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

    /// Notes that a machine was found gone.
    pub fn mark_lost(&mut self, vm: &str) {
        self.set_state(vm, EvidenceState::Lost);
    }

    /// Notes that this node no longer vouches for a machine.
    pub fn mark_dropped(&mut self, vm: &str) {
        self.set_state(vm, EvidenceState::Dropped);
    }

    /// Drops every machine whose evidence has run out at `now`.
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

    /// Drops machines that are no longer watched.
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

    /// Answers an asker that holds everything up to `mark`.
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

/// Returns whether two reports differ in nothing worth sending.
fn is_equivalent(left: &MemberReport, right: &MemberReport) -> bool {
    let bucket = |report: &MemberReport| (report.running + report.queued).max(1).ilog2();
    left.has_same_state(right) && bucket(left) == bucket(right)
}
