//! Idle connections to targets, kept for further requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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

/// A connection that is kept.
struct IdleSender {
    sender: Sender,
    since: Instant,
}

/// Idle connections by target; clones share them.
#[derive(Clone, Default)]
pub(crate) struct IdlePool {
    senders: Arc<Mutex<HashMap<TargetAddress, Vec<IdleSender>>>>,
    /// Time for which a connection is kept; `None` keeps it until its target closes it.
    idle_time: Option<Duration>,
}

impl IdleSender {
    fn is_usable(&self, idle_time: Option<Duration>) -> bool {
        let requests = &self.sender.requests;
        let is_overdue = idle_time.is_some_and(|time| self.since.elapsed() >= time);
        requests.is_ready() && !requests.is_closed() && !is_overdue
    }
}

impl IdlePool {
    /// Returns a pool that keeps a connection only for so long.
    pub(crate) fn with_idle_time(idle_time: Duration) -> Self {
        Self {
            idle_time: Some(idle_time),
            ..Self::default()
        }
    }

    /// Returns the number of idle connections to a target.
    pub(crate) fn count(&self, target: &TargetAddress) -> usize {
        self.lock().get(target).map_or(0, Vec::len)
    }

    /// Removes a connection to a target that can take a request.
    pub(crate) fn take(&self, target: &TargetAddress) -> Option<Sender> {
        let mut pool = self.lock();
        let senders = pool.get_mut(target)?;
        while let Some(idle) = senders.pop() {
            if idle.is_usable(self.idle_time) {
                return Some(idle.sender);
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
        if self.idle_time.is_some() {
            self.drop_unusable(&mut pool);
        }
        let senders = pool.entry(target).or_default();
        if senders.len() < max_idle {
            let since = Instant::now();
            senders.push(IdleSender { sender, since });
        }
    }

    /// Closes the connections to targets for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&TargetAddress) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn drop_unusable(&self, pool: &mut HashMap<TargetAddress, Vec<IdleSender>>) {
        pool.retain(|_, senders| {
            senders.retain(|idle| idle.is_usable(self.idle_time));
            !senders.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetAddress, Vec<IdleSender>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
