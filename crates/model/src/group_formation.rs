//! Two controllers form groups by conditional orders, with one target a member of every group.
//!
//! Both controllers act as the responsible one: one forms a group, and another after the first is dissolved;
//! the other dissolves it and takes its follower for a group whose other members are not modelled. Orders are
//! delayed, reordered or lost. Targets restart with their sequence number back at zero. A controller knows
//! only what a target last reported to it.

use crate::search::{Specification, Step};

/// Number of targets.
const TARGET_COUNT: usize = 2;
/// Number of controllers.
const CONTROLLER_COUNT: usize = 2;
/// Controller that dissolves the groups of the other one.
const DISSOLVER: usize = 1;
/// Target that leads the groups of the first controller.
const LEADER: usize = 0;
/// Target that is a member of every group.
const FOLLOWER: usize = 1;
/// Controller that forms each group.
const GROUP_OWNERS: [usize; 3] = [0, DISSOLVER, 0];
/// Maximum number of restarts in one run.
const MAX_RESTARTS: u8 = 1;
/// Maximum number of orders in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of leave orders in one run.
const MAX_LEAVES: u8 = 1;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupFormationDefect {
    /// Targets execute orders without comparing the expected sequence number.
    SequenceIgnored,
    /// Targets execute orders addressed to an earlier incarnation.
    IncarnationIgnored,
    /// The follower is reused as soon as the leader has been ordered to leave, before it has left.
    ReusedBeforeStop,
    /// A group is opened when its leader is ready, whether its follower is or not.
    OpenedBeforeReady,
    /// An order without a response is assumed to have been executed.
    UnknownTakenAsDone,
}

/// Forming, opening and dissolving of groups.
#[derive(Clone, Copy, Debug)]
pub struct GroupFormationSpec {
    defect: Option<GroupFormationDefect>,
}

type Group = u8;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Action {
    Join(Group),
    Open(Group),
    Leave(Group),
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Order {
    target: usize,
    incarnation: u8,
    expected: u8,
    action: Action,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Stage {
    Joining,
    Ready,
    Open,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Target {
    incarnation: u8,
    sequence: u8,
    group: Option<(Group, Stage)>,
}

/// State of the targets, the orders and the controllers' views.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GroupFormationState {
    targets: [Target; TARGET_COUNT],
    views: [[Option<Target>; TARGET_COUNT]; CONTROLLER_COUNT],
    /// Whether each group has been formed.
    formed: [bool; GROUP_OWNERS.len()],
    /// Groups whose leader is known to each controller to have left.
    released: [Vec<Group>; CONTROLLER_COUNT],
    /// Whether the leader and the follower of each group have ever been ready in it.
    ever_ready: [[bool; 2]; GROUP_OWNERS.len()],
    orders: Vec<Order>,
    restarts_left: u8,
    leaves_left: u8,
    opened_early: bool,
    moved_while_serving: bool,
}

impl GroupFormationSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: GroupFormationDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: GroupFormationDefect) -> bool {
        self.defect == Some(defect)
    }

    fn is_free(&self, state: &GroupFormationState, controller: usize, target: usize) -> bool {
        let Some(reported) = state.views[controller][target] else {
            return false;
        };
        match reported.group {
            None => true,
            Some((group, _)) => target != LEADER && state.released[controller].contains(&group),
        }
    }

    fn send(
        &self,
        state: &mut GroupFormationState,
        controller: usize,
        target: usize,
        action: Action,
    ) {
        let Some(reported) = state.views[controller][target] else {
            return;
        };
        state.orders.push(Order {
            target,
            incarnation: reported.incarnation,
            expected: reported.sequence,
            action,
        });
        state.orders.sort_unstable();
        // The target has to report to this controller again before the next order.
        state.views[controller][target] = None;
        if self.has_defect(GroupFormationDefect::UnknownTakenAsDone) {
            state.views[controller][target] = Some(Target {
                sequence: reported.sequence + 1,
                group: group_after(action, reported.group),
                ..reported
            });
        }
    }

    fn form_steps(
        &self,
        state: &GroupFormationState,
        controller: usize,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        if state.orders.len() + 2 > MAX_IN_FLIGHT {
            return;
        }
        // A controller forms its groups in order.
        let owned = GROUP_OWNERS.iter().enumerate();
        let mut pending =
            owned.filter(|(index, owner)| **owner == controller && !state.formed[*index]);
        let Some((index, _)) = pending.next() else {
            return;
        };
        let has_leader = controller != DISSOLVER;
        let are_free = self.is_free(state, controller, FOLLOWER)
            && (!has_leader || self.is_free(state, controller, LEADER));
        if !are_free {
            return;
        }
        let mut next = state.clone();
        let group = index as Group;
        next.formed[index] = true;
        if has_leader {
            self.send(&mut next, controller, LEADER, Action::Join(group));
        }
        self.send(&mut next, controller, FOLLOWER, Action::Join(group));
        steps.push(Step::new(
            format!("controller {controller} forms group {group}"),
            next,
        ));
    }

    fn group_steps(
        &self,
        state: &GroupFormationState,
        controller: usize,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        if state.orders.len() >= MAX_IN_FLIGHT {
            return;
        }
        for (index, owner) in GROUP_OWNERS.iter().enumerate() {
            let group = index as Group;
            let stage = |target: usize| {
                let reported = state.views[controller][target]?;
                reported
                    .group
                    .filter(|(current, _)| *current == group)
                    .map(|(_, stage)| stage)
            };
            let is_follower_ready = stage(FOLLOWER) == Some(Stage::Ready)
                || self.has_defect(GroupFormationDefect::OpenedBeforeReady);
            if *owner == controller && stage(LEADER) == Some(Stage::Ready) && is_follower_ready {
                let mut next = state.clone();
                self.send(&mut next, controller, LEADER, Action::Open(group));
                steps.push(Step::new(
                    format!("controller {controller} opens group {group}"),
                    next,
                ));
            }
            let may_dissolve =
                controller == DISSOLVER && *owner != DISSOLVER && state.leaves_left > 0;
            if may_dissolve && stage(LEADER).is_some() {
                let mut next = state.clone();
                next.leaves_left -= 1;
                self.send(&mut next, controller, LEADER, Action::Leave(group));
                let is_early = self.has_defect(GroupFormationDefect::ReusedBeforeStop)
                    || self.has_defect(GroupFormationDefect::UnknownTakenAsDone);
                if is_early {
                    next.released[controller].push(group);
                }
                steps.push(Step::new(
                    format!("controller {controller} dissolves group {group}"),
                    next,
                ));
            }
        }
    }

    fn target_steps(
        &self,
        state: &GroupFormationState,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        for target in 0..TARGET_COUNT {
            if let Some((group, Stage::Joining)) = state.targets[target].group {
                let mut next = state.clone();
                next.targets[target].group = Some((group, Stage::Ready));
                next.record_ready(target, group);
                steps.push(Step::new(
                    format!("target {target} is ready in group {group}"),
                    next,
                ));
            }
            for controller in 0..CONTROLLER_COUNT {
                if state.views[controller][target] == Some(state.targets[target]) {
                    continue;
                }
                let mut next = state.clone();
                next.report(controller, target);
                steps.push(Step::new(
                    format!("target {target} reports to controller {controller}"),
                    next,
                ));
            }
        }
    }

    fn order_steps(&self, state: &GroupFormationState, steps: &mut Vec<Step<GroupFormationState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let order = next.orders.remove(index);
            let mut lost = next.clone();
            self.execute(&mut next, order);
            if let Action::Leave(group) = order.action {
                // Only the response shows that the leader has left, and it may be lost.
                let mut answered = next.clone();
                let is_done = answered.targets[LEADER]
                    .group
                    .is_none_or(|(current, _)| current != group);
                if is_done && !answered.released[DISSOLVER].contains(&group) {
                    answered.released[DISSOLVER].push(group);
                    answered.released[DISSOLVER].sort_unstable();
                }
                steps.push(Step::new(
                    format!("{order:?} arrives and its response is received"),
                    answered,
                ));
            }
            steps.push(Step::new(format!("{order:?} arrives"), next));
            lost.orders.sort_unstable();
            steps.push(Step::fault(format!("{order:?} is lost"), lost));
        }
    }

    fn execute(&self, state: &mut GroupFormationState, order: Order) {
        let target = state.targets[order.target];
        let is_other_incarnation = target.incarnation != order.incarnation
            && !self.has_defect(GroupFormationDefect::IncarnationIgnored);
        let is_stale = target.sequence != order.expected
            && !self.has_defect(GroupFormationDefect::SequenceIgnored);
        if is_other_incarnation || is_stale {
            return;
        }
        match (order.action, target.group) {
            (Action::Join(group), current) => {
                let other = current.filter(|(current, _)| *current != group);
                state.moved_while_serving |=
                    other.is_some_and(|(current, _)| state.serves(current));
            }
            (Action::Open(group), Some((current, Stage::Ready))) if current == group => {
                state.opened_early |= state.ever_ready[usize::from(group)] != [true; 2];
            }
            (Action::Leave(group), Some((current, _))) if current == group => {}
            _ => return,
        }
        let updated = &mut state.targets[order.target];
        updated.group = group_after(order.action, target.group);
        updated.sequence += 1;
    }
}

impl GroupFormationState {
    fn record_ready(&mut self, target: usize, group: Group) {
        let member = usize::from(target != LEADER);
        self.ever_ready[usize::from(group)][member] = true;
    }

    /// Returns whether a group is serving: its leader is open.
    fn serves(&self, group: Group) -> bool {
        self.targets[LEADER].group == Some((group, Stage::Open))
    }

    fn report(&mut self, controller: usize, target: usize) {
        self.views[controller][target] = Some(self.targets[target]);
    }
}

fn group_after(action: Action, current: Option<(Group, Stage)>) -> Option<(Group, Stage)> {
    match action {
        Action::Join(group) => Some((group, Stage::Joining)),
        Action::Open(group) => Some((group, Stage::Open)),
        Action::Leave(group) => current.filter(|(current, _)| *current != group),
    }
}

impl Specification for GroupFormationSpec {
    type State = GroupFormationState;

    fn initial(&self) -> GroupFormationState {
        GroupFormationState {
            targets: [Target {
                incarnation: 0,
                sequence: 0,
                group: None,
            }; TARGET_COUNT],
            views: [[None; TARGET_COUNT]; CONTROLLER_COUNT],
            formed: [false; GROUP_OWNERS.len()],
            released: Default::default(),
            ever_ready: [[false; 2]; GROUP_OWNERS.len()],
            orders: Vec::new(),
            restarts_left: MAX_RESTARTS,
            leaves_left: MAX_LEAVES,
            opened_early: false,
            moved_while_serving: false,
        }
    }

    fn steps(&self, state: &GroupFormationState) -> Vec<Step<GroupFormationState>> {
        let mut steps = Vec::new();
        for controller in 0..CONTROLLER_COUNT {
            self.form_steps(state, controller, &mut steps);
            self.group_steps(state, controller, &mut steps);
        }
        self.target_steps(state, &mut steps);
        self.order_steps(state, &mut steps);
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.restarts_left -= 1;
            next.targets[FOLLOWER] = Target {
                incarnation: state.targets[FOLLOWER].incarnation + 1,
                sequence: 0,
                group: None,
            };
            steps.push(Step::fault("the follower restarts", next));
        }
        steps
    }

    fn violated_property(&self, state: &GroupFormationState) -> Option<&'static str> {
        if state.opened_early {
            return Some("a group opens only after every member has been ready in it");
        }
        state
            .moved_while_serving
            .then_some("a target joins another group only when its previous one is not serving")
    }

    fn is_goal(&self, state: &GroupFormationState) -> bool {
        let is_served = (0..GROUP_OWNERS.len()).any(|group| state.serves(group as Group));
        is_served || state.formed[0]
    }
}
