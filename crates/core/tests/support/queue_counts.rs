//! What callers get in a simulation, and how the slots are used.

use std::collections::VecDeque;
use std::time::Duration;

use briarswitch_core::id::Moment;

use super::queue_load::Arrival;
use super::queue_nodes::{GroupCounts, GROUPS, SLOTS};

/// Ticks after which a slot that became free must be in use again, or a request that arrived must have a free slot.
///
/// A node sends a message every 20 ms; it and the reply take 8 ms each; a tick is 10 ms.
const GRANT_TICKS: usize = 5;
/// The same time.
pub const GRANT_TIME: Duration = Duration::from_millis(50);

/// What callers got, and how the slots were used.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that got a slot.
    pub served: u32,
    /// Those of them whose first event was on time.
    pub on_time: u32,
    /// Waits of the requests that were refused.
    pub refusal_waits: Vec<Duration>,
    /// Requests sent to groups, including those that were rejected as full.
    pub sent: u32,
    /// Requests that a group rejected as full.
    pub rejected: u32,
    /// Grants for requests that no longer waited.
    pub unused_grants: u32,
    /// Slots given to a request while a more urgent one waited that could be on time.
    pub inversions: u32,
    /// Requests that waited and slots at each tick.
    pub samples: Vec<Sample>,
    /// When requests were rejected as full.
    pub rejections: Vec<Moment>,
    /// When each organisation's requests got slots, and their tokens.
    pub starts: Vec<(Moment, &'static str, u64)>,
}

/// What one tick shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    at: Moment,
    /// Requests that have waited for longer than a grant takes.
    waiting: u64,
    /// Those beside slots that have been free for as long.
    beside_free: u64,
    /// Slots in use.
    used_slots: u32,
}

impl Counts {
    /// Records that a request was sent to a group, which rejects it if its slots are full.
    pub fn record_attempt(&mut self, active: u32, now: Moment) {
        self.sent += 1;
        if active >= SLOTS {
            self.rejected += 1;
            self.rejections.push(now);
        }
    }

    /// Records that a request got a slot.
    pub fn record_start(&mut self, arrival: &Arrival, now: Moment, first_event_time: Duration) {
        let is_on_time = now + first_event_time <= arrival.at + arrival.stream.objective;
        self.served += 1;
        self.on_time += u32::from(is_on_time);
        let stream = &arrival.stream;
        self.starts.push((now, stream.organisation, stream.tokens));
    }

    /// Records that a request was refused.
    pub fn record_refusal(&mut self, arrival: &Arrival, now: Moment) {
        self.refusal_waits.push(now - arrival.at);
    }

    /// Returns the share of the time of waiting that was beside free slots.
    pub fn idle_share(&self, from: Moment, until: Moment) -> f64 {
        let samples = self.samples_within(from, until);
        let (waiting, beside_free) = samples.fold((0, 0), |(waiting, beside_free), sample| {
            (waiting + sample.waiting, beside_free + sample.beside_free)
        });
        beside_free as f64 / waiting.max(1) as f64
    }

    /// Returns the share of the slots that were in use while requests waited.
    pub fn used_share(&self, from: Moment, until: Moment) -> f64 {
        let samples = self.samples_within(from, until);
        let used: Vec<u32> = samples
            .filter(|sample| sample.waiting > 0)
            .map(|sample| sample.used_slots)
            .collect();
        let slots = used.len() as u32 * SLOTS * GROUPS as u32;
        f64::from(used.iter().sum::<u32>()) / f64::from(slots.max(1))
    }

    fn samples_within(&self, from: Moment, until: Moment) -> impl Iterator<Item = &Sample> {
        let samples = self.samples.iter();
        samples.filter(move |sample| sample.at >= from && sample.at < until)
    }

    /// Returns the number of requests that got a slot within a time.
    pub fn served_within(&self, from: Moment, until: Moment) -> usize {
        let within = |(at, _, _): &&(Moment, &str, u64)| *at >= from && *at < until;
        self.starts.iter().filter(within).count()
    }

    /// Returns the number of requests that groups rejected as full within a time.
    pub fn rejected_within(&self, from: Moment, until: Moment) -> usize {
        let within = |at: &&Moment| **at >= from && **at < until;
        self.rejections.iter().filter(within).count()
    }

    /// Returns the tokens of an organisation's requests that got a slot within a time.
    pub fn tokens_within(&self, organisation: &str, from: Moment, until: Moment) -> u64 {
        let starts = self.starts.iter();
        let within =
            starts.filter(|(at, name, _)| *name == organisation && *at >= from && *at < until);
        within.map(|(_, _, tokens)| tokens).sum()
    }
}

/// Free slots at the last ticks.
#[derive(Clone, Debug, Default)]
pub struct SlotUse {
    free: VecDeque<[u32; GROUPS]>,
}

impl SlotUse {
    /// Compares the slots that have been free for a while with the requests that have waited for as long.
    pub fn sample(
        &mut self,
        active: &[GroupCounts],
        waits: impl Iterator<Item = Duration>,
        now: Moment,
        counts: &mut Counts,
    ) {
        let mut free = [SLOTS; GROUPS];
        for active in active {
            for (free, active) in free.iter_mut().zip(active) {
                *free = free.saturating_sub(*active);
            }
        }
        let used_slots = SLOTS * GROUPS as u32 - free.iter().sum::<u32>();
        self.free.push_back(free);
        if self.free.len() > GRANT_TICKS {
            self.free.pop_front();
        }
        let idle = |group: usize| self.free.iter().map(|free| free[group]).min().unwrap_or(0);
        let idle: u32 = (0..GROUPS).map(idle).sum();
        let waits: Vec<Duration> = waits.collect();
        let waiting = waits.iter().filter(|wait| **wait > GRANT_TIME).count() as u64;
        counts.samples.push(Sample {
            at: now,
            waiting,
            beside_free: waiting.min(u64::from(idle)),
            used_slots,
        });
    }
}
