//! Forecasts of when this node's waiting requests get a slot, and refusals of those that would wait in vain.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarswitch_core::engine::EngineSpec;
use briarswitch_core::forecast::Refusal;
use briarswitch_core::id::*;
use briarswitch_core::outcome::FailurePoint;
use briarswitch_core::placement::slots_for_late;
use briarswitch_core::return_schedule::{RefusedCaller, ReturnSchedule};
use briarswitch_core::slot_rates::{SlotRates, SlotSupply};
use briarswitch_core::waiting::WaitingRequest;
use briarswitch_kernel::BootClock;
use indexmap::IndexMap;

use crate::gauge::SlotListener;
use crate::job::RequestJob;
use crate::restriction::{PassedOver, SlotError};
use crate::routing_table::RouteTarget;
use crate::shared::FleetShared;
use crate::slot_queue::QueueKey;

/// Time for which this node's part of a model's slots is cached; nodes exchange their request rates about as often.
const SHARE_TTL: Duration = Duration::from_millis(300);
/// Age up to which the slots of the last round of the queue serve for a request that begins to wait.
const SUPPLY_TTL: Duration = Duration::from_millis(100);
/// Interval at which forecasts are compared with actual waits in the log.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Logged in place of an expected wait if no slot could be expected as things stood.
const NO_EXPECTED_WAIT: i64 = -1;

/// Why a request was refused by forecast, and when its caller is to return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForecastRefusal {
    /// Expected time until a slot is free; `None` if there was none as things stood.
    pub available_in: Option<Duration>,
    /// Time after which the caller is asked to retry.
    pub returns_in: Duration,
}

impl ForecastRefusal {
    /// Returns the expected wait as it is logged, in milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::slot_forecast::ForecastRefusal;
    ///
    /// let returns_in = Duration::from_secs(2);
    /// let refusal = ForecastRefusal { available_in: None, returns_in };
    /// assert_eq!(refusal.logged_ms(), -1);
    /// ```
    pub fn logged_ms(&self) -> i64 {
        self.available_in
            .map_or(NO_EXPECTED_WAIT, |wait| wait.as_millis() as i64)
    }
}

/// Comparison of forecasts with the waits that followed.
#[derive(Clone, Copy, Debug, Default)]
struct ForecastChecks {
    count: u32,
    wait: Duration,
    error: Duration,
    logged_at: Moment,
}

/// What this node knows of the slots for one key of its queue.
#[derive(Debug, Default)]
struct KeyForecast {
    rates: SlotRates,
    schedule: ReturnSchedule,
    supply: SlotSupply,
    supply_at: Moment,
    share: f64,
    share_at: Option<Moment>,
    checks: ForecastChecks,
}

/// Forecasts by key, shared with the timers of slots.
#[derive(Debug, Default)]
struct KeyForecasts {
    keys: Mutex<IndexMap<QueueKey, KeyForecast>>,
}

impl KeyForecasts {
    fn lock(&self) -> MutexGuard<'_, IndexMap<QueueKey, KeyForecast>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_key<R>(&self, key: &QueueKey, act: impl FnOnce(&mut KeyForecast) -> R) -> R {
        let mut keys = self.lock();
        if !keys.contains_key(key) {
            keys.insert(key.clone(), KeyForecast::default());
        }
        act(&mut keys[key])
    }
}

/// Measures for how long a request holds a slot.
#[derive(Debug)]
pub struct HoldingTimer {
    forecasts: Arc<KeyForecasts>,
    key: QueueKey,
    since: Moment,
}

impl SlotListener for HoldingTimer {
    /// Records the time for which the slot was held; a target that rejects the request does not process its prompt.
    fn slot_released(&self, has_run: bool) {
        if has_run {
            let held = BootClock::now().saturating_sub(self.since);
            self.forecasts
                .with_key(&self.key, |forecast| forecast.rates.record_holding(held));
        }
    }
}

/// Forecasts for the requests that wait at this node; without the setting, it does nothing.
pub struct SlotForecast {
    shared: Arc<FleetShared>,
    forecasts: Arc<KeyForecasts>,
}

impl SlotForecast {
    /// Creates forecasts without any observation.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            forecasts: Arc::default(),
        }
    }

    /// Returns whether requests are refused by forecast.
    pub fn is_enabled(&self) -> bool {
        self.shared.settings.load_control.forecasts
    }

    /// Counts a request that needs a slot.
    pub fn record_arrival(&self, key: &QueueKey, request: &WaitingRequest, now: Moment) {
        if self.is_enabled() {
            self.forecasts
                .with_key(key, |forecast| forecast.rates.record_arrival(request, now));
        }
    }

    /// Returns a timer for a slot that a request gets now.
    pub fn timer(&self, key: &QueueKey, now: Moment) -> Option<HoldingTimer> {
        self.is_enabled().then(|| HoldingTimer {
            forecasts: Arc::clone(&self.forecasts),
            key: key.clone(),
            since: now,
        })
    }

    /// Returns the waiting requests that are to be refused now, by their index.
    pub fn refusals(
        &self,
        key: &QueueKey,
        waiting: &[WaitingRequest],
        engine: &EngineSpec,
        groups: &[Arc<RouteTarget>],
        now: Moment,
    ) -> Vec<(usize, Refusal)> {
        self.forecasts.with_key(key, |forecast| {
            let share = self.share(forecast, now);
            forecast.supply = self.supply(engine, groups, share, now);
            forecast.supply_at = now;
            forecast.rates.refusals(waiting, forecast.supply, now)
        })
    }

    /// Returns this node's part of all requests.
    fn share(&self, forecast: &mut KeyForecast, now: Moment) -> f64 {
        if forecast.share_at.is_none_or(|at| now > at + SHARE_TTL) {
            let weight = self.shared.weight_for("", now);
            forecast.share = weight.own / weight.total.max(f64::MIN_POSITIVE);
            forecast.share_at = Some(now);
        }
        forecast.share
    }

    /// Returns this node's part of the slots of a model's groups.
    fn supply(
        &self,
        engine: &EngineSpec,
        groups: &[Arc<RouteTarget>],
        share: f64,
        now: Moment,
    ) -> SlotSupply {
        let evacuated = self.shared.evacuated.read();
        let nodes = self.shared.live_view.read().live_nodes();
        let late_slots = slots_for_late(engine, nodes);
        let (mut free, mut used, mut surplus) = (0, 0.0, 0.0);
        for group in groups {
            let is_leaving = group.gauge.statements().is_leaving(now);
            if is_leaving || group.gauge.is_suspect(now) || evacuated.contains(&group.zone) {
                continue;
            }
            let load = group.gauge.estimated_load(now).min(engine.slots);
            free += engine.slots - load;
            used += f64::from(load);
            surplus += f64::from(load) - late_slots;
        }
        SlotSupply {
            free_slots: (f64::from(free) * share).round() as u32,
            used_slots: used * share,
            late_surplus: (surplus * share).round() as u32,
        }
    }

    /// Returns the expected wait of a request that begins to wait, where it is known.
    pub fn expected_wait(
        &self,
        key: &QueueKey,
        request: &WaitingRequest,
        others: impl FnOnce() -> Vec<WaitingRequest>,
        now: Moment,
    ) -> Option<Duration> {
        if !self.is_enabled() {
            return None;
        }
        let others = others();
        self.forecasts.with_key(key, |forecast| {
            let is_known = now <= forecast.supply_at + SUPPLY_TTL;
            let rates = is_known.then_some(&forecast.rates)?;
            rates.expected_wait(request, &others, forecast.supply, now)
        })
    }

    /// Compares the expected wait of a request with the time since it began to wait, and logs the mean error.
    pub fn check(&self, key: &QueueKey, expected: Option<Duration>, since: Moment) {
        let Some(expected) = expected else {
            return;
        };
        let now = BootClock::now();
        let wait = now.saturating_sub(since);
        let due = self.forecasts.with_key(key, |forecast| {
            forecast.checks.add(expected, wait);
            forecast.checks.take_due(now)
        });
        if let Some(checks) = due {
            checks.log(key);
        }
    }

    /// Returns the error of a request that is refused by forecast, with the time at which its caller is to return.
    pub fn refuse(
        &self,
        key: &QueueKey,
        job: &RequestJob,
        refusal: Refusal,
        passed_over: PassedOver,
    ) -> SlotError {
        let now = BootClock::now();
        let caller = RefusedCaller {
            remaining: job.deadline.saturating_sub(now),
            is_retry: !job.waited_before.is_zero(),
        };
        let returns_in = self.forecasts.with_key(key, |forecast| {
            let rate = forecast.rates.release_rate(forecast.supply.used_slots);
            let schedule = &mut forecast.schedule;
            schedule.assign(refusal, caller, rate, rand::random(), now)
        });
        self.shared.metrics.count_forecast_refusal(&key.0);
        SlotError {
            available_in: refusal.available_in,
            passed_over,
            forecast: Some(ForecastRefusal {
                available_in: refusal.available_in,
                returns_in,
            }),
            ..FailurePoint::NoTarget.into()
        }
    }
}

impl ForecastChecks {
    fn add(&mut self, expected: Duration, wait: Duration) {
        self.count += 1;
        self.wait += wait;
        self.error += wait.abs_diff(expected);
    }

    /// Returns and resets the comparison if it is to be logged.
    fn take_due(&mut self, now: Moment) -> Option<Self> {
        if now < self.logged_at + CHECK_INTERVAL {
            return None;
        }
        let next = Self {
            logged_at: now,
            ..Self::default()
        };
        Some(std::mem::replace(self, next))
    }

    fn log(&self, (service, model): &QueueKey) {
        let mean_ms = |sum: Duration| (sum / self.count.max(1)).as_millis() as u64;
        log::info!(
            service = service.as_str(),
            model = model.as_deref().unwrap_or(""),
            count = self.count,
            mean_wait_ms = mean_ms(self.wait),
            mean_error_ms = mean_ms(self.error);
            "forecast_checked"
        );
    }
}
