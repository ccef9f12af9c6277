//! Holds a stand-in's answers while its machine is frozen.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// A gate that every handler passes.
#[derive(Default)]
pub(crate) struct FreezeGate {
    is_frozen: AtomicBool,
    thaw: Notify,
}

impl FreezeGate {
    /// Stops whoever passes from now on.
    pub(crate) fn close(&self) {
        self.is_frozen.store(true, Ordering::SeqCst);
    }

    /// Lets everybody go on.
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
