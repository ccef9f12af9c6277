//! A node's whole knowledge of the others.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use indexmap::{IndexMap, IndexSet};

use crate::digest::{Digest, DigestOrigin};
use crate::gossip::{Gossip, GossipTarget, NodeStatus};
use crate::node::NodeEntry;
use crate::rank::node_hash;
use crate::roster::{Roster, RosterDelta, RosterVersion};
use crate::work::WorkSum;

/// Age up to which the work that one node told counts; six reports.
const REPORT_FRESH: Duration = Duration::from_millis(600);
/// Age up to which the work of other zones counts.
const ZONE_FRESH: Duration = Duration::from_millis(1_300);

#[derive(Clone, Debug)]
pub(crate) struct ReceivedDigest {
    pub(crate) digest: Digest,
    pub(crate) made_at: Moment,
    /// Whether it came from one for whom it speaks, and not through another hub.
    pub(crate) is_direct: bool,
}

impl ReceivedDigest {
    /// Returns whether the work that it tells of still counts.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        let fresh = match self.digest.origin {
            DigestOrigin::Zone(_) => ZONE_FRESH,
            _ => REPORT_FRESH,
        };
        now < self.made_at + fresh
    }
}

/// The sum of all nodes' work, as a hub answered a report.
#[derive(Clone, Debug)]
pub(crate) struct FleetSum {
    pub(crate) digest: Digest,
    /// Own work that it contains.
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

/// What a node knows of the others.
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
}

impl Membership {
    /// Opens the knowledge of a node that knows no other.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_membership::{Membership, NodeEntry};
    ///
    /// let membership = Membership::open(NodeEntry::default());
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
        }
    }

    /// Returns this node.
    pub fn own(&self) -> &NodeEntry {
        &self.own
    }

    /// Returns the nodes that are known.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Brings the roster up to `now` and returns its version.
    pub fn refresh(&mut self, now: Moment) -> u64 {
        self.roster.refresh(now);
        self.roster.version()
    }

    /// Takes in an entry; returns whether it is news.
    pub fn add_node(&mut self, entry: &NodeEntry, now: Moment) -> bool {
        entry.node != self.own.node && self.roster.add_node(entry, now)
    }

    /// Returns the nodes that were heard for the first time, or again, since this was last asked.
    pub fn take_rejoined(&mut self) -> IndexSet<NodeId> {
        std::mem::take(&mut self.rejoined)
    }

    /// Notes that a node did not answer; another one is asked at once.
    pub fn record_failure(&mut self, node: &str, now: Moment) {
        self.roster.record_failure(node, now);
        if self.followed.as_ref().is_some_and(|hub| hub.node == node) {
            // The last sum goes on to count until it is too old.
            self.last_sent.swap_remove(&DigestOrigin::Fleet);
        }
        let zone = self.roster.members().get(node);
        if let Some(zone) = zone.map(|member| member.entry.zone.clone()) {
            self.last_sent.swap_remove(&DigestOrigin::Zone(zone));
        }
    }

    /// Returns whether this node speaks for others at `now`.
    pub fn is_hub(&self, now: Moment) -> bool {
        self.is_hub_among(&self.hubs(&self.own.zone, now), now)
    }

    /// Returns how old what is known of the other nodes' work is at most, where anything is known.
    pub fn knowledge_age(&self, now: Moment) -> Option<Duration> {
        if let Some(told) = self.fleet_sum() {
            return Some(now.saturating_sub(told.sent_at));
        }
        let ages = self.digests.values();
        ages.map(|held| now.saturating_sub(held.made_at)).max()
    }

    /// Takes a message in and answers it.
    pub fn respond(&mut self, gossip: &Gossip, standing: &NodeStatus, now: Moment) -> Gossip {
        if self.is_from_earlier_incarnation(&gossip.sender) {
            return self.gossip(Digest::empty(DigestOrigin::Fleet));
        }
        self.merge_gossip(gossip, now);
        let answer = match &gossip.digest.origin {
            DigestOrigin::Node(_) | DigestOrigin::Fleet => {
                let digest = self.fleet_digest(standing, now);
                self.gossip(digest)
            }
            DigestOrigin::Hub(_) => self.hub_gossip(standing, now),
            DigestOrigin::Zone(_) => self.gossip(self.zone_digest(standing, now)),
        };
        Gossip {
            roster: self.roster_for(&gossip.digest.origin, gossip.roster_version, now),
            ..answer
        }
    }

    /// Returns what an asker lacks of the roster.
    ///
    /// Hubs tell each other of nodes in their digests. One that took this node for a hub knows too few of
    /// those that live: it would go on asking a node that speaks for nobody, and never find the hubs.
    fn roster_for(
        &mut self,
        asker: &DigestOrigin,
        mark: Option<RosterVersion>,
        now: Moment,
    ) -> Option<RosterDelta> {
        let is_report = matches!(asker, DigestOrigin::Node(_));
        if !is_report && self.is_hub(now) {
            return None;
        }
        self.roster.refresh(now);
        Some(self.roster.delta(mark, self.own.incarnation))
    }

    /// Takes in the answer to a message that was sent at `asked`.
    pub fn handle_response(
        &mut self,
        sent: &GossipTarget,
        answer: &Gossip,
        asked: Moment,
        now: Moment,
    ) {
        if self.is_from_earlier_incarnation(&answer.sender) {
            return;
        }
        self.roster.record_response(&sent.node);
        self.merge_gossip(answer, asked);
        let Some(delta) = &answer.roster else {
            return;
        };
        let own = self.own.node.clone();
        match self.followed.as_mut().filter(|hub| hub.node == sent.node) {
            Some(hub) => {
                // Answers may overtake each other; an older state must not replace a newer one.
                let is_overtaken = hub.roster_version.is_some_and(|held| {
                    held.hub_incarnation == delta.version.hub_incarnation
                        && held.version > delta.version.version
                });
                if is_overtaken {
                    return;
                }
                hub.roster_version = Some(delta.version);
                hub.fleet_sum = Some(FleetSum {
                    digest: answer.digest.clone(),
                    own_work: sent.gossip.digest.work.clone(),
                    sent_at: asked,
                });
                self.roster.apply(delta, &own, now);
                self.roster.confirm_live(asked);
            }
            // A node that was lost answered, or one that is no hub: others are found through it.
            None => self.roster.apply_hints(delta, &own, now),
        }
    }

    /// Returns the work of all other nodes.
    pub fn peer_work(&mut self, now: Moment) -> WorkSum {
        self.prune_expired(now);
        let mut sum = WorkSum::default();
        let told = self.fleet_sum();
        if let Some(told) = told.filter(|told| now < told.sent_at + ZONE_FRESH) {
            sum = told.digest.work.clone();
            sum.subtract(&told.own_work);
        }
        for held in self.digests.values() {
            sum.add(&held.digest.work);
        }
        sum
    }

    /// Returns the last sum that the followed hub told.
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

    fn is_from_earlier_incarnation(&self, sender: &NodeEntry) -> bool {
        let held = self.roster.members().get(&sender.node);
        held.is_some_and(|member| member.entry.incarnation > sender.incarnation)
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
        for sign in &digest.members {
            if self
                .roster
                .record_heartbeat(sign, at.saturating_sub(sign.age))
            {
                self.rejoined.insert(sign.node.clone());
            }
        }
        match &digest.origin {
            // The whole fleet's sum is kept with the hub that told it.
            DigestOrigin::Fleet => return,
            DigestOrigin::Zone(zone) if *zone == self.own.zone => return,
            // A node that has become a hub, or is one no more, would count twice.
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
