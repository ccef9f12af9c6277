//! Moments as whole microseconds, the form in which atomic values hold them.

use briarswitch_core::id::Moment;

/// Returns a moment in microseconds.
pub(crate) fn micros(moment: Moment) -> u64 {
    u64::try_from(moment.as_micros()).unwrap_or(u64::MAX)
}
