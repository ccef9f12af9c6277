//! [`Gossip`] on the wire.
//!
//! Parts have no names of fields: a digest holds an entry for each node and busy target, and names were a
//! quarter of what zones tell each other.

use std::time::Duration;

use briarswitch_core::id::{Incarnation, ModelId, NodeId, TargetId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::digest::{Digest, DigestOrigin, Heartbeat};
use crate::gossip::Gossip;
use crate::node::NodeEntry;
use crate::roster::{RosterDelta, RosterStatus, RosterVersion};
use crate::work::{TargetKey, WorkSum};

/// [`Gossip`] on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipDoc {
    sender: EntryDoc,
    digest: DigestDoc,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    relayed: Vec<DigestDoc>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    mark: Option<MarkDoc>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    roster: Option<DeltaDoc>,
}

/// Name, zone, address, life, bandwidth in Mbit/s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct EntryDoc(NodeId, ZoneId, String, Incarnation, u32);

/// Life of the hub, version.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct MarkDoc(Incarnation, u64);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum OriginDoc {
    #[serde(rename = "n")]
    Node(NodeId),
    #[serde(rename = "h")]
    Hub(NodeId),
    #[serde(rename = "z")]
    Zone(ZoneId),
    #[serde(rename = "f")]
    Fleet,
}

/// Node, life, milliseconds since it was heard, whether it is leaving, whether it reads the store, requests in a
/// second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct MemberDoc(NodeId, Incarnation, u64, bool, bool, f32);

/// Requests by target, loads under way, demand and arrivals by model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WorkDoc(
    Vec<(TargetKey, u32)>,
    Vec<(ModelId, u32)>,
    Vec<(ModelId, f32)>,
    Vec<(ModelId, f32)>,
);

/// Origin, age in milliseconds, whether there is traffic, members, work, suspects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct DigestDoc(OriginDoc, u64, bool, Vec<MemberDoc>, WorkDoc, Vec<TargetId>);

/// Node, whether it lives, whether it is leaving, whether it reads the store, requests in a second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct SignDoc(NodeId, bool, bool, bool, f32);

/// Mark, whether it is all, entries, states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct DeltaDoc(MarkDoc, bool, Vec<EntryDoc>, Vec<SignDoc>);

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl From<&NodeEntry> for EntryDoc {
    fn from(entry: &NodeEntry) -> Self {
        let (node, zone, address) = (&entry.node, &entry.zone, &entry.address);
        Self(
            node.clone(),
            zone.clone(),
            address.clone(),
            entry.incarnation,
            entry.link_mbps,
        )
    }
}

impl From<EntryDoc> for NodeEntry {
    fn from(doc: EntryDoc) -> Self {
        let EntryDoc(node, zone, address, incarnation, link_mbps) = doc;
        Self {
            node,
            zone,
            address,
            incarnation,
            link_mbps,
        }
    }
}

impl From<RosterVersion> for MarkDoc {
    fn from(mark: RosterVersion) -> Self {
        Self(mark.hub_incarnation, mark.version)
    }
}

impl From<MarkDoc> for RosterVersion {
    fn from(MarkDoc(hub, version): MarkDoc) -> Self {
        Self {
            hub_incarnation: hub,
            version,
        }
    }
}

impl From<&DigestOrigin> for OriginDoc {
    fn from(origin: &DigestOrigin) -> Self {
        match origin {
            DigestOrigin::Node(node) => Self::Node(node.clone()),
            DigestOrigin::Hub(node) => Self::Hub(node.clone()),
            DigestOrigin::Zone(zone) => Self::Zone(zone.clone()),
            DigestOrigin::Fleet => Self::Fleet,
        }
    }
}

impl From<OriginDoc> for DigestOrigin {
    fn from(doc: OriginDoc) -> Self {
        match doc {
            OriginDoc::Node(node) => Self::Node(node),
            OriginDoc::Hub(node) => Self::Hub(node),
            OriginDoc::Zone(zone) => Self::Zone(zone),
            OriginDoc::Fleet => Self::Fleet,
        }
    }
}

impl From<&Heartbeat> for MemberDoc {
    fn from(sign: &Heartbeat) -> Self {
        Self(
            sign.node.clone(),
            sign.incarnation,
            millis(sign.age),
            sign.is_leaving,
            sign.reads_store,
            sign.request_rate as f32,
        )
    }
}

impl From<MemberDoc> for Heartbeat {
    fn from(doc: MemberDoc) -> Self {
        let MemberDoc(node, incarnation, age, is_leaving, reads_store, arrivals) = doc;
        Self {
            node,
            incarnation,
            age: Duration::from_millis(age),
            is_leaving,
            reads_store,
            request_rate: f64::from(arrivals),
        }
    }
}

impl From<&WorkSum> for WorkDoc {
    fn from(work: &WorkSum) -> Self {
        let rate = |(model, rate): (&ModelId, &f64)| (model.clone(), *rate as f32);
        let loads = work
            .target_requests
            .iter()
            .filter(|(_, requests)| **requests > 0);
        let loading = work.loading.iter().filter(|(_, count)| **count > 0);
        Self(
            loads
                .map(|(target, requests)| (*target, *requests))
                .collect(),
            loading
                .map(|(model, count)| (model.clone(), *count))
                .collect(),
            work.demand.iter().map(rate).collect(),
            work.request_rates.iter().map(rate).collect(),
        )
    }
}

impl From<WorkDoc> for WorkSum {
    fn from(doc: WorkDoc) -> Self {
        let WorkDoc(loads, loading, demand, arrivals) = doc;
        let rate = |(model, rate): (ModelId, f32)| (model, f64::from(rate));
        Self {
            target_requests: loads.into_iter().collect(),
            loading: loading.into_iter().collect(),
            demand: demand.into_iter().map(rate).collect(),
            request_rates: arrivals.into_iter().map(rate).collect(),
        }
    }
}

impl From<&Digest> for DigestDoc {
    fn from(digest: &Digest) -> Self {
        Self(
            OriginDoc::from(&digest.origin),
            millis(digest.age),
            digest.has_traffic,
            digest.members.iter().map(MemberDoc::from).collect(),
            WorkDoc::from(&digest.work),
            digest.suspects.clone(),
        )
    }
}

impl From<DigestDoc> for Digest {
    fn from(doc: DigestDoc) -> Self {
        let DigestDoc(origin, age, has_traffic, members, work, suspects) = doc;
        Self {
            origin: origin.into(),
            age: Duration::from_millis(age),
            has_traffic,
            members: members.into_iter().map(Heartbeat::from).collect(),
            work: work.into(),
            suspects,
        }
    }
}

impl From<&RosterDelta> for DeltaDoc {
    fn from(delta: &RosterDelta) -> Self {
        let sign = |sign: &RosterStatus| {
            let node = sign.node.clone();
            let arrivals = sign.request_rate as f32;
            SignDoc(
                node,
                sign.is_live,
                sign.is_leaving,
                sign.reads_store,
                arrivals,
            )
        };
        Self(
            delta.version.into(),
            delta.is_snapshot,
            delta.entries.iter().map(EntryDoc::from).collect(),
            delta.statuses.iter().map(sign).collect(),
        )
    }
}

impl From<DeltaDoc> for RosterDelta {
    fn from(doc: DeltaDoc) -> Self {
        let DeltaDoc(mark, is_whole, entries, signs) = doc;
        let sign =
            |SignDoc(node, is_live, is_leaving, reads_store, arrivals): SignDoc| RosterStatus {
                node,
                is_live,
                is_leaving,
                reads_store,
                request_rate: f64::from(arrivals),
            };
        Self {
            version: mark.into(),
            is_snapshot: is_whole,
            entries: entries.into_iter().map(NodeEntry::from).collect(),
            statuses: signs.into_iter().map(sign).collect(),
        }
    }
}

impl From<&Gossip> for GossipDoc {
    fn from(gossip: &Gossip) -> Self {
        Self {
            sender: EntryDoc::from(&gossip.sender),
            digest: DigestDoc::from(&gossip.digest),
            relayed: gossip.relayed.iter().map(DigestDoc::from).collect(),
            mark: gossip.roster_version.map(MarkDoc::from),
            roster: gossip.roster.as_ref().map(DeltaDoc::from),
        }
    }
}

impl From<GossipDoc> for Gossip {
    fn from(doc: GossipDoc) -> Self {
        Self {
            sender: doc.sender.into(),
            digest: doc.digest.into(),
            relayed: doc.relayed.into_iter().map(Digest::from).collect(),
            roster_version: doc.mark.map(RosterVersion::from),
            roster: doc.roster.map(RosterDelta::from),
        }
    }
}
