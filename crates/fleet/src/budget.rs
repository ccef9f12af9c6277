//! The retries that a node may send to each service.

use std::sync::{Arc, Mutex, PoisonError};

use briarswitch_core::id::{Moment, ServiceId};
use briarswitch_core::retry::RetryWindow;
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;

use crate::shared::FleetShared;

/// Share of the bursts that the nodes' budgets add up to; the rest is kept for nodes unknown here.
const BURST_SHARE: f64 = 0.7;
/// Fewest nodes among which the burst of retries is divided.
const MIN_NODES: usize = 6;

/// Budgets by service.
pub struct RetryBudgets {
    shared: Arc<FleetShared>,
    budgets: Mutex<IndexMap<ServiceId, RetryWindow>>,
}

impl RetryBudgets {
    /// Opens budgets that are all empty.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            budgets: Mutex::default(),
        }
    }

    /// Counts a request towards the retries that may be sent to its service.
    pub fn earn(&self, service: &str) {
        self.with_budget(service, |budget, now| budget.earn(now));
    }

    /// Takes one retry from the service's budget.
    pub fn spend(&self, service: &str) -> bool {
        let burst = self.burst();
        let is_left = self.with_budget(service, |budget, now| budget.spend(burst, now));
        if !is_left {
            log::info!(service = service; "retry_budget_empty");
        }
        is_left
    }

    /// Gives a retry back that reached no target.
    pub fn give_back(&self, service: &str) {
        self.with_budget(service, |budget, now| budget.give_back(now));
    }

    /// Returns whether a retry could be taken now.
    pub fn has_any(&self, service: &str) -> bool {
        let burst = self.burst();
        self.with_budget(service, |budget, now| budget.has_any(burst, now))
    }

    /// Returns this node's part of the retries beyond those that requests earn.
    fn burst(&self) -> u32 {
        let nodes = self.shared.live_view.read().known_nodes().max(MIN_NODES);
        (self.shared.settings.retry_burst as f64 * BURST_SHARE / nodes as f64) as u32
    }

    /// Uses the budget of one service.
    ///
    /// Each node earns from its own requests only, and the burst is divided among the nodes, so
    /// the sum over all nodes holds whoever can talk to whom.
    fn with_budget<R>(&self, service: &str, act: impl FnOnce(&mut RetryWindow, Moment) -> R) -> R {
        let now = BootClock::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.contains_key(service) {
            let settings = &self.shared.settings;
            let budget = RetryWindow::open(settings.retry_ratio, settings.retry_window, now);
            budgets.insert(service.to_owned(), budget);
        }
        act(&mut budgets[service], now)
    }
}
