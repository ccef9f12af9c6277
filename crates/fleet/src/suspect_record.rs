//! Rows on requests under which targets have ended, as tables hold them.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use briarswitch_core::fingerprint::RequestFingerprint;
use serde::{Deserialize, Serialize};

use crate::suspect_row::{SuspectKey, SuspectRow};

/// What stands for the life in the key of a row that clears a request.
const CLEARED: &str = "cleared";

/// Content of a row: an end, or where there is no domain and chance, the word that the request is not the cause.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SuspectValue {
    at: StoreMillis,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    domain: Option<u64>,
    /// Thousandths.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    chance: Option<u16>,
}

/// A row as a table holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectRecord {
    /// Key.
    pub key: String,
    /// Content.
    pub value: SuspectValue,
}

/// A row's key or content can not be understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a row on a request under which targets have ended")]
pub struct UnreadableRecord;

/// Returns the text of a row's key.
///
/// ```
/// use briarswitch_core::fingerprint::RequestFingerprint;
/// use briarswitch_fleet::ports::SuspectKey;
/// use briarswitch_fleet::suspect_record::{key_text, read_key};
///
/// let key = SuspectKey { print: RequestFingerprint::from([1; 16]), life: None };
/// assert_eq!(read_key(&key_text(&key)), Ok(key));
/// ```
pub fn key_text(key: &SuspectKey) -> String {
    match key.life {
        Some(IncarnationKey(life)) => format!("{}-{life:016x}", key.print),
        None => format!("{}-{CLEARED}", key.print),
    }
}

/// Reads the text of a row's key.
///
/// # Errors
///
/// Returns [`UnreadableRecord`] where it is none.
pub fn read_key(text: &str) -> Result<SuspectKey, UnreadableRecord> {
    let (print, life) = text.split_once('-').ok_or(UnreadableRecord)?;
    let print: RequestFingerprint = print.parse().map_err(|_| UnreadableRecord)?;
    let life = if life == CLEARED {
        None
    } else {
        let life = u64::from_str_radix(life, 16).map_err(|_| UnreadableRecord)?;
        Some(IncarnationKey(life))
    };
    Ok(SuspectKey { print, life })
}

impl From<&SuspectRow> for SuspectRecord {
    fn from(row: &SuspectRow) -> Self {
        let (domain, chance) = match row {
            SuspectRow::End(end) => (Some(end.domain), Some(end.chance_permille)),
            SuspectRow::Clear(_) => (None, None),
        };
        Self {
            key: key_text(&row.key()),
            value: SuspectValue {
                at: row.at(),
                domain,
                chance,
            },
        }
    }
}

impl TryFrom<SuspectRecord> for SuspectRow {
    type Error = UnreadableRecord;

    fn try_from(record: SuspectRecord) -> Result<Self, Self::Error> {
        let SuspectKey { print, life } = read_key(&record.key)?;
        let SuspectValue { at, domain, chance } = record.value;
        let Some(life) = life else {
            return Ok(Self::Clear(ClearReport {
                fingerprint: print,
                at,
            }));
        };
        Ok(Self::End(CrashReport {
            fingerprint: print,
            incarnation: life,
            domain: domain.ok_or(UnreadableRecord)?,
            at,
            chance_permille: chance.ok_or(UnreadableRecord)?,
        }))
    }
}
