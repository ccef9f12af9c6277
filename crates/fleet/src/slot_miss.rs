//! What a node knew of a model's groups when a request found no slot there in time.

use briarswitch_core::placement::{ArrivalRates, GroupLoad};

/// Why a request found no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissCause {
    /// Every usable group was full.
    Full,
    /// Groups had free slots, which this node left to others.
    Reserved,
    /// The request waited in the queue of all nodes.
    Queued,
}

impl MissCause {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Reserved => "reserved",
            Self::Queued => "queued",
        }
    }
}

/// The groups of a model as one node saw them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotMiss {
    /// Groups that the request might use.
    pub groups: u32,
    /// Slots of these groups.
    pub slots: u32,
    /// Requests of all nodes there, as far as known.
    pub active_requests: u32,
    /// Requests of this node there.
    pub local_requests: u32,
    /// Those of its requests that other nodes cannot know of yet.
    pub unreported_requests: u32,
    /// Slots reserved for this node there.
    pub slot_share: u32,
    /// Rates at which requests for the model arrive.
    pub rates: ArrivalRates,
    /// Whether the request waited in the queue of all nodes.
    pub is_queued: bool,
}

impl SlotMiss {
    /// Adds a group with this number of slots.
    pub fn add_group(&mut self, slots: u32, load: &GroupLoad) {
        self.groups += 1;
        self.slots += slots;
        self.active_requests += load.active_requests.min(slots);
        self.local_requests += load.local_requests;
        self.unreported_requests += load.unreported_requests;
        self.slot_share += load.slot_share;
    }

    /// Returns why the request found no slot.
    ///
    /// ```
    /// use briarswitch_core::placement::GroupLoad;
    /// use briarswitch_fleet::slot_miss::{MissCause, SlotMiss};
    ///
    /// let mut miss = SlotMiss::default();
    /// miss.add_group(8, &GroupLoad { active_requests: 8, ..GroupLoad::default() });
    /// assert_eq!(miss.cause(), MissCause::Full);
    /// miss.add_group(8, &GroupLoad { active_requests: 5, ..GroupLoad::default() });
    /// assert_eq!(miss.cause(), MissCause::Reserved);
    /// ```
    pub fn cause(&self) -> MissCause {
        if self.is_queued {
            MissCause::Queued
        } else if self.active_requests < self.slots {
            MissCause::Reserved
        } else {
            MissCause::Full
        }
    }

    /// Logs the request that found no slot.
    pub fn log(&self, request: &str, service: &str, model: &str) {
        log::info!(
            request = request,
            service = service,
            model = model,
            cause = self.cause().name(),
            groups = self.groups,
            slots = self.slots,
            active = self.active_requests,
            own = self.local_requests,
            unreported = self.unreported_requests,
            reserved = self.slot_share,
            own_per_s = self.rates.own.round() as u64,
            peers_per_s = self.rates.peers.round() as u64;
            "slot_missed"
        );
    }
}
