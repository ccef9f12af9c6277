//! The clock that goes on counting while the machine is suspended.

use std::time::Duration;

use briarswitch_core::id::Moment;
use nix::time::{clock_gettime, ClockId};

/// Reads the boot-time clock.
///
/// The usual monotonic clock stops while a machine is suspended; a holder that woke would then
/// believe that its lease had hardly aged. This clock shows the time that really went by.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was started.
    ///
    /// # Panics
    ///
    /// Panics when the operating system has no boot-time clock, without which no lease is safe.
    pub fn now() -> Moment {
        let reading =
            clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock can be read");
        Duration::from(reading)
    }
}
