//! Judgement of the targets of one service, or of the groups of one model, and the probe requests to slow ones.

use std::time::Duration;

use super::PROBE_INTERVAL;
use crate::id::Moment;

/// Factor on the median ratio beyond which a target is slow.
///
/// A first event is expected after 100 to 200 ms, so three times that exceeds the strictest objectives of callers.
pub const SLOW_FACTOR: f64 = 3.0;
/// Factor on the median ratio up to which a target remains slow, so that it does not alternate.
pub const NORMAL_FACTOR: f64 = 2.0;
/// Targets of which at most one is set aside; the other three take a third more work at most.
const TARGETS_PER_SLOW_ONE: usize = 4;
/// Factor by which one response changes the usual time of a service at most, so that slow targets do not set it.
const USUAL_TIME_STEP: f64 = 1.05;

/// Speed of one of a model's groups, or of a service's targets, as a node judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgedSpeed {
    /// Ratio observed by this node.
    pub own: f64,
    /// Whether this node has seen enough responses to judge the target.
    pub is_judged: bool,
    /// Ratio relative to the median that other nodes report.
    pub reported: f64,
    /// Whether it is slow so far.
    pub is_slow: bool,
}

impl Default for JudgedSpeed {
    fn default() -> Self {
        Self {
            own: 1.0,
            is_judged: false,
            reported: 1.0,
            is_slow: false,
        }
    }
}

impl JudgedSpeed {
    /// Returns the ratio relative to the `median` of the ratios observed by this node, at least 1.
    ///
    /// A node's path to all targets may be slow, or all of them may be loaded.
    pub fn relative(&self, median: f64) -> f64 {
        self.own_relative(median).max(self.reported)
    }

    /// Returns what this node itself observed relative to the `median`; 1 if it cannot judge.
    pub fn own_relative(&self, median: f64) -> f64 {
        if self.is_judged {
            (self.own / median).max(1.0)
        } else {
            1.0
        }
    }
}

/// Returns the median of the ratios that a node itself observed; 1 if there are none.
///
/// ```
/// use briarswitch_core::speed::{median_ratio, JudgedSpeed};
///
/// let speeds = [4.0, 1.0, 1.5].map(|own| JudgedSpeed { own, ..JudgedSpeed::default() });
/// assert_eq!(median_ratio(&speeds), 1.5);
/// ```
pub fn median_ratio(speeds: &[JudgedSpeed]) -> f64 {
    let mut ratios: Vec<f64> = speeds.iter().map(|speed| speed.own).collect();
    let middle = ratios.len() / 2;
    if ratios.is_empty() {
        return 1.0;
    }
    *ratios.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Returns which targets are set aside, by index: the slowest, and at most a quarter of all.
///
/// ```
/// use briarswitch_core::speed::{slow_set, JudgedSpeed};
///
/// let mut speeds = [JudgedSpeed::default(); 5];
/// speeds[3] = JudgedSpeed { own: 4.0, is_judged: true, ..speeds[3] };
/// assert_eq!(slow_set(&speeds), [false, false, false, true, false]);
/// ```
pub fn slow_set(speeds: &[JudgedSpeed]) -> Vec<bool> {
    let median = median_ratio(speeds);
    let relative = speeds.iter().map(|speed| speed.relative(median));
    let mut slow: Vec<(usize, f64)> = relative
        .enumerate()
        .filter(|(index, ratio)| {
            let limit = if speeds[*index].is_slow {
                NORMAL_FACTOR
            } else {
                SLOW_FACTOR
            };
            *ratio > limit
        })
        .collect();
    slow.sort_by(|left, right| right.1.total_cmp(&left.1));
    slow.truncate(speeds.len() / TARGETS_PER_SLOW_ONE);
    let mut set = vec![false; speeds.len()];
    for (index, _) in slow {
        set[index] = true;
    }
    set
}

/// What decides whether a node sends the next probe request to a slow target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeTurn {
    /// The node's rank for the target among the live nodes, from 0.
    pub rank: usize,
    /// When this node last sent a probe request.
    pub probed_at: Moment,
    /// When a slow response was last known, of this or another node.
    pub renewed_at: Moment,
}

impl ProbeTurn {
    /// Returns whether a probe request may be sent at `now`.
    ///
    /// The first node by rank sends them. The next ones follow only if its responses are missing, since it may have
    /// no callers or be gone.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::ProbeTurn;
    ///
    /// let at = Duration::from_millis;
    /// let turn = |rank| ProbeTurn { rank, probed_at: at(0), renewed_at: at(1_000) };
    /// assert!(turn(0).is_due(at(1_100)));
    /// assert!(!turn(1).is_due(at(1_900)));
    /// assert!(turn(1).is_due(at(2_000)));
    /// ```
    pub fn is_due(&self, now: Moment) -> bool {
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let is_own_due = now >= self.probed_at + PROBE_INTERVAL;
        let missing = PROBE_INTERVAL.saturating_mul(rank.saturating_add(1));
        is_own_due && (rank == 0 || now >= self.renewed_at.saturating_add(missing))
    }
}

/// Time that responses of a service without declared speeds usually take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualTime {
    time: Duration,
}

impl UsualTime {
    /// Returns the usual time; `None` before the first response.
    pub fn get(&self) -> Option<Duration> {
        (!self.time.is_zero()).then_some(self.time)
    }

    /// Records the time that a response took.
    ///
    /// The usual time approaches the median, so that slow targets, which are the minority, do not raise it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::UsualTime;
    ///
    /// let mut usual = UsualTime::default();
    /// usual.record(Duration::from_millis(100));
    /// usual.record(Duration::from_secs(10));
    /// assert_eq!(usual.get(), Some(Duration::from_millis(105)));
    /// ```
    pub fn record(&mut self, time: Duration) {
        if self.time.is_zero() {
            self.time = time;
            return;
        }
        let longest = self.time.mul_f64(USUAL_TIME_STEP);
        let shortest = self.time.div_f64(USUAL_TIME_STEP);
        self.time = time.clamp(shortest, longest);
    }
}
