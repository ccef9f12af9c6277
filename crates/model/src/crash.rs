//! Nodes count the crashes of targets caused by one request, which any node may receive again.
//!
//! Each node reports the crashes it sees to two holders and follows a table in the store. Nodes restart and
//! lose contact with each other or with the store, writes are delayed, reports are repeated, and the store is
//! restored without its rows. The verdict comes from the real [`CrashHistory`]. A request arrives only after
//! all possible propagation has completed: the model assumes that nodes have enough time for it between requests.

use briarswitch_core::crash::{CrashHistory, CrashReport, IncarnationKey, MIN_CRASHES};
use briarswitch_core::fingerprint::SuspectFingerprint;

use crate::search::{Specification, Step};

const NODE_COUNT: usize = 3;
/// Nodes that receive reports: the two ranked first for the request.
const HOLDERS: [usize; 2] = [0, 1];
/// Maximum number of faults (restarts, partitions, delayed writes, repeated reports, restores) in one run.
const MAX_FAULTS: u8 = 2;
/// Crashes allowed beyond the quarantine threshold; one fewer than the rule allows.
const EXTRA_CRASHES: u8 = 2;
/// Number of witnessed crashes that violates the property: one more than are allowed.
const CRASH_LIMIT: u8 = MIN_CRASHES as u8 + EXTRA_CRASHES + 1;
/// Time between two crashes.
pub(crate) const CRASH_INTERVAL_MS: u64 = 1_000;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashDefect {
    /// Nodes report to each other but write nothing to the table.
    NeverWritten,
    /// Received crashes are added to a counter rather than merged into a set, so repeats count twice.
    Summed,
    /// Rows are deleted while they still count.
    DeletedEarly,
    /// All crashes of a request share one row, which each write replaces; nodes assume that their writes persist.
    SingleRow,
    /// A starting node follows changes to the table without reading its existing rows.
    NoInitialRead,
    /// A node assumes that rows seen before a restore of the store still exist.
    EraIgnored,
}

/// Set of crashes, one bit each; the first crash is the lowest bit.
pub(crate) type CrashSet = u16;

/// Reporting and storing of crashes.
#[derive(Clone, Copy, Debug)]
pub struct CrashSpec {
    defect: Option<CrashDefect>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct NodeState {
    known: CrashSet,
    /// Crashes seen by this node and not reported yet.
    pending: CrashSet,
    /// Crashes seen by this node of which no other node could be notified.
    unreported: CrashSet,
    /// Counter used with [`CrashDefect::Summed`].
    sum: u8,
    /// Rows that the node never reads, with [`CrashDefect::NoInitialRead`].
    unreadable: CrashSet,
    /// Rows that the node assumes to be stored, with the defects that trust earlier writes.
    written: CrashSet,
    is_isolated: bool,
    is_cut_from_store: bool,
}

/// State of the nodes and the table of crashes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CrashState {
    nodes: [NodeState; NODE_COUNT],
    stored: CrashSet,
    delayed_writes: Vec<CrashSet>,
    crashes: u8,
    /// Crashes whose only witness restarted before reporting them.
    unwitnessed: u8,
    faults_left: u8,
}

impl CrashState {
    fn witnessed(&self) -> u8 {
        self.crashes - self.unwitnessed
    }
}

/// Returns the history of a node that knows these crashes, each at another time and domain.
pub(crate) fn history_of(
    fingerprint: SuspectFingerprint,
    known: CrashSet,
    chance_permille: u16,
) -> CrashHistory {
    let mut history = CrashHistory::default();
    for crash in (0..16).filter(|crash| known & (1 << crash) != 0) {
        history.record_crash(CrashReport {
            fingerprint,
            incarnation: IncarnationKey(crash),
            domain: crash,
            at: (crash + 1) * CRASH_INTERVAL_MS,
            chance_permille,
        });
    }
    history
}

/// Returns whether a request or part is quarantined when all crashes have happened.
pub(crate) fn is_barred(history: &CrashHistory, fingerprint: &SuspectFingerprint) -> bool {
    let verdict = history.verdict(fingerprint, 16 * CRASH_INTERVAL_MS);
    verdict.quarantine_left().is_some()
}

/// Returns whether a node that knows these crashes quarantines the request.
fn is_quarantined(known: CrashSet) -> bool {
    let fingerprint = SuspectFingerprint::from([0; 16]);
    is_barred(&history_of(fingerprint, known, 10), &fingerprint)
}

impl CrashSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
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

    /// Returns the rows that a node has to write.
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

    /// Returns the rows of the table that a node has yet to read.
    fn unread(&self, state: &CrashState, node: usize) -> CrashSet {
        let local = &state.nodes[node];
        if local.is_cut_from_store {
            return 0;
        }
        state.stored & !local.known & !local.unreadable
    }

    /// Returns whether no report, write or read is outstanding.
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

    /// Returns whether nodes rely on rows they wrote or read earlier instead of the table's present rows.
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

    /// Returns the crashes known to other nodes, stored in the table or contained in delayed writes.
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
        Some(Step::new(format!("a target crashes at node {node}"), next))
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
        Step::new(format!("node {node} reports its crashes"), next)
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
            steps.push(Step::new(format!("node {node} writes to the table"), next));
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
            steps.push(Step::new(format!("node {node} reconnects"), next));
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
            steps.push(Step::fault(
                format!("node {node} is isolated from the other nodes"),
                next,
            ));
        }
        if !local.is_cut_from_store {
            let mut next = after_fault();
            next.nodes[node].is_cut_from_store = true;
            steps.push(Step::fault(format!("node {node} loses the store"), next));
        }
        if local.known != 0 && local.pending == 0 {
            let mut next = after_fault();
            next.nodes[node].pending = local.known;
            steps.push(Step::fault(
                format!("node {node} prepares a repeated report"),
                next,
            ));
        }
        let due = self.due(state, node);
        if due != 0 {
            let mut next = after_fault();
            next.delayed_writes.push(due);
            if self.has_defect(CrashDefect::SingleRow) {
                next.nodes[node].written |= due;
            }
            steps.push(Step::fault(format!("node {node}'s write is delayed"), next));
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
            steps.push(Step::fault("the store is restored without its rows", next));
        }
        for index in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let rows = next.delayed_writes.remove(index);
            self.store(&mut next, rows);
            steps.push(Step::new("the store applies a delayed write", next));
        }
        if self.has_defect(CrashDefect::DeletedEarly) && state.stored != 0 {
            let mut next = state.clone();
            next.stored &= next.stored - 1;
            steps.push(Step::new("a row is deleted", next));
        }
        steps
    }

    fn violated_property(&self, state: &CrashState) -> Option<&'static str> {
        if state.witnessed() == CRASH_LIMIT {
            return Some("a request crashes at most two more targets once all nodes can know");
        }
        if self.is_converged(state) {
            let connected = state.nodes.iter().filter(|node| !node.is_cut_from_store);
            let quarantined = connected
                .clone()
                .filter(|node| self.quarantines(node))
                .count();
            if quarantined != 0 && quarantined != connected.count() {
                return Some("connected nodes agree once all reports have propagated");
            }
        }
        let is_premature = |node: &NodeState| {
            self.quarantines(node) && (node.known.count_ones() as usize) < MIN_CRASHES
        };
        let has_premature = state.nodes.iter().any(is_premature);
        has_premature.then_some("a request is quarantined only after three crashes")
    }

    fn is_goal(&self, state: &CrashState) -> bool {
        self.is_converged(state)
    }
}
