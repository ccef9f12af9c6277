//! Requests that a node forwards to another one because it is partitioned from all targets, and their wire formats.
//!
//! The receiving node admits a forwarded request like one of its own callers: the caller's key goes with it. What the
//! sender adds, such as the attempts so far, can only narrow what the request may do. The receiving node sends it to one
//! target; whether there is another attempt, the sender alone decides, so that each is made and counted once.

use std::str::FromStr;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_http::{reply_msgpack, Body, Response};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Path at which a node receives forwarded requests.
pub const FORWARD_PATH: &str = "/forward";
/// Header that tells a target's response, relayed by the node that received a forwarded request, from that node's own.
pub const FORWARD_RESULT: HeaderName = HeaderName::from_static("forward-result");
/// Header with the number of attempts that were sent to targets, those before the request was forwarded included.
const FORWARD_ATTEMPTS: HeaderName = HeaderName::from_static("forward-attempts");
/// Header with the target that responded.
const FORWARD_TARGET: HeaderName = HeaderName::from_static("forward-target");
/// Value of [`FORWARD_RESULT`] for a target's response.
const TARGET_RESPONSE: HeaderValue = HeaderValue::from_static("response");
/// Value of [`FORWARD_RESULT`] for a [`ForwardRefusal`].
const REFUSAL: HeaderValue = HeaderValue::from_static("refusal");

/// A request that was forwarded.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// Node that received it from its caller.
    pub sender: NodeId,
    /// Version of the configuration by which the sender admitted it.
    pub config_version: ConfigVersion,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Requested host, without the port.
    pub host: String,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time since the sender read its head.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
    /// Time that the caller spent waiting in earlier attempts.
    pub waited_before: Duration,
    /// Attempts that the sender has sent to targets.
    pub attempts_sent: u32,
    /// Event after which a stream continues.
    pub last_event: Option<String>,
    /// Whether the caller has received part of the stream.
    pub is_resumption: bool,
    /// Whether the sender may make another attempt if this one fails; the recipient makes none itself.
    pub may_retry: bool,
}

impl ForwardRequest {
    /// Returns the head and the body as the caller sent them.
    pub fn caller_request(&self) -> (Parts, Body) {
        let mut request = http::Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        let (head, ()) = request.into_parts();
        (head, Body::from(self.body.clone()))
    }
}

/// Wire format of [`ForwardRequest`]; times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardDoc {
    sender: NodeId,
    config_version: ConfigVersion,
    method: String,
    path: String,
    host: String,
    headers: Vec<(String, ByteBuf)>,
    body: ByteBuf,
    elapsed_ms: u64,
    remaining_ms: u64,
    waited_before_ms: u64,
    attempts_sent: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    last_event: Option<String>,
    #[serde(default)]
    is_resumption: bool,
    #[serde(default)]
    may_retry: bool,
}

/// Error of decoding a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ForwardDocError {
    /// The method is invalid.
    #[error("invalid method {0}")]
    Method(String),
    /// A header is invalid.
    #[error("invalid header {0}")]
    Header(String),
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<ForwardRequest> for ForwardDoc {
    fn from(request: ForwardRequest) -> Self {
        let headers = request.headers.iter();
        let headers = headers.map(|(name, value)| {
            let value = ByteBuf::from(value.as_bytes().to_vec());
            (name.as_str().to_owned(), value)
        });
        Self {
            headers: headers.collect(),
            sender: request.sender,
            config_version: request.config_version,
            method: request.method.to_string(),
            path: request.path,
            host: request.host,
            body: ByteBuf::from(request.body.to_vec()),
            elapsed_ms: millis(request.elapsed),
            remaining_ms: millis(request.remaining),
            waited_before_ms: millis(request.waited_before),
            attempts_sent: request.attempts_sent,
            last_event: request.last_event,
            is_resumption: request.is_resumption,
            may_retry: request.may_retry,
        }
    }
}

impl TryFrom<ForwardDoc> for ForwardRequest {
    type Error = ForwardDocError;

    fn try_from(doc: ForwardDoc) -> Result<Self, Self::Error> {
        let method = Method::from_str(&doc.method);
        let method = method.map_err(|_| ForwardDocError::Method(doc.method))?;
        let mut headers = HeaderMap::with_capacity(doc.headers.len());
        for (name, value) in doc.headers {
            let parsed = HeaderName::from_str(&name).ok();
            let header = parsed.zip(HeaderValue::from_bytes(&value).ok());
            let (parsed, value) = header.ok_or(ForwardDocError::Header(name))?;
            headers.append(parsed, value);
        }
        Ok(Self {
            method,
            headers,
            sender: doc.sender,
            config_version: doc.config_version,
            path: doc.path,
            host: doc.host,
            body: Bytes::from(doc.body.into_vec()),
            elapsed: Duration::from_millis(doc.elapsed_ms),
            remaining: Duration::from_millis(doc.remaining_ms),
            waited_before: Duration::from_millis(doc.waited_before_ms),
            attempts_sent: doc.attempts_sent,
            last_event: doc.last_event,
            is_resumption: doc.is_resumption,
            may_retry: doc.may_retry,
        })
    }
}

/// What the receiving node adds to the head of a target's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardedHead {
    /// Target that responded.
    pub target: TargetId,
    /// Attempts that were sent to targets, those before the request was forwarded included.
    pub attempts_sent: u32,
}

impl ForwardedHead {
    /// Adds it to the headers of a response.
    pub fn insert_into(&self, headers: &mut HeaderMap) {
        headers.insert(FORWARD_RESULT, TARGET_RESPONSE);
        headers.insert(FORWARD_ATTEMPTS, HeaderValue::from(self.attempts_sent));
        if let Ok(target) = HeaderValue::from_str(&self.target) {
            headers.insert(FORWARD_TARGET, target);
        }
    }

    /// Removes it from the headers of a response; `None` if they do not have it.
    ///
    /// ```
    /// use briarswitch_fleet::forward::ForwardedHead;
    ///
    /// let head = ForwardedHead { target: "t1".to_owned(), attempts_sent: 2 };
    /// let mut headers = http::HeaderMap::new();
    /// head.insert_into(&mut headers);
    /// assert_eq!(ForwardedHead::take_from(&mut headers), Some(head));
    /// assert!(headers.is_empty());
    /// ```
    pub fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let result = headers.remove(FORWARD_RESULT)?;
        let attempts = headers.remove(FORWARD_ATTEMPTS);
        let target = headers.remove(FORWARD_TARGET);
        let text = |value: Option<HeaderValue>| value?.to_str().ok().map(str::to_owned);
        (result == TARGET_RESPONSE).then(|| Self {
            target: text(target).unwrap_or_default(),
            attempts_sent: text(attempts)
                .and_then(|attempts| attempts.parse().ok())
                .unwrap_or(1),
        })
    }
}

/// Why a node returned no target's response to a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardRefusal {
    /// It did not take the request, so that another node may.
    NotTaken {
        /// Reason, for the log.
        reason: String,
    },
    /// It took the request, which failed.
    Failed(ForwardFailure),
}

/// Failure of a request at the node that took it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardFailure {
    /// Failure to report to the caller.
    pub point: FailurePoint,
    /// Time until a target can be expected to take the request, if known.
    pub available_in: Option<Duration>,
    /// Attempts that were sent to targets, those before the request was forwarded included.
    pub attempts_sent: u32,
}

/// Wire format of [`ForwardRefusal`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RefusalDoc {
    is_taken: bool,
    reason: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    available_in_ms: Option<u64>,
    #[serde(default)]
    attempts_sent: u32,
}

impl From<ForwardRefusal> for RefusalDoc {
    fn from(refusal: ForwardRefusal) -> Self {
        match refusal {
            ForwardRefusal::NotTaken { reason } => Self {
                is_taken: false,
                reason,
                available_in_ms: None,
                attempts_sent: 0,
            },
            ForwardRefusal::Failed(failure) => Self {
                is_taken: true,
                reason: failure.point.code().to_owned(),
                available_in_ms: failure.available_in.map(millis),
                attempts_sent: failure.attempts_sent,
            },
        }
    }
}

impl From<RefusalDoc> for ForwardRefusal {
    fn from(doc: RefusalDoc) -> Self {
        if !doc.is_taken {
            return Self::NotTaken { reason: doc.reason };
        }
        // A newer version may know failures that this one does not; after any of them the request may have run.
        let point = FailurePoint::from_code(&doc.reason).unwrap_or(FailurePoint::BrokenBeforeHead);
        Self::Failed(ForwardFailure {
            point,
            available_in: doc.available_in_ms.map(Duration::from_millis),
            attempts_sent: doc.attempts_sent,
        })
    }
}

/// Returns the response that leaves a forwarded request to another node.
pub fn not_taken_response(reason: impl Into<String>) -> Response {
    refusal_response(ForwardRefusal::NotTaken {
        reason: reason.into(),
    })
}

/// Returns the response that refuses a forwarded request.
pub fn refusal_response(refusal: ForwardRefusal) -> Response {
    let mut response = reply_msgpack(StatusCode::OK, &RefusalDoc::from(refusal));
    response.headers_mut().insert(FORWARD_RESULT, REFUSAL);
    response
}

/// Marks the response to a request whose handling panicked, so that a forwarded one goes to no other node.
///
/// A refusal that can't be read says nothing about whether the request ran, also to nodes of earlier versions.
///
/// ```
/// use briarswitch_fleet::forward::{is_refusal, mark_unfinished, RefusalDoc};
/// use briarswitch_http::{decode_msgpack, reply_text};
///
/// let text = "this server failed";
/// let response = mark_unfinished(reply_text(http::StatusCode::INTERNAL_SERVER_ERROR, text));
/// assert!(is_refusal(response.headers()));
/// assert!(decode_msgpack::<RefusalDoc>(text.as_bytes()).is_err());
/// ```
#[must_use]
pub fn mark_unfinished(mut response: Response) -> Response {
    response.headers_mut().insert(FORWARD_RESULT, REFUSAL);
    response
}

/// Returns whether a response is a [`ForwardRefusal`].
pub fn is_refusal(headers: &HeaderMap) -> bool {
    headers.get(FORWARD_RESULT) == Some(&REFUSAL)
}
