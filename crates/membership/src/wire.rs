//! Wire format of [`Gossip`].
//!
//! The nested types are tuples without field names: a digest has an entry for each node and busy target, and
//! field names made up a quarter of the traffic between zones.

use std::iter;
use std::time::Duration;

use briarswitch_core::id::{Incarnation, ModelId, NodeId, TargetId, ZoneId};
use briarswitch_core::request_limit::RequestLimit;
use briarswitch_core::stated_limit::LimitReport;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::digest::{Digest, DigestOrigin, Heartbeat};
use crate::gossip::Gossip;
use crate::node::NodeEntry;
use crate::roster::{RosterDelta, RosterStatus, RosterVersion};
use crate::work::{TargetKey, WorkSum};

mod speeds;

use speeds::{relayed_docs, set_speeds, speed_docs, SpeedDoc};

/// Wire format of [`Gossip`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipDoc {
    sender: EntryDoc,
    digest: DigestDoc,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    relayed: Vec<DigestDoc>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    mark: Option<RosterVersionDoc>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    roster: Option<RosterDeltaDoc>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<LimitDoc>,
    /// Those of the relayed digests, in the same order; absent if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    relayed_limits: Vec<Vec<LimitDoc>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    speeds: Vec<SpeedDoc>,
    /// Those of the relayed digests, in the same order; absent if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    relayed_speeds: Vec<Vec<SpeedDoc>>,
    /// Need of the digest's nodes; absent if there is none.
    #[serde(default, skip_serializing_if = "NeedDoc::is_empty")]
    need: NeedDoc,
    /// Those of the relayed digests, in the same order; absent if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    relayed_needs: Vec<NeedDoc>,
    /// Of the nodes in the digests and the roster, those that are partitioned from all targets.
    #[serde(default, skip_serializing_if = "IndexSet::is_empty")]
    partitioned: IndexSet<NodeId>,
}

/// Target, requests per second unless the limit has ended, milliseconds since that was heard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct LimitDoc(TargetId, Option<f64>, u64);

/// Waiting requests and demand of the last second by model.
///
/// They stand beside the digests, where nodes of earlier versions ignore them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct NeedDoc(Vec<(ModelId, u32)>, Vec<(ModelId, f32)>);

impl NeedDoc {
    fn is_empty(&self) -> bool {
        self.0.is_empty() && self.1.is_empty()
    }
}

/// Name, zone, address, incarnation, bandwidth in Mbit/s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct EntryDoc(NodeId, ZoneId, String, Incarnation, u32);

/// Incarnation of the hub, version.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct RosterVersionDoc(Incarnation, u64);

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

/// Node, incarnation, milliseconds since it was heard, whether it is leaving, whether it reads the store, requests
/// per second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct HeartbeatDoc(NodeId, Incarnation, u64, bool, bool, f32);

/// Requests by target; loads in progress, demand and requests per second by model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WorkDoc(
    Vec<(TargetKey, u32)>,
    Vec<(ModelId, u32)>,
    Vec<(ModelId, f32)>,
    Vec<(ModelId, f32)>,
);

/// Origin, age in milliseconds, whether there is traffic, members, work, suspects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct DigestDoc(
    OriginDoc,
    u64,
    bool,
    Vec<HeartbeatDoc>,
    WorkDoc,
    Vec<TargetId>,
);

/// Node, whether it is live, whether it is leaving, whether it reads the store, requests per second.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RosterStatusDoc(NodeId, bool, bool, bool, f32);

/// Version, whether it is a snapshot, entries, states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RosterDeltaDoc(RosterVersionDoc, bool, Vec<EntryDoc>, Vec<RosterStatusDoc>);

/// Decodes a rate; one that is no number, infinite or negative counts as none.
fn rate_in_range(rate: f32) -> f64 {
    if rate.is_finite() {
        f64::from(rate).max(0.0)
    } else {
        0.0
    }
}

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

impl From<RosterVersion> for RosterVersionDoc {
    fn from(version: RosterVersion) -> Self {
        Self(version.hub_incarnation, version.version)
    }
}

impl From<RosterVersionDoc> for RosterVersion {
    fn from(RosterVersionDoc(hub_incarnation, version): RosterVersionDoc) -> Self {
        Self {
            hub_incarnation,
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

impl From<&Heartbeat> for HeartbeatDoc {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self(
            heartbeat.node.clone(),
            heartbeat.incarnation,
            millis(heartbeat.age),
            heartbeat.is_leaving,
            heartbeat.reads_store,
            heartbeat.request_rate as f32,
        )
    }
}

impl From<HeartbeatDoc> for Heartbeat {
    fn from(doc: HeartbeatDoc) -> Self {
        let HeartbeatDoc(node, incarnation, age, is_leaving, reads_store, request_rate) = doc;
        Self {
            node,
            incarnation,
            age: Duration::from_millis(age),
            is_leaving,
            reads_store,
            // The names of partitioned nodes stand beside the digests in the message.
            is_partitioned: false,
            request_rate: rate_in_range(request_rate),
        }
    }
}

impl From<&WorkSum> for WorkDoc {
    fn from(work: &WorkSum) -> Self {
        let rate = |(model, rate): (&ModelId, &f64)| (model.clone(), *rate as f32);
        let target_requests = work
            .target_requests
            .iter()
            .filter(|(_, requests)| **requests > 0);
        let loading = work.loading.iter().filter(|(_, count)| **count > 0);
        Self(
            target_requests
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
        let WorkDoc(target_requests, loading, demand, request_rates) = doc;
        let rate = |(model, rate): (ModelId, f32)| (model, rate_in_range(rate));
        Self {
            target_requests: target_requests.into_iter().collect(),
            loading: loading.into_iter().collect(),
            demand: demand.into_iter().map(rate).collect(),
            request_rates: request_rates.into_iter().map(rate).collect(),
            // The need stands beside the digests in the message.
            ..Self::default()
        }
    }
}

impl From<&Digest> for DigestDoc {
    fn from(digest: &Digest) -> Self {
        Self(
            OriginDoc::from(&digest.origin),
            millis(digest.age),
            digest.has_traffic,
            digest.members.iter().map(HeartbeatDoc::from).collect(),
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
            // They stand beside the digests in the message.
            limits: Vec::new(),
            speeds: Vec::new(),
        }
    }
}

impl From<&LimitReport> for LimitDoc {
    fn from(report: &LimitReport) -> Self {
        let rate = report.limit.map(|limit| limit.rate());
        Self(report.target.clone(), rate, millis(report.age))
    }
}

impl From<LimitDoc> for LimitReport {
    fn from(LimitDoc(target, rate, age): LimitDoc) -> Self {
        Self {
            target,
            limit: rate.map(RequestLimit::per_second),
            age: Duration::from_millis(age),
        }
    }
}

fn limit_docs(digest: &Digest) -> Vec<LimitDoc> {
    digest.limits.iter().map(LimitDoc::from).collect()
}

impl From<&WorkSum> for NeedDoc {
    fn from(work: &WorkSum) -> Self {
        let waiting = work.waiting.iter().filter(|(_, count)| **count > 0);
        let waiting = waiting.map(|(model, count)| (model.clone(), *count));
        let demand = work.recent_demand.iter();
        let demand = demand.map(|(model, groups)| (model.clone(), *groups as f32));
        Self(waiting.collect(), demand.collect())
    }
}

fn digest_with(digest: DigestDoc, limits: Vec<LimitDoc>, need: NeedDoc) -> Digest {
    let mut digest = Digest::from(digest);
    digest.limits = limits.into_iter().map(LimitReport::from).collect();
    let NeedDoc(waiting, demand) = need;
    digest.work.waiting = waiting.into_iter().collect();
    let demand = demand.into_iter();
    digest.work.recent_demand = demand
        .map(|(model, groups)| (model, rate_in_range(groups)))
        .collect();
    digest
}

fn relayed_needs(gossip: &Gossip) -> Vec<NeedDoc> {
    let needs = gossip.relayed.iter();
    let needs: Vec<NeedDoc> = needs.map(|digest| NeedDoc::from(&digest.work)).collect();
    if needs.iter().all(NeedDoc::is_empty) {
        return Vec::new();
    }
    needs
}

impl From<&RosterDelta> for RosterDeltaDoc {
    fn from(delta: &RosterDelta) -> Self {
        let status = |status: &RosterStatus| {
            let node = status.node.clone();
            let request_rate = status.request_rate as f32;
            RosterStatusDoc(
                node,
                status.is_live,
                status.is_leaving,
                status.reads_store,
                request_rate,
            )
        };
        Self(
            delta.version.into(),
            delta.is_snapshot,
            delta.entries.iter().map(EntryDoc::from).collect(),
            delta.statuses.iter().map(status).collect(),
        )
    }
}

impl From<RosterDeltaDoc> for RosterDelta {
    fn from(doc: RosterDeltaDoc) -> Self {
        let RosterDeltaDoc(version, is_snapshot, entries, statuses) = doc;
        let status =
            |RosterStatusDoc(node, is_live, is_leaving, reads_store, request_rate): RosterStatusDoc| RosterStatus {
                node,
                is_live,
                is_leaving,
                reads_store,
                // The names of partitioned nodes stand beside the roster in the message.
                is_partitioned: false,
                request_rate: rate_in_range(request_rate),
            };
        Self {
            version: version.into(),
            is_snapshot,
            entries: entries.into_iter().map(NodeEntry::from).collect(),
            statuses: statuses.into_iter().map(status).collect(),
        }
    }
}

impl From<&Gossip> for GossipDoc {
    fn from(gossip: &Gossip) -> Self {
        Self {
            sender: EntryDoc::from(&gossip.sender),
            digest: DigestDoc::from(&gossip.digest),
            relayed: gossip.relayed.iter().map(DigestDoc::from).collect(),
            mark: gossip.roster_version.map(RosterVersionDoc::from),
            roster: gossip.roster.as_ref().map(RosterDeltaDoc::from),
            limits: limit_docs(&gossip.digest),
            relayed_limits: if gossip.relayed.iter().all(|digest| digest.limits.is_empty()) {
                Vec::new()
            } else {
                gossip.relayed.iter().map(limit_docs).collect()
            },
            speeds: speed_docs(&gossip.digest),
            relayed_speeds: relayed_docs(&gossip.relayed),
            need: NeedDoc::from(&gossip.digest.work),
            relayed_needs: relayed_needs(gossip),
            partitioned: partitioned_nodes(gossip),
        }
    }
}

/// Returns the nodes that a message reports to be partitioned from all targets.
fn partitioned_nodes(gossip: &Gossip) -> IndexSet<NodeId> {
    let digests = iter::once(&gossip.digest).chain(&gossip.relayed);
    let heartbeats = digests.flat_map(|digest| &digest.members);
    let heartbeats = heartbeats.filter(|heartbeat| heartbeat.is_partitioned);
    let statuses = gossip.roster.iter().flat_map(|delta| &delta.statuses);
    let statuses = statuses.filter(|status| status.is_partitioned);
    let nodes = heartbeats.map(|heartbeat| &heartbeat.node);
    nodes
        .chain(statuses.map(|status| &status.node))
        .cloned()
        .collect()
}

/// Marks the nodes that a message reports to be partitioned from all targets.
fn mark_partitioned(gossip: &mut Gossip, nodes: &IndexSet<NodeId>) {
    if nodes.is_empty() {
        return;
    }
    let digests = iter::once(&mut gossip.digest).chain(&mut gossip.relayed);
    for heartbeat in digests.flat_map(|digest| &mut digest.members) {
        heartbeat.is_partitioned = nodes.contains(&heartbeat.node);
    }
    let statuses = gossip.roster.iter_mut();
    for status in statuses.flat_map(|delta| &mut delta.statuses) {
        status.is_partitioned = nodes.contains(&status.node);
    }
}

impl From<GossipDoc> for Gossip {
    fn from(doc: GossipDoc) -> Self {
        let mut gossip = Self {
            sender: doc.sender.into(),
            digest: digest_with(doc.digest, doc.limits, doc.need),
            relayed: doc
                .relayed
                .into_iter()
                .zip(
                    doc.relayed_limits
                        .into_iter()
                        .chain(iter::repeat_with(Vec::new)),
                )
                .zip(
                    doc.relayed_needs
                        .into_iter()
                        .chain(iter::repeat_with(NeedDoc::default)),
                )
                .map(|((digest, limits), need)| digest_with(digest, limits, need))
                .collect(),
            roster_version: doc.mark.map(RosterVersion::from),
            roster: doc.roster.map(RosterDelta::from),
        };
        set_speeds(&mut gossip, doc.speeds, doc.relayed_speeds);
        mark_partitioned(&mut gossip, &doc.partitioned);
        gossip
    }
}
