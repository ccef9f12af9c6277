//! Number of targets in each state in a domain.

use briarswitch_core::assembly::{TargetFacts, TargetStatus};
use briarswitch_core::id::{GroupId, ModelId, TargetId};
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::target::MembershipState;
use indexmap::{IndexMap, IndexSet};

/// Counts of one domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainCounts {
    live: usize,
    silent: usize,
    draining: usize,
    unlisted: usize,
    open: IndexMap<ModelId, usize>,
    grouped: usize,
    /// Free targets by the model whose weights they have.
    spares: IndexMap<ModelId, usize>,
    unstaged: usize,
    idle: IdleCounts,
}

/// Targets that serve no requests, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct IdleCounts {
    /// Free and loading weights.
    loading: usize,
    /// Members of a group that has yet to open.
    joining: usize,
    /// Free and not loading, since no group lacks them.
    spare: usize,
    /// Silent.
    lost: usize,
}

impl IdleCounts {
    fn add(&mut self, facts: &TargetFacts, open: &IndexSet<&GroupId>) {
        let membership = facts.membership.as_ref();
        match facts.status {
            TargetStatus::Silent => self.lost += 1,
            _ if membership.is_some_and(|membership| open.contains(&membership.group)) => {}
            _ if membership.is_some() => self.joining += 1,
            _ if facts.is_busy => self.loading += 1,
            _ => self.spare += 1,
        }
    }
}

fn is_open(facts: &TargetFacts) -> bool {
    let membership = facts.membership.as_ref();
    membership.is_some_and(|membership| membership.state == MembershipState::Open)
}

impl DomainCounts {
    /// Counts the targets of a domain with the given layout.
    pub fn count(targets: &IndexMap<TargetId, TargetFacts>, layout: &DomainLayout) -> Self {
        let mut counts = Self::default();
        let open = targets.values().filter(|facts| is_open(facts));
        let open = open.filter_map(|facts| facts.membership.as_ref());
        let open: IndexSet<&GroupId> = open.map(|membership| &membership.group).collect();
        for facts in targets.values() {
            counts.idle.add(facts, &open);
            match facts.status {
                TargetStatus::Live => counts.live += 1,
                TargetStatus::Silent => counts.silent += 1,
                TargetStatus::Draining => counts.draining += 1,
                TargetStatus::Unlisted => counts.unlisted += 1,
            }
            let membership = facts.membership.as_ref();
            if let Some(model) = facts.model.as_ref().filter(|_| is_open(facts)) {
                *counts.open.entry(model.clone()).or_insert(0) += 1;
            }
            counts.grouped += usize::from(membership.is_some());
            let is_free = membership.is_none() && facts.status == TargetStatus::Live;
            let mut staged = facts.staged.iter();
            match staged.rfind(|model| layout.holders.contains_key(*model)) {
                _ if !is_free => {}
                Some(model) => *counts.spares.entry(model.clone()).or_insert(0) += 1,
                None => counts.unstaged += 1,
            }
        }
        counts
    }

    /// Logs the counts.
    pub fn log(&self, domain: &str, layout: &DomainLayout) {
        log::info!(
            domain = domain,
            holders = counts_text(&layout.holders),
            live = self.live,
            silent = self.silent,
            draining = self.draining,
            unlisted = self.unlisted,
            open_groups = counts_text(&self.open),
            grouped = self.grouped,
            spares = counts_text(&self.spares),
            unstaged = self.unstaged,
            idle_loading = self.idle.loading,
            idle_joining = self.idle.joining,
            idle_spare = self.idle.spare,
            idle_lost = self.idle.lost;
            "domain_state"
        );
    }
}

fn counts_text(counts: &IndexMap<ModelId, usize>) -> String {
    let counts = counts.iter();
    let texts: Vec<String> = counts
        .map(|(model, count)| format!("{model}:{count}"))
        .collect();
    texts.join(",")
}
