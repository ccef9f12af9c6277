//! Admission to one deployment's targets: places in flight, choice of target, and the queue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::prefix::{PrefixChain, PrefixIndex};
use briarswitch_core::prelude::*;
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::routes::{Target, TargetId};
use crate::shared::NodeShared;

/// Prompt blocks remembered for each target.
const PREFIX_BLOCKS: usize = 8192;
/// Time between a waiter's looks at whether its targets are still there.
const RECHECK: Duration = Duration::from_millis(100);
/// Weight of the newest sample in a smoothed time.
const SMOOTHING: f64 = 0.2;
/// Shortest time after which a caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a request asks of a gate.
#[derive(Clone, Debug)]
pub struct AdmitAsk {
    /// Deployment to be served by.
    pub deployment: DeploymentId,
    /// Organisation that calls.
    pub organisation: OrganisationId,
    /// Its weight.
    pub weight: u32,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Tokens the request is expected to cost.
    pub tokens: u64,
    /// Leading blocks of its prompt.
    pub chain: PrefixChain,
    /// Local time by which it has to be admitted.
    pub deadline: Moment,
    /// Requests one target takes from this node.
    pub target_in_flight: u32,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitRefusal {
    /// Point of failure.
    pub point: FailurePoint,
    /// When to come back.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TargetStats {
    in_flight: u32,
    sent_since: u32,
    fresh_until: Moment,
    latency: Duration,
    prefix: PrefixIndex,
}

impl TargetStats {
    fn open() -> Self {
        Self {
            in_flight: 0,
            sent_since: 0,
            fresh_until: Moment::ZERO,
            latency: Duration::ZERO,
            prefix: PrefixIndex::new(PREFIX_BLOCKS),
        }
    }
}

#[derive(Default)]
struct GateState {
    targets: IndexMap<TargetId, TargetStats>,
    queue: FairQueue<oneshot::Sender<()>>,
    service_time: Duration,
}

/// Admits requests to one deployment.
pub struct DeploymentGate {
    shared: Arc<NodeShared>,
    deployment: DeploymentId,
    picker: TargetPicker,
    state: Mutex<GateState>,
}

/// A place at a target; dropping it lets the next request in.
pub struct TargetPermit {
    gate: Arc<DeploymentGate>,
    /// Target that the place is at.
    pub target: Arc<Target>,
    since: Moment,
}

/// How a request that found no place leaves a gate.
enum PickResult {
    Picked(Arc<Target>),
    NoRoom,
    NoTarget,
}

impl DeploymentGate {
    /// Opens the gate of a deployment.
    pub fn open(shared: Arc<NodeShared>, deployment: &str) -> Arc<Self> {
        Arc::new(Self {
            shared,
            deployment: deployment.to_owned(),
            picker: TargetPicker::default(),
            state: Mutex::default(),
        })
    }

    /// Admits a request to a target outside `excluded`, waiting in turn while all are full.
    ///
    /// A request that can not be admitted is refused at once: when there is no target, when the
    /// queue is full, or when its deadline has come.
    ///
    /// # Errors
    ///
    /// Returns [`AdmitRefusal`] with the time to come back.
    pub async fn admit(
        self: &Arc<Self>,
        ask: &AdmitAsk,
        excluded: &[TargetId],
    ) -> Result<TargetPermit, AdmitRefusal> {
        let mut is_turn = false;
        loop {
            match self.pick(ask, excluded, is_turn) {
                PickResult::Picked(target) => return Ok(self.permit(target)),
                PickResult::NoTarget => return Err(self.refusal(FailurePoint::NoTarget)),
                PickResult::NoRoom => self.wait(ask, excluded).await?,
            }
            is_turn = true;
        }
    }

    /// Returns a deployment's queue length and requests in flight.
    pub fn load(&self) -> (usize, u32) {
        let state = self.lock();
        let in_flight = state.targets.values().map(|stats| stats.in_flight).sum();
        (state.queue.len(), in_flight)
    }

    fn note_latency(&self, target: &str, latency: Duration) {
        let mut state = self.lock();
        if let Some(stats) = state.targets.get_mut(target) {
            stats.latency = smooth(stats.latency, latency);
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn permit(self: &Arc<Self>, target: Arc<Target>) -> TargetPermit {
        TargetPermit {
            gate: Arc::clone(self),
            target,
            since: BootClock::now(),
        }
    }

    fn pick(&self, ask: &AdmitAsk, excluded: &[TargetId], is_turn: bool) -> PickResult {
        let now = BootClock::now();
        let routes = self.shared.routes.read();
        let open: Vec<&Arc<Target>> = routes
            .targets(&self.deployment)
            .iter()
            .filter(|target| target.is_open(now) && !excluded.contains(&target.id))
            .collect();
        if open.is_empty() {
            return PickResult::NoTarget;
        }
        let mut state = self.lock();
        if !is_turn && !state.queue.is_empty() {
            return PickResult::NoRoom;
        }
        let mut roomy = Vec::with_capacity(open.len());
        let mut loads = Vec::with_capacity(open.len());
        let home = ask
            .chain
            .affinity_target(open.iter().map(|target| target.id.as_str()));
        for (index, target) in open.into_iter().enumerate() {
            let is_home = home == Some(index);
            let load = self.load_of(&mut state, target, &ask.chain, is_home);
            if load.in_flight < ask.target_in_flight {
                roomy.push(target);
                loads.push(load);
            }
        }
        let draws = [
            rand::random::<u32>() as usize,
            rand::random::<u32>() as usize,
        ];
        let Some(index) = self.picker.pick(&loads, draws) else {
            return PickResult::NoRoom;
        };
        let target = roomy[index];
        if let Some(stats) = state.targets.get_mut(&target.id) {
            stats.in_flight += 1;
            stats.sent_since += 1;
            stats.prefix.record(&ask.chain);
        }
        PickResult::Picked(Arc::clone(target))
    }

    fn load_of(
        &self,
        state: &mut GateState,
        target: &Target,
        chain: &PrefixChain,
        is_home: bool,
    ) -> TargetLoad {
        if !state.targets.contains_key(&target.id) {
            state.targets.insert(target.id.clone(), TargetStats::open());
        }
        let stats = &mut state.targets[&target.id];
        if stats.fresh_until != target.fresh_until {
            stats.fresh_until = target.fresh_until;
            stats.sent_since = 0;
        }
        TargetLoad {
            reported: target.reported,
            in_flight: stats.in_flight,
            sent_since_report: stats.sent_since,
            cached_share: stats.prefix.cached_share(chain),
            latency: stats.latency,
            is_affinity_target: is_home,
            is_remote: target.zone != self.shared.settings.zone,
        }
    }

    async fn wait(&self, ask: &AdmitAsk, excluded: &[TargetId]) -> Result<(), AdmitRefusal> {
        let (ticket, mut turn) = self.enqueue(ask)?;
        let _queued = QueueMark::open(&self.shared);
        loop {
            let now = BootClock::now();
            let left = ask.deadline.saturating_sub(now);
            if left.is_zero() {
                self.lock().queue.cancel(ticket);
                return Err(self.refusal(FailurePoint::QueueDeadline));
            }
            if tokio::time::timeout(left.min(RECHECK), &mut turn)
                .await
                .is_ok()
            {
                return Ok(());
            }
            if !self.has_open(excluded) {
                self.lock().queue.cancel(ticket);
                return Err(self.refusal(FailurePoint::NoTarget));
            }
            self.wake_if_room(ask.target_in_flight);
        }
    }

    fn enqueue(&self, ask: &AdmitAsk) -> Result<(u64, oneshot::Receiver<()>), AdmitRefusal> {
        let limit = self.shared.settings.requests.queue;
        let mut state = self.lock();
        if state.queue.len() >= limit {
            drop(state);
            return Err(self.refusal(FailurePoint::NoTarget));
        }
        let (sender, turn) = oneshot::channel();
        let ticket = state.queue.push(
            ask.priority,
            &ask.organisation,
            ask.weight,
            ask.tokens,
            sender,
        );
        Ok((ticket, turn))
    }

    fn has_open(&self, excluded: &[TargetId]) -> bool {
        let now = BootClock::now();
        self.shared
            .routes
            .read()
            .targets(&self.deployment)
            .iter()
            .any(|target| target.is_open(now) && !excluded.contains(&target.id))
    }

    /// Lets the next waiter in when a target that was not there before has room.
    fn wake_if_room(&self, target_in_flight: u32) {
        let now = BootClock::now();
        let routes = self.shared.routes.read();
        let targets = routes.targets(&self.deployment);
        let mut state = self.lock();
        let has_room = targets.iter().any(|target| {
            let stats = state.targets.get(&target.id);
            let in_flight = stats.map_or(0, |stats| stats.in_flight);
            target.is_open(now) && in_flight < target_in_flight
        });
        if has_room {
            wake_next(&mut state);
        }
    }

    fn refusal(&self, point: FailurePoint) -> AdmitRefusal {
        let state = self.lock();
        let in_flight: u32 = state.targets.values().map(|stats| stats.in_flight).sum();
        let ahead = state.queue.len() as u32;
        let estimate = state.service_time * (ahead + 1) / in_flight.max(1);
        AdmitRefusal {
            point,
            retry_after: estimate.max(LEAST_RETRY_AFTER),
        }
    }

    fn release(&self, target: &str, took: Duration) {
        let routes = self.shared.routes.load();
        let mut state = self.lock();
        state.service_time = smooth(state.service_time, took);
        if let Some(stats) = state.targets.get_mut(target) {
            stats.in_flight -= 1;
            let is_gone = stats.in_flight == 0
                && !routes
                    .targets(&self.deployment)
                    .iter()
                    .any(|known| known.id == target);
            if is_gone {
                state.targets.swap_remove(target);
            }
        }
        wake_next(&mut state);
    }
}

impl TargetPermit {
    /// Notes the time the target took to its first token.
    pub fn note_latency(&self, latency: Duration) {
        self.gate.note_latency(&self.target.id, latency);
    }
}

impl Drop for TargetPermit {
    fn drop(&mut self) {
        let took = BootClock::now().saturating_sub(self.since);
        self.gate.release(&self.target.id, took);
    }
}

/// Counts a waiter while it waits.
struct QueueMark<'a> {
    shared: &'a NodeShared,
}

impl<'a> QueueMark<'a> {
    fn open(shared: &'a NodeShared) -> Self {
        shared.metrics.adjust_queued(true);
        Self { shared }
    }
}

impl Drop for QueueMark<'_> {
    fn drop(&mut self) {
        self.shared.metrics.adjust_queued(false);
    }
}

/// Gives the turn to the first waiter that is still there.
fn wake_next(state: &mut GateState) {
    while let Some(waiter) = state.queue.pop() {
        if waiter.send(()).is_ok() {
            return;
        }
    }
}

fn smooth(held: Duration, sample: Duration) -> Duration {
    if held.is_zero() {
        return sample;
    }
    held.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING)
}
