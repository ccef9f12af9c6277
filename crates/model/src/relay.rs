//! A node fetches the configuration through readers, other nodes that query the store on its behalf.
//!
//! Requests and responses take any time, which covers paused readers and broken links. Readers cache responses
//! for identical requests, the store's responses may be truncated, and the node abandons a request to ask another
//! reader. The model has a single clock, but readers pass on only the age of a response, never a clock reading.

use crate::search::{Specification, Step};

/// Number of readers.
const READER_COUNT: usize = 2;
/// Number of versions accepted after the first.
const MAX_UPDATES: u8 = 2;
/// Length of a run, in ticks.
const MAX_TIME: u8 = 4;
/// Number of requests that the node sends in one run.
const MAX_REQUESTS: u8 = 3;

/// A seeded defect that the search must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayDefect {
    /// A reader forwards a cached response with an age of zero.
    AgeIgnored,
    /// A response with changes, which may be truncated, is treated as complete.
    PartialConfirms,
    /// A configuration is applied even if it is older than the current one.
    OlderAdopted,
    /// The configuration is dated by the arrival of the response instead of the time of the request.
    DatedByResponse,
}

/// Distribution of the configuration through readers.
#[derive(Clone, Copy, Debug)]
pub struct RelaySpec {
    defect: Option<RelayDefect>,
}

/// Version after which changes are requested; none requests a snapshot.
type KnownVersion = Option<u8>;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct StoreRequest {
    known_version: KnownVersion,
    started_at: u8,
    /// Response once there is one: its newest version, or none if nothing had changed.
    response: Option<Option<u8>>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct NodeRequest {
    reader: usize,
    known_version: KnownVersion,
    sent_at: u8,
    received_at: Option<u8>,
}

/// State of the store, the readers and the node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RelayState {
    now: u8,
    /// Time when each version was accepted.
    accepted_at: Vec<u8>,
    store_requests: [Option<StoreRequest>; READER_COUNT],
    request: Option<NodeRequest>,
    requests_left: u8,
    current_version: Option<u8>,
    /// Latest time at which the node believes its configuration was the newest.
    confirmed_at: Option<u8>,
    has_regressed: bool,
}

impl RelayState {
    fn newest(&self) -> u8 {
        self.accepted_at.len() as u8 - 1
    }
}

impl RelaySpec {
    /// Returns the protocol without defects.
    pub fn sound() -> Self {
        Self { defect: None }
    }

    /// Returns the protocol with one seeded defect.
    pub fn defective(defect: RelayDefect) -> Self {
        Self {
            defect: Some(defect),
        }
    }

    fn has_defect(&self, defect: RelayDefect) -> bool {
        self.defect == Some(defect)
    }

    fn request_steps(&self, state: &RelayState, steps: &mut Vec<Step<RelayState>>) {
        if state.requests_left == 0 {
            return;
        }
        for reader in 0..READER_COUNT {
            // A new request abandons the outstanding one.
            for known_version in [None, state.current_version] {
                let mut next = state.clone();
                next.requests_left -= 1;
                next.request = Some(NodeRequest {
                    reader,
                    known_version,
                    sent_at: state.now,
                    received_at: None,
                });
                steps.push(Step::new(
                    format!(
                        "the node requests changes after {known_version:?} from reader {reader}"
                    ),
                    next,
                ));
            }
        }
    }

    fn receive_step(&self, state: &RelayState) -> Option<Step<RelayState>> {
        let request = state
            .request
            .filter(|pending| pending.received_at.is_none())?;
        let mut next = state.clone();
        next.request = Some(NodeRequest {
            received_at: Some(state.now),
            ..request
        });
        let store_request = &mut next.store_requests[request.reader];
        if store_request.is_none_or(|pending| pending.known_version != request.known_version) {
            *store_request = Some(StoreRequest {
                known_version: request.known_version,
                started_at: state.now,
                response: None,
            });
        }
        Some(Step::new("the request arrives at the reader", next))
    }

    fn store_steps(&self, state: &RelayState, steps: &mut Vec<Step<RelayState>>) {
        for reader in 0..READER_COUNT {
            let Some(store_request) =
                state.store_requests[reader].filter(|pending| pending.response.is_none())
            else {
                continue;
            };
            let newest = state.newest();
            let mut responses =
                vec![(store_request.known_version != Some(newest)).then_some(newest)];
            if let Some(known_version) = store_request
                .known_version
                .filter(|known_version| known_version + 1 < newest)
            {
                responses.push(Some(known_version + 1));
            }
            for response in responses {
                let mut next = state.clone();
                next.store_requests[reader] = Some(StoreRequest {
                    response: Some(response),
                    ..store_request
                });
                steps.push(Step::new(
                    format!("the store responds to reader {reader}: {response:?}"),
                    next,
                ));
            }
        }
    }

    fn response_step(&self, state: &RelayState) -> Option<Step<RelayState>> {
        let request = state.request?;
        let received_at = request.received_at?;
        let store_request = state.store_requests[request.reader]?;
        let version = store_request
            .response
            .filter(|_| store_request.known_version == request.known_version)?;
        let age = if self.has_defect(RelayDefect::AgeIgnored) {
            0
        } else {
            received_at.saturating_sub(store_request.started_at)
        };
        let sent_at = if self.has_defect(RelayDefect::DatedByResponse) {
            state.now
        } else {
            request.sent_at
        };
        let mut next = state.clone();
        next.request = None;
        if let Some(version) = version {
            self.apply_version(&mut next, version);
        }
        let is_complete = request.known_version.is_none() || version.is_none();
        if next.current_version.is_some()
            && (is_complete || self.has_defect(RelayDefect::PartialConfirms))
        {
            let at = sent_at.saturating_sub(age);
            next.confirmed_at = next.confirmed_at.max(Some(at));
        }
        Some(Step::new("the node receives the response", next))
    }

    fn apply_version(&self, state: &mut RelayState, version: u8) {
        let is_newer = state
            .current_version
            .is_none_or(|current| version > current);
        if is_newer || self.has_defect(RelayDefect::OlderAdopted) {
            state.has_regressed |= !is_newer && state.current_version != Some(version);
            state.current_version = Some(version);
        }
    }
}

impl Specification for RelaySpec {
    type State = RelayState;

    fn initial(&self) -> RelayState {
        RelayState {
            now: 0,
            accepted_at: vec![0],
            store_requests: [None; READER_COUNT],
            request: None,
            requests_left: MAX_REQUESTS,
            current_version: None,
            confirmed_at: None,
            has_regressed: false,
        }
    }

    fn steps(&self, state: &RelayState) -> Vec<Step<RelayState>> {
        let mut steps = Vec::new();
        if state.now < MAX_TIME {
            let mut next = state.clone();
            next.now += 1;
            steps.push(Step::new("time passes", next));
        }
        if state.newest() < MAX_UPDATES {
            let mut next = state.clone();
            next.accepted_at.push(state.now);
            steps.push(Step::new("a version is accepted", next));
        }
        self.request_steps(state, &mut steps);
        steps.extend(self.receive_step(state));
        self.store_steps(state, &mut steps);
        steps.extend(self.response_step(state));
        steps
    }

    fn violated_property(&self, state: &RelayState) -> Option<&'static str> {
        if state.has_regressed {
            return Some("the configuration never returns to an older version");
        }
        let current = state.current_version?;
        let confirmed_at = state.confirmed_at?;
        let next = state.accepted_at.get(usize::from(current) + 1)?;
        (*next < confirmed_at).then_some("the configuration was the newest at the time it is dated")
    }

    fn is_goal(&self, state: &RelayState) -> bool {
        state.current_version.is_some() || state.requests_left == 0
    }
}
