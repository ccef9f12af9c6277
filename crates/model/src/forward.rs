//! A request that is forwarded between nodes of which some reach no target, while ways and runs break.
//!
//! Node 0 has the request from its caller. It sends the request to a target if it reaches any, and otherwise to a peer,
//! which sends it to one target. Any node may lose or regain its targets at any moment. A broken way leaves the peer
//! at work until it notices.

use crate::search::{Specification, Step};

/// Nodes; the first one has the request from its caller.
const NODES: u8 = 3;
/// Attempts that may be sent to targets.
const MAX_ATTEMPTS: u8 = 2;
/// Maximum number of faults in one run.
const MAX_FAULTS: u8 = 4;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardDefect {
    /// A peer that reaches no target forwards the request in turn.
    SecondHop,
    /// An at-most-once request is sent again after the way to the peer broke.
    RepeatAfterBrokenHop,
    /// After the way to the peer broke, the caller is told that the request has not run.
    NotRunAfterBrokenHop,
    /// The peer resumes a broken run, and so does node 0.
    TwoResume,
    /// The peer retries as well, and node 0 counts one attempt when the way to it breaks.
    PeerRetries,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Answer {
    Served,
    NotRun,
    Unknown,
}

/// What node 0 does with the request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Origin {
    Holding,
    Running,
    Forwarded,
    Answered(Answer),
}

/// A request at a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PeerRequest {
    node: u8,
    hops: u8,
    attempts: u8,
    is_running: bool,
    /// Whether the way back to the sender holds.
    is_connected: bool,
}

/// State of the request at all nodes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ForwardState {
    reaches: [bool; NODES as usize],
    origin: Origin,
    peers: Vec<PeerRequest>,
    /// Attempts that node 0 has counted.
    attempts: u8,
    runs: u8,
    faults_left: u8,
}

/// Forwarding of one request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardSpec {
    is_repeatable: bool,
    defect: Option<ForwardDefect>,
}

impl ForwardSpec {
    /// Returns the protocol without defects.
    pub fn sound(is_repeatable: bool) -> Self {
        Self {
            is_repeatable,
            defect: None,
        }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(is_repeatable: bool, defect: ForwardDefect) -> Self {
        Self {
            is_repeatable,
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: ForwardDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Lets node 0 make another attempt after one that may have run, or tell the caller that the outcome is unknown.
    fn retry_or_end(&self, state: &mut ForwardState) {
        let may_retry = self.is_repeatable && state.attempts < MAX_ATTEMPTS;
        state.origin = if may_retry {
            Origin::Holding
        } else {
            Origin::Answered(Answer::Unknown)
        };
    }

    fn origin_steps(&self, state: &ForwardState, steps: &mut Vec<Step<ForwardState>>) {
        match state.origin {
            Origin::Holding if state.reaches[0] => {
                let mut next = state.clone();
                next.origin = Origin::Running;
                next.runs += 1;
                next.attempts += 1;
                steps.push(Step::new("node 0 sends it to a target", next));
            }
            Origin::Holding => {
                for node in 1..NODES {
                    let mut next = state.clone();
                    next.origin = Origin::Forwarded;
                    forward(&mut next, node, 1, state.attempts);
                    steps.push(Step::new(format!("it is forwarded to node {node}"), next));
                }
                let mut next = state.clone();
                let answer = if state.attempts == 0 {
                    Answer::NotRun
                } else {
                    Answer::Unknown
                };
                next.origin = Origin::Answered(answer);
                steps.push(Step::new("no node takes it", next));
            }
            Origin::Running => {
                let mut next = state.clone();
                next.origin = Origin::Answered(Answer::Served);
                steps.push(Step::new("the target of node 0 answers", next));
            }
            Origin::Forwarded | Origin::Answered(_) => {}
        }
    }

    fn peer_steps(&self, state: &ForwardState, index: usize, steps: &mut Vec<Step<ForwardState>>) {
        let peer = state.peers[index];
        let node = peer.node;
        if !peer.is_connected {
            let mut next = state.clone();
            next.peers.remove(index);
            steps.push(Step::new(
                format!("node {node} sees that the way broke"),
                next,
            ));
        }
        if peer.is_running {
            if peer.is_connected {
                let mut next = state.clone();
                next.peers.remove(index);
                next.origin = Origin::Answered(Answer::Served);
                steps.push(Step::new(
                    format!("the target of node {node} answers"),
                    next,
                ));
            }
        } else if state.reaches[usize::from(node)] {
            let mut next = state.clone();
            next.peers[index].is_running = true;
            next.peers[index].attempts += 1;
            next.runs += 1;
            steps.push(Step::new(format!("node {node} sends it to a target"), next));
        } else if peer.is_connected {
            self.refusal_steps(state, index, steps);
        }
    }

    /// Adds what a peer does that has sent nothing and reaches no target.
    fn refusal_steps(
        &self,
        state: &ForwardState,
        index: usize,
        steps: &mut Vec<Step<ForwardState>>,
    ) {
        let peer = state.peers[index];
        if self.has_defect(ForwardDefect::SecondHop) && peer.hops < NODES {
            let other = peer.node % (NODES - 1) + 1;
            let mut next = state.clone();
            next.peers.remove(index);
            forward(&mut next, other, peer.hops + 1, peer.attempts);
            steps.push(Step::new(format!("it goes on to node {other}"), next));
            return;
        }
        let mut next = state.clone();
        next.peers.remove(index);
        next.origin = Origin::Holding;
        steps.push(Step::new(
            format!("node {} does not take it", peer.node),
            next,
        ));
    }

    fn fault_steps(&self, state: &ForwardState, steps: &mut Vec<Step<ForwardState>>) {
        if state.faults_left == 0 {
            return;
        }
        let mut base = state.clone();
        base.faults_left -= 1;
        for node in 0..usize::from(NODES) {
            let mut next = base.clone();
            next.reaches[node] = !next.reaches[node];
            steps.push(Step::fault(
                format!("node {node} is cut off, or back"),
                next,
            ));
        }
        if state.origin == Origin::Running {
            let mut next = base.clone();
            self.retry_or_end(&mut next);
            steps.push(Step::fault("the run of node 0 breaks", next));
        }
        for index in 0..state.peers.len() {
            if state.peers[index].is_connected {
                steps.push(Step::fault("the way breaks", self.break_hop(&base, index)));
                if state.peers[index].is_running {
                    steps.push(Step::fault(
                        "a peer's run breaks",
                        self.break_run(&base, index),
                    ));
                }
            }
        }
    }

    fn break_hop(&self, base: &ForwardState, index: usize) -> ForwardState {
        let mut next = base.clone();
        next.peers[index].is_connected = false;
        next.attempts += 1;
        if self.has_defect(ForwardDefect::RepeatAfterBrokenHop) {
            next.origin = Origin::Holding;
        } else if self.has_defect(ForwardDefect::NotRunAfterBrokenHop) {
            next.origin = Origin::Answered(Answer::NotRun);
        } else {
            self.retry_or_end(&mut next);
        }
        next
    }

    fn break_run(&self, base: &ForwardState, index: usize) -> ForwardState {
        let mut next = base.clone();
        let peer = next.peers[index];
        let peer_retries = self.has_defect(ForwardDefect::PeerRetries)
            || self.has_defect(ForwardDefect::TwoResume);
        if peer_retries && self.is_repeatable && peer.attempts < MAX_ATTEMPTS {
            next.peers[index].is_running = false;
            if self.has_defect(ForwardDefect::TwoResume) {
                next.origin = Origin::Holding;
            }
            return next;
        }
        next.peers.remove(index);
        next.attempts = peer.attempts;
        self.retry_or_end(&mut next);
        next
    }
}

fn forward(state: &mut ForwardState, node: u8, hops: u8, attempts: u8) {
    state.peers.push(PeerRequest {
        node,
        hops,
        attempts,
        is_running: false,
        is_connected: true,
    });
    state.peers.sort_unstable();
}

impl Specification for ForwardSpec {
    type State = ForwardState;

    fn initial(&self) -> ForwardState {
        ForwardState {
            reaches: [false, true, true],
            origin: Origin::Holding,
            peers: Vec::new(),
            attempts: 0,
            runs: 0,
            faults_left: MAX_FAULTS,
        }
    }

    fn steps(&self, state: &ForwardState) -> Vec<Step<ForwardState>> {
        let mut steps = Vec::new();
        self.origin_steps(state, &mut steps);
        for index in 0..state.peers.len() {
            self.peer_steps(state, index, &mut steps);
        }
        self.fault_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &ForwardState) -> Option<&'static str> {
        let connected = state.peers.iter().filter(|peer| peer.is_connected).count();
        let is_at_origin = matches!(state.origin, Origin::Holding | Origin::Running);
        if state.peers.iter().any(|peer| peer.hops > 1) {
            return Some("a request takes one hop at most");
        }
        if connected + usize::from(is_at_origin) > 1 {
            return Some("one node at a time may answer the caller");
        }
        if !self.is_repeatable && state.runs > 1 {
            return Some("an at-most-once request runs once at most");
        }
        if state.runs > MAX_ATTEMPTS {
            return Some("a request runs as often as its attempts allow at most");
        }
        let has_run = state.runs > 0;
        (has_run && state.origin == Origin::Answered(Answer::NotRun))
            .then_some("what has run is not reported as not run")
    }

    fn is_goal(&self, state: &ForwardState) -> bool {
        matches!(state.origin, Origin::Answered(_))
    }
}
