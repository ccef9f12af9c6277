//! Limits how many loads from the weight store begin and are in progress, over all nodes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine::EngineSpec;
use crate::id::Moment;

/// Number of loads in progress beyond the weight store's limit.
///
/// An extra load slows down the others, but the weight store is not idle until the end of a load has been
/// reported.
const EXTRA_LOADS: usize = 1;
/// Fraction of the concurrent loads that rebalancing leaves to replacements of lost targets.
const REPAIR_SHARE: f64 = 0.4;
/// Time over which the loads that begin are limited.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Longest time from a grant until the load begins: the permit's validity, and the order's delivery.
const MAX_START_DELAY: Duration = Duration::from_secs(2);
/// Time until all nodes' loads in progress are known to a node that has just become the one that grants them.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_300);

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Number of loads in progress above which each takes longer.
    pub parallel_loads: usize,
    /// Loads that may begin per second.
    pub loads_per_second: f64,
    /// Duration of the shortest load.
    pub shortest_load: Duration,
}

impl From<&EngineSpec> for LoadLimits {
    fn from(engine: &EngineSpec) -> Self {
        let times = engine.models.values().map(|model| model.load_time);
        Self {
            parallel_loads: engine.parallel_loads,
            loads_per_second: engine.loads_per_second,
            shortest_load: times.min().unwrap_or_default(),
        }
    }
}

impl LoadLimits {
    /// Returns the number of loads that may begin within [`LOAD_WINDOW`]; at least one.
    fn per_window(&self) -> usize {
        let loads = self.loads_per_second * LOAD_WINDOW.as_secs_f64();
        (loads as usize).max(1)
    }

    fn in_progress(&self, urgency: LoadUrgency) -> usize {
        match urgency {
            LoadUrgency::Repair => self.parallel_loads + EXTRA_LOADS,
            LoadUrgency::Rebalance => {
                let reserved = self.parallel_loads as f64 * REPAIR_SHARE;
                self.parallel_loads + EXTRA_LOADS - reserved.round() as usize
            }
        }
    }
}

/// Why weights are loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadUrgency {
    /// A model lacks targets.
    Repair,
    /// Targets are moved between models.
    Rebalance,
}

#[derive(Clone, Copy, Debug)]
struct LoadGrant {
    at: Moment,
    count: usize,
    /// Whether the loads were known to be in progress when they were entered.
    is_reported: bool,
}

/// Record of the loads that one node has granted to all.
///
/// If each node limited its loads by what it hears of the others', nodes that see the same empty targets at the same
/// moment would all begin the whole number.
#[derive(Clone, Debug)]
pub struct LoadLedger {
    since: Moment,
    has_taken_over: bool,
    grants: VecDeque<LoadGrant>,
}

impl LoadLedger {
    /// Creates the ledger of a node that grants loads from `now` on.
    pub fn new(now: Moment) -> Self {
        Self {
            since: now,
            has_taken_over: false,
            grants: VecDeque::new(),
        }
    }

    /// Returns how many of the wanted loads may begin, and records them.
    ///
    /// `known` is the number of loads in progress that all nodes have reported. A node that has just taken over does not
    /// know what its predecessor granted; it waits until the loads have been reported, and counts them as just begun.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::load_ledger::{LoadLedger, LoadLimits, LoadUrgency};
    ///
    /// let limits = LoadLimits {
    ///     parallel_loads: 6,
    ///     loads_per_second: 4.0,
    ///     shortest_load: Duration::from_secs(12),
    /// };
    /// let at = Duration::from_secs;
    /// let mut ledger = LoadLedger::new(at(0));
    /// assert_eq!(ledger.grant(4, LoadUrgency::Repair, &limits, 0, at(1)), 0);
    /// assert_eq!(ledger.grant(4, LoadUrgency::Repair, &limits, 0, at(2)), 4);
    /// assert_eq!(ledger.grant(4, LoadUrgency::Repair, &limits, 0, at(2)), 3);
    /// ```
    pub fn grant(
        &mut self,
        wanted: usize,
        urgency: LoadUrgency,
        limits: &LoadLimits,
        known: usize,
        now: Moment,
    ) -> usize {
        if !self.take_over(limits, known, now) {
            return 0;
        }
        while self
            .grants
            .front()
            .is_some_and(|grant| now >= grant.at + LOAD_WINDOW + MAX_START_DELAY)
        {
            self.grants.pop_front();
        }
        let begun: usize = self.grants.iter().map(|grant| grant.count).sum();
        let unreported = self
            .grants
            .iter()
            .filter(|grant| !grant.is_reported && now < grant.at + MAX_START_DELAY);
        let unreported: usize = unreported.map(|grant| grant.count).sum();
        let free = limits
            .in_progress(urgency)
            .saturating_sub(known + unreported);
        let count = limits
            .per_window()
            .saturating_sub(begun)
            .min(free)
            .min(wanted);
        self.record(count, false, now);
        count
    }

    /// Returns whether this node may grant loads; counts those of its predecessor.
    fn take_over(&mut self, limits: &LoadLimits, known: usize, now: Moment) -> bool {
        if self.has_taken_over {
            return true;
        }
        // Shorter loads may have begun and ended within the window.
        let wait = if limits.shortest_load < LOAD_WINDOW {
            LOAD_WINDOW + MAX_START_DELAY
        } else {
            TAKEOVER_TIME
        };
        self.has_taken_over = now >= self.since + wait;
        if self.has_taken_over {
            self.record(known, true, now);
        }
        self.has_taken_over
    }

    fn record(&mut self, count: usize, is_reported: bool, now: Moment) {
        if count > 0 {
            self.grants.push_back(LoadGrant {
                at: now,
                count,
                is_reported,
            });
        }
    }
}
