//! Reading bodies within a limit and building replies.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use volo_http::body::Body;

use crate::server::Response;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Most bytes allowed.
        limit: usize,
    },
    /// The sender broke off.
    #[error("the body ended before its announced length")]
    Incomplete,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyError`] when the body is too large or was cut short.
pub async fn read_body<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let is_announced_large = body.size_hint().lower() > limit as u64;
    if is_announced_large {
        return Err(BodyError::TooLarge { limit });
    }
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let held = first.as_ref().map_or(0, Bytes::len).max(rest.len());
        if held + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        match first.take() {
            None if rest.is_empty() => first = Some(data),
            None => rest.extend_from_slice(&data),
            Some(start) => {
                rest.extend_from_slice(&start);
                rest.extend_from_slice(&data);
            }
        }
    }
    Ok(first.unwrap_or_else(|| rest.freeze()))
}

/// Builds a reply from bytes.
pub fn reply_bytes(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds a plain-text reply.
///
/// ```
/// let reply = briarswitch_http::reply_text(http::StatusCode::NOT_FOUND, "no such path");
/// assert_eq!(reply.status(), 404);
/// ```
pub fn reply_text(status: StatusCode, text: impl Into<String>) -> Response {
    reply_bytes(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

/// Builds a JSON reply.
pub fn reply_json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply_bytes(status, "application/json", Bytes::from(bytes)),
        Err(error) => reply_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a MessagePack reply, as nodes exchange them.
pub fn reply_msgpack<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => reply_bytes(status, "application/msgpack", Bytes::from(bytes)),
        Err(error) => reply_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Writes a MessagePack body, as nodes exchange them.
///
/// # Errors
///
/// Returns an error when the value can not be written.
///
/// ```
/// let bytes = briarswitch_http::encode_msgpack(&7).unwrap();
/// assert_eq!(briarswitch_http::decode_msgpack::<u32>(&bytes).unwrap(), 7);
/// ```
pub fn encode_msgpack<T: Serialize>(value: &T) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(value).map(Bytes::from)
}

/// Reads a MessagePack body, as nodes exchange them.
///
/// # Errors
///
/// Returns the library's error when the bytes do not hold the type.
pub fn decode_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Builds a body from pieces that come one at a time; an error breaks the connection off.
pub fn stream_body<S>(pieces: S) -> Body
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
{
    let frames = pieces.map(|piece| piece.map(Frame::data).map_err(Into::into));
    Body::from_stream(ExclusiveStream {
        inner: Mutex::new(Box::pin(frames)),
    })
}

/// Makes a stream shareable between threads, as the library demands, by never sharing it.
struct ExclusiveStream<S> {
    inner: Mutex<Pin<Box<S>>>,
}

impl<S: Stream> Stream for ExclusiveStream<S> {
    type Item = S::Item;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<S::Item>> {
        let inner = match self.get_mut().inner.get_mut() {
            Ok(inner) => inner,
            Err(poisoned) => poisoned.into_inner(),
        };
        inner.as_mut().poll_next(context)
    }
}
