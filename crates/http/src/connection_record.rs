//! What a connection waits for, and the bytes that are held for it.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Instant;

use tokio::sync::Notify;

use crate::account::{AccountFull, ByteAccount, ByteClaim};

/// Bytes of a head that need no claim.
const FREE_HEAD_BYTES: usize = 8 << 10;

/// Identifies a connection among those of its listener.
pub(crate) type ConnectionId = u64;

/// What the other end of a connection is waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Awaited {
    /// The first byte of a request.
    Request,
    /// The rest of a head.
    Head,
    /// The next bytes of a body.
    Body,
    /// That it reads the response.
    Reader,
}

/// How far an answer has been written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerState {
    /// There is none, or the system has taken all of it.
    Written,
    /// Its body has not ended.
    Begun,
    /// Its body has ended, and part of it may wait to be written.
    Ended,
}

/// How long a connection has waited for its other end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionWait {
    pub(crate) awaited: Awaited,
    pub(crate) since: Instant,
}

/// Closes connections for the bytes that are held for them.
pub(crate) trait StallCloser: Send + Sync {
    /// Closes the connection with claims whose other end has made no progress for longest; returns
    /// whether one may go.
    fn close_longest_stalled(&self) -> bool;
}

/// State of one connection, shared by those who serve it and those who may close it.
pub struct ConnectionRecord {
    pub(crate) id: ConnectionId,
    closer: Weak<dyn StallCloser>,
    account: ByteAccount,
    state: Mutex<RecordState>,
    close: Notify,
}

#[derive(Debug)]
struct RecordState {
    /// What is waited for; `None` while a request runs.
    awaited: Option<Awaited>,
    since: Instant,
    answer: AnswerState,
    /// Since when the other end has not read.
    unread_since: Option<Instant>,
    head_bytes: usize,
    /// Claim for the head, kept until the response has ended.
    head_claim: Option<ByteClaim>,
    /// Bytes claimed for bodies and answers.
    claimed: usize,
    is_closing: bool,
}

impl RecordState {
    fn wait(&self) -> Option<ConnectionWait> {
        if let Some(since) = self.unread_since {
            let awaited = Awaited::Reader;
            return Some(ConnectionWait { awaited, since });
        }
        let since = self.since;
        self.awaited
            .map(|awaited| ConnectionWait { awaited, since })
    }
}

tokio::task_local! {
    /// Connection that the current task serves.
    static SERVED: Arc<ConnectionRecord>;
}

impl ConnectionRecord {
    pub(crate) fn new(
        id: ConnectionId,
        closer: Weak<dyn StallCloser>,
        account: ByteAccount,
    ) -> Self {
        Self {
            id,
            closer,
            account,
            state: Mutex::new(RecordState {
                awaited: Some(Awaited::Request),
                since: Instant::now(),
                answer: AnswerState::Written,
                unread_since: None,
                head_bytes: 0,
                head_claim: None,
                claimed: 0,
                is_closing: false,
            }),
            close: Notify::new(),
        }
    }

    /// Runs a future as the one that serves this connection.
    pub(crate) async fn serve<F: Future>(self: &Arc<Self>, future: F) -> F::Output {
        SERVED.scope(Arc::clone(self), future).await
    }

    /// Returns the connection that the current task serves, if it serves one.
    pub(crate) fn current() -> Option<Arc<Self>> {
        SERVED.try_with(Arc::clone).ok()
    }

    pub(crate) fn account(&self) -> &ByteAccount {
        &self.account
    }

    /// Closes the connection of the same listener that has been stalled for longest; returns whether one may go.
    pub(crate) fn close_longest_stalled(&self) -> bool {
        let closer = self.closer.upgrade();
        closer.is_some_and(|closer| closer.close_longest_stalled())
    }

    /// Returns how long the other end has been waited for; `None` if it is not.
    pub(crate) fn wait(&self) -> Option<ConnectionWait> {
        self.lock().wait()
    }

    /// Returns whether bytes are claimed for the connection.
    pub(crate) fn has_claims(&self) -> bool {
        let state = self.lock();
        state.claimed > 0 || state.head_claim.is_some()
    }

    /// Has the connection closed if it still waits as it did; returns whether it does.
    ///
    /// A request that has begun to run meanwhile is not broken off.
    pub(crate) fn close(&self, wait: ConnectionWait) -> bool {
        let mut state = self.lock();
        if state.wait() != Some(wait) {
            return false;
        }
        state.is_closing = true;
        drop(state);
        self.close.notify_one();
        true
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if they belong to a head for which there is no room.
    pub(crate) fn record_read(&self, bytes: usize) -> Result<(), AccountFull> {
        if bytes == 0 {
            return Ok(());
        }
        let mut state = self.lock();
        match state.awaited {
            Some(Awaited::Request) => {
                state.awaited = Some(Awaited::Head);
                state.since = Instant::now();
                state.head_bytes = bytes;
            }
            Some(Awaited::Head) => state.head_bytes += bytes,
            Some(Awaited::Body) => state.since = Instant::now(),
            Some(Awaited::Reader) | None => {}
        }
        self.claim_head(&mut state)
    }

    fn claim_head(&self, state: &mut RecordState) -> Result<(), AccountFull> {
        let excess = state.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        if excess == 0 || state.awaited != Some(Awaited::Head) {
            return Ok(());
        }
        let claim = &mut state.head_claim;
        claim
            .get_or_insert_with(|| self.account.open_claim())
            .resize(excess)
    }

    /// Records whether the other end took what was written.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut state = self.lock();
        if is_blocked {
            state.unread_since.get_or_insert_with(Instant::now);
        } else {
            state.unread_since = None;
        }
    }

    /// Records that a head is complete; returns whether its request may run, which it may not on a
    /// connection that is being closed.
    pub(crate) fn begin_request(&self) -> bool {
        let mut state = self.lock();
        state.awaited = None;
        !state.is_closing
    }

    /// Records that the next bytes of a body are waited for, or that they are not any more.
    pub(crate) fn set_awaits_body(&self, awaits_body: bool) {
        let mut state = self.lock();
        match state.awaited {
            None if awaits_body => {
                state.awaited = Some(Awaited::Body);
                state.since = Instant::now();
            }
            Some(Awaited::Body) if !awaits_body => state.awaited = None,
            _ => {}
        }
    }

    /// Records that a response is there to be written.
    pub(crate) fn begin_answer(&self) {
        self.lock().answer = AnswerState::Begun;
    }

    /// Records that the system has taken all that there was to write.
    pub(crate) fn record_flush(&self) {
        let mut state = self.lock();
        if state.answer == AnswerState::Ended {
            state.answer = AnswerState::Written;
        }
    }

    /// Returns whether part of an answer has yet to be written.
    pub(crate) fn has_unwritten_answer(&self) -> bool {
        self.lock().answer != AnswerState::Written
    }

    /// Records that a response has been handed over whole.
    pub(crate) fn end_request(&self) {
        let mut state = self.lock();
        state.answer = AnswerState::Ended;
        state.awaited = Some(Awaited::Request);
        state.since = Instant::now();
        state.head_bytes = 0;
        state.head_claim = None;
    }

    /// Counts bytes that were claimed for the connection, or given back.
    pub(crate) fn count_claimed(&self, before: usize, now: usize) {
        let mut state = self.lock();
        state.claimed = (state.claimed + now).saturating_sub(before);
    }

    fn lock(&self) -> MutexGuard<'_, RecordState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
