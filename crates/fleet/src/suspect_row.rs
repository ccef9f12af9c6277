//! Rows of the table of crash reports.

use briarswitch_core::crash::{ClearSign, EndSign, LifeKey, StoreMillis};
use briarswitch_core::print::RequestPrint;

/// Key of a row in the table of crash reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SuspectKey {
    /// Fingerprint of the request.
    pub fingerprint: RequestPrint,
    /// Incarnation that crashed; `None` for a row that clears the request.
    pub incarnation: Option<LifeKey>,
}

/// A row in the table of crash reports.
///
/// Each crash has a row of its own, so that nodes that write concurrently or late never overwrite
/// each other's reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectRow {
    /// A target crashed while it ran the request.
    Crash(EndSign),
    /// The request did not cause earlier crashes.
    Clear(ClearSign),
}

impl SuspectRow {
    /// Returns the key of the row.
    pub fn key(&self) -> SuspectKey {
        let (fingerprint, incarnation) = match self {
            Self::Crash(crash) => (crash.print, Some(crash.life)),
            Self::Clear(clear) => (clear.print, None),
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
