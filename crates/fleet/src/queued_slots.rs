//! The requests of a [`TargetSelector`] that wait in the queues of all nodes, and the slots that they are granted.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::*;
use briarswitch_core::shared_queue::{GroupKey, QueuedRequest, Ticket};
use briarswitch_kernel::BootClock;

use crate::queue_id::QueueId;
use crate::routing_table::RouteTarget;
use crate::slot_queue::{GrantResult, QueueKey, SlotRequest};
use crate::target_selector::{routes_of, TargetSelector};

impl TargetSelector {
    /// Returns the requests that wait in a queue of all nodes: those for which `is_listed` is true.
    pub fn queued_requests(
        &self,
        key: &QueueKey,
        id: &QueueId,
        is_listed: impl Fn(Ticket) -> bool,
        unusable: &[GroupKey],
        now: Moment,
    ) -> Vec<QueuedRequest> {
        let mut queued = Vec::new();
        self.queue.for_each(key, |ticket, slot_request, request| {
            if is_listed(ticket) {
                queued.push((ticket, slot_request.clone(), *request));
            }
        });
        if queued.is_empty() {
            return Vec::new();
        }
        let table = self.shared.routing_table.load();
        let config = self.shared.config.load();
        let services = config.as_ref().as_ref().map(|config| &config.services);
        let spec = services.and_then(|services| services.get(&key.0));
        let evacuated = self.shared.evacuated.read();
        let groups = routes_of(&table, key);
        let of_queue = groups
            .iter()
            .filter(|group| id.serves(group.gauge.key(), groups.len()));
        let of_queue: Vec<(&Arc<RouteTarget>, bool)> = of_queue
            .map(|group| {
                let is_barred = unusable.contains(&group.gauge.key())
                    || group.gauge.is_suspect(now)
                    || self.restriction(spec, group, now).is_some();
                (group, is_barred)
            })
            .collect();
        let queued = queued.into_iter().map(|(ticket, slot_request, request)| {
            let excluded = of_queue.iter().filter(|(group, is_barred)| {
                *is_barred
                    || slot_request.tried.contains(&group.id)
                    || !self.is_permitted(&slot_request, group, &evacuated)
            });
            QueuedRequest {
                ticket,
                excluded: excluded.map(|(group, _)| group.gauge.key()).collect(),
                tokens: slot_request.prompt_tokens + slot_request.max_tokens,
                organisation: slot_request.organisation,
                request,
            }
        });
        queued.collect()
    }

    /// Reserves the slot that a coordinator granted to a waiting request.
    pub fn use_grant(
        &self,
        key: &QueueKey,
        ticket: Ticket,
        group: GroupKey,
        granted_by: &NodeId,
    ) -> GrantResult {
        let reserve = |slot_request: &SlotRequest| {
            let acquired = self.try_acquire(slot_request, Some(group), BootClock::now())?;
            Some((acquired.target, acquired.slot))
        };
        self.queue.grant(key, ticket, granted_by, reserve)
    }

    /// Refuses a waiting request.
    pub fn refuse(&self, key: &QueueKey, ticket: Ticket, available_in: Option<Duration>) {
        self.queue.refuse(key, ticket, available_in);
    }
}
