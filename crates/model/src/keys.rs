//! Two nodes get requests with one caller's key; the work under it may run at most once.
//!
//! Claims go to the table, which applies writes late and loses answers; nodes die; targets run a
//! request and break off. What callers are told comes from the real [`FailurePoint`] table.

use briarswitch_core::outcome::{FailurePoint, Outcome};

use crate::search::{Specification, Step};

/// Losses, breaks and deaths in one run.
const FAULTS: u8 = 3;
/// Requests each node gets.
const REQUESTS: u8 = 2;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDefect {
    /// A request is sent though its claim is unsettled.
    SentBeforeClaimKnown,
    /// A request that may have run is sent again.
    RetriedUnknown,
    /// A key is given back after its request may have run.
    ReleasedUnknown,
    /// The claim does not demand that the key is unclaimed.
    UnconditionalClaim,
    /// A connection that broke after bytes left is told as not run.
    BrokenReportedNotRun,
}

/// At most once by claims.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    defect: Option<KeyDefect>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Idle,
    Claiming,
    Unsettled,
    Holding,
    Sent,
    Releasing,
    Told(Outcome),
    Dead,
}

/// State of the table, the nodes and the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyState {
    /// Node and request that hold the key.
    claim: Option<(usize, u8)>,
    late: Vec<(usize, u8)>,
    stages: [Stage; 2],
    requests: [u8; 2],
    runs: u8,
    /// Runs of the present request of each node.
    own_runs: [u8; 2],
    is_lied: bool,
    faults_left: u8,
}

impl KeySpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: KeyDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: KeyDefect) -> bool {
        self.defect == Some(defect)
    }

    fn is_takeable(&self, state: &KeyState) -> bool {
        state.claim.is_none() || self.has(KeyDefect::UnconditionalClaim)
    }

    fn node_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let mark = (node, state.requests[node]);
        match state.stages[node] {
            Stage::Idle | Stage::Told(_) if state.requests[node] < REQUESTS => {
                let mut next = state.clone();
                next.requests[node] += 1;
                next.own_runs[node] = 0;
                next.stages[node] = Stage::Claiming;
                steps.push(Step::new(format!("node {node} gets a request"), next));
            }
            Stage::Claiming => self.claim_steps(state, node, steps),
            Stage::Unsettled => {
                let mut next = state.clone();
                next.stages[node] =
                    if state.claim == Some(mark) || self.has(KeyDefect::SentBeforeClaimKnown) {
                        Stage::Holding
                    } else if state.claim.is_some() {
                        Stage::Told(FailurePoint::KeyClaimed.outcome())
                    } else {
                        Stage::Told(FailurePoint::ClaimStore.outcome())
                    };
                steps.push(Step::new(format!("node {node} reads its claim back"), next));
            }
            Stage::Holding => {
                let mut next = state.clone();
                next.stages[node] = Stage::Sent;
                steps.push(Step::new(format!("node {node} sends the request"), next));
                let mut next = state.clone();
                next.stages[node] = Stage::Releasing;
                steps.push(Step::new(format!("node {node} finds no target"), next));
            }
            Stage::Sent => self.sent_steps(state, node, steps),
            Stage::Releasing => {
                let mut next = state.clone();
                if state.claim == Some(mark) {
                    next.claim = None;
                }
                self.tell(&mut next, node, Outcome::NotRun);
                steps.push(Step::new(format!("node {node} gives the key back"), next));
            }
            _ => {}
        }
    }

    fn claim_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let mark = (node, state.requests[node]);
        let mut next = state.clone();
        if self.is_takeable(state) {
            next.claim = Some(mark);
            next.stages[node] = Stage::Holding;
        } else {
            next.stages[node] = Stage::Told(FailurePoint::KeyClaimed.outcome());
        }
        steps.push(Step::new(format!("node {node} claims the key"), next));
        if state.faults_left == 0 {
            return;
        }
        let mut next = state.clone();
        next.faults_left -= 1;
        if self.is_takeable(state) {
            next.claim = Some(mark);
        }
        next.stages[node] = Stage::Unsettled;
        steps.push(Step::fault(
            format!("the answer to node {node}'s claim is lost"),
            next,
        ));
        let mut next = state.clone();
        next.faults_left -= 1;
        next.late.push(mark);
        next.stages[node] = Stage::Unsettled;
        steps.push(Step::fault(format!("node {node}'s claim is held up"), next));
    }

    fn sent_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let mut next = state.clone();
        run(&mut next, node);
        self.tell(&mut next, node, Outcome::Answered);
        steps.push(Step::new(
            format!("the target runs node {node}'s request"),
            next,
        ));
        if state.faults_left == 0 {
            return;
        }
        for does_run in [false, true] {
            let mut next = state.clone();
            next.faults_left -= 1;
            if does_run {
                run(&mut next, node);
            }
            self.end_broken(&mut next, node);
            let name = if does_run { "after" } else { "before" };
            let name = format!("the connection breaks {name} the target runs it");
            steps.push(Step::fault(name, next));
        }
    }

    fn end_broken(&self, state: &mut KeyState, node: usize) {
        let point = FailurePoint::BrokenBeforeHead;
        if point.allows_retry(false) || self.has(KeyDefect::RetriedUnknown) {
            state.stages[node] = Stage::Holding;
        } else if self.has(KeyDefect::ReleasedUnknown) {
            state.claim = None;
            state.stages[node] = Stage::Told(point.outcome());
        } else if self.has(KeyDefect::BrokenReportedNotRun) {
            self.tell(state, node, Outcome::NotRun);
        } else {
            self.tell(state, node, point.outcome());
        }
    }

    fn tell(&self, state: &mut KeyState, node: usize, outcome: Outcome) {
        state.is_lied |= outcome == Outcome::NotRun && state.own_runs[node] > 0;
        state.stages[node] = Stage::Told(outcome);
    }
}

fn run(state: &mut KeyState, node: usize) {
    state.runs += 1;
    state.own_runs[node] += 1;
}

impl Specification for KeySpec {
    type State = KeyState;

    fn initial(&self) -> KeyState {
        KeyState {
            claim: None,
            late: Vec::new(),
            stages: [Stage::Idle; 2],
            requests: [0; 2],
            runs: 0,
            own_runs: [0; 2],
            is_lied: false,
            faults_left: FAULTS,
        }
    }

    fn steps(&self, state: &KeyState) -> Vec<Step<KeyState>> {
        let mut steps = Vec::new();
        for node in 0..2 {
            self.node_steps(state, node, &mut steps);
            if state.faults_left > 0 && state.stages[node] != Stage::Dead {
                let mut next = state.clone();
                next.faults_left -= 1;
                next.stages[node] = Stage::Dead;
                steps.push(Step::fault(format!("node {node} dies"), next));
            }
        }
        for index in 0..state.late.len() {
            let mut next = state.clone();
            let mark = next.late.remove(index);
            if self.is_takeable(state) {
                next.claim = Some(mark);
            }
            steps.push(Step::new("the store takes a late claim", next));
        }
        steps
    }

    fn violated_property(&self, state: &KeyState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("work under one key runs at most once");
        }
        state
            .is_lied
            .then_some("a request told not run did not run")
    }

    fn is_goal(&self, state: &KeyState) -> bool {
        let is_over = |stage: &Stage| matches!(stage, Stage::Told(_) | Stage::Dead | Stage::Idle);
        state.stages.iter().all(is_over)
    }
}
