//! Whether the requests for a model wait in the queue that all nodes share.

/// Utilization of a model's groups from which they count as contended.
///
/// Below it, each node finds a free slot by itself.
pub const ENTER_UTILIZATION: f64 = 0.75;
/// Utilization down to which they still count as contended, so that the mode does not alternate.
pub const LEAVE_UTILIZATION: f64 = 0.65;

/// Whether the groups of a model are contended, with hysteresis.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueMode {
    is_contended: bool,
}

impl QueueMode {
    /// Returns whether the groups are contended.
    pub fn is_contended(self) -> bool {
        self.is_contended
    }

    /// Updates the mode with the present utilization, from 0 to 1; returns whether it has changed.
    ///
    /// ```
    /// use briarswitch_fleet::queue_mode::QueueMode;
    ///
    /// let mut mode = QueueMode::default();
    /// assert!(!mode.update(0.7));
    /// assert!(mode.update(0.75) && mode.is_contended());
    /// assert!(!mode.update(0.7) && mode.is_contended());
    /// assert!(mode.update(0.6) && !mode.is_contended());
    /// ```
    pub fn update(&mut self, utilization: f64) -> bool {
        let bound = if self.is_contended {
            LEAVE_UTILIZATION
        } else {
            ENTER_UTILIZATION
        };
        let was_contended = self.is_contended;
        self.is_contended = utilization >= bound;
        self.is_contended != was_contended
    }
}
