//! Plays a recorded load over nodes that share a queue, or that keep to slot shares of their own.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::*;
use briarswitch_core::waiting::{next_waiting, WaitParams, WaitVerdict, WaitingRequest};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::queue_counts::{Counts, SlotUse};
use super::queue_load::{Arrival, NODES};
use super::queue_nodes::{
    Event, Faults, GroupCounts, NodeRequest, SimulatedNode, SlotPolicy, GROUPS, SLOTS,
};
use super::slot_shares::{pick_by_shares, NodeKnowledge};

/// Time from getting a slot to the first event.
pub const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Time that callers wait for the whole response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of samples, of gossip and of a node's own attempts to find a slot.
pub const TICK: Duration = Duration::from_millis(10);
/// Youngest and oldest knowledge of other nodes, in ticks.
const INFO_AGE_TICKS: (usize, usize) = (18, 22);
/// Shortest interval between two messages of a node.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest interval between two messages of a node with waiting requests.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest and longest time of a message, in milliseconds.
const MESSAGE_MILLIS: (u64, u64) = (2, 8);

/// A fleet of nodes, its groups and up to two coordinators.
pub struct Simulation<'a> {
    pub counts: Counts,
    policy: SlotPolicy,
    faults: Faults,
    load: &'a [Arrival],
    random: StdRng,
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    nodes: Vec<SimulatedNode>,
    coordinators: [SharedQueue; 2],
    /// Active requests by node and group at successive ticks, the newest first.
    history: VecDeque<Vec<GroupCounts>>,
    slot_use: SlotUse,
}

impl<'a> Simulation<'a> {
    /// Prepares a play of a load.
    pub fn new(policy: SlotPolicy, load: &'a [Arrival], faults: Faults) -> Self {
        let idle = vec![[0; GROUPS]; NODES];
        let mut simulation = Self {
            counts: Counts::default(),
            policy,
            load,
            random: StdRng::seed_from_u64(load.len() as u64),
            now: Moment::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            nodes: vec![SimulatedNode::default(); NODES],
            coordinators: Default::default(),
            history: VecDeque::from(vec![idle; INFO_AGE_TICKS.1 + 1]),
            slot_use: SlotUse::default(),
            faults,
        };
        for (index, arrival) in load.iter().enumerate() {
            simulation.schedule(arrival.at, Event::Arrive(index));
        }
        for (at, node) in simulation.faults.kills.clone() {
            simulation.schedule(at, Event::Kill(node));
        }
        simulation.schedule(TICK, Event::Tick);
        simulation
    }

    /// Sets the weights of the organisations at both coordinators.
    pub fn set_weights(&mut self, weights: &IndexMap<String, u32>) {
        for coordinator in &mut self.coordinators {
            coordinator.set_weights(weights.clone());
        }
    }

    /// Plays until `end` and returns what callers got.
    pub fn run(mut self, end: Moment) -> Counts {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.counts
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Send(node) => self.send(node),
            Event::Receive(coordinator, requests, released) => {
                self.coordinate(coordinator, requests, &released);
            }
            Event::Reply(node, decision) => self.receive(node, decision),
            Event::End(node, group) => self.end(node, group),
            Event::Kill(node) => self.kill(node),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = &self.load[index];
        if self.nodes[arrival.node].is_dead {
            return;
        }
        let request = WaitingRequest::new(WaitParams {
            arrived: arrival.at,
            objective: arrival.stream.objective,
            first_event_time: FIRST_EVENT_TIME,
            deadline: arrival.at + CALLER_TIMEOUT,
            priority: arrival.stream.priority,
            ..WaitParams::default()
        });
        self.counts.arrived += 1;
        self.wait(arrival.node, index, request, Vec::new());
    }

    fn wait(
        &mut self,
        node: usize,
        arrival: usize,
        request: WaitingRequest,
        excluded: Vec<GroupKey>,
    ) {
        let ticket = self.nodes[node].next_ticket;
        self.nodes[node].next_ticket += 1;
        self.nodes[node].waiting.push(NodeRequest {
            ticket,
            arrival,
            request,
            excluded,
            is_granted: false,
        });
        self.notify(node);
    }

    /// Lets a node act on a request or a slot that is new.
    fn notify(&mut self, node: usize) {
        match self.policy {
            SlotPolicy::SharedQueue => {
                if !self.nodes[node].is_sending {
                    self.nodes[node].is_sending = true;
                    let earliest = self.nodes[node].sent_at + MIN_MESSAGE_INTERVAL;
                    self.schedule(earliest.max(self.now), Event::Send(node));
                }
            }
            SlotPolicy::SlotShares => self.serve_by_shares(node),
        }
    }

    fn coordinator_of(&self, node: usize) -> usize {
        let is_split = self
            .faults
            .split
            .is_some_and(|(from, until)| self.now >= from && self.now < until);
        let is_taken_over = self.faults.takeover.is_some_and(|at| self.now >= at);
        usize::from(is_taken_over || is_split && node % 2 == 1)
    }

    fn message_time(&mut self) -> Duration {
        let is_delayed = self.random.random_bool(self.faults.delayed_share);
        let millis = self
            .random
            .random_range(MESSAGE_MILLIS.0..=MESSAGE_MILLIS.1);
        let delay = if is_delayed {
            MIN_MESSAGE_INTERVAL * 2
        } else {
            Duration::ZERO
        };
        Duration::from_millis(millis) + delay
    }

    fn send(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_sending = false;
        if node.is_dead {
            return;
        }
        node.sequence += 1;
        node.sent_at = self.now;
        let released = std::mem::take(&mut node.released);
        let queued = |waiting: &NodeRequest| {
            let stream = &self.load[waiting.arrival].stream;
            QueuedRequest {
                ticket: waiting.ticket,
                organisation: stream.organisation.to_owned(),
                tokens: stream.tokens,
                request: waiting.request,
                excluded: waiting.excluded.clone(),
            }
        };
        let requests = NodeRequests {
            node: index.to_string(),
            incarnation: 1,
            sequence: node.sequence,
            requests: node.waiting.iter().map(queued).collect(),
        };
        let at = self.now + self.message_time();
        let coordinator = self.coordinator_of(index);
        self.schedule(at, Event::Receive(coordinator, requests, released));
    }

    fn coordinate(
        &mut self,
        coordinator: usize,
        requests: NodeRequests,
        released: &IndexMap<GroupKey, u32>,
    ) {
        let known = self.known_requests();
        let groups = known
            .iter()
            .enumerate()
            .map(|(group, active)| GroupCapacity {
                group: group as GroupKey,
                slots: SLOTS,
                active_requests: *active,
                first_event_time: FIRST_EVENT_TIME,
            });
        let groups: Vec<GroupCapacity> = groups.collect();
        let queue = &mut self.coordinators[coordinator];
        for (group, slots) in released {
            queue.release(*group, *slots, self.now);
        }
        queue.update(requests, self.now);
        let decision = queue.serve(&groups, self.now);
        let mut replies: IndexMap<usize, QueueDecision> = IndexMap::new();
        for grant in decision.grants {
            let node: usize = grant.node.parse().unwrap();
            let waiting = self.nodes[node].waiting.iter_mut();
            for waiting in waiting.filter(|waiting| waiting.ticket == grant.ticket) {
                waiting.is_granted = true;
            }
            replies.entry(node).or_default().grants.push(grant);
        }
        for refusal in decision.refusals {
            let node = refusal.node.parse().unwrap();
            replies.entry(node).or_default().refusals.push(refusal);
        }
        for (node, decision) in replies {
            let at = self.now + self.message_time();
            self.schedule(at, Event::Reply(node, decision));
        }
    }

    /// Returns the active requests by group as gossip reports them.
    fn known_requests(&self) -> GroupCounts {
        let (youngest, oldest) = INFO_AGE_TICKS;
        let mut known = [0; GROUPS];
        for node in 0..NODES {
            let age = youngest + node % (oldest - youngest + 1);
            for (sum, active) in known.iter_mut().zip(&self.history[age][node]) {
                *sum += active;
            }
        }
        known
    }

    fn receive(&mut self, index: usize, decision: QueueDecision) {
        if self.nodes[index].is_dead {
            return;
        }
        for grant in decision.grants {
            match self.remove_waiting(index, grant.ticket) {
                Some(waiting) => self.start(index, grant.group, waiting),
                None => {
                    self.counts.unused_grants += 1;
                    *self.nodes[index].released.entry(grant.group).or_default() += 1;
                    self.notify(index);
                }
            }
        }
        for refusal in decision.refusals {
            if let Some(waiting) = self.remove_waiting(index, refusal.ticket) {
                self.counts
                    .record_refusal(&self.load[waiting.arrival], self.now);
            }
        }
    }

    fn remove_waiting(&mut self, node: usize, ticket: Ticket) -> Option<NodeRequest> {
        let waiting = &mut self.nodes[node].waiting;
        let index = waiting.iter().position(|each| each.ticket == ticket)?;
        Some(waiting.remove(index))
    }

    /// Sends a request to a group, which rejects it if its slots are full.
    fn start(&mut self, node: usize, group: GroupKey, waiting: NodeRequest) {
        let arrival = &self.load[waiting.arrival];
        let urgent = self.more_urgent_waiting(waiting.request.priority);
        self.counts.inversions += u32::from(urgent && !waiting.request.is_late(self.now));
        let active: u32 = self
            .nodes
            .iter()
            .map(|node| node.active[group as usize])
            .sum();
        self.counts.record_attempt(active, self.now);
        if active >= SLOTS {
            let mut excluded = waiting.excluded;
            excluded.push(group);
            self.wait(node, waiting.arrival, waiting.request, excluded);
            return;
        }
        self.counts
            .record_start(arrival, self.now, FIRST_EVENT_TIME);
        self.nodes[node].active[group as usize] += 1;
        self.schedule(self.now + arrival.slot_time, Event::End(node, group));
    }

    /// Returns whether a request of higher priority has waited for longer than a message takes and can be on time.
    fn more_urgent_waiting(&self, priority: u8) -> bool {
        let known_since = MIN_MESSAGE_INTERVAL + Duration::from_millis(2 * MESSAGE_MILLIS.1);
        let live = self.nodes.iter().filter(|node| !node.is_dead);
        live.flat_map(|node| &node.waiting).any(|waiting| {
            waiting.request.priority < priority
                && !waiting.is_granted
                && waiting.request.arrived + known_since < self.now
                && !waiting.request.is_late(self.now + known_since)
        })
    }

    fn end(&mut self, node: usize, group: GroupKey) {
        if self.nodes[node].is_dead {
            return;
        }
        self.nodes[node].active[group as usize] -= 1;
        *self.nodes[node].released.entry(group).or_default() += 1;
        self.notify(node);
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node] = SimulatedNode {
            is_dead: true,
            ..SimulatedNode::default()
        };
    }

    fn tick(&mut self) {
        self.schedule(self.now + TICK, Event::Tick);
        let active: Vec<GroupCounts> = self.nodes.iter().map(|node| node.active).collect();
        let waits = self.nodes.iter().flat_map(|node| &node.waiting);
        let waits = waits.map(|waiting| self.now - waiting.request.arrived);
        self.slot_use
            .sample(&active, waits, self.now, &mut self.counts);
        self.history.pop_back();
        self.history.push_front(active);
        for node in 0..NODES {
            self.expire(node);
            let is_due = self.now >= self.nodes[node].sent_at + MAX_MESSAGE_INTERVAL;
            let has_waiting = !self.nodes[node].waiting.is_empty();
            if has_waiting && (is_due || self.policy == SlotPolicy::SlotShares) {
                self.notify(node);
            }
        }
    }

    /// Refuses requests that have waited for too long.
    fn expire(&mut self, node: usize) {
        let (kept, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut self.nodes[node].waiting)
            .into_iter()
            .partition(|waiting| waiting.request.verdict(self.now) == WaitVerdict::Wait);
        self.nodes[node].waiting = kept;
        for waiting in expired {
            self.counts
                .record_refusal(&self.load[waiting.arrival], self.now);
        }
    }

    fn serve_by_shares(&mut self, node: usize) {
        loop {
            let waiting = self.nodes[node].waiting.iter();
            let requests: Vec<WaitingRequest> = waiting.map(|each| each.request).collect();
            let Some(index) = next_waiting(&requests, self.now) else {
                return;
            };
            let knowledge = NodeKnowledge {
                known: self.known_requests(),
                own: self.nodes[node].active,
                reported: self.history[INFO_AGE_TICKS.1][node],
                is_late: requests[index].is_late(self.now),
            };
            let excluded = &self.nodes[node].waiting[index].excluded;
            let picked = pick_by_shares(node, &knowledge, self.now, &mut self.random);
            let Some(group) = picked.filter(|group| !excluded.contains(group)) else {
                return;
            };
            let waiting = self.nodes[node].waiting.remove(index);
            self.start(node, group, waiting);
        }
    }
}
