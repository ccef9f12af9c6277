//! Nodes learn of a target's limit from its responses and from each other, and must neither lose nor invent it.
//!
//! Responses overtake each other, and reports of other nodes arrive late, so that their age is an estimate. What a node
//! makes of them is decided by [`briarswitch_core::stated_limit`].

use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::request_limit::RequestLimit;
use briarswitch_core::stated_limit::{LimitHeader, StatedLimit, AGE_ERROR};

use crate::search::{Specification, Step};

/// Length of a step of time.
const TICK: Duration = Duration::from_millis(250);
/// Ticks that a run lasts.
const MAX_TICKS: u8 = 4;
/// Ticks for which a report may be on its way before it is lost.
const MAX_TRANSIT_TICKS: u8 = 2;
/// Number of nodes.
const NODES: usize = 2;
/// Maximum number of responses on their way.
const MAX_RESPONSES: usize = 2;
/// Maximum number of requests in one run.
const MAX_REQUESTS: u8 = 4;
/// Maximum number of times that the target begins or ceases to state its limit.
const MAX_CHANGES: u8 = 2;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatedLimitDefect {
    /// A response without a limit ends it, though the request was sent before the limit was last stated.
    EndedByOvertaken,
    /// Nodes report what they know from reports.
    ReportedOn,
    /// Reports do not say how old they are.
    AgeLost,
    /// A report counts even if it may be older than what is known.
    TrustedAtOnce,
}

/// The limit of one target, as nodes know it.
#[derive(Clone, Copy, Debug)]
pub struct StatedLimitSpec {
    defect: Option<StatedLimitDefect>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct NodeState {
    known: StatedLimit,
    /// Whether the target has told the node of the limit since it last began to state it.
    is_told: bool,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ResponseInTransit {
    node: usize,
    sent: u8,
    is_limited: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ReportInTransit {
    to: usize,
    sent: u8,
    limit: Option<RequestLimit>,
    age: Duration,
}

/// State of the target, the nodes and the messages between them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StatedLimitState {
    tick: u8,
    /// Whether the target states its limit.
    is_limited: bool,
    /// When a response that states the limit was last received.
    last_heard: Option<u8>,
    nodes: Vec<NodeState>,
    responses: Vec<ResponseInTransit>,
    report: Option<ReportInTransit>,
    requests_left: u8,
    changes_left: u8,
}

fn limit() -> RequestLimit {
    RequestLimit::per_second(2.0)
}

/// Returns the moment of a tick; the first is not at zero, which stands for never.
fn moment(tick: u8) -> Moment {
    Duration::from_secs(10) + TICK * u32::from(tick)
}

impl StatedLimitSpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: StatedLimitDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: StatedLimitDefect) -> bool {
        self.defect == Some(defect)
    }

    fn receive_response(&self, state: &StatedLimitState, index: usize) -> StatedLimitState {
        let mut next = state.clone();
        let response = next.responses.remove(index);
        let now = moment(state.tick);
        let sent_at = if self.has_defect(StatedLimitDefect::EndedByOvertaken) {
            now + TICK
        } else {
            moment(response.sent)
        };
        let node = &mut next.nodes[response.node];
        let header = if response.is_limited {
            next.last_heard = Some(state.tick);
            node.is_told |= state.is_limited;
            LimitHeader::Stated(limit())
        } else {
            LimitHeader::Absent
        };
        node.known.record_response(header, sent_at, now);
        next
    }

    fn send_report(&self, state: &StatedLimitState, from: usize) -> Option<StatedLimitState> {
        let now = moment(state.tick);
        let known = &state.nodes[from].known;
        let own = known.report(now);
        let held = (known.limit(now), known.age(now));
        let is_held = self.has_defect(StatedLimitDefect::ReportedOn) && held.0.is_some();
        let (limit, age) = own.or(is_held.then_some(held))?;
        let is_aged = !self.has_defect(StatedLimitDefect::AgeLost);
        Some(StatedLimitState {
            report: Some(ReportInTransit {
                to: (from + 1) % NODES,
                sent: state.tick,
                limit,
                age: if is_aged { age } else { Duration::ZERO },
            }),
            ..state.clone()
        })
    }

    fn receive_report(
        &self,
        state: &StatedLimitState,
        report: &ReportInTransit,
    ) -> StatedLimitState {
        let mut next = state.clone();
        next.report = None;
        let now = moment(state.tick);
        let known = &mut next.nodes[report.to].known;
        if self.has_defect(StatedLimitDefect::TrustedAtOnce) {
            // The clock of a node that forgets about the error of the age is ahead by that error.
            known.record_report(report.limit, report.age, now + AGE_ERROR);
        } else {
            known.record_report(report.limit, report.age, now);
        }
        next
    }

    fn pass_time(&self, state: &StatedLimitState) -> StatedLimitState {
        let mut next = state.clone();
        next.tick += 1;
        let tick = next.tick;
        next.report = next
            .report
            .filter(|report| tick <= report.sent + MAX_TRANSIT_TICKS);
        next
    }
}

impl Specification for StatedLimitSpec {
    type State = StatedLimitState;

    fn initial(&self) -> StatedLimitState {
        let node = NodeState {
            known: StatedLimit::default(),
            is_told: false,
        };
        StatedLimitState {
            tick: 0,
            is_limited: true,
            last_heard: None,
            nodes: vec![node; NODES],
            responses: Vec::new(),
            report: None,
            requests_left: MAX_REQUESTS,
            changes_left: MAX_CHANGES,
        }
    }

    fn steps(&self, state: &StatedLimitState) -> Vec<Step<StatedLimitState>> {
        let mut steps = Vec::new();
        if state.tick == MAX_TICKS {
            return steps;
        }
        if state.changes_left > 0 {
            let mut next = state.clone();
            next.changes_left -= 1;
            next.is_limited = !state.is_limited;
            next.nodes.iter_mut().for_each(|node| node.is_told = false);
            let change = if next.is_limited {
                "states"
            } else {
                "no longer states"
            };
            steps.push(Step::fault(format!("the target {change} its limit"), next));
        }
        for index in 0..NODES {
            if state.responses.len() < MAX_RESPONSES && state.requests_left > 0 {
                let mut next = state.clone();
                next.requests_left -= 1;
                next.responses.push(ResponseInTransit {
                    node: index,
                    sent: state.tick,
                    is_limited: state.is_limited,
                });
                // The order in which responses were sent is no part of the state.
                next.responses.sort_unstable();
                steps.push(Step::new(format!("node {index} sends a request"), next));
            }
            if state.report.is_none() {
                if let Some(next) = self.send_report(state, index) {
                    steps.push(Step::new(format!("node {index} sends a report"), next));
                }
            }
        }
        for index in 0..state.responses.len() {
            let node = state.responses[index].node;
            let next = self.receive_response(state, index);
            steps.push(Step::new(format!("node {node} receives a response"), next));
        }
        if let Some(report) = &state.report {
            let next = self.receive_report(state, report);
            steps.push(Step::new(
                format!("node {} receives a report", report.to),
                next,
            ));
        }
        steps.push(Step::new(
            "a quarter of a second passes",
            self.pass_time(state),
        ));
        steps
    }

    fn violated_property(&self, state: &StatedLimitState) -> Option<&'static str> {
        let now = moment(state.tick);
        for node in &state.nodes {
            let is_limited = node.known.limit(now).is_some();
            if node.is_told && !is_limited {
                return Some("a node that a target has told keeps the limit while it is stated");
            }
            let newest = state.last_heard.map(|tick| moment(tick) + AGE_ERROR);
            let heard_at = now.saturating_sub(node.known.age(now));
            if is_limited && newest.is_none_or(|newest| heard_at > newest) {
                return Some("a limit is not kept as if it had been stated later than it was");
            }
        }
        None
    }

    fn is_goal(&self, state: &StatedLimitState) -> bool {
        state.tick == MAX_TICKS
    }
}
