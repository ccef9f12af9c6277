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

const NODES: usize = 3;
/// Nodes that are told; they rank first for the request.
const HOLDERS: [usize; 2] = [0, 1];
/// Restarts, cuts, late writes and repeated words in one run.
const FAULTS: u8 = 2;
/// Ends that may come after those that are enough; one less than the rule allows.
const MORE_ENDS: u8 = 2;
/// Ends that somebody could tell of, as many as are looked at; one more than are allowed.
const MOST_ENDS: u8 = MIN_CRASHES as u8 + MORE_ENDS + 1;
/// Time between two ends, in milliseconds.
const END_GAP: u64 = 1_000;

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
type EndSet = u16;

/// Ends told and written.
#[derive(Clone, Copy, Debug)]
pub struct CrashSpec {
    defect: Option<CrashDefect>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct NodeState {
    known: EndSet,
    /// Seen here, and not told yet.
    pending: EndSet,
    /// Seen here, and nobody could be told.
    untold: EndSet,
    /// Ends counted by a node that adds up what it is told.
    sum: u8,
    /// Rows of the table that it can not have read.
    missed: EndSet,
    /// Rows that it has written, where it trusts that they stay.
    written: EndSet,
    is_apart: bool,
    is_off: bool,
}

/// State of the nodes and the table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CrashState {
    nodes: [NodeState; NODES],
    stored: EndSet,
    late: Vec<EndSet>,
    ends: u8,
    /// Ends whose only witness restarted before it could tell of them.
    unwitnessed: u8,
    faults_left: u8,
}

impl CrashState {
    fn witnessed(&self) -> u8 {
        self.ends - self.unwitnessed
    }
}

/// Returns whether the request is not to run, for a node that knows of these ends.
fn is_quarantined(known: EndSet) -> bool {
    let print = RequestFingerprint::from([0; 16]);
    let mut ledger = CrashHistory::default();
    for end in (0..16).filter(|end| known & (1 << end) != 0) {
        ledger.record_crash(CrashReport {
            fingerprint: print,
            incarnation: IncarnationKey(end),
            domain: end,
            at: (end + 1) * END_GAP,
            chance_permille: 10,
        });
    }
    let now = 16 * END_GAP;
    matches!(ledger.verdict(&print, now), CrashVerdict::Quarantined(_))
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

    fn has(&self, defect: CrashDefect) -> bool {
        self.defect == Some(defect)
    }

    fn holds_back(&self, node: &NodeState) -> bool {
        if self.has(CrashDefect::Summed) {
            return usize::from(node.sum) >= MIN_CRASHES;
        }
        is_quarantined(node.known)
    }

    /// Returns what a node is to write.
    fn due(&self, state: &CrashState, node: usize) -> EndSet {
        let own = &state.nodes[node];
        if own.is_off || self.has(CrashDefect::NeverWritten) {
            return 0;
        }
        let due = if own.known.count_ones() >= 2 {
            own.known
        } else {
            own.untold
        };
        if self.trusts_written() {
            return due & !own.written;
        }
        due & !state.stored
    }

    /// Returns what a node has to read of the table.
    fn unread(&self, state: &CrashState, node: usize) -> EndSet {
        let own = &state.nodes[node];
        if own.is_off {
            return 0;
        }
        state.stored & !own.known & !own.missed
    }

    /// Returns whether everybody knows what he can know.
    fn is_settled(&self, state: &CrashState) -> bool {
        (0..NODES).all(|node| {
            state.nodes[node].pending == 0
                && self.due(state, node) == 0
                && self.unread(state, node) == 0
        })
    }

    fn store(&self, state: &mut CrashState, rows: EndSet) {
        if self.has(CrashDefect::SingleRow) {
            state.stored = rows;
        } else {
            state.stored |= rows;
        }
    }

    /// Returns whether nodes go by what they saw in the table, and not by what is there.
    fn trusts_written(&self) -> bool {
        self.has(CrashDefect::SingleRow) || self.has(CrashDefect::EraIgnored)
    }

    fn note_written(&self, node: &mut NodeState, rows: EndSet) {
        if self.trusts_written() {
            node.written |= rows;
        }
    }

    fn take(&self, node: &mut NodeState, ends: EndSet) {
        node.sum += ends.count_ones() as u8;
        node.known |= ends;
    }

    /// Returns the ends that another node or the table holds, or will.
    fn held_by_others(&self, state: &CrashState, node: usize) -> EndSet {
        let others = state.nodes.iter().enumerate();
        let others = others.filter(|(other, _)| *other != node);
        let known = others.fold(state.stored, |sum, (_, other)| sum | other.known);
        state.late.iter().fold(known, |sum, rows| sum | rows)
    }

    fn request_step(&self, state: &CrashState, node: usize) -> Option<Step<CrashState>> {
        let own = &state.nodes[node];
        if own.is_off || state.witnessed() == MOST_ENDS || self.holds_back(own) {
            return None;
        }
        let mut next = state.clone();
        let end = 1 << state.ends;
        self.take(&mut next.nodes[node], end);
        next.nodes[node].pending |= end;
        next.ends += 1;
        Some(Step::new(format!("a target ends at node {node}"), next))
    }

    fn tell_step(&self, state: &CrashState, node: usize) -> Step<CrashState> {
        let mut next = state.clone();
        let ends = state.nodes[node].pending;
        next.nodes[node].pending = 0;
        let mut is_told = false;
        for holder in HOLDERS.into_iter().filter(|holder| *holder != node) {
            if state.nodes[node].is_apart || state.nodes[holder].is_apart {
                continue;
            }
            is_told = true;
            self.take(&mut next.nodes[holder], ends);
            let known = next.nodes[holder].known;
            next.nodes[node].known |= known;
        }
        if !is_told {
            next.nodes[node].untold |= ends;
        }
        Step::new(format!("node {node} tells what it saw"), next)
    }

    fn node_steps(&self, state: &CrashState, node: usize, steps: &mut Vec<Step<CrashState>>) {
        if state.nodes[node].pending != 0 {
            steps.push(self.tell_step(state, node));
        }
        let due = self.due(state, node);
        if due != 0 {
            let mut next = state.clone();
            self.store(&mut next, due);
            self.note_written(&mut next.nodes[node], due);
            steps.push(Step::new(format!("node {node} writes"), next));
        }
        let unread = self.unread(state, node);
        if unread != 0 {
            let mut next = state.clone();
            self.take(&mut next.nodes[node], unread);
            self.note_written(&mut next.nodes[node], unread);
            steps.push(Step::new(format!("node {node} reads the table"), next));
        }
        let own = &state.nodes[node];
        if own.is_apart || own.is_off {
            let mut next = state.clone();
            next.nodes[node].is_apart = false;
            next.nodes[node].is_off = false;
            steps.push(Step::new(format!("node {node} is reached again"), next));
        }
    }

    fn fault_steps(&self, state: &CrashState, node: usize, steps: &mut Vec<Step<CrashState>>) {
        let faulty = || {
            let mut next = state.clone();
            next.faults_left -= 1;
            next
        };
        let own = &state.nodes[node];
        let mut next = faulty();
        next.unwitnessed += (own.pending & !self.held_by_others(state, node)).count_ones() as u8;
        next.nodes[node] = NodeState {
            is_apart: own.is_apart,
            is_off: own.is_off,
            ..NodeState::default()
        };
        if self.has(CrashDefect::NoInitialRead) {
            next.nodes[node].missed = state.stored;
        }
        steps.push(Step::fault(format!("node {node} restarts"), next));
        if !own.is_apart {
            let mut next = faulty();
            next.nodes[node].is_apart = true;
            steps.push(Step::fault(format!("node {node} reaches no other"), next));
        }
        if !own.is_off {
            let mut next = faulty();
            next.nodes[node].is_off = true;
            steps.push(Step::fault(format!("node {node} is off the store"), next));
        }
        if own.known != 0 && own.pending == 0 {
            let mut next = faulty();
            next.nodes[node].pending = own.known;
            steps.push(Step::fault(format!("node {node} tells it again"), next));
        }
        let due = self.due(state, node);
        if due != 0 {
            let mut next = faulty();
            next.late.push(due);
            if self.has(CrashDefect::SingleRow) {
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
            nodes: [NodeState::default(); NODES],
            stored: 0,
            late: Vec::new(),
            ends: 0,
            unwitnessed: 0,
            faults_left: FAULTS,
        }
    }

    fn steps(&self, state: &CrashState) -> Vec<Step<CrashState>> {
        let mut steps = Vec::new();
        let is_settled = self.is_settled(state);
        for node in 0..NODES {
            if is_settled {
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
        for index in 0..state.late.len() {
            let mut next = state.clone();
            let rows = next.late.remove(index);
            self.store(&mut next, rows);
            steps.push(Step::new("a write lands late", next));
        }
        if self.has(CrashDefect::DeletedEarly) && state.stored != 0 {
            let mut next = state.clone();
            next.stored &= next.stored - 1;
            steps.push(Step::new("a row is dropped", next));
        }
        steps
    }

    fn violated_property(&self, state: &CrashState) -> Option<&'static str> {
        if state.witnessed() == MOST_ENDS {
            return Some("a request ends at most two targets more, once all nodes can know");
        }
        if self.is_settled(state) {
            let in_touch = state.nodes.iter().filter(|node| !node.is_off);
            let held = in_touch
                .clone()
                .filter(|node| self.holds_back(node))
                .count();
            if held != 0 && held != in_touch.count() {
                return Some("nodes in touch agree once everything is told");
            }
        }
        let is_hasty = |node: &NodeState| {
            self.holds_back(node) && (node.known.count_ones() as usize) < MIN_CRASHES
        };
        let hasty = state.nodes.iter().any(is_hasty);
        hasty.then_some("a request is held back only after three ends")
    }

    fn is_goal(&self, state: &CrashState) -> bool {
        self.is_settled(state)
    }
}
