//! Nodes add up the ends of targets by one request, which comes again at any node.
//!
//! Each node tells two others what it sees and follows the store's table. Nodes restart, are cut off from each other
//! or from the store; writes land late; word is told twice; the store comes back
//! without its rows. The verdict comes from the real [`CrashHistory`]. A request
//! comes only when everything that can be told has been: that is what nodes have had time for.

use briarswitch_core::crash::{
    CrashHistory, CrashReport, CrashVerdict, IncarnationKey, MIN_CRASHES,
};
use briarswitch_core::fingerprint::RequestFingerprint;

use crate::search::{Specification, Step};

const NODE_COUNT: usize = 3;
/// Nodes that are told; they rank first for the request.
const HOLDERS: [usize; 2] = [0, 1];
/// Restarts, cuts, late writes and repeated words in one run.
const MAX_FAULTS: u8 = 2;
/// Ends that may come after those that are enough; one less than the rule allows.
const EXTRA_CRASHES: u8 = 2;
/// Ends that somebody could tell of, as many as are looked at; one more than are allowed.
const CRASH_LIMIT: u8 = MIN_CRASHES as u8 + EXTRA_CRASHES + 1;
/// Time between two ends, in milliseconds.
const CRASH_INTERVAL_MS: u64 = 1_000;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashDefect {
    /// Nothing is written; nodes only tell each other.
    NeverWritten,
    /// What is told is added to what is held, as a sum and not as a set.
    Summed,
    /// Rows are dropped that still count.
    DeletedEarly,
    /// All ends of a request are one row, which the last writer sets; what was written once counts as kept.
    SingleRow,
    /// A node that starts follows the table's changes and does not read the table.
    NoInitialRead,
    /// A node takes what it saw in the table before a restore for being there still.
    EraIgnored,
}

/// Ends as bits, the first one lowest.
type CrashSet = u16;

/// Ends told and written.
#[derive(Clone, Copy, Debug)]
pub struct CrashSpec {
    defect: Option<CrashDefect>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct NodeState {
    known: CrashSet,
    /// Seen here, and not told yet.
    pending: CrashSet,
    /// Seen here, and nobody could be told.
    unreported: CrashSet,
    /// Ends counted by a node that adds up what it is told.
    sum: u8,
    /// Rows of the table that it can not have read.
    unreadable: CrashSet,
    /// Rows that it has written, where it trusts that they stay.
    written: CrashSet,
    is_isolated: bool,
    is_cut_from_store: bool,
}

/// State of the nodes and the table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CrashState {
    nodes: [NodeState; NODE_COUNT],
    stored: CrashSet,
    delayed_writes: Vec<CrashSet>,
    crashes: u8,
    /// Ends whose only witness restarted before it could tell of them.
    unwitnessed: u8,
    faults_left: u8,
}

impl CrashState {
    fn witnessed(&self) -> u8 {
        self.crashes - self.unwitnessed
    }
}

/// Returns whether the request is not to run, for a node that knows of these ends.
fn is_quarantined(known: CrashSet) -> bool {
    let fingerprint = RequestFingerprint::from([0; 16]);
    let mut history = CrashHistory::default();
    for crash in (0..16).filter(|crash| known & (1 << crash) != 0) {
        history.record_crash(CrashReport {
            fingerprint,
            incarnation: IncarnationKey(crash),
            domain: crash,
            at: (crash + 1) * CRASH_INTERVAL_MS,
            chance_permille: 10,
        });
    }
    let now = 16 * CRASH_INTERVAL_MS;
    matches!(
        history.verdict(&fingerprint, now),
        CrashVerdict::Quarantined(_)
    )
}

impl CrashSpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: CrashDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: CrashDefect) -> bool {
        self.defect == Some(defect)
    }

    fn quarantines(&self, node: &NodeState) -> bool {
        if self.has_defect(CrashDefect::Summed) {
            return usize::from(node.sum) >= MIN_CRASHES;
        }
        is_quarantined(node.known)
    }

    /// Returns what a node is to write.
    fn due(&self, state: &CrashState, node: usize) -> CrashSet {
        let local = &state.nodes[node];
        if local.is_cut_from_store || self.has_defect(CrashDefect::NeverWritten) {
            return 0;
        }
        let due = if local.known.count_ones() >= 2 {
            local.known
        } else {
            local.unreported
        };
        if self.trusts_written() {
            return due & !local.written;
        }
        due & !state.stored
    }

    /// Returns what a node has to read of the table.
    fn unread(&self, state: &CrashState, node: usize) -> CrashSet {
        let local = &state.nodes[node];
        if local.is_cut_from_store {
            return 0;
        }
        state.stored & !local.known & !local.unreadable
    }

    /// Returns whether everybody knows what he can know.
    fn is_converged(&self, state: &CrashState) -> bool {
        (0..NODE_COUNT).all(|node| {
            state.nodes[node].pending == 0
                && self.due(state, node) == 0
                && self.unread(state, node) == 0
        })
    }

    fn store(&self, state: &mut CrashState, rows: CrashSet) {
        if self.has_defect(CrashDefect::SingleRow) {
            state.stored = rows;
        } else {
            state.stored |= rows;
        }
    }

    /// Returns whether nodes go by what they saw in the table, and not by what is there.
    fn trusts_written(&self) -> bool {
        self.has_defect(CrashDefect::SingleRow) || self.has_defect(CrashDefect::EraIgnored)
    }

    fn record_written(&self, node: &mut NodeState, rows: CrashSet) {
        if self.trusts_written() {
            node.written |= rows;
        }
    }

    fn add_crashes(&self, node: &mut NodeState, crashes: CrashSet) {
        node.sum += crashes.count_ones() as u8;
        node.known |= crashes;
    }

    /// Returns the ends that another node or the table holds, or will.
    fn known_elsewhere(&self, state: &CrashState, node: usize) -> CrashSet {
        let others = state.nodes.iter().enumerate();
        let others = others.filter(|(other, _)| *other != node);
        let known = others.fold(state.stored, |sum, (_, other)| sum | other.known);
        state
            .delayed_writes
            .iter()
            .fold(known, |sum, rows| sum | rows)
    }

    fn request_step(&self, state: &CrashState, node: usize) -> Option<Step<CrashState>> {
        let local = &state.nodes[node];
        if local.is_cut_from_store || state.witnessed() == CRASH_LIMIT || self.quarantines(local) {
            return None;
        }
        let mut next = state.clone();
        let crash = 1 << state.crashes;
        self.add_crashes(&mut next.nodes[node], crash);
        next.nodes[node].pending |= crash;
        next.crashes += 1;
        Some(Step::new(format!("a target ends at node {node}"), next))
    }

    fn report_step(&self, state: &CrashState, node: usize) -> Step<CrashState> {
        let mut next = state.clone();
        let crashes = state.nodes[node].pending;
        next.nodes[node].pending = 0;
        let mut is_reported = false;
        for holder in HOLDERS.into_iter().filter(|holder| *holder != node) {
            if state.nodes[node].is_isolated || state.nodes[holder].is_isolated {
                continue;
            }
            is_reported = true;
            self.add_crashes(&mut next.nodes[holder], crashes);
            let known = next.nodes[holder].known;
            next.nodes[node].known |= known;
        }
        if !is_reported {
            next.nodes[node].unreported |= crashes;
        }
        Step::new(format!("node {node} tells what it saw"), next)
    }

    fn node_steps(&self, state: &CrashState, node: usize, steps: &mut Vec<Step<CrashState>>) {
        if state.nodes[node].pending != 0 {
            steps.push(self.report_step(state, node));
        }
        let due = self.due(state, node);
        if due != 0 {
            let mut next = state.clone();
            self.store(&mut next, due);
            self.record_written(&mut next.nodes[node], due);
            steps.push(Step::new(format!("node {node} writes"), next));
        }
        let unread = self.unread(state, node);
        if unread != 0 {
            let mut next = state.clone();
            self.add_crashes(&mut next.nodes[node], unread);
            self.record_written(&mut next.nodes[node], unread);
            steps.push(Step::new(format!("node {node} reads the table"), next));
        }
        let local = &state.nodes[node];
        if local.is_isolated || local.is_cut_from_store {
            let mut next = state.clone();
            next.nodes[node].is_isolated = false;
            next.nodes[node].is_cut_from_store = false;
            steps.push(Step::new(format!("node {node} is reached again"), next));
        }
    }

    fn fault_steps(&self, state: &CrashState, node: usize, steps: &mut Vec<Step<CrashState>>) {
        let after_fault = || {
            let mut next = state.clone();
            next.faults_left -= 1;
            next
        };
        let local = &state.nodes[node];
        let mut next = after_fault();
        next.unwitnessed += (local.pending & !self.known_elsewhere(state, node)).count_ones() as u8;
        next.nodes[node] = NodeState {
            is_isolated: local.is_isolated,
            is_cut_from_store: local.is_cut_from_store,
            ..NodeState::default()
        };
        if self.has_defect(CrashDefect::NoInitialRead) {
            next.nodes[node].unreadable = state.stored;
        }
        steps.push(Step::fault(format!("node {node} restarts"), next));
        if !local.is_isolated {
            let mut next = after_fault();
            next.nodes[node].is_isolated = true;
            steps.push(Step::fault(format!("node {node} reaches no other"), next));
        }
        if !local.is_cut_from_store {
            let mut next = after_fault();
            next.nodes[node].is_cut_from_store = true;
            steps.push(Step::fault(format!("node {node} is off the store"), next));
        }
        if local.known != 0 && local.pending == 0 {
            let mut next = after_fault();
            next.nodes[node].pending = local.known;
            steps.push(Step::fault(format!("node {node} tells it again"), next));
        }
        let due = self.due(state, node);
        if due != 0 {
            let mut next = after_fault();
            next.delayed_writes.push(due);
            if self.has_defect(CrashDefect::SingleRow) {
                next.nodes[node].written |= due;
            }
            steps.push(Step::fault(format!("node {node}'s write is held up"), next));
        }
    }
}

impl Specification for CrashSpec {
    type State = CrashState;

    fn initial(&self) -> CrashState {
        CrashState {
            nodes: [NodeState::default(); NODE_COUNT],
            stored: 0,
            delayed_writes: Vec::new(),
            crashes: 0,
            unwitnessed: 0,
            faults_left: MAX_FAULTS,
        }
    }

    fn steps(&self, state: &CrashState) -> Vec<Step<CrashState>> {
        let mut steps = Vec::new();
        let is_converged = self.is_converged(state);
        for node in 0..NODE_COUNT {
            if is_converged {
                steps.extend(self.request_step(state, node));
            }
            self.node_steps(state, node, &mut steps);
            if state.faults_left > 0 {
                self.fault_steps(state, node, &mut steps);
            }
        }
        if state.faults_left > 0 && state.stored != 0 {
            let mut next = state.clone();
            next.faults_left -= 1;
            next.stored = 0;
            steps.push(Step::fault("the store comes back without its rows", next));
        }
        for index in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let rows = next.delayed_writes.remove(index);
            self.store(&mut next, rows);
            steps.push(Step::new("a write lands late", next));
        }
        if self.has_defect(CrashDefect::DeletedEarly) && state.stored != 0 {
            let mut next = state.clone();
            next.stored &= next.stored - 1;
            steps.push(Step::new("a row is dropped", next));
        }
        steps
    }

    fn violated_property(&self, state: &CrashState) -> Option<&'static str> {
        if state.witnessed() == CRASH_LIMIT {
            return Some("a request ends at most two targets more, once all nodes can know");
        }
        if self.is_converged(state) {
            let connected = state.nodes.iter().filter(|node| !node.is_cut_from_store);
            let quarantined = connected
                .clone()
                .filter(|node| self.quarantines(node))
                .count();
            if quarantined != 0 && quarantined != connected.count() {
                return Some("nodes in touch agree once everything is told");
            }
        }
        let is_premature = |node: &NodeState| {
            self.quarantines(node) && (node.known.count_ones() as usize) < MIN_CRASHES
        };
        let has_premature = state.nodes.iter().any(is_premature);
        has_premature.then_some("a request is held back only after three ends")
    }

    fn is_goal(&self, state: &CrashState) -> bool {
        self.is_converged(state)
    }
}
