//! Speed of one target as this node observes and judges it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::id::{GroupId, Moment};
use briarswitch_core::speed::{
    JudgedSpeed, ProbeTurn, ReportedSpeed, SpeedRatio, SpeedRecord, SpeedSample, PROBE_INTERVAL,
};

use crate::micros::micros;

#[derive(Debug, Default)]
struct SpeedState {
    record: SpeedRecord,
    reported: ReportedSpeed,
    /// Ratio relative to the median that this node itself observed.
    own_relative: f64,
    /// Group that the target leads, if any.
    group: Option<GroupId>,
}

/// Observed speed of one target, or of the group that it leads.
///
/// Samples are recorded as responses arrive; the judgement is published at intervals, so that selecting a target only
/// reads it.
#[derive(Debug, Default)]
pub struct TargetSpeed {
    state: Mutex<SpeedState>,
    /// Bits of the ratio relative to the median; zero if the target has not been judged.
    ratio: AtomicU32,
    is_slow: AtomicBool,
    probed_at: AtomicU64,
}

impl TargetSpeed {
    /// Records the time to a response or to a first event; returns whether it counts.
    pub fn record(&self, sample: &SpeedSample) -> bool {
        self.lock().record.record(sample)
    }

    /// Records the interval between two events.
    pub fn record_interval(&self, sample: &SpeedSample) {
        self.lock().record.record_interval(sample);
    }

    /// Keeps the ratio from expiring while a response is missing that has counted as a slow one.
    pub fn renew(&self, sample: &SpeedSample) {
        self.lock().record.renew(sample);
    }

    /// Records what another node reports.
    pub fn record_report(&self, ratio: SpeedRatio, age: Duration, now: Moment) {
        let mut state = self.lock();
        state.reported.record(ratio, age, now);
        if ratio == SpeedRatio::default() {
            state.record.record_normal(now.saturating_sub(age));
        }
    }

    /// Returns what this node reports to the others, with the age of the response that showed it.
    pub fn report(&self, now: Moment) -> Option<(SpeedRatio, Duration)> {
        let mut state = self.lock();
        let own_relative = state.own_relative;
        state.record.report(own_relative, now)
    }

    /// Returns what is known of the target, for the judgement.
    ///
    /// What was observed of another group that the target led says nothing about this one.
    pub fn judged(&self, group: Option<&GroupId>, now: Moment) -> JudgedSpeed {
        let mut state = self.lock();
        if state.group.as_ref() != group {
            *state = SpeedState {
                group: group.cloned(),
                ..SpeedState::default()
            };
        }
        JudgedSpeed {
            own: state.record.ratio(now),
            is_judged: state.record.is_judged(),
            reported: state.reported.ratio(now),
            is_slow: self.is_slow(),
        }
    }

    /// Publishes the judgement; returns whether the target has become slow or normal by it.
    pub fn publish(&self, speed: &JudgedSpeed, median: f64, is_slow: bool) -> bool {
        self.lock().own_relative = speed.own_relative(median);
        let ratio = speed.relative(median) as f32;
        self.ratio.store(ratio.to_bits(), Ordering::Relaxed);
        self.is_slow.swap(is_slow, Ordering::Relaxed) != is_slow
    }

    /// Forgets what was observed, since the target itself reports that its pace is normal.
    pub fn clear(&self, now: Moment) {
        let mut state = self.lock();
        state.record.clear(now);
        state
            .reported
            .record(SpeedRatio::default(), Duration::ZERO, now);
    }

    /// Returns the ratio relative to the median of the model's groups, or of the service's targets.
    pub fn ratio(&self) -> f64 {
        match self.ratio.load(Ordering::Relaxed) {
            0 => 1.0,
            bits => f64::from(f32::from_bits(bits)),
        }
    }

    /// Returns whether the target gets only probe requests.
    pub fn is_slow(&self) -> bool {
        self.is_slow.load(Ordering::Relaxed)
    }

    /// Returns whether this node may send a probe request now; `rank` is only called if none was sent lately.
    pub fn is_probe_due(&self, now: Moment, rank: impl FnOnce() -> Option<usize>) -> bool {
        let probed_at = Duration::from_micros(self.probed_at.load(Ordering::Relaxed));
        if now < probed_at + PROBE_INTERVAL {
            return false;
        }
        let Some(rank) = rank() else {
            // The rank is not computed again for each request.
            self.record_probe(now);
            return false;
        };
        let state = self.lock();
        let turn = ProbeTurn {
            rank,
            probed_at,
            renewed_at: state.record.renewed_at().max(state.reported.renewed_at()),
        };
        turn.is_due(now)
    }

    /// Records that a probe request is sent, unless another thread has just sent one; returns whether it may be sent.
    pub fn claim_probe(&self, now: Moment) -> bool {
        let before = self.probed_at.load(Ordering::Relaxed);
        let is_due = now >= Duration::from_micros(before) + PROBE_INTERVAL;
        let order = Ordering::Relaxed;
        is_due
            && self
                .probed_at
                .compare_exchange(before, micros(now), order, order)
                .is_ok()
    }

    /// Records that a request is sent, after which no probe request is due for a while.
    pub fn record_probe(&self, now: Moment) {
        self.probed_at.store(micros(now), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, SpeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a ratio with the two decimals that logs show.
pub(crate) fn rounded(ratio: f64) -> f64 {
    (ratio * 100.0).round() / 100.0
}
