//! Nodes share the limit of a target that warms up, without talking to each other.
//!
//! Requests take different times to arrive, nodes stop seeing each other, and nodes restart and forget what they have
//! sent. Shares and windows are those of [`briarswitch_core::request_limit`].

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::request_limit::{RequestLimit, RequestWindow};

use crate::search::{Specification, Step};

/// Length of a step of time; a request arrives within none or one of them.
const TICK: Duration = Duration::from_millis(250);
/// Ticks in the second to which the limit applies.
const TICKS_PER_SECOND: usize = 4;
/// Ticks that a run lasts.
const MAX_TICKS: u8 = 9;
/// Number of nodes; more than the limit has requests.
const NODES: usize = 3;
/// Requests per second that the target can take.
const LIMIT: u32 = 2;
/// Maximum number of restarts and of losses of sight in one run.
const MAX_FAULTS: u8 = 2;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmupDefect {
    /// Each node has a share of at least one.
    RoundedUp,
    /// Nodes are ranked among those that they see.
    RankedAmongLive,
    /// A node that restarts sends at once, although it has forgotten what it sent before.
    SentAfterRestart,
    /// A request no longer counts one second after it was sent.
    CountedForASecond,
}

/// The limit of one target, shared by nodes.
#[derive(Clone, Copy, Debug)]
pub struct WarmupLimitSpec {
    defect: Option<WarmupDefect>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct NodeState {
    window: RequestWindow,
    /// Ticks since it has restarted; `None` if it never has.
    restarted: Option<u8>,
    /// Whether it sees the other nodes.
    sees_others: bool,
}

/// State of the nodes and of the target's last second.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WarmupState {
    tick: u8,
    nodes: Vec<NodeState>,
    /// Requests that arrive in the next tick.
    in_transit: u32,
    /// Arrivals by tick, the newest last.
    arrivals: [u32; TICKS_PER_SECOND],
    faults_left: u8,
}

fn limit() -> RequestLimit {
    RequestLimit::per_second(f64::from(LIMIT))
}

impl WarmupLimitSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: WarmupDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: WarmupDefect) -> bool {
        self.defect == Some(defect)
    }

    fn share(&self, state: &WarmupState, index: usize) -> u32 {
        let limit = limit();
        let sees_others = state.nodes[index].sees_others;
        let share = if self.has_defect(WarmupDefect::RankedAmongLive) && !sees_others {
            limit.share(1, 0)
        } else {
            limit.share(NODES, index)
        };
        if self.has_defect(WarmupDefect::RoundedUp) {
            share.max(1)
        } else {
            share
        }
    }

    /// Returns the time at which a node believes to be when it counts its requests.
    fn counting_time(&self, state: &WarmupState) -> Moment {
        let now = TICK * u32::from(state.tick);
        if self.has_defect(WarmupDefect::CountedForASecond) {
            let scale = limit().counting_time().as_secs_f64();
            return now.mul_f64(scale);
        }
        now
    }

    fn send_steps(&self, state: &WarmupState, index: usize, steps: &mut Vec<Step<WarmupState>>) {
        let waits = state.nodes[index]
            .restarted
            .is_some_and(|ticks| TICK * u32::from(ticks) < limit().counting_time());
        if waits && !self.has_defect(WarmupDefect::SentAfterRestart) {
            return;
        }
        let share = self.share(state, index);
        let mut sent = state.clone();
        let now = self.counting_time(state);
        if !sent.nodes[index].window.reserve(&limit(), share, now) {
            return;
        }
        let mut slow = sent.clone();
        sent.arrivals[TICKS_PER_SECOND - 1] += 1;
        steps.push(Step::new(
            format!("a request of node {index} arrives"),
            sent,
        ));
        slow.in_transit += 1;
        steps.push(Step::new(
            format!("a request of node {index} is on its way"),
            slow,
        ));
    }

    fn fault_steps(&self, state: &WarmupState, index: usize, steps: &mut Vec<Step<WarmupState>>) {
        if state.faults_left == 0 {
            return;
        }
        let mut next = state.clone();
        next.faults_left -= 1;
        next.nodes[index].window = RequestWindow::default();
        next.nodes[index].restarted = Some(0);
        steps.push(Step::fault(format!("node {index} restarts"), next));
        if state.nodes[index].sees_others {
            let mut next = state.clone();
            next.faults_left -= 1;
            next.nodes[index].sees_others = false;
            steps.push(Step::fault(format!("node {index} is cut off"), next));
        }
    }
}

impl Specification for WarmupLimitSpec {
    type State = WarmupState;

    fn initial(&self) -> WarmupState {
        let node = NodeState {
            window: RequestWindow::default(),
            restarted: None,
            sees_others: true,
        };
        WarmupState {
            tick: 0,
            nodes: vec![node; NODES],
            in_transit: 0,
            arrivals: [0; TICKS_PER_SECOND],
            faults_left: MAX_FAULTS,
        }
    }

    fn steps(&self, state: &WarmupState) -> Vec<Step<WarmupState>> {
        let mut steps = Vec::new();
        if state.tick == MAX_TICKS {
            return steps;
        }
        for index in 0..NODES {
            self.send_steps(state, index, &mut steps);
            self.fault_steps(state, index, &mut steps);
        }
        let mut next = state.clone();
        next.tick += 1;
        next.arrivals.rotate_left(1);
        next.arrivals[TICKS_PER_SECOND - 1] = std::mem::take(&mut next.in_transit);
        for node in &mut next.nodes {
            node.restarted = node.restarted.map(|ticks| ticks.saturating_add(1));
        }
        steps.push(Step::new("a quarter of a second passes", next));
        steps
    }

    fn violated_property(&self, state: &WarmupState) -> Option<&'static str> {
        let arrived: u32 = state.arrivals.iter().sum();
        (arrived > LIMIT)
            .then_some("a target that warms up gets no more than its limit in a second")
    }

    fn is_goal(&self, state: &WarmupState) -> bool {
        state.tick == MAX_TICKS
    }
}
