//! Two controllers form groups by conditional orders, with one target in all of them.
//!
//! Both believe they are responsible: one forms a group, and again after it ended; the other ends it
//! and takes its second member for a group whose other members play no part here. Orders are held up and carried out in any order, or are lost;
//! targets restart with their count of orders back at zero. The controllers know of a target only
//! what it last reported to them.

use crate::search::{Specification, Step};

/// Targets.
const TARGETS: usize = 2;
/// Controllers.
const CONTROLLERS: usize = 2;
/// Controller that ends the other's groups.
const ENDING: usize = 1;
/// First member of the groups that the first controller forms.
const FIRST: usize = 0;
/// Member of all groups.
const SECOND: usize = 1;
/// Controller of each group.
const GROUPS: [usize; 3] = [0, ENDING, 0];
/// Restarts in one run.
const RESTARTS: u8 = 1;
/// Orders under way at once.
const IN_FLIGHT: usize = 2;
/// Orders to leave in one run.
const LEAVES: u8 = 1;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GroupFormationDefect {
    /// Targets carry orders out whatever their count is.
    SequenceIgnored,
    /// Targets carry out orders that were meant for an earlier life.
    IncarnationIgnored,
    /// Members are taken as soon as the first member was told to leave.
    ReusedBeforeStop,
    /// A group is opened when its first member is ready.
    OpenedBeforeReady,
    /// An order without an answer is taken for carried out.
    UnknownTakenAsDone,
}

/// Forming, opening and leaving of groups.
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
    life: u8,
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
    life: u8,
    count: u8,
    group: Option<(Group, Stage)>,
}

/// State of targets, orders and what the controllers know.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GroupFormationState {
    targets: [Target; TARGETS],
    views: [[Option<Target>; TARGETS]; CONTROLLERS],
    /// Whether each group was formed.
    formed: [bool; GROUPS.len()],
    /// Groups whose first member each controller knows to have left.
    released: [Vec<Group>; CONTROLLERS],
    /// Whether each member of a group was ever ready in it.
    ever_ready: [[bool; 2]; GROUPS.len()],
    orders: Vec<Order>,
    restarts_left: u8,
    leaves_left: u8,
    opened_early: bool,
    taken_while_served: bool,
}

impl GroupFormationSpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: GroupFormationDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: GroupFormationDefect) -> bool {
        self.defect == Some(defect)
    }

    fn is_free(&self, state: &GroupFormationState, controller: usize, target: usize) -> bool {
        let Some(seen) = state.views[controller][target] else {
            return false;
        };
        match seen.group {
            None => true,
            Some((group, _)) => target != FIRST && state.released[controller].contains(&group),
        }
    }

    fn send(
        &self,
        state: &mut GroupFormationState,
        controller: usize,
        target: usize,
        action: Action,
    ) {
        let Some(seen) = state.views[controller][target] else {
            return;
        };
        state.orders.push(Order {
            target,
            life: seen.life,
            expected: seen.count,
            action,
        });
        state.orders.sort_unstable();
        // The target has to report before it is ordered again by this controller.
        state.views[controller][target] = None;
        if self.has(GroupFormationDefect::UnknownTakenAsDone) {
            state.views[controller][target] = Some(Target {
                count: seen.count + 1,
                group: effect(action, seen.group),
                ..seen
            });
        }
    }

    fn form_steps(
        &self,
        state: &GroupFormationState,
        controller: usize,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        if state.orders.len() + 2 > IN_FLIGHT {
            return;
        }
        // A group is formed anew only after the one before it.
        let owned = GROUPS.iter().enumerate();
        let mut open =
            owned.filter(|(index, owner)| **owner == controller && !state.formed[*index]);
        let Some((index, _)) = open.next() else {
            return;
        };
        let has_first = controller != ENDING;
        let are_free = self.is_free(state, controller, SECOND)
            && (!has_first || self.is_free(state, controller, FIRST));
        if !are_free {
            return;
        }
        let mut next = state.clone();
        let group = index as Group;
        next.formed[index] = true;
        if has_first {
            self.send(&mut next, controller, FIRST, Action::Join(group));
        }
        self.send(&mut next, controller, SECOND, Action::Join(group));
        steps.push(Step::new(format!("{controller} forms {group}"), next));
    }

    fn group_steps(
        &self,
        state: &GroupFormationState,
        controller: usize,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        if state.orders.len() >= IN_FLIGHT {
            return;
        }
        for (index, owner) in GROUPS.iter().enumerate() {
            let group = index as Group;
            let stage = |target: usize| {
                let seen = state.views[controller][target]?;
                seen.group
                    .filter(|(held, _)| *held == group)
                    .map(|(_, stage)| stage)
            };
            let is_second_ready = stage(SECOND) == Some(Stage::Ready)
                || self.has(GroupFormationDefect::OpenedBeforeReady);
            if *owner == controller && stage(FIRST) == Some(Stage::Ready) && is_second_ready {
                let mut next = state.clone();
                self.send(&mut next, controller, FIRST, Action::Open(group));
                steps.push(Step::new(format!("{controller} opens {group}"), next));
            }
            let may_end = controller == ENDING && *owner != ENDING && state.leaves_left > 0;
            if may_end && stage(FIRST).is_some() {
                let mut next = state.clone();
                next.leaves_left -= 1;
                self.send(&mut next, controller, FIRST, Action::Leave(group));
                let is_early = self.has(GroupFormationDefect::ReusedBeforeStop)
                    || self.has(GroupFormationDefect::UnknownTakenAsDone);
                if is_early {
                    next.released[controller].push(group);
                }
                steps.push(Step::new(format!("{controller} ends {group}"), next));
            }
        }
    }

    fn target_steps(
        &self,
        state: &GroupFormationState,
        steps: &mut Vec<Step<GroupFormationState>>,
    ) {
        for target in 0..TARGETS {
            if let Some((group, Stage::Joining)) = state.targets[target].group {
                let mut next = state.clone();
                next.targets[target].group = Some((group, Stage::Ready));
                next.note_ready(target, group);
                steps.push(Step::new(format!("{target} is ready in {group}"), next));
            }
            for controller in 0..CONTROLLERS {
                if state.views[controller][target] == Some(state.targets[target]) {
                    continue;
                }
                let mut next = state.clone();
                next.report(controller, target);
                steps.push(Step::new(format!("{target} reports to {controller}"), next));
            }
        }
    }

    fn order_steps(&self, state: &GroupFormationState, steps: &mut Vec<Step<GroupFormationState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let order = next.orders.remove(index);
            let mut lost = next.clone();
            self.carry_out(&mut next, order);
            if let Action::Leave(group) = order.action {
                // Only the answer tells that the first member has left; it may be lost as well.
                let mut answered = next.clone();
                let is_done = answered.targets[FIRST]
                    .group
                    .is_none_or(|(held, _)| held != group);
                if is_done && !answered.released[ENDING].contains(&group) {
                    answered.released[ENDING].push(group);
                    answered.released[ENDING].sort_unstable();
                }
                steps.push(Step::new(
                    format!("{order:?} arrives and is answered"),
                    answered,
                ));
            }
            steps.push(Step::new(format!("{order:?} arrives"), next));
            lost.orders.sort_unstable();
            steps.push(Step::fault(format!("{order:?} is lost"), lost));
        }
    }

    fn carry_out(&self, state: &mut GroupFormationState, order: Order) {
        let target = state.targets[order.target];
        let is_other_life =
            target.life != order.life && !self.has(GroupFormationDefect::IncarnationIgnored);
        let is_moved =
            target.count != order.expected && !self.has(GroupFormationDefect::SequenceIgnored);
        if is_other_life || is_moved {
            return;
        }
        match (order.action, target.group) {
            (Action::Join(group), held) => {
                let other = held.filter(|(held, _)| *held != group);
                state.taken_while_served |= other.is_some_and(|(held, _)| state.serves(held));
            }
            (Action::Open(group), Some((held, Stage::Ready))) if held == group => {
                state.opened_early |= state.ever_ready[usize::from(group)] != [true; 2];
            }
            (Action::Leave(group), Some((held, _))) if held == group => {}
            _ => return,
        }
        let moved = &mut state.targets[order.target];
        moved.group = effect(order.action, target.group);
        moved.count += 1;
    }
}

impl GroupFormationState {
    fn note_ready(&mut self, target: usize, group: Group) {
        let rank = usize::from(target != FIRST);
        self.ever_ready[usize::from(group)][rank] = true;
    }

    /// Returns whether a group's first member is open.
    fn serves(&self, group: Group) -> bool {
        self.targets[FIRST].group == Some((group, Stage::Open))
    }

    fn report(&mut self, controller: usize, target: usize) {
        self.views[controller][target] = Some(self.targets[target]);
    }
}

fn effect(action: Action, held: Option<(Group, Stage)>) -> Option<(Group, Stage)> {
    match action {
        Action::Join(group) => Some((group, Stage::Joining)),
        Action::Open(group) => Some((group, Stage::Open)),
        Action::Leave(group) => held.filter(|(held, _)| *held != group),
    }
}

impl Specification for GroupFormationSpec {
    type State = GroupFormationState;

    fn initial(&self) -> GroupFormationState {
        GroupFormationState {
            targets: [Target {
                life: 0,
                count: 0,
                group: None,
            }; TARGETS],
            views: [[None; TARGETS]; CONTROLLERS],
            formed: [false; GROUPS.len()],
            released: Default::default(),
            ever_ready: [[false; 2]; GROUPS.len()],
            orders: Vec::new(),
            restarts_left: RESTARTS,
            leaves_left: LEAVES,
            opened_early: false,
            taken_while_served: false,
        }
    }

    fn steps(&self, state: &GroupFormationState) -> Vec<Step<GroupFormationState>> {
        let mut steps = Vec::new();
        for controller in 0..CONTROLLERS {
            self.form_steps(state, controller, &mut steps);
            self.group_steps(state, controller, &mut steps);
        }
        self.target_steps(state, &mut steps);
        self.order_steps(state, &mut steps);
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.restarts_left -= 1;
            next.targets[SECOND] = Target {
                life: state.targets[SECOND].life + 1,
                count: 0,
                group: None,
            };
            steps.push(Step::fault("the second member restarts", next));
        }
        steps
    }

    fn violated_property(&self, state: &GroupFormationState) -> Option<&'static str> {
        if state.opened_early {
            return Some("a group opens only after each member was ready in it");
        }
        state
            .taken_while_served
            .then_some("a target joins another group only when its old one does not serve")
    }

    fn is_goal(&self, state: &GroupFormationState) -> bool {
        let is_served = (0..GROUPS.len()).any(|group| state.serves(group as Group));
        is_served || state.formed[0]
    }
}
