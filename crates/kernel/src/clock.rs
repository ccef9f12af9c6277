//! Monotonic clock that also counts the time for which the machine is suspended.

use std::time::Duration;

use briarswitch_core::id::Moment;
use nix::time::{clock_gettime, ClockId};

/// Reads the boot-time clock.
///
/// `CLOCK_MONOTONIC` stops while a machine is suspended, so a lease holder that resumes would regard an
/// expired lease as valid. The boot-time clock includes the time of suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine booted.
    ///
    /// # Panics
    ///
    /// Panics when the operating system has no boot-time clock, which leases depend on.
    pub fn now() -> Moment {
        let reading =
            clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock must be readable");
        Duration::from(reading)
    }
}
