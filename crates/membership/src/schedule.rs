//! Whom a node asks, and when.

use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId, ZoneId};
use indexmap::IndexSet;

use crate::digest::DigestOrigin;
use crate::gossip::{Gossip, GossipTarget, NodeStatus};
use crate::membership::{FollowedHub, Membership, ReceivedDigest};
use crate::rank::{bandwidth_rank, first_ranked, RankKey};

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
/// Factor on an interval for the side with the higher name, so that one of two asks.
const YIELDING: u32 = 2;
/// Time between two questions to nodes of the own zone that were lost.
///
/// Without them two halves of a zone that could not reach each other would stay apart for good. With one a
/// second the halves of a fleet took 5.7 s to find hubs of their own in every zone, with two at most 5 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl Membership {
    /// Returns the messages that are due.
    pub fn due_messages(&mut self, standing: &NodeStatus, now: Moment) -> Vec<GossipTarget> {
        self.prune_expired(now);
        let zone = self.own.zone.clone();
        let hubs = self.hubs(&zone, now);
        let mut due = Vec::new();
        if !self.is_hub_among(&hubs, now) {
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
            if self.is_contact_for(&zone, &hubs) {
                due.extend(self.zone_due(&zone, standing, now));
            }
        }
        due.extend(self.probe_due(standing, now));
        due
    }

    /// Returns the hubs of a zone, best first; this node among them where it is one.
    pub(crate) fn hubs(&self, zone: &str, now: Moment) -> Vec<NodeId> {
        let thing = RankKey::from(HUB_RANK);
        let members = self.roster.members().values();
        let usable = members.filter(|member| member.entry.zone == zone && member.is_usable(now));
        let mut ranked: Vec<_> = usable
            .map(|member| {
                let rank = bandwidth_rank(&member.entry, member.hash, thing);
                (rank, &member.entry.node)
            })
            .collect();
        if zone == self.own.zone {
            let rank = bandwidth_rank(&self.own, self.own_hash, thing);
            ranked.push((rank, &self.own.node));
        }
        ranked.sort_unstable();
        ranked.truncate(HUBS);
        ranked.into_iter().map(|(_, node)| node.clone()).collect()
    }

    /// Returns whether this node speaks for others: it is one of its zone's hubs, or is reported to.
    pub(crate) fn is_hub_among(&self, hubs: &[NodeId], now: Moment) -> bool {
        let mut digests = self.digests.values();
        let is_report = |held: &ReceivedDigest| matches!(held.digest.origin, DigestOrigin::Node(_));
        hubs.contains(&self.own.node) || digests.any(|held| is_report(held) && held.is_fresh(now))
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
    fn is_contact_for(&self, zone: &str, hubs: &[NodeId]) -> bool {
        first_ranked(hubs, zone).is_none_or(|node| *node == self.own.node)
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
        let heard = self.digests.get(&origin).map(|held| held.made_at);
        let asked = self.last_sent.get(&origin).copied();
        let is_due = heard.max(asked).is_none_or(|at| now >= at + interval);
        if is_due {
            self.last_sent.insert(origin, now);
        }
        is_due
    }

    /// Returns the report to this node's hub: of the zone's hubs the same one while they stay.
    fn report_due(
        &mut self,
        hubs: &[NodeId],
        standing: &NodeStatus,
        now: Moment,
    ) -> Option<GossipTarget> {
        let node = first_ranked(hubs, &self.own.node)?;
        let is_same = self.followed.as_ref().is_some_and(|hub| hub.node == *node);
        if !is_same {
            let told = self.followed.take().and_then(|hub| hub.fleet_sum);
            self.last_sent.swap_remove(&DigestOrigin::Fleet);
            self.followed = Some(FollowedHub {
                node: node.clone(),
                roster_version: None,
                fleet_sum: told,
            });
        }
        if !self.is_due(DigestOrigin::Fleet, REPORT_INTERVAL, false, now) {
            return None;
        }
        let mark = self.followed.as_ref().and_then(|hub| hub.roster_version);
        let report = Gossip {
            roster_version: mark,
            ..self.gossip(self.own_digest(standing))
        };
        self.message_to(node, report)
    }

    fn hub_due(&mut self, node: &str, standing: &NodeStatus, now: Moment) -> Option<GossipTarget> {
        let origin = DigestOrigin::Hub(node.to_owned());
        let is_yielding = self.own.node.as_str() > node;
        if !self.is_due(origin, HUB_INTERVAL, is_yielding, now) {
            return None;
        }
        self.message_to(node, self.hub_gossip(standing, now))
    }

    fn zone_due(&mut self, zone: &str, standing: &NodeStatus, now: Moment) -> Option<GossipTarget> {
        let is_yielding = self.own.zone.as_str() > zone;
        if !self.is_due(
            DigestOrigin::Zone(zone.to_owned()),
            ZONE_INTERVAL,
            is_yielding,
            now,
        ) {
            return None;
        }
        let hubs = self.hubs(zone, now);
        let node = match first_ranked(&hubs, &self.own.zone) {
            Some(node) => node.clone(),
            // A zone of which nothing is heard is asked all the same, or a cut would never heal.
            None => self.next_unreachable(zone, now)?,
        };
        self.message_to(&node, self.gossip(self.zone_digest(standing, now)))
    }

    /// Returns a question to a lost node of the own zone.
    ///
    /// It is asked as its follower would, so its answer tells everybody that it knows.
    fn probe_due(&mut self, standing: &NodeStatus, now: Moment) -> Option<GossipTarget> {
        if now < self.last_probe + PROBE_INTERVAL {
            return None;
        }
        self.last_probe = now;
        let zone = self.own.zone.clone();
        let node = self.next_unreachable(&zone, now)?;
        self.message_to(&node, self.gossip(self.own_digest(standing)))
    }

    fn next_unreachable(&mut self, zone: &str, now: Moment) -> Option<NodeId> {
        let members = self.roster.members().values();
        let lost: Vec<&NodeId> = members
            .filter(|member| member.entry.zone == zone && !member.is_usable(now))
            .map(|member| &member.entry.node)
            .collect();
        self.probe_index = self.probe_index.wrapping_add(1);
        let index = (self.own_hash as usize).wrapping_add(self.probe_index) % lost.len().max(1);
        lost.get(index).map(|node| (*node).clone())
    }

    fn message_to(&self, node: &str, gossip: Gossip) -> Option<GossipTarget> {
        let member = self.roster.members().get(node)?;
        Some(GossipTarget {
            node: node.to_owned(),
            address: member.entry.address.clone(),
            is_same_zone: member.entry.zone == self.own.zone,
            gossip,
        })
    }
}
