//! Two operators edit one entity while a node applies the accepted versions in any order.
//!
//! The node runs the real [`VersionedConfig`]. The store delays writes and loses responses. An operator that
//! lost a response settles its edit: it reads the log and voids the edit if it is absent.

use std::hash::{Hash, Hasher};

use briarswitch_core::config::{ConfigEntry, ConfigValue, EntityKey, EntityKind, VersionedConfig};

use crate::search::{Specification, Step};

/// Maximum number of lost responses and delayed writes in one run.
const MAX_FAULTS: u8 = 2;
/// Maximum number of writes sent by one operator.
const MAX_SENDS: u8 = 3;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigDefect {
    /// The node applies the last version it received, even if it is lower than the current one.
    LowerAccepted,
    /// A write whose response was lost is retried without reading the log first.
    BlindRetry,
    /// Settling reads the log but does not void the edit, so a delayed write may still be applied.
    SettleWithoutVoid,
    /// Writes are not conditional on the version of the head row.
    UnconditionalHead,
}

/// Edits of the configuration log and their application by a node.
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
enum EditResult {
    Accepted,
    Conflict,
    Void,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Idle,
    Sent(Write),
    Lost,
    Done(EditResult),
}

/// State of the configuration log, the operators and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConfigState {
    /// Operator that wrote each log entry.
    log: Vec<Operator>,
    void: [bool; 2],
    stages: [Stage; 2],
    sends: [u8; 2],
    delayed_writes: Vec<Write>,
    node: NodeConfig,
    received: Vec<u64>,
    highest: u64,
    has_regressed: bool,
    faults_left: u8,
}

/// The node's configuration, compared and hashed by version only.
#[derive(Clone, Debug)]
struct NodeConfig {
    config: VersionedConfig,
}

impl PartialEq for NodeConfig {
    fn eq(&self, other: &Self) -> bool {
        self.config.version() == other.config.version()
    }
}

impl Eq for NodeConfig {}

impl Hash for NodeConfig {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.config.version().hash(hasher);
    }
}

impl ConfigSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: ConfigDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: ConfigDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Applies a write and returns the result sent to the writer.
    fn apply(&self, state: &mut ConfigState, write: Write) -> EditResult {
        let is_conditional = !self.has_defect(ConfigDefect::UnconditionalHead);
        let is_stale = is_conditional && state.log.len() != write.expected;
        if is_stale || state.void[write.operator] {
            return EditResult::Conflict;
        }
        state.log.truncate(write.expected);
        state.log.push(write.operator);
        EditResult::Accepted
    }

    fn operator_steps(
        &self,
        state: &ConfigState,
        operator: Operator,
        steps: &mut Vec<Step<ConfigState>>,
    ) {
        match state.stages[operator] {
            Stage::Idle if state.sends[operator] < MAX_SENDS => {
                let mut next = state.clone();
                next.sends[operator] += 1;
                next.stages[operator] = Stage::Sent(Write {
                    operator,
                    expected: state.log.len(),
                });
                steps.push(Step::new(
                    format!("operator {operator} sends an edit"),
                    next,
                ));
            }
            Stage::Sent(write) => {
                let mut next = state.clone();
                let result = self.apply(&mut next, write);
                next.stages[operator] = Stage::Done(result);
                steps.push(Step::new(
                    format!("operator {operator} receives {result:?}"),
                    next,
                ));
                if state.faults_left > 0 {
                    let mut next = state.clone();
                    next.faults_left -= 1;
                    next.delayed_writes.push(write);
                    next.stages[operator] = Stage::Lost;
                    steps.push(Step::fault(
                        format!("operator {operator}'s write is delayed"),
                        next,
                    ));
                    let mut next = state.clone();
                    next.faults_left -= 1;
                    self.apply(&mut next, write);
                    next.stages[operator] = Stage::Lost;
                    steps.push(Step::fault(
                        format!("operator {operator}'s response is lost"),
                        next,
                    ));
                }
            }
            Stage::Lost => self.settle_steps(state, operator, steps),
            _ => {}
        }
    }

    fn settle_steps(
        &self,
        state: &ConfigState,
        operator: Operator,
        steps: &mut Vec<Step<ConfigState>>,
    ) {
        if self.has_defect(ConfigDefect::BlindRetry) {
            let mut next = state.clone();
            next.stages[operator] = Stage::Idle;
            steps.push(Step::new(
                format!("operator {operator} retries its edit"),
                next,
            ));
            return;
        }
        let mut next = state.clone();
        let is_in_log = state.log.contains(&operator);
        next.stages[operator] = Stage::Done(if is_in_log {
            EditResult::Accepted
        } else {
            EditResult::Void
        });
        if !is_in_log && !self.has_defect(ConfigDefect::SettleWithoutVoid) {
            next.void[operator] = true;
        }
        steps.push(Step::new(
            format!("operator {operator} settles its edit"),
            next,
        ));
    }

    fn node_steps(&self, state: &ConfigState, steps: &mut Vec<Step<ConfigState>>) {
        for version in 1..=state.log.len() as u64 {
            if !state.received.contains(&version) {
                let mut next = state.clone();
                next.received.push(version);
                next.received.sort_unstable();
                steps.push(Step::new(
                    format!("the node receives version {version}"),
                    next,
                ));
            }
        }
        for version in &state.received {
            let mut next = state.clone();
            let entry = entry(*version);
            if self.has_defect(ConfigDefect::LowerAccepted) {
                next.node.config = VersionedConfig::restore(*version, vec![entry]);
            } else {
                next.node.config.apply(entry);
            }
            let current = next.node.config.version();
            next.has_regressed |= current < state.highest;
            next.highest = state.highest.max(current);
            steps.push(Step::new(
                format!("the node applies version {version}"),
                next,
            ));
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
            delayed_writes: Vec::new(),
            node: NodeConfig {
                config: VersionedConfig::default(),
            },
            received: Vec::new(),
            highest: 0,
            has_regressed: false,
            faults_left: MAX_FAULTS,
        }
    }

    fn steps(&self, state: &ConfigState) -> Vec<Step<ConfigState>> {
        let mut steps = Vec::new();
        for operator in 0..2 {
            self.operator_steps(state, operator, &mut steps);
        }
        for index in 0..state.delayed_writes.len() {
            let mut next = state.clone();
            let write = next.delayed_writes.remove(index);
            self.apply(&mut next, write);
            steps.push(Step::new("the store applies a delayed write", next));
        }
        self.node_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &ConfigState) -> Option<&'static str> {
        if state.has_regressed {
            return Some("a node never returns to a lower version");
        }
        for operator in 0..2 {
            let count = state.log.iter().filter(|other| **other == operator).count();
            if count > 1 {
                return Some("an edit is in the log at most once");
            }
            match state.stages[operator] {
                Stage::Done(EditResult::Accepted) if count == 0 => {
                    return Some("an edit reported as accepted is in the log");
                }
                Stage::Done(EditResult::Void) if count > 0 => {
                    return Some("an edit reported as void is never in the log");
                }
                _ => {}
            }
        }
        None
    }

    fn is_goal(&self, state: &ConfigState) -> bool {
        let is_finished = |stage: &Stage| matches!(stage, Stage::Done(_));
        let is_current = state.node.config.version() == state.log.len() as u64;
        state.stages.iter().all(is_finished) && is_current
    }
}
