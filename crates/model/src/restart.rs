//! A member restarts under the same name while join orders for its earlier incarnation are delayed.
//!
//! The member's sequence number restarts at zero, so a delayed order may match the number it expects. Two
//! controllers form groups with the member. Other members are not modelled, except that a group serves from its
//! opening until its leader leaves. Join orders carry the epoch of their group and are reordered or lost.

use crate::search::{Specification, Step};

/// Number of controllers.
const CONTROLLER_COUNT: usize = 2;
/// Number of groups in one run; any controller that finds the member free forms the next one.
const GROUP_COUNT: usize = 3;
/// Maximum number of orders in flight.
const MAX_IN_FLIGHT: usize = 3;
/// Maximum number of restarts in one run.
const MAX_RESTARTS: u8 = 1;
/// Maximum number of groups dissolved in one run.
const MAX_DISSOLVED: u8 = 1;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartDefect {
    /// A group's epoch is one more than the epoch in the member's last report.
    EpochFromReport,
    /// The member joins without comparing epochs.
    EpochIgnored,
    /// Controllers choose the member by a report from an earlier incarnation.
    ChosenByStaleReport,
    /// A group is opened although its member has restarted since it was chosen.
    OpenedOtherIncarnation,
    /// The member joins without comparing the expected sequence number.
    SequenceIgnored,
}

/// Joining of one member across its incarnations.
#[derive(Clone, Copy, Debug)]
pub struct RestartSpec {
    defect: Option<RestartDefect>,
}

type Group = usize;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct JoinOrder {
    group: Group,
    expected: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Member {
    incarnation: u8,
    sequence: u8,
    /// Highest epoch that this incarnation has seen.
    epoch: u8,
    group: Option<Group>,
    is_ready: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Formation {
    controller: usize,
    epoch: u8,
    /// Incarnation of the member when it was chosen.
    incarnation: u8,
}

/// State of the member, its groups and the controllers' views.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RestartState {
    member: Member,
    views: [Option<Member>; CONTROLLER_COUNT],
    formed: [Option<Formation>; GROUP_COUNT],
    serves: [bool; GROUP_COUNT],
    dissolved: [bool; GROUP_COUNT],
    orders: Vec<JoinOrder>,
    restarts_left: u8,
    dissolves_left: u8,
    is_moved_while_serving: bool,
}

impl RestartSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: RestartDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: RestartDefect) -> bool {
        self.defect == Some(defect)
    }

    fn epoch(&self, state: &RestartState, reported: Member) -> u8 {
        if self.has_defect(RestartDefect::EpochFromReport) {
            return reported.epoch + 1;
        }
        let formed = state.formed.iter().flatten();
        1 + formed.map(|formation| formation.epoch).max().unwrap_or(0)
    }

    fn form_step(&self, state: &RestartState, controller: usize) -> Option<Step<RestartState>> {
        let reported = state.views[controller]?;
        let group = state.formed.iter().position(Option::is_none)?;
        let is_current_incarnation = reported.incarnation == state.member.incarnation
            || self.has_defect(RestartDefect::ChosenByStaleReport);
        let is_free = reported
            .group
            .is_none_or(|current| state.dissolved[current]);
        if !is_current_incarnation || !is_free || state.orders.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let mut next = state.clone();
        next.formed[group] = Some(Formation {
            controller,
            epoch: self.epoch(state, reported),
            incarnation: reported.incarnation,
        });
        next.orders.push(JoinOrder {
            group,
            expected: reported.sequence,
        });
        next.orders.sort_unstable();
        // The member has to report to this controller again before the next order.
        next.views[controller] = None;
        Some(Step::new(
            format!("controller {controller} forms group {group}"),
            next,
        ))
    }

    fn open_step(&self, state: &RestartState, controller: usize) -> Option<Step<RestartState>> {
        let reported = state.views[controller].filter(|reported| reported.is_ready)?;
        let group = reported.group?;
        let formation = state.formed[group]?;
        let is_same_incarnation = formation.incarnation == reported.incarnation
            || self.has_defect(RestartDefect::OpenedOtherIncarnation);
        let is_due = formation.controller == controller
            && is_same_incarnation
            && !state.dissolved[group]
            && !state.serves[group];
        is_due.then(|| {
            let mut next = state.clone();
            next.serves[group] = true;
            Step::new(format!("controller {controller} opens group {group}"), next)
        })
    }

    fn dissolve_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        for group in 0..GROUP_COUNT {
            if state.formed[group].is_none() || state.dissolved[group] || state.dissolves_left == 0
            {
                continue;
            }
            let mut next = state.clone();
            next.dissolves_left -= 1;
            next.serves[group] = false;
            next.dissolved[group] = true;
            steps.push(Step::new(
                format!("the leader of group {group} leaves"),
                next,
            ));
        }
    }

    fn order_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let order = next.orders.remove(index);
            steps.push(Step::fault(format!("{order:?} is lost"), next.clone()));
            self.execute(&mut next, order);
            steps.push(Step::new(format!("{order:?} arrives"), next));
        }
    }

    fn execute(&self, state: &mut RestartState, order: JoinOrder) {
        let member = &mut state.member;
        let epoch = state.formed[order.group].map_or(0, |formation| formation.epoch);
        let is_sequence_stale =
            member.sequence != order.expected && !self.has_defect(RestartDefect::SequenceIgnored);
        let is_epoch_stale = epoch < member.epoch && !self.has_defect(RestartDefect::EpochIgnored);
        if is_sequence_stale || is_epoch_stale {
            return;
        }
        let other = member.group.filter(|current| *current != order.group);
        state.is_moved_while_serving |= other.is_some_and(|current| state.serves[current]);
        member.group = Some(order.group);
        member.is_ready = false;
        member.epoch = member.epoch.max(epoch);
        member.sequence += 1;
    }

    fn member_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        if state.member.group.is_some() && !state.member.is_ready {
            let mut next = state.clone();
            next.member.is_ready = true;
            steps.push(Step::new("the member is ready", next));
        }
        for controller in 0..CONTROLLER_COUNT {
            if state.views[controller] != Some(state.member) {
                let mut next = state.clone();
                next.views[controller] = Some(state.member);
                steps.push(Step::new(
                    format!("the member reports to controller {controller}"),
                    next,
                ));
            }
        }
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.restarts_left -= 1;
            next.member = Member {
                incarnation: state.member.incarnation + 1,
                ..new_member()
            };
            steps.push(Step::fault("the member restarts", next));
        }
    }
}

fn new_member() -> Member {
    Member {
        incarnation: 0,
        sequence: 0,
        epoch: 0,
        group: None,
        is_ready: false,
    }
}

impl Specification for RestartSpec {
    type State = RestartState;

    fn initial(&self) -> RestartState {
        RestartState {
            member: new_member(),
            views: [None; CONTROLLER_COUNT],
            formed: [None; GROUP_COUNT],
            serves: [false; GROUP_COUNT],
            dissolved: [false; GROUP_COUNT],
            orders: Vec::new(),
            restarts_left: MAX_RESTARTS,
            dissolves_left: MAX_DISSOLVED,
            is_moved_while_serving: false,
        }
    }

    fn steps(&self, state: &RestartState) -> Vec<Step<RestartState>> {
        let mut steps = Vec::new();
        for controller in 0..CONTROLLER_COUNT {
            steps.extend(self.form_step(state, controller));
            steps.extend(self.open_step(state, controller));
        }
        self.dissolve_steps(state, &mut steps);
        self.order_steps(state, &mut steps);
        self.member_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &RestartState) -> Option<&'static str> {
        state
            .is_moved_while_serving
            .then_some("a member joins another group only when its previous one is not serving")
    }

    fn is_goal(&self, state: &RestartState) -> bool {
        state.serves.contains(&true) || state.formed.iter().all(Option::is_some)
    }
}
