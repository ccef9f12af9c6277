//! Building responses.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, StatusCode};
use http_body::Frame;
use serde::de::DeserializeOwned;
use serde::Serialize;
use volo_http::body::Body;

use crate::held_body::read_answer;
use crate::message::Response;

/// Text of the response to a request whose handling panicked.
pub const PANIC_TEXT: &str = "this server failed while it handled the request, which may have run";

/// Reads the whole body of a response, of at most `limit` bytes, and sets its length.
///
/// A response whose body is too large or breaks is replaced by an error.
pub(crate) async fn buffered_response(response: Response, limit: usize) -> Response {
    let (mut head, body) = response.into_parts();
    let Ok(bytes) = read_answer(body, limit).await else {
        return reply_text(StatusCode::BAD_GATEWAY, "the response is incomplete");
    };
    let length = HeaderValue::from(bytes.len());
    head.headers.insert(CONTENT_LENGTH, length);
    Response::from_parts(head, Body::from(bytes))
}

/// Builds a response from bytes.
pub fn reply_bytes(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds a plain-text response.
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

/// Builds the response to a request whose handling panicked.
///
/// It has no `Retry-After` header, by which a caller could take it for a promise that the request has not run.
///
/// ```
/// assert_eq!(briarswitch_http::panic_response().status(), 500);
/// ```
pub fn panic_response() -> Response {
    reply_text(StatusCode::INTERNAL_SERVER_ERROR, PANIC_TEXT)
}

/// Builds a JSON response.
pub fn reply_json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply_bytes(status, "application/json", Bytes::from(bytes)),
        Err(error) => reply_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a MessagePack response.
pub fn reply_msgpack<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match rmp_serde::to_vec_named(value) {
        Ok(bytes) => reply_bytes(status, "application/msgpack", Bytes::from(bytes)),
        Err(error) => reply_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Encodes a value as MessagePack with field names, the format between nodes.
///
/// # Errors
///
/// Returns an error if the value cannot be encoded.
///
/// ```
/// let bytes = briarswitch_http::encode_msgpack(&7).unwrap();
/// assert_eq!(briarswitch_http::decode_msgpack::<u32>(&bytes).unwrap(), 7);
/// ```
pub fn encode_msgpack<T: Serialize>(value: &T) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(value).map(Bytes::from)
}

/// Decodes a MessagePack value.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid encoding of `T`.
pub fn decode_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Builds a streaming body from chunks; an error in the stream aborts the connection.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data).map_err(Into::into));
    Body::from_stream(ExclusiveStream {
        inner: Mutex::new(Box::pin(frames)),
    })
}

/// Makes a stream `Sync`, which `Body` requires; the mutex is only accessed through `&mut`.
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
