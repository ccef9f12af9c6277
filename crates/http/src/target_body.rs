//! Body of a target's response, and how its end is recognised.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::body_error::BodyError;
use crate::guarded_stream::OverheadCount;
use crate::held_body::{read_answer, read_for_process};
use crate::idle_pool::{IdlePool, Sender, TargetAddress};

/// How the end of a body was recognised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// By its length or its last chunk: the body is complete.
    Marked,
    /// By the end of the connection, which looks the same if the sender crashes.
    Closed,
}

impl BodyEnd {
    /// Returns how the end of a body with these headers is recognised.
    ///
    /// ```
    /// use briarswitch_http::BodyEnd;
    ///
    /// assert_eq!(BodyEnd::of(&http::HeaderMap::new()), BodyEnd::Closed);
    /// ```
    pub fn of(headers: &HeaderMap) -> Self {
        let is_marked = if headers.contains_key(TRANSFER_ENCODING) {
            is_chunked(headers)
        } else {
            headers.contains_key(CONTENT_LENGTH)
        };
        if is_marked {
            Self::Marked
        } else {
            Self::Closed
        }
    }
}

/// Next part of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
    /// Some bytes.
    Chunk(Bytes),
    /// The end.
    End(BodyEnd),
}

/// All bytes of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeBody {
    /// The bytes.
    pub bytes: Bytes,
    /// How the end was recognised.
    pub end: BodyEnd,
}

/// Body of a response.
///
/// Dropping it before its end closes the connection, which makes the target cancel the request.
pub struct TargetBody {
    /// `None` once it was closed.
    incoming: Option<CountedBody>,
    end: BodyEnd,
    connection: Option<PooledConnection>,
}

/// A body each part of which starts the count of bytes again that are no part of it.
struct CountedBody {
    incoming: Incoming,
    overhead: OverheadCount,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.overhead.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Connection of a response, and the pool to which it returns.
pub(crate) struct PooledConnection {
    pub(crate) sender: Sender,
    pub(crate) key: TargetAddress,
    pub(crate) idle: IdlePool,
    pub(crate) max_idle: usize,
}

impl TargetBody {
    pub(crate) fn new(
        head: &http::response::Parts,
        incoming: Incoming,
        connection: PooledConnection,
    ) -> Self {
        let has_length = incoming.size_hint().exact().is_some();
        let end = if has_length {
            BodyEnd::Marked
        } else {
            BodyEnd::of(&head.headers)
        };
        Self {
            incoming: Some(CountedBody {
                incoming,
                overhead: connection.sender.overhead.clone(),
            }),
            end,
            connection: Some(connection),
        }
    }

    /// Returns the next part.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed before the end of the body, as given by its length
    /// or final chunk, or was closed; such a body must never be forwarded as complete.
    pub async fn next(&mut self) -> Result<BodyPart, BodyError> {
        let incoming = self.incoming()?;
        loop {
            match incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(BodyPart::Chunk(data));
                    }
                }
                Some(Err(error)) => {
                    log::debug!(error:% = error; "body_broken");
                    return Err(BodyError::Incomplete);
                }
                None => {
                    self.release_connection();
                    return Ok(BodyPart::End(self.end));
                }
            }
        }
    }

    /// Reads the rest of the body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body is larger than `limit` or incomplete.
    pub async fn read_all(mut self, limit: usize) -> Result<WholeBody, BodyError> {
        let bytes = read_answer(self.incoming()?, limit).await?;
        Ok(self.finish(bytes))
    }

    /// Like [`TargetBody::read_all`], for what the process reads for itself: a body that finds no room is given up.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body is larger than `limit` or incomplete, or if there is no room for it.
    pub async fn read_for_process(mut self, limit: usize) -> Result<WholeBody, BodyError> {
        let bytes = read_for_process(self.incoming()?, limit).await?;
        Ok(self.finish(bytes))
    }

    /// Closes the connection now, with the bytes that it has read ahead; [`TargetBody::next`] fails from then on.
    pub fn close(&mut self) {
        self.incoming = None;
        self.connection = None;
    }

    fn incoming(&mut self) -> Result<&mut CountedBody, BodyError> {
        self.incoming.as_mut().ok_or(BodyError::Incomplete)
    }

    fn finish(mut self, bytes: Bytes) -> WholeBody {
        self.release_connection();
        WholeBody {
            bytes,
            end: self.end,
        }
    }

    fn release_connection(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if self.end == BodyEnd::Marked {
            tokio::spawn(connection.release());
        }
    }
}

impl PooledConnection {
    /// Returns the connection to the pool.
    async fn release(self) {
        self.idle.add(self.key, self.sender, self.max_idle).await;
    }
}

/// Returns whether the last transfer coding is `chunked`; without it, a body with a coding ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
