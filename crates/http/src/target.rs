//! A client for targets that knows whether any byte of a request can have left.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::reply::{read_body, BodyError};

/// A target's address in one of its lives.
///
/// The life is part of the key so that a connection to a machine that was replaced under the same
/// address is never used for its successor.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetAddress {
    /// Address as `ip:port`.
    pub address: String,
    /// Life of the machine.
    pub incarnation: u64,
}

/// Limits of the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Idle connections kept for one target.
    pub max_idle: usize,
}

/// Why no head of an answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SendError {
    /// The connection could not be opened.
    #[error("the connection could not be opened")]
    Connect,
    /// Nobody listens at the address.
    #[error("nobody listens at the address")]
    Refused,
    /// The connection was closed before a byte of the request was written.
    #[error("the connection was closed before the request was written")]
    ClosedBeforeSend,
    /// The connection broke after bytes of the request may have left.
    #[error("the connection broke before the answer began")]
    Broken,
}

type Sender = SendRequest<Full<Bytes>>;
type IdlePool = Arc<Mutex<HashMap<TargetAddress, Vec<Sender>>>>;

/// Sends requests to targets over kept connections; it never sends a request twice by itself.
#[derive(Clone)]
pub struct TargetClient {
    limits: TargetLimits,
    idle: IdlePool,
}

/// The head of an answer and the body that follows.
pub struct TargetResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body.
    pub body: TargetBody,
}

/// The body of an answer.
///
/// Dropped before its end, it closes the connection, which tells the target to stop.
pub struct TargetBody {
    incoming: Incoming,
    sender: Option<Sender>,
    key: TargetAddress,
    idle: IdlePool,
    keep: usize,
}

impl TargetClient {
    /// Opens a client without connections.
    pub fn new(limits: TargetLimits) -> Self {
        Self {
            limits,
            idle: IdlePool::default(),
        }
    }

    /// Returns how many idle connections to a target are kept.
    pub fn idle_connections(&self, target: &TargetAddress) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(target).map_or(0, Vec::len)
    }

    /// Returns a client of the same connections that keeps at most `idle` of one target.
    #[must_use]
    pub fn with_max_idle(&self, idle: usize) -> Self {
        Self {
            limits: TargetLimits {
                max_idle: idle,
                ..self.limits
            },
            idle: Arc::clone(&self.idle),
        }
    }

    /// Sends one request once.
    ///
    /// A request that may not be repeated should ask for a `fresh` connection: a kept one can be
    /// closed by the target at the moment of sending, which would leave its fate unknown for no
    /// good reason.
    ///
    /// # Errors
    ///
    /// Returns the point of failure; only [`SendError::Broken`] leaves open whether the target
    /// received the request.
    pub async fn send(
        &self,
        target: &TargetAddress,
        request: http::Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<TargetResponse, SendError> {
        let mut request = request;
        if !fresh {
            while let Some(sender) = self.take_idle(target) {
                match self.send_on(target, sender, request).await {
                    Err((SendError::ClosedBeforeSend, Some(unsent))) => request = *unsent,
                    Err((failure, _)) => return Err(failure),
                    Ok(reply) => return Ok(reply),
                }
            }
        }
        let sender = self.connect(target).await?;
        self.send_on(target, sender, request)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Closes the idle connections to targets that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&TargetAddress) -> bool) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|target, _| keep(target));
        }
    }

    async fn send_on(
        &self,
        target: &TargetAddress,
        mut sender: Sender,
        request: http::Request<Full<Bytes>>,
    ) -> Result<TargetResponse, (SendError, Option<Box<http::Request<Full<Bytes>>>>)> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, incoming) = response.into_parts();
                Ok(TargetResponse {
                    head,
                    body: TargetBody {
                        incoming,
                        sender: Some(sender),
                        key: target.clone(),
                        idle: Arc::clone(&self.idle),
                        keep: self.limits.max_idle,
                    },
                })
            }
            Err(mut error) => match error.take_message() {
                // The library hands the request back only if it never began to write it.
                Some(unsent) => Err((SendError::ClosedBeforeSend, Some(Box::new(unsent)))),
                None => Err((SendError::Broken, None)),
            },
        }
    }

    /// Opens a connection and closes it again, which shows whether anybody listens.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Refused`] when nobody listens, [`SendError::Connect`] when nothing is known.
    pub async fn probe(&self, address: &str) -> Result<(), SendError> {
        self.open_stream(address).await.map(|_| ())
    }

    async fn open_stream(&self, address: &str) -> Result<TcpStream, SendError> {
        let opening = TcpStream::connect(address);
        match tokio::time::timeout(self.limits.connect_timeout, opening).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(SendError::Refused)
            }
            _ => Err(SendError::Connect),
        }
    }

    async fn connect(&self, target: &TargetAddress) -> Result<Sender, SendError> {
        let stream = self.open_stream(&target.address).await?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::Connect)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, target: &TargetAddress) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(target)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }
}

impl TargetBody {
    /// Returns the next bytes, `None` at a clean end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke before the body's length or end mark; such a body
    /// must never be passed on as whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(error),
                None => {
                    self.release_connection();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the rest of the body; the connection is kept if it ends cleanly.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] when the body is larger than `limit` or ends too early.
    pub async fn read_all(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let bytes = read_body(&mut self.incoming, limit).await?;
        self.release_connection();
        Ok(bytes)
    }

    fn release_connection(&mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let idle = Arc::clone(&self.idle);
        let (key, keep) = (self.key.clone(), self.keep);
        tokio::spawn(async move {
            if sender.ready().await.is_err() {
                return;
            }
            if let Ok(mut idle) = idle.lock() {
                let senders = idle.entry(key).or_default();
                if senders.len() < keep {
                    senders.push(sender);
                }
            }
        });
    }
}

/// Wraps whole bytes as a request body.
///
/// ```
/// let body = briarswitch_http::full_body("text".into());
/// assert_eq!(http_body::Body::size_hint(&body).exact(), Some(4));
/// ```
pub fn full_body(bytes: Bytes) -> Full<Bytes> {
    Full::new(bytes)
}
