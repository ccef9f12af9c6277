//! A client for calls that may be repeated: platform, peers and operators.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::client::Client;

use crate::reply::read_body;

/// Largest reply read, in bytes.
const REPLY_LIMIT: usize = 64 << 20;

/// How bodies are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Codec {
    /// JSON, for everything outside the system.
    Json,
    /// MessagePack with field names, between nodes.
    MessagePack,
}

/// Why a call gave no usable reply.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The other side answered with an error status.
    #[error("status {status}: {text}")]
    Status {
        /// Status of the reply.
        status: u16,
        /// Its body as text.
        text: String,
    },
    /// No reply came; the call may or may not have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The reply could not be understood.
    #[error("unreadable answer: {0}")]
    InvalidBody(String),
}

/// Calls one kind of server with typed bodies.
#[derive(Clone)]
pub struct ApiClient {
    client: Client,
    codec: Codec,
    token: Option<String>,
}

impl ApiClient {
    /// Opens a client that writes bodies with `codec` and sends `token` as its credential.
    ///
    /// # Panics
    ///
    /// Panics when the library refuses its own default settings.
    pub fn new(codec: Codec, token: Option<String>) -> Self {
        let client = Client::builder()
            .build()
            .expect("default client settings are valid");
        Self {
            client,
            codec,
            token,
        }
    }

    /// Sends `body` to `url` and reads a typed reply, all within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]; only [`CallError::NoResponse`] leaves open whether the call took effect.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<R, CallError> {
        let (_, reply) = self.call_with_headers(method, url, body, limit).await?;
        Ok(reply)
    }

    /// Sends `body` to `url` and reads the headers and a typed body of the reply, all within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] as [`ApiClient::call`] does.
    pub async fn call_with_headers<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<(HeaderMap, R), CallError> {
        let bytes = match body {
            Some(body) => self.encode(body)?,
            None => Bytes::new(),
        };
        let (headers, reply) = self.call_within(method, url, bytes, limit).await?;
        Ok((headers, self.decode(&reply)?))
    }

    /// Sends bytes to `url` and reads the bytes of a reply, all within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] as [`ApiClient::call`] does.
    pub async fn call_raw(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let (_, reply) = self.call_within(method, url, body, limit).await?;
        Ok(reply)
    }

    async fn call_within(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(HeaderMap, Bytes), CallError> {
        let exchange = self.exchange(method, url, body);
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoResponse(format!("no reply within {limit:?}"))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(HeaderMap, Bytes), CallError> {
        let mut request = self
            .client
            .request(method, url)
            .header(CONTENT_TYPE, self.content_type());
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let response = request
            .body(Body::from(body))
            .send()
            .await
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        let (head, body) = response.into_parts();
        let status = head.status;
        let bytes = read_body(body, REPLY_LIMIT)
            .await
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        if status == StatusCode::OK {
            return Ok((head.headers, bytes));
        }
        Err(CallError::Status {
            status: status.as_u16(),
            text: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    fn content_type(&self) -> &'static str {
        match self.codec {
            Codec::Json => "application/json",
            Codec::MessagePack => "application/msgpack",
        }
    }

    fn encode<Q: Serialize>(&self, body: &Q) -> Result<Bytes, CallError> {
        let bytes = match self.codec {
            Codec::Json => serde_json::to_vec(body).map_err(unreadable)?,
            Codec::MessagePack => rmp_serde::to_vec_named(body).map_err(unreadable)?,
        };
        Ok(Bytes::from(bytes))
    }

    fn decode<R: DeserializeOwned>(&self, bytes: &[u8]) -> Result<R, CallError> {
        match self.codec {
            Codec::Json => serde_json::from_slice(bytes).map_err(unreadable),
            Codec::MessagePack => rmp_serde::from_slice(bytes).map_err(unreadable),
        }
    }
}

fn unreadable(error: impl std::fmt::Display) -> CallError {
    CallError::InvalidBody(error.to_string())
}
