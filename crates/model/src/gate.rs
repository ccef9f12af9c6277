//! A node asks two watchers about one member, and sends requests while the evidence is good.
//!
//! The evidence is kept by the real [`EvidenceCache`]. Answers are held up, the member dies, and
//! the node freezes, which is time passing without a step of it. The property: a request goes out only if the member lived no longer ago than
//! the evidence is good for.

use std::time::Duration;

use briarswitch_core::evidence::{EvidenceCache, MemberReport, MemberState};
use briarswitch_core::group::{GroupMember, GroupRecord, GroupState};

use crate::search::{Specification, Step};

/// Last moment of the bounded run, in ticks.
const END: u64 = 4;
/// Ticks for which evidence is good.
const TTL: u64 = 1;
/// Reports and refusals in one run.
const EVENTS: usize = 4;
const VM: &str = "vm";

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDefect {
    /// Evidence never runs out.
    NeverExpires,
    /// Evidence counts from when the answer came.
    CountedFromResponse,
    /// A revocation is undone by evidence that is older.
    OlderUndoesRevocation,
    /// The generation is not compared.
    GenerationIgnored,
}

/// The serving gate.
#[derive(Clone, Copy, Debug)]
pub struct GateSpec {
    defect: Option<GateDefect>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Event {
    Report { asked: u64, generation: u64 },
    Revoked { at: u64 },
}

/// State of the member and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GateState {
    now: u64,
    died: Option<u64>,
    generation: u64,
    /// When the member was last in the generation that the node's view names.
    left: Option<u64>,
    /// Questions under way: when each was asked, and the generation answered, if it was yet.
    flights: Vec<(u64, Option<u64>)>,
    events: Vec<Event>,
    is_sent_late: bool,
    is_sent_revoked: bool,
}

impl GateSpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: GateDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: GateDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Builds the ledger that the node's events lead to.
    fn ledger(&self, state: &GateState) -> EvidenceCache {
        let ttl = if self.has(GateDefect::NeverExpires) {
            100
        } else {
            TTL
        };
        let mut ledger = EvidenceCache::new(ticks(ttl));
        for event in &state.events {
            match event {
                Event::Report { asked, generation } => {
                    let is_any = self.has(GateDefect::GenerationIgnored);
                    let generation = if is_any { 1 } else { *generation };
                    ledger.record(report(generation), ticks(*asked));
                }
                Event::Revoked { .. } if self.has(GateDefect::OlderUndoesRevocation) => {
                    ledger = EvidenceCache::new(ticks(ttl));
                }
                Event::Revoked { at } => ledger.revoke(VM, ticks(*at)),
            }
        }
        ledger
    }

    fn is_open(&self, state: &GateState) -> bool {
        let now = ticks(state.now);
        let until = self.ledger(state).complete_until(&group(), now);
        until.is_some_and(|until| now < until)
    }

    fn node_steps(&self, state: &GateState, steps: &mut Vec<Step<GateState>>) {
        if state.flights.len() < 2 {
            let mut next = state.clone();
            next.flights.push((state.now, None));
            steps.push(Step::new("the node asks", next));
        }
        for (index, (asked, answer)) in state.flights.iter().enumerate() {
            let Some(generation) = answer else {
                continue;
            };
            let mut next = state.clone();
            next.flights.remove(index);
            let counted = if self.has(GateDefect::CountedFromResponse) {
                state.now
            } else {
                *asked
            };
            next.events.push(Event::Report {
                asked: counted,
                generation: *generation,
            });
            steps.push(Step::new(
                format!("the answer asked for at {asked} arrives"),
                next,
            ));
        }
        if state.died.is_some() && !state.events.contains(&Event::Revoked { at: state.now }) {
            let mut next = state.clone();
            next.events.push(Event::Revoked { at: state.now });
            steps.push(Step::new("a connection is refused", next));
        }
        if self.is_open(state) {
            let mut next = state.clone();
            next.is_sent_late |= is_late(state);
            next.is_sent_revoked |= is_refused(state);
            steps.push(Step::new("a request is sent", next));
        }
    }

    fn member_steps(state: &GateState, steps: &mut Vec<Step<GateState>>) {
        if state.died.is_some() {
            return;
        }
        for (index, (_, answer)) in state.flights.iter().enumerate() {
            if answer.is_none() {
                let mut next = state.clone();
                next.flights[index].1 = Some(state.generation);
                steps.push(Step::new("the member answers", next));
            }
        }
        let mut next = state.clone();
        next.died = Some(state.now);
        steps.push(Step::fault("the member dies", next));
        if state.generation == 1 {
            let mut next = state.clone();
            next.generation = 2;
            next.left = Some(state.now);
            steps.push(Step::new("the member joins the next generation", next));
        }
    }
}

/// Returns whether the member was last there, in the generation the view names, longer ago than
/// evidence is good for.
fn is_late(state: &GateState) -> bool {
    let ended = [state.died, state.left].into_iter().flatten().min();
    ended.is_some_and(|ended| state.now > ended + TTL)
}

/// Returns whether the node has seen the member refuse a connection, which it does only when dead.
fn is_refused(state: &GateState) -> bool {
    let mut events = state.events.iter();
    events.any(|event| matches!(event, Event::Revoked { .. }))
}

impl Specification for GateSpec {
    type State = GateState;

    fn initial(&self) -> GateState {
        GateState {
            now: 0,
            died: None,
            generation: 1,
            left: None,
            flights: Vec::new(),
            events: Vec::new(),
            is_sent_late: false,
            is_sent_revoked: false,
        }
    }

    fn steps(&self, state: &GateState) -> Vec<Step<GateState>> {
        let mut steps = Vec::new();
        Self::member_steps(state, &mut steps);
        if state.events.len() < EVENTS {
            self.node_steps(state, &mut steps);
        }
        if state.now < END {
            let mut next = state.clone();
            next.now += 1;
            steps.push(Step::new("time passes", next));
        }
        steps
    }

    fn violated_property(&self, state: &GateState) -> Option<&'static str> {
        if state.is_sent_revoked {
            return Some("no request is sent after the member was seen to be gone");
        }
        state
            .is_sent_late
            .then_some("no request is sent longer after a member's loss than evidence is good for")
    }

    fn is_goal(&self, state: &GateState) -> bool {
        let is_over = state.died.is_some() || state.generation != 1;
        is_over || state.now >= END - TTL || state.events.len() + 1 >= EVENTS || self.is_open(state)
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
