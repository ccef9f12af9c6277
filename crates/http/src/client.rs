//! Client for idempotent calls to the platform, to peers and to operator listeners.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::response::Parts;
use http::uri::Scheme;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::body_error::BodyError;
use crate::idle_pool::TargetAddress;
use crate::response_account::max_response_bytes;
use crate::target::{full_body, TargetClient, TargetLimits, TargetResponse};
use crate::target_body::BodyEnd;

/// Port of a URL that names none.
const HTTP_PORT: u16 = 80;
/// Limits of the connections for calls.
const LIMITS: TargetLimits = TargetLimits {
    connect_timeout: Duration::from_secs(2),
    max_idle: 16,
};
/// Time for which a connection for calls is kept idle; called processes come and go.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Encoding of request and response bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Codec {
    /// JSON, for communication with external systems.
    Json,
    /// MessagePack with field names, for communication between nodes.
    MessagePack,
}

/// Error of a call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The server responded with an error status.
    #[error("status {status}: {text}")]
    Status {
        /// Status code of the response.
        status: u16,
        /// Body of the response as text.
        text: String,
    },
    /// No response was received; the call may or may not have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// A body could not be encoded or decoded.
    #[error("unreadable answer: {0}")]
    InvalidBody(String),
}

/// HTTP client with typed request and response bodies.
#[derive(Clone)]
pub struct ApiClient {
    client: TargetClient,
    codec: Codec,
    token: Option<String>,
}

impl ApiClient {
    /// Creates a client that encodes bodies with `codec` and sends `token` as a bearer token.
    pub fn new(codec: Codec, token: Option<String>) -> Self {
        Self {
            client: TargetClient::new(LIMITS).with_idle_time(IDLE_TIME),
            codec,
            token,
        }
    }

    /// Sends `body` to `url` and decodes the response; `timeout` covers the whole call.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]; only [`CallError::NoResponse`] leaves it unknown whether the call took
    /// effect.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let (_, response) = self.call_with_headers(method, url, body, timeout).await?;
        Ok(response)
    }

    /// Like [`ApiClient::call`], but also returns the headers of the response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] as [`ApiClient::call`] does.
    pub async fn call_with_headers<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<(HeaderMap, R), CallError> {
        let bytes = match body {
            Some(body) => self.encode(body)?,
            None => Bytes::new(),
        };
        let (headers, response) = self.call_with_timeout(method, url, bytes, timeout).await?;
        Ok((headers, self.decode(&response)?))
    }

    /// Sends a raw body to `url` and returns the raw body of the response, within `timeout`.
    ///
    /// The end of the response has to be marked; an encoded document shows by itself whether it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] as [`ApiClient::call`] does.
    pub async fn call_raw(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let (headers, response) = self.call_with_timeout(method, url, body, timeout).await?;
        match BodyEnd::of(&headers) {
            BodyEnd::Marked => Ok(response),
            BodyEnd::Closed => Err(CallError::NoResponse(BodyError::Incomplete.to_string())),
        }
    }

    async fn call_with_timeout(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(HeaderMap, Bytes), CallError> {
        let exchange = self.exchange(method, url, body);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoResponse(format!(
                "no reply within {timeout:?}"
            ))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(HeaderMap, Bytes), CallError> {
        let (head, bytes) = self.send(method, url, body).await?;
        if head.status == StatusCode::OK {
            return Ok((head.headers, bytes));
        }
        Err(CallError::Status {
            status: head.status.as_u16(),
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(Parts, Bytes), CallError> {
        let url: Uri = url.parse().map_err(no_response)?;
        if url.scheme() != Some(&Scheme::HTTP) {
            return Err(no_response("the URL is none of HTTP without encryption"));
        }
        let authority = url.authority().map_or("", |authority| authority.as_str());
        let path = url.path_and_query().map_or("/", |path| path.as_str());
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, authority)
            .header(CONTENT_TYPE, self.content_type());
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(full_body(body)).map_err(no_response)?;
        let port = url.port_u16().unwrap_or(HTTP_PORT);
        let target = TargetAddress {
            address: format!("{}:{port}", url.host().unwrap_or_default()),
            incarnation: 0,
        };
        let response = self.client.send(&target, request, false).await;
        let TargetResponse { head, body } = response.map_err(no_response)?;
        let whole = body.read_for_process(max_response_bytes()).await;
        Ok((head, whole.map_err(no_response)?.bytes))
    }

    fn content_type(&self) -> &'static str {
        match self.codec {
            Codec::Json => "application/json",
            Codec::MessagePack => "application/msgpack",
        }
    }

    fn encode<Q: Serialize>(&self, body: &Q) -> Result<Bytes, CallError> {
        let bytes = match self.codec {
            Codec::Json => serde_json::to_vec(body).map_err(invalid_body)?,
            Codec::MessagePack => rmp_serde::to_vec_named(body).map_err(invalid_body)?,
        };
        Ok(Bytes::from(bytes))
    }

    fn decode<R: DeserializeOwned>(&self, bytes: &[u8]) -> Result<R, CallError> {
        match self.codec {
            Codec::Json => serde_json::from_slice(bytes).map_err(invalid_body),
            Codec::MessagePack => rmp_serde::from_slice(bytes).map_err(invalid_body),
        }
    }
}

fn no_response(error: impl std::fmt::Display) -> CallError {
    CallError::NoResponse(error.to_string())
}

fn invalid_body(error: impl std::fmt::Display) -> CallError {
    CallError::InvalidBody(error.to_string())
}
