//! Load and liveness of each target as this node currently knows them.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_membership::{target_key, TargetKey};

use crate::micros::micros;
use crate::statements::TargetStatements;
use crate::target_speed::TargetSpeed;

/// Divisor of the exponential smoothing: the newest sample has a weight of one in this many.
const FAILURE_SMOOTHING: u32 = 4;
/// Fixed-point value of a failure rate of 1.
const FAILURE_RATE_ONE: u32 = 1024;

/// Each activity lowers the recorded maximum gap by one part in this many, so that old gaps are forgotten.
const GAP_DECAY_DIVISOR: u64 = 64;

/// Time for which the load reported by a target is used; a few passes of an engine.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(150);

/// Time for which a slot share is cached; about the interval at which nodes exchange their observations.
const SLOT_SHARE_TTL: Duration = Duration::from_millis(300);

/// Time for which a node's rank for a target is cached; ranking compares all known nodes.
const RANK_TTL: Duration = Duration::from_millis(500);

/// A node's position among all known nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeRank {
    /// Rank, from 0.
    pub rank: u32,
    /// Number of nodes.
    pub nodes: u32,
}

/// Counters of one target.
#[derive(Debug, Default)]
pub struct TargetGauge {
    key: TargetKey,
    local: AtomicU32,
    remote: AtomicU32,
    unreported: AtomicU32,
    reported: AtomicU32,
    prefill_tokens: AtomicU64,
    prefill_requests: AtomicU32,
    last_activity: AtomicU64,
    heard_at: AtomicU64,
    any_heard_at: Arc<AtomicU64>,
    suspect_until: AtomicU64,
    peer_suspect_until: AtomicU64,
    max_gap: AtomicU64,
    reported_load: AtomicU32,
    reported_waiting: AtomicU32,
    reported_at: AtomicU64,
    failure_rate: AtomicU32,
    slot_share: AtomicU32,
    slot_share_at: AtomicU64,
    rank: AtomicU64,
    rank_at: AtomicU64,
    warming_until: AtomicU64,
    statements: TargetStatements,
    speed: TargetSpeed,
}

impl TargetGauge {
    pub(crate) fn new(target: &str, any_heard_at: Arc<AtomicU64>) -> Self {
        Self {
            key: target_key(target),
            any_heard_at,
            ..Self::default()
        }
    }

    /// Returns the key that identifies the target in messages between nodes.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the number of this node's requests at the target.
    pub fn local_requests(&self) -> u32 {
        self.local.load(Ordering::Relaxed)
    }

    /// Returns the number of requests of all nodes at the target, as far as known.
    pub fn active_requests(&self) -> u32 {
        let remote = self.remote.load(Ordering::Relaxed);
        self.local_requests().saturating_add(remote)
    }

    /// Records the load that the target reported with a response.
    pub fn record_reported_load(&self, running: u32, waiting: u32, now: Moment) {
        self.reported_load
            .store(running + waiting, Ordering::Relaxed);
        self.reported_waiting.store(waiting, Ordering::Relaxed);
        self.reported_at.store(micros(now), Ordering::Relaxed);
    }

    /// Returns the estimated number of requests at the target.
    ///
    /// This is the known number for all nodes, or the load that the target reported, if that is recent and
    /// higher.
    pub fn estimated_load(&self, now: Moment) -> u32 {
        let reported = self.reported_load.load(Ordering::Relaxed);
        if self.report_age(now) < REPORTED_LOAD_TTL {
            self.active_requests().max(reported)
        } else {
            self.active_requests()
        }
    }

    /// Returns whether the target recently reported queued requests.
    pub fn is_queueing(&self, now: Moment) -> bool {
        self.reported_waiting.load(Ordering::Relaxed) > 0
            && self.report_age(now) < REPORTED_LOAD_TTL
    }

    fn report_age(&self, now: Moment) -> Duration {
        let at = self.reported_at.load(Ordering::Relaxed);
        Duration::from_micros(micros(now).saturating_sub(at))
    }

    /// Returns the prompt tokens of this node's requests that have not produced an event yet.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of this node's requests that have not produced an event yet.
    pub fn prefill_requests(&self) -> u32 {
        self.prefill_requests.load(Ordering::Relaxed)
    }

    /// Sets the number of requests that other nodes report to have at the target.
    pub fn set_remote_requests(&self, requests: u32) {
        self.remote.store(requests, Ordering::Relaxed);
    }

    /// Returns the number of requests sent to the target since this node last reported its load to other nodes.
    pub fn unreported_requests(&self) -> u32 {
        self.unreported.load(Ordering::Relaxed)
    }

    /// Returns how many of the unreported requests took the place of earlier ones of this node.
    pub fn replaced_requests(&self) -> u32 {
        let reported = self.reported.load(Ordering::Relaxed);
        let added = self.local_requests().saturating_sub(reported);
        self.unreported_requests().saturating_sub(added)
    }

    /// Records that this node has reported all its requests to other nodes.
    pub fn record_report(&self) {
        self.unreported.store(0, Ordering::Relaxed);
        self.reported
            .store(self.local_requests(), Ordering::Relaxed);
    }

    /// Returns the number of slots that this node may use at the target.
    ///
    /// The value is cached; `recalculate` is called if it is outdated.
    pub fn slot_share(&self, now: Moment, recalculate: impl FnOnce() -> u32) -> u32 {
        let before = self.slot_share_at.load(Ordering::Relaxed);
        let age = Duration::from_micros(micros(now).saturating_sub(before));
        if before == 0 || age > SLOT_SHARE_TTL {
            self.slot_share.store(recalculate(), Ordering::Relaxed);
            self.slot_share_at.store(micros(now), Ordering::Relaxed);
        }
        self.slot_share.load(Ordering::Relaxed)
    }

    /// Returns this node's rank for the target among all known nodes, and their number.
    ///
    /// The value is cached; `recalculate` is called if it is outdated.
    pub fn rank(&self, now: Moment, recalculate: impl FnOnce() -> NodeRank) -> NodeRank {
        let before = self.rank_at.load(Ordering::Relaxed);
        let age = Duration::from_micros(micros(now).saturating_sub(before));
        if before == 0 || age > RANK_TTL {
            let NodeRank { rank, nodes } = recalculate();
            let packed = u64::from(rank) << 32 | u64::from(nodes);
            self.rank.store(packed, Ordering::Relaxed);
            self.rank_at.store(micros(now), Ordering::Relaxed);
        }
        let packed = self.rank.load(Ordering::Relaxed);
        NodeRank {
            rank: (packed >> 32) as u32,
            nodes: packed as u32,
        }
    }

    /// Returns what the target has said of itself.
    pub fn statements(&self) -> &TargetStatements {
        &self.statements
    }

    /// Returns the observed speed of the target, or of the group that it leads.
    pub fn speed(&self) -> &TargetSpeed {
        &self.speed
    }

    /// Records that bytes arrived from the target, and clears any suspicion.
    pub fn record_activity(&self, now: Moment) {
        self.heard_at.store(micros(now), Ordering::Relaxed);
        self.any_heard_at.store(micros(now), Ordering::Relaxed);
        let before = self.last_activity.swap(micros(now), Ordering::Relaxed);
        let gap = micros(now).saturating_sub(before);
        // Decaying maximum of the gaps between activities.
        let previous = self.max_gap.load(Ordering::Relaxed);
        let decayed = previous - previous / GAP_DECAY_DIVISOR;
        self.max_gap.store(gap.max(decayed), Ordering::Relaxed);
        self.clear_suspicion();
    }

    /// Returns the longest recent gap between two activities of the target.
    pub fn max_activity_gap(&self) -> Duration {
        Duration::from_micros(self.max_gap.load(Ordering::Relaxed))
    }

    /// Returns the time since this node last received bytes from the target.
    pub fn silence(&self, now: Moment) -> Duration {
        let last_activity = self.last_activity.load(Ordering::Relaxed);
        Duration::from_micros(micros(now).saturating_sub(last_activity))
    }

    /// Returns the time since bytes last arrived from the target; `None` if none have.
    pub(crate) fn time_since_heard(&self, now: Moment) -> Option<Duration> {
        let heard_at = self.heard_at.load(Ordering::Relaxed);
        (heard_at > 0).then(|| Duration::from_micros(micros(now).saturating_sub(heard_at)))
    }

    /// Excludes the target from new requests until the given time, unless bytes arrive from it earlier.
    pub fn suspect(&self, until: Moment) {
        self.suspect_until
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Excludes the target from new requests because another node suspects it.
    ///
    /// Such a suspicion is not forwarded, since two nodes could otherwise keep renewing each other's forever.
    pub fn suspect_from_peer(&self, until: Moment) {
        self.peer_suspect_until
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Withdraws all suspicions of the target.
    pub fn clear_suspicion(&self) {
        self.suspect_until.store(0, Ordering::Relaxed);
        self.peer_suspect_until.store(0, Ordering::Relaxed);
    }

    /// Returns whether the target is excluded from new requests at `now`.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.is_locally_suspect(now) || self.is_suspect_to_peer(now)
    }

    /// Returns whether another node suspects the target.
    pub fn is_suspect_to_peer(&self, now: Moment) -> bool {
        micros(now) < self.peer_suspect_until.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that other nodes report to have at the target.
    pub fn remote_requests(&self) -> u32 {
        self.remote.load(Ordering::Relaxed)
    }

    /// Returns whether this node itself suspects the target.
    pub fn is_locally_suspect(&self, now: Moment) -> bool {
        micros(now) < self.suspect_until.load(Ordering::Relaxed)
    }

    /// Records that the target warms up until the given time, unless that is already known to last longer.
    pub fn begin_warmup(&self, until: Moment) {
        self.warming_until
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Returns until when the target is warming up; `None` if it is warm.
    pub fn warming_until(&self, now: Moment) -> Option<Moment> {
        let until = Duration::from_micros(self.warming_until.load(Ordering::Relaxed));
        (now < until).then_some(until)
    }

    /// Records whether a request at the target succeeded or failed.
    pub fn record_outcome(&self, is_failure: bool) {
        let sample = if is_failure { FAILURE_RATE_ONE } else { 0 };
        let previous = self.failure_rate.load(Ordering::Relaxed);
        let next = (previous * (FAILURE_SMOOTHING - 1) + sample) / FAILURE_SMOOTHING;
        self.failure_rate.store(next, Ordering::Relaxed);
    }

    /// Returns the smoothed failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failure_rate.load(Ordering::Relaxed)) / f64::from(FAILURE_RATE_ONE)
    }
}

/// Is told when a slot has become free.
pub trait SlotListener: std::fmt::Debug + Send + Sync {
    /// Called after the slot was released; `has_run` tells whether the target has processed the request's prompt.
    fn slot_released(&self, has_run: bool);
}

/// A slot held at a target, which is released on drop.
#[derive(Debug)]
pub struct SlotGuard {
    gauge: Arc<TargetGauge>,
    /// Prompt tokens of the request until its first event.
    prefill_tokens: Option<u64>,
    listeners: Vec<Box<dyn SlotListener>>,
}

impl SlotGuard {
    /// Acquires a slot for a request with a prompt of `tokens`.
    pub fn acquire(gauge: &Arc<TargetGauge>, tokens: u64, now: Moment) -> Self {
        if gauge.local.fetch_add(1, Ordering::Relaxed) == 0 {
            // The target had no requests of this node and so nothing to send; its silence is measured from now
            // on.
            gauge.last_activity.store(micros(now), Ordering::Relaxed);
        }
        gauge.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
        gauge.prefill_requests.fetch_add(1, Ordering::Relaxed);
        gauge.unreported.fetch_add(1, Ordering::Relaxed);
        Self {
            gauge: Arc::clone(gauge),
            prefill_tokens: Some(tokens),
            listeners: Vec::new(),
        }
    }

    /// Adds listeners, which are told in this order.
    pub fn with_listeners(
        self,
        listeners: impl IntoIterator<Item = Box<dyn SlotListener>>,
    ) -> Self {
        let mut guard = self;
        guard.listeners.extend(listeners);
        guard
    }

    /// Tells nobody when the slot is released, since the target has refused the request as full.
    pub fn silence(&mut self) {
        self.listeners.clear();
    }

    /// Records that the target has processed the prompt, as the first event shows.
    pub fn end_prefill(&mut self) {
        if let Some(tokens) = self.prefill_tokens.take() {
            self.gauge
                .prefill_tokens
                .fetch_sub(tokens, Ordering::Relaxed);
            self.gauge.prefill_requests.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        // A target that rejects the request does not process its prompt.
        let has_run = self.prefill_tokens.is_none();
        self.end_prefill();
        self.gauge.local.fetch_sub(1, Ordering::Relaxed);
        for listener in &self.listeners {
            listener.slot_released(has_run);
        }
    }
}
