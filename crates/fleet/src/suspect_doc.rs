//! Ends of targets and the requests under way there, on the wire between nodes.

use briarswitch_core::crash::{ClearReport, CrashReport, IncarnationKey, StoreMillis};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use crate::ports::SuspectRow;

/// Bytes of a request's fingerprint.
type PrintDoc = ByteArray<16>;

/// Request, life of the target, domain, moment, thousandths of the chance of a coincidence.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EndDoc(PrintDoc, u64, u64, StoreMillis, u16);

/// Request, moment.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClearDoc(PrintDoc, StoreMillis);

/// What one node tells another of requests under which targets have ended.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SuspectDoc {
    ends: Vec<EndDoc>,
    clears: Vec<ClearDoc>,
}

impl FromIterator<SuspectRow> for SuspectDoc {
    fn from_iter<I: IntoIterator<Item = SuspectRow>>(rows: I) -> Self {
        let mut doc = Self::default();
        for row in rows {
            match row {
                SuspectRow::End(end) => doc.ends.push(EndDoc(
                    PrintDoc::new(end.fingerprint.into()),
                    end.incarnation.0,
                    end.domain,
                    end.at,
                    end.chance_permille,
                )),
                SuspectRow::Clear(clear) => {
                    let print = PrintDoc::new(clear.fingerprint.into());
                    doc.clears.push(ClearDoc(print, clear.at));
                }
            }
        }
        doc
    }
}

impl From<SuspectDoc> for Vec<SuspectRow> {
    fn from(doc: SuspectDoc) -> Self {
        let ends = doc.ends.into_iter();
        let ends = ends.map(|EndDoc(print, life, domain, at, chance)| {
            SuspectRow::End(CrashReport {
                fingerprint: print.into_array().into(),
                incarnation: IncarnationKey(life),
                domain,
                at,
                chance_permille: chance,
            })
        });
        let clears = doc.clears.into_iter().map(|ClearDoc(print, at)| {
            let print = print.into_array().into();
            SuspectRow::Clear(ClearReport {
                fingerprint: print,
                at,
            })
        });
        ends.chain(clears).collect()
    }
}
