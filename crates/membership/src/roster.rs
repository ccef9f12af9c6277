//! The known nodes, and which of them are live.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::{Incarnation, Moment, NodeId};
use indexmap::IndexMap;

use crate::digest::Heartbeat;
use crate::node::NodeEntry;
use crate::rank::node_hash;

/// Time without a heartbeat after which a node no longer counts as live; several report intervals.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which a node that has just registered counts as live before its first heartbeat.
///
/// Without it, nodes that start together would each see no other until the first heartbeats arrive.
const PRESUMED_LIVE_TIME: Duration = Duration::from_millis(1_500);
/// Time for which no messages are sent to a node that did not respond.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Relative change of a node's request rate above which followers are informed.
///
/// Request rates determine how the slots of groups are divided among nodes. Counts over three seconds vary by a
/// quarter by chance.
const RELATIVE_RATE_STEP: f64 = 0.5;
/// Change of a node's request rate, in requests per second, up to which followers are not informed.
const MIN_RATE_STEP: f64 = 1.0;

/// One known node.
#[derive(Clone, Debug)]
pub struct RosterMember {
    /// Registered entry.
    pub entry: Arc<NodeEntry>,
    /// Hash of the node's name.
    pub hash: u64,
    /// When it was last heard, directly or by a node that reported it.
    pub last_heard: Option<Moment>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has recently received a response directly from the store.
    pub reads_store: bool,
    /// Whether it is partitioned from all targets.
    pub is_partitioned: bool,
    /// Requests that it receives per second.
    pub request_rate: f64,
    presumed_live_until: Moment,
    avoided_until: Moment,
    /// Until when messages are sent to it because another node reports it as live.
    hinted_until: Moment,
    /// Whether the followed hub reports it as live.
    is_live_at_hub: bool,
    published: PublishedState,
}

/// State of a node as last published to followers.
#[derive(Clone, Debug, Default)]
struct PublishedState {
    entry_version: u64,
    version: u64,
    is_live: bool,
    is_leaving: bool,
    reads_store: bool,
    is_partitioned: bool,
    request_rate: f64,
}

/// Version of a hub's roster, as held by a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RosterVersion {
    /// Incarnation of the hub that counts the versions.
    pub hub_incarnation: Incarnation,
    /// Number that rises with each published change.
    pub version: u64,
}

/// State of one node, as a hub sends it to its followers.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterStatus {
    /// Node that it describes.
    pub node: NodeId,
    /// Whether it is live.
    pub is_live: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has recently received a response directly from the store.
    pub reads_store: bool,
    /// Whether it is partitioned from all targets.
    pub is_partitioned: bool,
    /// Requests that it receives per second.
    pub request_rate: f64,
}

/// Changes of a hub's roster since the version that a follower has.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterDelta {
    /// Version that the follower has after it applied the changes.
    pub version: RosterVersion,
    /// Whether it has all nodes that the hub knows, not only changed ones.
    pub is_snapshot: bool,
    /// New and changed entries.
    pub entries: Vec<NodeEntry>,
    /// New and changed states.
    pub statuses: Vec<RosterStatus>,
}

impl RosterDelta {
    /// Returns one entry alone, which changes nothing about the version that a follower has.
    pub(crate) fn of_entry(entry: &NodeEntry, hub_incarnation: Incarnation) -> Self {
        let version = 0;
        Self {
            version: RosterVersion {
                hub_incarnation,
                version,
            },
            is_snapshot: false,
            entries: vec![entry.clone()],
            statuses: Vec::new(),
        }
    }
}

/// The known nodes by name, without this node.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: IndexMap<NodeId, RosterMember>,
    version: u64,
}

impl RosterMember {
    /// Returns whether the node was heard recently or has just registered, and is not leaving.
    pub fn is_live(&self, now: Moment) -> bool {
        let is_heard = self.last_heard.is_some_and(|at| now < at + MEMBER_TIMEOUT);
        !self.is_leaving && (is_heard || now < self.presumed_live_until)
    }

    /// Returns whether messages may be sent to the node.
    pub fn is_usable(&self, now: Moment) -> bool {
        let is_hinted = !self.is_leaving && now < self.hinted_until;
        (is_hinted || self.is_live(now)) && now >= self.avoided_until
    }

    fn needs_publishing(&self, now: Moment) -> bool {
        let step = (self.published.request_rate * RELATIVE_RATE_STEP).max(MIN_RATE_STEP);
        self.published.is_live != self.is_live(now)
            || self.published.is_leaving != self.is_leaving
            || self.published.reads_store != self.reads_store
            || self.published.is_partitioned != self.is_partitioned
            || (self.published.request_rate - self.request_rate).abs() > step
    }
}

impl Roster {
    /// Returns the nodes by name.
    pub fn members(&self) -> &IndexMap<NodeId, RosterMember> {
        &self.members
    }

    /// Returns the version, which rises with every change that is published to followers.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Counts a change of this node's own state as a new version.
    pub(crate) fn advance(&mut self) {
        self.version += 1;
    }

    /// Adds or replaces a node's entry; returns whether anything changed.
    ///
    /// An entry of an earlier incarnation, which may be read late, is ignored.
    pub(crate) fn add_node(&mut self, entry: &NodeEntry, now: Moment) -> bool {
        if let Some(held) = self.members.get(&entry.node) {
            if *held.entry == *entry || held.entry.incarnation > entry.incarnation {
                return false;
            }
        }
        self.version += 1;
        let published = PublishedState {
            entry_version: self.version,
            version: self.version,
            is_live: true,
            ..PublishedState::default()
        };
        let member = RosterMember {
            hash: node_hash(&entry.node),
            entry: Arc::new(entry.clone()),
            last_heard: None,
            is_leaving: false,
            reads_store: false,
            is_partitioned: false,
            request_rate: 0.0,
            presumed_live_until: now + PRESUMED_LIVE_TIME,
            avoided_until: Moment::ZERO,
            hinted_until: Moment::ZERO,
            is_live_at_hub: false,
            published,
        };
        self.members.insert(entry.node.clone(), member);
        true
    }

    fn add_nodes(&mut self, entries: &[NodeEntry], own: &str, now: Moment) {
        for entry in entries.iter().filter(|entry| entry.node != own) {
            self.add_node(entry, now);
        }
    }

    /// Returns whether a heartbeat is of an earlier incarnation than the held one.
    pub(crate) fn is_outnumbered(&self, heartbeat: &Heartbeat) -> bool {
        let held = self.members.get(&heartbeat.node);
        held.is_some_and(|member| heartbeat.incarnation < member.entry.incarnation)
    }

    /// Records that a node was heard at `at`; returns whether it had timed out or was never heard before.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: &Heartbeat, at: Moment) -> bool {
        let Some(member) = self.members.get_mut(&heartbeat.node) else {
            return false;
        };
        let is_old = member.last_heard.is_some_and(|heard| heard > at);
        if is_old || heartbeat.incarnation < member.entry.incarnation {
            return false;
        }
        let had_timed_out = member
            .last_heard
            .is_none_or(|heard| heard + MEMBER_TIMEOUT < at);
        member.last_heard = Some(at);
        member.is_leaving = heartbeat.is_leaving;
        member.reads_store = heartbeat.reads_store;
        member.is_partitioned = heartbeat.is_partitioned;
        member.request_rate = heartbeat.request_rate;
        had_timed_out
    }

    /// Records that a node responded; it is no longer avoided.
    pub(crate) fn record_response(&mut self, node: &str) {
        if let Some(member) = self.members.get_mut(node) {
            member.avoided_until = Moment::ZERO;
        }
    }

    /// Records that a node did not respond: it is avoided, and no longer presumed to be live.
    pub(crate) fn record_failure(&mut self, node: &str, now: Moment) {
        if let Some(member) = self.members.get_mut(node) {
            member.avoided_until = now + AVOID_TIME;
            member.presumed_live_until = Moment::ZERO;
            member.hinted_until = Moment::ZERO;
        }
    }

    /// Publishes the changes since the last call under new versions.
    pub(crate) fn refresh(&mut self, now: Moment) {
        for member in self.members.values_mut() {
            if member.needs_publishing(now) {
                self.version += 1;
                member.published.version = self.version;
                member.published.is_live = member.is_live(now);
                member.published.is_leaving = member.is_leaving;
                member.published.reads_store = member.reads_store;
                member.published.is_partitioned = member.is_partitioned;
                member.published.request_rate = member.request_rate;
            }
        }
    }

    /// Returns the changes since `since`; a snapshot if that is `None` or of another incarnation of the hub.
    pub(crate) fn delta(&self, since: Option<RosterVersion>, hub: Incarnation) -> RosterDelta {
        let held =
            since.filter(|since| since.hub_incarnation == hub && since.version <= self.version);
        let since = held.map_or(0, |held| held.version);
        let members = self.members.values();
        let entries = members.clone();
        let entries = entries.filter(|member| member.published.entry_version > since);
        let statuses = members.filter(|member| member.published.version > since);
        RosterDelta {
            version: RosterVersion {
                hub_incarnation: hub,
                version: self.version,
            },
            is_snapshot: held.is_none(),
            entries: entries.map(|member| (*member.entry).clone()).collect(),
            statuses: statuses
                .map(|member| RosterStatus {
                    node: member.entry.node.clone(),
                    is_live: member.published.is_live,
                    is_leaving: member.published.is_leaving,
                    reads_store: member.published.reads_store,
                    is_partitioned: member.published.is_partitioned,
                    request_rate: member.published.request_rate,
                })
                .collect(),
        }
    }

    /// Applies the changes that the followed hub sent.
    pub(crate) fn apply(&mut self, delta: &RosterDelta, own: &str, now: Moment) {
        self.add_nodes(&delta.entries, own, now);
        if delta.is_snapshot {
            for member in self.members.values_mut() {
                member.is_live_at_hub = false;
            }
        }
        for status in &delta.statuses {
            let Some(member) = self.members.get_mut(&status.node) else {
                continue;
            };
            member.is_live_at_hub = status.is_live;
            member.is_leaving = status.is_leaving;
            member.reads_store = status.reads_store;
            member.is_partitioned = status.is_partitioned;
            member.request_rate = status.request_rate;
            if !status.is_live {
                // The hub has already waited for the timeout; waiting again here would double the time until a lost
                // node is noticed.
                member.last_heard = None;
                member.presumed_live_until = Moment::ZERO;
            }
        }
    }

    /// Applies the roster of a node that is not the followed hub: messages may be sent to the nodes that it
    /// reports as live, but they do not count as live.
    ///
    /// Its information may be seconds old. If they counted as live and were reported on, two halves of a fleet
    /// would keep lost nodes alive for ever by reporting them to each other.
    pub(crate) fn apply_hints(&mut self, delta: &RosterDelta, own: &str, now: Moment) {
        self.add_nodes(&delta.entries, own, now);
        for status in delta.statuses.iter().filter(|status| status.is_live) {
            if let Some(member) = self.members.get_mut(&status.node) {
                member.hinted_until = now + PRESUMED_LIVE_TIME;
            }
        }
    }

    /// Records every node that the followed hub reports as live as heard at `at`.
    pub(crate) fn confirm_live(&mut self, at: Moment) {
        for member in self.members.values_mut().filter(|held| held.is_live_at_hub) {
            member.last_heard = member.last_heard.max(Some(at));
        }
    }
}
