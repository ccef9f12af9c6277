//! Account of the bytes that a process holds of responses which it reads for itself and not for a caller.

use std::sync::LazyLock;

use crate::account::ByteAccount;
use crate::limits::ProcessLimits;

/// Largest response in bytes; a process with little memory reads less.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The account; there is one for the process, as its memory is one.
static ACCOUNT: LazyLock<ByteAccount> =
    LazyLock::new(|| ByteAccount::new(ProcessLimits::default().response_bytes()));

/// Returns the account.
pub(crate) fn response_account() -> &'static ByteAccount {
    &ACCOUNT
}

/// Returns the number of bytes that the responses which make up one document may have together.
///
/// ```
/// assert!(briarswitch_http::max_response_bytes() > 0);
/// ```
pub fn max_response_bytes() -> usize {
    MAX_RESPONSE_BYTES.min(ACCOUNT.limit())
}

/// Limits what all responses that the process reads for itself hold together, and each of them.
///
/// ```
/// use briarswitch_http::{limit_responses, ProcessLimits};
///
/// limit_responses(&ProcessLimits::default());
/// ```
pub fn limit_responses(limits: &ProcessLimits) {
    ACCOUNT.set_limit(limits.response_bytes());
}
