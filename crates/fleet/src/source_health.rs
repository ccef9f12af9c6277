//! Availability of a source, and delays before retries.

use std::time::Duration;

use briarswitch_core::id::Moment;

use crate::ports::SourceError;

/// Minimum and maximum delay before a retry after a source failed.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(450));

/// Returns a random delay before a retry after a source failed.
pub(crate) fn retry_delay() -> Duration {
    let (min, max) = RETRY_DELAY;
    min + (max - min).mul_f64(rand::random::<f64>())
}

/// Tracks whether a source is available, and logs each change once.
#[derive(Debug, Default)]
pub(crate) struct SourceHealth {
    lost_at: Option<Moment>,
}

impl SourceHealth {
    pub(crate) fn record(&mut self, name: &'static str, error: Option<&SourceError>, now: Moment) {
        match (error, self.lost_at) {
            (Some(error), None) => {
                self.lost_at = Some(now);
                log::warn!(source = name, error:% = error; "dependency_lost");
            }
            (None, Some(since)) => {
                self.lost_at = None;
                let ms = now.saturating_sub(since).as_millis() as u64;
                log::info!(source = name, away_ms = ms; "dependency_regained");
            }
            _ => {}
        }
    }

    /// Returns the maximum wait of the next request.
    ///
    /// A long poll whose connection is cut ends only at its time-out. Until the source has
    /// responded again, requests therefore do not wait. Otherwise the end of a partition would be
    /// noticed two seconds late, and callers' keys would be refused that much longer.
    pub(crate) fn max_wait(&self, normal: Duration) -> Duration {
        if self.lost_at.is_some() {
            Duration::ZERO
        } else {
            normal
        }
    }
}
