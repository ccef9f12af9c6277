//! A node learns of configurations through others that ask the store for it.
//!
//! Questions and answers take any time, which stands for frozen readers and links that were cut; readers keep
//! answers for others that ask the same; answers of the store may be cut short; the node gives a question up
//! and asks another reader. Time is one clock here, but readers tell ages only and no readings.

use crate::search::{Specification, Step};

/// Readers that the node may ask.
const READERS: usize = 2;
/// Versions after the first.
const VERSIONS: u8 = 2;
/// Moments in one run.
const MOMENTS: u8 = 4;
/// Questions that the node asks in one run.
const QUESTIONS: u8 = 3;

/// A defect put in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayDefect {
    /// A reader passes a kept answer on as if it had asked for it just then.
    AgeIgnored,
    /// An answer with changes is taken for all there are.
    PartialConfirms,
    /// A configuration is taken over whatever the version of the one held.
    OlderAdopted,
    /// What is held is dated by the answer's arrival.
    DatedByResponse,
}

/// Knowledge of configurations through readers.
#[derive(Clone, Copy, Debug)]
pub struct RelaySpec {
    defect: Option<RelayDefect>,
}

/// What is asked: the whole, or changes after a version.
type Mark = Option<u8>;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Flight {
    mark: Mark,
    begun: u8,
    /// Newest version in the answer once it is there, none if nothing had changed.
    answer: Option<Option<u8>>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Question {
    reader: usize,
    mark: Mark,
    asked: u8,
    arrived: Option<u8>,
}

/// State of the store, the readers and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RelayState {
    now: u8,
    /// When each version was accepted.
    accepted: Vec<u8>,
    flights: [Option<Flight>; READERS],
    question: Option<Question>,
    questions_left: u8,
    held: Option<u8>,
    /// Moment at which what is held was the newest, as the node believes.
    confirmed: Option<u8>,
    went_back: bool,
}

impl RelayState {
    fn newest(&self) -> u8 {
        self.accepted.len() as u8 - 1
    }
}

impl RelaySpec {
    /// Makes the sound protocol.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Makes the protocol with one defect.
    pub fn defective(defect: RelayDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has(&self, defect: RelayDefect) -> bool {
        self.defect == Some(defect)
    }

    fn ask_steps(&self, state: &RelayState, steps: &mut Vec<Step<RelayState>>) {
        if state.questions_left == 0 {
            return;
        }
        for reader in 0..READERS {
            // One that is asked while another is waited for has been given up.
            for mark in [None, state.held] {
                let mut next = state.clone();
                next.questions_left -= 1;
                next.question = Some(Question {
                    reader,
                    mark,
                    asked: state.now,
                    arrived: None,
                });
                steps.push(Step::new(
                    format!("the node asks {reader} after {mark:?}"),
                    next,
                ));
            }
        }
    }

    fn arrive_step(&self, state: &RelayState) -> Option<Step<RelayState>> {
        let question = state.question.filter(|held| held.arrived.is_none())?;
        let mut next = state.clone();
        next.question = Some(Question {
            arrived: Some(state.now),
            ..question
        });
        let flight = &mut next.flights[question.reader];
        if flight.is_none_or(|held| held.mark != question.mark) {
            *flight = Some(Flight {
                mark: question.mark,
                begun: state.now,
                answer: None,
            });
        }
        Some(Step::new("the question arrives", next))
    }

    fn store_steps(&self, state: &RelayState, steps: &mut Vec<Step<RelayState>>) {
        for reader in 0..READERS {
            let Some(flight) = state.flights[reader].filter(|held| held.answer.is_none()) else {
                continue;
            };
            let newest = state.newest();
            let mut answers = vec![(flight.mark != Some(newest)).then_some(newest)];
            if let Some(mark) = flight.mark.filter(|mark| mark + 1 < newest) {
                answers.push(Some(mark + 1));
            }
            for answer in answers {
                let mut next = state.clone();
                next.flights[reader] = Some(Flight {
                    answer: Some(answer),
                    ..flight
                });
                steps.push(Step::new(
                    format!("the store answers {reader}: {answer:?}"),
                    next,
                ));
            }
        }
    }

    fn answer_step(&self, state: &RelayState) -> Option<Step<RelayState>> {
        let question = state.question?;
        let arrived = question.arrived?;
        let flight = state.flights[question.reader]?;
        let version = flight.answer.filter(|_| flight.mark == question.mark)?;
        let age = if self.has(RelayDefect::AgeIgnored) {
            0
        } else {
            arrived.saturating_sub(flight.begun)
        };
        let asked = if self.has(RelayDefect::DatedByResponse) {
            state.now
        } else {
            question.asked
        };
        let mut next = state.clone();
        next.question = None;
        if let Some(version) = version {
            self.adopt(&mut next, version);
        }
        let is_all = question.mark.is_none() || version.is_none();
        if next.held.is_some() && (is_all || self.has(RelayDefect::PartialConfirms)) {
            let at = asked.saturating_sub(age);
            next.confirmed = next.confirmed.max(Some(at));
        }
        Some(Step::new("the node gets its answer", next))
    }

    fn adopt(&self, state: &mut RelayState, version: u8) {
        let is_newer = state.held.is_none_or(|held| version > held);
        if is_newer || self.has(RelayDefect::OlderAdopted) {
            state.went_back |= !is_newer && state.held != Some(version);
            state.held = Some(version);
        }
    }
}

impl Specification for RelaySpec {
    type State = RelayState;

    fn initial(&self) -> RelayState {
        RelayState {
            now: 0,
            accepted: vec![0],
            flights: [None; READERS],
            question: None,
            questions_left: QUESTIONS,
            held: None,
            confirmed: None,
            went_back: false,
        }
    }

    fn steps(&self, state: &RelayState) -> Vec<Step<RelayState>> {
        let mut steps = Vec::new();
        if state.now < MOMENTS {
            let mut next = state.clone();
            next.now += 1;
            steps.push(Step::new("time passes", next));
        }
        if state.newest() < VERSIONS {
            let mut next = state.clone();
            next.accepted.push(state.now);
            steps.push(Step::new("a version is accepted", next));
        }
        self.ask_steps(state, &mut steps);
        steps.extend(self.arrive_step(state));
        self.store_steps(state, &mut steps);
        steps.extend(self.answer_step(state));
        steps
    }

    fn violated_property(&self, state: &RelayState) -> Option<&'static str> {
        if state.went_back {
            return Some("the configuration held never goes back");
        }
        let held = state.held?;
        let confirmed = state.confirmed?;
        let next = state.accepted.get(usize::from(held) + 1)?;
        (*next < confirmed).then_some("what is held was the newest at the moment it is dated")
    }

    fn is_goal(&self, state: &RelayState) -> bool {
        state.held.is_some() || state.questions_left == 0
    }
}
