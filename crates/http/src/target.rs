//! HTTP client for targets that reports whether any byte of a request can have been sent.

use std::io::ErrorKind;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::guarded_stream::{GuardedStream, OverheadCount};
use crate::idle_pool::{IdlePool, Sender, TargetAddress};
use crate::target_body::{PooledConnection, TargetBody};

/// Bytes that a connection reads ahead of its caller, or has yet to write; a head of a response with 16 KiB of headers fits in.
const MAX_BUFFER_BYTES: usize = 24 << 10;
/// Receive buffer of a connection in bytes; the system doubles it.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Limits of a [`TargetClient`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections kept for each target.
    pub max_idle: usize,
}

/// Error that occurred before the head of the response was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SendError {
    /// The connection could not be opened.
    #[error("the connection could not be opened")]
    Connect,
    /// The connection was refused: no process listens on the address.
    #[error("nobody listens at the address")]
    Refused,
    /// The connection was closed before a byte of the request was written.
    #[error("the connection was closed before the request was written")]
    ClosedBeforeSend,
    /// The connection failed after bytes of the request may have been sent.
    #[error("the connection broke before the answer began")]
    Broken,
    /// The head of the response could not be read, or its status is not that of a final response.
    #[error("the answer has no valid head")]
    InvalidHead,
}

/// Progress of sending a request, which can be read while the request is awaited.
///
/// ```
/// assert!(!briarswitch_http::SendProgress::default().has_begun());
/// ```
#[derive(Debug, Default)]
pub struct SendProgress {
    has_begun: AtomicBool,
}

impl SendProgress {
    /// Returns whether a byte of the request may have been sent; if not, it can be abandoned without a trace.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    fn set_begun(&self, has_begun: bool) {
        self.has_begun.store(has_begun, Ordering::Relaxed);
    }
}

/// Sends requests to targets over pooled connections; it never retries a request that may have been
/// sent.
#[derive(Clone)]
pub struct TargetClient {
    limits: TargetLimits,
    idle: IdlePool,
}

/// Head and body of a response.
pub struct TargetResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, which is read from the connection on demand.
    pub body: TargetBody,
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new(limits: TargetLimits) -> Self {
        Self {
            limits,
            idle: IdlePool::default(),
        }
    }

    /// Returns the number of idle connections to a target.
    pub fn idle_connections(&self, target: &TargetAddress) -> usize {
        self.idle.count(target)
    }

    /// Returns a client with the same connection pool that keeps at most `max_idle` idle connections
    /// for each target.
    #[must_use]
    pub fn with_max_idle(&self, max_idle: usize) -> Self {
        Self {
            limits: TargetLimits {
                max_idle,
                ..self.limits
            },
            idle: self.idle.clone(),
        }
    }

    /// Returns a client without connections that closes those which have been idle for `idle_time` when it keeps another.
    #[must_use]
    pub fn with_idle_time(&self, idle_time: Duration) -> Self {
        Self {
            limits: self.limits,
            idle: IdlePool::with_idle_time(idle_time),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// A request that must not be retried should use a `fresh` connection: the target may close a
    /// pooled connection while the request is being sent, and it would then be unknown whether the
    /// request was run.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; only [`SendError::Broken`] and [`SendError::InvalidHead`] leave it unknown whether the
    /// target has run the request.
    pub async fn send(
        &self,
        target: &TargetAddress,
        request: http::Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<TargetResponse, SendError> {
        self.send_tracked(target, request, fresh, &SendProgress::default())
            .await
    }

    /// Like [`TargetClient::send`], but also records in `progress` whether sending has begun.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`TargetClient::send`] does.
    pub async fn send_tracked(
        &self,
        target: &TargetAddress,
        request: http::Request<Full<Bytes>>,
        fresh: bool,
        progress: &SendProgress,
    ) -> Result<TargetResponse, SendError> {
        let mut request = request;
        if !fresh {
            while let Some(sender) = self.idle.take(target) {
                progress.set_begun(true);
                match self.send_on(target, sender, request).await {
                    Err((SendError::ClosedBeforeSend, Some(unsent))) => request = *unsent,
                    Err((failure, _)) => return Err(failure),
                    Ok(reply) => return Ok(reply),
                }
                progress.set_begun(false);
            }
        }
        let sender = self.connect(target).await?;
        progress.set_begun(true);
        self.send_on(target, sender, request)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Closes the idle connections to targets for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&TargetAddress) -> bool) {
        self.idle.retain(keep);
    }

    async fn send_on(
        &self,
        target: &TargetAddress,
        mut sender: Sender,
        request: http::Request<Full<Bytes>>,
    ) -> Result<TargetResponse, (SendError, Option<Box<http::Request<Full<Bytes>>>>)> {
        sender.overhead.reset();
        match sender.requests.try_send_request(request).await {
            Ok(response) => {
                sender.overhead.reset();
                let (head, incoming) = response.into_parts();
                if !is_final_status(head.status) {
                    return Err((SendError::InvalidHead, None));
                }
                let connection = PooledConnection {
                    sender,
                    key: target.clone(),
                    idle: self.idle.clone(),
                    max_idle: self.limits.max_idle,
                };
                Ok(TargetResponse {
                    body: TargetBody::new(&head, incoming, connection),
                    head,
                })
            }
            Err(mut error) => match error.take_message() {
                // hyper returns the request only if it has not started to write it.
                Some(unsent) => Err((SendError::ClosedBeforeSend, Some(Box::new(unsent)))),
                None if error.error().is_parse() => Err((SendError::InvalidHead, None)),
                None => Err((SendError::Broken, None)),
            },
        }
    }

    /// Opens a connection and closes it, to check whether a process listens on the address.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Refused`] if no process listens on the address, and
    /// [`SendError::Connect`] if the check gave no result.
    pub async fn probe(&self, address: &str) -> Result<(), SendError> {
        self.open_stream(address).await.map(|_| ())
    }

    async fn open_stream(&self, address: &str) -> Result<TcpStream, SendError> {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(self.limits.connect_timeout, connecting).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(SendError::Refused)
            }
            _ => Err(SendError::Connect),
        }
    }

    async fn connect(&self, target: &TargetAddress) -> Result<Sender, SendError> {
        let stream = self.open_stream(&target.address).await?;
        if let Err(error) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::debug!(error:% = error; "receive_buffer_unset");
        }
        let _ = stream.set_nodelay(true);
        // Otherwise a request that was given up would still arrive when a partition ends.
        let _ = stream.set_zero_linger();
        let overhead = OverheadCount::default();
        let handshake = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(GuardedStream::new(stream, overhead.clone())));
        let (requests, connection) = handshake.await.map_err(|_| SendError::Connect)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Sender { requests, overhead })
    }
}

/// Returns whether a status is that of a final response; no request asks for an upgrade of its connection.
fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Builds a request body from bytes.
///
/// ```
/// let body = briarswitch_http::full_body("text".into());
/// assert_eq!(http_body::Body::size_hint(&body).exact(), Some(4));
/// ```
pub fn full_body(bytes: Bytes) -> Full<Bytes> {
    Full::new(bytes)
}
