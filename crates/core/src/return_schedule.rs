//! Times at which refused callers are asked to return.

use std::time::Duration;

use crate::forecast::Refusal;
use crate::id::Moment;
use crate::waiting::MIN_RETRY_AFTER;

/// Longest delay for a caller for which there is no forecast; the delay is random so that callers refused at the same
/// time do not return at the same time.
const MAX_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Part of its remaining time that a caller is asked to wait at most; a caller ignores a longer delay.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Part of the longest delay after which callers are asked to return if no capacity is expected before it ends.
///
/// A caller returns only once, so it returns late, when the overload is most likely over; the rest spreads those who
/// are refused together.
const LATE_RETURN_SHARE: f64 = 2.0 / 3.0;

/// A caller that is refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusedCaller {
    /// Time for which it still waits for its response.
    pub remaining: Duration,
    /// Whether it has retried already; callers retry only once.
    pub is_retry: bool,
}

/// Times at which refused callers of one model were asked to return.
///
/// They are one after the other at the rate at which capacity comes: callers that all return at the time at which the
/// first slot becomes free would be refused again.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// In ascending order.
    returns: Vec<Moment>,
}

impl ReturnSchedule {
    /// Returns the time after which a refused caller is to return, and keeps that time free of others.
    ///
    /// `release_rate` is the number of slots per second that become free, and `draw` a random number from 0 to 1 for
    /// when all times are taken.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::forecast::Refusal;
    /// use briarswitch_core::return_schedule::{RefusedCaller, ReturnSchedule};
    ///
    /// let ms = Duration::from_millis;
    /// let mut schedule = ReturnSchedule::default();
    /// let refusal = Refusal { available_in: Some(ms(1_200)) };
    /// let caller = RefusedCaller { remaining: ms(9_000), is_retry: false };
    /// let mut assign = |now| schedule.assign(refusal, caller, 10.0, 0.5, now);
    /// assert_eq!(assign(ms(5_000)), ms(1_200));
    /// assert_eq!(assign(ms(5_000)), ms(1_300));
    /// assert_eq!(assign(ms(5_050)), ms(1_350));
    /// ```
    pub fn assign(
        &mut self,
        refusal: Refusal,
        caller: RefusedCaller,
        release_rate: f64,
        draw: f64,
        now: Moment,
    ) -> Duration {
        let passed = self.returns.partition_point(|at| *at < now);
        self.returns.drain(..passed);
        let (earliest, latest) = return_range(refusal, caller.remaining);
        let spacing = Duration::try_from_secs_f64(release_rate.recip()).unwrap_or(latest);
        let (index, at) = self.first_gap(now + earliest, spacing);
        if at > now + latest {
            return earliest + (latest - earliest).mul_f64(draw);
        }
        if !caller.is_retry {
            self.returns.insert(index, at);
        }
        at - now
    }

    /// Returns the first time from `earliest` on that has a distance of `spacing` from all others, and its index.
    fn first_gap(&self, earliest: Moment, spacing: Duration) -> (usize, Moment) {
        let mut index = self.returns.partition_point(|at| *at + spacing <= earliest);
        let mut gap_start = earliest;
        while let Some(next) = self.returns.get(index) {
            if gap_start + spacing <= *next {
                break;
            }
            gap_start = *next + spacing;
            index += 1;
        }
        (index, gap_start)
    }
}

/// Returns the range of the time after which a refused caller is to return.
fn return_range(refusal: Refusal, remaining: Duration) -> (Duration, Duration) {
    let latest = remaining.mul_f64(MAX_WAIT_SHARE).max(MIN_RETRY_AFTER);
    let expected = refusal.available_in.filter(|expected| *expected < latest);
    let earliest = expected.unwrap_or_else(|| latest.mul_f64(LATE_RETURN_SHARE));
    (earliest.max(MIN_RETRY_AFTER), latest)
}

/// Returns the time after which a caller is to return that was refused without a forecast; `draw` is a random number
/// from 0 to 1.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::return_schedule::unscheduled_return;
///
/// assert_eq!(unscheduled_return(0.0), Duration::from_millis(200));
/// assert_eq!(unscheduled_return(1.0), Duration::from_millis(600));
/// ```
pub fn unscheduled_return(draw: f64) -> Duration {
    MIN_RETRY_AFTER + (MAX_UNKNOWN_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(draw)
}
