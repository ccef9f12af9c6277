//! Stored form of crash rows.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use briarswitch_core::fingerprint::SuspectFingerprint;
use serde::{Deserialize, Serialize};

use crate::suspect_row::{SuspectKey, SuspectRow};

/// Replaces the incarnation in the key of a row that clears a request.
const CLEARED: &str = "cleared";

/// Value of a row: a crash, or, without domain and chance, the statement that the request caused
/// none.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SuspectValue {
    at: StoreMillis,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    domain: Option<u64>,
    /// Probability of a coincidence in thousandths.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    chance: Option<u16>,
}

/// A row as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectRecord {
    /// Key.
    pub key: String,
    /// Value.
    pub value: SuspectValue,
}

/// The key or value of a row is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("malformed crash report row")]
pub struct UnreadableRecord;

/// Formats the key of a row.
///
/// ```
/// use briarswitch_core::fingerprint::SuspectFingerprint;
/// use briarswitch_fleet::ports::SuspectKey;
/// use briarswitch_fleet::suspect_record::{format_key, parse_key};
///
/// let key = SuspectKey { fingerprint: SuspectFingerprint::from([1; 16]), incarnation: None };
/// assert_eq!(parse_key(&format_key(&key)), Ok(key));
/// ```
pub fn format_key(key: &SuspectKey) -> String {
    match key.incarnation {
        Some(IncarnationKey(incarnation)) => format!("{}-{incarnation:016x}", key.fingerprint),
        None => format!("{}-{CLEARED}", key.fingerprint),
    }
}

/// Parses the key of a row.
///
/// # Errors
///
/// Returns [`UnreadableRecord`] if the text is not a key.
pub fn parse_key(text: &str) -> Result<SuspectKey, UnreadableRecord> {
    let (fingerprint, incarnation) = text.split_once('-').ok_or(UnreadableRecord)?;
    let fingerprint: SuspectFingerprint = fingerprint.parse().map_err(|_| UnreadableRecord)?;
    let incarnation = if incarnation == CLEARED {
        None
    } else {
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| UnreadableRecord)?;
        Some(IncarnationKey(incarnation))
    };
    Ok(SuspectKey {
        fingerprint,
        incarnation,
    })
}

impl From<&SuspectRow> for SuspectRecord {
    fn from(row: &SuspectRow) -> Self {
        let (domain, chance) = match row {
            SuspectRow::Crash(crash) => (Some(crash.domain), Some(crash.chance_permille)),
            SuspectRow::Clear(_) => (None, None),
        };
        Self {
            key: format_key(&row.key()),
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
        let SuspectKey {
            fingerprint,
            incarnation,
        } = parse_key(&record.key)?;
        let SuspectValue { at, domain, chance } = record.value;
        let row = match incarnation {
            None => Self::Clear(ClearReport { fingerprint, at }),
            Some(incarnation) => Self::Crash(CrashReport {
                fingerprint,
                incarnation,
                domain: domain.ok_or(UnreadableRecord)?,
                at,
                chance_permille: chance.ok_or(UnreadableRecord)?,
            }),
        };
        row.in_range().ok_or(UnreadableRecord)
    }
}
