//! Findings of a check, each with the place it speaks of.

use std::fmt;

/// One thing wrong with a settings file or a configuration document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where the fault stands, such as `rules[2].when.percent`.
    pub path: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

impl Finding {
    /// Makes a finding for a place.
    ///
    /// ```
    /// use briarswitch_core::finding::Finding;
    ///
    /// let finding = Finding::new("lease.margin_ms", "must be below lease.duration_ms");
    /// assert_eq!(finding.to_string(), "lease.margin_ms: must be below lease.duration_ms");
    /// ```
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: place.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}
