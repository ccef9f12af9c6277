//! Keeps the configuration and the zones under evacuation in sync with the store.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::evacuation::EvacuationUpdate;
use briarswitch_core::id::{ConfigVersion, Moment};
use briarswitch_core::traffic::TrafficConfig;
use briarswitch_kernel::{BootClock, Service, ServiceLink};
use serde_json::{json, Value};

use crate::ports::{ConfigUpdate, FeedMark, SourceError};
use crate::shared::FleetShared;
use crate::source_health::{retry_delay, SourceHealth};

/// Maximum wait of a long poll for a newer configuration.
///
/// A connection that fell silent is noticed after this time and the response time-out. That has to
/// happen within the three seconds after which every node must know a new version.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Age of the last confirmation above which a response with changes is followed by a request that
/// does not wait.
///
/// Keys are trusted for 4.75 s of their validity of five seconds; a long poll and its response take
/// up to two.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);
/// Name of the service that syncs the configuration.
pub const CONFIG_SERVICE: &str = "config";
/// The next request for the configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ConfigRequest {
    /// The newest configuration, without its history.
    #[default]
    Whole,
    /// Changes after a mark, as a long poll.
    Held(FeedMark),
    /// Changes after a mark without waiting, to find out whether there are more than those just
    /// received.
    AtOnce(FeedMark),
}

impl ConfigRequest {
    /// Returns the request that follows a response, where the configuration was last confirmed
    /// `age` ago.
    ///
    /// After a response with changes, another long poll shows soon enough whether there are more,
    /// unless the last confirmation is old. A second response with changes in a row means that
    /// there is a long history, of which only the last version matters: a node that read it in
    /// parts, with half a megabyte for each version in quick succession, took eight seconds.
    fn next(self, mark: FeedMark, is_newest: bool, age: Duration) -> Self {
        match self {
            _ if is_newest => Self::Held(mark),
            Self::Held(_) if age < MAX_CONFIRMATION_AGE => Self::Held(mark),
            Self::Held(_) => Self::AtOnce(mark),
            Self::AtOnce(_) | Self::Whole => Self::Whole,
        }
    }
}

/// Keeps the configuration in sync with the store.
pub struct ConfigSync {
    shared: Arc<FleetShared>,
    request: ConfigRequest,
    source_health: SourceHealth,
    /// Point in the store's history that the known evacuations reflect.
    evacuations_mark: FeedMark,
}

/// Message to [`ConfigSync`].
pub enum ConfigMessage {
    /// Poll the source.
    Poll,
    /// The source responded to a request sent at this moment, or failed.
    Polled(Moment, Result<ConfigUpdate, SourceError>),
}

impl ConfigSync {
    /// Creates a service that has no configuration yet.
    pub fn new(shared: Arc<FleetShared>) -> Self {
        Self {
            shared,
            request: ConfigRequest::default(),
            source_health: SourceHealth::default(),
            evacuations_mark: FeedMark::default(),
        }
    }

    fn poll(&self, link: &ServiceLink<ConfigMessage>) {
        let shared = Arc::clone(&self.shared);
        let (request, requested_at) = (self.request, link.now());
        let wait = self.source_health.max_wait(MAX_CONFIG_WAIT);
        link.spawn(async move {
            let config = &shared.platform.config;
            let (mark, wait) = match request {
                ConfigRequest::Whole => (None, Duration::ZERO),
                ConfigRequest::Held(mark) => (Some(mark), wait),
                ConfigRequest::AtOnce(mark) => (Some(mark), Duration::ZERO),
            };
            let response = shared.changes(config.table(), mark, wait).await;
            ConfigMessage::Polled(
                requested_at,
                response.and_then(|response| config.decode(&response)),
            )
        });
    }

    fn apply(&mut self, requested_at: Moment, update: ConfigUpdate) {
        let (mark, is_newest) = (update.mark, update.is_newest);
        if let Some(config) = update.config {
            self.apply_if_newer(*config);
        }
        self.apply_evacuations(update.evacuations, mark);
        if is_newest && self.shared.config.read().is_some() {
            self.shared
                .confirm_config(requested_at.saturating_sub(update.age));
        }
        self.request = self.request.next(mark, is_newest, self.shared.config_age());
    }

    /// Puts evacuations into effect, unless the response is older than one seen before.
    fn apply_evacuations(&mut self, update: EvacuationUpdate, mark: FeedMark) {
        let seen = self.evacuations_mark;
        if mark.era == seen.era && mark.version < seen.version {
            return;
        }
        self.evacuations_mark = mark;
        let before = self.shared.evacuated.load();
        let after = before.updated(update);
        if after == *before {
            return;
        }
        for zone in after.ended_in(&before) {
            log::info!(zone = zone.as_str(); "evacuation_begun");
        }
        for zone in before.ended_in(&after) {
            log::info!(zone = zone.as_str(); "evacuation_ended");
            self.shared.begin_warmup_in(zone, BootClock::now());
        }
        self.shared.evacuated.publish(after);
    }

    /// Returns the version of the configuration in effect.
    fn version(&self) -> Option<ConfigVersion> {
        let config = self.shared.config.read();
        config.as_ref().as_ref().map(|config| config.version)
    }

    /// Puts a configuration into effect if it is newer than the current one; responses may arrive
    /// out of order.
    fn apply_if_newer(&self, config: TrafficConfig) {
        let current = self.version();
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        log::info!(
            version = config.version,
            from = current.unwrap_or(0),
            hosts = config.hosts.len(),
            services = config.services.len();
            "config_adopted"
        );
        self.shared.metrics.set_config_version(config.version);
        self.shared.apply_config(config);
    }
}

impl Service for ConfigSync {
    type Message = ConfigMessage;

    fn name(&self) -> &'static str {
        CONFIG_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ConfigMessage>) {
        self.poll(link);
    }

    fn handle(&mut self, message: ConfigMessage, link: &ServiceLink<ConfigMessage>) {
        match message {
            ConfigMessage::Poll => self.poll(link),
            ConfigMessage::Polled(requested_at, Ok(update)) => {
                self.source_health.record(CONFIG_SERVICE, None, link.now());
                self.apply(requested_at, update);
                self.poll(link);
            }
            ConfigMessage::Polled(_, Err(error)) => {
                self.source_health
                    .record(CONFIG_SERVICE, Some(&error), link.now());
                if error == SourceError::HistoryGone {
                    self.request = ConfigRequest::Whole;
                    self.poll(link);
                } else {
                    if matches!(error, SourceError::Unreadable(_)) {
                        // A newer version may follow the one that can't be read.
                        self.request = ConfigRequest::Whole;
                    }
                    link.send_after(retry_delay(), ConfigMessage::Poll);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "version": self.version(),
            "evacuated_zones": self.shared.evacuated.load().zones(),
            "age_ms": self.shared.config_age().as_millis() as u64,
            "question": format!("{:?}", self.request),
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}
