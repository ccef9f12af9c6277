//! Selects targets for requests and reserves slots there; requests wait in a queue while no slot is free.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::evacuation::EvacuatedZones;
use briarswitch_core::forecast::Refusal;
use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_core::placement::{
    pick_group, slot_share, ArrivalRates, GroupLoad, PlacementParams,
};
use briarswitch_core::shared_queue::GroupKey;
use briarswitch_core::traffic::ServiceSpec;
use briarswitch_core::waiting::{WaitParams, WaitingRequest};
use briarswitch_kernel::BootClock;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gauge::{SlotGuard, SlotListener};
use crate::job::RequestJob;
use crate::peers::PROPAGATION_TIME;
use crate::queue_client::{QueueClient, SlotRelease};
use crate::queue_coordinator::QueueCoordinator;
use crate::restriction::{AcquiredSlot, PassedOver, Restriction, SlotError, TargetOutlook};
use crate::routing_table::{RouteTarget, RoutingTable};
use crate::shared::FleetShared;
use crate::slot_forecast::SlotForecast;
use crate::slot_miss::SlotMiss;
use crate::slot_queue::{
    wait_for_slot, QueueKey, ReservedTarget, SlotQueue, SlotReply, SlotRequest,
};
use crate::speed_judge::{due_probe, without_slow};
use crate::statements::LimitShare;

/// Interval at which a waiting request checks for a free slot if it is not woken before.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Weight of a target's failure rate relative to its load; a target that always fails counts as loaded to twice its
/// slots.
const FAILURE_WEIGHT: f64 = 2.0;
/// Slots that count as used at targets of another zone, for the additional round-trip time.
const REMOTE_ZONE_PENALTY_SLOTS: f64 = 0.5;

/// Selects targets and reserves slots there.
pub struct TargetSelector {
    pub(crate) shared: Arc<FleetShared>,
    pub(crate) queue: SlotQueue,
    queue_client: Arc<QueueClient>,
    forecast: SlotForecast,
}

/// A target with a free slot.
struct TargetSelection {
    target: Arc<RouteTarget>,
    /// This node's share, if the target has a limit.
    share: Option<LimitShare>,
    passed_over: PassedOver,
    /// Whether it is slow and gets a probe request.
    is_probe: bool,
}

/// Removes a request from the queue when its caller disconnects or it has a slot.
struct QueueGuard<'a> {
    queue: &'a SlotQueue,
    key: &'a QueueKey,
    ticket: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.queue.cancel(self.key, self.ticket);
    }
}

impl TargetSelector {
    /// Creates a selector with an empty queue; `coordinator` is that of this node.
    pub fn new(shared: Arc<FleetShared>, coordinator: Arc<QueueCoordinator>) -> Arc<Self> {
        Arc::new_cyclic(|selector| Self {
            queue_client: QueueClient::new(Arc::clone(&shared), coordinator, selector.clone()),
            forecast: SlotForecast::new(Arc::clone(&shared)),
            shared,
            queue: SlotQueue::default(),
        })
    }

    /// Reserves a slot at a target, waiting for one if none is free.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller if no slot became free in time, or if none can.
    pub async fn acquire(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
    ) -> Result<AcquiredSlot, SlotError> {
        let params = WaitParams {
            arrived: job.arrived,
            waited_before: job.waited_before,
            ..WaitParams::default()
        };
        self.acquire_with(job, tried, params).await
    }

    /// Reserves a slot for resuming a stream that broke.
    ///
    /// If the stream ended here, what was delivered of it would be lost. It therefore counts as arriving now, so that
    /// it is not late compared with new requests, and goes before them if the caller has received part of it.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller if no slot became free in time, or if none can.
    pub async fn acquire_for_resume(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
        is_begun: bool,
    ) -> Result<AcquiredSlot, SlotError> {
        let params = WaitParams {
            arrived: BootClock::now(),
            is_resumption: is_begun,
            ..WaitParams::default()
        };
        self.acquire_with(job, tried, params).await
    }

    /// Reserves a slot; `params` is completed with the values of the request and its rule.
    async fn acquire_with(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
        params: WaitParams,
    ) -> Result<AcquiredSlot, SlotError> {
        let mut slot_request = job.slot_request(tried);
        let request = WaitingRequest::new(WaitParams {
            objective: job.rule.objective,
            first_event_time: self.queue.usual_first_event_time(&slot_request.key),
            deadline: job.deadline,
            priority: job.priority,
            forecasts: self.forecast.is_enabled(),
            ..params
        });
        let now = BootClock::now();
        self.forecast
            .record_arrival(&slot_request.key, &request, now);
        slot_request.is_late = request.is_late(now);
        if self.is_barred(&slot_request) {
            return Err(FailurePoint::NoTarget.into());
        }
        // A new request must not overtake waiting ones that can still meet their objective.
        let waiting = self.queue.waiting(&slot_request.key);
        let is_shared = self.queue_client.route(&slot_request.key, now).is_some();
        if waiting == 0 && !is_shared {
            if let Some(acquired) = self.try_acquire(&slot_request, None, now) {
                return Ok(acquired);
            }
        }
        let outlook = self.outlook(&slot_request, now);
        let passed_over = outlook.passed_over;
        if let Some(refusal) = outlook.refusal(waiting, request.refuse_at, now) {
            return Err(refusal);
        }
        let key = slot_request.key.clone();
        let is_counted = self.shared.settings.load_control.changes_over;
        let waiting_model = key.1.as_ref().filter(|_| is_counted);
        let _waiting = self.shared.need.wait(waiting_model);
        let expected_wait =
            self.forecast
                .expected_wait(&key, &request, || self.queue.requests(&key), now);
        let (ticket, reply) = self.queue.push(slot_request, request);
        if let Some(route) = self.queue_client.route(&key, now) {
            route.link(ticket, now).inspect(|link| link.notify());
        }
        self.serve_queue();
        let _guard = QueueGuard {
            queue: &self.queue,
            key: &key,
            ticket,
        };
        let poll = || {
            if self.queue.claim_poll(SLOT_POLL_INTERVAL, BootClock::now()) {
                self.serve_queue();
            }
        };
        let reply = wait_for_slot(reply, request, SLOT_POLL_INTERVAL, poll).await;
        if !matches!(reply, Some(SlotReply::Reserved { .. })) {
            self.record_miss(job, &key, BootClock::now());
        }
        match reply {
            Some(SlotReply::Reserved {
                reserved: (target, slot),
                granted_by,
            }) => {
                self.forecast.check(&key, expected_wait, now);
                Ok(AcquiredSlot {
                    target,
                    slot,
                    passed_over,
                    granted_by,
                })
            }
            Some(SlotReply::Refused { available_in }) => Err(SlotError {
                available_in,
                passed_over,
                ..FailurePoint::NoTarget.into()
            }),
            None => {
                let refusal = self.queue.take_refusal(ticket);
                let forecast =
                    refusal.map(|refusal| self.forecast.refuse(&key, job, refusal, passed_over));
                Err(forecast.unwrap_or(SlotError {
                    passed_over,
                    ..FailurePoint::NoTarget.into()
                }))
            }
        }
    }

    /// Returns whether there are targets for a request, but none that it is permitted to use.
    ///
    /// Such a request is refused at once, since waiting for a slot would not help it.
    fn is_barred(&self, slot_request: &SlotRequest) -> bool {
        let evacuated = self.shared.evacuated.read();
        if evacuated.zones().is_empty() && slot_request.allowed_regions.is_any() {
            return false;
        }
        let table = self.shared.routing_table.load();
        let targets = routes_of(&table, &slot_request.key);
        !targets.is_empty()
            && !targets
                .iter()
                .any(|target| self.is_permitted(slot_request, target, &evacuated))
    }

    /// Returns whether a request may be processed in the zone of a target.
    pub(crate) fn is_permitted(
        &self,
        slot_request: &SlotRequest,
        target: &RouteTarget,
        evacuated: &EvacuatedZones,
    ) -> bool {
        let regions = &slot_request.allowed_regions;
        let region = || self.shared.settings.regions.get(&target.zone);
        !evacuated.contains(&target.zone)
            && (regions.is_any() || regions.allows(region().map(String::as_str)))
    }

    /// Returns what a request can expect of the targets that it is permitted to use.
    fn outlook(&self, slot_request: &SlotRequest, now: Moment) -> TargetOutlook {
        let table = self.shared.routing_table.load();
        let config = self.shared.config.load();
        let config = config.as_ref().as_ref();
        let spec = config.and_then(|config| config.services.get(&slot_request.key.0));
        let evacuated = self.shared.evacuated.read();
        let mut outlook = TargetOutlook::default();
        for target in routes_of(&table, &slot_request.key) {
            if self.is_permitted(slot_request, target, &evacuated) {
                let is_tried = slot_request.tried.contains(&target.id);
                outlook.add(self.restriction(spec, target, now), is_tried);
            }
        }
        outlook
    }

    /// Returns why this node may not send a request to a target now, if so.
    pub(crate) fn restriction(
        &self,
        spec: Option<&ServiceSpec>,
        target: &RouteTarget,
        now: Moment,
    ) -> Option<Restriction> {
        let statements = target.gauge.statements();
        if statements.is_leaving(now) {
            return Some(Restriction::Leaving);
        }
        if let Some(until) = statements.backoff_until(now) {
            return Some(Restriction::BackingOff { until });
        }
        let share = self.limit_share(spec, target, now)?;
        if statements.has_room(&share, now) {
            return None;
        }
        let is_stated = statements.limit_with_age(now).is_some();
        let warm_at = target.gauge.warming_until(now);
        Some(Restriction::Limited {
            free_at: statements.free_at(&share, now),
            rate: share.rate(),
            ends_at: warm_at.filter(|_| !is_stated),
        })
    }

    /// Returns this node's share of the limit on the requests to a target; `None` if there is no limit.
    ///
    /// If the target warms up and states a limit as well, the lower one applies.
    fn limit_share(
        &self,
        spec: Option<&ServiceSpec>,
        target: &RouteTarget,
        now: Moment,
    ) -> Option<LimitShare> {
        let warmup = spec.and_then(|spec| spec.warmup.limit());
        let warmup = warmup.filter(|_| target.gauge.warming_until(now).is_some());
        let stated = target.gauge.statements().limit_with_age(now);
        let limits = warmup.map(|limit| (limit, Duration::ZERO));
        let lowest = limits
            .into_iter()
            .chain(stated)
            .min_by(|(left, _), (right, _)| left.rate().total_cmp(&right.rate()));
        lowest.map(|(limit, silence)| self.shared.limit_share(limit, silence, target, now))
    }

    /// Reserves free slots for waiting requests, but for those that wait in a queue of all nodes.
    pub fn serve_queue(&self) {
        if self.queue.is_empty() {
            return;
        }
        let now = BootClock::now();
        let route = |key: &QueueKey| {
            let route = self.queue_client.route(key, now)?;
            self.queue_client.run_all(&route, key, now);
            Some(route)
        };
        self.queue.serve(
            route,
            |slot_request| self.pick(slot_request),
            |key, waiting| self.refusals(key, waiting),
        );
    }

    /// Returns the waiting requests for which no slot can be expected in time, by their index.
    ///
    /// While targets restrict the requests of this node, these restrictions decide.
    fn refusals(&self, key: &QueueKey, waiting: &[WaitingRequest]) -> Vec<(usize, Refusal)> {
        if waiting.is_empty() || !self.forecast.is_enabled() {
            return Vec::new();
        }
        let now = BootClock::now();
        let table = self.shared.routing_table.load();
        let config = self.shared.config.load();
        let config = config.as_ref().as_ref();
        let spec = config.and_then(|config| config.services.get(&key.0));
        let targets = routes_of(&table, key);
        let is_restricted = targets.iter().any(|target| {
            let restriction = self.restriction(spec, target, now);
            restriction.is_some_and(|restriction| restriction != Restriction::Leaving)
        });
        if is_restricted {
            return Vec::new();
        }
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        engine.map_or_else(Vec::new, |engine| {
            self.forecast.refusals(key, waiting, engine, targets, now)
        })
    }

    /// Records the time from reserving a slot to the first event of a stream.
    pub fn record_first_event(&self, job: &RequestJob, time: Duration) {
        self.queue
            .record_first_event(&job.slot_request(&[]).key, time);
    }

    /// Returns whether a slot could be reserved without waiting.
    pub fn has_slot(&self, slot_request: &SlotRequest) -> bool {
        self.select(slot_request, None, BootClock::now()).is_some()
    }

    /// Reserves a slot without waiting; `None` if every target is full, suspect, restricted or already tried.
    pub fn pick(&self, slot_request: &SlotRequest) -> Option<ReservedTarget> {
        let acquired = self.try_acquire(slot_request, None, BootClock::now())?;
        Some((acquired.target, acquired.slot))
    }

    /// Reserves a slot without waiting, at the group `granted` if a coordinator has granted it.
    pub(crate) fn try_acquire(
        &self,
        slot_request: &SlotRequest,
        granted: Option<GroupKey>,
        now: Moment,
    ) -> Option<AcquiredSlot> {
        let TargetSelection {
            target,
            share,
            passed_over,
            is_probe,
        } = self.select(slot_request, granted, now)?;
        if is_probe && !target.gauge.speed().claim_probe(now) {
            return self.try_acquire(slot_request, granted, now);
        }
        // Another thread may have sent a request since the target was found usable.
        let is_full = share.is_some_and(|share| !target.gauge.statements().reserve(&share, now));
        if is_full || !target.gauge.statements().reserve_after_backoff(now) {
            return None;
        }
        if target.gauge.speed().is_slow() {
            target.gauge.speed().record_probe(now);
        }
        let key = &slot_request.key;
        let timer = self.forecast.timer(key, now);
        let timer = timer.map(|timer| Box::new(timer) as Box<dyn SlotListener>);
        let release = SlotRelease::of(&self.queue_client, key, target.gauge.key());
        let release = release.map(|release| Box::new(release) as Box<dyn SlotListener>);
        let slot = SlotGuard::acquire(&target.gauge, slot_request.prompt_tokens, now);
        Some(AcquiredSlot {
            target,
            slot: slot.with_listeners(timer.into_iter().chain(release)),
            passed_over,
            granted_by: NodeId::new(),
        })
    }

    /// Selects a target with a free slot; if a coordinator has granted one, it is that target or none.
    fn select(
        &self,
        slot_request: &SlotRequest,
        granted: Option<GroupKey>,
        now: Moment,
    ) -> Option<TargetSelection> {
        let table = self.shared.routing_table.load();
        let config = self.shared.config.load();
        let (service, model) = &slot_request.key;
        let service_spec = config.as_ref().as_ref()?.services.get(service);
        let engine = service_spec.and_then(|spec| spec.engine.as_ref());
        let evacuated = self.shared.evacuated.read();
        let mut passed_over = PassedOver::default();
        let is_usable = |target: &&Arc<RouteTarget>| {
            if granted.is_some_and(|granted| granted != target.gauge.key())
                || slot_request.tried.contains(&target.id)
                || target.gauge.is_suspect(now)
                || !self.is_permitted(slot_request, target, &evacuated)
            {
                return false;
            }
            let restriction = self.restriction(service_spec, target, now);
            passed_over.count(restriction);
            restriction.is_none()
        };
        let targets = routes_of(&table, &slot_request.key);
        let candidates: Vec<&Arc<RouteTarget>> = targets.iter().filter(is_usable).collect();
        let slots = engine.map(|spec| spec.slots);
        // The coordinator of a queue has chosen among the groups itself.
        let (probe, candidates) = if granted.is_some() {
            (candidates.first().copied(), candidates)
        } else {
            let probe = due_probe(&self.shared, &candidates, slots, now);
            (probe, without_slow(candidates))
        };
        let target = match engine {
            _ if granted.is_some() || probe.is_some() => probe?,
            Some(engine) => {
                let model = engine.models.get(model.as_ref()?)?;
                let rates = self.shared.arrival_rates(&model.id, now);
                let loads: Vec<GroupLoad> = candidates
                    .iter()
                    .map(|group| GroupLoad {
                        is_request_late: slot_request.is_late,
                        ..self.group_load(engine, group, rates, now)
                    })
                    .collect();
                let params = PlacementParams {
                    prompt_tokens: slot_request.prompt_tokens,
                    unseen_requests: rates.peers * PROPAGATION_TIME.as_secs_f64(),
                    draw: rand::random(),
                    turn: self.overflow_turn(&model.id, now),
                };
                let index = pick_group(engine, model, &loads, &params)?;
                candidates[index]
            }
            None => self.pick_single(&candidates)?,
        };
        Some(TargetSelection {
            target: Arc::clone(target),
            share: self.limit_share(service_spec, target, now),
            passed_over,
            is_probe: granted.is_none() && probe.is_some(),
        })
    }

    /// Logs and counts a request that found no slot at the groups of its model.
    fn record_miss(&self, job: &RequestJob, key: &QueueKey, now: Moment) {
        let config = self.shared.config.load();
        let services = config.as_ref().as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(&key.0));
        let engine = service.and_then(|service| service.engine.as_ref());
        let Some((engine, model)) = engine.zip(key.1.as_ref()) else {
            return;
        };
        let mut miss = SlotMiss {
            rates: self.shared.arrival_rates(model, now),
            is_queued: self.queue_client.route(key, now).is_some(),
            ..SlotMiss::default()
        };
        let table = self.shared.routing_table.load();
        let groups = routes_of(&table, key).iter();
        for group in groups.filter(|group| !group.gauge.is_suspect(now)) {
            let load = self.group_load(engine, group, miss.rates, now);
            miss.add_group(engine.slots, &load);
        }
        self.shared.metrics.count_slot_miss(&key.0, miss.cause());
        miss.log(&job.request.attempt, &key.0, model);
    }

    /// Returns a number from 0 to 1 that decides whether this node may use slots beyond its share of a model's groups.
    ///
    /// It differs between nodes, and changes after the time in which the other nodes learn of the load that this node
    /// has added.
    fn overflow_turn(&self, model: &str, now: Moment) -> f64 {
        let window = now.as_millis() / PROPAGATION_TIME.as_millis();
        let seed = xxh3_64(model.as_bytes()) ^ self.shared.incarnation ^ window as u64;
        let hash = xxh3_64_with_seed(self.shared.settings.node.as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }

    fn group_load(
        &self,
        engine: &EngineSpec,
        group: &RouteTarget,
        rates: ArrivalRates,
        now: Moment,
    ) -> GroupLoad {
        // The share does not depend on the zone, so that a zone without groups of its own can use those of others.
        let share = || slot_share(engine.slots, self.shared.weight_for(&group.id, now));
        GroupLoad {
            slot_share: group.gauge.slot_share(now, share),
            active_requests: group.gauge.estimated_load(now),
            local_requests: group.gauge.local_requests(),
            unreported_requests: group.gauge.unreported_requests(),
            replaced_requests: group.gauge.replaced_requests(),
            nodes: self.shared.live_view.read().live_nodes(),
            arrival_share: rates.own_share(),
            prefill_tokens: group.gauge.prefill_tokens(),
            delay: engine.delay_between(&self.shared.settings.zone, &group.zone),
            is_queueing: group.gauge.is_queueing(now),
            is_request_late: false,
            speed_ratio: group.gauge.speed().ratio(),
        }
    }

    /// Selects the single target with the least load; failures count as load.
    fn pick_single<'a>(&self, candidates: &[&'a Arc<RouteTarget>]) -> Option<&'a Arc<RouteTarget>> {
        let cost = |target: &RouteTarget| {
            let slots = f64::from(target.slots.max(1));
            let load = f64::from(target.gauge.active_requests()) / slots;
            let is_remote = target.zone != self.shared.settings.zone;
            let zone_penalty = if is_remote {
                REMOTE_ZONE_PENALTY_SLOTS / slots
            } else {
                0.0
            };
            let ratio = target.gauge.speed().ratio();
            // The request itself takes longer too.
            let slowness = load * (ratio - 1.0) + (ratio - 1.0) / slots;
            load + slowness + zone_penalty + target.gauge.failure_rate() * FAILURE_WEIGHT
        };
        let candidates = candidates.iter().copied();
        candidates.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }
}

/// Returns the targets among which requests with a key choose.
pub(crate) fn routes_of<'a>(
    table: &'a RoutingTable,
    (service, model): &QueueKey,
) -> &'a [Arc<RouteTarget>] {
    match model {
        Some(model) => table.groups(service, model),
        None => table.single_targets(service),
    }
}
