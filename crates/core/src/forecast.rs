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
    /// Requests per second that will arrive and belong to a class that is served before its own.
    ///
    /// For a request on time, these are the more urgent ones; newer ones of its own priority do not count.
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
        if net_rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing as f64 / net_rate).ok()
    }
}

/// A request that is refused because no slot can be expected in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Time until a slot can be expected; `None` if that is not known.
    pub available_in: Option<Duration>,
}

/// Returns whether a waiting request is to be refused now.
///
/// A request that is on time is kept if slots are left for its class: newer ones go before it, but any of them may be
/// the last. A resumption is kept until its time is over: a refusal loses what was delivered, and an early one gains
/// nothing.
///
/// ```
/// use std::time::Duration;
///
/// use briarswitch_core::forecast::{refusal, SlotOutlook};
/// use briarswitch_core::waiting::{WaitParams, WaitingRequest};
///
/// let ms = Duration::from_millis;
/// let params = WaitParams { objective: ms(300), deadline: ms(9_000), ..WaitParams::default() };
/// let request = WaitingRequest::new(params);
/// let outlook = SlotOutlook { ahead: 40, preceding_rate: 10.0, free_slots: 0, release_rate: 30.0 };
/// assert!(refusal(&request, &outlook, ms(0)).is_none());
/// let refusal = refusal(&request, &outlook, ms(301)).unwrap();
/// assert_eq!(refusal.available_in, Some(ms(2_050)));
/// ```
pub fn refusal(request: &WaitingRequest, outlook: &SlotOutlook, now: Moment) -> Option<Refusal> {
    if outlook.release_rate <= 0.0 || request.is_resumption {
        return None;
    }
    let has_class_slots = outlook.release_rate > outlook.preceding_rate;
    if !request.is_late(now) && has_class_slots {
        return None;
    }
    let available_in = outlook.expected_wait();
    let is_hopeless = available_in.is_none_or(|wait| now + wait > request.refuse_at);
    is_hopeless.then_some(Refusal { available_in })
}
