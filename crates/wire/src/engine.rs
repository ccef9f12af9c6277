//! Protocol of the model engines: orders, reports and requests.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Header with the id of an attempt; the target returns it in its response.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the number of stream events already received, when a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header that carries a request's priority.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that names the group and generation a request is addressed to, as `GROUP@GENERATION`; an
/// engine that is in a different one rejects the request as not run.
pub const GROUP_HEADER: &str = "x-group";
/// Response header of a target that did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Response header of a target that is shutting down.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Header with the remaining time for an attempt, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Last event of a stream.
pub const STREAM_END: &str = "data: [DONE]\n\n";
/// Path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderDoc {
    /// Fencing number; an engine that checks it rejects one lower than the highest it has seen.
    pub fence: Epoch,
    /// Action to take.
    pub action: OrderAction,
}

/// Action that an order requests of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Join a group and load its weights.
    Join(JoinDoc),
    /// Leave the current group, if any, and keep the weights.
    Leave,
    /// Load a deployment's weights without joining a group.
    Preload(DeploymentId),
}

/// Parameters of a join order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JoinDoc {
    /// Group to join.
    pub group: GroupId,
    /// Generation of the group.
    pub generation: Generation,
    /// Deployment whose weights are loaded.
    pub deployment: DeploymentId,
    /// Rank of this machine; rank 0 receives the requests.
    pub rank: usize,
    /// Addresses of all members by rank.
    pub members: Vec<String>,
}

/// State of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateDoc {
    /// Not in a group.
    Idle,
    /// Loading weights.
    Loading,
    /// Serving as a member of its group.
    Ready,
}

/// Status report of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportDoc {
    /// Machine that reports.
    pub vm: VmId,
    /// Incarnation of the machine.
    pub incarnation: Incarnation,
    /// State of the engine.
    pub state: StateDoc,
    /// Group it is in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Generation of that group.
    #[serde(default)]
    pub generation: Generation,
    /// Highest fencing number received.
    #[serde(default)]
    pub fence: Epoch,
    /// Deployment whose weights are loaded, whether or not the engine is in a group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<DeploymentId>,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of queued requests.
    #[serde(default)]
    pub queued: u32,
}

impl From<ReportDoc> for MemberReport {
    fn from(doc: ReportDoc) -> Self {
        Self {
            vm: doc.vm,
            incarnation: doc.incarnation,
            state: match doc.state {
                StateDoc::Idle => MemberState::Idle,
                StateDoc::Loading => MemberState::Loading,
                StateDoc::Ready => MemberState::Ready,
            },
            group: doc.group,
            generation: doc.generation,
            fence: doc.fence,
            weights: doc.weights,
            running: doc.running,
            queued: doc.queued,
        }
    }
}

impl From<MemberReport> for ReportDoc {
    fn from(report: MemberReport) -> Self {
        Self {
            vm: report.vm,
            incarnation: report.incarnation,
            state: match report.state {
                MemberState::Idle => StateDoc::Idle,
                MemberState::Loading => StateDoc::Loading,
                MemberState::Ready => StateDoc::Ready,
            },
            group: report.group,
            generation: report.generation,
            fence: report.fence,
            weights: report.weights,
            running: report.running,
            queued: report.queued,
        }
    }
}

/// The fields of a chat request that the node reads; all others are forwarded unchanged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatDoc {
    /// Name of the requested deployment.
    pub model: String,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Messages of the conversation.
    #[serde(default)]
    pub messages: Vec<MessageDoc>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MessageDoc {
    /// Role of the author, such as `user`.
    #[serde(default)]
    pub role: String,
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}
