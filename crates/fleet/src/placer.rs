//! Finds targets with a free place, and lets requests wait for one.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::engine::EngineModel;
use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_core::placement::{pick_group, place_share, GroupLoad, PlaceTerms};
use briarswitch_core::waiting::{WaitTerms, WaitingRequest};
use briarswitch_kernel::BootClock;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gauge::GaugePlace;
use crate::job::RequestJob;
use crate::peers::PROPAGATION_TIME;
use crate::queue::{wait_for_place, PlaceAsk, PlaceQueue, PlacedTarget, QueueKey};
use crate::shared::FleetShared;
use crate::table::RouteTarget;

/// Time between looks for a free place while nothing wakes the request.
const PLACE_CHECK: Duration = Duration::from_millis(25);
/// Weight of the share of failures against load: one that fails always counts as full twice over.
const FAILURE_WEIGHT: f64 = 2.0;
/// Places of another zone's target that count as taken, for the way there and back.
const FAR_PLACES: f64 = 0.5;

/// Finds places at targets.
pub struct TargetPlacer {
    shared: Arc<FleetShared>,
    queue: PlaceQueue,
}

/// Takes a request out of the queue when its caller leaves or its place is found.
struct QueueGuard<'a> {
    queue: &'a PlaceQueue,
    key: &'a QueueKey,
    ticket: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.queue.cancel(self.key, self.ticket);
    }
}

impl TargetPlacer {
    /// Opens a placer without waiting requests.
    pub fn open(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            queue: PlaceQueue::default(),
        }
    }

    /// Finds a target with a free place, waiting a little while there is none.
    ///
    /// # Errors
    ///
    /// Returns the point to tell the caller when no place came free in time.
    pub async fn place(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
    ) -> Result<PlacedTarget, FailurePoint> {
        let terms = WaitTerms {
            arrived: job.arrived,
            waited_before: job.waited_before,
            ..WaitTerms::default()
        };
        self.place_on(job, tried, terms).await
    }

    /// Finds a target for a stream that broke off and is to go on.
    ///
    /// It counts from now: what was delivered of it is lost if it ends here, so it does not stand
    /// behind those that come now, and before them once the caller has part of it.
    ///
    /// # Errors
    ///
    /// Returns the point to tell the caller when no place came free in time.
    pub async fn place_again(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
        is_begun: bool,
    ) -> Result<PlacedTarget, FailurePoint> {
        let terms = WaitTerms {
            arrived: BootClock::now(),
            is_begun,
            ..WaitTerms::default()
        };
        self.place_on(job, tried, terms).await
    }

    /// Finds a target on terms that lack what the request and its rule say.
    async fn place_on(
        &self,
        job: &RequestJob,
        tried: &[TargetId],
        terms: WaitTerms,
    ) -> Result<PlacedTarget, FailurePoint> {
        let mut ask = job.place_ask(tried);
        let request = WaitingRequest::open(WaitTerms {
            objective: job.rule.objective,
            first: self.queue.usual_first(&ask.key),
            deadline: job.deadline,
            priority: job.priority,
            ..terms
        });
        ask.is_late = request.is_late(BootClock::now());
        // Nobody overtakes those who wait and can still be on time.
        if !self.queue.has_waiters(&ask.key) {
            if let Some(placed) = self.pick(&ask) {
                return Ok(placed);
            }
        }
        let key = ask.key.clone();
        let (ticket, place) = self.queue.push(ask, request);
        self.serve_queue();
        let _guard = QueueGuard {
            queue: &self.queue,
            key: &key,
            ticket,
        };
        let placed = wait_for_place(place, request, PLACE_CHECK, || self.serve_queue()).await;
        placed.ok_or(FailurePoint::NoTarget)
    }

    /// Gives places that came free to those who wait.
    pub fn serve_queue(&self) {
        if !self.queue.is_empty() {
            self.queue.serve(|ask| self.pick(ask));
        }
    }

    /// Notes the time from a place to the first event there.
    pub fn note_first(&self, job: &RequestJob, time: Duration) {
        self.queue.note_first(&job.place_ask(&[]).key, time);
    }

    /// Picks a target now; `None` when each is full, suspect or tried.
    pub fn pick(&self, ask: &PlaceAsk) -> Option<PlacedTarget> {
        let table = self.shared.table.load();
        let book = self.shared.book.load();
        let now = BootClock::now();
        let (service, model) = &ask.key;
        let service_spec = book.as_ref().as_ref()?.services.get(service);
        let engine = service_spec.and_then(|spec| spec.engine.as_ref());
        let target = match engine {
            Some(engine) => {
                let model = engine.models.get(model.as_ref()?)?;
                let groups = table.groups(service, &model.id);
                let open: Vec<&Arc<RouteTarget>> = groups
                    .iter()
                    .filter(|group| !ask.tried.contains(&group.id) && !group.gauge.is_suspect(now))
                    .collect();
                let loads: Vec<GroupLoad> = open
                    .iter()
                    .map(|group| GroupLoad {
                        is_for_late: ask.is_late,
                        ..self.load_of(engine, group, now)
                    })
                    .collect();
                let elsewhere = self.shared.elsewhere.read();
                let arrivals = elsewhere.arrivals.get(&model.id).copied();
                let terms = PlaceTerms {
                    prompt: ask.prompt_tokens,
                    unseen: arrivals.unwrap_or_default() * PROPAGATION_TIME.as_secs_f64(),
                    draw: rand::random(),
                    turn: self.turn(&model.id, now),
                };
                let index = pick_group(engine, model, &loads, &terms)?;
                open[index]
            }
            None => self.pick_plain(table.plain(service), &ask.tried, now)?,
        };
        let place = GaugePlace::open(&target.gauge, ask.prompt_tokens, now);
        Some((Arc::clone(target), place))
    }

    /// Returns this node's turn among all nodes to use places beyond its share of a model's groups.
    fn turn(&self, model: &str, now: Moment) -> f64 {
        let window = now.as_millis() / PROPAGATION_TIME.as_millis();
        let seed = xxh3_64(model.as_bytes()) ^ self.shared.incarnation ^ window as u64;
        let hash = xxh3_64_with_seed(self.shared.settings.node.as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }

    fn load_of(&self, engine: &EngineModel, group: &RouteTarget, now: Moment) -> GroupLoad {
        let own = &self.shared.settings.zone;
        let delay = engine.delays.iter().find(|delay| {
            (&delay.from == own && delay.to == group.zone)
                || (&delay.to == own && delay.from == group.zone)
        });
        // Whatever the zone: one that lost its own groups lives on the shares of others'.
        let share = || place_share(engine.slots, self.shared.weight_for(&group.id, now));
        GroupLoad {
            share: group.gauge.share(now, share),
            writers: group.gauge.load_at(now),
            own: group.gauge.own(),
            fresh: group.gauge.fresh(),
            nodes: self.shared.live.read().live_nodes(),
            unread_tokens: group.gauge.unread(),
            delay: delay.map_or(Duration::ZERO, |delay| delay.delay),
            is_queueing: group.gauge.is_queueing(now),
            is_for_late: false,
        }
    }

    /// Picks the single target with the least work, counting failures as work.
    fn pick_plain<'a>(
        &self,
        targets: &'a [Arc<RouteTarget>],
        tried: &[TargetId],
        now: Moment,
    ) -> Option<&'a Arc<RouteTarget>> {
        let cost = |target: &RouteTarget| {
            let slots = f64::from(target.slots.max(1));
            let load = f64::from(target.gauge.writers()) / slots;
            let is_far = target.zone != self.shared.settings.zone;
            let away = if is_far { FAR_PLACES / slots } else { 0.0 };
            load + away + target.gauge.failing() * FAILURE_WEIGHT
        };
        let open = targets
            .iter()
            .filter(|target| !tried.contains(&target.id) && !target.gauge.is_suspect(now));
        open.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }
}
