//! Sends orders to targets and handles their results, within the loads that may begin.

use std::sync::Arc;

use briarswitch_core::assembly::TargetStatus;
use briarswitch_core::id::*;
use briarswitch_core::order::{OrderResult, TargetAction, TargetOrder};
use briarswitch_core::target::MembershipState;
use briarswitch_kernel::{BootClock, ServiceLink};
use indexmap::IndexMap;

use crate::costs::CostKind;
use crate::order_sender::deliver;

use super::{ControllerMessage, GroupController};

impl GroupController {
    /// Returns how many loads from the weight store may begin in this round.
    pub(super) fn load_budget(&mut self, now: Moment) -> usize {
        if self.is_first_start() {
            // Before the first request, nothing else needs the weight store.
            return usize::MAX;
        }
        self.loads.available(now)
    }

    /// Asks the coordinator for the loads that were missing in this round.
    pub(super) fn request_loads(&mut self, now: Moment, link: &ServiceLink<ControllerMessage>) {
        let Some(request) = self.loads.take_request(now) else {
            return;
        };
        let client = Arc::clone(&self.load_client);
        link.spawn(async move {
            let response = client.request(&request).await;
            ControllerMessage::LoadsAnswered {
                request,
                response,
                sent: now,
            }
        });
    }

    /// Returns the model whose weights a target has to load to carry out an order, if any.
    pub(super) fn loaded_model(&self, order: &TargetOrder) -> Option<ModelId> {
        let tracked = self.tracker.targets().get(&order.target)?;
        match &order.action {
            TargetAction::Join { model, .. } | TargetAction::Stage { model } => {
                (!tracked.facts.staged.contains(model)).then(|| model.clone())
            }
            _ => None,
        }
    }

    /// Publishes the number of loads in progress in this node's domains, by model.
    pub(super) fn publish_loading(&self) {
        let mut loading: IndexMap<ModelId, u32> = IndexMap::new();
        let tracked = self.tracker.targets().values();
        let live = tracked.filter(|tracked| tracked.facts.status != TargetStatus::Silent);
        for tracked in live {
            let facts = &tracked.facts;
            let membership = facts.membership.as_ref();
            let is_joining =
                membership.is_some_and(|membership| membership.state == MembershipState::Joining);
            let joined = facts.model.as_ref().filter(|_| is_joining);
            let model = joined.or(self.loading_models.get(&tracked.record.id));
            if let Some(model) = model.filter(|model| !facts.staged.contains(*model)) {
                *loading.entry(model.clone()).or_insert(0) += 1;
            }
        }
        self.shared.active_loads.publish(loading);
    }

    pub(super) fn send_order(&mut self, order: TargetOrder, link: &ServiceLink<ControllerMessage>) {
        let Some(tracked) = self.tracker.targets().get(&order.target) else {
            return;
        };
        let address = tracked.record.address.clone();
        if let Some(model) = self.loaded_model(&order) {
            self.loads.spend(1);
            self.loading_models.insert(order.target.clone(), model);
        }
        log::info!(
            target_id = order.target.as_str(),
            order = order.action.name(),
            group = order.action.group().map_or("", String::as_str),
            expected = order.expected,
            reason = order.reason;
            "order_sent"
        );
        self.shared.costs.count(CostKind::OrderSent);
        let shared = Arc::clone(&self.shared);
        link.spawn(async move {
            let sent = BootClock::now();
            let targets = shared.platform.targets.as_ref();
            let result = deliver(targets, &order, &address).await;
            ControllerMessage::OrderAnswered {
                order,
                result,
                sent,
            }
        });
    }

    pub(super) fn handle_order_result(
        &mut self,
        order: &TargetOrder,
        result: OrderResult,
        sent: Moment,
        now: Moment,
    ) {
        let name = result_name(result);
        self.shared.metrics.count_order(order.action.name(), name);
        log::info!(
            target_id = order.target.as_str(),
            order = order.action.name(),
            group = order.action.group().map_or("", String::as_str),
            result = name,
            ms = now.saturating_sub(sent).as_millis() as u64;
            "order_answered"
        );
        if result != OrderResult::Begun {
            self.loading_models.swap_remove(&order.target);
        }
        self.tracker.record_order_result(order, result, now);
        for reconciler in self.reconcilers.values_mut() {
            reconciler.note_result(&order.target, result);
        }
    }
}

fn result_name(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Begun => "begun",
        OrderResult::Held => "held",
        OrderResult::Conflict => "conflict",
        OrderResult::OtherIncarnation => "gone",
        OrderResult::Refused => "refused",
        OrderResult::Lost => "lost",
    }
}
