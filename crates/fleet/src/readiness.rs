//! Conditions that a node has to meet before the load balancer may send callers to it.

use std::fmt;
use std::time::Duration;

/// Condition for a node to be ready.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReadinessCondition {
    /// The node has not been told to end.
    Running,
    /// The listener for callers is bound.
    ///
    /// The other listeners are no condition: callers need none of them, and other nodes pass over one that does not
    /// answer.
    CallerListener,
    /// A configuration has been read.
    Configuration,
    /// The list of targets has been read.
    Directory,
    /// The configuration was confirmed recently enough for callers' keys to be trusted.
    KeyTrust,
}

impl ReadinessCondition {
    /// Returns the name of the condition in logs and on the ready page.
    ///
    /// ```
    /// use briarswitch_fleet::readiness::ReadinessCondition;
    ///
    /// assert_eq!(ReadinessCondition::KeyTrust.name(), "key_trust");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::CallerListener => "caller_listener",
            Self::Configuration => "configuration",
            Self::Directory => "directory",
            Self::KeyTrust => "key_trust",
        }
    }

    /// Returns the event after which the condition is met.
    pub fn awaited(self) -> &'static str {
        match self {
            Self::Running => "a new process",
            Self::CallerListener => "its address",
            Self::Configuration => "the first configuration from the store or a reader",
            Self::Directory => "the first list of targets from the store or a reader",
            Self::KeyTrust => "a response which shows that the configuration is the newest",
        }
    }
}

/// Condition that a node does not meet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingCondition {
    /// The condition.
    pub condition: ReadinessCondition,
    /// Time for which it has not been met.
    pub duration: Duration,
    /// What exactly is missing, where the condition alone does not say it.
    pub detail: Option<String>,
}

impl fmt::Display for MissingCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} for {} ms, waits for {}",
            self.condition.name(),
            self.duration.as_millis(),
            self.condition.awaited()
        )?;
        match &self.detail {
            Some(detail) => write!(f, ": {detail}"),
            None => Ok(()),
        }
    }
}

/// Whether a node is ready, and if not, every condition that it does not meet.
///
/// ```
/// use briarswitch_fleet::readiness::Readiness;
///
/// assert_eq!(Readiness::default().to_string(), "ready");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// Conditions that are not met.
    pub missing: Vec<MissingCondition>,
}

impl Readiness {
    /// Returns whether every condition is met.
    pub fn is_ready(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the conditions that are not met, without their durations.
    pub fn conditions(&self) -> Vec<ReadinessCondition> {
        let missing = self.missing.iter();
        missing.map(|missing| missing.condition).collect()
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_ready() {
            return f.write_str("ready");
        }
        f.write_str("not ready")?;
        for (index, missing) in self.missing.iter().enumerate() {
            let separator = if index == 0 { ": " } else { "; " };
            write!(f, "{separator}{missing}")?;
        }
        Ok(())
    }
}
