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

/// A retry that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct RetryCharge<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Service that gets it.
    pub service: &'a str,
    /// Why the attempt before failed.
    pub reason: &'static str,
    /// Attempts that may have reached targets.
    pub attempts_sent: u32,
    /// Whether no attempt before can have reached a target, so that this one repeats nothing.
    pub is_free: bool,
}

/// How a retry was paid for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPayment {
    /// From the budget.
    Budget,
    /// It needs no budget.
    Free,
    /// The budget was empty, and the retry is not sent.
    Refused,
    /// It reached no target and was given back to the budget.
    Refunded,
}

impl RetryPayment {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Free => "free",
            Self::Refused => "refused",
            Self::Refunded => "refunded",
        }
    }
}

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

    /// Takes one retry from the service's budget, unless none is needed; returns whether the retry may be sent.
    pub fn charge(&self, charge: &RetryCharge<'_>) -> bool {
        let payment = if charge.is_free {
            RetryPayment::Free
        } else if self.withdraw(charge.service) {
            RetryPayment::Budget
        } else {
            RetryPayment::Refused
        };
        self.record(charge, payment);
        payment != RetryPayment::Refused
    }

    /// Returns a retry to the budget that reached no target.
    pub fn refund(&self, charge: &RetryCharge<'_>) {
        self.with_budget(charge.service, |budget, now| budget.refund(now));
        self.record(charge, RetryPayment::Refunded);
    }

    /// Counts a retry that was charged at an earlier moment as sent now, after it has waited for its target.
    pub fn postpone(&self, service: &str, charged_at: Moment) {
        self.with_budget(service, |budget, now| budget.postpone(charged_at, now));
    }

    fn record(&self, charge: &RetryCharge<'_>, payment: RetryPayment) {
        self.shared.metrics.count_retry(charge.service, payment);
        log::info!(
            request = charge.request,
            service = charge.service,
            reason = charge.reason,
            sent = charge.attempts_sent,
            payment = payment.name();
            "retry_charged"
        );
    }

    fn withdraw(&self, service: &str) -> bool {
        let burst = self.burst(service);
        self.with_budget(service, |budget, now| budget.withdraw(burst, now))
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
