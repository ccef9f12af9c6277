//! Number of targets in each state in a domain.

use briarswitch_core::assembly::{TargetFacts, TargetStatus};
use briarswitch_core::id::{ModelId, TargetId};
use briarswitch_core::layout::DomainLayout;
use briarswitch_core::target::MembershipState;
use indexmap::IndexMap;

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
}

impl DomainCounts {
    /// Counts the targets of a domain with the given layout.
    pub fn count(targets: &IndexMap<TargetId, TargetFacts>, layout: &DomainLayout) -> Self {
        let mut counts = Self::default();
        for facts in targets.values() {
            match facts.status {
                TargetStatus::Live => counts.live += 1,
                TargetStatus::Silent => counts.silent += 1,
                TargetStatus::Draining => counts.draining += 1,
                TargetStatus::Unlisted => counts.unlisted += 1,
            }
            let membership = facts.membership.as_ref();
            let is_open =
                membership.is_some_and(|membership| membership.state == MembershipState::Open);
            if let Some(model) = facts.model.as_ref().filter(|_| is_open) {
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
            unstaged = self.unstaged;
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
