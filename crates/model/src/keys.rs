//! Two nodes receive requests with the same idempotency key, which may run at most once.
//!
//! Nodes claim the key in a table that delays writes and loses responses. Nodes die, and connections to the
//! target break before or after it runs a request. Reported outcomes come from the real [`FailurePoint`] mapping.

use briarswitch_core::outcome::{FailurePoint, Outcome};

use crate::search::{Specification, Step};

/// Maximum number of lost or delayed claims, broken connections and node deaths in one run.
const MAX_FAULTS: u8 = 3;
/// Number of requests that each node receives.
const MAX_REQUESTS: u8 = 2;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDefect {
    /// A request is sent while the result of its claim is unknown.
    SentBeforeClaimKnown,
    /// A request that may have run is retried.
    RetriedUnknown,
    /// The key is released although its request may have run.
    ReleasedUnknown,
    /// Claims are not conditional on the key being unclaimed.
    UnconditionalClaim,
    /// A request whose connection broke after bytes were sent is reported as not run.
    BrokenReportedNotRun,
}

/// At-most-once execution by claiming keys.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    defect: Option<KeyDefect>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Idle,
    Claiming,
    ClaimUnknown,
    Holding,
    Sent,
    Releasing,
    Finished(Outcome),
    Dead,
}

/// State of the table of claims, the nodes and the target.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyState {
    /// Node and request number that hold the key.
    claim: Option<(usize, u8)>,
    delayed_claims: Vec<(usize, u8)>,
    stages: [Stage; 2],
    requests: [u8; 2],
    runs: u8,
    /// Number of runs of each node's current request.
    current_runs: [u8; 2],
    is_misreported: bool,
    faults_left: u8,
}

impl KeySpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: KeyDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: KeyDefect) -> bool {
        self.defect == Some(defect)
    }

    fn can_claim(&self, state: &KeyState) -> bool {
        state.claim.is_none() || self.has_defect(KeyDefect::UnconditionalClaim)
    }

    fn node_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let claim_id = (node, state.requests[node]);
        match state.stages[node] {
            Stage::Idle | Stage::Finished(_) if state.requests[node] < MAX_REQUESTS => {
                let mut next = state.clone();
                next.requests[node] += 1;
                next.current_runs[node] = 0;
                next.stages[node] = Stage::Claiming;
                steps.push(Step::new(format!("node {node} receives a request"), next));
            }
            Stage::Claiming => self.claim_steps(state, node, steps),
            Stage::ClaimUnknown => {
                let mut next = state.clone();
                next.stages[node] = if state.claim == Some(claim_id)
                    || self.has_defect(KeyDefect::SentBeforeClaimKnown)
                {
                    Stage::Holding
                } else if state.claim.is_some() {
                    Stage::Finished(FailurePoint::KeyClaimed.outcome())
                } else {
                    Stage::Finished(FailurePoint::ClaimStore.outcome())
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
                if state.claim == Some(claim_id) {
                    next.claim = None;
                }
                self.finish(&mut next, node, Outcome::NotRun);
                steps.push(Step::new(format!("node {node} releases the key"), next));
            }
            _ => {}
        }
    }

    fn claim_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let claim_id = (node, state.requests[node]);
        let mut next = state.clone();
        if self.can_claim(state) {
            next.claim = Some(claim_id);
            next.stages[node] = Stage::Holding;
        } else {
            next.stages[node] = Stage::Finished(FailurePoint::KeyClaimed.outcome());
        }
        steps.push(Step::new(format!("node {node} claims the key"), next));
        if state.faults_left == 0 {
            return;
        }
        let mut next = state.clone();
        next.faults_left -= 1;
        if self.can_claim(state) {
            next.claim = Some(claim_id);
        }
        next.stages[node] = Stage::ClaimUnknown;
        steps.push(Step::fault(
            format!("the response to node {node}'s claim is lost"),
            next,
        ));
        let mut next = state.clone();
        next.faults_left -= 1;
        next.delayed_claims.push(claim_id);
        next.stages[node] = Stage::ClaimUnknown;
        steps.push(Step::fault(format!("node {node}'s claim is delayed"), next));
    }

    fn sent_steps(&self, state: &KeyState, node: usize, steps: &mut Vec<Step<KeyState>>) {
        let mut next = state.clone();
        run(&mut next, node);
        self.finish(&mut next, node, Outcome::Answered);
        steps.push(Step::new(
            format!("the target runs node {node}'s request"),
            next,
        ));
        if state.faults_left == 0 {
            return;
        }
        for has_run in [false, true] {
            let mut next = state.clone();
            next.faults_left -= 1;
            if has_run {
                run(&mut next, node);
            }
            self.handle_broken_connection(&mut next, node);
            let name = if has_run { "after" } else { "before" };
            let name = format!("the connection breaks {name} the target runs it");
            steps.push(Step::fault(name, next));
        }
    }

    fn handle_broken_connection(&self, state: &mut KeyState, node: usize) {
        let point = FailurePoint::BrokenBeforeHead;
        if point.allows_retry(false) || self.has_defect(KeyDefect::RetriedUnknown) {
            state.stages[node] = Stage::Holding;
        } else if self.has_defect(KeyDefect::ReleasedUnknown) {
            state.claim = None;
            state.stages[node] = Stage::Finished(point.outcome());
        } else if self.has_defect(KeyDefect::BrokenReportedNotRun) {
            self.finish(state, node, Outcome::NotRun);
        } else {
            self.finish(state, node, point.outcome());
        }
    }

    fn finish(&self, state: &mut KeyState, node: usize, outcome: Outcome) {
        state.is_misreported |= outcome == Outcome::NotRun && state.current_runs[node] > 0;
        state.stages[node] = Stage::Finished(outcome);
    }
}

fn run(state: &mut KeyState, node: usize) {
    state.runs += 1;
    state.current_runs[node] += 1;
}

impl Specification for KeySpec {
    type State = KeyState;

    fn initial(&self) -> KeyState {
        KeyState {
            claim: None,
            delayed_claims: Vec::new(),
            stages: [Stage::Idle; 2],
            requests: [0; 2],
            runs: 0,
            current_runs: [0; 2],
            is_misreported: false,
            faults_left: MAX_FAULTS,
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
        for index in 0..state.delayed_claims.len() {
            let mut next = state.clone();
            let claim_id = next.delayed_claims.remove(index);
            if self.can_claim(state) {
                next.claim = Some(claim_id);
            }
            steps.push(Step::new("the store applies a delayed claim", next));
        }
        steps
    }

    fn violated_property(&self, state: &KeyState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a request with one key runs at most once");
        }
        state
            .is_misreported
            .then_some("a request reported as not run did not run")
    }

    fn is_goal(&self, state: &KeyState) -> bool {
        let is_over =
            |stage: &Stage| matches!(stage, Stage::Finished(_) | Stage::Dead | Stage::Idle);
        state.stages.iter().all(is_over)
    }
}
