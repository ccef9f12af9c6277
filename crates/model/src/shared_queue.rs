//! Nodes get the slot of a group from a queue that one of them keeps, and from a second one once their views differ.
//!
//! Messages are delayed, overtaken and lost, and nodes and coordinators freeze and resume: all of this is modelled as
//! time that passes without a step. A node without a reply uses its own slot share. What a coordinator grants is decided
//! by [`briarswitch_core::shared_queue`].

use briarswitch_core::shared_queue::{SharedQueue, NODE_TTL};

use crate::search::{Specification, Step};
use crate::shared_queue_state::{
    capacity, list, moment, Coordinator, Message, NodeState, ReceivedList, RequestState,
    SharedQueueState, SlotSource, GROUP, NODES, REFUSE_TICK, REPLY_TICKS, REPORT_TICKS, SLOTS,
    TICK,
};

/// Ticks that a run lasts.
const MAX_TICKS: u8 = REFUSE_TICK;
/// Maximum number of lists and grants on their way.
const MAX_IN_TRANSIT: usize = 2;
/// Maximum number of lists that one node sends in a run.
const MAX_MESSAGES: u8 = 2;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharedQueueDefect {
    /// A list that was overtaken replaces the newer one.
    OlderReplaces,
    /// Grants are not counted.
    GrantUncounted,
    /// Lists never expire.
    NeverExpires,
    /// A node that uses its own share keeps a grant as well.
    FallbackKeepsGrant,
}

/// A queue for one slot that nodes share.
#[derive(Clone, Copy, Debug)]
pub struct SharedQueueSpec {
    defect: Option<SharedQueueDefect>,
}

impl SharedQueueSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: SharedQueueDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: SharedQueueDefect) -> bool {
        self.defect == Some(defect)
    }

    fn send(&self, state: &SharedQueueState, index: usize) -> Option<SharedQueueState> {
        let mut next = state.clone();
        let node = &mut next.nodes[index];
        let is_waiting = node.request == RequestState::Waiting && !node.is_in_fallback;
        if state.messages.len() >= MAX_IN_TRANSIT {
            return None;
        }
        let has_news = is_waiting || node.released > 0;
        if !has_news || node.sequence == MAX_MESSAGES || node.sent_at == Some(state.tick) {
            return None;
        }
        node.sequence += 1;
        node.sent_at = Some(state.tick);
        node.unanswered_since.get_or_insert(state.tick);
        next.messages.push(Message::List {
            from: index,
            to: node.coordinator,
            sequence: node.sequence,
            is_waiting,
            released: std::mem::take(&mut node.released),
        });
        next.messages.sort_unstable();
        Some(next)
    }

    fn receive_list(&self, state: &SharedQueueState, index: usize) -> Option<SharedQueueState> {
        let mut next = state.clone();
        let Message::List {
            from,
            to,
            sequence,
            is_waiting,
            released,
        } = next.messages.remove(index)
        else {
            return None;
        };
        let now = moment(state.tick);
        let coordinator = &mut next.coordinators[to];
        let received = &mut coordinator.received[from];
        let is_newer = sequence > received.sequence;
        if is_newer {
            *received = ReceivedList {
                sequence,
                is_waiting,
                received_at: state.tick,
            };
        }
        coordinator.version += 1;
        let version = if self.has_defect(SharedQueueDefect::OlderReplaces)
            || self.has_defect(SharedQueueDefect::NeverExpires) && is_newer
        {
            coordinator.version
        } else {
            u64::from(sequence)
        };
        coordinator.queue.release(GROUP, u32::from(released), now);
        coordinator
            .queue
            .update(list(from, version, is_waiting), now);
        next.nodes[from].unanswered_since = None;
        self.serve(&mut next, to);
        Some(next)
    }

    /// Lets a coordinator grant the slot.
    fn serve(&self, state: &mut SharedQueueState, index: usize) {
        let now = moment(state.tick);
        let capacity = capacity(state.reported_load());
        let coordinator = &mut state.coordinators[index];
        if self.has_defect(SharedQueueDefect::NeverExpires) {
            for (node, received) in coordinator.received.iter().enumerate() {
                coordinator.version += 1;
                let renewed = list(node, coordinator.version, received.is_waiting);
                coordinator.queue.update(renewed, now);
            }
        }
        let before = coordinator.queue.clone();
        let decision = coordinator.queue.serve(&[capacity], now);
        if self.has_defect(SharedQueueDefect::GrantUncounted) {
            coordinator.queue = before;
        }
        for grant in decision.grants {
            let node = usize::from(grant.node != "0");
            let received = coordinator.received[node];
            let age = TICK * u32::from(state.tick - received.received_at);
            if !received.is_waiting {
                state.violation = Some("a slot is granted only to a request that is listed");
            }
            if age >= NODE_TTL {
                state.violation = Some("a slot is granted only to a node that renews its list");
            }
            state
                .given
                .push((SlotSource::Coordinator(index), state.tick));
            state.messages.push(Message::Grant {
                to: node,
                source: index,
                granted_at: state.tick,
            });
        }
        state.messages.sort_unstable();
    }

    fn receive_grant(&self, state: &SharedQueueState, index: usize) -> Option<SharedQueueState> {
        let mut next = state.clone();
        let Message::Grant {
            to,
            source,
            granted_at,
        } = next.messages.remove(index)
        else {
            return None;
        };
        let node = &mut next.nodes[to];
        let keeps = self.has_defect(SharedQueueDefect::FallbackKeepsGrant);
        if node.is_in_fallback && !keeps {
            // The message was given up, and its reply reaches nobody.
        } else if node.request == RequestState::Waiting || node.is_in_fallback {
            next.start(to, SlotSource::Coordinator(source), granted_at);
        } else {
            node.released += 1;
        }
        Some(next)
    }

    fn fall_back(&self, state: &SharedQueueState, index: usize) -> Option<SharedQueueState> {
        let mut next = state.clone();
        let node = &mut next.nodes[index];
        let since = node.unanswered_since?;
        let is_due = state.tick >= since + REPLY_TICKS && !node.is_in_fallback;
        if !is_due || node.request != RequestState::Waiting {
            return None;
        }
        node.is_in_fallback = true;
        let is_free = state.reported_load() < SLOTS;
        if index == 0 && is_free {
            next.start(index, SlotSource::OwnShare, state.tick);
            next.given.push((SlotSource::OwnShare, state.tick));
        }
        Some(next)
    }

    fn end(&self, state: &SharedQueueState, index: usize) -> Option<SharedQueueState> {
        let mut next = state.clone();
        let node = &mut next.nodes[index];
        if node.request != RequestState::Running {
            return None;
        }
        node.request = RequestState::Ended;
        node.released += 1;
        next.active[REPORT_TICKS as usize] -= 1;
        Some(next)
    }

    fn node_steps(
        &self,
        state: &SharedQueueState,
        index: usize,
        steps: &mut Vec<Step<SharedQueueState>>,
    ) {
        let named = [
            ("sends its list", self.send(state, index)),
            ("uses its own share", self.fall_back(state, index)),
        ];
        for (name, next) in named {
            steps.extend(next.map(|next| Step::new(format!("node {index} {name}"), next)));
        }
        let ended = self.end(state, index);
        steps.extend(ended.map(|next| Step::new(format!("request of node {index} ends"), next)));
    }

    fn fault_steps(&self, state: &SharedQueueState, steps: &mut Vec<Step<SharedQueueState>>) {
        // The other node is the one that has a slot share.
        let index = NODES - 1;
        if state.nodes[index].coordinator == 0 {
            let mut next = state.clone();
            next.nodes[index].coordinator = 1;
            let name = format!("node {index} turns to the second coordinator");
            steps.push(Step::fault(name, next));
        }
    }
}

impl Specification for SharedQueueSpec {
    type State = SharedQueueState;

    fn initial(&self) -> SharedQueueState {
        let node = NodeState {
            request: RequestState::Waiting,
            coordinator: 0,
            sequence: 0,
            sent_at: None,
            unanswered_since: None,
            released: 0,
            is_in_fallback: false,
        };
        let coordinator = Coordinator {
            queue: SharedQueue::default(),
            received: [ReceivedList::default(); NODES],
            version: 0,
        };
        SharedQueueState {
            tick: 0,
            active: [0; REPORT_TICKS as usize + 1],
            nodes: vec![node; NODES],
            coordinators: vec![coordinator; NODES],
            messages: Vec::new(),
            given: Vec::new(),
            violation: None,
        }
    }

    fn steps(&self, state: &SharedQueueState) -> Vec<Step<SharedQueueState>> {
        let mut steps = Vec::new();
        let is_over =
            |node: &NodeState| matches!(node.request, RequestState::Ended | RequestState::Refused);
        if state.tick == MAX_TICKS || state.nodes.iter().all(is_over) {
            return steps;
        }
        for index in 0..NODES {
            self.node_steps(state, index, &mut steps);
        }
        for index in 0..state.messages.len() {
            let name = format!("received: {:?}", state.messages[index]);
            let received = self
                .receive_list(state, index)
                .or_else(|| self.receive_grant(state, index));
            steps.extend(received.map(|next| Step::new(name, next)));
        }
        self.fault_steps(state, &mut steps);
        steps.push(Step::new("a fifth of a second passes", state.pass_time()));
        steps
    }

    fn violated_property(&self, state: &SharedQueueState) -> Option<&'static str> {
        let is_open = |node: &NodeState| node.request == RequestState::Waiting;
        if state.tick == MAX_TICKS && state.nodes.iter().any(is_open) {
            return Some("every waiting request is served or refused");
        }
        state.violation
    }

    fn is_goal(&self, state: &SharedQueueState) -> bool {
        let is_settled = |node: &NodeState| node.request != RequestState::Waiting;
        state.nodes.iter().all(is_settled)
    }
}
