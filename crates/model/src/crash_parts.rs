//! Nodes count the crashes of targets for each part of the prompts that ran there, and clear the parts of served ones.
//!
//! All prompts share one part, and some hold another one that crashes each target. Nodes report to two holders and
//! follow a table in the store; they restart, lose contact with each other or with the store, forget which parts were
//! served lately, and the store is restored without its rows. The verdict comes from the real
//! [`briarswitch_core::crash::CrashHistory`]. Requests arrive only after all possible propagation has completed, which is
//! what the time for objections is for.

use briarswitch_core::crash::{ClearReport, StoreMillis, MIN_CRASHES};
use briarswitch_core::fingerprint::SuspectFingerprint;

use crate::crash::{history_of, is_barred, CrashSet, CRASH_INTERVAL_MS};
use crate::search::{Specification, Step};

const NODE_COUNT: usize = 3;
/// Nodes that receive reports: the two ranked first for either part.
const HOLDERS: [usize; 2] = [0, 1];
/// Maximum number of faults in one run.
const MAX_FAULTS: u8 = 2;
/// Crashes allowed beyond the quarantine threshold.
const EXTRA_CRASHES: u8 = 2;
/// Number of witnessed crashes that violates the property: one more than are allowed.
const CRASH_LIMIT: u8 = MIN_CRASHES as u8 + EXTRA_CRASHES + 1;
/// Maximum number of requests that are served in one run.
const MAX_SERVED: u8 = 3;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPartDefect {
    /// A served request clears the parts of all requests that ran at the crashed targets.
    ClearsAll,
    /// A node that clears a part tells nobody.
    ClearUntold,
    /// Nobody asks whether requests with a part were served.
    SharedPartBlamed,
    /// A crash is put down to the first part alone.
    FirstPartOnly,
    /// Nodes that read of crashes in the table do not object.
    NoObjection,
}

/// Crashes put down to one part, as one node or the store knows them.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct PartRecord {
    crashes: CrashSet,
    /// Number of crashes, of all that have happened, before which none counts.
    cleared: u8,
}

impl PartRecord {
    fn merge(&mut self, other: Self) {
        self.crashes |= other.crashes;
        self.cleared = self.cleared.max(other.cleared);
    }

    /// Returns the crashes that count.
    fn counted(self) -> CrashSet {
        let cleared = (1 << self.cleared) - 1;
        self.crashes & !cleared
    }

    /// Returns whether this has all that another one has.
    fn covers(self, other: Self) -> bool {
        other.crashes & !self.crashes == 0 && other.cleared <= self.cleared
    }

    fn is_suspect(self) -> bool {
        self.counted().count_ones() >= 2
    }

    fn is_quarantined(self) -> bool {
        let fingerprint = SuspectFingerprint::of_part("part");
        let mut history = history_of(fingerprint, self.crashes, 20);
        let at = StoreMillis::from(self.cleared) * CRASH_INTERVAL_MS;
        history.record_clear(ClearReport { fingerprint, at });
        is_barred(&history, &fingerprint)
    }
}

/// The two parts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Records {
    /// Part that all prompts share.
    shared: PartRecord,
    /// Part that crashes targets.
    crashing: PartRecord,
}

impl Records {
    fn merge(&mut self, other: Self) {
        self.shared.merge(other.shared);
        self.crashing.merge(other.crashing);
    }

    fn covers(self, other: Self) -> bool {
        self.shared.covers(other.shared) && self.crashing.covers(other.crashing)
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct NodeState {
    known: Records,
    /// Whether the node has something to report.
    is_pending: bool,
    /// Whether what it had to report reached no holder.
    is_unreported: bool,
    /// Whether it has served requests with the shared part lately.
    is_sound: bool,
    /// Whether it has served any request.
    has_served: bool,
    is_isolated: bool,
    is_cut_from_store: bool,
}

/// State of the nodes and the table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CrashPartState {
    nodes: [NodeState; NODE_COUNT],
    stored: Records,
    crashes: u8,
    /// Crashes that no node puts down to anything, or whose only witness restarted before reporting them.
    unwitnessed: u8,
    served: u8,
    faults_left: u8,
}

impl CrashPartState {
    fn witnessed(&self) -> u8 {
        self.crashes - self.unwitnessed
    }
}

/// Counting and clearing of crashes by part.
#[derive(Clone, Copy, Debug)]
pub struct CrashPartSpec {
    defect: Option<CrashPartDefect>,
}

impl CrashPartSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: CrashPartDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: CrashPartDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Returns what a node has to write to the table.
    fn due(&self, state: &CrashPartState, node: usize) -> Records {
        let local = &state.nodes[node];
        let due = |known: PartRecord, stored: PartRecord| {
            let must_write = known.is_suspect() || local.is_unreported;
            let must_clear = stored.counted() != 0
                && known.cleared > stored.cleared
                && !self.has_defect(CrashPartDefect::ClearUntold);
            let is_due = must_write && known.counted() != 0 || must_clear;
            if is_due && !stored.covers(known) {
                known
            } else {
                PartRecord::default()
            }
        };
        if local.is_cut_from_store {
            return Records::default();
        }
        Records {
            shared: due(local.known.shared, state.stored.shared),
            crashing: due(local.known.crashing, state.stored.crashing),
        }
    }

    /// Returns whether a node has yet to read rows of the table.
    fn is_behind(state: &CrashPartState, node: usize) -> bool {
        let local = &state.nodes[node];
        !local.is_cut_from_store && !local.known.covers(state.stored)
    }

    /// Returns whether no report, write or read is outstanding.
    fn is_converged(&self, state: &CrashPartState) -> bool {
        (0..NODE_COUNT).all(|node| {
            !state.nodes[node].is_pending
                && self.due(state, node) == Records::default()
                && !Self::is_behind(state, node)
        })
    }

    /// Clears the shared part at a node that has served requests with it.
    fn clear_sound(&self, node: &mut NodeState, crashes: u8) {
        if node.is_sound && node.known.shared.counted() != 0 {
            self.clear(node, crashes);
        }
    }

    fn clear(&self, node: &mut NodeState, crashes: u8) {
        if self.has_defect(CrashPartDefect::SharedPartBlamed) {
            return;
        }
        node.known.shared.cleared = crashes;
        if self.has_defect(CrashPartDefect::ClearUntold) {
            return;
        }
        if self.has_defect(CrashPartDefect::ClearsAll) {
            node.known.crashing.cleared = crashes;
        }
        node.is_pending = true;
    }

    /// Returns a request with the part that crashes targets, which arrives at a node.
    fn crashing_step(&self, state: &CrashPartState, node: usize) -> Option<Step<CrashPartState>> {
        let local = &state.nodes[node];
        let known = local.known;
        let is_barred = known.shared.is_quarantined() || known.crashing.is_quarantined();
        if local.is_cut_from_store || state.witnessed() == CRASH_LIMIT || is_barred {
            return None;
        }
        let mut next = state.clone();
        let crash = 1 << state.crashes;
        next.crashes += 1;
        if !local.has_served {
            next.unwitnessed += 1;
            return (next.unwitnessed <= 1).then(|| {
                Step::new(
                    format!("a target crashes at node {node}, which has served none"),
                    next,
                )
            });
        }
        let local = &mut next.nodes[node];
        if !local.is_sound || self.has_defect(CrashPartDefect::SharedPartBlamed) {
            local.known.shared.crashes |= crash;
        }
        if !self.has_defect(CrashPartDefect::FirstPartOnly) {
            local.known.crashing.crashes |= crash;
        }
        local.is_pending = true;
        Some(Step::new(format!("a target crashes at node {node}"), next))
    }

    /// Returns a request without that part, which is served through a node.
    fn served_step(&self, state: &CrashPartState, node: usize) -> Option<Step<CrashPartState>> {
        let local = &state.nodes[node];
        if state.served == MAX_SERVED || local.is_sound || local.known.shared.is_quarantined() {
            return None;
        }
        let mut next = state.clone();
        next.served += 1;
        next.nodes[node].is_sound = true;
        next.nodes[node].has_served = true;
        self.clear_sound(&mut next.nodes[node], state.crashes);
        Some(Step::new(format!("node {node} serves a request"), next))
    }

    fn report_step(&self, state: &CrashPartState, node: usize) -> Step<CrashPartState> {
        let mut next = state.clone();
        next.nodes[node].is_pending = false;
        let mut is_reported = false;
        for holder in HOLDERS.into_iter().filter(|holder| *holder != node) {
            if state.nodes[node].is_isolated || state.nodes[holder].is_isolated {
                continue;
            }
            is_reported = true;
            let reported = next.nodes[node].known;
            next.nodes[holder].known.merge(reported);
            self.clear_sound(&mut next.nodes[holder], state.crashes);
            let known = next.nodes[holder].known;
            let is_cleared = known.shared.cleared > reported.shared.cleared;
            next.nodes[node].known.merge(known);
            next.nodes[node].is_pending |= is_cleared;
        }
        next.nodes[node].is_unreported |= !is_reported;
        Step::new(format!("node {node} reports"), next)
    }

    fn node_steps(
        &self,
        state: &CrashPartState,
        node: usize,
        steps: &mut Vec<Step<CrashPartState>>,
    ) {
        if state.nodes[node].is_pending {
            steps.push(self.report_step(state, node));
        }
        let due = self.due(state, node);
        if due != Records::default() {
            let mut next = state.clone();
            next.stored.merge(due);
            steps.push(Step::new(format!("node {node} writes to the table"), next));
        }
        if Self::is_behind(state, node) {
            let mut next = state.clone();
            next.nodes[node].known.merge(state.stored);
            if !self.has_defect(CrashPartDefect::NoObjection) {
                self.clear_sound(&mut next.nodes[node], state.crashes);
            }
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

    fn fault_steps(
        &self,
        state: &CrashPartState,
        node: usize,
        steps: &mut Vec<Step<CrashPartState>>,
    ) {
        let local = &state.nodes[node];
        let mut add = |name: String, change: &dyn Fn(&mut CrashPartState)| {
            let mut next = state.clone();
            next.faults_left -= 1;
            change(&mut next);
            steps.push(Step::fault(name, next));
        };
        let others = state
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != node);
        let elsewhere = others.fold(state.stored.crashing.crashes, |known, (_, other)| {
            known | other.known.crashing.crashes
        });
        let lost = (local.known.crashing.crashes & !elsewhere).count_ones() as u8;
        add(format!("node {node} restarts"), &|next| {
            next.unwitnessed += lost;
            next.nodes[node] = NodeState {
                is_isolated: local.is_isolated,
                is_cut_from_store: local.is_cut_from_store,
                ..NodeState::default()
            };
        });
        if !local.is_isolated {
            add(
                format!("node {node} is isolated from the other nodes"),
                &|next| {
                    next.nodes[node].is_isolated = true;
                },
            );
        }
        if !local.is_cut_from_store {
            add(format!("node {node} loses the store"), &|next| {
                next.nodes[node].is_cut_from_store = true;
            });
        }
        if local.is_sound {
            add(
                format!("node {node} forgets what it has served lately"),
                &|next| {
                    next.nodes[node].is_sound = false;
                },
            );
        }
    }
}

impl Specification for CrashPartSpec {
    type State = CrashPartState;

    fn initial(&self) -> CrashPartState {
        CrashPartState {
            nodes: [NodeState::default(); NODE_COUNT],
            stored: Records::default(),
            crashes: 0,
            unwitnessed: 0,
            served: 0,
            faults_left: MAX_FAULTS,
        }
    }

    fn steps(&self, state: &CrashPartState) -> Vec<Step<CrashPartState>> {
        let mut steps = Vec::new();
        let is_converged = self.is_converged(state);
        for node in 0..NODE_COUNT {
            if is_converged {
                steps.extend(self.crashing_step(state, node));
                steps.extend(self.served_step(state, node));
            }
            self.node_steps(state, node, &mut steps);
            if state.faults_left > 0 {
                self.fault_steps(state, node, &mut steps);
            }
        }
        if state.faults_left > 0 && state.stored != Records::default() {
            let mut next = state.clone();
            next.faults_left -= 1;
            next.stored = Records::default();
            steps.push(Step::fault("the store is restored without its rows", next));
        }
        steps
    }

    fn violated_property(&self, state: &CrashPartState) -> Option<&'static str> {
        if state.witnessed() == CRASH_LIMIT {
            return Some("a part crashes at most two more targets once all nodes can know");
        }
        if !self.is_converged(state) {
            return None;
        }
        let connected = || state.nodes.iter().filter(|node| !node.is_cut_from_store);
        let is_served = connected().any(|node| node.is_sound);
        if is_served && connected().any(|node| node.known.shared.is_quarantined()) {
            return Some("a part with which requests are served is not barred");
        }
        let barred = connected().filter(|node| node.known.crashing.is_quarantined());
        let barred = barred.count();
        let is_split = barred != 0 && barred != connected().count();
        is_split.then_some("connected nodes agree once all reports have propagated")
    }

    fn is_goal(&self, state: &CrashPartState) -> bool {
        self.is_converged(state)
    }
}
