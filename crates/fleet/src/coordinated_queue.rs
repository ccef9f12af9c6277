//! One queue of which this node is the coordinator.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{
    GroupCapacity, GroupKey, QueueDecision, SharedQueue, GRANT_TTL,
};
use indexmap::IndexMap;
use serde_json::{json, Value};
use tokio::sync::{oneshot, Notify};

use crate::queue_doc::{QueueReply, QueueUpdate};
use crate::queue_inbox::NodeInbox;

/// Number of priorities that are told apart; lower ones count as the last.
pub const PRIORITIES: usize = 10;

/// Slots of a group that one message can free while it is not known how many the group has.
const MAX_UNKNOWN_RELEASES: u32 = 64;

/// Number of waiting requests by priority.
pub type PriorityCounts = [u32; PRIORITIES];

/// What a queue has decided since it was last summarised.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionCounts {
    /// Slots granted.
    pub grants: u32,
    /// Requests refused.
    pub refusals: u32,
}

/// A queue at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueSummary {
    /// Waiting requests by priority.
    pub waiting: PriorityCounts,
    /// Time since the first of them arrived.
    pub oldest_wait: Duration,
    /// Decisions since the last summary.
    pub decided: DecisionCounts,
    /// Free slots of its groups when they were last granted.
    pub free_slots: u32,
}

/// Slots of a group that this node was granted or has released within [`GRANT_TTL`].
#[derive(Default)]
struct SlotChanges {
    grants: Vec<Moment>,
    releases: Vec<Moment>,
}

impl SlotChanges {
    /// Returns the number of this node's requests as the reports of other nodes would show it, which are older.
    fn reported(&self, running: u32) -> u32 {
        let before = running.saturating_add(self.releases.len() as u32);
        before.saturating_sub(self.grants.len() as u32)
    }

    fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.releases.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        self.grants.retain(|at| now < *at + GRANT_TTL);
        self.releases.retain(|at| now < *at + GRANT_TTL);
    }
}

/// A queue that this node coordinates.
#[derive(Default)]
pub struct CoordinatedQueue {
    own: NodeId,
    queue: SharedQueue,
    inboxes: IndexMap<NodeId, NodeInbox>,
    /// Changes by this node, by group.
    own_changes: IndexMap<GroupKey, SlotChanges>,
    capacities: Vec<GroupCapacity>,
    decided: DecisionCounts,
    is_served: bool,
    wake: Arc<Notify>,
}

impl CoordinatedQueue {
    /// Creates an empty queue; `own` is this node.
    ///
    /// If `forecasts` is set, requests are refused as soon as no slot can be expected for them in time.
    pub fn new(own: NodeId, forecasts: bool) -> Self {
        let mut queue = SharedQueue::default();
        queue.set_forecasts(forecasts);
        Self {
            own,
            queue,
            ..Self::default()
        }
    }

    /// Takes a message of a node. Returns its reply once there is one, or `None` if it gets an empty one at once.
    pub fn update(
        &mut self,
        update: QueueUpdate,
        now: Moment,
    ) -> Option<oneshot::Receiver<QueueReply>> {
        let QueueUpdate {
            mut requests,
            releases: mut freed,
            returned,
            ..
        } = update;
        let node = requests.node.clone();
        for (ticket, group) in &returned {
            let slots = freed.entry(*group).or_insert(0);
            *slots = slots.saturating_add(1);
            // The queue ignores a granted request that is listed again, unless it excludes the group of the grant.
            let mut queued = requests.requests.iter_mut();
            if let Some(queued) = queued.find(|queued| queued.ticket == *ticket) {
                queued.excluded.push(*group);
            }
        }
        for (group, slots) in freed {
            let slots = slots.min(self.most_releases(group));
            self.release(&node, group, slots, now);
        }
        let incarnation = requests.incarnation;
        if !self.queue.update(requests, now) {
            return None;
        }
        let is_waiting = self.queue.is_waiting_at(&node);
        let inbox = self.inboxes.entry(node).or_default();
        let held = inbox.hold(incarnation, now);
        let is_decided = !inbox.is_holding();
        (is_waiting || is_decided).then_some(held)
    }

    /// Returns how many slots of a group one message can free: no node can have used more than there are.
    fn most_releases(&self, group: GroupKey) -> u32 {
        let mut capacities = self.capacities.iter();
        let capacity = capacities.find(|capacity| capacity.group == group);
        capacity.map_or(MAX_UNKNOWN_RELEASES, |capacity| capacity.slots)
    }

    fn release(&mut self, node: &NodeId, group: GroupKey, slots: u32, now: Moment) {
        self.queue.release(group, slots, now);
        if *node == self.own {
            let changes = self.own_changes.entry(group).or_default();
            changes.releases.extend((0..slots).map(|_| now));
        }
    }

    /// Returns the number of requests at a group, all of them as late as gossip reports them.
    ///
    /// `remote` is what other nodes report, and `running` the number of this node's own requests.
    pub fn reported_requests(&self, group: GroupKey, remote: u32, running: u32) -> u32 {
        let own = self.own_changes.get(&group);
        let own = own.map_or(running, |changes| changes.reported(running));
        remote.saturating_add(own)
    }

    /// Returns the number of requests at a group when slots were last granted; `None` if it was not known then.
    pub fn estimated(&self, group: GroupKey) -> Option<u32> {
        let mut capacities = self.capacities.iter();
        let capacity = capacities.find(|capacity| capacity.group == group)?;
        Some(self.queue.load_of(capacity))
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        for changes in self.own_changes.values_mut() {
            changes.expire(now);
        }
        self.own_changes.retain(|_, changes| !changes.is_empty());
        self.inboxes.retain(|_, inbox| inbox.is_current(now));
        for inbox in self.inboxes.values_mut() {
            inbox.expire(now);
        }
    }

    /// Grants free slots and delivers the decisions to the nodes.
    pub fn serve(&mut self, capacities: Vec<GroupCapacity>, now: Moment) -> DecisionCounts {
        let decision = self.queue.serve(&capacities, now);
        self.capacities = capacities;
        let counts = DecisionCounts {
            grants: decision.grants.len() as u32,
            refusals: decision.refusals.len() as u32,
        };
        self.decided.grants += counts.grants;
        self.decided.refusals += counts.refusals;
        self.deliver(decision, now);
        counts
    }

    fn deliver(&mut self, decision: QueueDecision, now: Moment) {
        for grant in decision.grants {
            if grant.node == self.own {
                let changes = self.own_changes.entry(grant.group).or_default();
                changes.grants.push(now);
            }
            if let Some(inbox) = self.inboxes.get_mut(&grant.node) {
                inbox.grant(grant.ticket, grant.group, now);
            }
        }
        for refusal in decision.refusals {
            if let Some(inbox) = self.inboxes.get_mut(&refusal.node) {
                inbox.refuse(refusal.ticket, refusal.available_in);
            }
        }
        for inbox in self.inboxes.values_mut() {
            inbox.deliver();
        }
    }

    /// Returns whether requests wait.
    pub fn is_waiting(&self) -> bool {
        self.queue.waiting() > 0
    }

    /// Returns whether nothing is kept of any node.
    pub fn is_idle(&self) -> bool {
        self.inboxes.is_empty() && !self.is_waiting() && !self.is_served
    }

    /// Sets whether a task serves the queue, and returns whether one did before.
    pub fn set_served(&mut self, is_served: bool) -> bool {
        std::mem::replace(&mut self.is_served, is_served)
    }

    /// Returns what wakes the task that serves the queue.
    pub fn wake(&self) -> &Arc<Notify> {
        &self.wake
    }

    /// Returns the state of the queue; decisions are counted from now on.
    pub fn take_summary(&mut self, now: Moment) -> QueueSummary {
        let decided = std::mem::take(&mut self.decided);
        QueueSummary {
            decided,
            ..self.summary(now)
        }
    }

    fn summary(&self, now: Moment) -> QueueSummary {
        let counts = self.queue.waiting_counts(now);
        let mut waiting = PriorityCounts::default();
        for (priority, count) in counts.waiting {
            waiting[usize::from(priority).min(PRIORITIES - 1)] += count as u32;
        }
        let free = self.capacities.iter();
        let free = free.map(|group| group.slots.saturating_sub(self.queue.load_of(group)));
        QueueSummary {
            waiting,
            oldest_wait: counts.oldest_wait,
            decided: self.decided,
            free_slots: free.sum(),
        }
    }

    /// Returns the queue's state for diagnostics.
    pub fn dump(&self, now: Moment) -> Value {
        let summary = self.summary(now);
        let groups = self.capacities.iter().map(|group| {
            json!({
                "group": group.group,
                "slots": group.slots,
                "active_requests": self.queue.load_of(group),
            })
        });
        json!({
            "nodes": self.inboxes.len(),
            "waiting": self.queue.waiting(),
            "by_priority": summary.waiting,
            "oldest_wait_ms": summary.oldest_wait.as_millis() as u64,
            "groups": groups.collect::<Vec<_>>(),
        })
    }
}
