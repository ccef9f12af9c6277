//! Logs when the node becomes ready, and why it is not.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_kernel::{Service, ServiceLink};
use serde_json::{json, Value};

use crate::readiness::{Readiness, ReadinessCondition};
use crate::shared::FleetShared;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval after which unchanged reasons are logged again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Name of the service.
pub const READINESS_SERVICE: &str = "readiness";

/// Message to [`ReadinessMonitor`].
pub enum ReadinessMessage {
    /// Check the conditions.
    Check,
}

/// Logs each change of the node's readiness, and the reasons again while it is not ready.
pub struct ReadinessMonitor {
    shared: Arc<FleetShared>,
    /// Conditions in the last line; `None` before the first one.
    logged: Option<Vec<ReadinessCondition>>,
    logged_at: Moment,
}

impl ReadinessMonitor {
    /// Creates a monitor that has logged nothing yet.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            logged: None,
            logged_at: Moment::ZERO,
        }
    }

    fn check(&mut self, now: Moment) {
        let readiness = self.shared.readiness();
        let conditions = readiness.conditions();
        let is_changed = self.logged.as_ref() != Some(&conditions);
        let is_repeat_due = !readiness.is_ready() && now >= self.logged_at + REPEAT_INTERVAL;
        if !is_changed && !is_repeat_due {
            return;
        }
        self.log(&readiness, now);
        self.logged = Some(conditions);
        self.logged_at = now;
    }

    fn log(&self, readiness: &Readiness, now: Moment) {
        let age = now.saturating_sub(self.shared.started_at);
        let age_ms = age.as_millis() as u64;
        if readiness.is_ready() {
            log::info!(age_ms = age_ms; "node_ready");
        } else {
            log::warn!(age_ms = age_ms, reason:% = readiness; "node_not_ready");
        }
    }
}

impl Service for ReadinessMonitor {
    type Message = ReadinessMessage;

    fn name(&self) -> &'static str {
        READINESS_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ReadinessMessage>) {
        link.send_after(CHECK_INTERVAL, ReadinessMessage::Check);
    }

    fn handle(&mut self, message: ReadinessMessage, link: &ServiceLink<ReadinessMessage>) {
        match message {
            ReadinessMessage::Check => {
                self.check(link.now());
                link.send_after(CHECK_INTERVAL, ReadinessMessage::Check);
            }
        }
    }

    fn dump(&self) -> Value {
        json!(self.shared.readiness().to_string())
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
