//! What a node still has to finish when it is told to end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use briarswitch_http::ServerGuard;

use crate::node_exit::NodeExit;

/// Interval at which the work is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for what is broken off to be told to its callers.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Requests in flight and answers that have yet to be written.
#[derive(Clone, Copy, Debug)]
pub struct OpenWork<'a> {
    /// Number of requests in flight.
    pub in_flight: &'a AtomicUsize,
    /// Servers that write the answers.
    pub servers: &'a [ServerGuard],
}

impl OpenWork<'_> {
    /// Waits until no request is in flight and all answers have been written.
    ///
    /// ```
    /// use std::sync::atomic::AtomicUsize;
    ///
    /// use briarswitch_fleet::open_work::OpenWork;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
    /// let in_flight = AtomicUsize::new(0);
    /// let work = OpenWork { in_flight: &in_flight, servers: &[] };
    /// work.ended().await;
    /// assert!(work.has_closed().await);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn ended(&self) {
        loop {
            // A request that has just ended is in neither number until its answer is begun.
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.requests() == 0 && self.unwritten_answers() == 0 {
                return;
            }
        }
    }

    /// Waits until the work has ended, or whatever is left of it is to be broken off.
    ///
    /// ```
    /// use std::sync::atomic::AtomicUsize;
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::node_exit::{ExitPlan, NodeExit};
    /// use briarswitch_fleet::open_work::OpenWork;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
    /// let in_flight = AtomicUsize::new(1);
    /// let work = OpenWork { in_flight: &in_flight, servers: &[] };
    /// let exit = NodeExit::new(ExitPlan::new(Duration::ZERO));
    /// exit.begin(Duration::ZERO);
    /// work.ended_by(&exit).await;
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn ended_by(&self, exit: &NodeExit) {
        tokio::select! {
            () = self.ended() => {}
            () = exit.exit_due() => {}
        }
    }

    /// Gives what is left a moment to close; returns whether nothing is left then.
    pub async fn has_closed(&self) -> bool {
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, self.ended()).await;
        closed.is_ok()
    }

    /// Logs the end of a shutdown, with what is left.
    pub fn log_end(&self, is_complete: bool) {
        log::info!(
            complete = is_complete,
            in_flight = self.requests(),
            unwritten = self.unwritten_answers();
            "shutdown_ended"
        );
    }

    fn requests(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    fn unwritten_answers(&self) -> usize {
        let servers = self.servers.iter();
        servers.map(ServerGuard::unwritten_answers).sum()
    }
}
