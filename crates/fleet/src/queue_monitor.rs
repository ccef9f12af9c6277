//! Logs the queues that this node coordinates, and shows them to operators.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_kernel::{Service, ServiceLink};
use serde_json::Value;

use crate::coordinated_queue::{PriorityCounts, QueueSummary};
use crate::queue_coordinator::QueueCoordinator;
use crate::queue_id::QueueId;
use crate::shared::FleetShared;

/// Interval between two log lines of a queue.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the service.
pub const QUEUE_SERVICE: &str = "queues";

/// Message to [`QueueMonitor`].
pub enum QueueMonitorMessage {
    /// Log the queues.
    Tick,
}

/// Watches the queues that this node coordinates.
pub struct QueueMonitor {
    shared: Arc<FleetShared>,
    coordinator: Arc<QueueCoordinator>,
}

impl QueueMonitor {
    /// Creates a monitor of the coordinator's queues.
    pub fn new(shared: Arc<FleetShared>, coordinator: Arc<QueueCoordinator>) -> Self {
        Self {
            shared,
            coordinator,
        }
    }

    fn log(&self, id: &QueueId, summary: &QueueSummary) {
        let waiting = summary.waiting.iter().enumerate();
        let waiting = waiting.filter(|(_, count)| **count > 0);
        let waiting: Vec<String> = waiting
            .map(|(priority, count)| format!("{priority}:{count}"))
            .collect();
        let waiting = waiting.join(",");
        log::info!(
            service = id.service.as_str(),
            model = id.model.as_str(),
            shard = id.shard.map_or(-1, i64::from),
            waiting = waiting.as_str(),
            oldest_ms = summary.oldest_wait.as_millis() as u64,
            grants = summary.decided.grants,
            refusals = summary.decided.refusals,
            free_slots = summary.free_slots;
            "queue_coordinated"
        );
    }
}

impl Service for QueueMonitor {
    type Message = QueueMonitorMessage;

    fn name(&self) -> &'static str {
        QUEUE_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<QueueMonitorMessage>) {
        if self.shared.settings.load_control.shares_queue {
            link.send_after(LOG_INTERVAL, QueueMonitorMessage::Tick);
        }
    }

    fn handle(
        &mut self,
        QueueMonitorMessage::Tick: QueueMonitorMessage,
        link: &ServiceLink<QueueMonitorMessage>,
    ) {
        let mut waiting = PriorityCounts::default();
        for (id, summary) in self.coordinator.summarise(link.now()) {
            for (sum, count) in waiting.iter_mut().zip(summary.waiting) {
                *sum += count;
            }
            if summary.waiting.iter().any(|count| *count > 0) || summary.decided.grants > 0 {
                self.log(&id, &summary);
            }
        }
        self.shared.metrics.set_queue_waiting(waiting);
        link.send_after(LOG_INTERVAL, QueueMonitorMessage::Tick);
    }

    fn dump(&self) -> Value {
        self.coordinator.dump()
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared), Arc::clone(&self.coordinator))
    }
}
