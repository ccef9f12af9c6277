//! Schedule of the messages that a node sends, and their recipients.

use std::cell::LazyCell;
use std::ops::Deref;
use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId, ZoneId};
use indexmap::IndexSet;

use crate::digest::DigestOrigin;
use crate::gossip::{Gossip, GossipTarget, NodeStatus};
use crate::membership::{FollowedHub, Membership, ReceivedDigest};
use crate::rank::{bandwidth_rank, first_ranked, RankKey};

/// Hubs of a zone; if two fail at once, all nodes still know the third.
const HUBS_PER_ZONE: usize = 3;
/// Key by which hubs are ranked; all nodes must use the same.
const HUB_RANK_KEY: &str = "hub";
/// Interval between reports of a node to its hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the messages between two hubs of a zone.
const HUB_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the messages between two zones; longer, since traffic between zones is paid by the byte.
const ZONE_INTERVAL: Duration = Duration::from_millis(100);
/// Factor on the interval for the side with the higher name, so that usually only the other one sends.
const YIELD_FACTOR: u32 = 2;
/// Interval of the probes to unreachable nodes of this node's zone.
///
/// Without probes two halves of a partitioned zone would never merge again. The halves of a fleet took 5.7 s to
/// find hubs of their own in every zone with one probe a second, and at most 5 s with two.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the messages that tell a node which incarnation of it is held.
///
/// Heartbeats that were overtaken by a restart are old for a moment, too.
const CORRECTION_INTERVAL: Duration = Duration::from_millis(250);

impl Membership {
    /// Returns the messages that are due at `now`; `status` is called only if there are any.
    pub fn due_messages(
        &mut self,
        status: impl FnOnce() -> NodeStatus,
        now: Moment,
    ) -> Vec<GossipTarget> {
        let status = LazyCell::new(status);
        self.prune_expired(now);
        let zone = self.own.zone.clone();
        let hubs = self.hubs(&zone, now);
        let mut due: Vec<GossipTarget> = self.correction_due(now).into_iter().collect();
        if !self.is_hub_among(&hubs, now) {
            due.extend(self.report_due(&hubs, &status, now));
            return due;
        }
        self.followed = None;
        for node in &hubs {
            if *node != self.own.node {
                due.extend(self.hub_due(node, &status, now));
            }
        }
        for zone in self.other_zones() {
            if self.is_contact_for(&zone, &hubs) {
                due.extend(self.zone_due(&zone, &status, now));
            }
        }
        due.extend(self.probe_due(&status, now));
        due
    }

    /// Returns the hubs of a zone by rank, including this node if it is one.
    pub(crate) fn hubs(&self, zone: &str, now: Moment) -> Vec<NodeId> {
        let key = RankKey::from(HUB_RANK_KEY);
        let members = self.roster.members().values();
        let usable = members.filter(|member| member.entry.zone == zone && member.is_usable(now));
        let mut ranked: Vec<_> = usable
            .map(|member| {
                let rank = bandwidth_rank(&member.entry, member.hash, key);
                (rank, &member.entry.node)
            })
            .collect();
        if zone == self.own.zone {
            let rank = bandwidth_rank(&self.own, self.own_hash, key);
            ranked.push((rank, &self.own.node));
        }
        ranked.sort_unstable();
        ranked.truncate(HUBS_PER_ZONE);
        ranked.into_iter().map(|(_, node)| node.clone()).collect()
    }

    /// Returns whether this node acts as a hub: it is one of its zone's `hubs`, or receives reports.
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

    /// Returns whether this node is the one of its zone's hubs that exchanges messages with another zone.
    fn is_contact_for(&self, zone: &str, hubs: &[NodeId]) -> bool {
        first_ranked(hubs, zone).is_none_or(|node| *node == self.own.node)
    }

    /// Returns whether a message to `origin` is due at `now`, and records it as sent if so.
    ///
    /// A digest received from `origin` restarts the interval. `is_yielding` extends it where the other side
    /// sends messages as well, so that this side waits for those.
    fn is_due(
        &mut self,
        origin: DigestOrigin,
        interval: Duration,
        is_yielding: bool,
        now: Moment,
    ) -> bool {
        let interval = if is_yielding {
            interval * YIELD_FACTOR
        } else {
            interval
        };
        let heard = self.digests.get(&origin).map(|held| held.made_at);
        let sent_at = self.last_sent.get(&origin).copied();
        let is_due = heard.max(sent_at).is_none_or(|at| now >= at + interval);
        if is_due {
            self.last_sent.insert(origin, now);
        }
        is_due
    }

    /// Returns the report to this node's hub, which remains the same as long as the zone's hubs do.
    fn report_due(
        &mut self,
        hubs: &[NodeId],
        status: &impl Deref<Target = NodeStatus>,
        now: Moment,
    ) -> Option<GossipTarget> {
        let node = first_ranked(hubs, &self.own.node)?;
        let is_same = self.followed.as_ref().is_some_and(|hub| hub.node == *node);
        if !is_same {
            let fleet_sum = self.followed.take().and_then(|hub| hub.fleet_sum);
            self.last_sent.swap_remove(&DigestOrigin::Fleet);
            self.followed = Some(FollowedHub {
                node: node.clone(),
                roster_version: None,
                fleet_sum,
            });
        }
        if !self.is_due(DigestOrigin::Fleet, REPORT_INTERVAL, false, now) {
            return None;
        }
        let roster_version = self.followed.as_ref().and_then(|hub| hub.roster_version);
        let report = Gossip {
            roster_version,
            ..self.gossip(self.own_digest(status, now))
        };
        self.message_to(node, report)
    }

    fn hub_due(
        &mut self,
        node: &str,
        status: &impl Deref<Target = NodeStatus>,
        now: Moment,
    ) -> Option<GossipTarget> {
        let origin = DigestOrigin::Hub(node.to_owned());
        let is_yielding = self.own.node.as_str() > node;
        if !self.is_due(origin, HUB_INTERVAL, is_yielding, now) {
            return None;
        }
        self.message_to(node, self.hub_gossip(status, now))
    }

    fn zone_due(
        &mut self,
        zone: &str,
        status: &impl Deref<Target = NodeStatus>,
        now: Moment,
    ) -> Option<GossipTarget> {
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
            // Messages go to a zone without usable nodes as well, or a partition would never heal.
            None => self.next_unreachable(zone, now)?,
        };
        self.message_to(&node, self.gossip(self.zone_digest(status, now)))
    }

    /// Returns a probe to an unreachable node of this node's zone.
    ///
    /// The probe has the form of a follower's report, so the response has a snapshot of the roster.
    fn probe_due(
        &mut self,
        status: &impl Deref<Target = NodeStatus>,
        now: Moment,
    ) -> Option<GossipTarget> {
        if now < self.last_probe + PROBE_INTERVAL {
            return None;
        }
        self.last_probe = now;
        let zone = self.own.zone.clone();
        let node = self.next_unreachable(&zone, now)?;
        self.message_to(&node, self.gossip(self.own_digest(status, now)))
    }

    /// Returns a message to a node that is heard only through others, as an earlier incarnation than the held one.
    fn correction_due(&mut self, now: Moment) -> Option<GossipTarget> {
        if now < self.last_correction + CORRECTION_INTERVAL {
            return None;
        }
        let node = self.outnumbered.pop()?;
        self.last_correction = now;
        let held = &self.roster.members().get(&node)?.entry;
        self.message_to(&node, self.correction(held))
    }

    fn next_unreachable(&mut self, zone: &str, now: Moment) -> Option<NodeId> {
        let members = self.roster.members().values();
        let unreachable: Vec<&NodeId> = members
            .filter(|member| member.entry.zone == zone && !member.is_usable(now))
            .map(|member| &member.entry.node)
            .collect();
        self.probe_index = self.probe_index.wrapping_add(1);
        let index =
            (self.own_hash as usize).wrapping_add(self.probe_index) % unreachable.len().max(1);
        unreachable.get(index).map(|node| (*node).clone())
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
