//! State of a node's membership in the fleet.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use indexmap::{IndexMap, IndexSet};

use crate::digest::{Digest, DigestOrigin};
use crate::gossip::{Gossip, GossipTarget, NodeStatus};
use crate::node::NodeEntry;
use crate::rank::node_hash;
use crate::roster::{Roster, RosterDelta, RosterVersion};
use crate::work::WorkSum;

/// Age up to which the work that a node reported is counted; six report intervals.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Age up to which the work of other zones, and the sum of a hub, is counted.
const ZONE_TTL: Duration = Duration::from_millis(1_300);

#[derive(Clone, Debug)]
pub(crate) struct ReceivedDigest {
    pub(crate) digest: Digest,
    pub(crate) made_at: Moment,
    /// Whether its origin sent it, as opposed to a hub that relayed it.
    pub(crate) is_direct: bool,
}

impl ReceivedDigest {
    /// Returns whether its work is still counted.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        let ttl = match self.digest.origin {
            DigestOrigin::Zone(_) => ZONE_TTL,
            _ => REPORT_TTL,
        };
        now < self.made_at + ttl
    }
}

/// The sum over all nodes, from a hub's response to a report.
#[derive(Clone, Debug)]
pub(crate) struct FleetSum {
    pub(crate) digest: Digest,
    /// This node's work that the sum contains.
    pub(crate) own_work: WorkSum,
    /// When the report was sent.
    pub(crate) sent_at: Moment,
}

/// The hub that a node reports to.
#[derive(Clone, Debug)]
pub(crate) struct FollowedHub {
    pub(crate) node: NodeId,
    pub(crate) roster_version: Option<RosterVersion>,
    pub(crate) fleet_sum: Option<FleetSum>,
}

/// What a node knows of the other nodes.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: NodeEntry,
    pub(crate) own_hash: u64,
    pub(crate) roster: Roster,
    pub(crate) digests: IndexMap<DigestOrigin, ReceivedDigest>,
    pub(crate) followed: Option<FollowedHub>,
    pub(crate) last_sent: IndexMap<DigestOrigin, Moment>,
    pub(crate) last_probe: Moment,
    pub(crate) probe_index: usize,
    pub(crate) cached_sum: Option<(Moment, Digest)>,
    pub(crate) rejoined: IndexSet<NodeId>,
    /// Nodes that are heard as an earlier incarnation than the held one, and have to be told so.
    pub(crate) outnumbered: IndexSet<NodeId>,
    pub(crate) last_correction: Moment,
    pub(crate) is_partitioned: bool,
    /// Whether this process, and not an earlier or later one of the node, is the one at the node's address.
    pub(crate) has_address: bool,
}

impl Membership {
    /// Creates the membership of a node that knows no other.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_membership::{Membership, NodeEntry};
    ///
    /// let membership = Membership::new(NodeEntry::default());
    /// assert!(membership.is_hub(Duration::from_secs(1)));
    /// ```
    pub fn new(own: NodeEntry) -> Self {
        Self {
            own_hash: node_hash(&own.node),
            own,
            roster: Roster::default(),
            digests: IndexMap::new(),
            followed: None,
            last_sent: IndexMap::new(),
            last_probe: Moment::ZERO,
            probe_index: 0,
            cached_sum: None,
            rejoined: IndexSet::new(),
            outnumbered: IndexSet::new(),
            last_correction: Moment::ZERO,
            is_partitioned: false,
            has_address: true,
        }
    }

    /// Returns the entry of this node.
    pub fn own(&self) -> &NodeEntry {
        &self.own
    }

    /// Sets whether this node is partitioned from all targets, which decides what it does for other nodes.
    pub fn set_partitioned(&mut self, is_partitioned: bool) {
        if self.is_partitioned != is_partitioned {
            self.is_partitioned = is_partitioned;
            self.roster.advance();
        }
    }

    /// Returns the known nodes.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Publishes the changes of the roster up to `now` and returns its version.
    pub fn refresh(&mut self, now: Moment) -> u64 {
        self.roster.refresh(now);
        self.roster.version()
    }

    /// Sets whether this process is the one that others reach at the node's address, and is to stay.
    ///
    /// Of two processes of one node, only that one may become a later incarnation; both would outnumber each other
    /// without end.
    pub fn set_has_address(&mut self, has_address: bool) {
        self.has_address = has_address;
    }

    /// Adds or replaces the entry of another node; returns whether anything changed.
    pub fn add_node(&mut self, entry: &NodeEntry, now: Moment) -> bool {
        if entry.node == self.own.node {
            self.outnumber(entry);
            return false;
        }
        self.roster.add_node(entry, now)
    }

    /// Becomes a later incarnation than an entry of this node that others hold; returns whether it was not.
    ///
    /// Incarnations are numbered by the time of day, which may have been stepped back before this process started;
    /// nobody would hear it again. An entry with another address is of a machine that has taken over the name.
    fn outnumber(&mut self, held: &NodeEntry) -> bool {
        let is_own = held.node == self.own.node && held.address == self.own.address;
        if !is_own || !self.has_address || held.incarnation <= self.own.incarnation {
            return false;
        }
        self.own.incarnation = held.incarnation.saturating_add(1);
        self.roster.advance();
        true
    }

    /// Becomes a later incarnation than the entry of this node in a message; returns whether it was not.
    fn outnumber_held(&mut self, gossip: &Gossip) -> bool {
        let mut entries = gossip.roster.iter().flat_map(|delta| &delta.entries);
        entries.any(|held| self.outnumber(held))
    }

    /// Returns the nodes that were heard for the first time, or again after a timeout, since the last call.
    pub fn take_rejoined(&mut self) -> IndexSet<NodeId> {
        std::mem::take(&mut self.rejoined)
    }

    /// Records that a node did not respond, so that another node is contacted at once.
    pub fn record_failure(&mut self, node: &str, now: Moment) {
        self.roster.record_failure(node, now);
        if self.followed.as_ref().is_some_and(|hub| hub.node == node) {
            // The last sum is still counted until it expires.
            self.last_sent.swap_remove(&DigestOrigin::Fleet);
        }
        let zone = self.roster.members().get(node);
        if let Some(zone) = zone.map(|member| member.entry.zone.clone()) {
            self.last_sent.swap_remove(&DigestOrigin::Zone(zone));
        }
    }

    /// Returns whether this node acts as a hub at `now`.
    pub fn is_hub(&self, now: Moment) -> bool {
        self.is_hub_among(&self.hubs(&self.own.zone, now), now)
    }

    /// Returns the greatest age of the known work of other nodes, `None` if none is known.
    pub fn knowledge_age(&self, now: Moment) -> Option<Duration> {
        if let Some(fleet_sum) = self.fleet_sum() {
            return Some(now.saturating_sub(fleet_sum.sent_at));
        }
        let ages = self.digests.values();
        ages.map(|held| now.saturating_sub(held.made_at)).max()
    }

    /// Merges a message and returns the response to it.
    pub fn respond(&mut self, gossip: &Gossip, status: &NodeStatus, now: Moment) -> Gossip {
        self.outnumber_held(gossip);
        if let Some(held) = self.later_incarnation(&gossip.sender) {
            return self.correction(held);
        }
        self.merge_gossip(gossip, now);
        let response = match &gossip.digest.origin {
            DigestOrigin::Node(_) | DigestOrigin::Fleet => {
                let digest = self.fleet_digest(status, now);
                self.gossip(digest)
            }
            DigestOrigin::Hub(_) => self.hub_gossip(status, now),
            DigestOrigin::Zone(_) => self.gossip(self.zone_digest(status, now)),
        };
        Gossip {
            roster: self.roster_for(&gossip.digest.origin, gossip.roster_version, now),
            ..response
        }
    }

    /// Returns the changes of the roster for the sender of a message.
    ///
    /// Hubs need none from each other, since their digests contain the heartbeats of their nodes. But a hub that
    /// mistakes this node for a hub knows too few live nodes: without the roster it would keep sending to a node
    /// without followers and never find the hubs.
    fn roster_for(
        &mut self,
        sender: &DigestOrigin,
        since: Option<RosterVersion>,
        now: Moment,
    ) -> Option<RosterDelta> {
        let is_report = matches!(sender, DigestOrigin::Node(_));
        if !is_report && self.is_hub(now) {
            return None;
        }
        self.roster.refresh(now);
        Some(self.roster.delta(since, self.own.incarnation))
    }

    /// Merges the response to a message that was sent at `sent_at`.
    pub fn handle_response(
        &mut self,
        sent: &GossipTarget,
        response: &Gossip,
        sent_at: Moment,
        now: Moment,
    ) {
        if self.outnumber_held(response) || self.later_incarnation(&response.sender).is_some() {
            return;
        }
        self.roster.record_response(&sent.node);
        self.merge_gossip(response, sent_at);
        let Some(delta) = &response.roster else {
            return;
        };
        let own = self.own.node.clone();
        match self.followed.as_mut().filter(|hub| hub.node == sent.node) {
            Some(hub) => {
                // Responses may arrive out of order; an older state must not replace a newer one.
                let is_overtaken = hub.roster_version.is_some_and(|held| {
                    held.hub_incarnation == delta.version.hub_incarnation
                        && held.version > delta.version.version
                });
                if is_overtaken {
                    return;
                }
                hub.roster_version = Some(delta.version);
                hub.fleet_sum = Some(FleetSum {
                    digest: response.digest.clone(),
                    own_work: sent.gossip.digest.work.clone(),
                    sent_at,
                });
                self.roster.apply(delta, &own, now);
                self.roster.confirm_live(sent_at);
            }
            // The response is from a node that was probed or is no hub; its roster helps to find the hubs.
            None => self.roster.apply_hints(delta, &own, now),
        }
    }

    /// Returns the work of all other nodes.
    pub fn peer_work(&mut self, now: Moment) -> WorkSum {
        self.prune_expired(now);
        let mut sum = WorkSum::default();
        let fleet_sum = self.fleet_sum();
        if let Some(fleet_sum) = fleet_sum.filter(|fleet_sum| now < fleet_sum.sent_at + ZONE_TTL) {
            sum = fleet_sum.digest.work.clone();
            sum.subtract(&fleet_sum.own_work);
        }
        for held in self.digests.values() {
            sum.add(&held.digest.work);
        }
        sum
    }

    /// Returns the last sum that the followed hub sent.
    pub(crate) fn fleet_sum(&self) -> Option<&FleetSum> {
        self.followed.as_ref()?.fleet_sum.as_ref()
    }

    pub(crate) fn gossip(&self, digest: Digest) -> Gossip {
        Gossip {
            sender: self.own.clone(),
            digest,
            relayed: Vec::new(),
            roster_version: None,
            roster: None,
        }
    }

    /// Returns the message that tells a node which incarnation of it is held.
    pub(crate) fn correction(&self, held: &NodeEntry) -> Gossip {
        Gossip {
            roster: Some(RosterDelta::of_entry(held, self.own.incarnation)),
            ..self.gossip(Digest::empty(DigestOrigin::Fleet))
        }
    }

    /// Returns the held entry of a node if it is of a later incarnation than `sender`.
    fn later_incarnation(&self, sender: &NodeEntry) -> Option<&NodeEntry> {
        let held = &self.roster.members().get(&sender.node)?.entry;
        (held.incarnation > sender.incarnation).then_some(held.as_ref())
    }

    fn merge_gossip(&mut self, gossip: &Gossip, at: Moment) {
        self.add_node(&gossip.sender, at);
        self.merge_digest(&gossip.digest, true, at);
        for digest in &gossip.relayed {
            self.merge_digest(digest, false, at);
        }
    }

    fn merge_digest(&mut self, digest: &Digest, is_direct: bool, at: Moment) {
        let at = at.saturating_sub(digest.age);
        for heartbeat in &digest.members {
            if self.roster.is_outnumbered(heartbeat) {
                self.outnumbered.insert(heartbeat.node.clone());
            }
            if self
                .roster
                .record_heartbeat(heartbeat, at.saturating_sub(heartbeat.age))
            {
                self.rejoined.insert(heartbeat.node.clone());
            }
        }
        match &digest.origin {
            // The sum over all nodes is kept with the followed hub that sent it.
            DigestOrigin::Fleet => return,
            DigestOrigin::Zone(zone) if *zone == self.own.zone => return,
            // The work of a node that has become a hub, or has ceased to be one, would be counted twice.
            DigestOrigin::Node(node) => {
                self.digests.swap_remove(&DigestOrigin::Hub(node.clone()));
            }
            DigestOrigin::Hub(node) => {
                self.digests.swap_remove(&DigestOrigin::Node(node.clone()));
            }
            DigestOrigin::Zone(_) => {}
        }
        let held = self.digests.get(&digest.origin);
        if held.is_none_or(|held| held.made_at <= at) {
            let held = ReceivedDigest {
                digest: digest.clone(),
                made_at: at,
                is_direct,
            };
            self.digests.insert(digest.origin.clone(), held);
        }
    }

    pub(crate) fn prune_expired(&mut self, now: Moment) {
        self.digests.retain(|_, held| held.is_fresh(now));
    }
}
