//! Until when a node that was told to end waits for answers, and when its process exits.

use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_kernel::BootClock;
use tokio::sync::watch;

/// Time for which requests are still accepted after the node has reported that it is not ready.
///
/// The load balancer checks once a second and needs two failed checks, each with its own time-out, to stop sending
/// callers here.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// Part of the grace period that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time before the exit in which the callers of requests that have no answer yet are told so.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Times between the signal to end and the steps that follow it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExitPlan {
    /// Until new requests are refused.
    pub notice: Duration,
    /// Until requests without an answer are told so, while there is time to write it.
    pub answers_by: Duration,
    /// Until whatever is still being written is broken off.
    pub exit_by: Duration,
}

impl ExitPlan {
    /// Divides a grace period; of a short one the margins are a smaller part.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::node_exit::ExitPlan;
    ///
    /// let plan = ExitPlan::new(Duration::from_secs(8));
    /// assert_eq!(plan.notice, Duration::from_millis(2_800));
    /// assert_eq!(plan.answers_by, Duration::from_millis(7_000));
    /// assert_eq!(plan.exit_by, Duration::from_millis(7_300));
    /// ```
    pub fn new(grace: Duration) -> Self {
        let exit_by = grace - EXIT_MARGIN.min(grace / 4);
        Self {
            notice: NOTICE_TIME.min(grace / 2),
            answers_by: exit_by - ANSWER_MARGIN.min(grace / 8),
            exit_by,
        }
    }

    /// Plans for a node that accepts requests for `notice`, and waits at most `drain` for those in flight.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::node_exit::ExitPlan;
    ///
    /// let plan = ExitPlan::with_drain(Duration::from_secs(2), Duration::from_secs(60));
    /// assert_eq!(plan.answers_by, Duration::from_millis(61_700));
    /// assert_eq!(plan.exit_by, Duration::from_secs(62));
    /// ```
    pub fn with_drain(notice: Duration, drain: Duration) -> Self {
        let exit_by = notice + drain;
        Self {
            notice,
            answers_by: exit_by - ANSWER_MARGIN.min(drain / 4),
            exit_by,
        }
    }
}

/// Whether a node was told to end, and the time that it has left.
#[derive(Debug)]
pub struct NodeExit {
    plan: ExitPlan,
    begun_at: watch::Sender<Option<Moment>>,
}

impl NodeExit {
    /// Creates the state of a node that was not told to end.
    pub fn new(plan: ExitPlan) -> Self {
        Self {
            plan,
            begun_at: watch::Sender::new(None),
        }
    }

    /// Returns the times of the steps.
    pub fn plan(&self) -> ExitPlan {
        self.plan
    }

    /// Records that the node was told to end; later calls have no effect.
    pub fn begin(&self, now: Moment) {
        self.begun_at.send_if_modified(|begun_at| {
            let is_first = begun_at.is_none();
            begun_at.get_or_insert(now);
            is_first
        });
    }

    /// Returns the time since the node was told to end; zero before.
    pub fn elapsed(&self, now: Moment) -> Duration {
        let begun_at = *self.begun_at.borrow();
        begun_at.map_or(Duration::ZERO, |begun_at| now.saturating_sub(begun_at))
    }

    /// Returns the moment by which a request has to be answered, whose own deadline is `deadline`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::node_exit::{ExitPlan, NodeExit};
    ///
    /// let exit = NodeExit::new(ExitPlan::new(Duration::from_secs(8)));
    /// let deadline = Duration::from_secs(100);
    /// assert_eq!(exit.bound(deadline), deadline);
    /// exit.begin(Duration::from_secs(60));
    /// assert_eq!(exit.bound(deadline), Duration::from_secs(67));
    /// ```
    pub fn bound(&self, deadline: Moment) -> Moment {
        let begun_at = *self.begun_at.borrow();
        begun_at.map_or(deadline, |begun_at| {
            deadline.min(begun_at + self.plan.answers_by)
        })
    }

    /// Waits until requests without an answer are to be told so.
    pub async fn answers_due(&self) {
        self.reached(self.plan.answers_by).await;
    }

    /// Waits until whatever is still being written is to be broken off.
    pub async fn exit_due(&self) {
        self.reached(self.plan.exit_by).await;
    }

    /// Waits until so much time has passed since the node was told to end.
    async fn reached(&self, time: Duration) {
        let mut begun_at = self.begun_at.subscribe();
        // The sender is part of this node and outlives the wait.
        let _ = begun_at.wait_for(Option::is_some).await;
        loop {
            let remaining = time.saturating_sub(self.elapsed(BootClock::now()));
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }
}
