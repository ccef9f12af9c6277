//! The retries that a node may send to each service.

use std::sync::{Arc, Mutex, PoisonError};

use briarswitch_core::id::ServiceId;
use briarswitch_core::retry::RetryBudget;
use indexmap::IndexMap;

use crate::shared::FleetShared;

/// Share of the bursts that the nodes' budgets add up to; the rest is kept for nodes unknown here.
const BURST_SHARE: f64 = 0.7;
/// Fewest nodes among which the burst of retries is divided.
const LEAST_NODES: usize = 6;

/// Budgets by service.
pub struct RetryBudgets {
    shared: Arc<FleetShared>,
    budgets: Mutex<IndexMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Opens budgets that are all empty.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            budgets: Mutex::default(),
        }
    }

    /// Counts a request towards the retries that may be sent to its service.
    pub fn earn(&self, service: &str) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Takes one retry from the service's budget.
    pub fn spend(&self, service: &str) -> bool {
        let is_left = self.with_budget(service, RetryBudget::spend);
        if !is_left {
            log::info!(service = service; "retry_budget_empty");
        }
        is_left
    }

    /// Gives a retry back that reached no target.
    pub fn give_back(&self, service: &str) {
        self.with_budget(service, RetryBudget::give_back);
    }

    /// Returns whether a retry could be taken now.
    pub fn has_any(&self, service: &str) -> bool {
        self.with_budget(service, |budget| budget.has_any())
    }

    /// Uses the budget of one service.
    ///
    /// Each node earns from its own requests only, and the burst is divided among the nodes, so
    /// the sum over all nodes holds whoever can talk to whom. A new budget begins empty, or
    /// restarts would refill it.
    fn with_budget<R>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.contains_key(service) {
            let settings = &self.shared.settings;
            let nodes = self.shared.live.read().known_nodes().max(LEAST_NODES);
            let burst = settings.retry_burst as f64 * BURST_SHARE / nodes as f64;
            let permille = (settings.retry_ratio * 1000.0) as u64;
            let budget = RetryBudget::open_empty(permille, burst as u64);
            budgets.insert(service.to_owned(), budget);
        }
        act(&mut budgets[service])
    }
}
