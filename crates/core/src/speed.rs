//! Observed speed of groups and targets: outlier detection by response times.
//!
//! The load condition is that some targets are several times slower than others, so that their requests are late
//! although slots are free. A ratio of observed to expected time is judged only against the median of the groups of
//! the same model, or of the targets of the same service: if all of them are slow, load is the reason.

use std::time::Duration;

use crate::id::{Moment, TargetId};

mod judgement;

pub use judgement::{
    median_ratio, slow_set, JudgedSpeed, ProbeTurn, UsualTime, NORMAL_FACTOR, SLOW_FACTOR,
};

/// Responses that are needed before a target is judged.
///
/// Callers lose nothing by a single slow response; a target is at fault if most of its responses are slow.
pub const MIN_SAMPLES: u32 = 5;
/// Factor on the median ratio from which a node reports a target to the others; less is ordinary variation.
pub const REPORT_FACTOR: f64 = 1.5;
/// Highest ratio that is told apart.
pub const MAX_RATIO: f64 = 16.0;
/// Time after the last slow response after which a target counts as normal again.
///
/// Probe requests renew the ratio of a slow target four times as often.
pub const RATIO_TTL: Duration = Duration::from_secs(2);
/// Interval of the probe requests that the whole fleet sends to a slow target.
///
/// Three responses at normal speed restore a target, so callers get its slots back within two seconds.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of a sample in the smoothed ratio; three normal ones restore a target from [`MAX_RATIO`].
const SAMPLE_WEIGHT: f64 = 0.5;
/// Largest rise by one sample, in doublings; three slow responses in a row, of any length, reach [`SLOW_FACTOR`].
const MAX_RISE: f64 = 0.75;
/// Ratio of the elapsed to the expected time at which a missing response counts as a slow one.
///
/// Without it, a target that is twelve times slower would be noticed only when its first responses are complete.
const OVERDUE_RATIO: f64 = 4.0;
/// Steps in which ratios are reported, per doubling.
const STEPS_PER_DOUBLING: f64 = 8.0;
/// A ratio of observed to expected time from 1 to [`MAX_RATIO`], in steps of an eighth of a doubling.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SpeedRatio(u8);

impl SpeedRatio {
    /// Returns the nearest step; ratios outside of the range are taken for its ends.
    ///
    /// ```
    /// use briarswitch_core::speed::SpeedRatio;
    ///
    /// assert_eq!(SpeedRatio::nearest(4.0).value(), 4.0);
    /// assert_eq!(SpeedRatio::nearest(0.2).value(), 1.0);
    /// assert_eq!(SpeedRatio::nearest(f64::NAN).value(), 1.0);
    /// ```
    pub fn nearest(ratio: f64) -> Self {
        Self((bounded_level(ratio) * STEPS_PER_DOUBLING).round() as u8)
    }

    /// Returns the ratio with a number of steps above 1.
    pub fn from_steps(steps: u8) -> Self {
        Self::nearest((f64::from(steps) / STEPS_PER_DOUBLING).exp2())
    }

    /// Returns the number of steps above 1.
    pub fn steps(self) -> u8 {
        self.0
    }

    /// Returns the ratio.
    pub fn value(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }
}

/// What one node reports to the others about the speed of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpeedReport {
    /// The target, or the group.
    pub target: TargetId,
    /// Its ratio relative to the median of its service or model; 1 if it is normal again.
    pub ratio: SpeedRatio,
    /// Time since the response that showed it.
    pub age: Duration,
}

/// Time that a response, a first event or the interval to the next event took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpeedSample {
    /// When the time began.
    pub begun_at: Moment,
    /// When it ended, or now if it has not.
    pub ended_at: Moment,
    /// Expected time.
    pub expected: Duration,
}

impl SpeedSample {
    /// Returns the observed time divided by the expected one.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::SpeedSample;
    ///
    /// let at = Duration::from_millis;
    /// let sample = SpeedSample { begun_at: at(1_000), ended_at: at(3_000), expected: at(1_000) };
    /// assert_eq!(sample.ratio(), 2.0);
    /// ```
    pub fn ratio(&self) -> f64 {
        let observed = self.ended_at.saturating_sub(self.begun_at);
        observed.as_secs_f64() / self.expected.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns whether a response that is missing until now counts as a slow one.
    pub fn is_overdue(&self) -> bool {
        self.ratio() >= OVERDUE_RATIO
    }
}

/// What a node has observed of the speed of one target.
///
/// Ratios are smoothed as logarithms, so that a response that takes a hundred times as long does not outweigh many
/// that are normal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedRecord {
    /// Smoothed logarithm to base 2 of the ratio.
    level: f64,
    samples: u32,
    /// When a sample last was slower than [`REPORT_FACTOR`].
    renewed_at: Moment,
    /// When the latest request was sent whose response had normal speed.
    normal_sent_at: Moment,
    /// When a response last had normal speed.
    normal_at: Moment,
    /// Until when this node reports to the others that the target is normal again.
    reported_until: Moment,
    /// End of the last interval between events that counted.
    interval_until: Moment,
}

impl SpeedRecord {
    /// Records a sample; returns whether it counts.
    ///
    /// A slow response to a request that was sent before one with a normal response shows a state that has passed.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::{SpeedRecord, SpeedSample};
    ///
    /// let at = Duration::from_millis;
    /// let mut record = SpeedRecord::default();
    /// record.record(&SpeedSample { begun_at: at(0), ended_at: at(1_600), expected: at(100) });
    /// assert!((1.5..2.0).contains(&record.ratio(at(1_600))));
    /// assert!(!record.is_judged());
    /// ```
    pub fn record(&mut self, sample: &SpeedSample) -> bool {
        let is_slow = sample.ratio() > REPORT_FACTOR;
        if is_slow && self.is_overtaken(sample) {
            return false;
        }
        let level = bounded_level(sample.ratio());
        self.forget_expired(sample.ended_at);
        self.level += ((level - self.level) * SAMPLE_WEIGHT).min(MAX_RISE);
        self.samples = (self.samples + 1).min(MIN_SAMPLES);
        if is_slow {
            self.renewed_at = self.renewed_at.max(sample.ended_at);
        } else {
            self.normal_sent_at = self.normal_sent_at.max(sample.begun_at);
            self.normal_at = self.normal_at.max(sample.ended_at);
        }
        true
    }

    /// Records the interval between two events of a stream; returns whether it counts.
    ///
    /// All streams of a group get their events from the same pass, so of intervals that overlap only one counts.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::{SpeedRecord, SpeedSample};
    ///
    /// let at = Duration::from_millis;
    /// let interval = SpeedSample { begun_at: at(100), ended_at: at(200), expected: at(50) };
    /// let mut record = SpeedRecord::default();
    /// assert!(record.record_interval(&interval));
    /// assert!(!record.record_interval(&interval));
    /// ```
    pub fn record_interval(&mut self, sample: &SpeedSample) -> bool {
        if sample.begun_at < self.interval_until {
            return false;
        }
        self.interval_until = sample.ended_at;
        self.record(sample)
    }

    /// Records that another node got a response at normal speed at `normal_at`, after it had reported the target.
    pub fn record_normal(&mut self, normal_at: Moment) {
        if normal_at > self.renewed_at {
            self.level = 0.0;
        }
    }

    /// Keeps the ratio from expiring while a response is still missing that has counted as a slow one before.
    pub fn renew(&mut self, sample: &SpeedSample) {
        if !self.is_overtaken(sample) && !self.is_expired(sample.ended_at) {
            self.renewed_at = self.renewed_at.max(sample.ended_at);
        }
    }

    /// Returns the smoothed ratio, at least 1.
    pub fn ratio(&self, now: Moment) -> f64 {
        if self.is_expired(now) {
            1.0
        } else {
            self.level.exp2()
        }
    }

    /// Returns whether there were enough samples to judge the target.
    pub fn is_judged(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns what this node reports to the others at `now`, with the age of the response that showed it.
    ///
    /// `relative` is the ratio relative to the median. After a target was reported as slow, it is reported as normal for
    /// a while, so that the other nodes need not wait until their information expires.
    pub fn report(&mut self, relative: f64, now: Moment) -> Option<(SpeedRatio, Duration)> {
        if relative > REPORT_FACTOR {
            self.reported_until = now + RATIO_TTL;
            let age = now.saturating_sub(self.renewed_at);
            return Some((SpeedRatio::nearest(relative), age));
        }
        let is_ended = now < self.reported_until && self.normal_at > Moment::ZERO;
        let age = now.saturating_sub(self.normal_at);
        is_ended.then_some((SpeedRatio::default(), age))
    }

    /// Returns when the last sample was slow; zero if none was.
    pub fn renewed_at(&self) -> Moment {
        self.renewed_at
    }

    /// Forgets the ratio, since the target itself reports that it is normal.
    pub fn clear(&mut self, now: Moment) {
        *self = Self {
            normal_sent_at: now,
            normal_at: now,
            reported_until: self.reported_until,
            ..Self::default()
        };
    }

    fn is_overtaken(&self, sample: &SpeedSample) -> bool {
        sample.begun_at < self.normal_sent_at
    }

    fn is_expired(&self, now: Moment) -> bool {
        now >= self.renewed_at + RATIO_TTL
    }

    fn forget_expired(&mut self, now: Moment) {
        if self.is_expired(now) {
            self.level = 0.0;
        }
    }
}

/// Ratio of a target that another node reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedSpeed {
    ratio: SpeedRatio,
    renewed_at: Moment,
}

impl ReportedSpeed {
    /// Records a report that arrived at `now`; the newest one counts.
    ///
    /// Nodes that have seen fewer slow responses report lower ratios, which do not replace a higher one at once.
    pub fn record(&mut self, ratio: SpeedRatio, age: Duration, now: Moment) {
        let renewed_at = now.saturating_sub(age);
        let is_newer = renewed_at >= self.renewed_at;
        let is_later = renewed_at >= self.renewed_at + PROBE_INTERVAL;
        let is_normal = ratio == SpeedRatio::default();
        if is_newer && (ratio >= self.ratio || is_normal || is_later) {
            *self = Self { ratio, renewed_at };
        }
    }

    /// Returns the reported ratio; 1 if there is none.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::speed::{ReportedSpeed, SpeedRatio, RATIO_TTL};
    ///
    /// let mut reported = ReportedSpeed::default();
    /// let now = Duration::from_secs(9);
    /// reported.record(SpeedRatio::nearest(8.0), Duration::ZERO, now);
    /// assert_eq!(reported.ratio(now), 8.0);
    /// assert_eq!(reported.ratio(now + RATIO_TTL), 1.0);
    /// ```
    pub fn ratio(&self, now: Moment) -> f64 {
        if now < self.renewed_at + RATIO_TTL {
            self.ratio.value()
        } else {
            1.0
        }
    }

    /// Returns when the reported response arrived at the other node; zero if there is no report.
    pub fn renewed_at(&self) -> Moment {
        self.renewed_at
    }
}

/// Returns the logarithm to base 2 of a ratio, limited to the range that is told apart.
fn bounded_level(ratio: f64) -> f64 {
    // Not `clamp`, which would let NaN through.
    let ratio = ratio.max(1.0);
    ratio.min(MAX_RATIO).log2()
}
