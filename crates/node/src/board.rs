//! Evidence as it is offered to other nodes: numbered changes and one age.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_wire::engine::ReportDoc;
use briarswitch_wire::peer::{age_ms, EvidenceDoc, EvidenceMark};
use indexmap::IndexMap;

/// What stands of a machine's evidence.
#[derive(Clone, Debug)]
enum BoardState {
    Stands(MemberReport),
    Lost,
    Dropped,
}

#[derive(Clone, Debug)]
struct BoardEntry {
    state: BoardState,
    asked: Moment,
    changed: u64,
}

/// What one node knows of machines, for others to ask.
#[derive(Clone, Debug)]
pub struct EvidenceBoard {
    mark: EvidenceMark,
    entries: IndexMap<VmId, BoardEntry>,
}

impl EvidenceBoard {
    /// Opens an empty board of one life of a node.
    ///
    /// ```
    /// use briarswitch_node::board::EvidenceBoard;
    ///
    /// assert_eq!(EvidenceBoard::open(7).mark().incarnation, 7);
    /// ```
    pub fn open(incarnation: Incarnation) -> Self {
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
    pub fn record(&mut self, report: &MemberReport, asked: Moment) {
        let is_same = match self.entries.get_mut(&report.vm) {
            Some(entry) => {
                entry.asked = asked;
                matches!(&entry.state, BoardState::Stands(held) if is_alike(held, report))
            }
            None => false,
        };
        if is_same {
            return;
        }
        let entry = BoardEntry {
            state: BoardState::Stands(report.clone()),
            asked,
            changed: self.mark.sequence + 1,
        };
        self.entries.insert(report.vm.clone(), entry);
        self.mark.sequence += 1;
    }

    /// Notes that a machine was found gone.
    pub fn lose(&mut self, vm: &str) {
        self.change(vm, BoardState::Lost);
    }

    /// Notes that this node no longer vouches for a machine.
    pub fn drop_vm(&mut self, vm: &str) {
        self.change(vm, BoardState::Dropped);
    }

    /// Drops every machine whose evidence has run out at `now`.
    pub fn expire(&mut self, now: Moment, ttl: Duration) {
        let stale: Vec<VmId> = self
            .standing()
            .filter(|(_, entry)| now >= entry.asked + ttl)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in stale {
            self.drop_vm(&vm);
        }
    }

    /// Drops machines that are no longer watched.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        let gone: Vec<VmId> = self
            .standing()
            .map(|(vm, _)| vm)
            .filter(|vm| !keep(vm))
            .cloned()
            .collect();
        for vm in gone {
            self.drop_vm(&vm);
        }
    }

    fn standing(&self) -> impl Iterator<Item = (&VmId, &BoardEntry)> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches!(entry.state, BoardState::Stands(_)))
    }

    fn change(&mut self, vm: &str, state: BoardState) {
        let Some(entry) = self.entries.get_mut(vm) else {
            return;
        };
        if matches!(entry.state, BoardState::Stands(_)) {
            self.mark.sequence += 1;
            entry.changed = self.mark.sequence;
            entry.state = state;
        }
    }

    /// Answers an asker that holds everything up to `mark`.
    pub fn answer(&self, mark: EvidenceMark, now: Moment) -> EvidenceDoc {
        let is_whole = mark.incarnation != self.mark.incarnation || mark.sequence == 0;
        let since = if is_whole { 0 } else { mark.sequence };
        let mut doc = EvidenceDoc {
            mark: self.mark,
            is_whole,
            ..EvidenceDoc::default()
        };
        let mut oldest = now;
        for (vm, entry) in &self.entries {
            let is_new = entry.changed > since;
            match &entry.state {
                BoardState::Stands(report) => {
                    oldest = oldest.min(entry.asked);
                    if is_new {
                        doc.changed.push(ReportDoc::from(report.clone()));
                    }
                }
                BoardState::Lost if is_new => doc.lost.push(vm.clone()),
                BoardState::Dropped if is_new => doc.dropped.push(vm.clone()),
                _ => {}
            }
        }
        doc.age_ms = age_ms(now.saturating_sub(oldest));
        doc
    }
}

/// Returns whether two reports differ in nothing worth sending.
fn is_alike(left: &MemberReport, right: &MemberReport) -> bool {
    let bucket = |report: &MemberReport| (report.running + report.queued).max(1).ilog2();
    left.has_same_state(right) && bucket(left) == bucket(right)
}
