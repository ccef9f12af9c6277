//! Signals that the daemon obeys.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals to end and to look at the settings again.
pub struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl NodeSignals {
    /// Begins to receive signals.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a signal can not be received.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to end.
    ///
    /// A signal to reload must not end the process, which is what it does where nobody receives it.
    /// Every setting holds for the life of a process, so nothing else follows from it.
    pub async fn wait_for_shutdown(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => log::info!("reload_ignored"),
            }
        }
    }
}
