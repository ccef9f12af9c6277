//! What the model engines speak: orders, reports and requests.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Header that carries an attempt's id to the target and back.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that carries the number of stream events already received, when a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header that carries a request's priority.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that names the group and generation a request is meant for, as `GROUP@GENERATION`; an
/// engine that is in another refuses the request as not run.
pub const GROUP_HEADER: &str = "x-group";
/// Header by which a target says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header by which a target says that it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Header that carries the time left for an attempt, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Last event of a stream.
pub const STREAM_END: &str = "data: [DONE]\n\n";
/// Path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderDoc {
    /// Fencing number; an engine that checks refuses one lower than it has seen.
    pub fence: Epoch,
    /// What to do.
    pub action: OrderAction,
}

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Join a group and load its weights.
    Join(JoinDoc),
    /// Leave whatever group it is in, keeping its weights.
    Leave,
    /// Load a deployment's weights without joining a group.
    Preload(DeploymentId),
}

/// Which group to join, and how.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JoinDoc {
    /// Group to join.
    pub group: GroupId,
    /// Generation of the group.
    pub generation: Generation,
    /// Deployment whose weights are loaded.
    pub deployment: DeploymentId,
    /// Rank of this machine; rank 0 takes requests.
    pub rank: usize,
    /// Addresses of all members by rank.
    pub members: Vec<String>,
}

/// State of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateDoc {
    /// In no group.
    Idle,
    /// Loading weights.
    Loading,
    /// Serving its group.
    Ready,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportDoc {
    /// Machine that reports.
    pub vm: VmId,
    /// Life of the machine.
    pub incarnation: Incarnation,
    /// What it does.
    pub state: StateDoc,
    /// Group it is in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Generation of that group.
    #[serde(default)]
    pub generation: Generation,
    /// Highest fencing number it was given.
    #[serde(default)]
    pub fence: Epoch,
    /// Deployment whose weights it holds, whether or not it is in a group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<DeploymentId>,
    /// Requests it runs.
    #[serde(default)]
    pub running: u32,
    /// Requests it holds queued.
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

/// A chat request, as far as the node reads it; every other field is passed on untouched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatDoc {
    /// Deployment asked for.
    pub model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Turns of the conversation.
    #[serde(default)]
    pub messages: Vec<MessageDoc>,
}

/// One turn of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MessageDoc {
    /// Who speaks.
    #[serde(default)]
    pub role: String,
    /// What is said.
    #[serde(default)]
    pub content: String,
}
