//! Retry budgets: how many retries a node may send to each service.

use std::sync::{Arc, Mutex, PoisonError};

use briarswitch_core::id::{Moment, ServiceId};
use briarswitch_core::limit::ranked_share;
use briarswitch_core::retry::RetryWindow;
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;

use crate::shared::FleetShared;

/// Share of the configured burst that is divided among the known nodes.
///
/// The rest is reserved for nodes that this node does not know.
const BURST_SHARE: f64 = 0.7;
/// Smallest number of nodes among which the burst is divided, even if fewer are known.
const MIN_NODES: usize = 6;

/// Retry budgets by service.
pub struct RetryBudgets {
    shared: Arc<FleetShared>,
    budgets: Mutex<IndexMap<ServiceId, RetryWindow>>,
}

impl RetryBudgets {
    /// Creates empty budgets.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            budgets: Mutex::default(),
        }
    }

    /// Counts a request, which adds to the retries that may be sent to its service.
    pub fn deposit(&self, service: &str) {
        self.with_budget(service, |budget, now| budget.deposit(now));
    }

    /// Takes one retry from the service's budget; returns whether one was available.
    pub fn withdraw(&self, service: &str) -> bool {
        let burst = self.burst(service);
        let is_available = self.with_budget(service, |budget, now| budget.withdraw(burst, now));
        if !is_available {
            log::info!(service = service; "retry_budget_empty");
        }
        is_available
    }

    /// Returns a retry to the budget that reached no target.
    pub fn refund(&self, service: &str) {
        self.with_budget(service, |budget, now| budget.refund(now));
    }

    /// Returns whether a retry is available.
    pub fn can_withdraw(&self, service: &str) -> bool {
        let burst = self.burst(service);
        self.with_budget(service, |budget, now| budget.can_withdraw(burst, now))
    }

    /// Returns this node's part of the burst.
    ///
    /// Nodes are ranked among all known ones, so that those which cannot see each other agree.
    fn burst(&self, service: &str) -> u32 {
        let live_view = self.shared.live_view.read();
        let burst = self.shared.settings.retry_burst as f64 * BURST_SHARE;
        let nodes = live_view.known_nodes().max(MIN_NODES);
        ranked_share(burst as usize, nodes, live_view.known_rank(service)) as u32
    }

    /// Calls `act` with the budget of one service, creating it if necessary.
    ///
    /// A node's own requests alone add to its budgets, and the burst is divided among the nodes. The limit on the
    /// retries of all nodes therefore holds during network partitions too.
    fn with_budget<R>(&self, service: &str, act: impl FnOnce(&mut RetryWindow, Moment) -> R) -> R {
        let now = BootClock::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.contains_key(service) {
            let settings = &self.shared.settings;
            let budget = RetryWindow::new(settings.retry_ratio, settings.retry_window, now);
            budgets.insert(service.to_owned(), budget);
        }
        act(&mut budgets[service], now)
    }
}
