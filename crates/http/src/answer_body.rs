//! Body of a response, whose end is the end of its request.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;

use crate::connection_record::ConnectionRecord;

/// A body as it is written.
pub(crate) struct AnswerBody {
    body: Body,
    record: Arc<ConnectionRecord>,
}

impl AnswerBody {
    pub(crate) fn new(body: Body, record: Arc<ConnectionRecord>) -> Self {
        record.begin_answer();
        Self { body, record }
    }
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.record.end_request();
    }
}
