//! Rows on requests under which targets have ended.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use briarswitch_core::fingerprint::RequestFingerprint;

/// Names a row in the table of requests under which targets have ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SuspectKey {
    /// Request.
    pub print: RequestFingerprint,
    /// Life that ended; `None` for the word that the request is not the cause.
    pub life: Option<IncarnationKey>,
}

/// A row in the table of requests under which targets have ended.
///
/// Each end is a row of its own: nodes that write at the same moment, or late, never undo each other's word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectRow {
    /// A target ended.
    End(CrashReport),
    /// The request is not the cause of earlier ends.
    Clear(ClearReport),
}

impl SuspectRow {
    /// Returns the row's name.
    pub fn key(&self) -> SuspectKey {
        let (print, life) = match self {
            Self::End(end) => (end.fingerprint, Some(end.incarnation)),
            Self::Clear(clear) => (clear.fingerprint, None),
        };
        SuspectKey { print, life }
    }

    /// Returns when what it says was seen.
    pub fn at(&self) -> StoreMillis {
        match self {
            Self::End(end) => end.at,
            Self::Clear(clear) => clear.at,
        }
    }
}

/// One change of the table of requests under which targets have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectChange {
    /// The row is new or has changed.
    Put(SuspectRow),
    /// The row is gone.
    Removed(SuspectKey),
}

/// Most rows that are written and dropped at once.
pub const MOST_SUSPECT_ROWS: usize = 100;
