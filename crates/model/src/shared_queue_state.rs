//! State of the nodes and coordinators in the specification of the queue that nodes share.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use briarswitch_core::id::Moment;
use briarswitch_core::shared_queue::{GroupCapacity, NodeRequests, QueuedRequest, SharedQueue};
use briarswitch_core::waiting::WaitingRequest;

/// Length of a step of time.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// Ticks until gossip reports a request.
pub(crate) const REPORT_TICKS: u8 = 1;
/// Ticks after which a node gives up a message that has no reply.
pub(crate) const REPLY_TICKS: u8 = 2;
/// Tick at which waiting requests are refused.
pub(crate) const REFUSE_TICK: u8 = 4;
/// Ticks for which a coordinator cannot know of a request that it did not grant: the reply and gossip take that long.
pub(crate) const EXCESS_TICKS: u8 = REPLY_TICKS + REPORT_TICKS;
/// Number of nodes and of coordinators.
pub(crate) const NODES: usize = 2;
/// Slots of the group; the first node's own share is all of them.
pub(crate) const SLOTS: u32 = 1;
/// The group.
pub(crate) const GROUP: u32 = 1;

/// Who gave a slot.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum SlotSource {
    Coordinator(usize),
    OwnShare,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum RequestState {
    Waiting,
    Running,
    Ended,
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct NodeState {
    pub(crate) request: RequestState,
    pub(crate) coordinator: usize,
    pub(crate) sequence: u8,
    pub(crate) sent_at: Option<u8>,
    /// When the first message that has no reply yet was sent.
    pub(crate) unanswered_since: Option<u8>,
    /// Slots that became free and that no message reports yet.
    pub(crate) released: u8,
    pub(crate) is_in_fallback: bool,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Message {
    List {
        from: usize,
        to: usize,
        sequence: u8,
        is_waiting: bool,
        released: u8,
    },
    Grant {
        to: usize,
        source: usize,
        granted_at: u8,
    },
}

/// The last list that a coordinator has received from a node.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct ReceivedList {
    pub(crate) sequence: u8,
    pub(crate) is_waiting: bool,
    pub(crate) received_at: u8,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Coordinator {
    pub(crate) queue: SharedQueue,
    pub(crate) received: [ReceivedList; NODES],
    /// Increases with each message, also with those that a defect takes for new.
    pub(crate) version: u64,
}

// No number of the queue is undefined, so that each equals itself.
impl Eq for Coordinator {}

impl Hash for Coordinator {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let load = self.queue.load_of(&capacity(0));
        (load, self.queue.waiting(), self.received, self.version).hash(hasher);
    }
}

/// State of the group, the nodes, the coordinators and the messages between them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SharedQueueState {
    pub(crate) tick: u8,
    /// Requests at the group at the last ticks, the newest last.
    pub(crate) active: [u32; REPORT_TICKS as usize + 1],
    pub(crate) nodes: Vec<NodeState>,
    pub(crate) coordinators: Vec<Coordinator>,
    pub(crate) messages: Vec<Message>,
    /// Slots that were given, and when.
    pub(crate) given: Vec<(SlotSource, u8)>,
    pub(crate) violation: Option<&'static str>,
}

/// Returns the moment of a tick; the first is not at zero, which stands for never.
pub(crate) fn moment(tick: u8) -> Moment {
    Duration::from_secs(10) + TICK * u32::from(tick)
}

pub(crate) fn capacity(active_requests: u32) -> GroupCapacity {
    GroupCapacity {
        group: GROUP,
        slots: SLOTS,
        active_requests,
        ..GroupCapacity::default()
    }
}

pub(crate) fn list(node: usize, version: u64, is_waiting: bool) -> NodeRequests {
    let request = WaitingRequest {
        arrived: moment(0),
        on_time_until: moment(2),
        refuse_at: moment(REFUSE_TICK),
        priority: 0,
        is_resumption: false,
        is_early_retry: false,
    };
    let queued = QueuedRequest {
        ticket: 1,
        organisation: String::new(),
        tokens: 1,
        request,
        excluded: Vec::new(),
    };
    NodeRequests {
        node: node.to_string(),
        incarnation: 1,
        sequence: version,
        requests: Vec::from_iter(is_waiting.then_some(queued)),
    }
}

impl SharedQueueState {
    pub(crate) fn load(&self) -> u32 {
        self.active[REPORT_TICKS as usize]
    }

    pub(crate) fn reported_load(&self) -> u32 {
        self.active[0]
    }

    /// Sends a node's request to the group.
    pub(crate) fn start(&mut self, node: usize, source: SlotSource, decided_at: u8) {
        if self.nodes[node].request != RequestState::Waiting {
            self.violation = Some("a request runs once");
        }
        let is_known =
            |(other, at): &(SlotSource, u8)| *other == source || *at + EXCESS_TICKS < decided_at;
        if self.load() >= SLOTS && self.given.iter().all(is_known) {
            self.violation = Some("a group gets no more than its slots and the stated excess");
        }
        self.active[REPORT_TICKS as usize] += 1;
        self.nodes[node].request = RequestState::Running;
    }

    pub(crate) fn pass_time(&self) -> Self {
        let mut next = self.clone();
        next.tick += 1;
        next.active.rotate_left(1);
        next.active[REPORT_TICKS as usize] = self.load();
        for node in &mut next.nodes {
            if next.tick == REFUSE_TICK && node.request == RequestState::Waiting {
                node.request = RequestState::Refused;
            }
        }
        // Replies that took longer are for messages that were given up.
        let tick = next.tick;
        next.messages.retain(|message| match message {
            Message::Grant { granted_at, .. } => tick < granted_at + REPLY_TICKS,
            Message::List { .. } => true,
        });
        next.given
            .retain(|(_, at)| tick <= at + EXCESS_TICKS + REPLY_TICKS);
        next
    }
}
