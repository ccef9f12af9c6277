//! Wire format of crash reports between nodes.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use crate::ports::SuspectRow;

/// Bytes of a request's fingerprint.
type FingerprintDoc = ByteArray<16>;

/// Fingerprint of the request, incarnation of the target, domain, time, and the probability of a
/// coincidence in thousandths.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CrashDoc(FingerprintDoc, u64, u64, StoreMillis, u16);

/// Fingerprint of the request, and time.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClearDoc(FingerprintDoc, StoreMillis);

/// What one node reports to another about requests that were running when targets crashed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SuspectDoc {
    ends: Vec<CrashDoc>,
    clears: Vec<ClearDoc>,
}

impl FromIterator<SuspectRow> for SuspectDoc {
    fn from_iter<I: IntoIterator<Item = SuspectRow>>(rows: I) -> Self {
        let mut doc = Self::default();
        for row in rows {
            match row {
                SuspectRow::Crash(crash) => doc.ends.push(CrashDoc(
                    FingerprintDoc::new(crash.fingerprint.into()),
                    crash.incarnation.0,
                    crash.domain,
                    crash.at,
                    crash.chance_permille,
                )),
                SuspectRow::Clear(clear) => {
                    let fingerprint = FingerprintDoc::new(clear.fingerprint.into());
                    doc.clears.push(ClearDoc(fingerprint, clear.at));
                }
            }
        }
        doc
    }
}

impl From<SuspectDoc> for Vec<SuspectRow> {
    fn from(doc: SuspectDoc) -> Self {
        let crashes = doc.ends.into_iter();
        let crashes = crashes.map(|CrashDoc(fingerprint, incarnation, domain, at, chance)| {
            SuspectRow::Crash(CrashReport {
                fingerprint: fingerprint.into_array().into(),
                incarnation: IncarnationKey(incarnation),
                domain,
                at,
                chance_permille: chance,
            })
        });
        let clears = doc.clears.into_iter().map(|ClearDoc(fingerprint, at)| {
            let fingerprint = fingerprint.into_array().into();
            SuspectRow::Clear(ClearReport { fingerprint, at })
        });
        let rows = crashes.chain(clears);
        rows.filter_map(SuspectRow::in_range).collect()
    }
}
