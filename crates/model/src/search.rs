//! Breadth-first search over the states of a specification.

use std::cell::RefCell;
use std::fmt::Debug;
use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};
use pathfinding::prelude::{bfs, bfs_reach};

/// Maximum number of states that a search explores before it stops.
const STATE_LIMIT: usize = 2_000_000;

/// A transition from one state to the next.
#[derive(Clone, Debug)]
pub struct Step<S> {
    /// Description used in traces.
    pub name: String,
    /// Resulting state.
    pub state: S,
    /// Whether the step is a fault; the liveness check assumes that faults eventually stop.
    pub is_fault: bool,
}

impl<S> Step<S> {
    /// Creates a step of the protocol.
    pub fn new(name: impl Into<String>, state: S) -> Self {
        Self {
            name: name.into(),
            state,
            is_fault: false,
        }
    }

    /// Creates a step that is a fault.
    pub fn fault(name: impl Into<String>, state: S) -> Self {
        Self {
            name: name.into(),
            state,
            is_fault: true,
        }
    }
}

/// A protocol described as a state machine.
pub trait Specification {
    /// Complete state of the modelled system.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every step possible from a state.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// Returns the safety property that a state violates, if any.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;

    /// Returns whether a state counts as progress in the liveness check.
    fn is_goal(&self, state: &Self::State) -> bool;
}

/// The shortest path to a state that violates a property.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Violated property.
    pub property: &'static str,
    /// Descriptions of the steps from the initial state.
    pub trace: Vec<String>,
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// Number of states explored.
    pub states: usize,
    /// Whether every reachable state was explored.
    pub is_exhausted: bool,
    /// Shortest counterexample, if any.
    pub violation: Option<Violation>,
}

/// Explores every reachable state breadth-first, so the first violation found has the shortest trace.
pub fn search<S: Specification>(spec: &S) -> SearchReport {
    let visited = RefCell::new(0_usize);
    let path = bfs(
        &spec.initial(),
        |state| {
            *visited.borrow_mut() += 1;
            if *visited.borrow() > STATE_LIMIT {
                return Vec::new();
            }
            next_states(spec, state)
        },
        |state| spec.violated_property(state).is_some(),
    );
    let states = *visited.borrow();
    SearchReport {
        states,
        is_exhausted: path.is_none() && states <= STATE_LIMIT,
        violation: path.map(|path| build_violation(spec, &path)),
    }
}

/// Counts the reachable states from which no goal state can be reached without further faults.
pub fn stuck_states<S: Specification>(spec: &S) -> usize {
    let states: IndexSet<S::State> =
        bfs_reach(spec.initial(), |state| next_states(spec, state)).collect();
    let mut predecessors: IndexMap<usize, Vec<usize>> = IndexMap::new();
    let mut pending: Vec<usize> = Vec::new();
    for (index, state) in states.iter().enumerate() {
        if spec.is_goal(state) {
            pending.push(index);
        }
        for step in spec.steps(state).into_iter().filter(|step| !step.is_fault) {
            if let Some(next) = states.get_index_of(&step.state) {
                predecessors.entry(next).or_default().push(index);
            }
        }
    }
    let mut can_reach_goal: IndexSet<usize> = pending.iter().copied().collect();
    while let Some(index) = pending.pop() {
        for predecessor in predecessors.get(&index).into_iter().flatten() {
            if can_reach_goal.insert(*predecessor) {
                pending.push(*predecessor);
            }
        }
    }
    states.len() - can_reach_goal.len()
}

fn next_states<S: Specification>(spec: &S, state: &S::State) -> Vec<S::State> {
    let steps = spec.steps(state);
    steps.into_iter().map(|step| step.state).collect()
}

fn build_violation<S: Specification>(spec: &S, path: &[S::State]) -> Violation {
    let trace = path.windows(2).map(|pair| {
        let steps = spec.steps(&pair[0]);
        let step = steps.into_iter().find(|step| step.state == pair[1]);
        step.map_or_else(|| "?".to_owned(), |step| step.name)
    });
    let last = path.last().and_then(|state| spec.violated_property(state));
    Violation {
        property: last.unwrap_or("none"),
        trace: trace.collect(),
    }
}
