//! Wire format of requests for the store's tables, and of their responses, between nodes.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::packed::{pack, unpack, PackError};
use crate::ports::{FeedMark, FeedRequest, FeedResponse, FeedRow};

/// [`FeedMark`] on the wire: era, version.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct MarkDoc(u64, u64);

impl From<FeedMark> for MarkDoc {
    fn from(mark: FeedMark) -> Self {
        Self(mark.era, mark.version)
    }
}

impl From<MarkDoc> for FeedMark {
    fn from(MarkDoc(era, version): MarkDoc) -> Self {
        Self { era, version }
    }
}

/// [`FeedRequest`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedRequestDoc {
    table: String,
    mark: Option<MarkDoc>,
    wait_ms: u64,
}

/// Rows of a response, compressed.
///
/// A list of targets repeats the same names thousands of times. Uncompressed, one of 3,303 targets takes 0.4 s on a
/// link of 20 Mbit/s; a node that starts would ask another reader meanwhile, which takes as long again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct PackedRows(ByteBuf);

/// A row on the wire: key and value; a deleted row has no value.
type RowDoc = (String, Option<ByteBuf>);

impl PackedRows {
    /// Packs rows.
    ///
    /// ```
    /// use briarswitch_fleet::feed_doc::PackedRows;
    /// use briarswitch_fleet::ports::FeedRow;
    ///
    /// let rows = [FeedRow { key: "a".to_owned(), value: Some(vec![1]) }];
    /// assert_eq!(PackedRows::of(&rows).unpack().unwrap(), rows);
    /// ```
    pub fn of(rows: &[FeedRow]) -> Self {
        let docs = rows.iter().map(|row| {
            let value = row.value.as_deref().map(ByteBuf::from);
            (row.key.as_str(), value)
        });
        let docs: Vec<(&str, Option<ByteBuf>)> = docs.collect();
        let packed = pack(&docs).unwrap_or_else(|error| {
            log::error!(error:% = error; "rows_unpackable");
            Bytes::new()
        });
        Self(ByteBuf::from(packed))
    }

    /// Unpacks the rows.
    ///
    /// # Errors
    ///
    /// Returns [`PackError`] if the data is damaged, or if there is no room for the rows.
    pub fn unpack(&self) -> Result<Vec<FeedRow>, PackError> {
        let docs: Vec<RowDoc> = unpack(&self.0)?;
        let rows = docs.into_iter().map(|(key, value)| FeedRow {
            key,
            value: value.map(ByteBuf::into_vec),
        });
        Ok(rows.collect())
    }
}

/// [`FeedResponse`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedResponseDoc {
    mark: MarkDoc,
    rows: PackedRows,
    age_ms: u64,
    whole: bool,
}

impl FeedResponseDoc {
    /// Creates the document of a response whose rows have been packed, with the age that it has now.
    pub fn new(response: &FeedResponse, rows: PackedRows, age: Duration) -> Self {
        Self {
            mark: response.mark.into(),
            rows,
            // Rounded up, so that the reported age is never too low.
            age_ms: age.as_millis() as u64 + 1,
            whole: response.is_snapshot,
        }
    }
}

impl From<FeedRequest> for FeedRequestDoc {
    fn from(request: FeedRequest) -> Self {
        Self {
            table: request.table,
            mark: request.mark.map(MarkDoc::from),
            wait_ms: request.wait.as_millis() as u64,
        }
    }
}

impl From<FeedRequestDoc> for FeedRequest {
    fn from(doc: FeedRequestDoc) -> Self {
        Self {
            table: doc.table,
            mark: doc.mark.map(FeedMark::from),
            wait: Duration::from_millis(doc.wait_ms),
        }
    }
}

impl From<&FeedResponse> for FeedResponseDoc {
    fn from(response: &FeedResponse) -> Self {
        Self::new(response, PackedRows::of(&response.rows), response.age)
    }
}

impl TryFrom<FeedResponseDoc> for FeedResponse {
    type Error = PackError;

    fn try_from(doc: FeedResponseDoc) -> Result<Self, PackError> {
        Ok(Self {
            mark: doc.mark.into(),
            rows: doc.rows.unpack()?,
            age: Duration::from_millis(doc.age_ms),
            is_snapshot: doc.whole,
        })
    }
}
