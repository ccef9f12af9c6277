//! Rows of the table of crash reports.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use briarswitch_core::fingerprint::SuspectFingerprint;

/// Key of a row in the table of crash reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SuspectKey {
    /// Fingerprint of the request or part.
    pub fingerprint: SuspectFingerprint,
    /// Incarnation that crashed; `None` for a row that clears the request.
    pub incarnation: Option<IncarnationKey>,
}

/// A row in the table of crash reports.
///
/// Each crash has a row of its own, so that nodes that write concurrently or late never overwrite
/// each other's reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectRow {
    /// A target crashed while it ran the request.
    Crash(CrashReport),
    /// The request did not cause earlier crashes.
    Clear(ClearReport),
}

impl SuspectRow {
    /// Returns the key of the row.
    pub fn key(&self) -> SuspectKey {
        let (fingerprint, incarnation) = match self {
            Self::Crash(crash) => (crash.fingerprint, Some(crash.incarnation)),
            Self::Clear(clear) => (clear.fingerprint, None),
        };
        SuspectKey {
            fingerprint,
            incarnation,
        }
    }

    /// Returns when the row's content was observed.
    pub fn at(&self) -> StoreMillis {
        match self {
            Self::Crash(crash) => crash.at,
            Self::Clear(clear) => clear.at,
        }
    }
}

/// A change of the table of crash reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectChange {
    /// The row is new or has changed.
    Put(SuspectRow),
    /// The row was deleted.
    Removed(SuspectKey),
}

/// Maximum number of rows that are written and deleted in one call.
pub const MAX_SUSPECT_ROWS: usize = 100;
