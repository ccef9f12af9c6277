//! Choice of a target from what is known of each.

use std::time::Duration;

/// What is known of one target when a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// Requests running and queued there by its last report.
    pub reported: u32,
    /// Requests this node has sent there that are still in flight.
    pub in_flight: u32,
    /// Requests this node has sent there since the last report was made.
    pub sent_since_report: u32,
    /// Share of the prompt believed to be cached there, 0 to 1.
    pub cached_share: f64,
    /// Smoothed time to the first token; zero when nothing is known.
    pub latency: Duration,
    /// Whether it is the target that all nodes send prompts with this beginning to.
    pub is_affinity_target: bool,
    /// Whether the target stands in another zone.
    pub is_remote: bool,
}

/// Weights of the blend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPicker {
    /// Cost of one request ahead in the queue.
    pub queue_cost: f64,
    /// Saving of a wholly cached prompt.
    pub prefix_saving: f64,
    /// Share of the prompt taken to be cached at its home at least.
    pub affinity_cached_share: f64,
    /// Cost of standing in another zone.
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
    /// Returns the index of the better of two candidates drawn by `draws`, or `None` when there are
    /// no loads.
    ///
    /// Power of two choices (Mitzenmacher, 2001) over the blend: taking the best of all would make
    /// every node herd to the same target while reports lag. The target with the longest cached
    /// prefix is a candidate as well, since two random draws would mostly miss it, and the first draw
    /// is from the near zone's targets where there are any, since among many zones two draws from
    /// all would mostly miss those too.
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
        let near: Vec<usize> = (0..loads.len())
            .filter(|index| !loads[*index].is_remote)
            .collect();
        let first = match near.len() {
            0 => draws[0] % loads.len(),
            count => near[draws[0] % count],
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
        let ahead = (load.reported + load.sent_since_report).max(load.in_flight);
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
