//! Reading of callers' headers.

use briarswitch_core::prelude::*;
use briarswitch_wire::caller::{KEY_HEADER, REPEATABLE_HEADER, REQUEST_HEADER};
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::HeaderMap;

use crate::reply::{bad_request, CallerFailure};

/// Longest idempotency key and request id, in bytes.
const ID_LIMIT: usize = 128;
/// Share of callers that a percentage is out of.
const PERCENT: u64 = 100;

/// Takes the caller's request id, or makes one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let given = headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= ID_LIMIT);
    // The caller's id alone would not tell two requests apart that carry the same one.
    match given {
        Some(text) => format!("{text}.{:08x}", rand::random::<u32>()),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}

/// Reads the idempotency key.
///
/// # Errors
///
/// Returns the failure to answer with when it is not one.
pub fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerFailure> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let is_plain = |text: &&str| {
        let fits = !text.is_empty() && text.len() <= ID_LIMIT;
        fits && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    match value.to_str().ok().filter(is_plain) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(bad_request(
            "bad_key",
            format!("{KEY_HEADER} takes 1 to {ID_LIMIT} printable characters without a slash"),
        )),
    }
}

/// Reads whether the request may be repeated.
///
/// # Errors
///
/// Returns the failure to answer with when the value is neither word.
pub fn parse_repeatable(headers: &HeaderMap) -> Result<Option<bool>, CallerFailure> {
    let Some(value) = headers.get(REPEATABLE_HEADER) else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"true" => Ok(Some(true)),
        b"false" => Ok(Some(false)),
        _ => Err(bad_request(
            "bad_repeatable",
            format!("{REPEATABLE_HEADER} takes true or false"),
        )),
    }
}

/// Leaves out what belongs to one connection, and the caller's credential.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING,
    ] {
        passed.remove(name);
    }
    for name in [
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-connection",
    ] {
        passed.remove(name);
    }
    passed
}

/// Draws a number from 0 to 99 that stays the same for one caller of an organisation.
pub fn percent_bucket(organisation: &str, headers: &HeaderMap) -> u8 {
    let caller = headers
        .get("x-caller")
        .map_or(&b""[..], |value| value.as_bytes());
    let mut text = organisation.as_bytes().to_vec();
    text.push(0);
    text.extend_from_slice(caller);
    let hash = briarswitch_core::prefix::stable_hash(&text);
    u8::try_from(hash % PERCENT).unwrap_or(0)
}
