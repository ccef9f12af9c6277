//! Bounded mailboxes of services.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

/// Content of a mailbox.
pub(crate) enum Envelope<M> {
    /// A message from outside the service.
    Message(M),
    /// The result of work that the service began, or `None` if that work panicked.
    Finished(InstanceId, Option<M>),
    /// A request for the service's state.
    Dump(oneshot::Sender<Value>),
}

/// Number of a service's instance; each restart makes a new one.
pub(crate) type InstanceId = u64;

/// Reason why a message was not delivered.
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
    /// A full mailbox rejects the message and counts it. Traffic threads post only hints whose loss
    /// reduces precision, such as failed connections; messages that must be delivered are sent with
    /// [`Mailbox::send`].
    ///
    /// # Errors
    ///
    /// Returns [`PostError`] if the message was not delivered.
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

    /// Sends a message, waiting for capacity.
    ///
    /// # Errors
    ///
    /// Returns [`PostError::Stopped`] if the service has stopped.
    pub async fn send(&self, message: M) -> Result<(), PostError> {
        self.sender
            .send(Envelope::Message(message))
            .await
            .map_err(|_| PostError::Stopped)
    }

    /// Delivers the result of work that an instance of the service began.
    pub(crate) async fn finish(&self, instance: InstanceId, result: Option<M>) {
        // A service that has stopped needs no result.
        let _ = self.sender.send(Envelope::Finished(instance, result)).await;
    }

    /// Returns the number of messages that were rejected because the mailbox was full.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(crate) async fn dump(&self) -> Value {
        let (reply, response) = oneshot::channel();
        if self.sender.send(Envelope::Dump(reply)).await.is_err() {
            return Value::Null;
        }
        response.await.unwrap_or(Value::Null)
    }
}
