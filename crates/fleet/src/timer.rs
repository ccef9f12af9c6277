//! How late a timer of this node may fire before its time-out says something about the node instead of a target.

use std::time::Duration;

/// Delay of a timer beyond which a time-out proves nothing about a target.
pub(crate) const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);
