//! Nodes that exchange messages through a network of this process, in a time of its own.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_membership::{
    target_key, Gossip, GossipDoc, GossipTarget, Membership, NodeEntry, NodeStatus, WorkSum,
};
use indexmap::IndexMap;

/// Time between two ticks of every node.
pub const TICK: Duration = Duration::from_millis(50);
/// Time after which an answer that has not come is missed.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Target at which every node has its requests.
pub const TARGET: &str = "head";

pub struct TestNode {
    pub membership: Membership,
    pub entry: NodeEntry,
    pub requests: u32,
    pub suspects: Vec<String>,
    pub is_leaving: bool,
    pub asked: u64,
    pub bytes: u64,
}

struct Missed {
    from: String,
    node: String,
    at: Moment,
}

/// A fleet whose links are cut and whose nodes are stopped by name.
pub struct Fleet {
    pub now: Moment,
    pub nodes: IndexMap<String, TestNode>,
    /// Nodes that neither ask nor answer.
    pub silent: BTreeSet<String>,
    /// Sides of a cut; nodes of different sides do not reach each other.
    pub sides: IndexMap<String, u32>,
    missed: Vec<Missed>,
    /// Whether a message is lost, by a count of all messages.
    pub loss: fn(u64) -> bool,
    count: u64,
}

pub fn zone_of(index: usize, zones: usize) -> String {
    format!("zone-{}", index % zones)
}

impl Fleet {
    /// Opens a fleet in which every node knows every other from the registry.
    pub fn open(nodes: usize, zones: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            nodes: IndexMap::new(),
            silent: BTreeSet::new(),
            sides: IndexMap::new(),
            missed: Vec::new(),
            loss: |_| false,
            count: 0,
        };
        for index in 0..nodes {
            fleet.add(&format!("node-{index:03}"), &zone_of(index, zones), 1);
        }
        fleet
    }

    /// Adds a node, or starts one again, in a life of its own.
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
            is_leaving: false,
            asked: 0,
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

    fn standing(&self, name: &str) -> NodeStatus {
        let node = &self.nodes[name];
        NodeStatus {
            is_leaving: node.is_leaving,
            reads_store: false,
            has_traffic: false,
            work: WorkSum {
                target_requests: [(target_key(TARGET), node.requests)].into_iter().collect(),
                loading: IndexMap::from([("chat".to_owned(), 1)]),
                ..WorkSum::default()
            },
            suspects: node.suspects.clone(),
        }
    }

    fn reaches(&self, from: &str, to: &str) -> bool {
        let side = |name: &str| self.sides.get(name).copied().unwrap_or(0);
        let is_up = |name: &str| !self.silent.contains(name) && self.nodes.contains_key(name);
        is_up(from) && is_up(to) && side(from) == side(to)
    }

    /// Lets time pass; answers come at once, failures are noticed after a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.note_missed();
            for name in self.names() {
                if !self.silent.contains(&name) {
                    self.tick(&name);
                }
            }
        }
    }

    fn note_missed(&mut self) {
        let now = self.now;
        let (due, left): (Vec<Missed>, Vec<Missed>) =
            self.missed.drain(..).partition(|missed| missed.at <= now);
        self.missed = left;
        for missed in due {
            if let Some(node) = self.nodes.get_mut(&missed.from) {
                node.membership.record_failure(&missed.node, now);
            }
        }
    }

    fn tick(&mut self, name: &str) {
        let (now, standing) = (self.now, self.standing(name));
        let node = &mut self.nodes[name];
        let due = node.membership.due_messages(&standing, now);
        node.asked += due.len() as u64;
        for target in due {
            self.exchange(name, &target);
        }
    }

    fn exchange(&mut self, from: &str, target: &GossipTarget) {
        self.count += 1;
        let is_lost = (self.loss)(self.count);
        if is_lost || !self.reaches(from, &target.node) {
            let at = self.now + ANSWER_TIME;
            let (from, node) = (from.to_owned(), target.node.clone());
            self.missed.push(Missed { from, node, at });
            return;
        }
        let now = self.now;
        let standing = self.standing(&target.node);
        let asked = self.carry(from, &target.gossip);
        let other = &mut self.nodes[&target.node];
        let answer = other.membership.respond(&asked, &standing, now);
        let answer = self.carry(from, &answer);
        let node = &mut self.nodes[from];
        node.membership.handle_response(target, &answer, now, now);
    }

    /// Writes a message as it goes over the wire and reads it back.
    fn carry(&mut self, from: &str, gossip: &Gossip) -> Gossip {
        let bytes = rmp_serde::to_vec_named(&GossipDoc::from(gossip)).expect("it is written");
        self.nodes[from].bytes += bytes.len() as u64;
        let doc: GossipDoc = rmp_serde::from_slice(&bytes).expect("it is read");
        doc.into()
    }

    /// Returns the requests of all other nodes at the target, as a node knows them.
    pub fn known(&mut self, name: &str) -> u32 {
        let now = self.now;
        let work = self.nodes[name].membership.peer_work(now);
        work.target_requests
            .get(&target_key(TARGET))
            .copied()
            .unwrap_or(0)
    }

    /// Returns how many other nodes a node holds for live.
    pub fn live(&self, name: &str) -> usize {
        let members = self.nodes[name].membership.roster().members();
        let live = members.values().filter(|member| member.is_live(self.now));
        live.count()
    }

    /// Lets time pass until something holds; returns how long that took.
    pub fn until(&mut self, limit: Duration, holds: impl Fn(&mut Self) -> bool) -> Duration {
        let begun = self.now;
        while !holds(self) {
            if self.now >= begun + limit {
                let faults = self.faults();
                panic!("it did not come about in {limit:?}: {faults:#?}");
            }
            self.run(TICK);
        }
        self.now - begun
    }

    /// Returns whether every node that runs knows exactly those it reaches, and their work.
    pub fn is_settled(&mut self) -> bool {
        self.names().iter().all(|name| {
            if self.silent.contains(name) {
                return true;
            }
            let names = self.names();
            let reached = names.iter().filter(|other| self.reaches(name, other));
            let count = reached.count() - 1;
            self.live(name) == count && self.known(name) as usize == count
        })
    }

    /// Returns what nodes believe wrongly, a few of it.
    pub fn faults(&mut self) -> Vec<String> {
        let names = self.names();
        let mut faults = Vec::new();
        for name in &names {
            if self.silent.contains(name) {
                continue;
            }
            let reached: Vec<&String> = names
                .iter()
                .filter(|other| *other != name && self.reaches(name, other))
                .collect();
            let known = self.known(name);
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
                faults.push(format!(
                    "{name} hub {is_hub} knows {known} of {}, wrong {wrong:?}, missing {missing:?}",
                    reached.len()
                ));
            }
        }
        faults.truncate(8);
        faults
    }

    /// Returns the hubs of a zone, as they see themselves.
    pub fn hubs(&self, zone: &str) -> Vec<String> {
        let hubs = self.nodes.iter().filter(|(name, node)| {
            let is_up = !self.silent.contains(*name);
            is_up && node.entry.zone == zone && node.membership.is_hub(self.now)
        });
        hubs.map(|(name, _)| name.clone()).collect()
    }
}
