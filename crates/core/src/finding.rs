//! Validation errors, each with the path of the value that is wrong.

use std::fmt;

/// A validation error in a settings file or a configuration document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Path of the invalid value, such as `rules[2].when.percent`.
    pub path: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

impl Finding {
    /// Creates a finding for the value at `path`.
    ///
    /// ```
    /// use briarswitch_core::finding::Finding;
    ///
    /// let finding = Finding::new("lease.margin_ms", "must be below lease.duration_ms");
    /// assert_eq!(finding.to_string(), "lease.margin_ms: must be below lease.duration_ms");
    /// ```
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}
