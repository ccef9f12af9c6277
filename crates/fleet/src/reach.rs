//! Whether this node reaches targets, as the traffic threads see it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::reachability::{Reachability, VERIFIED_TIME};
use tokio::sync::watch;

use crate::micros::micros;

/// Silence of all targets from which the silence of one is no reason to suspect it.
///
/// Shorter than the silence after which targets are probed, so that no suspicion is spread before the probes.
const UNVERIFIED_SILENCE: Duration = Duration::from_millis(100);
/// Interval at which the result of requested probes is checked.
const VERIFY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the result of probes.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether this node reaches targets.
#[derive(Debug, Default)]
pub struct TargetReach {
    state: watch::Sender<Reachability>,
    verified_at: AtomicU64,
    is_verification_requested: AtomicBool,
}

impl TargetReach {
    /// Publishes the state, and when a probe last showed that targets are reached.
    pub fn publish(&self, state: Reachability, verified_at: Option<Moment>) {
        let verified_at = verified_at.map_or(0, micros);
        self.verified_at.store(verified_at, Ordering::Relaxed);
        self.state.send_if_modified(|held| {
            let is_modified = *held != state;
            *held = state;
            is_modified
        });
    }

    /// Requests that targets be probed, because one of them is silent and no other was heard.
    pub fn request_verification(&self) {
        self.is_verification_requested
            .store(true, Ordering::Relaxed);
    }

    /// Returns whether a verification was requested since the last call.
    pub fn take_request(&self) -> bool {
        self.is_verification_requested
            .swap(false, Ordering::Relaxed)
    }

    /// Returns whether this node reaches targets.
    pub fn state(&self) -> Reachability {
        *self.state.borrow()
    }

    /// Returns whether this node reaches targets as far as it knows, and does not doubt it.
    pub fn is_reachable(&self) -> bool {
        self.state() == Reachability::Reachable
    }

    /// Returns whether this node is known to be partitioned from all targets.
    pub fn is_partitioned(&self) -> bool {
        self.state() == Reachability::Partitioned
    }

    /// Returns whether the failure of a target may be this node's, given the time since any target was heard.
    pub fn is_doubtful(&self, silence: Duration, now: Moment) -> bool {
        let verified_at = self.verified_at();
        !self.is_reachable()
            || (silence >= UNVERIFIED_SILENCE && now >= verified_at + VERIFIED_TIME)
    }

    fn verified_at(&self) -> Moment {
        Duration::from_micros(self.verified_at.load(Ordering::Relaxed))
    }

    /// Has targets probed unless that was done after `since`, and returns whether this node is partitioned.
    pub async fn verify(&self, since: Moment) -> bool {
        self.request_verification();
        let mut waited = Duration::ZERO;
        while waited < SETTLE_TIMEOUT && !self.is_partitioned() && self.verified_at() < since {
            tokio::time::sleep(VERIFY_POLL_INTERVAL).await;
            waited += VERIFY_POLL_INTERVAL;
        }
        self.is_partitioned()
    }

    /// Waits while probes are under way; returns whether this node is partitioned.
    pub async fn settle(&self) -> bool {
        if self.state() != Reachability::Verifying {
            return self.is_partitioned();
        }
        let mut state = self.state.subscribe();
        let settled = state.wait_for(|state| *state != Reachability::Verifying);
        // On a time-out the request takes the direct path, as if there were no doubt.
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
        self.is_partitioned()
    }

    /// Waits until this node is partitioned.
    pub async fn partitioned(&self) {
        let mut state = self.state.subscribe();
        let partitioned = state.wait_for(|state| *state == Reachability::Partitioned);
        if partitioned.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
