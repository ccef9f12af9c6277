//! Sums of the work of nodes: requests at targets, loads of models and request rates.

use std::hash::BuildHasherDefault;

use briarswitch_core::id::ModelId;
use indexmap::IndexMap;
use rustc_hash::FxHasher;
use xxhash_rust::xxh3::xxh3_64;

/// Hash that stands for a target's id in messages between nodes.
///
/// Unlike a numbering, a hash needs no agreement of all nodes. Among 12,000 targets a collision has a
/// probability of 2 %; both targets then appear to have the requests of both, which slightly unbalances them.
pub type TargetKey = u32;

/// Number of requests by target.
pub type RequestCounts = IndexMap<TargetKey, u32, BuildHasherDefault<FxHasher>>;

/// Returns the key of a target.
///
/// ```
/// use briarswitch_membership::target_key;
///
/// assert_eq!(target_key("t1"), target_key("t1"));
/// assert_ne!(target_key("t1"), target_key("t2"));
/// ```
pub fn target_key(target: &str) -> TargetKey {
    xxh3_64(target.as_bytes()) as TargetKey
}

/// Work of one or several nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// Running requests by target.
    pub target_requests: RequestCounts,
    /// Loads from the weight store in progress, by model.
    pub loading: IndexMap<ModelId, u32>,
    /// Demand by model, in groups that the requests would fill.
    pub demand: IndexMap<ModelId, f64>,
    /// Requests per second, by model.
    pub request_rates: IndexMap<ModelId, f64>,
    /// Requests that wait for a slot, by model; empty unless groups change over between models.
    pub waiting: IndexMap<ModelId, u32>,
    /// Demand of the last second by model, in groups; empty unless groups change over.
    pub recent_demand: IndexMap<ModelId, f64>,
}

impl WorkSum {
    /// Adds the work of other nodes.
    ///
    /// ```
    /// use briarswitch_membership::WorkSum;
    ///
    /// let mut sum = WorkSum::default();
    /// let loading = [("chat".to_owned(), 2)].into();
    /// let other = WorkSum { loading, ..WorkSum::default() };
    /// sum.add(&other);
    /// sum.add(&other);
    /// assert_eq!(sum.total_loading(), 4);
    /// ```
    pub fn add(&mut self, other: &Self) {
        for (target, requests) in &other.target_requests {
            let sum = self.target_requests.entry(*target).or_insert(0);
            *sum = sum.saturating_add(*requests);
        }
        add_counts(&mut self.loading, &other.loading);
        add_rates(&mut self.demand, &other.demand);
        add_rates(&mut self.request_rates, &other.request_rates);
        add_counts(&mut self.waiting, &other.waiting);
        add_rates(&mut self.recent_demand, &other.recent_demand);
    }

    /// Subtracts work that the sum contains.
    ///
    /// ```
    /// use briarswitch_membership::WorkSum;
    ///
    /// let sum_of = |count| WorkSum {
    ///     loading: [("chat".to_owned(), count)].into(),
    ///     ..WorkSum::default()
    /// };
    /// let mut sum = sum_of(5);
    /// sum.subtract(&sum_of(2));
    /// assert_eq!(sum.total_loading(), 3);
    /// ```
    pub fn subtract(&mut self, other: &Self) {
        for (target, requests) in &other.target_requests {
            if let Some(sum) = self.target_requests.get_mut(target) {
                *sum = sum.saturating_sub(*requests);
            }
        }
        subtract_counts(&mut self.loading, &other.loading);
        subtract_rates(&mut self.demand, &other.demand);
        subtract_rates(&mut self.request_rates, &other.request_rates);
        subtract_counts(&mut self.waiting, &other.waiting);
        subtract_rates(&mut self.recent_demand, &other.recent_demand);
    }

    /// Returns the number of loads in progress over all models.
    pub fn total_loading(&self) -> u32 {
        let loading = self.loading.values();
        loading.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the requests per second over all models.
    pub fn total_request_rate(&self) -> f64 {
        self.request_rates.values().sum()
    }
}

fn add_counts(sums: &mut IndexMap<ModelId, u32>, counts: &IndexMap<ModelId, u32>) {
    for (model, count) in counts {
        let sum = sums.entry(model.clone()).or_insert(0);
        *sum = sum.saturating_add(*count);
    }
}

fn subtract_counts(sums: &mut IndexMap<ModelId, u32>, counts: &IndexMap<ModelId, u32>) {
    for (model, count) in counts {
        if let Some(sum) = sums.get_mut(model) {
            *sum = sum.saturating_sub(*count);
        }
    }
}

fn add_rates(sums: &mut IndexMap<ModelId, f64>, rates: &IndexMap<ModelId, f64>) {
    for (model, rate) in rates {
        match sums.get_mut(model) {
            Some(sum) => *sum += rate,
            None => {
                sums.insert(model.clone(), *rate);
            }
        }
    }
}

fn subtract_rates(sums: &mut IndexMap<ModelId, f64>, rates: &IndexMap<ModelId, f64>) {
    for (model, rate) in rates {
        if let Some(sum) = sums.get_mut(model) {
            *sum = (*sum - rate).max(0.0);
        }
    }
}
