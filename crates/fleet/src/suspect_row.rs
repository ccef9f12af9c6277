//! Rows of the table of crash reports.

use briarswitch_core::crash::{
    ClearReport, CrashReport, IncarnationKey, StoreMillis, MAX_STORE_MILLIS,
};
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

    /// Returns the row, or `None` if it states a time that the store's clock cannot show.
    ///
    /// ```
    /// use briarswitch_core::crash::ClearReport;
    /// use briarswitch_fleet::ports::SuspectRow;
    ///
    /// let row = |at| SuspectRow::Clear(ClearReport { fingerprint: [1; 16].into(), at });
    /// assert!(row(5).in_range().is_some());
    /// assert!(row(u64::MAX).in_range().is_none());
    /// ```
    pub fn in_range(self) -> Option<Self> {
        (self.at() <= MAX_STORE_MILLIS).then_some(self)
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
