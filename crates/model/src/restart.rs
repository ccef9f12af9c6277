//! A member restarts under its name while orders to join that were meant for its earlier life are held up.
//!
//! The member counts from zero again, so an order may find the count it expects. Two controllers form groups
//! with it; the other members, heads among them, play no part but that a group serves from its opening until
//! its head has left. Orders to join carry the epoch of their group and arrive in any order, or are lost.

use crate::search::{Specification, Step};

/// Controllers.
const CONTROLLERS: usize = 2;
/// Groups in one run; the next one is formed by whoever finds the member free.
const GROUPS: usize = 3;
/// Orders under way at once.
const IN_FLIGHT: usize = 3;
/// Restarts in one run.
const RESTARTS: u8 = 1;
/// Groups ended in one run.
const ENDS: u8 = 1;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartDefect {
    /// A group's epoch is one more than what the controller last saw of the member.
    EpochFromReport,
    /// The member joins whatever the epoch.
    EpochIgnored,
    /// Controllers choose the member by a report of a life that has ended.
    ChosenByStaleReport,
    /// A group is opened though its member restarted since it was chosen.
    OpenedOtherIncarnation,
    /// The member joins whatever its count.
    SequenceIgnored,
}

/// Joining of one member across its lives.
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
    life: u8,
    count: u8,
    /// Highest epoch that this life has seen.
    epoch: u8,
    group: Option<Group>,
    is_ready: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Formation {
    controller: usize,
    epoch: u8,
    /// Life of the member that was chosen.
    life: u8,
}

/// State of the member, its groups and what the controllers know.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RestartState {
    member: Member,
    views: [Option<Member>; CONTROLLERS],
    formed: [Option<Formation>; GROUPS],
    serves: [bool; GROUPS],
    ended: [bool; GROUPS],
    orders: Vec<JoinOrder>,
    restarts_left: u8,
    ends_left: u8,
    is_taken_while_served: bool,
}

impl RestartSpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: RestartDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: RestartDefect) -> bool {
        self.defect == Some(defect)
    }

    fn epoch(&self, state: &RestartState, seen: Member) -> u8 {
        if self.has(RestartDefect::EpochFromReport) {
            return seen.epoch + 1;
        }
        let formed = state.formed.iter().flatten();
        1 + formed.map(|formation| formation.epoch).max().unwrap_or(0)
    }

    fn form_step(&self, state: &RestartState, controller: usize) -> Option<Step<RestartState>> {
        let seen = state.views[controller]?;
        let group = state.formed.iter().position(Option::is_none)?;
        let is_known =
            seen.life == state.member.life || self.has(RestartDefect::ChosenByStaleReport);
        let is_free = seen.group.is_none_or(|held| state.ended[held]);
        if !is_known || !is_free || state.orders.len() >= IN_FLIGHT {
            return None;
        }
        let mut next = state.clone();
        next.formed[group] = Some(Formation {
            controller,
            epoch: self.epoch(state, seen),
            life: seen.life,
        });
        next.orders.push(JoinOrder {
            group,
            expected: seen.count,
        });
        next.orders.sort_unstable();
        // The member has to report before it is ordered again by this controller.
        next.views[controller] = None;
        Some(Step::new(format!("{controller} forms {group}"), next))
    }

    fn open_step(&self, state: &RestartState, controller: usize) -> Option<Step<RestartState>> {
        let seen = state.views[controller].filter(|seen| seen.is_ready)?;
        let group = seen.group?;
        let formation = state.formed[group]?;
        let is_as_chosen =
            formation.life == seen.life || self.has(RestartDefect::OpenedOtherIncarnation);
        let is_due = formation.controller == controller
            && is_as_chosen
            && !state.ended[group]
            && !state.serves[group];
        is_due.then(|| {
            let mut next = state.clone();
            next.serves[group] = true;
            Step::new(format!("{controller} opens {group}"), next)
        })
    }

    fn end_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        for group in 0..GROUPS {
            if state.formed[group].is_none() || state.ended[group] || state.ends_left == 0 {
                continue;
            }
            let mut next = state.clone();
            next.ends_left -= 1;
            next.serves[group] = false;
            next.ended[group] = true;
            steps.push(Step::new(format!("the head of {group} leaves"), next));
        }
    }

    fn order_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        for index in 0..state.orders.len() {
            let mut next = state.clone();
            let order = next.orders.remove(index);
            steps.push(Step::fault(format!("{order:?} is lost"), next.clone()));
            self.carry_out(&mut next, order);
            steps.push(Step::new(format!("{order:?} arrives"), next));
        }
    }

    fn carry_out(&self, state: &mut RestartState, order: JoinOrder) {
        let member = &mut state.member;
        let epoch = state.formed[order.group].map_or(0, |formation| formation.epoch);
        let is_moved = member.count != order.expected && !self.has(RestartDefect::SequenceIgnored);
        let is_old = epoch < member.epoch && !self.has(RestartDefect::EpochIgnored);
        if is_moved || is_old {
            return;
        }
        let other = member.group.filter(|held| *held != order.group);
        state.is_taken_while_served |= other.is_some_and(|held| state.serves[held]);
        member.group = Some(order.group);
        member.is_ready = false;
        member.epoch = member.epoch.max(epoch);
        member.count += 1;
    }

    fn member_steps(&self, state: &RestartState, steps: &mut Vec<Step<RestartState>>) {
        if state.member.group.is_some() && !state.member.is_ready {
            let mut next = state.clone();
            next.member.is_ready = true;
            steps.push(Step::new("the member is ready", next));
        }
        for controller in 0..CONTROLLERS {
            if state.views[controller] != Some(state.member) {
                let mut next = state.clone();
                next.views[controller] = Some(state.member);
                steps.push(Step::new(
                    format!("the member reports to {controller}"),
                    next,
                ));
            }
        }
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.restarts_left -= 1;
            next.member = Member {
                life: state.member.life + 1,
                ..first_life()
            };
            steps.push(Step::fault("the member restarts", next));
        }
    }
}

fn first_life() -> Member {
    Member {
        life: 0,
        count: 0,
        epoch: 0,
        group: None,
        is_ready: false,
    }
}

impl Specification for RestartSpec {
    type State = RestartState;

    fn initial(&self) -> RestartState {
        RestartState {
            member: first_life(),
            views: [None; CONTROLLERS],
            formed: [None; GROUPS],
            serves: [false; GROUPS],
            ended: [false; GROUPS],
            orders: Vec::new(),
            restarts_left: RESTARTS,
            ends_left: ENDS,
            is_taken_while_served: false,
        }
    }

    fn steps(&self, state: &RestartState) -> Vec<Step<RestartState>> {
        let mut steps = Vec::new();
        for controller in 0..CONTROLLERS {
            steps.extend(self.form_step(state, controller));
            steps.extend(self.open_step(state, controller));
        }
        self.end_steps(state, &mut steps);
        self.order_steps(state, &mut steps);
        self.member_steps(state, &mut steps);
        steps
    }

    fn violated_property(&self, state: &RestartState) -> Option<&'static str> {
        state
            .is_taken_while_served
            .then_some("a member joins another group only when its old one does not serve")
    }

    fn is_goal(&self, state: &RestartState) -> bool {
        state.serves.contains(&true) || state.formed.iter().all(Option::is_some)
    }
}
