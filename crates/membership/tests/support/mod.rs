//! Simulation of nodes that exchange messages in one process, with a simulated clock.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::time::Duration;

use briarswitch_core::id::{Moment, TargetId};
use briarswitch_core::speed::{ReportedSpeed, SpeedReport};
use briarswitch_core::stated_limit::{LimitReport, StatedLimit};
use briarswitch_membership::{
    target_key, Gossip, GossipDoc, GossipTarget, Membership, NodeEntry, NodeStatus, WorkSum,
};
use indexmap::IndexMap;

/// Interval between the ticks of every node.
pub const TICK: Duration = Duration::from_millis(50);
/// Time after which a missing response counts as a failure.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Target of all requests of every node.
pub const TARGET: &str = "head";

pub struct TestNode {
    pub membership: Membership,
    pub entry: NodeEntry,
    pub requests: u32,
    pub suspects: Vec<String>,
    /// What the node knows of the limits of targets.
    pub limits: IndexMap<TargetId, StatedLimit>,
    /// What the node reports about the speed of targets.
    pub speeds: Vec<SpeedReport>,
    /// What the node last heard about the speed of targets.
    pub heard_speeds: IndexMap<TargetId, ReportedSpeed>,
    pub is_leaving: bool,
    /// Whether the node is partitioned from all targets.
    pub is_partitioned: bool,
    pub sent_messages: u64,
    pub bytes: u64,
}

impl TestNode {
    fn limit_reports(&self, now: Moment) -> Vec<LimitReport> {
        let reports = self.limits.iter().filter_map(|(target, stated)| {
            let (limit, age) = stated.report(now)?;
            Some(LimitReport {
                target: target.clone(),
                limit,
                age,
            })
        });
        reports.collect()
    }

    fn apply_speeds(&mut self, gossip: &Gossip, now: Moment) {
        for report in gossip.speeds() {
            let heard = self.heard_speeds.entry(report.target).or_default();
            heard.record(report.ratio, report.age, now);
        }
    }

    fn apply_limits(&mut self, gossip: &Gossip, now: Moment) {
        for report in gossip.limits() {
            let stated = self.limits.entry(report.target.clone()).or_default();
            stated.record_report(report.limit, report.age, now);
        }
    }
}

struct PendingFailure {
    from: String,
    node: String,
    at: Moment,
}

/// A fleet whose nodes can be stopped or partitioned by name.
pub struct Fleet {
    pub now: Moment,
    pub nodes: IndexMap<String, TestNode>,
    /// Nodes that neither send nor respond.
    pub stopped: BTreeSet<String>,
    /// Partition of each node, 0 if absent; nodes of different partitions do not reach each other.
    pub partitions: IndexMap<String, u32>,
    pending_failures: Vec<PendingFailure>,
    /// Whether the message with a given number is lost.
    pub is_lost: fn(u64) -> bool,
    count: u64,
}

pub fn zone_of(index: usize, zones: usize) -> String {
    format!("zone-{}", index % zones)
}

impl Fleet {
    /// Creates a fleet in which every node knows all others from the registry.
    pub fn new(nodes: usize, zones: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            nodes: IndexMap::new(),
            stopped: BTreeSet::new(),
            partitions: IndexMap::new(),
            pending_failures: Vec::new(),
            is_lost: |_| false,
            count: 0,
        };
        for index in 0..nodes {
            fleet.add(&format!("node-{index:03}"), &zone_of(index, zones), 1);
        }
        fleet
    }

    /// Adds a node, or restarts one as the given incarnation.
    pub fn add(&mut self, name: &str, zone: &str, incarnation: u64) {
        let entry = NodeEntry {
            node: name.to_owned(),
            zone: zone.to_owned(),
            address: format!("{name}:1"),
            incarnation,
            link_mbps: 20,
        };
        let node = TestNode {
            membership: Membership::new(entry.clone()),
            entry,
            requests: 1,
            suspects: Vec::new(),
            limits: IndexMap::new(),
            speeds: Vec::new(),
            heard_speeds: IndexMap::new(),
            is_leaving: false,
            is_partitioned: false,
            sent_messages: 0,
            bytes: 0,
        };
        self.nodes.insert(name.to_owned(), node);
        let entries: Vec<NodeEntry> = self.nodes.values().map(|node| node.entry.clone()).collect();
        let now = self.now;
        for node in self.nodes.values_mut() {
            for entry in &entries {
                node.membership.add_node(entry, now);
            }
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    pub fn status(&self, name: &str) -> NodeStatus {
        let node = &self.nodes[name];
        NodeStatus {
            is_leaving: node.is_leaving,
            reads_store: false,
            is_partitioned: node.is_partitioned,
            has_traffic: false,
            work: WorkSum {
                target_requests: [(target_key(TARGET), node.requests)].into_iter().collect(),
                loading: IndexMap::from([("chat".to_owned(), 1)]),
                ..WorkSum::default()
            },
            suspects: node.suspects.clone(),
            limits: node.limit_reports(self.now),
            speeds: node.speeds.clone(),
        }
    }

    fn reaches(&self, from: &str, to: &str) -> bool {
        let side = |name: &str| self.partitions.get(name).copied().unwrap_or(0);
        let is_up = |name: &str| !self.stopped.contains(name) && self.nodes.contains_key(name);
        is_up(from) && is_up(to) && side(from) == side(to)
    }

    /// Advances the clock; responses arrive at once, failures are noticed after [`RESPONSE_TIMEOUT`].
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.record_failures();
            for name in self.names() {
                if !self.stopped.contains(&name) {
                    self.tick(&name);
                }
            }
        }
    }

    fn record_failures(&mut self) {
        let now = self.now;
        let (due, left): (Vec<PendingFailure>, Vec<PendingFailure>) = self
            .pending_failures
            .drain(..)
            .partition(|failure| failure.at <= now);
        self.pending_failures = left;
        for failure in due {
            if let Some(node) = self.nodes.get_mut(&failure.from) {
                node.membership.record_failure(&failure.node, now);
            }
        }
    }

    fn tick(&mut self, name: &str) {
        let (now, status) = (self.now, self.status(name));
        let node = &mut self.nodes[name];
        let due = node.membership.due_messages(|| status.clone(), now);
        node.sent_messages += due.len() as u64;
        for target in due {
            self.exchange(name, &target);
        }
    }

    fn exchange(&mut self, from: &str, target: &GossipTarget) {
        self.count += 1;
        let is_lost = (self.is_lost)(self.count);
        if is_lost || !self.reaches(from, &target.node) {
            let at = self.now + RESPONSE_TIMEOUT;
            let (from, node) = (from.to_owned(), target.node.clone());
            self.pending_failures
                .push(PendingFailure { from, node, at });
            return;
        }
        let now = self.now;
        let status = self.status(&target.node);
        let request = self.transmit(from, &target.gossip);
        let other = &mut self.nodes[&target.node];
        other.apply_limits(&request, now);
        other.apply_speeds(&request, now);
        let response = other.membership.respond(&request, &status, now);
        let response = self.transmit(from, &response);
        let node = &mut self.nodes[from];
        node.apply_limits(&response, now);
        node.apply_speeds(&response, now);
        node.membership.handle_response(target, &response, now, now);
    }

    /// Serializes a message for the wire and deserializes it, counting its bytes.
    fn transmit(&mut self, from: &str, gossip: &Gossip) -> Gossip {
        let bytes =
            rmp_serde::to_vec_named(&GossipDoc::from(gossip)).expect("message must serialize");
        self.nodes[from].bytes += bytes.len() as u64;
        let doc: GossipDoc = rmp_serde::from_slice(&bytes).expect("message must deserialize");
        doc.into()
    }

    /// Returns the number of requests of all other nodes that a node knows.
    pub fn known_requests(&mut self, name: &str) -> u32 {
        let now = self.now;
        let work = self.nodes[name].membership.peer_work(now);
        work.target_requests
            .get(&target_key(TARGET))
            .copied()
            .unwrap_or(0)
    }

    /// Returns how many other nodes are live according to a node.
    pub fn live_peers(&self, name: &str) -> usize {
        let members = self.nodes[name].membership.roster().members();
        let live = members.values().filter(|member| member.is_live(self.now));
        live.count()
    }

    /// Advances the clock until a condition holds and returns how long that took.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&mut Self) -> bool) -> Duration {
        let begun = self.now;
        while !holds(self) {
            if self.now >= begun + limit {
                let discrepancies = self.discrepancies();
                panic!("condition not met within {limit:?}: {discrepancies:#?}");
            }
            self.run(TICK);
        }
        self.now - begun
    }

    /// Returns whether every running node knows exactly the nodes that it reaches, and their work.
    pub fn is_settled(&mut self) -> bool {
        self.names().iter().all(|name| {
            if self.stopped.contains(name) {
                return true;
            }
            let names = self.names();
            let reached = names.iter().filter(|other| self.reaches(name, other));
            let count = reached.count() - 1;
            self.live_peers(name) == count && self.known_requests(name) as usize == count
        })
    }

    /// Describes the first few nodes whose knowledge is wrong.
    pub fn discrepancies(&mut self) -> Vec<String> {
        let names = self.names();
        let mut discrepancies = Vec::new();
        for name in &names {
            if self.stopped.contains(name) {
                continue;
            }
            let reached: Vec<&String> = names
                .iter()
                .filter(|other| *other != name && self.reaches(name, other))
                .collect();
            let known = self.known_requests(name);
            let membership = &self.nodes[name].membership;
            let members = membership.roster().members().values();
            let live = members.filter(|member| member.is_live(self.now));
            let live: Vec<&String> = live.map(|member| &member.entry.node).collect();
            let wrong: Vec<_> = live
                .iter()
                .filter(|other| !reached.contains(other))
                .collect();
            let missing: Vec<_> = reached
                .iter()
                .filter(|other| !live.contains(other))
                .collect();
            if known as usize != reached.len() || !wrong.is_empty() || !missing.is_empty() {
                let is_hub = membership.is_hub(self.now);
                discrepancies.push(format!(
                    "{name} (hub: {is_hub}) knows {known} of {} requests; wrongly live {wrong:?}, missing {missing:?}",
                    reached.len()
                ));
            }
        }
        discrepancies.truncate(8);
        discrepancies
    }

    /// Returns the nodes of a zone that act as hubs.
    pub fn hubs(&self, zone: &str) -> Vec<String> {
        let hubs = self.nodes.iter().filter(|(name, node)| {
            let is_up = !self.stopped.contains(*name);
            is_up && node.entry.zone == zone && node.membership.is_hub(self.now)
        });
        hubs.map(|(name, _)| name.clone()).collect()
    }
}
