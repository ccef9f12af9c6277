//! Wire format of the messages between a node and the coordinator of a queue.
//!
//! The clocks of nodes are never compared, so messages carry durations instead of moments.

use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, NodeRequests, QueuedRequest, Ticket};
use briarswitch_core::waiting::WaitingRequest;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::queue_id::QueueId;

/// Path at which a node takes messages for the queues that it coordinates.
pub const QUEUE_PATH: &str = "/queue";

/// The requests of one node that wait in a queue, and the slots that have become free since its last message.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueUpdate {
    /// The queue.
    pub id: QueueId,
    /// All requests of the node that wait there.
    pub requests: NodeRequests,
    /// Number of slots that have become free, by group.
    pub releases: IndexMap<GroupKey, u32>,
    /// Grants that the node has not used; if such a request is listed, it waits again.
    pub returned: Vec<(Ticket, GroupKey)>,
}

/// The coordinator's reply to one node.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueReply {
    /// Requests that have got a slot, and the group that has it.
    pub grants: Vec<(Ticket, GroupKey)>,
    /// Requests that are refused, and the time until a slot can be expected, if known.
    pub refusals: Vec<(Ticket, Option<Duration>)>,
}

impl QueueReply {
    /// Returns whether nothing was decided.
    ///
    /// ```
    /// use briarswitch_fleet::queue_doc::QueueReply;
    ///
    /// assert!(QueueReply::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.refusals.is_empty()
    }
}

/// [`QueuedRequest`] on the wire: ticket, priority, milliseconds since its arrival, until it is late (negative: since
/// then) and until it is refused, whether it resumes a stream, whether its caller came back too early, organisation, tokens, excluded groups.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct RequestDoc(
    Ticket,
    u8,
    u64,
    i64,
    u64,
    bool,
    bool,
    OrganisationId,
    u64,
    Vec<GroupKey>,
);

/// [`QueueUpdate`] on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueueUpdateDoc {
    node: NodeId,
    incarnation: Incarnation,
    sequence: u64,
    service: ServiceId,
    model: ModelId,
    shard: Option<u32>,
    requests: Vec<RequestDoc>,
    releases: Vec<(GroupKey, u32)>,
    returned: Vec<(Ticket, GroupKey)>,
}

/// [`QueueReply`] on the wire.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct QueueReplyDoc {
    grants: Vec<(Ticket, GroupKey)>,
    refusals: Vec<(Ticket, Option<u64>)>,
}

impl From<(QueuedRequest, Moment)> for RequestDoc {
    /// Converts a request with the moments of this node's clock at `now`.
    fn from((queued, now): (QueuedRequest, Moment)) -> Self {
        let request = queued.request;
        let on_time_ms = if request.on_time_until >= now {
            millis(request.on_time_until - now) as i64
        } else {
            -(millis(now - request.on_time_until) as i64)
        };
        Self(
            queued.ticket,
            request.priority,
            millis(now.saturating_sub(request.arrived)),
            on_time_ms,
            millis(request.refuse_at.saturating_sub(now)),
            request.is_resumption,
            request.is_early_retry,
            queued.organisation,
            queued.tokens,
            queued.excluded,
        )
    }
}

impl RequestDoc {
    /// Converts the request to the moments of this node's clock, `now` at its receipt.
    fn into_queued(self, now: Moment) -> QueuedRequest {
        let Self(
            ticket,
            priority,
            waited_ms,
            on_time_ms,
            refuse_ms,
            is_resumption,
            is_early_retry,
            organisation,
            tokens,
            excluded,
        ) = self;
        let on_time = Duration::from_millis(on_time_ms.unsigned_abs());
        let on_time_until = if on_time_ms < 0 {
            now.saturating_sub(on_time)
        } else {
            now.saturating_add(on_time)
        };
        QueuedRequest {
            ticket,
            organisation,
            tokens,
            request: WaitingRequest {
                arrived: now.saturating_sub(Duration::from_millis(waited_ms)),
                on_time_until,
                refuse_at: now.saturating_add(Duration::from_millis(refuse_ms)),
                priority,
                is_resumption,
                is_early_retry,
            },
            excluded,
        }
    }
}

impl From<(QueueUpdate, Moment)> for QueueUpdateDoc {
    /// Converts an update with the moments of this node's clock at `now`.
    fn from((update, now): (QueueUpdate, Moment)) -> Self {
        let QueueUpdate {
            id,
            requests,
            releases,
            returned,
        } = update;
        let queued = requests.requests.into_iter();
        Self {
            node: requests.node,
            incarnation: requests.incarnation,
            sequence: requests.sequence,
            service: id.service,
            model: id.model,
            shard: id.shard,
            requests: queued.map(|queued| (queued, now).into()).collect(),
            releases: releases.into_iter().collect(),
            returned,
        }
    }
}

impl From<(QueueUpdateDoc, Moment)> for QueueUpdate {
    /// Converts an update to the moments of this node's clock, `now` at its receipt.
    fn from((doc, now): (QueueUpdateDoc, Moment)) -> Self {
        let requests = doc.requests.into_iter();
        Self {
            id: QueueId {
                service: doc.service,
                model: doc.model,
                shard: doc.shard,
            },
            requests: NodeRequests {
                node: doc.node,
                incarnation: doc.incarnation,
                sequence: doc.sequence,
                requests: requests.map(|request| request.into_queued(now)).collect(),
            },
            releases: doc.releases.into_iter().collect(),
            returned: doc.returned,
        }
    }
}

impl From<QueueReply> for QueueReplyDoc {
    fn from(reply: QueueReply) -> Self {
        let refusals = reply.refusals.into_iter();
        Self {
            grants: reply.grants,
            refusals: refusals
                .map(|(ticket, available_in)| (ticket, available_in.map(millis)))
                .collect(),
        }
    }
}

impl From<QueueReplyDoc> for QueueReply {
    fn from(doc: QueueReplyDoc) -> Self {
        let refusals = doc.refusals.into_iter();
        Self {
            grants: doc.grants,
            refusals: refusals
                .map(|(ticket, millis)| (ticket, millis.map(Duration::from_millis)))
                .collect(),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
