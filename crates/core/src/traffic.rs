//! A complete configuration under one version: rules by host and path, services, and keys.
//!
//! [`crate::config::VersionedConfig`] is edited one entity at a time. A [`TrafficConfig`] is
//! accepted and replaced as a whole, so a node never mixes two versions.

use std::time::Duration;

use indexmap::IndexMap;

use crate::engine::EngineSpec;
use crate::id::{ConfigVersion, OrganisationId, ServiceId};
use crate::residency::AllowedRegions;
use crate::warmup::WarmupSpec;

/// Whether a rule's requests may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
}

/// How responses to a rule's requests are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// A single body.
    Whole,
    /// A stream of numbered events.
    Events {
        /// Whether another target can continue the stream after the last delivered event.
        is_resumable: bool,
        /// Maximum time between two events for the response to count as on time.
        gap: Duration,
    },
}

/// One service's share of a rule's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitShare {
    /// Service that takes the share.
    pub service: ServiceId,
    /// Weight relative to the other shares of the rule.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficRule {
    /// Name used in logs.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub repeat: RepeatKind,
    /// How the response is delivered.
    pub answer: AnswerKind,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Latency objective: time to the response or to its first event.
    pub objective: Duration,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Maximum number of targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Regions in which the requests may be processed.
    pub allowed_regions: AllowedRegions,
    /// Services among which the requests are split.
    pub split: Vec<SplitShare>,
}

impl TrafficRule {
    /// Returns whether a request may be sent to another target after one that may have executed it
    /// failed.
    pub fn is_repeatable(&self) -> bool {
        match self.answer {
            AnswerKind::Whole => self.repeat == RepeatKind::Idempotent,
            AnswerKind::Events { is_resumable, .. } => is_resumable,
        }
    }

    /// Returns the service for a draw; equal draws yield the same service.
    ///
    /// ```
    /// use briarswitch_core::traffic::{pick_share, SplitShare};
    ///
    /// let share = |service: &str, weight| SplitShare { service: service.into(), weight };
    /// let split = [share("old", 90), share("new", 10)];
    /// assert_eq!(pick_share(&split, 89).unwrap().service, "old");
    /// assert_eq!(pick_share(&split, 90).unwrap().service, "new");
    /// ```
    pub fn service(&self, draw: u32) -> Option<&ServiceId> {
        pick_share(&self.split, draw).map(|share| &share.service)
    }
}

/// Returns the share that a draw falls into.
pub fn pick_share(split: &[SplitShare], draw: u32) -> Option<&SplitShare> {
    let weights = split.iter().map(|share| u64::from(share.weight));
    let total: u64 = weights.sum();
    if total == 0 {
        return split.first();
    }
    let mut remaining = u64::from(draw) % total;
    split.iter().find(|share| {
        let weight = u64::from(share.weight);
        let is_here = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        is_here
    })
}

/// A service and how to communicate with its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub id: ServiceId,
    /// Maximum number of connections to one target, over all callers.
    pub max_connections: u32,
    /// How its targets warm up after a start.
    pub warmup: WarmupSpec,
    /// Speeds and limits of the engine, if the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum time to send the headers, and again to send the body.
    pub send_time: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_time: Duration,
}

/// The holder of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// Priority of its requests, which overrides the rule's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be processed, in addition to the rule's condition.
    pub allowed_regions: AllowedRegions,
}

/// One version of the complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Version; increases with every change.
    pub version: ConfigVersion,
    /// Rules by host, longest path prefix first.
    pub hosts: IndexMap<String, Vec<TrafficRule>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Holders by key; `None` if callers need no key.
    pub keys: Option<IndexMap<String, KeyHolder>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// Returns the rule with the longest prefix of the path.
    pub fn rule(&self, host: &str, path: &str) -> Option<&TrafficRule> {
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Returns the holder of a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.as_ref()?.get(key)
    }
}
