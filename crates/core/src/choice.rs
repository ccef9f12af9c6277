//! Selection of a target by estimated cost.

use std::time::Duration;

/// What a node knows of a target when it places a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests running and queued according to the last report.
    pub reported: u32,
    /// Requests that this node has sent and that are still in flight.
    pub in_flight: u32,
    /// Requests that this node has sent since the last report was made.
    pub sent_since_report: u32,
    /// Estimated share of the prompt that is cached there, 0 to 1.
    pub cached_share: f64,
    /// Smoothed time to the first token; zero if unknown.
    pub latency: Duration,
    /// Whether all nodes prefer this target for prompts with the same prefix.
    pub is_affinity_target: bool,
    /// Whether the target is in another zone.
    pub is_remote: bool,
}

/// Weights of the cost function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPicker {
    /// Cost of each request ahead in the queue.
    pub queue_cost: f64,
    /// Reduction for a fully cached prompt.
    pub prefix_saving: f64,
    /// Minimum share of the prompt that is assumed to be cached at its affinity target.
    pub affinity_cached_share: f64,
    /// Cost of a target in another zone.
    pub remote_cost: f64,
    /// Cost of each multiple of the fastest target's latency.
    pub straggler_cost: f64,
}

impl Default for TargetPicker {
    fn default() -> Self {
        Self {
            queue_cost: 1.0,
            prefix_saving: 8.0,
            affinity_cached_share: 1.0,
            remote_cost: 2.0,
            straggler_cost: 2.0,
        }
    }
}

impl TargetPicker {
    /// Returns the index of the target with the lowest cost among two random candidates and the one
    /// with the longest cached prefix, or `None` if `loads` is empty.
    ///
    /// This is the power of two choices (Mitzenmacher, 2001). Taking the best of all targets would
    /// send the requests of all nodes to the same target until its next report. The target with the
    /// longest cached prefix is always a candidate, since two random draws would mostly miss it.
    /// The first draw is made among the targets of the node's own zone if there are any: with many
    /// zones, two draws from all targets would mostly miss those too.
    ///
    /// ```
    /// use briarswitch_core::choice::{TargetLoad, TargetPicker};
    ///
    /// let loads = [TargetLoad { reported: 9, ..Default::default() }, TargetLoad::default()];
    /// assert_eq!(TargetPicker::default().pick(&loads, [0, 1]), Some(1));
    /// ```
    pub fn pick(&self, loads: &[TargetLoad], draws: [usize; 2]) -> Option<usize> {
        if loads.is_empty() {
            return None;
        }
        let fastest = loads
            .iter()
            .map(|load| load.latency)
            .filter(|latency| !latency.is_zero())
            .min()
            .unwrap_or_default();
        let cached = (0..loads.len()).max_by(|left, right| {
            self.cached_share(&loads[*left])
                .total_cmp(&self.cached_share(&loads[*right]))
        })?;
        let in_zone: Vec<usize> = (0..loads.len())
            .filter(|index| !loads[*index].is_remote)
            .collect();
        let first = match in_zone.len() {
            0 => draws[0] % loads.len(),
            count => in_zone[draws[0] % count],
        };
        [first, draws[1] % loads.len(), cached]
            .into_iter()
            .min_by(|left, right| {
                let left = self.cost(&loads[*left], fastest);
                let right = self.cost(&loads[*right], fastest);
                left.total_cmp(&right)
            })
    }

    fn cached_share(&self, load: &TargetLoad) -> f64 {
        if load.is_affinity_target {
            load.cached_share.max(self.affinity_cached_share)
        } else {
            load.cached_share
        }
    }

    fn cost(&self, load: &TargetLoad, fastest: Duration) -> f64 {
        let expected = load.reported.saturating_add(load.sent_since_report);
        let ahead = expected.max(load.in_flight);
        let slowness = if fastest.is_zero() || load.latency.is_zero() {
            0.0
        } else {
            load.latency.as_secs_f64() / fastest.as_secs_f64() - 1.0
        };
        let remote = if load.is_remote {
            self.remote_cost
        } else {
            0.0
        };
        f64::from(ahead) * self.queue_cost - self.cached_share(load) * self.prefix_saving
            + remote
            + slowness.max(0.0) * self.straggler_cost
    }
}
