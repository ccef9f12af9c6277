//! What the coordinator of a queue keeps of one node: its held message, and decisions that it has not been told.

use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, NodeRequests, Ticket, GRANT_TTL, NODE_TTL};
use tokio::sync::oneshot;

use crate::queue_doc::QueueReply;

/// Number of priorities that are told apart; lower ones count as the last.
pub const PRIORITIES: usize = 10;

/// Number of waiting requests by priority.
pub type PriorityCounts = [u32; PRIORITIES];

struct IssuedGrant {
    ticket: Ticket,
    at: Moment,
}

/// State of one node at the coordinator of a queue.
#[derive(Default)]
pub struct NodeInbox {
    incarnation: Incarnation,
    sequence: u64,
    updated_at: Moment,
    reply: Option<oneshot::Sender<QueueReply>>,
    undelivered: QueueReply,
    grants: Vec<IssuedGrant>,
    waiting: PriorityCounts,
    first_arrival: Option<Moment>,
}

impl NodeInbox {
    /// Takes a message's list of requests, and removes from it those that already have a slot.
    ///
    /// The node may have sent the message before it received that grant. If it has given the slot back, the request
    /// waits again. Returns whether the message is newer than those before.
    pub fn accept(
        &mut self,
        requests: &mut NodeRequests,
        returned: &[(Ticket, GroupKey)],
        now: Moment,
    ) -> bool {
        let version = (requests.incarnation, requests.sequence);
        if version <= (self.incarnation, self.sequence) {
            return false;
        }
        if requests.incarnation != self.incarnation {
            // Tickets of an earlier process mean nothing to this one.
            *self = Self::default();
        }
        (self.incarnation, self.sequence) = version;
        self.updated_at = now;
        self.expire(now);
        self.grants
            .retain(|grant| !returned.iter().any(|(ticket, _)| *ticket == grant.ticket));
        let grants = &self.grants;
        requests
            .requests
            .retain(|queued| !grants.iter().any(|grant| grant.ticket == queued.ticket));
        self.waiting = PriorityCounts::default();
        for queued in &requests.requests {
            let priority = usize::from(queued.request.priority).min(PRIORITIES - 1);
            self.waiting[priority] += 1;
        }
        let arrivals = requests
            .requests
            .iter()
            .map(|queued| queued.request.arrived);
        self.first_arrival = arrivals.min();
        true
    }

    /// Holds the newest message until there is a decision; the one before is completed without any.
    pub fn hold(&mut self) -> oneshot::Receiver<QueueReply> {
        let (reply, held) = oneshot::channel();
        self.reply = Some(reply);
        self.deliver();
        held
    }

    /// Returns whether a message is held.
    pub fn is_holding(&self) -> bool {
        self.reply.is_some()
    }

    /// Adds a grant.
    pub fn grant(&mut self, ticket: Ticket, group: GroupKey, now: Moment) {
        self.grants.push(IssuedGrant { ticket, at: now });
        self.undelivered.grants.push((ticket, group));
    }

    /// Adds a refusal.
    pub fn refuse(&mut self, ticket: Ticket, available_in: Option<Duration>) {
        self.undelivered.refusals.push((ticket, available_in));
    }

    /// Completes the held message if there are decisions; if none is held, the next one is completed at once.
    pub fn deliver(&mut self) {
        if self.undelivered.is_empty() {
            return;
        }
        if let Some(reply) = self.reply.take() {
            // The node may have abandoned the message.
            if let Err(undelivered) = reply.send(std::mem::take(&mut self.undelivered)) {
                self.undelivered = undelivered;
            }
        }
    }

    /// Drops grants that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.grants.retain(|grant| now < grant.at + GRANT_TTL);
        let grants = &self.grants;
        self.undelivered
            .grants
            .retain(|(ticket, _)| grants.iter().any(|grant| grant.ticket == *ticket));
    }

    /// Returns whether the node has sent a message recently.
    pub fn is_current(&self, now: Moment) -> bool {
        now < self.updated_at + NODE_TTL
    }

    /// Returns its waiting requests by priority, as it last reported them.
    pub fn waiting(&self) -> &PriorityCounts {
        &self.waiting
    }

    /// Returns when the first of its waiting requests arrived.
    pub fn first_arrival(&self) -> Option<Moment> {
        self.first_arrival
    }
}
