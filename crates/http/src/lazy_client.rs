//! The transport of typed calls, chosen with the first call rather than with its owner.
//!
//! The HTTP library reads the system's list of name servers for each client, also if only IP addresses are called, and
//! panics if the list can't be read or is empty. Such a process calls over the client of targets, which needs no list.

use std::panic::catch_unwind;
use std::sync::OnceLock;
use std::time::Duration;

use volo_http::client::Client;

use crate::target::{TargetClient, TargetLimits};

/// Limits of calls without the library's client.
const DIRECT_LIMITS: TargetLimits = TargetLimits {
    connect_timeout: Duration::from_secs(2),
    max_idle: 8,
};

/// What carries the calls.
pub(crate) enum CallTransport {
    /// The library's client.
    Library(Client),
    /// The client of targets, where the library's can't be created.
    Direct(TargetClient),
}

/// A transport that may not have been chosen yet.
#[derive(Default)]
pub(crate) struct LazyClient {
    transport: OnceLock<CallTransport>,
}

impl LazyClient {
    /// Returns the transport, which the first call chooses.
    pub(crate) fn get(&self) -> &CallTransport {
        self.transport.get_or_init(choose_transport)
    }
}

fn choose_transport() -> CallTransport {
    match catch_unwind(|| Client::builder().build()) {
        Ok(Ok(client)) => CallTransport::Library(client),
        Ok(Err(_)) | Err(_) => {
            log::warn!("client_replaced");
            CallTransport::Direct(TargetClient::new(DIRECT_LIMITS))
        }
    }
}
