//! Digests that a node makes of its own state and of those that it received.

use std::time::Duration;

use briarswitch_core::id::Moment;

use crate::digest::{Digest, DigestOrigin, Heartbeat};
use crate::gossip::{Gossip, NodeStatus};
use crate::membership::Membership;

/// Age up to which a hub relays another zone's digest to the hubs of its own zone.
///
/// Older digests have reached all of them.
const MAX_RELAY_AGE: Duration = Duration::from_millis(250);
/// Time for which the sum over all nodes is reused for further reports.
const SUM_CACHE_TIME: Duration = Duration::from_millis(20);

impl Membership {
    pub(crate) fn own_digest(&self, status: &NodeStatus, now: Moment) -> Digest {
        let mut digest = Digest {
            origin: DigestOrigin::Node(self.own.node.clone()),
            age: Duration::ZERO,
            has_traffic: status.has_traffic,
            members: vec![Heartbeat {
                node: self.own.node.clone(),
                incarnation: self.own.incarnation,
                age: Duration::ZERO,
                is_leaving: status.is_leaving,
                reads_store: status.reads_store,
                is_partitioned: status.is_partitioned,
                request_rate: status.work.total_request_rate(),
            }],
            work: status.work.clone(),
            suspects: status.suspects.clone(),
            limits: Vec::new(),
            speeds: Vec::new(),
        };
        digest.add_limits(&status.limits, Duration::ZERO);
        digest.add_speeds(&status.speeds, Duration::ZERO);
        digest.bound_reports(self.report_seed(now));
        digest
    }

    /// Returns a seed that differs between nodes and between messages.
    fn report_seed(&self, now: Moment) -> u64 {
        self.own_hash ^ now.as_nanos() as u64
    }

    /// Returns the sum of this node and those received digests whose origin `keep` accepts.
    fn sum(
        &self,
        origin: DigestOrigin,
        status: &NodeStatus,
        now: Moment,
        keep: impl Fn(&DigestOrigin) -> bool,
    ) -> Digest {
        let mut sum = Digest {
            origin,
            ..self.own_digest(status, now)
        };
        for (origin, held) in &self.digests {
            if keep(origin) {
                sum.add(&held.digest, now.saturating_sub(held.made_at));
            }
        }
        sum.bound_reports(self.report_seed(now));
        sum
    }

    pub(crate) fn hub_gossip(&self, status: &NodeStatus, now: Moment) -> Gossip {
        let origin = DigestOrigin::Hub(self.own.node.clone());
        let digest = self.sum(origin, status, now, |origin| {
            matches!(origin, DigestOrigin::Node(_))
        });
        let relayed = self.digests.iter().filter(|(origin, held)| {
            let is_recent = now < held.made_at + MAX_RELAY_AGE;
            matches!(origin, DigestOrigin::Zone(_)) && held.is_direct && is_recent
        });
        Gossip {
            relayed: relayed
                .map(|(_, held)| Digest {
                    age: now.saturating_sub(held.made_at),
                    ..held.digest.clone()
                })
                .collect(),
            ..self.gossip(digest)
        }
    }

    pub(crate) fn zone_digest(&self, status: &NodeStatus, now: Moment) -> Digest {
        let origin = DigestOrigin::Zone(self.own.zone.clone());
        self.sum(origin, status, now, |origin| {
            matches!(origin, DigestOrigin::Hub(_) | DigestOrigin::Node(_))
        })
    }

    /// Returns the sum over all nodes, computed at most once per [`SUM_CACHE_TIME`].
    pub(crate) fn fleet_digest(&mut self, status: &NodeStatus, now: Moment) -> Digest {
        let held = self.cached_sum.as_ref();
        if let Some((_, digest)) = held.filter(|(at, _)| now < *at + SUM_CACHE_TIME) {
            return digest.clone();
        }
        self.prune_expired(now);
        let mut digest = self.sum(DigestOrigin::Fleet, status, now, |_| true);
        if let Some(fleet_sum) = self.fleet_sum() {
            digest.has_traffic |= fleet_sum.digest.has_traffic;
            digest.work.add(&fleet_sum.digest.work);
            digest.work.subtract(&fleet_sum.own_work);
        }
        // Only this node's heartbeat; the roster reports the other nodes.
        digest.members.truncate(1);
        self.cached_sum = Some((now, digest.clone()));
        digest
    }
}
