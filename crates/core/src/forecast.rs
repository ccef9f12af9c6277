//! Forecasts when a slot can be expected for a waiting request, and refuses requests that would wait in vain.
//!
//! If more requests arrive than can be served, some of them wait until they are refused. Their callers lose that time
//! and retry later than they could have.

use std::time::Duration;

use crate::id::Moment;
use crate::waiting::WaitingRequest;

/// What is known of the slots that a waiting request competes for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotOutlook {
    /// Waiting requests that are served before it.
    pub ahead: usize,
    /// Requests per second that will arrive and be served before it.
    pub preceding_rate: f64,
    /// Slots that are free now.
    pub free_slots: u32,
    /// Slots per second that become free; zero if nothing is known yet.
    pub release_rate: f64,
}

impl SlotOutlook {
    /// Returns the expected time until a slot is free for the request; `None` if there will be none as things stand.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_core::forecast::SlotOutlook;
    ///
    /// let outlook = SlotOutlook { ahead: 9, preceding_rate: 10.0, free_slots: 0, release_rate: 30.0 };
    /// assert_eq!(outlook.expected_wait(), Some(Duration::from_millis(500)));
    /// let overloaded = SlotOutlook { release_rate: 10.0, ..outlook };
    /// assert_eq!(overloaded.expected_wait(), None);
    /// ```
    pub fn expected_wait(&self) -> Option<Duration> {
        let missing = (self.ahead + 1).saturating_sub(self.free_slots as usize);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let net_rate = self.release_rate - self.preceding_rate;
        (net_rate > 0.0).then(|| Duration::from_secs_f64(missing as f64 / net_rate))
    }
}

/// A request that is refused because no slot can be expected in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Time until a slot can be expected; `None` if that is not known.
    pub available_in: Option<Duration>,
}

/// Returns whether a waiting request is to be refused now.
pub fn refusal(request: &WaitingRequest, outlook: &SlotOutlook, now: Moment) -> Option<Refusal> {
    if outlook.release_rate <= 0.0 {
        return None;
    }
    let available_in = outlook.expected_wait();
    let is_hopeless = available_in.is_none_or(|wait| now + wait > request.refuse_at);
    is_hopeless.then_some(Refusal { available_in })
}
