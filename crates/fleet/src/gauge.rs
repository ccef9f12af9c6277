//! What a node knows at any moment about the load and the liveness of each target.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use briarswitch_core::id::{Moment, TargetId};
use briarswitch_membership::{target_key, LoadMap, TargetKey};
use indexmap::IndexSet;

/// Weight of the newest sample in the smoothed share of failures.
const FAILURE_SMOOTHING: u32 = 4;
/// Value that stands for a target all of whose requests fail.
const FAILURE_RATE_ONE: u32 = 1024;

/// Part of the longest interval that each new sign of life takes from it.
const GAP_DECAY_DIVISOR: u64 = 64;

/// Time for which the load that a target told counts; a few passes.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(150);

/// Counters of one life of a target.
#[derive(Debug, Default)]
pub struct TargetGauge {
    key: TargetKey,
    local: AtomicU32,
    remote: AtomicU32,
    unreported: AtomicU32,
    prefill_tokens: AtomicU64,
    prefill_requests: AtomicU32,
    last_activity: AtomicU64,
    suspect_until: AtomicU64,
    peer_suspect_until: AtomicU64,
    max_gap: AtomicU64,
    reported_load: AtomicU32,
    reported_waiting: AtomicU32,
    reported_at: AtomicU64,
    failure_rate: AtomicU32,
    slot_share: AtomicU32,
    slot_share_at: AtomicU64,
}

/// Time for which a share of places is used; nodes tell each other what they see about as often.
const SLOT_SHARE_TTL: Duration = Duration::from_millis(300);

fn micros(moment: Moment) -> u64 {
    u64::try_from(moment.as_micros()).unwrap_or(u64::MAX)
}

impl TargetGauge {
    fn new(target: &str) -> Self {
        Self {
            key: target_key(target),
            ..Self::default()
        }
    }

    /// Returns what stands for the target in messages between nodes.
    pub fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the requests of this node at work there.
    pub fn local_requests(&self) -> u32 {
        self.local.load(Ordering::Relaxed)
    }

    /// Returns the requests of all nodes at work there, as far as they are known.
    pub fn active_requests(&self) -> u32 {
        self.local_requests() + self.remote.load(Ordering::Relaxed)
    }

    /// Notes the load that the target told with an answer.
    pub fn record_reported_load(&self, running: u32, waiting: u32, now: Moment) {
        self.reported_load
            .store(running + waiting, Ordering::Relaxed);
        self.reported_waiting.store(waiting, Ordering::Relaxed);
        self.reported_at.store(micros(now), Ordering::Relaxed);
    }

    /// Returns the requests at work there: what is known of all nodes, or what the target told if
    /// that is more and fresh.
    pub fn estimated_load(&self, now: Moment) -> u32 {
        let reported = self.reported_load.load(Ordering::Relaxed);
        if self.report_age(now) < REPORTED_LOAD_TTL {
            self.active_requests().max(reported)
        } else {
            self.active_requests()
        }
    }

    /// Returns whether requests have just waited there for a place.
    pub fn is_queueing(&self, now: Moment) -> bool {
        self.reported_waiting.load(Ordering::Relaxed) > 0
            && self.report_age(now) < REPORTED_LOAD_TTL
    }

    fn report_age(&self, now: Moment) -> Duration {
        let at = self.reported_at.load(Ordering::Relaxed);
        Duration::from_micros(micros(now).saturating_sub(at))
    }

    /// Returns the prompt tokens sent there that were not answered by an event yet.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Returns the requests sent there that were not answered by an event yet.
    pub fn prefill_requests(&self) -> u32 {
        self.prefill_requests.load(Ordering::Relaxed)
    }

    /// Sets the requests that other nodes say they have there.
    pub fn set_remote_requests(&self, requests: u32) {
        self.remote.store(requests, Ordering::Relaxed);
    }

    /// Returns the requests sent there that other nodes can not know of yet.
    pub fn unreported_requests(&self) -> u32 {
        self.unreported.load(Ordering::Relaxed)
    }

    /// Notes that other nodes know of all requests sent there.
    pub fn clear_unreported(&self) {
        self.unreported.store(0, Ordering::Relaxed);
    }

    /// Returns this node's places at the target, asking `share` if they may have changed.
    pub fn slot_share(&self, now: Moment, recalculate: impl FnOnce() -> u32) -> u32 {
        let before = self.slot_share_at.load(Ordering::Relaxed);
        let age = Duration::from_micros(micros(now).saturating_sub(before));
        if before == 0 || age > SLOT_SHARE_TTL {
            self.slot_share.store(recalculate(), Ordering::Relaxed);
            self.slot_share_at.store(micros(now), Ordering::Relaxed);
        }
        self.slot_share.load(Ordering::Relaxed)
    }

    /// Notes that bytes came from the target, which takes any suspicion from it.
    pub fn record_activity(&self, now: Moment) {
        let before = self.last_activity.swap(micros(now), Ordering::Relaxed);
        let gap = micros(now).saturating_sub(before);
        // The longest of the last intervals, forgotten slowly.
        let previous = self.max_gap.load(Ordering::Relaxed);
        let decayed = previous - previous / GAP_DECAY_DIVISOR;
        self.max_gap.store(gap.max(decayed), Ordering::Relaxed);
        self.clear_suspicion();
    }

    /// Returns the longest of the last intervals between signs of life.
    pub fn max_activity_gap(&self) -> Duration {
        Duration::from_micros(self.max_gap.load(Ordering::Relaxed))
    }

    /// Returns how long the target has been silent towards this node.
    pub fn silence(&self, now: Moment) -> Duration {
        let last_activity = self.last_activity.load(Ordering::Relaxed);
        Duration::from_micros(micros(now).saturating_sub(last_activity))
    }

    /// Keeps new work away until a moment, unless the target is heard before.
    pub fn suspect(&self, until: Moment) {
        self.suspect_until
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Keeps new work away because another node suspects the target.
    ///
    /// This is not told on: two nodes that repeat each other's word would never stop.
    pub fn suspect_from_peer(&self, until: Moment) {
        self.peer_suspect_until
            .fetch_max(micros(until), Ordering::Relaxed);
    }

    /// Takes any suspicion from the target.
    fn clear_suspicion(&self) {
        self.suspect_until.store(0, Ordering::Relaxed);
        self.peer_suspect_until.store(0, Ordering::Relaxed);
    }

    /// Returns whether new work is kept away at `now`.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.is_locally_suspect(now)
            || micros(now) < self.peer_suspect_until.load(Ordering::Relaxed)
    }

    /// Returns whether this node itself suspects the target.
    pub fn is_locally_suspect(&self, now: Moment) -> bool {
        micros(now) < self.suspect_until.load(Ordering::Relaxed)
    }

    /// Notes whether a request was served or failed there.
    pub fn record_outcome(&self, is_failure: bool) {
        let sample = if is_failure { FAILURE_RATE_ONE } else { 0 };
        let previous = self.failure_rate.load(Ordering::Relaxed);
        let next = (previous * (FAILURE_SMOOTHING - 1) + sample) / FAILURE_SMOOTHING;
        self.failure_rate.store(next, Ordering::Relaxed);
    }

    /// Returns the smoothed share of failed requests, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failure_rate.load(Ordering::Relaxed)) / f64::from(FAILURE_RATE_ONE)
    }
}

/// A place at a target, given back when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gauge: Arc<TargetGauge>,
    /// Tokens of the prompt until it is read.
    prefill_tokens: Option<u64>,
}

impl SlotGuard {
    /// Takes a place for a request with a prompt of `tokens`.
    pub fn acquire(gauge: &Arc<TargetGauge>, tokens: u64, now: Moment) -> Self {
        if gauge.local.fetch_add(1, Ordering::Relaxed) == 0 {
            // Silence counts only while there is something to hear.
            gauge.last_activity.store(micros(now), Ordering::Relaxed);
        }
        gauge.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
        gauge.prefill_requests.fetch_add(1, Ordering::Relaxed);
        gauge.unreported.fetch_add(1, Ordering::Relaxed);
        Self {
            gauge: Arc::clone(gauge),
            prefill_tokens: Some(tokens),
        }
    }

    /// Notes that the prompt was read, which the first event shows.
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
        self.end_prefill();
        self.gauge.local.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The gauges of all targets, shared by the control thread and traffic.
#[derive(Debug, Default)]
pub struct GaugeMap {
    gauges: RwLock<HashMap<TargetId, Arc<TargetGauge>>>,
}

impl GaugeMap {
    /// Returns a target's gauge, opening it if there is none.
    pub fn get(&self, target: &str) -> Arc<TargetGauge> {
        if let Some(gauge) = self.read().get(target) {
            return Arc::clone(gauge);
        }
        let mut gauges = self.gauges.write().unwrap_or_else(PoisonError::into_inner);
        let gauge = gauges.entry(target.to_owned());
        Arc::clone(gauge.or_insert_with(|| Arc::new(TargetGauge::new(target))))
    }

    /// Returns this node's requests at each target where it has any.
    pub fn local_loads(&self) -> LoadMap {
        let gauges = self.read();
        let loads = gauges
            .values()
            .map(|gauge| (gauge.key(), gauge.local_requests()));
        loads.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Returns the targets that this node itself suspects.
    pub fn local_suspects(&self, now: Moment) -> Vec<TargetId> {
        let gauges = self.read();
        let suspects = gauges
            .iter()
            .filter(|(_, gauge)| gauge.is_locally_suspect(now));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the targets that this node or another one suspects.
    pub fn all_suspects(&self, now: Moment) -> IndexSet<TargetId> {
        let gauges = self.read();
        let suspects = gauges.iter().filter(|(_, gauge)| gauge.is_suspect(now));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// Calls `visit` for every gauge.
    pub fn for_each(&self, mut visit: impl FnMut(&TargetGauge)) {
        for gauge in self.read().values() {
            visit(gauge);
        }
    }

    /// Drops the gauges of targets that are gone and without work.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut gauges = self.gauges.write().unwrap_or_else(PoisonError::into_inner);
        gauges.retain(|id, gauge| gauge.local_requests() > 0 || keep(id));
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, HashMap<TargetId, Arc<TargetGauge>>> {
        self.gauges.read().unwrap_or_else(PoisonError::into_inner)
    }
}
