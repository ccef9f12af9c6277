//! Simulates the requests of one node that compete for the slots of a model's groups, and records what callers get.

use std::time::Duration;

use briarswitch_core::forecast::Refusal;
use briarswitch_core::id::Moment;
use briarswitch_core::return_schedule::{unscheduled_return, RefusedCaller, ReturnSchedule};
use briarswitch_core::slot_rates::{SlotRates, SlotSupply};
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time between two rounds of the queue.
pub const ROUND: Duration = Duration::from_millis(5);
/// Requests that a group runs concurrently.
pub const GROUP_SLOTS: u32 = 34;
/// Times for which requests hold a slot, in seconds.
const HOLDING_S: (f64, f64) = (0.5, 2.0);
/// Times from getting a slot to the first event, in seconds.
const FIRST_EVENT_S: (f64, f64) = (0.1, 0.2);
/// Time for which callers wait for their response.
pub const TIMEOUT: Duration = Duration::from_secs(8);
/// Time after a refusal at which a caller that ignores `Retry-After` comes back.
const IMPATIENT_RETURN: Duration = Duration::from_millis(20);
/// Part of its remaining time up to which a caller waits before it retries.
const MAX_RETURN_SHARE: f64 = 0.34;

/// A time with a constant load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    pub duration: Duration,
    /// Requests per second by priority, as a multiple of what one group serves.
    pub load: [f64; 3],
    pub groups: u32,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct LoadParams {
    pub seed: u64,
    pub phases: Vec<LoadPhase>,
    pub objective: Duration,
    /// Usual time to the first event as the node has estimated it.
    pub first_event_time: Duration,
    pub forecasts: bool,
    /// Part of the callers that ignore `Retry-After` and come back at once.
    pub impatient_share: f64,
}

/// How an attempt of a caller ended.
#[derive(Clone, Copy, Debug)]
pub enum AttemptEnd {
    Served {
        first_event_at: Moment,
    },
    Refused {
        at: Moment,
        retry_after: Duration,
        /// What the forecast said; `None` if the request was refused by the time that it waited.
        refusal: Option<Refusal>,
    },
}

/// One attempt of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub arrived: Moment,
    pub waited_before: Duration,
    pub is_impatient: bool,
    pub request: WaitingRequest,
    pub end: Option<AttemptEnd>,
}

impl Attempt {
    /// Returns when the caller's first attempt arrived.
    pub fn first_arrived(&self) -> Moment {
        self.arrived - self.waited_before
    }

    pub fn is_served(&self) -> bool {
        matches!(self.end, Some(AttemptEnd::Served { .. }))
    }

    pub fn is_on_time(&self, objective: Duration) -> bool {
        let Some(AttemptEnd::Served { first_event_at }) = self.end else {
            return false;
        };
        first_event_at <= self.first_arrived() + objective
    }
}

/// A slot that was given to an attempt, or that stayed free for a round.
#[derive(Clone, Copy, Debug)]
pub struct SlotUse {
    pub at: Moment,
    pub attempt: Option<usize>,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct LoadRecord {
    pub attempts: Vec<Attempt>,
    pub slot_uses: Vec<SlotUse>,
    /// Ends of the phases.
    pub phase_ends: Vec<Moment>,
}

struct PendingReturn {
    at: Moment,
    caller: Attempt,
}

struct SlotLoad {
    params: LoadParams,
    rng: StdRng,
    rates: SlotRates,
    schedule: ReturnSchedule,
    /// End and start of the requests in each group's slots.
    slots: Vec<Vec<(Moment, Moment)>>,
    waiting: Vec<usize>,
    returns: Vec<PendingReturn>,
    record: LoadRecord,
}

/// Returns the requests per second that a group serves.
pub fn group_rate() -> f64 {
    f64::from(GROUP_SLOTS) * 2.0 / (HOLDING_S.0 + HOLDING_S.1)
}

/// Simulates a load.
pub fn simulate(params: LoadParams) -> LoadRecord {
    let mut load = SlotLoad {
        rng: StdRng::seed_from_u64(params.seed),
        rates: SlotRates::default(),
        schedule: ReturnSchedule::default(),
        slots: Vec::new(),
        waiting: Vec::new(),
        returns: Vec::new(),
        record: LoadRecord::default(),
        params,
    };
    let mut now = Moment::ZERO;
    for phase in load.params.phases.clone() {
        let end = now + phase.duration;
        load.record.phase_ends.push(end);
        load.slots.resize(phase.groups as usize, Vec::new());
        while now < end {
            load.play_round(&phase, now);
            now += ROUND;
        }
    }
    load.record
}

impl SlotLoad {
    fn play_round(&mut self, phase: &LoadPhase, now: Moment) {
        for group in &mut self.slots {
            let rates = &mut self.rates;
            group.retain(|(end, start)| {
                if *end <= now {
                    rates.record_holding(*end - *start);
                }
                *end > now
            });
        }
        self.add_arrivals(phase, now);
        self.serve(now);
        if self.params.forecasts {
            self.refuse_by_forecast(now);
        }
        let waiting = std::mem::take(&mut self.waiting);
        for index in waiting {
            match self.record.attempts[index].request.verdict(now) {
                WaitVerdict::Wait => self.waiting.push(index),
                WaitVerdict::Refuse => self.refuse(index, None, now),
            }
        }
    }

    fn add_arrivals(&mut self, phase: &LoadPhase, now: Moment) {
        for (priority, load) in phase.load.iter().enumerate() {
            let mut expected = load * group_rate() * ROUND.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected {
                    let is_impatient = self.rng.random::<f64>() < self.params.impatient_share;
                    self.arrive(priority as u8, Duration::ZERO, is_impatient, now);
                }
                expected -= 1.0;
            }
        }
        let returns = std::mem::take(&mut self.returns);
        let (due, later) = returns.into_iter().partition(|pending| pending.at <= now);
        self.returns = later;
        for PendingReturn { caller, .. } in due {
            let waited = now - caller.first_arrived();
            self.arrive(caller.request.priority, waited, caller.is_impatient, now);
        }
    }

    fn arrive(&mut self, priority: u8, waited: Duration, is_impatient: bool, now: Moment) {
        let request = WaitingRequest::new(WaitParams {
            arrived: now,
            waited_before: waited,
            objective: self.params.objective,
            first_event_time: self.params.first_event_time,
            deadline: now + TIMEOUT - waited,
            priority,
            is_resumption: false,
            forecasts: self.params.forecasts,
        });
        self.rates.record_arrival(&request, now);
        self.waiting.push(self.record.attempts.len());
        self.record.attempts.push(Attempt {
            arrived: now,
            waited_before: waited,
            is_impatient,
            request,
            end: None,
        });
    }

    fn requests(&self) -> Vec<WaitingRequest> {
        let attempts = &self.record.attempts;
        let waiting = self.waiting.iter();
        waiting.map(|index| attempts[*index].request).collect()
    }

    fn serve(&mut self, now: Moment) {
        for group in 0..self.slots.len() {
            while self.slots[group].len() < GROUP_SLOTS as usize {
                let next = next_waiting(&self.requests(), now);
                let attempt = next.map(|position| self.waiting.remove(position));
                self.record.slot_uses.push(SlotUse { at: now, attempt });
                let Some(index) = attempt else {
                    break;
                };
                let held = self.rng.random_range(HOLDING_S.0..HOLDING_S.1);
                self.slots[group].push((now + Duration::from_secs_f64(held), now));
                let first = self.rng.random_range(FIRST_EVENT_S.0..FIRST_EVENT_S.1);
                self.record.attempts[index].end = Some(AttemptEnd::Served {
                    first_event_at: now + Duration::from_secs_f64(first),
                });
            }
        }
    }

    fn supply(&self) -> SlotSupply {
        let used = self.slots.iter().map(Vec::len).sum::<usize>();
        let slots = self.slots.len() * GROUP_SLOTS as usize;
        SlotSupply {
            free_slots: (slots - used) as u32,
            used_slots: used as f64,
            late_surplus: 0,
        }
    }

    fn refuse_by_forecast(&mut self, now: Moment) {
        let refusals = self.rates.refusals(&self.requests(), self.supply(), now);
        let refused: Vec<(usize, Refusal)> = refusals
            .into_iter()
            .map(|(position, refusal)| (self.waiting[position], refusal))
            .collect();
        for (index, refusal) in refused {
            self.waiting.retain(|waiting| *waiting != index);
            self.refuse(index, Some(refusal), now);
        }
    }

    fn refuse(&mut self, index: usize, refusal: Option<Refusal>, now: Moment) {
        let attempt = self.record.attempts[index];
        let remaining = (attempt.first_arrived() + TIMEOUT).saturating_sub(now);
        let draw = self.rng.random();
        let retry_after = match refusal {
            Some(refusal) => {
                let rate = self.rates.release_rate(self.supply().used_slots);
                let caller = RefusedCaller {
                    remaining,
                    is_retry: !attempt.waited_before.is_zero(),
                };
                self.schedule.assign(refusal, caller, rate, draw, now)
            }
            None => unscheduled_return(draw),
        };
        self.record.attempts[index].end = Some(AttemptEnd::Refused {
            at: now,
            retry_after,
            refusal,
        });
        let is_first = attempt.waited_before.is_zero();
        let delay = if attempt.is_impatient {
            IMPATIENT_RETURN
        } else {
            retry_after
        };
        if is_first && delay <= remaining.mul_f64(MAX_RETURN_SHARE) {
            self.returns.push(PendingReturn {
                at: now + delay,
                caller: attempt,
            });
        }
    }
}
