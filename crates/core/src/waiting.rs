//! Requests that wait for a place at a target, and who of them goes next.
//!
//! The load this answers: groups are lost faster than they are mended, and for tens of seconds
//! callers ask for more than is left. Served in order of arrival, every request waits as long as the
//! queue is and all of them are late, which is worth a quarter of an answer on time. Served by who can
//! still be on time, as many are on time as there are places, and the others are told to come back.

use std::time::Duration;

use crate::id::Moment;

/// Time for which a request is kept that can not be on time any more.
///
/// A late answer is worth a quarter of one on time, and a caller that was told to come back is late as
/// well; but a request that is held and then refused has lost that time.
const LATE_MAX_WAIT: Duration = Duration::from_millis(500);
/// Part of the time it has left for which a request is kept that has come back already.
///
/// Its caller comes back only once, so refusing it again is the end of it.
const RETRIED_WAIT_SHARE: f64 = 0.3;

/// Time for which a stream is kept that broke off and is to go on.
///
/// What was delivered of it is lost if it ends. Callers leave a stream that pauses for two seconds.
const RESUMPTION_MAX_WAIT: Duration = Duration::from_millis(1_500);

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRequest {
    /// When it came.
    pub arrived: Moment,
    /// Last moment at which a place would still give an answer on time.
    pub on_time_until: Moment,
    /// Moment at which it is given up and refused.
    pub refuse_at: Moment,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Whether part of its answer was delivered before its target was lost.
    pub is_resumption: bool,
}

/// What is known of a request when it begins to wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitParams {
    /// When it came.
    pub arrived: Moment,
    /// Time its caller had waited before, at another node or for an earlier answer.
    pub waited_before: Duration,
    /// Time to the first event that callers were promised.
    pub objective: Duration,
    /// Time that usually passes from a place to the first event.
    pub first_event_time: Duration,
    /// When the answer has to be there.
    pub deadline: Moment,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Whether part of its answer was delivered before its target was lost.
    pub is_resumption: bool,
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitVerdict {
    /// It goes on waiting.
    Wait,
    /// It is refused now.
    Refuse,
}

impl WaitingRequest {
    /// Returns a waiting request.
    ///
    /// A place is useful as long as the first event can come within the objective, counted from the
    /// caller's first attempt.
    pub fn new(terms: WaitParams) -> Self {
        let slack = terms
            .objective
            .saturating_sub(terms.first_event_time + terms.waited_before);
        let useful_until = terms.arrived + slack;
        let late = if terms.is_resumption {
            RESUMPTION_MAX_WAIT
        } else if terms.waited_before.is_zero() {
            terms.objective + LATE_MAX_WAIT
        } else {
            let left = terms.deadline.saturating_sub(terms.arrived);
            left.mul_f64(RETRIED_WAIT_SHARE)
        };
        Self {
            arrived: terms.arrived,
            on_time_until: useful_until,
            refuse_at: (terms.arrived + late).min(terms.deadline),
            priority: terms.priority,
            is_resumption: terms.is_resumption,
        }
    }

    /// Returns whether it can not be on time any more; one that has begun is not held to that.
    pub fn is_late(&self, now: Moment) -> bool {
        !self.is_resumption && now > self.on_time_until
    }

    /// Returns whether the request still waits at `now`.
    pub fn verdict(&self, now: Moment) -> WaitVerdict {
        if now >= self.refuse_at {
            WaitVerdict::Refuse
        } else {
            WaitVerdict::Wait
        }
    }

    /// Returns the key by which requests are ordered; the lowest goes next.
    ///
    /// Streams that have begun go before all others. The longer a stream, the more often its target is lost on the
    /// way; behind callers that have just come, long ones are hardly ever finished where targets are often lost.
    /// Those that can be on time go next, by rank and then the newest: while more is asked for than
    /// is left, whoever is served at the last moment is late by the least thing, and so would be all.
    /// The late ones follow by rank and arrival.
    fn key(&self, now: Moment) -> (bool, bool, u8, i128) {
        let is_late = self.is_late(now);
        let arrival = self.arrived.as_nanos() as i128;
        (
            !self.is_resumption,
            is_late,
            self.priority,
            if is_late || self.is_resumption {
                arrival
            } else {
                -arrival
            },
        )
    }
}

/// Returns the index of the request that goes next.
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
/// // At 250 ms the first can not be on time any more and the second can.
/// assert_eq!(next_waiting(&[open(0), open(150)], at(250)), Some(1));
/// ```
pub fn next_waiting(waiting: &[WaitingRequest], now: Moment) -> Option<usize> {
    let keys = waiting.iter().map(|request| request.key(now));
    let (index, _) = keys.enumerate().min_by_key(|(_, key)| *key)?;
    Some(index)
}
