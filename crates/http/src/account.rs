//! Account of the bytes that a process holds for the callers of its listeners.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

/// Part of an account that only small claims may use, as one in so many.
const SMALL_SHARE: usize = 4;
/// Largest claim that counts as small, in bytes.
const SMALL_CLAIM_BYTES: usize = 64 << 10;

/// Error of a claim: the process holds as many bytes as it may.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the process holds as many bytes as it may")]
pub struct AccountFull;

/// Counts held bytes up to a limit.
///
/// ```
/// use briarswitch_http::ByteAccount;
///
/// let account = ByteAccount::new(100);
/// let mut claim = account.open_claim();
/// assert!(claim.resize(60).is_ok());
/// assert!(account.open_claim().resize(60).is_err());
/// drop(claim);
/// assert!(account.open_claim().resize(60).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct ByteAccount {
    shared: Arc<AccountShared>,
}

#[derive(Debug)]
struct AccountShared {
    limit: AtomicUsize,
    held: AtomicUsize,
    released: Notify,
}

/// Bytes of an account, which are given back when the claim is dropped.
#[derive(Debug)]
pub struct ByteClaim {
    account: ByteAccount,
    bytes: usize,
}

impl ByteAccount {
    /// Creates an account in which `limit` bytes may be held.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Arc::new(AccountShared {
                limit: AtomicUsize::new(limit),
                held: AtomicUsize::new(0),
                released: Notify::new(),
            }),
        }
    }

    /// Changes the limit; what is held already stays.
    pub fn set_limit(&self, limit: usize) {
        self.shared.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the limit.
    pub(crate) fn limit(&self) -> usize {
        self.shared.limit.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Returns a claim for no bytes.
    pub fn open_claim(&self) -> ByteClaim {
        ByteClaim {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Waits until bytes are given back, for at most `timeout`.
    pub(crate) async fn wait_for_release(&self, timeout: Duration) {
        let _ = tokio::time::timeout(timeout, self.shared.released.notified()).await;
    }

    /// Returns what may be held in all if one claim has `size` bytes and the others have `others`.
    ///
    /// A claim alone may have any size: the limit of a single request is its own.
    fn limit_for(&self, size: usize, others: usize) -> usize {
        let limit = self.limit();
        match size {
            _ if others == 0 => usize::MAX,
            ..=SMALL_CLAIM_BYTES => limit,
            _ => limit - limit / SMALL_SHARE,
        }
    }

    fn change(&self, from: usize, to: usize) -> Result<(), AccountFull> {
        let update = |held: usize| {
            let others = held.saturating_sub(from);
            (others + to <= self.limit_for(to, others)).then_some(others + to)
        };
        let held = &self.shared.held;
        held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .map_err(|_| AccountFull)?;
        Ok(())
    }
}

impl ByteClaim {
    /// Returns the account.
    pub(crate) fn account(&self) -> &ByteAccount {
        &self.account
    }

    /// Returns the number of bytes claimed.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Claims `bytes` in place of what was claimed so far.
    ///
    /// # Errors
    ///
    /// Returns [`AccountFull`] if there is no room; the claim stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), AccountFull> {
        if bytes > self.bytes {
            self.account.change(self.bytes, bytes)?;
        } else {
            self.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.account.shared.held.fetch_sub(bytes, Ordering::Relaxed);
        self.account.shared.released.notify_waiters();
    }
}

impl Drop for ByteClaim {
    fn drop(&mut self) {
        self.give_back(self.bytes);
    }
}
