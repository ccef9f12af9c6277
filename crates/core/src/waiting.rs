//! The order in which requests that wait for a slot at a target are served.
//!
//! When groups fail faster than they recover, demand exceeds capacity for tens of seconds. Served
//! in order of arrival, every request would wait for the whole queue and all of them would be late,
//! and a late response is worth a quarter of one on time. Therefore requests that can still be on
//! time go first; the others are refused, and their callers are asked to retry.

use std::time::Duration;

use crate::id::Moment;

/// Time beyond the objective for which a late request is kept.
///
/// A late response is worth a quarter of one on time, and a request whose caller is asked to retry
/// is late as well; but a request that is held and then refused has lost that time.
const LATE_MAX_WAIT: Duration = Duration::from_millis(500);
/// Share of the remaining time for which a request that its caller has retried is kept.
///
/// Callers retry only once, so refusing it again would be final.
const RETRIED_WAIT_SHARE: f64 = 0.3;
/// Time for which an interrupted stream waits to be resumed.
///
/// If it is refused, the part already delivered is lost. Callers abandon a stream that pauses for
/// two seconds.
const RESUMPTION_MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Part of its objective, after its arrival, for which a first attempt counts as on time whatever the estimate says.
///
/// The slowest usual first event, 200 ms, leaves a fifth of the shortest objective, 250 ms. Under overload the time to
/// the first event grows beyond the objective; without a minimum every new request would be late on arrival, and late
/// ones are served oldest first, so that each would wait the longest.
const MIN_ON_TIME_SHARE: f64 = 0.2;
/// Shortest delay that a caller is asked to wait before it retries.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Added to the arrival of requests that were retried too early; beyond any arrival in nanoseconds.
const EARLY_RETRY_OFFSET: i128 = 1 << 100;

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// When it arrived; with forecasts, the first arrival of a request that its caller has retried as asked.
    pub arrived: Moment,
    /// Latest time at which a slot would still produce a response on time.
    pub on_time_until: Moment,
    /// Time at which it is refused.
    pub refuse_at: Moment,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Whether part of its response was delivered before its target was lost.
    pub is_resumption: bool,
    /// Whether its caller retried sooner than any caller is asked to.
    pub is_early_retry: bool,
}

/// Whether requests are new, whether they are late, and their priority; the lowest class is served first.
pub(crate) type RequestClass = (bool, bool, u8);

/// Properties of a request when it begins to wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitParams {
    /// When it arrived.
    pub arrived: Moment,
    /// Time that its caller has already waited, at another node or for an earlier response.
    pub waited_before: Duration,
    /// Latency objective: time to the first event.
    pub objective: Duration,
    /// Usual time from getting a slot to the first event.
    pub first_event_time: Duration,
    /// When the response must be complete.
    pub deadline: Moment,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Whether part of its response was delivered before its target was lost.
    pub is_resumption: bool,
    /// Whether requests are refused by forecast, which changes when they count as late and the place of retries.
    pub forecasts: bool,
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitVerdict {
    /// Keep it waiting.
    Wait,
    /// Refuse it now.
    Refuse,
}

impl WaitParams {
    /// Returns whether the caller retried sooner than any caller is asked to.
    fn is_early_retry(&self) -> bool {
        self.forecasts && !self.waited_before.is_zero() && self.waited_before < MIN_RETRY_AFTER
    }

    /// Returns the time after the arrival within which a slot still produces a response on time.
    fn slack(&self) -> Duration {
        if self.is_early_retry() {
            return Duration::ZERO;
        }
        let expected = self.first_event_time + self.waited_before;
        let slack = self.objective.saturating_sub(expected);
        if self.forecasts && self.waited_before.is_zero() {
            slack.max(self.objective.mul_f64(MIN_ON_TIME_SHARE))
        } else {
            slack
        }
    }
}

impl WaitingRequest {
    /// Creates a waiting request.
    ///
    /// It is on time if the first event arrives within the objective, counted from the caller's
    /// first attempt. With forecasts, a first attempt is on time for a fifth of its objective at
    /// least, and a retry that came sooner than callers are asked to is late.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::waiting::{WaitParams, WaitingRequest};
    ///
    /// let ms = Duration::from_millis;
    /// let params = WaitParams {
    ///     arrived: ms(1_000),
    ///     objective: ms(250),
    ///     first_event_time: ms(400),
    ///     deadline: ms(9_000),
    ///     ..WaitParams::default()
    /// };
    /// assert!(WaitingRequest::new(params).is_late(ms(1_001)));
    /// let params = WaitParams { forecasts: true, ..params };
    /// assert!(!WaitingRequest::new(params).is_late(ms(1_050)));
    /// ```
    pub fn new(params: WaitParams) -> Self {
        let is_early_retry = params.is_early_retry();
        let max_wait = if params.is_resumption {
            RESUMPTION_MAX_WAIT
        } else if params.waited_before.is_zero() {
            params.objective + LATE_MAX_WAIT
        } else {
            let remaining = params.deadline.saturating_sub(params.arrived);
            remaining.mul_f64(RETRIED_WAIT_SHARE)
        };
        let keeps_place = params.forecasts && !is_early_retry;
        let arrived = if keeps_place {
            params.arrived.saturating_sub(params.waited_before)
        } else {
            params.arrived
        };
        Self {
            arrived,
            on_time_until: params.arrived + params.slack(),
            refuse_at: (params.arrived + max_wait).min(params.deadline),
            priority: params.priority,
            is_resumption: params.is_resumption,
            is_early_retry,
        }
    }

    /// Returns whether it can no longer be on time; the objective does not apply to a resumption.
    pub fn is_late(&self, now: Moment) -> bool {
        !self.is_resumption && (self.is_early_retry || now > self.on_time_until)
    }

    /// Returns whether the request keeps waiting at `now`.
    pub fn verdict(&self, now: Moment) -> WaitVerdict {
        if now >= self.refuse_at {
            WaitVerdict::Refuse
        } else {
            WaitVerdict::Wait
        }
    }

    /// Returns the sort key of the request; the lowest key is served first.
    ///
    /// Resumptions go first: the longer a stream, the more often its target is lost on the way, and
    /// behind new requests long streams would hardly ever finish where targets are often lost.
    /// Requests that can be on time follow, by priority and then newest first: under overload,
    /// requests served in order of arrival would all be served at the last moment, and any
    /// disturbance would make all of them late. Late requests come last, by priority and arrival;
    /// those of one priority that were retried too early come after the others.
    pub(crate) fn sort_key(&self, now: Moment) -> (bool, bool, u8, i128) {
        let (is_new, is_late, priority) = self.class(now);
        let arrival = self.arrived.as_nanos() as i128;
        let order = if self.is_early_retry {
            arrival + EARLY_RETRY_OFFSET
        } else if is_late || self.is_resumption {
            arrival
        } else {
            -arrival
        };
        (is_new, is_late, priority, order)
    }

    /// Returns the class of the request, between whose members only the arrival decides.
    pub(crate) fn class(&self, now: Moment) -> RequestClass {
        (!self.is_resumption, self.is_late(now), self.priority)
    }
}

/// Returns the index of the request to serve next.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::waiting::{next_waiting, WaitParams, WaitingRequest};
///
/// let at = Duration::from_millis;
/// let open = |arrived| {
///     WaitingRequest::new(WaitParams {
///         arrived: at(arrived),
///         objective: at(300),
///         first_event_time: at(100),
///         deadline: at(9_000),
///         ..WaitParams::default()
///     })
/// };
/// // At 250 ms the first can no longer be on time, but the second can.
/// assert_eq!(next_waiting(&[open(0), open(150)], at(250)), Some(1));
/// ```
pub fn next_waiting(waiting: &[WaitingRequest], now: Moment) -> Option<usize> {
    let keys = waiting.iter().map(|request| request.sort_key(now));
    let (index, _) = keys.enumerate().min_by_key(|(_, sort_key)| *sort_key)?;
    Some(index)
}
