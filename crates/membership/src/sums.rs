//! What a node tells of itself and of those it speaks for.

use std::time::Duration;

use briarswitch_core::id::Moment;

use crate::digest::{Digest, DigestOrigin, Heartbeat};
use crate::gossip::{Gossip, NodeStatus};
use crate::membership::Membership;

/// Age up to which what another zone told is passed on inside the own one; later all have heard it.
const RELAYED_AGE: Duration = Duration::from_millis(250);
/// Time for which one sum answers all that ask.
const FOLD_TIME: Duration = Duration::from_millis(20);

impl Membership {
    pub(crate) fn own_digest(&self, standing: &NodeStatus) -> Digest {
        Digest {
            origin: DigestOrigin::Node(self.own.node.clone()),
            age: Duration::ZERO,
            has_traffic: standing.has_traffic,
            members: vec![Heartbeat {
                node: self.own.node.clone(),
                incarnation: self.own.incarnation,
                age: Duration::ZERO,
                is_leaving: standing.is_leaving,
                reads_store: standing.reads_store,
                request_rate: standing.work.total_request_rate(),
            }],
            work: standing.work.clone(),
            suspects: standing.suspects.clone(),
        }
    }

    /// Returns the sum of this node and those digests that `keep` names.
    fn sum(
        &self,
        origin: DigestOrigin,
        standing: &NodeStatus,
        now: Moment,
        keep: impl Fn(&DigestOrigin) -> bool,
    ) -> Digest {
        let mut sum = Digest {
            origin,
            ..self.own_digest(standing)
        };
        for (origin, held) in &self.digests {
            if keep(origin) {
                sum.add(&held.digest, now.saturating_sub(held.made_at));
            }
        }
        sum
    }

    pub(crate) fn hub_gossip(&self, standing: &NodeStatus, now: Moment) -> Gossip {
        let origin = DigestOrigin::Hub(self.own.node.clone());
        let digest = self.sum(origin, standing, now, |origin| {
            matches!(origin, DigestOrigin::Node(_))
        });
        let relayed = self.digests.iter().filter(|(origin, held)| {
            let is_new = now < held.made_at + RELAYED_AGE;
            matches!(origin, DigestOrigin::Zone(_)) && held.is_direct && is_new
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

    pub(crate) fn zone_digest(&self, standing: &NodeStatus, now: Moment) -> Digest {
        let origin = DigestOrigin::Zone(self.own.zone.clone());
        self.sum(origin, standing, now, |origin| {
            matches!(origin, DigestOrigin::Hub(_) | DigestOrigin::Node(_))
        })
    }

    /// Returns the sum of all nodes, made anew only every [`FOLD_TIME`].
    pub(crate) fn fleet_digest(&mut self, standing: &NodeStatus, now: Moment) -> Digest {
        let held = self.cached_sum.as_ref();
        if let Some((_, digest)) = held.filter(|(at, _)| now < *at + FOLD_TIME) {
            return digest.clone();
        }
        self.prune_expired(now);
        let mut digest = self.sum(DigestOrigin::Fleet, standing, now, |_| true);
        if let Some(told) = self.fleet_sum() {
            digest.has_traffic |= told.digest.has_traffic;
            digest.work.add(&told.digest.work);
            digest.work.subtract(&told.own_work);
        }
        // Only the node that speaks; of the others the roster tells.
        digest.members.truncate(1);
        self.cached_sum = Some((now, digest.clone()));
        digest
    }
}
