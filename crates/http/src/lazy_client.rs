//! The HTTP library's client, created for the first call rather than with its owner.
//!
//! The library reads the system's list of name servers for each client, also if only IP addresses are called, and
//! panics if the list can't be read or is empty. Here that is a failed call, after which the next ones try again.

use std::panic::catch_unwind;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use volo_http::client::Client;

use crate::client::CallError;

/// Interval after which a client that could not be created is tried again; each failure is logged as a panic.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client that may not have been created yet.
#[derive(Default)]
pub(crate) struct LazyClient {
    client: OnceLock<Client>,
    failed_at: Mutex<Option<Instant>>,
}

impl LazyClient {
    /// Returns the client, which the first call creates.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NoResponse`] if the client can't be created now.
    pub(crate) fn get(&self) -> Result<&Client, CallError> {
        match self.client.get() {
            Some(client) => Ok(client),
            None => self.create(),
        }
    }

    fn create(&self) -> Result<&Client, CallError> {
        let mut failed_at = self
            .failed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_due = failed_at.is_none_or(|failed_at| failed_at.elapsed() >= RETRY_INTERVAL);
        let created = is_due.then(|| catch_unwind(|| Client::builder().build()));
        match created {
            Some(Ok(Ok(client))) => Ok(self.client.get_or_init(|| client)),
            Some(_) => {
                *failed_at = Some(Instant::now());
                Err(unavailable())
            }
            None => Err(unavailable()),
        }
    }
}

fn unavailable() -> CallError {
    let text =
        "the HTTP client can't be created; the system's list of name servers has to be readable";
    CallError::NoResponse(text.to_owned())
}
