//! The connections of one listener: how many there may be, and which one goes for another.
//!
//! Answers crowds of clients that hold connections or bytes without letting a request come to its
//! end: the connection that has kept the process waiting longest is closed for one that asks.

use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::account::ByteAccount;
use crate::connection_limits::{ConnectionLimits, LimitSource};
use crate::connection_record::{
    Awaited, ConnectionId, ConnectionRecord, ConnectionWait, StallCloser,
};
use crate::limits::{ListenerKind, ProcessLimits};

/// Time without progress after which a connection may be closed in favour of another one.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Longest wait for a connection that is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without progress of a body or of the reading of a response after which a connection is closed.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns how long a connection may wait for its other end.
fn time_limit(awaited: Awaited, limits: ConnectionLimits) -> Duration {
    match awaited {
        Awaited::Request => limits.idle_timeout,
        Awaited::Head => limits.head_timeout,
        Awaited::Body | Awaited::Reader => PROGRESS_TIMEOUT,
    }
}

/// Counts of connections that were closed or refused since the last line of the log.
#[derive(Debug, Default)]
struct ClosedCounts {
    /// Closed while idle or without a whole head, for a new connection.
    displaced: AtomicU64,
    /// Closed without progress, for the bytes that were held for them.
    stalled: AtomicU64,
    /// Closed after a time limit.
    overdue: AtomicU64,
    /// Refused, since each connection had a request.
    refused: AtomicU64,
}

impl ClosedCounts {
    /// Logs the counts, if there are any, and begins anew.
    fn log(&self, pool: &ConnectionPool) {
        let counts = [&self.displaced, &self.stalled, &self.overdue, &self.refused];
        let [displaced, stalled, overdue, refused] =
            counts.map(|count| count.swap(0, Ordering::Relaxed));
        if displaced + stalled + overdue + refused == 0 {
            return;
        }
        log::info!(
            listener = pool.kind.name(),
            open = pool.open_connections(),
            held_bytes = pool.account.held(),
            displaced = displaced,
            stalled = stalled,
            overdue = overdue,
            refused = refused;
            "connections_limited"
        );
    }
}

/// The connections of one listener and the bytes that are held for them.
pub struct ConnectionPool {
    kind: ListenerKind,
    process: ProcessLimits,
    account: ByteAccount,
    source: Arc<dyn LimitSource>,
    next_id: AtomicU64,
    /// Connections that are open, with those that are being closed.
    open: AtomicUsize,
    /// Connections that may be closed.
    records: Mutex<IndexMap<ConnectionId, Arc<ConnectionRecord>>>,
    closed: Notify,
    counts: ClosedCounts,
}

/// A connection's place in its pool, which is free again when this guard is dropped.
pub(crate) struct PoolPlace {
    pool: Arc<ConnectionPool>,
    record: Arc<ConnectionRecord>,
}

impl ConnectionPool {
    /// Creates a pool with a listener's share of a process's limits.
    pub fn new(
        kind: ListenerKind,
        process: ProcessLimits,
        source: Arc<dyn LimitSource>,
    ) -> Arc<Self> {
        let process = process.within_system_limits();
        let pool = Self {
            kind,
            process,
            account: ByteAccount::new(0),
            source,
            next_id: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            records: Mutex::default(),
            closed: Notify::new(),
            counts: ClosedCounts::default(),
        };
        pool.limit_account(pool.limits());
        Arc::new(pool)
    }

    /// Returns the limits of connections that are accepted now.
    pub fn limits(&self) -> ConnectionLimits {
        self.source.connection_limits()
    }

    /// Sets what may be claimed, which follows from the largest body.
    fn limit_account(&self, limits: ConnectionLimits) {
        let account_bytes = self.process.account_bytes(self.kind, limits.body_bytes);
        self.account.set_limit(account_bytes);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of connections on which part of an answer has yet to be written.
    pub(crate) fn unwritten_answers(&self) -> usize {
        let records = self.lock();
        let records = records.values();
        records
            .filter(|record| record.has_unwritten_answer())
            .count()
    }

    /// Takes a place for a new connection, if need be that of the one that has been idle or without
    /// a whole head for longest; `None` if each connection has a request.
    pub(crate) async fn take_place(self: &Arc<Self>) -> Option<PoolPlace> {
        let max_connections = self.process.connections(self.kind);
        while self.open_connections() >= max_connections {
            let closed = self.closed.notified();
            if !self.close_longest_waiting() {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            // The place is free once the task that serves the connection has dropped it.
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
        }
        Some(self.add())
    }

    fn add(self: &Arc<Self>) -> PoolPlace {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pool: Weak<Self> = Arc::downgrade(self);
        let record = Arc::new(ConnectionRecord::new(id, pool, self.account.clone()));
        self.open.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, Arc::clone(&record));
        PoolPlace {
            pool: Arc::clone(self),
            record,
        }
    }

    /// Closes the connection that keeps the others waiting longest; returns whether one may go.
    pub(crate) fn close_longest_waiting(&self) -> bool {
        let now = Instant::now();
        let may_close = |_: &ConnectionRecord, wait: ConnectionWait| match wait.awaited {
            Awaited::Request | Awaited::Head => true,
            Awaited::Body | Awaited::Reader => now.duration_since(wait.since) >= STALL_TIME,
        };
        self.close_one(may_close, &self.counts.displaced)
    }

    fn close_one(
        &self,
        may_close: impl Fn(&ConnectionRecord, ConnectionWait) -> bool,
        count: &AtomicU64,
    ) -> bool {
        let mut records = self.lock();
        let waiting = records.values().filter_map(|record| {
            let wait = record.wait()?;
            may_close(record, wait).then_some((wait, record.id))
        });
        let Some((wait, id)) = waiting.min_by_key(|(wait, _)| wait.since) else {
            return false;
        };
        // One that goes on just now stays, and the caller of this function tries again.
        if records.get(&id).is_some_and(|record| record.close(wait)) {
            records.swap_remove(&id);
            count.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    /// Applies the limits in force, and closes the connections whose other ends have exceeded a time limit.
    pub(crate) fn enforce_limits(&self) {
        let limits = self.limits();
        self.limit_account(limits);
        let now = Instant::now();
        let mut records = self.lock();
        records.retain(|_, record| {
            let overdue = record
                .wait()
                .filter(|wait| now.duration_since(wait.since) > time_limit(wait.awaited, limits));
            let is_closed = overdue.is_some_and(|wait| record.close(wait));
            if is_closed {
                self.counts.overdue.fetch_add(1, Ordering::Relaxed);
            }
            !is_closed
        });
        drop(records);
        self.counts.log(self);
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ConnectionId, Arc<ConnectionRecord>>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StallCloser for ConnectionPool {
    fn close_longest_stalled(&self) -> bool {
        let now = Instant::now();
        let is_stalled = |record: &ConnectionRecord, wait: ConnectionWait| {
            now.duration_since(wait.since) >= STALL_TIME && record.has_claims()
        };
        self.close_one(is_stalled, &self.counts.stalled)
    }
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("ConnectionPool");
        debug.field("kind", &self.kind);
        debug.field("open", &self.open_connections());
        debug.finish_non_exhaustive()
    }
}

impl PoolPlace {
    pub(crate) fn record(&self) -> &Arc<ConnectionRecord> {
        &self.record
    }
}

impl Drop for PoolPlace {
    fn drop(&mut self) {
        self.pool.lock().swap_remove(&self.record.id);
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
        self.pool.closed.notify_waiters();
    }
}
