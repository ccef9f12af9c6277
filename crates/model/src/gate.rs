//! A node polls two watchers about one member and sends requests while the evidence is valid.
//!
//! The real [`EvidenceCache`] stores the evidence. Responses are delayed, the member dies, and the node pauses,
//! which is modelled as time passing without a step of the node. The property: a request is sent only if the
//! member was alive within the last evidence TTL.

use std::time::Duration;

use briarswitch_core::evidence::{EvidenceCache, MemberReport, MemberState};
use briarswitch_core::group::{GroupMember, GroupRecord, GroupState};

use crate::search::{Specification, Step};

/// Length of the bounded run, in ticks.
const MAX_TIME: u64 = 4;
/// Time for which evidence is valid, in ticks.
const TTL: u64 = 1;
/// Maximum number of reports and refused connections in one run.
const MAX_EVENTS: usize = 4;
const VM: &str = "vm";

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDefect {
    /// Evidence does not expire within the run.
    NeverExpires,
    /// Evidence is dated by the arrival of the response instead of the time of the poll.
    CountedFromResponse,
    /// Evidence that is older than a revocation overrides it.
    OlderUndoesRevocation,
    /// The reported generation is not compared with the group's.
    GenerationIgnored,
}

/// Gate that allows requests only while evidence of the member is valid.
#[derive(Clone, Copy, Debug)]
pub struct GateSpec {
    defect: Option<GateDefect>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Event {
    Report { requested_at: u64, generation: u64 },
    Revoked { at: u64 },
}

/// State of the member and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GateState {
    now: u64,
    died_at: Option<u64>,
    generation: u64,
    /// Time when the member left the generation recorded in the node's view.
    left_at: Option<u64>,
    /// Outstanding polls: the time of each, and the generation in the response once there is one.
    polls: Vec<(u64, Option<u64>)>,
    events: Vec<Event>,
    is_sent_late: bool,
    is_sent_revoked: bool,
}

impl GateSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: GateDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: GateDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Builds the evidence cache by replaying the node's events.
    fn cache(&self, state: &GateState) -> EvidenceCache {
        let ttl = if self.has_defect(GateDefect::NeverExpires) {
            100
        } else {
            TTL
        };
        let mut cache = EvidenceCache::new(ticks(ttl));
        for event in &state.events {
            match event {
                Event::Report {
                    requested_at,
                    generation,
                } => {
                    let ignores_generation = self.has_defect(GateDefect::GenerationIgnored);
                    let generation = if ignores_generation { 1 } else { *generation };
                    cache.record(report(generation), ticks(*requested_at));
                }
                Event::Revoked { .. } if self.has_defect(GateDefect::OlderUndoesRevocation) => {
                    cache = EvidenceCache::new(ticks(ttl));
                }
                Event::Revoked { at } => cache.revoke(VM, ticks(*at)),
            }
        }
        cache
    }

    fn may_send(&self, state: &GateState) -> bool {
        let now = ticks(state.now);
        let expires_at = self.cache(state).complete_until(&group(), now);
        expires_at.is_some_and(|expires_at| now < expires_at)
    }

    fn node_steps(&self, state: &GateState, steps: &mut Vec<Step<GateState>>) {
        if state.polls.len() < 2 {
            let mut next = state.clone();
            next.polls.push((state.now, None));
            steps.push(Step::new("the node sends a poll", next));
        }
        for (index, (requested_at, response)) in state.polls.iter().enumerate() {
            let Some(generation) = response else {
                continue;
            };
            let mut next = state.clone();
            next.polls.remove(index);
            let recorded_at = if self.has_defect(GateDefect::CountedFromResponse) {
                state.now
            } else {
                *requested_at
            };
            next.events.push(Event::Report {
                requested_at: recorded_at,
                generation: *generation,
            });
            steps.push(Step::new(
                format!("the response to the poll at {requested_at} arrives"),
                next,
            ));
        }
        if state.died_at.is_some() && !state.events.contains(&Event::Revoked { at: state.now }) {
            let mut next = state.clone();
            next.events.push(Event::Revoked { at: state.now });
            steps.push(Step::new("a connection is refused", next));
        }
        if self.may_send(state) {
            let mut next = state.clone();
            next.is_sent_late |= is_late(state);
            next.is_sent_revoked |= is_revoked(state);
            steps.push(Step::new("a request is sent", next));
        }
    }

    fn member_steps(state: &GateState, steps: &mut Vec<Step<GateState>>) {
        if state.died_at.is_some() {
            return;
        }
        for (index, (_, response)) in state.polls.iter().enumerate() {
            if response.is_none() {
                let mut next = state.clone();
                next.polls[index].1 = Some(state.generation);
                steps.push(Step::new("the member responds", next));
            }
        }
        let mut next = state.clone();
        next.died_at = Some(state.now);
        steps.push(Step::fault("the member dies", next));
        if state.generation == 1 {
            let mut next = state.clone();
            next.generation = 2;
            next.left_at = Some(state.now);
            steps.push(Step::new("the member joins the next generation", next));
        }
    }
}

/// Returns whether the member died or left the generation in the node's view longer ago than
/// evidence is valid for.
fn is_late(state: &GateState) -> bool {
    let lost_at = [state.died_at, state.left_at].into_iter().flatten().min();
    lost_at.is_some_and(|lost_at| state.now > lost_at + TTL)
}

/// Returns whether the node has seen the member refuse a connection, which happens only after its death.
fn is_revoked(state: &GateState) -> bool {
    let mut events = state.events.iter();
    events.any(|event| matches!(event, Event::Revoked { .. }))
}

impl Specification for GateSpec {
    type State = GateState;

    fn initial(&self) -> GateState {
        GateState {
            now: 0,
            died_at: None,
            generation: 1,
            left_at: None,
            polls: Vec::new(),
            events: Vec::new(),
            is_sent_late: false,
            is_sent_revoked: false,
        }
    }

    fn steps(&self, state: &GateState) -> Vec<Step<GateState>> {
        let mut steps = Vec::new();
        Self::member_steps(state, &mut steps);
        if state.events.len() < MAX_EVENTS {
            self.node_steps(state, &mut steps);
        }
        if state.now < MAX_TIME {
            let mut next = state.clone();
            next.now += 1;
            steps.push(Step::new("time passes", next));
        }
        steps
    }

    fn violated_property(&self, state: &GateState) -> Option<&'static str> {
        if state.is_sent_revoked {
            return Some("no request is sent after the member refused a connection");
        }
        state
            .is_sent_late
            .then_some("no request is sent more than the evidence TTL after the member's loss")
    }

    fn is_goal(&self, state: &GateState) -> bool {
        let is_over = state.died_at.is_some() || state.generation != 1;
        is_over
            || state.now >= MAX_TIME - TTL
            || state.events.len() + 1 >= MAX_EVENTS
            || self.may_send(state)
    }
}

fn report(generation: u64) -> MemberReport {
    MemberReport {
        vm: VM.to_owned(),
        incarnation: 1,
        state: MemberState::Ready,
        group: Some("g".to_owned()),
        generation,
        fence: 1,
        weights: None,
        running: 0,
        queued: 0,
    }
}

fn group() -> GroupRecord {
    GroupRecord {
        id: "g".to_owned(),
        deployment: "d".to_owned(),
        generation: 1,
        members: vec![GroupMember {
            vm: VM.to_owned(),
            incarnation: 1,
            address: String::new(),
        }],
        state: GroupState::Serving,
        epoch: 1,
    }
}

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}
