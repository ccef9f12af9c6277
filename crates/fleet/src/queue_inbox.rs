//! What the coordinator of a queue keeps of one node: its held message, and decisions that it has not been told.

use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, Ticket, GRANT_TTL, NODE_TTL};
use tokio::sync::oneshot;

use crate::queue_doc::QueueReply;

/// A grant that the node has not been told.
#[derive(Clone, Copy)]
struct UndeliveredGrant {
    ticket: Ticket,
    group: GroupKey,
    granted_at: Moment,
}

/// State of one node at the coordinator of a queue.
#[derive(Default)]
pub struct NodeInbox {
    incarnation: Incarnation,
    updated_at: Moment,
    reply: Option<oneshot::Sender<QueueReply>>,
    grants: Vec<UndeliveredGrant>,
    refusals: Vec<(Ticket, Option<Duration>)>,
}

impl NodeInbox {
    /// Holds a message until there is a decision; the one before is completed without any.
    pub fn hold(&mut self, incarnation: Incarnation, now: Moment) -> oneshot::Receiver<QueueReply> {
        if incarnation != self.incarnation {
            // Tickets of an earlier process mean nothing to this one.
            *self = Self::default();
            self.incarnation = incarnation;
        }
        self.updated_at = now;
        self.expire(now);
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
        self.grants.push(UndeliveredGrant {
            ticket,
            group,
            granted_at: now,
        });
    }

    /// Adds a refusal.
    pub fn refuse(&mut self, ticket: Ticket, available_in: Option<Duration>) {
        self.refusals.push((ticket, available_in));
    }

    /// Completes the held message if there are decisions; if none is held, the next one is completed at once.
    pub fn deliver(&mut self) {
        let grants = self.grants.iter().map(|grant| (grant.ticket, grant.group));
        let decisions = QueueReply {
            grants: grants.collect(),
            refusals: self.refusals.clone(),
        };
        if decisions.is_empty() {
            return;
        }
        let sent = self.reply.take().map(|reply| reply.send(decisions));
        // The node may have abandoned the message.
        if sent.is_some_and(|sent| sent.is_ok()) {
            self.grants.clear();
            self.refusals.clear();
        }
    }

    /// Drops grants that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.grants
            .retain(|grant| now < grant.granted_at + GRANT_TTL);
    }

    /// Returns whether the node has sent a message recently.
    pub fn is_current(&self, now: Moment) -> bool {
        now < self.updated_at + NODE_TTL
    }
}
