//! Sums of work.

use std::hash::BuildHasherDefault;

use briarswitch_core::id::ModelId;
use indexmap::IndexMap;
use rustc_hash::FxHasher;
use xxhash_rust::xxh3::xxh3_64;

/// Stands for a target's id in what nodes tell each other.
///
/// A hash needs no numbering that all nodes would have to agree on. Two of 12,000 targets have the same
/// with a chance of 2 in 100, and then each looks as loaded as both, which costs a little balance.
pub type TargetKey = u32;

/// Requests by target.
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

/// Work that one or several nodes have or see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// Requests at targets.
    pub target_requests: RequestCounts,
    /// Loads from the weight store under way, by model.
    pub loading: IndexMap<ModelId, u32>,
    /// Groups that the requests would fill, by model.
    pub demand: IndexMap<ModelId, f64>,
    /// Requests in a second, by model.
    pub request_rates: IndexMap<ModelId, f64>,
}

impl WorkSum {
    /// Adds other work.
    ///
    /// ```
    /// use briarswitch_membership::WorkSum;
    ///
    /// let mut sum = WorkSum::default();
    /// let loading = [("chat".to_owned(), 2)].into();
    /// let other = WorkSum { loading, ..WorkSum::default() };
    /// sum.add(&other);
    /// sum.add(&other);
    /// assert_eq!(sum.all_loading(), 4);
    /// ```
    pub fn add(&mut self, other: &Self) {
        for (target, requests) in &other.target_requests {
            *self.target_requests.entry(*target).or_insert(0) += requests;
        }
        for (model, count) in &other.loading {
            *self.loading.entry(model.clone()).or_insert(0) += count;
        }
        add_rates(&mut self.demand, &other.demand);
        add_rates(&mut self.request_rates, &other.request_rates);
    }

    /// Takes work out of a sum that contains it.
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
    /// assert_eq!(sum.all_loading(), 3);
    /// ```
    pub fn subtract(&mut self, other: &Self) {
        for (target, requests) in &other.target_requests {
            if let Some(sum) = self.target_requests.get_mut(target) {
                *sum = sum.saturating_sub(*requests);
            }
        }
        for (model, count) in &other.loading {
            if let Some(sum) = self.loading.get_mut(model) {
                *sum = sum.saturating_sub(*count);
            }
        }
        subtract_rates(&mut self.demand, &other.demand);
        subtract_rates(&mut self.request_rates, &other.request_rates);
    }

    /// Returns the loads under way of all models.
    pub fn total_loading(&self) -> u32 {
        self.loading.values().sum()
    }

    /// Returns the requests in a second for all models.
    pub fn total_request_rate(&self) -> f64 {
        self.request_rates.values().sum()
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
