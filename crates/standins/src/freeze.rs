//! Holds back the responses of a fake server while its machine is frozen.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Gate that handlers pass before they process a request or send data.
#[derive(Default)]
pub(crate) struct FreezeGate {
    is_frozen: AtomicBool,
    thaw: Notify,
}

impl FreezeGate {
    /// Blocks all subsequent calls of `pass`.
    pub(crate) fn close(&self) {
        self.is_frozen.store(true, Ordering::SeqCst);
    }

    /// Opens the gate and wakes all waiters.
    pub(crate) fn open(&self) {
        self.is_frozen.store(false, Ordering::SeqCst);
        self.thaw.notify_waiters();
    }

    /// Waits while the gate is closed.
    pub(crate) async fn pass(&self) {
        while self.is_frozen.load(Ordering::SeqCst) {
            let thawed = self.thaw.notified();
            if self.is_frozen.load(Ordering::SeqCst) {
                thawed.await;
            }
        }
    }
}
