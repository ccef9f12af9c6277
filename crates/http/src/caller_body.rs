//! Body of a caller's request, which tells the connection's record when it is waited for.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connection_record::ConnectionRecord;

/// A body as it arrives.
pub(crate) struct CallerBody {
    incoming: Incoming,
    record: Arc<ConnectionRecord>,
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming, record: Arc<ConnectionRecord>) -> Self {
        Self { incoming, record }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        self.record.set_awaits_body(frame.is_pending());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.record.set_awaits_body(false);
    }
}
