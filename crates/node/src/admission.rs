//! Admission of requests to the targets of a deployment: in-flight limits, load balancing and the
//! fair queue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::prefix::{PrefixChain, PrefixIndex};
use briarswitch_core::prelude::*;
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::routes::{Target, TargetId};
use crate::shared::NodeShared;

/// Number of prompt blocks kept in the prefix index of each target.
const PREFIX_BLOCKS: usize = 8192;
/// Interval at which a queued request checks whether there still are targets.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the latest sample in an exponential moving average.
const SMOOTHING: f64 = 0.2;
/// Minimum retry delay given to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request for admission to a deployment.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Deployment that serves the request.
    pub deployment: DeploymentId,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Weight of the organisation in the fair queue.
    pub weight: u32,
    /// Priority; requests of higher priority are admitted first.
    pub priority: u8,
    /// Expected cost of the request in tokens.
    pub tokens: u64,
    /// Hashes of the leading blocks of the prompt.
    pub chain: PrefixChain,
    /// Local time by which the request must be admitted.
    pub deadline: Moment,
    /// Maximum number of requests in flight from this node to one target.
    pub target_in_flight: u32,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Point at which the request failed.
    pub point: FailurePoint,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TargetStats {
    in_flight: u32,
    sent_since_report: u32,
    fresh_until: Moment,
    latency: Duration,
    prefix: PrefixIndex,
}

impl TargetStats {
    fn new() -> Self {
        Self {
            in_flight: 0,
            sent_since_report: 0,
            fresh_until: Moment::ZERO,
            latency: Duration::ZERO,
            prefix: PrefixIndex::new(PREFIX_BLOCKS),
        }
    }
}

#[derive(Default)]
struct AdmissionState {
    targets: IndexMap<TargetId, TargetStats>,
    queue: FairQueue<oneshot::Sender<()>>,
    service_time: Duration,
}

/// Admits requests to the targets of one deployment.
pub struct DeploymentAdmission {
    shared: Arc<NodeShared>,
    deployment: DeploymentId,
    picker: TargetPicker,
    state: Mutex<AdmissionState>,
}

/// An in-flight slot at a target. Dropping it admits the next queued request.
pub struct TargetPermit {
    admission: Arc<DeploymentAdmission>,
    /// Target that the request may be sent to.
    pub target: Arc<Target>,
    since: Moment,
}

/// Result of choosing a target for a request.
enum PickResult {
    Picked(Arc<Target>),
    AllFull,
    NoTarget,
}

impl DeploymentAdmission {
    /// Creates the admission of a deployment.
    pub fn new(shared: Arc<NodeShared>, deployment: &str) -> Arc<Self> {
        Arc::new(Self {
            shared,
            deployment: deployment.to_owned(),
            picker: TargetPicker::default(),
            state: Mutex::default(),
        })
    }

    /// Admits a request to a target not in `excluded`, and queues it while all are full.
    ///
    /// The request is refused immediately when there is no target, when the queue is full, or when
    /// its deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns [`AdmissionRefusal`] with the time after which the caller may retry.
    pub async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest,
        excluded: &[TargetId],
    ) -> Result<TargetPermit, AdmissionRefusal> {
        let mut is_woken = false;
        loop {
            match self.pick(request, excluded, is_woken) {
                PickResult::Picked(target) => return Ok(self.permit(target)),
                PickResult::NoTarget => return Err(self.refusal(FailurePoint::NoTarget)),
                PickResult::AllFull => self.wait(request, excluded).await?,
            }
            is_woken = true;
        }
    }

    /// Returns the queue length and the number of requests in flight.
    pub fn load(&self) -> (usize, u32) {
        let state = self.lock();
        let in_flight = state.targets.values().map(|stats| stats.in_flight).sum();
        (state.queue.len(), in_flight)
    }

    fn record_latency(&self, target: &str, latency: Duration) {
        let mut state = self.lock();
        if let Some(stats) = state.targets.get_mut(target) {
            stats.latency = smooth(stats.latency, latency);
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn permit(self: &Arc<Self>, target: Arc<Target>) -> TargetPermit {
        TargetPermit {
            admission: Arc::clone(self),
            target,
            since: BootClock::now(),
        }
    }

    fn pick(
        &self,
        request: &AdmissionRequest,
        excluded: &[TargetId],
        is_woken: bool,
    ) -> PickResult {
        let now = BootClock::now();
        let routes = self.shared.routes.read();
        let routable: Vec<&Arc<Target>> = routes
            .targets(&self.deployment)
            .iter()
            .filter(|target| target.is_routable(now) && !excluded.contains(&target.id))
            .collect();
        if routable.is_empty() {
            return PickResult::NoTarget;
        }
        let mut state = self.lock();
        if !is_woken && !state.queue.is_empty() {
            return PickResult::AllFull;
        }
        let mut candidates = Vec::with_capacity(routable.len());
        let mut loads = Vec::with_capacity(routable.len());
        let affinity_index = request
            .chain
            .affinity_target(routable.iter().map(|target| target.id.as_str()));
        for (index, target) in routable.into_iter().enumerate() {
            let is_affinity_target = affinity_index == Some(index);
            let load = self.load_of(&mut state, target, &request.chain, is_affinity_target);
            if load.in_flight < request.target_in_flight {
                candidates.push(target);
                loads.push(load);
            }
        }
        let draws = [
            rand::random::<u32>() as usize,
            rand::random::<u32>() as usize,
        ];
        let Some(index) = self.picker.pick(&loads, draws) else {
            return PickResult::AllFull;
        };
        let target = candidates[index];
        if let Some(stats) = state.targets.get_mut(&target.id) {
            stats.in_flight += 1;
            stats.sent_since_report += 1;
            stats.prefix.record(&request.chain);
        }
        PickResult::Picked(Arc::clone(target))
    }

    fn load_of(
        &self,
        state: &mut AdmissionState,
        target: &Target,
        chain: &PrefixChain,
        is_affinity_target: bool,
    ) -> TargetLoad {
        if !state.targets.contains_key(&target.id) {
            state.targets.insert(target.id.clone(), TargetStats::new());
        }
        let stats = &mut state.targets[&target.id];
        if stats.fresh_until != target.fresh_until {
            stats.fresh_until = target.fresh_until;
            stats.sent_since_report = 0;
        }
        TargetLoad {
            reported: target.reported,
            in_flight: stats.in_flight,
            sent_since_report: stats.sent_since_report,
            cached_share: stats.prefix.cached_share(chain),
            latency: stats.latency,
            is_affinity_target,
            is_remote: target.zone != self.shared.settings.zone,
        }
    }

    async fn wait(
        &self,
        request: &AdmissionRequest,
        excluded: &[TargetId],
    ) -> Result<(), AdmissionRefusal> {
        let (ticket, mut wake_up) = self.enqueue(request)?;
        let _queued = QueuedGuard::new(&self.shared);
        loop {
            let now = BootClock::now();
            let left = request.deadline.saturating_sub(now);
            if left.is_zero() {
                self.lock().queue.cancel(ticket);
                return Err(self.refusal(FailurePoint::QueueDeadline));
            }
            if tokio::time::timeout(left.min(RECHECK_INTERVAL), &mut wake_up)
                .await
                .is_ok()
            {
                return Ok(());
            }
            if !self.has_routable(excluded) {
                self.lock().queue.cancel(ticket);
                return Err(self.refusal(FailurePoint::NoTarget));
            }
            self.wake_if_available(request.target_in_flight);
        }
    }

    fn enqueue(
        &self,
        request: &AdmissionRequest,
    ) -> Result<(u64, oneshot::Receiver<()>), AdmissionRefusal> {
        let limit = self.shared.settings.requests.queue;
        let mut state = self.lock();
        if state.queue.len() >= limit {
            drop(state);
            return Err(self.refusal(FailurePoint::NoTarget));
        }
        let (sender, wake_up) = oneshot::channel();
        let ticket = state.queue.push(
            request.priority,
            &request.organisation,
            request.weight,
            request.tokens,
            sender,
        );
        Ok((ticket, wake_up))
    }

    fn has_routable(&self, excluded: &[TargetId]) -> bool {
        let now = BootClock::now();
        self.shared
            .routes
            .read()
            .targets(&self.deployment)
            .iter()
            .any(|target| target.is_routable(now) && !excluded.contains(&target.id))
    }

    /// Admits the next queued request if a target has a free slot.
    ///
    /// Releasing a permit does the same. This check covers targets that appeared later.
    fn wake_if_available(&self, target_in_flight: u32) {
        let now = BootClock::now();
        let routes = self.shared.routes.read();
        let targets = routes.targets(&self.deployment);
        let mut state = self.lock();
        let has_room = targets.iter().any(|target| {
            let stats = state.targets.get(&target.id);
            let in_flight = stats.map_or(0, |stats| stats.in_flight);
            target.is_routable(now) && in_flight < target_in_flight
        });
        if has_room {
            wake_next(&mut state);
        }
    }

    fn refusal(&self, point: FailurePoint) -> AdmissionRefusal {
        let state = self.lock();
        let in_flight: u32 = state.targets.values().map(|stats| stats.in_flight).sum();
        let ahead = state.queue.len() as u32;
        let estimate = state.service_time * (ahead + 1) / in_flight.max(1);
        AdmissionRefusal {
            point,
            retry_after: estimate.max(MIN_RETRY_AFTER),
        }
    }

    fn release(&self, target: &str, elapsed: Duration) {
        let routes = self.shared.routes.load();
        let mut state = self.lock();
        state.service_time = smooth(state.service_time, elapsed);
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
    /// Records the time from the start of the request to the first token from the target.
    pub fn record_latency(&self, latency: Duration) {
        self.admission.record_latency(&self.target.id, latency);
    }
}

impl Drop for TargetPermit {
    fn drop(&mut self) {
        let elapsed = BootClock::now().saturating_sub(self.since);
        self.admission.release(&self.target.id, elapsed);
    }
}

/// Counts a request as queued until it is dropped.
struct QueuedGuard<'a> {
    shared: &'a NodeShared,
}

impl<'a> QueuedGuard<'a> {
    fn new(shared: &'a NodeShared) -> Self {
        shared.metrics.adjust_queued(true);
        Self { shared }
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.shared.metrics.adjust_queued(false);
    }
}

/// Wakes the first queued request that is still waiting.
fn wake_next(state: &mut AdmissionState) {
    while let Some(waiter) = state.queue.pop() {
        if waiter.send(()).is_ok() {
            return;
        }
    }
}

fn smooth(average: Duration, sample: Duration) -> Duration {
    if average.is_zero() {
        return sample;
    }
    average.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING)
}
