//! Wire format of requests for the store's tables, and of their responses, between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

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

/// [`FeedResponse`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedResponseDoc {
    mark: MarkDoc,
    /// Key and value of each row; a deleted row has no value.
    rows: Vec<(String, Option<ByteBuf>)>,
    age_ms: u64,
    whole: bool,
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

impl From<FeedResponse> for FeedResponseDoc {
    fn from(response: FeedResponse) -> Self {
        let rows = response
            .rows
            .into_iter()
            .map(|row| (row.key, row.value.map(ByteBuf::from)));
        Self {
            mark: response.mark.into(),
            rows: rows.collect(),
            // Rounded up, so that the reported age is never too low.
            age_ms: response.age.as_millis() as u64 + 1,
            whole: response.is_snapshot,
        }
    }
}

impl From<FeedResponseDoc> for FeedResponse {
    fn from(doc: FeedResponseDoc) -> Self {
        let rows = doc.rows.into_iter();
        Self {
            mark: doc.mark.into(),
            rows: rows
                .map(|(key, value)| FeedRow {
                    key,
                    value: value.map(ByteBuf::into_vec),
                })
                .collect(),
            age: Duration::from_millis(doc.age_ms),
            is_snapshot: doc.whole,
        }
    }
}
