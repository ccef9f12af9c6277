//! Bounded mailboxes of services.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

/// What a mailbox carries.
pub(crate) enum Envelope<M> {
    Message(M),
    Dump(oneshot::Sender<Value>),
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PostError {
    /// The mailbox is full.
    #[error("the service's mailbox is full")]
    Full,
    /// The service has stopped.
    #[error("the service has stopped")]
    Stopped,
}

/// Sends messages to one service.
#[derive(Debug)]
pub struct Mailbox<M> {
    sender: mpsc::Sender<Envelope<M>>,
    refused: Arc<AtomicU64>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            refused: Arc::clone(&self.refused),
        }
    }
}

impl<M: Send> Mailbox<M> {
    pub(crate) fn new(capacity: usize) -> (Self, mpsc::Receiver<Envelope<M>>) {
        let (sender, receiver) = mpsc::channel(capacity);
        let mailbox = Self {
            sender,
            refused: Arc::new(AtomicU64::new(0)),
        };
        (mailbox, receiver)
    }

    /// Posts a message without waiting.
    ///
    /// A full mailbox refuses the message and counts it. Traffic threads post only hints whose loss
    /// costs precision, such as a failed connection; whatever must arrive is sent with
    /// [`Mailbox::send`].
    ///
    /// # Errors
    ///
    /// Returns [`PostError`] when the message was not taken.
    pub fn post(&self, message: M) -> Result<(), PostError> {
        match self.sender.try_send(Envelope::Message(message)) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                Err(PostError::Full)
            }
            Err(mpsc::error::TrySendError::Closed(_)) => Err(PostError::Stopped),
        }
    }

    /// Sends a message, waiting for room.
    ///
    /// # Errors
    ///
    /// Returns [`PostError::Stopped`] when the service has stopped.
    pub async fn send(&self, message: M) -> Result<(), PostError> {
        self.sender
            .send(Envelope::Message(message))
            .await
            .map_err(|_| PostError::Stopped)
    }

    /// Returns how many messages were refused because the mailbox was full.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(crate) async fn dump(&self) -> Value {
        let (reply, answer) = oneshot::channel();
        if self.sender.send(Envelope::Dump(reply)).await.is_err() {
            return Value::Null;
        }
        answer.await.unwrap_or(Value::Null)
    }
}
