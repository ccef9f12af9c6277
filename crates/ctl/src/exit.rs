//! Exit codes, as `docs/OPERATIONS.md` lists them.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// It did what was asked.
    Success,
    /// The command line or a file could not be understood.
    Usage,
    /// The edit was refused with findings.
    Refused,
    /// Another edit came first.
    Conflict,
    /// Nobody can say yet whether the edit is in force.
    Unknown,
    /// No node answered, or it answered with an error.
    NodeError,
    /// What was asked for is not there.
    NotFound,
}

impl ExitStatus {
    /// Returns the process's exit code.
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
