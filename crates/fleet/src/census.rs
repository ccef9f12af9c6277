//! How many targets of a domain are in which state.

use briarswitch_core::assembly::{TargetFacts, TargetStanding};
use briarswitch_core::id::{ModelId, TargetId};
use briarswitch_core::target::MembershipState;
use indexmap::IndexMap;

/// Counts of one domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainCensus {
    live: usize,
    silent: usize,
    draining: usize,
    open: usize,
    grouped: usize,
    spare: usize,
    unstaged: usize,
}

impl DomainCensus {
    /// Counts the targets of a domain that serves a model.
    pub fn of(targets: &IndexMap<TargetId, TargetFacts>, model: &ModelId) -> Self {
        let mut census = Self::default();
        for facts in targets.values() {
            match facts.standing {
                TargetStanding::Live => census.live += 1,
                TargetStanding::Silent => census.silent += 1,
                TargetStanding::Draining => census.draining += 1,
            }
            let held = facts.membership.as_ref();
            let is_open = held.is_some_and(|held| held.state == MembershipState::Open);
            census.open += usize::from(is_open);
            census.grouped += usize::from(held.is_some());
            let is_free = held.is_none() && facts.standing == TargetStanding::Live;
            let is_staged = facts.staged.contains(model);
            census.spare += usize::from(is_free && is_staged);
            census.unstaged += usize::from(is_free && !is_staged);
        }
        census
    }

    /// Writes the counts to the log.
    pub fn log(&self, domain: &str, model: &str) {
        log::info!(
            domain = domain,
            model = model,
            live = self.live,
            silent = self.silent,
            draining = self.draining,
            open_groups = self.open,
            grouped = self.grouped,
            spare = self.spare,
            unstaged = self.unstaged;
            "domain_state"
        );
    }
}
