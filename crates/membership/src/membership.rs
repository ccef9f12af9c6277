//! A node's whole knowledge of the others, and the messages that keep it up to date.

use std::cmp::Reverse;
use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId, TargetId, ZoneId};
use indexmap::{IndexMap, IndexSet};

use crate::digest::{Digest, DigestOrigin, MemberSign};
use crate::node::NodeEntry;
use crate::rank::{node_hash, rank_of, ThingRank};
use crate::roster::{Roster, RosterDelta, RosterMark};
use crate::work::WorkSum;

/// Hubs of a zone; two may be lost at once and the third is known to all.
const HUBS: usize = 3;
/// Rank of the hubs; any word does, if all nodes use the same.
const HUB_RANK: &str = "hub";
/// Time between two reports of a node to its hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a hub asks another hub of its zone, unless that one asked before.
const HUB_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a hub asks another zone, where each byte is paid for.
const ZONE_INTERVAL: Duration = Duration::from_millis(100);
/// Part of an interval that the side with the higher name waits longer, so that one of two asks.
const YIELDING: u32 = 2;
/// Time between two questions to nodes of the own zone that were lost.
///
/// Without them two halves of a zone that could not reach each other would stay apart for good. With one a
/// second the halves of a fleet took 5.7 s to find hubs of their own in every zone, with two 5.0 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Age up to which the work that one node told counts; three reports.
const REPORT_FRESH: Duration = Duration::from_millis(600);
/// Age up to which the work of other zones counts.
const ZONE_FRESH: Duration = Duration::from_millis(1_300);
/// Age up to which what another zone told is passed on inside the own one; later all have heard it.
const RELAYED_AGE: Duration = Duration::from_millis(250);
/// Time for which one sum answers all that ask.
const FOLD_TIME: Duration = Duration::from_millis(20);

/// What a node tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has lately been answered by the store itself.
    pub reads_store: bool,
    /// Whether it, or anybody it heard, has seen a caller's request.
    pub has_traffic: bool,
    /// Its own work.
    pub work: WorkSum,
    /// Targets that fell silent towards it.
    pub suspects: Vec<TargetId>,
}

/// A message, or the answer to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Gossip {
    /// Node that speaks.
    pub sender: NodeEntry,
    /// What it tells.
    pub digest: Digest,
    /// What it was told by other zones, for a hub of its own zone.
    pub relayed: Vec<Digest>,
    /// What a follower holds of the roster.
    pub mark: Option<RosterMark>,
    /// What the follower lacks.
    pub roster: Option<RosterDelta>,
}

impl Gossip {
    /// Returns the targets that anybody it tells of suspects.
    pub fn suspects(&self) -> impl Iterator<Item = &TargetId> {
        let relayed = self.relayed.iter().flat_map(|digest| &digest.suspects);
        self.digest.suspects.iter().chain(relayed)
    }

    /// Returns whether anybody it tells of has seen a caller's request.
    pub fn has_traffic(&self) -> bool {
        self.digest.has_traffic || self.relayed.iter().any(|digest| digest.has_traffic)
    }
}

/// Whom to send a message.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipTarget {
    /// Node.
    pub node: NodeId,
    /// Its address.
    pub address: String,
    /// Whether it is of the own zone.
    pub is_near: bool,
    /// Message.
    pub gossip: Gossip,
}

#[derive(Clone, Debug)]
struct HeldDigest {
    digest: Digest,
    at: Moment,
    /// Whether it came from one for whom it speaks, and not through another hub.
    is_direct: bool,
}

/// The hub that a node reports to.
#[derive(Clone, Debug)]
struct FollowedHub {
    node: NodeId,
    mark: Option<RosterMark>,
    /// The last answer with the own work that it contains, and when it was asked for.
    told: Option<(Digest, WorkSum, Moment)>,
}

/// What a node knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: NodeEntry,
    own_hash: u64,
    roster: Roster,
    digests: IndexMap<DigestOrigin, HeldDigest>,
    followed: Option<FollowedHub>,
    asked: IndexMap<DigestOrigin, Moment>,
    probed: Moment,
    turn: usize,
    fold: Option<(Moment, Digest)>,
    returned: IndexSet<NodeId>,
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
        let hubs = self.hubs(&self.own.zone.clone(), now);
        hubs.contains(&self.own.node) || self.has_reporters(now)
    }

    /// Returns how old what is known of the other nodes' work is at most, where anything is known.
    pub fn knowledge_age(&self, now: Moment) -> Option<Duration> {
        if let Some((_, _, at)) = self.followed.as_ref().and_then(|hub| hub.told.as_ref()) {
            return Some(now.saturating_sub(*at));
        }
        let ages = self.digests.values();
        ages.map(|held| now.saturating_sub(held.at)).max()
    }

    /// Returns the messages that are due.
    pub fn due(&mut self, standing: &Standing, now: Moment) -> Vec<GossipTarget> {
        self.drop_old(now);
        let zone = self.own.zone.clone();
        let hubs = self.hubs(&zone, now);
        let is_hub = hubs.contains(&self.own.node) || self.has_reporters(now);
        let mut due = Vec::new();
        if !is_hub {
            due.extend(self.report_due(&hubs, standing, now));
            return due;
        }
        self.followed = None;
        for node in &hubs {
            if *node != self.own.node {
                due.extend(self.hub_due(node, standing, now));
            }
        }
        for zone in self.other_zones() {
            if self.speaks_to(&zone, &hubs) {
                due.extend(self.zone_due(&zone, standing, now));
            }
        }
        due.extend(self.probe_due(standing, now));
        due
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
                let reported = sent.gossip.digest.work.clone();
                hub.told = Some((answer.digest.clone(), reported, asked));
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
        let told = self.followed.as_ref().and_then(|hub| hub.told.as_ref());
        if let Some((digest, reported, at)) = told {
            if now < *at + ZONE_FRESH {
                sum = digest.work.clone();
                sum.subtract(reported);
            }
        }
        for held in self.digests.values() {
            sum.add(&held.digest.work);
        }
        sum
    }

    fn gossip(&self, digest: Digest) -> Gossip {
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

    /// Returns the hubs of a zone, best first; this node among them where it is one.
    fn hubs(&self, zone: &str, now: Moment) -> Vec<NodeId> {
        let thing = ThingRank::from(HUB_RANK);
        let members = self.roster.members().values();
        let usable = members.filter(|member| member.entry.zone == zone && member.is_usable(now));
        let mut ranked: Vec<(Reverse<u32>, u64, &NodeId)> = usable
            .map(|member| {
                let rank = rank_of(member.hash, thing);
                (Reverse(member.entry.link_mbps), rank, &member.entry.node)
            })
            .collect();
        if zone == self.own.zone {
            let rank = rank_of(self.own_hash, thing);
            ranked.push((Reverse(self.own.link_mbps), rank, &self.own.node));
        }
        ranked.sort_unstable();
        ranked.truncate(HUBS);
        ranked
            .into_iter()
            .map(|(_, _, node)| node.clone())
            .collect()
    }

    fn has_reporters(&self, now: Moment) -> bool {
        self.digests.iter().any(|(origin, held)| {
            matches!(origin, DigestOrigin::Node(_)) && now < held.at + REPORT_FRESH
        })
    }

    fn other_zones(&self) -> IndexSet<ZoneId> {
        let members = self.roster.members().values();
        let zones = members.map(|member| &member.entry.zone);
        zones
            .filter(|zone| **zone != self.own.zone)
            .cloned()
            .collect()
    }

    /// Returns whether this node is the one of its hubs that speaks to a zone.
    fn speaks_to(&self, zone: &str, hubs: &[NodeId]) -> bool {
        let thing = ThingRank::from(zone);
        let first = hubs
            .iter()
            .min_by_key(|node| rank_of(node_hash(node), thing));
        first.is_none_or(|node| *node == self.own.node)
    }

    /// Returns whether something is to be asked at `now`, and notes that it is.
    ///
    /// Where the other side asks as well, `is_yielding` makes this one wait for that.
    fn is_due(
        &mut self,
        origin: DigestOrigin,
        interval: Duration,
        is_yielding: bool,
        now: Moment,
    ) -> bool {
        let interval = if is_yielding {
            interval * YIELDING
        } else {
            interval
        };
        let heard = self.digests.get(&origin).map(|held| held.at);
        let asked = self.asked.get(&origin).copied();
        let is_due = heard.max(asked).is_none_or(|at| now >= at + interval);
        if is_due {
            self.asked.insert(origin, now);
        }
        is_due
    }

    /// Returns the report to this node's hub: of the zone's hubs the same one while they stay.
    fn report_due(
        &mut self,
        hubs: &[NodeId],
        standing: &Standing,
        now: Moment,
    ) -> Option<GossipTarget> {
        let thing = ThingRank::from(self.own.node.as_str());
        let node = hubs
            .iter()
            .min_by_key(|node| rank_of(node_hash(node), thing))?;
        let is_same = self.followed.as_ref().is_some_and(|hub| hub.node == *node);
        if !is_same {
            let told = self.followed.take().and_then(|hub| hub.told);
            self.asked.swap_remove(&DigestOrigin::Fleet);
            self.followed = Some(FollowedHub {
                node: node.clone(),
                mark: None,
                told,
            });
        }
        if !self.is_due(DigestOrigin::Fleet, REPORT_INTERVAL, false, now) {
            return None;
        }
        let mark = self.followed.as_ref().and_then(|hub| hub.mark);
        let report = Gossip {
            mark,
            ..self.gossip(self.own_digest(standing))
        };
        self.to(node, report)
    }

    fn hub_due(&mut self, node: &str, standing: &Standing, now: Moment) -> Option<GossipTarget> {
        let origin = DigestOrigin::Hub(node.to_owned());
        let is_yielding = self.own.node.as_str() > node;
        if !self.is_due(origin, HUB_INTERVAL, is_yielding, now) {
            return None;
        }
        self.to(node, self.hub_gossip(standing, now))
    }

    fn zone_due(&mut self, zone: &str, standing: &Standing, now: Moment) -> Option<GossipTarget> {
        let is_yielding = self.own.zone.as_str() > zone;
        if !self.is_due(
            DigestOrigin::Zone(zone.to_owned()),
            ZONE_INTERVAL,
            is_yielding,
            now,
        ) {
            return None;
        }
        let thing = ThingRank::from(self.own.zone.as_str());
        let hubs = self.hubs(zone, now);
        let first = hubs
            .iter()
            .min_by_key(|node| rank_of(node_hash(node), thing));
        let node = match first {
            Some(node) => node.clone(),
            // A zone of which nothing is heard is asked all the same, or a cut would never heal.
            None => self.next_lost(zone, now)?,
        };
        self.to(&node, self.gossip(self.zone_digest(standing, now)))
    }

    /// Returns a question to a lost node of the own zone.
    ///
    /// It is asked as its follower would, so its answer tells everybody that it knows.
    fn probe_due(&mut self, standing: &Standing, now: Moment) -> Option<GossipTarget> {
        if now < self.probed + PROBE_INTERVAL {
            return None;
        }
        self.probed = now;
        let zone = self.own.zone.clone();
        let node = self.next_lost(&zone, now)?;
        self.to(&node, self.gossip(self.own_digest(standing)))
    }

    fn next_lost(&mut self, zone: &str, now: Moment) -> Option<NodeId> {
        let members = self.roster.members().values();
        let lost: Vec<&NodeId> = members
            .filter(|member| member.entry.zone == zone && !member.is_usable(now))
            .map(|member| &member.entry.node)
            .collect();
        self.turn = self.turn.wrapping_add(1);
        let index = (self.own_hash as usize).wrapping_add(self.turn) % lost.len().max(1);
        lost.get(index).map(|node| (*node).clone())
    }

    fn to(&self, node: &str, gossip: Gossip) -> Option<GossipTarget> {
        let member = self.roster.members().get(node)?;
        Some(GossipTarget {
            node: node.to_owned(),
            address: member.entry.address.clone(),
            is_near: member.entry.zone == self.own.zone,
            gossip,
        })
    }

    fn own_digest(&self, standing: &Standing) -> Digest {
        Digest {
            origin: DigestOrigin::Node(self.own.node.clone()),
            age: Duration::ZERO,
            has_traffic: standing.has_traffic,
            members: vec![MemberSign {
                node: self.own.node.clone(),
                incarnation: self.own.incarnation,
                age: Duration::ZERO,
                is_leaving: standing.is_leaving,
                reads_store: standing.reads_store,
                arrivals: standing.work.all_arrivals(),
            }],
            work: standing.work.clone(),
            suspects: standing.suspects.clone(),
        }
    }

    /// Returns the sum of this node and those digests that `keep` names.
    fn sum(
        &self,
        origin: DigestOrigin,
        standing: &Standing,
        now: Moment,
        keep: impl Fn(&DigestOrigin) -> bool,
    ) -> Digest {
        let mut sum = Digest {
            origin,
            ..self.own_digest(standing)
        };
        for (origin, held) in &self.digests {
            if keep(origin) {
                sum.add(&held.digest, now.saturating_sub(held.at));
            }
        }
        sum
    }

    fn hub_gossip(&self, standing: &Standing, now: Moment) -> Gossip {
        let origin = DigestOrigin::Hub(self.own.node.clone());
        let digest = self.sum(origin, standing, now, |origin| {
            matches!(origin, DigestOrigin::Node(_))
        });
        let relayed = self.digests.iter().filter(|(origin, held)| {
            let is_new = now < held.at + RELAYED_AGE;
            matches!(origin, DigestOrigin::Zone(_)) && held.is_direct && is_new
        });
        Gossip {
            relayed: relayed
                .map(|(_, held)| Digest {
                    age: now.saturating_sub(held.at),
                    ..held.digest.clone()
                })
                .collect(),
            ..self.gossip(digest)
        }
    }

    fn zone_digest(&self, standing: &Standing, now: Moment) -> Digest {
        let origin = DigestOrigin::Zone(self.own.zone.clone());
        self.sum(origin, standing, now, |origin| {
            matches!(origin, DigestOrigin::Hub(_) | DigestOrigin::Node(_))
        })
    }

    /// Returns the sum of all nodes, made anew only every [`FOLD_TIME`].
    fn everything(&mut self, standing: &Standing, now: Moment) -> Digest {
        let held = self.fold.as_ref();
        if let Some((_, digest)) = held.filter(|(at, _)| now < *at + FOLD_TIME) {
            return digest.clone();
        }
        self.drop_old(now);
        self.roster.refresh(now);
        let mut digest = self.sum(DigestOrigin::Fleet, standing, now, |_| true);
        let told = self.followed.as_ref().and_then(|hub| hub.told.as_ref());
        if let Some((told, reported, _)) = told {
            digest.has_traffic |= told.has_traffic;
            digest.work.add(&told.work);
            digest.work.subtract(reported);
        }
        // Only the node that speaks; of the others the roster tells.
        digest.members.truncate(1);
        self.fold = Some((now, digest.clone()));
        digest
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

    fn drop_old(&mut self, now: Moment) {
        self.digests.retain(|origin, held| {
            let fresh = match origin {
                DigestOrigin::Zone(_) => ZONE_FRESH,
                _ => REPORT_FRESH,
            };
            now < held.at + fresh
        });
    }
}
