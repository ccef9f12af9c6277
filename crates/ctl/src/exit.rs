//! Exit codes, as `docs/OPERATIONS.md` lists them.

/// Exit status of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command line or an input file is invalid.
    Usage,
    /// The edit was refused because it is invalid or can no longer be applied.
    Refused,
    /// A concurrent edit changed the same entity first.
    Conflict,
    /// It is not known yet whether the edit is in force.
    Unknown,
    /// The node did not respond, or responded with an error.
    NodeError,
    /// The requested entity or log entry does not exist.
    NotFound,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::NodeError => 6,
            Self::NotFound => 7,
        }
    }
}
