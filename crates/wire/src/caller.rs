//! What callers see besides the answer itself.

use serde::{Deserialize, Serialize};

/// Header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header by which a caller says whether its request may be repeated: `true` or `false`.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header that carries the caller's time limit in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the request's id, taken from the caller or made by the node.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header that carries the outcome back.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header that names the node that served the request.
pub const NODE_HEADER: &str = "x-served-by";
/// Header that names the group or machine that served the request.
pub const TARGET_HEADER: &str = "x-target";
/// Path prefix of plain services: `/services/NAME/...`.
pub const SERVICE_PREFIX: &str = "/services/";

/// Path at which a node mints an idempotency key.
pub const MINT_PATH: &str = "/v1/keys";

/// A minted key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MintReply {
    /// Key to send in the idempotency header, through any node.
    pub key: String,
}

/// Body of every error.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorDoc {
    /// The error.
    pub error: ErrorDetail,
}

/// One error in the shape that clients of chat services expect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Text for a person.
    pub message: String,
    /// Class of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Machine-readable code.
    pub code: String,
    /// What became of the request: `not_run` or `unknown`.
    pub outcome: String,
    /// Time after which to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
