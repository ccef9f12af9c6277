//! Idle connections to targets, kept for further requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use crate::guarded_stream::OverheadCount;

/// Address and incarnation of a target.
///
/// The incarnation is part of the pool's key so that a connection to a machine is never used for
/// another machine that replaced it at the same address.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetAddress {
    /// Address as `ip:port`.
    pub address: String,
    /// Incarnation of the machine.
    pub incarnation: u64,
}

/// Sends requests on one connection.
pub(crate) struct Sender {
    /// Sends them.
    pub(crate) requests: SendRequest<Full<Bytes>>,
    /// Bytes received that were no part of a response.
    pub(crate) overhead: OverheadCount,
}

/// Idle connections by target; clones share them.
#[derive(Clone, Default)]
pub(crate) struct IdlePool {
    senders: Arc<Mutex<HashMap<TargetAddress, Vec<Sender>>>>,
}

impl IdlePool {
    /// Returns the number of idle connections to a target.
    pub(crate) fn count(&self, target: &TargetAddress) -> usize {
        self.lock().get(target).map_or(0, Vec::len)
    }

    /// Removes a connection to a target that can take a request.
    pub(crate) fn take(&self, target: &TargetAddress) -> Option<Sender> {
        let mut pool = self.lock();
        let senders = pool.get_mut(target)?;
        while let Some(sender) = senders.pop() {
            if sender.requests.is_ready() && !sender.requests.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Adds a connection once it can take the next request, unless the pool holds `max_idle` connections to the target
    /// then.
    pub(crate) async fn add(&self, target: TargetAddress, mut sender: Sender, max_idle: usize) {
        if sender.requests.ready().await.is_err() {
            return;
        }
        let mut pool = self.lock();
        let senders = pool.entry(target).or_default();
        if senders.len() < max_idle {
            senders.push(sender);
        }
    }

    /// Closes the connections to targets for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&TargetAddress) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetAddress, Vec<Sender>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
