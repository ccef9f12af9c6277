//! The nodes that are known, and which of them live.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::{Incarnation, Moment, NodeId};
use indexmap::IndexMap;

use crate::digest::Heartbeat;
use crate::node::NodeEntry;
use crate::rank::node_hash;

/// Silence after which a node counts as gone; several intervals of its reports.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which a node that has just registered counts as live without having been heard.
///
/// Until they are heard, nodes that start together would each see themselves alone.
const PRESUMED_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a node that did not answer is not chosen for anything.
const AVOIDED_TIME: Duration = Duration::from_secs(1);
/// Part by which a node's arrivals must change to be told anew.
///
/// They divide the places of groups among nodes. Counts over three seconds vary by a quarter by chance.
const ARRIVALS_STEP: f64 = 0.5;
/// Requests in a second by which a node's arrivals must change to be told anew.
const LEAST_STEP: f64 = 1.0;

/// One node.
#[derive(Clone, Debug)]
pub struct RosterMember {
    /// Its entry.
    pub entry: Arc<NodeEntry>,
    /// Hash of its name.
    pub hash: u64,
    /// When it was last heard, by this node or by one that told of it.
    pub last_heard: Option<Moment>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has lately been answered by the store itself.
    pub reads_store: bool,
    /// Requests that it sees in a second.
    pub request_rate: f64,
    presumed_live_until: Moment,
    avoided_until: Moment,
    /// Until when it is asked because another node holds it for live.
    hinted_until: Moment,
    /// Whether the hub that this node follows holds it for live.
    is_live_at_hub: bool,
    published: PublishedState,
}

/// What was last told of a node.
#[derive(Clone, Debug, Default)]
struct PublishedState {
    entry_version: u64,
    version: u64,
    is_live: bool,
    is_leaving: bool,
    reads_store: bool,
    request_rate: f64,
}

/// State of the roster that a follower holds: the hub's life and the version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RosterVersion {
    /// Life of the hub that counts the versions.
    pub hub_incarnation: Incarnation,
    /// Version.
    pub version: u64,
}

/// State of one node, as a hub tells its followers.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterStatus {
    /// Node.
    pub node: NodeId,
    /// Whether it lives.
    pub is_live: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has lately been answered by the store itself.
    pub reads_store: bool,
    /// Requests that it sees in a second.
    pub request_rate: f64,
}

/// What has changed in a hub's roster since a follower's mark.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterDelta {
    /// What the follower holds afterwards.
    pub version: RosterVersion,
    /// Whether it is all that the hub knows.
    pub is_snapshot: bool,
    /// Entries that are new or have changed.
    pub entries: Vec<NodeEntry>,
    /// States that are new or have changed.
    pub statuses: Vec<RosterStatus>,
}

/// The nodes by name, this one not included.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: IndexMap<NodeId, RosterMember>,
    version: u64,
}

impl RosterMember {
    /// Returns whether the node was heard lately, or has just registered, and stays.
    pub fn is_live(&self, now: Moment) -> bool {
        let is_heard = self.last_heard.is_some_and(|at| now < at + MEMBER_TIMEOUT);
        !self.is_leaving && (is_heard || now < self.presumed_live_until)
    }

    /// Returns whether the node may be chosen to answer something.
    pub fn is_usable(&self, now: Moment) -> bool {
        let is_hinted = !self.is_leaving && now < self.hinted_until;
        (is_hinted || self.is_live(now)) && now >= self.avoided_until
    }

    fn needs_publishing(&self, now: Moment) -> bool {
        let step = (self.published.request_rate * ARRIVALS_STEP).max(LEAST_STEP);
        self.published.is_live != self.is_live(now)
            || self.published.is_leaving != self.is_leaving
            || self.published.reads_store != self.reads_store
            || (self.published.request_rate - self.request_rate).abs() > step
    }
}

impl Roster {
    /// Returns the nodes by name.
    pub fn members(&self) -> &IndexMap<NodeId, RosterMember> {
        &self.members
    }

    /// Returns the version, which rises with every change that followers are told of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in a node's entry; returns whether it is news.
    ///
    /// An entry of an earlier life of the node, which may be read late, changes nothing.
    pub(crate) fn add_node(&mut self, entry: &NodeEntry, now: Moment) -> bool {
        if let Some(held) = self.members.get(&entry.node) {
            if *held.entry == *entry || held.entry.incarnation > entry.incarnation {
                return false;
            }
        }
        self.version += 1;
        let told = PublishedState {
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
            request_rate: 0.0,
            presumed_live_until: now + PRESUMED_TIME,
            avoided_until: Moment::ZERO,
            hinted_until: Moment::ZERO,
            is_live_at_hub: false,
            published: told,
        };
        self.members.insert(entry.node.clone(), member);
        true
    }

    fn add_nodes(&mut self, entries: &[NodeEntry], own: &str, now: Moment) {
        for entry in entries.iter().filter(|entry| entry.node != own) {
            self.add_node(entry, now);
        }
    }

    /// Takes in a sign of life from a moment; returns whether the node had been lost or never heard.
    pub(crate) fn record_heartbeat(&mut self, sign: &Heartbeat, at: Moment) -> bool {
        let Some(member) = self.members.get_mut(&sign.node) else {
            return false;
        };
        let is_old = member.last_heard.is_some_and(|heard| heard > at);
        if is_old || sign.incarnation < member.entry.incarnation {
            return false;
        }
        let was_lost = member
            .last_heard
            .is_none_or(|heard| heard + MEMBER_TIMEOUT < at);
        member.last_heard = Some(at);
        member.is_leaving = sign.is_leaving;
        member.reads_store = sign.reads_store;
        member.request_rate = sign.request_rate;
        was_lost
    }

    /// Notes that a node answered, whoever doubted it before.
    pub(crate) fn record_response(&mut self, node: &str) {
        if let Some(member) = self.members.get_mut(node) {
            member.avoided_until = Moment::ZERO;
        }
    }

    /// Notes that a node did not answer: it is avoided, and no longer presumed to live.
    pub(crate) fn record_failure(&mut self, node: &str, now: Moment) {
        if let Some(member) = self.members.get_mut(node) {
            member.avoided_until = now + AVOIDED_TIME;
            member.presumed_live_until = Moment::ZERO;
            member.hinted_until = Moment::ZERO;
        }
    }

    /// Notes what has changed since followers were last told.
    pub(crate) fn refresh(&mut self, now: Moment) {
        for member in self.members.values_mut() {
            if member.needs_publishing(now) {
                self.version += 1;
                member.published.version = self.version;
                member.published.is_live = member.is_live(now);
                member.published.is_leaving = member.is_leaving;
                member.published.reads_store = member.reads_store;
                member.published.request_rate = member.request_rate;
            }
        }
    }

    /// Returns what a follower lacks that holds `mark`; all there is where that is of another life.
    pub(crate) fn delta(&self, mark: Option<RosterVersion>, hub: Incarnation) -> RosterDelta {
        let held = mark.filter(|mark| mark.hub_incarnation == hub && mark.version <= self.version);
        let since = held.map_or(0, |mark| mark.version);
        let members = self.members.values();
        let entries = members.clone();
        let entries = entries.filter(|member| member.published.entry_version > since);
        let signs = members.filter(|member| member.published.version > since);
        RosterDelta {
            version: RosterVersion {
                hub_incarnation: hub,
                version: self.version,
            },
            is_snapshot: held.is_none(),
            entries: entries.map(|member| (*member.entry).clone()).collect(),
            statuses: signs
                .map(|member| RosterStatus {
                    node: member.entry.node.clone(),
                    is_live: member.published.is_live,
                    is_leaving: member.published.is_leaving,
                    reads_store: member.published.reads_store,
                    request_rate: member.published.request_rate,
                })
                .collect(),
        }
    }

    /// Takes in what another node's roster tells.
    pub(crate) fn apply(&mut self, delta: &RosterDelta, own: &str, now: Moment) {
        self.add_nodes(&delta.entries, own, now);
        if delta.is_snapshot {
            for member in self.members.values_mut() {
                member.is_live_at_hub = false;
            }
        }
        for sign in &delta.statuses {
            let Some(member) = self.members.get_mut(&sign.node) else {
                continue;
            };
            member.is_live_at_hub = sign.is_live;
            member.is_leaving = sign.is_leaving;
            member.reads_store = sign.reads_store;
            member.request_rate = sign.request_rate;
            if !sign.is_live {
                // The hub has waited long enough; waiting again here doubled the time until a node was missed.
                member.last_heard = None;
                member.presumed_live_until = Moment::ZERO;
            }
        }
    }

    /// Takes in whom a node that is not followed holds for live: these are asked, and not held for live.
    ///
    /// What it believes may be seconds old. Held for live on its word alone and told on, nodes that are gone
    /// were kept alive for good by two halves of a fleet that told each other of them.
    pub(crate) fn apply_hints(&mut self, delta: &RosterDelta, own: &str, now: Moment) {
        self.add_nodes(&delta.entries, own, now);
        for sign in delta.statuses.iter().filter(|sign| sign.is_live) {
            if let Some(member) = self.members.get_mut(&sign.node) {
                member.hinted_until = now + PRESUMED_TIME;
            }
        }
    }

    /// Counts every node that the followed hub vouches for as heard at `at`.
    pub(crate) fn confirm_live(&mut self, at: Moment) {
        for member in self.members.values_mut().filter(|held| held.is_live_at_hub) {
            member.last_heard = member.last_heard.max(Some(at));
        }
    }
}
