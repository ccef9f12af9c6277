//! Two operators edit one entity; a node applies what it hears in any order.
//!
//! The node runs the real [`VersionedConfig`]. The store applies writes late and loses answers; operators
//! settle what they lost.

use std::hash::{Hash, Hasher};

use briarswitch_core::config::{ConfigEntry, ConfigValue, EntityKey, EntityKind, VersionedConfig};

use crate::search::{Specification, Step};

/// Lost answers and held-up writes in one run.
const FAULTS: u8 = 2;
/// Writes one operator sends at most.
const SENDS: u8 = 3;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigDefect {
    /// The node takes over whatever version it hears last.
    LowerAccepted,
    /// A write whose answer was lost is sent again without reading back.
    BlindRetry,
    /// Settling only looks, and bars nothing.
    SettleWithoutVoid,
    /// The head row's version is not a condition.
    UnconditionalHead,
}

/// The configuration protocol.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSpec {
    defect: Option<ConfigDefect>,
}

type Operator = usize;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Write {
    operator: Operator,
    expected: usize,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Accepted,
    Conflict,
    Void,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Idle,
    Sent(Write),
    Lost,
    Done(Told),
}

/// State of the table, the operators and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConfigState {
    /// Operator of each entry of the log.
    log: Vec<Operator>,
    void: [bool; 2],
    stages: [Stage; 2],
    sends: [u8; 2],
    late: Vec<Write>,
    node: NodeBook,
    heard: Vec<u64>,
    highest: u64,
    is_lowered: bool,
    faults_left: u8,
}

/// The node's book, compared and hashed by its version.
#[derive(Clone, Debug)]
struct NodeBook {
    book: VersionedConfig,
}

impl PartialEq for NodeBook {
    fn eq(&self, other: &Self) -> bool {
        self.book.version() == other.book.version()
    }
}

impl Eq for NodeBook {}

impl Hash for NodeBook {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.book.version().hash(hasher);
    }
}

impl ConfigSpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: ConfigDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: ConfigDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Applies a write and returns what the writer is answered.
    fn apply(&self, state: &mut ConfigState, write: Write) -> Told {
        let is_conditional = !self.has(ConfigDefect::UnconditionalHead);
        let is_stale = is_conditional && state.log.len() != write.expected;
        if is_stale || state.void[write.operator] {
            return Told::Conflict;
        }
        state.log.truncate(write.expected);
        state.log.push(write.operator);
        Told::Accepted
    }

    fn operator_steps(
        &self,
        state: &ConfigState,
        who: Operator,
        steps: &mut Vec<Step<ConfigState>>,
    ) {
        match state.stages[who] {
            Stage::Idle if state.sends[who] < SENDS => {
                let mut next = state.clone();
                next.sends[who] += 1;
                next.stages[who] = Stage::Sent(Write {
                    operator: who,
                    expected: state.log.len(),
                });
                steps.push(Step::new(format!("operator {who} sends an edit"), next));
            }
            Stage::Sent(write) => {
                let mut next = state.clone();
                let told = self.apply(&mut next, write);
                next.stages[who] = Stage::Done(told);
                steps.push(Step::new(
                    format!("operator {who} is answered {told:?}"),
                    next,
                ));
                if state.faults_left > 0 {
                    let mut next = state.clone();
                    next.faults_left -= 1;
                    next.late.push(write);
                    next.stages[who] = Stage::Lost;
                    steps.push(Step::fault(
                        format!("operator {who}'s write is held up"),
                        next,
                    ));
                    let mut next = state.clone();
                    next.faults_left -= 1;
                    self.apply(&mut next, write);
                    next.stages[who] = Stage::Lost;
                    steps.push(Step::fault(
                        format!("operator {who}'s answer is lost"),
                        next,
                    ));
                }
            }
            Stage::Lost => self.settle_steps(state, who, steps),
            _ => {}
        }
    }

    fn settle_steps(&self, state: &ConfigState, who: Operator, steps: &mut Vec<Step<ConfigState>>) {
        if self.has(ConfigDefect::BlindRetry) {
            let mut next = state.clone();
            next.stages[who] = Stage::Idle;
            steps.push(Step::new(format!("operator {who} sends it again"), next));
            return;
        }
        let mut next = state.clone();
        let is_there = state.log.contains(&who);
        next.stages[who] = Stage::Done(if is_there { Told::Accepted } else { Told::Void });
        if !is_there && !self.has(ConfigDefect::SettleWithoutVoid) {
            next.void[who] = true;
        }
        steps.push(Step::new(format!("operator {who} settles it"), next));
    }

    fn node_steps(&self, state: &ConfigState, steps: &mut Vec<Step<ConfigState>>) {
        for version in 1..=state.log.len() as u64 {
            if !state.heard.contains(&version) {
                let mut next = state.clone();
                next.heard.push(version);
                next.heard.sort_unstable();
                steps.push(Step::new(
                    format!("version {version} is told to the node"),
                    next,
                ));
            }
        }
        for version in &state.heard {
            let mut next = state.clone();
            let entry = entry(*version);
            if self.has(ConfigDefect::LowerAccepted) {
                next.node.book = VersionedConfig::restore(*version, vec![entry]);
            } else {
                next.node.book.apply(entry);
            }
            let held = next.node.book.version();
            next.is_lowered |= held < state.highest;
            next.highest = state.highest.max(held);
            steps.push(Step::new(format!("the node takes version {version}"), next));
        }
    }
}

fn entry(version: u64) -> ConfigEntry {
    ConfigEntry {
        version,
        key: EntityKey {
            kind: EntityKind::Rules,
            id: "main".to_owned(),
        },
        value: ConfigValue::Deleted,
    }
}

impl Specification for ConfigSpec {
    type State = ConfigState;

    fn initial(&self) -> ConfigState {
        ConfigState {
            log: Vec::new(),
            void: [false; 2],
            stages: [Stage::Idle; 2],
            sends: [0; 2],
            late: Vec::new(),
            node: NodeBook {
                book: VersionedConfig::default(),
            },
            heard: Vec::new(),
            highest: 0,
            is_lowered: false,
            faults_left: FAULTS,
        }
    }

    fn steps(&self, state: &ConfigState) -> Vec<Step<ConfigState>> {
        let mut steps = Vec::new();
        for who in 0..2 {
            self.operator_steps(state, who, &mut steps);
        }
        for index in 0..state.late.len() {
            let mut next = state.clone();
            let write = next.late.remove(index);
            self.apply(&mut next, write);
            steps.push(Step::new("the store takes a late write", next));
        }
        self.node_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &ConfigState) -> Option<&'static str> {
        if state.is_lowered {
            return Some("a node never goes back to a lower version");
        }
        for who in 0..2 {
            let count = state.log.iter().filter(|other| **other == who).count();
            if count > 1 {
                return Some("an edit is in the log at most once");
            }
            match state.stages[who] {
                Stage::Done(Told::Accepted) if count == 0 => {
                    return Some("an edit told accepted is in the log");
                }
                Stage::Done(Told::Void) if count > 0 => {
                    return Some("an edit told void is never in the log");
                }
                _ => {}
            }
        }
        None
    }

    fn is_goal(&self, state: &ConfigState) -> bool {
        let is_told = |stage: &Stage| matches!(stage, Stage::Done(_));
        let is_current = state.node.book.version() == state.log.len() as u64;
        state.stages.iter().all(is_told) && is_current
    }
}
