//! Questions for changes and their answers on the wire between nodes.

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
pub struct FeedQuestionDoc {
    table: String,
    mark: Option<MarkDoc>,
    wait_ms: u64,
}

/// [`FeedResponse`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedAnswerDoc {
    mark: MarkDoc,
    /// Key, and content unless the row was dropped.
    rows: Vec<(String, Option<ByteBuf>)>,
    age_ms: u64,
    whole: bool,
}

impl From<FeedRequest> for FeedQuestionDoc {
    fn from(question: FeedRequest) -> Self {
        Self {
            table: question.table,
            mark: question.mark.map(MarkDoc::from),
            wait_ms: question.wait.as_millis() as u64,
        }
    }
}

impl From<FeedQuestionDoc> for FeedRequest {
    fn from(doc: FeedQuestionDoc) -> Self {
        Self {
            table: doc.table,
            mark: doc.mark.map(FeedMark::from),
            wait: Duration::from_millis(doc.wait_ms),
        }
    }
}

impl From<FeedResponse> for FeedAnswerDoc {
    fn from(answer: FeedResponse) -> Self {
        let rows = answer
            .rows
            .into_iter()
            .map(|row| (row.key, row.value.map(ByteBuf::from)));
        Self {
            mark: answer.mark.into(),
            rows: rows.collect(),
            // Rounded up, so that an age is never told as less than it is.
            age_ms: answer.age.as_millis() as u64 + 1,
            whole: answer.is_snapshot,
        }
    }
}

impl From<FeedAnswerDoc> for FeedResponse {
    fn from(doc: FeedAnswerDoc) -> Self {
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
