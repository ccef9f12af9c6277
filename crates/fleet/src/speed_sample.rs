//! Samples of the speed of targets, taken where responses and events arrive.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briarswitch_core::engine::{EngineSpec, ModelSpec};
use briarswitch_core::id::*;
use briarswitch_core::placement::{first_event_time, GroupLoad};
use briarswitch_core::speed::{SpeedSample, UsualTime};
use indexmap::IndexMap;

use crate::job::RequestJob;
use crate::micros::micros;
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;

/// Gap between two ticks of this node from which it counts as frozen; one with a tenth of a core is often late by 100 ms.
const FREEZE_TIME: Duration = Duration::from_millis(250);

/// Conditions under which this node observes the speed of targets.
#[derive(Debug, Default)]
pub struct SpeedConditions {
    ticked_at: AtomicU64,
    /// End of the last time in which this node was frozen, or did not know whether it reaches targets.
    disturbed_until: AtomicU64,
    usual_times: Mutex<IndexMap<ServiceId, UsualTime>>,
}

impl SpeedConditions {
    /// Records that this node is running, and whether it reaches targets.
    pub fn record_tick(&self, is_reachable: bool, now: Moment) {
        let before = self.ticked_at.swap(micros(now), Ordering::Relaxed);
        if !is_reachable || is_gap(before, now) {
            self.disturbed_until.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Returns whether a sample that began at `begun_at` says something about its target, and not about this node.
    ///
    /// A response that has waited for the end of a freeze may be handled before the tick that reveals it.
    pub fn counts(&self, begun_at: Moment, now: Moment) -> bool {
        let ticked_at = self.ticked_at.load(Ordering::Relaxed);
        let disturbed_until = self.disturbed_until.load(Ordering::Relaxed);
        !is_gap(ticked_at, now) && micros(begun_at) >= disturbed_until
    }

    fn usual_time(&self, service: &str) -> Option<Duration> {
        self.lock_times().get(service)?.get()
    }

    fn record_time(&self, service: &str, time: Duration) {
        let mut times = self.lock_times();
        match times.get_mut(service) {
            Some(usual) => usual.record(time),
            None => times.entry(service.to_owned()).or_default().record(time),
        }
    }

    fn lock_times(&self) -> std::sync::MutexGuard<'_, IndexMap<ServiceId, UsualTime>> {
        self.usual_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_gap(ticked_at: u64, now: Moment) -> bool {
    micros(now).saturating_sub(ticked_at) > micros(FREEZE_TIME)
}

/// What a response, or the next event of a stream, is compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AwaitedPart {
    /// Nothing is expected of this response.
    Unobserved,
    /// A first event, or a whole response, that is expected to take so long.
    Response(Duration),
    /// A response of a service whose usual time is not known yet.
    FirstOfService,
    /// The next event of a stream.
    Event,
}

/// A response, or the next event of a stream, that a target has yet to send.
#[derive(Debug)]
pub struct AwaitedResponse {
    part: AwaitedPart,
    begun_at: Moment,
    /// Whether it has counted as a slow response while it was missing.
    is_counted: bool,
}

impl AwaitedResponse {
    /// Begins to wait for the response to a request that is sent to a target at `now`.
    pub fn begin(
        shared: &FleetShared,
        job: &RequestJob,
        target: &RouteTarget,
        now: Moment,
    ) -> Self {
        Self {
            part: awaited_part(shared, job, target, now),
            begun_at: now,
            is_counted: false,
        }
    }

    /// Returns when the request was sent, or when the last event arrived.
    pub fn begun_at(&self) -> Moment {
        self.begun_at
    }

    /// Counts the response as a slow one if it should have arrived long before `now`.
    ///
    /// The silence of a target that is suspected, or of all targets, has other reasons.
    pub fn check_overdue(&mut self, shared: &FleetShared, target: &RouteTarget, now: Moment) {
        let AwaitedPart::Response(expected) = self.part else {
            return;
        };
        let sample = self.sample(expected, now);
        let is_blamed = sample.is_overdue() && !target.gauge.is_suspect(now);
        if !is_blamed || shared.doubts_reach(now) || !self.counts(shared, now) {
            return;
        }
        if self.is_counted {
            target.gauge.speed().renew(&sample);
        } else {
            self.is_counted = target.gauge.speed().record(&sample);
        }
    }

    /// Records that the whole response has arrived.
    pub fn record_end(
        &mut self,
        shared: &FleetShared,
        job: &RequestJob,
        target: &RouteTarget,
        now: Moment,
    ) {
        let part = std::mem::replace(&mut self.part, AwaitedPart::Unobserved);
        if !self.counts(shared, now) {
            return;
        }
        if let AwaitedPart::Response(expected) = part {
            if !self.is_counted {
                target.gauge.speed().record(&self.sample(expected, now));
            }
        }
        let is_response = matches!(part, AwaitedPart::Response(_) | AwaitedPart::FirstOfService);
        if is_response && target.group.is_none() {
            let time = now.saturating_sub(self.begun_at);
            shared.speed.record_time(&job.service, time);
        }
    }

    /// Records that an event has arrived.
    pub fn record_event(
        &mut self,
        shared: &FleetShared,
        job: &RequestJob,
        target: &RouteTarget,
        now: Moment,
    ) {
        match self.part {
            AwaitedPart::Unobserved => return,
            AwaitedPart::Event => self.record_interval(shared, job, target, now),
            AwaitedPart::Response(_) | AwaitedPart::FirstOfService => {
                self.record_end(shared, job, target, now);
                if target.group.is_some() {
                    self.part = AwaitedPart::Event;
                }
            }
        }
        self.begun_at = now;
    }

    fn record_interval(
        &self,
        shared: &FleetShared,
        job: &RequestJob,
        target: &RouteTarget,
        now: Moment,
    ) {
        let Some((engine, model)) = engine_of(job, target) else {
            return;
        };
        if self.counts(shared, now) {
            let active = target.gauge.estimated_load(now).min(engine.slots);
            let expected = engine.pass_time(model, active);
            target
                .gauge
                .speed()
                .record_interval(&self.sample(expected, now));
        }
    }

    fn counts(&self, shared: &FleetShared, now: Moment) -> bool {
        shared.speed.counts(self.begun_at, now)
    }

    fn sample(&self, expected: Duration, now: Moment) -> SpeedSample {
        SpeedSample {
            begun_at: self.begun_at,
            ended_at: now,
            expected,
        }
    }
}

fn awaited_part(
    shared: &FleetShared,
    job: &RequestJob,
    target: &RouteTarget,
    now: Moment,
) -> AwaitedPart {
    if !shared.settings.load_control.observes_speed {
        return AwaitedPart::Unobserved;
    }
    if target.group.is_none() {
        let usual = shared.speed.usual_time(&job.service);
        return usual.map_or(AwaitedPart::FirstOfService, AwaitedPart::Response);
    }
    match engine_of(job, target) {
        // How long a whole response takes depends on its number of tokens, which is not known.
        Some((engine, model)) if job.is_stream() => {
            AwaitedPart::Response(expected_first_event(shared, engine, model, target, now))
        }
        _ => AwaitedPart::Unobserved,
    }
}

fn engine_of<'a>(
    job: &'a RequestJob,
    target: &RouteTarget,
) -> Option<(&'a EngineSpec, &'a ModelSpec)> {
    let engine = job.engine()?;
    let model = engine.models.get(&target.group.as_ref()?.model)?;
    Some((engine, model))
}

/// Returns the expected time to the first event of a request that holds a slot at the group.
fn expected_first_event(
    shared: &FleetShared,
    engine: &EngineSpec,
    model: &ModelSpec,
    group: &RouteTarget,
    now: Moment,
) -> Duration {
    let load = GroupLoad {
        active_requests: group.gauge.estimated_load(now),
        prefill_tokens: group.gauge.prefill_tokens(),
        delay: engine.delay_between(&shared.settings.zone, &group.zone),
        ..GroupLoad::default()
    };
    first_event_time(engine, model, &load, 0)
}
