//! A node's whole knowledge of the others.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use indexmap::{IndexMap, IndexSet};

use crate::digest::{Digest, DigestOrigin};
use crate::gossip::{Gossip, GossipTarget, Standing};
use crate::node::NodeEntry;
use crate::rank::node_hash;
use crate::roster::{Roster, RosterDelta, RosterMark};
use crate::work::WorkSum;

/// Age up to which the work that one node told counts; six reports.
const REPORT_FRESH: Duration = Duration::from_millis(600);
/// Age up to which the work of other zones counts.
const ZONE_FRESH: Duration = Duration::from_millis(1_300);

#[derive(Clone, Debug)]
pub(crate) struct HeldDigest {
    pub(crate) digest: Digest,
    pub(crate) at: Moment,
    /// Whether it came from one for whom it speaks, and not through another hub.
    pub(crate) is_direct: bool,
}

impl HeldDigest {
    /// Returns whether the work that it tells of still counts.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        let fresh = match self.digest.origin {
            DigestOrigin::Zone(_) => ZONE_FRESH,
            _ => REPORT_FRESH,
        };
        now < self.at + fresh
    }
}

/// The sum of all nodes' work, as a hub answered a report.
#[derive(Clone, Debug)]
pub(crate) struct ToldSum {
    pub(crate) digest: Digest,
    /// Own work that it contains.
    pub(crate) reported: WorkSum,
    /// When the report was sent.
    pub(crate) asked: Moment,
}

/// The hub that a node reports to.
#[derive(Clone, Debug)]
pub(crate) struct FollowedHub {
    pub(crate) node: NodeId,
    pub(crate) mark: Option<RosterMark>,
    pub(crate) told: Option<ToldSum>,
}

/// What a node knows of the others.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: NodeEntry,
    pub(crate) own_hash: u64,
    pub(crate) roster: Roster,
    pub(crate) digests: IndexMap<DigestOrigin, HeldDigest>,
    pub(crate) followed: Option<FollowedHub>,
    pub(crate) asked: IndexMap<DigestOrigin, Moment>,
    pub(crate) probed: Moment,
    pub(crate) turn: usize,
    pub(crate) fold: Option<(Moment, Digest)>,
    pub(crate) returned: IndexSet<NodeId>,
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
    pub fn open(own: NodeEntry) -> Self {
        Self {
            own_hash: node_hash(&own.node),
            own,
            roster: Roster::default(),
            digests: IndexMap::new(),
            followed: None,
            asked: IndexMap::new(),
            probed: Moment::ZERO,
            turn: 0,
            fold: None,
            returned: IndexSet::new(),
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
    pub fn learn(&mut self, entry: &NodeEntry, now: Moment) -> bool {
        entry.node != self.own.node && self.roster.learn(entry, now)
    }

    /// Returns the nodes that were heard for the first time, or again, since this was last asked.
    pub fn take_returned(&mut self) -> IndexSet<NodeId> {
        std::mem::take(&mut self.returned)
    }

    /// Notes that a node did not answer; another one is asked at once.
    pub fn note_failure(&mut self, node: &str, now: Moment) {
        self.roster.note_failure(node, now);
        if self.followed.as_ref().is_some_and(|hub| hub.node == node) {
            // The last sum goes on to count until it is too old.
            self.asked.swap_remove(&DigestOrigin::Fleet);
        }
        let zone = self.roster.members().get(node);
        if let Some(zone) = zone.map(|member| member.entry.zone.clone()) {
            self.asked.swap_remove(&DigestOrigin::Zone(zone));
        }
    }

    /// Returns whether this node speaks for others at `now`.
    pub fn is_hub(&self, now: Moment) -> bool {
        self.is_hub_among(&self.hubs(&self.own.zone, now), now)
    }

    /// Returns how old what is known of the other nodes' work is at most, where anything is known.
    pub fn knowledge_age(&self, now: Moment) -> Option<Duration> {
        if let Some(told) = self.told() {
            return Some(now.saturating_sub(told.asked));
        }
        let ages = self.digests.values();
        ages.map(|held| now.saturating_sub(held.at)).max()
    }

    /// Takes a message in and answers it.
    pub fn answer(&mut self, gossip: &Gossip, standing: &Standing, now: Moment) -> Gossip {
        if self.is_from_earlier_life(&gossip.sender) {
            return self.gossip(Digest::empty(DigestOrigin::Fleet));
        }
        self.take(gossip, now);
        let answer = match &gossip.digest.origin {
            DigestOrigin::Node(_) | DigestOrigin::Fleet => {
                let digest = self.everything(standing, now);
                self.gossip(digest)
            }
            DigestOrigin::Hub(_) => self.hub_gossip(standing, now),
            DigestOrigin::Zone(_) => self.gossip(self.zone_digest(standing, now)),
        };
        Gossip {
            roster: self.roster_for(&gossip.digest.origin, gossip.mark, now),
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
        mark: Option<RosterMark>,
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
    pub fn take_answer(
        &mut self,
        sent: &GossipTarget,
        answer: &Gossip,
        asked: Moment,
        now: Moment,
    ) {
        if self.is_from_earlier_life(&answer.sender) {
            return;
        }
        self.roster.note_answer(&sent.node);
        self.take(answer, asked);
        let Some(delta) = &answer.roster else {
            return;
        };
        let own = self.own.node.clone();
        match self.followed.as_mut().filter(|hub| hub.node == sent.node) {
            Some(hub) => {
                // Answers may overtake each other; an older state must not replace a newer one.
                let is_overtaken = hub.mark.is_some_and(|held| {
                    held.hub == delta.mark.hub && held.version > delta.mark.version
                });
                if is_overtaken {
                    return;
                }
                hub.mark = Some(delta.mark);
                hub.told = Some(ToldSum {
                    digest: answer.digest.clone(),
                    reported: sent.gossip.digest.work.clone(),
                    asked,
                });
                self.roster.apply(delta, &own, now);
                self.roster.confirm(asked);
            }
            // A node that was lost answered, or one that is no hub: others are found through it.
            None => self.roster.take_hints(delta, &own, now),
        }
    }

    /// Returns the work of all other nodes.
    pub fn work_elsewhere(&mut self, now: Moment) -> WorkSum {
        self.drop_old(now);
        let mut sum = WorkSum::default();
        let told = self.told();
        if let Some(told) = told.filter(|told| now < told.asked + ZONE_FRESH) {
            sum = told.digest.work.clone();
            sum.subtract(&told.reported);
        }
        for held in self.digests.values() {
            sum.add(&held.digest.work);
        }
        sum
    }

    /// Returns the last sum that the followed hub told.
    pub(crate) fn told(&self) -> Option<&ToldSum> {
        self.followed.as_ref()?.told.as_ref()
    }

    pub(crate) fn gossip(&self, digest: Digest) -> Gossip {
        Gossip {
            sender: self.own.clone(),
            digest,
            relayed: Vec::new(),
            mark: None,
            roster: None,
        }
    }

    fn is_from_earlier_life(&self, sender: &NodeEntry) -> bool {
        let held = self.roster.members().get(&sender.node);
        held.is_some_and(|member| member.entry.incarnation > sender.incarnation)
    }

    fn take(&mut self, gossip: &Gossip, at: Moment) {
        self.learn(&gossip.sender, at);
        self.take_digest(&gossip.digest, true, at);
        for digest in &gossip.relayed {
            self.take_digest(digest, false, at);
        }
    }

    fn take_digest(&mut self, digest: &Digest, is_direct: bool, at: Moment) {
        let at = at.saturating_sub(digest.age);
        for sign in &digest.members {
            if self.roster.note_sign(sign, at.saturating_sub(sign.age)) {
                self.returned.insert(sign.node.clone());
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
        if held.is_none_or(|held| held.at <= at) {
            let held = HeldDigest {
                digest: digest.clone(),
                at,
                is_direct,
            };
            self.digests.insert(digest.origin.clone(), held);
        }
    }

    pub(crate) fn drop_old(&mut self, now: Moment) {
        self.digests.retain(|_, held| held.is_fresh(now));
    }
}
