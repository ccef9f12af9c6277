//! Breadth-first search over a specification's states.

use std::cell::RefCell;
use std::fmt::Debug;
use std::hash::Hash;

use indexmap::{IndexMap, IndexSet};
use pathfinding::prelude::{bfs, bfs_reach};

/// Most states looked at before a search gives up.
const STATE_LIMIT: usize = 2_000_000;

/// One step from a state.
#[derive(Clone, Debug)]
pub struct Step<S> {
    /// What happens.
    pub name: String,
    /// State that results.
    pub state: S,
    /// Whether it is a fault, which liveness assumes to stop.
    pub is_fault: bool,
}

impl<S> Step<S> {
    /// Makes a step of the protocol itself.
    pub fn new(name: impl Into<String>, state: S) -> Self {
        Self {
            name: name.into(),
            state,
            is_fault: false,
        }
    }

    /// Makes a step that is a fault.
    pub fn fault(name: impl Into<String>, state: S) -> Self {
        Self {
            name: name.into(),
            state,
            is_fault: true,
        }
    }
}

/// A protocol as states and steps.
pub trait Specification {
    /// State of everything.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the state at the start.
    fn initial(&self) -> Self::State;

    /// Returns every step that can come next.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// Returns the property that a state breaks, if any.
    fn violated_property(&self, state: &Self::State) -> Option<&'static str>;

    /// Returns whether a state is what the protocol works towards.
    fn is_goal(&self, state: &Self::State) -> bool;
}

/// The shortest way to a state that breaks a property.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Property broken.
    pub property: &'static str,
    /// Steps from the start.
    pub trace: Vec<String>,
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// States looked at.
    pub states: usize,
    /// Whether every state within the bounds was looked at.
    pub is_exhausted: bool,
    /// Shortest counterexample, if any.
    pub violation: Option<Violation>,
}

/// Searches every state breadth-first, so the first violation found is the shortest.
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

/// Counts the reachable states from which no goal can be reached once faults stop.
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
