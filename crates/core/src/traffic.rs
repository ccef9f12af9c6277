//! A whole configuration as one version: rules by host and path, services, and organisations.
//!
//! [`crate::config::VersionedConfig`] is edited one entity at a time; a [`TrafficConfig`] is accepted and
//! replaced as a whole, so a node holds either all of a version or nothing of it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::engine::EngineSpec;
use crate::id::{ConfigVersion, OrganisationId, ServiceId};

/// What may be repeated of a rule's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
}

/// How a rule's answers are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// One whole body.
    Whole,
    /// A stream of numbered events.
    Events {
        /// Whether another target can go on after the last event delivered.
        is_resumable: bool,
        /// Longest pause between events at which the answer is still on time.
        gap: Duration,
    },
}

/// One service's share of a rule's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitShare {
    /// Service that takes the share.
    pub service: ServiceId,
    /// Weight against the other shares of the rule.
    pub weight: u32,
}

/// What happens to the requests of one host below one path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficRule {
    /// Name for logs.
    pub name: String,
    /// Path that begins the request's path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatKind,
    /// How the answer is delivered.
    pub answer: AnswerKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers were promised.
    pub objective: Duration,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Services that take the requests.
    pub split: Vec<SplitShare>,
}

impl TrafficRule {
    /// Returns whether a target that failed may be followed by another although it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.answer {
            AnswerKind::Whole => self.repeat == RepeatKind::Idempotent,
            AnswerKind::Events { is_resumable, .. } => is_resumable,
        }
    }

    /// Returns the service for a draw; equal draws give equal services.
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
    let total: u32 = split.iter().map(|share| share.weight).sum();
    if total == 0 {
        return split.first();
    }
    let mut left = draw % total;
    split.iter().find(|share| {
        let is_here = left < share.weight;
        left = left.saturating_sub(share.weight);
        is_here
    })
}

/// One service and how its targets are spoken to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub id: ServiceId,
    /// Most connections one target takes from all callers together.
    pub max_connections: u32,
    /// Speeds and limits, where the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of headers.
    pub header_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Longest time to send the headers, and then the body.
    pub send_time: Duration,
    /// Longest time a connection may be idle.
    pub idle_time: Duration,
}

/// Who holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// Rank of its requests, which goes before the rule's.
    pub priority: Option<u8>,
}

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Version; later ones are higher.
    pub version: ConfigVersion,
    /// Rules by host, longest prefix first.
    pub hosts: IndexMap<String, Vec<TrafficRule>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Holders by key; `None` where callers need none.
    pub keys: Option<IndexMap<String, KeyHolder>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// Returns the rule with the longest prefix that begins the path.
    pub fn rule(&self, host: &str, path: &str) -> Option<&TrafficRule> {
        let rules = self.hosts.get(host)?;
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Returns who holds a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.as_ref()?.get(key)
    }
}
