//! Rows on requests under which targets have ended.

use briarswitch_core::crash::{ClearSign, EndSign, LifeKey, StoreMillis};
use briarswitch_core::print::RequestPrint;

/// Names a row in the table of requests under which targets have ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SuspectKey {
    /// Request.
    pub fingerprint: RequestPrint,
    /// Life that ended; `None` for the word that the request is not the cause.
    pub incarnation: Option<LifeKey>,
}

/// A row in the table of requests under which targets have ended.
///
/// Each end is a row of its own: nodes that write at the same moment, or late, never undo each other's word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectRow {
    /// A target ended.
    Crash(EndSign),
    /// The request is not the cause of earlier ends.
    Clear(ClearSign),
}

impl SuspectRow {
    /// Returns the row's name.
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

    /// Returns when what it says was seen.
    pub fn at(&self) -> StoreMillis {
        match self {
            Self::Crash(crash) => crash.at,
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
pub const MAX_SUSPECT_ROWS: usize = 100;
