//! Signals that the daemon handles.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers of SIGTERM and SIGINT, which end the daemon, and of SIGHUP, which does nothing.
pub struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl NodeSignals {
    /// Registers the handlers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when a handler cannot be registered.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// SIGHUP is handled because its default action would end the process. It reloads nothing:
    /// settings do not change while a process runs.
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
