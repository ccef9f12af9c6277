//! Parsing of callers' request headers.

use briarswitch_core::prelude::*;
use briarswitch_wire::caller::{KEY_HEADER, REPEATABLE_HEADER, REQUEST_HEADER};
use briarswitch_wire::peer::FORWARD_HOP_HEADER;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::HeaderMap;

use crate::reply::{bad_request, CallerFailure};

/// Maximum length of an idempotency key or a request id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Number of buckets that callers are divided into for percentage rules.
const PERCENT_BUCKETS: u64 = 100;

/// Returns a unique request id, prefixed with the caller's own id if it sent one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let given = headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_ID_BYTES);
    // A random suffix, because a caller may send several requests with the same id.
    match given {
        Some(text) => format!("{text}.{:08x}", rand::random::<u32>()),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}

/// Returns the idempotency key, if there is one.
///
/// # Errors
///
/// Returns the failure to reply with if the header is not a valid key.
pub fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerFailure> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let is_valid = |text: &&str| {
        let fits = !text.is_empty() && text.len() <= MAX_ID_BYTES;
        fits && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    match value.to_str().ok().filter(is_valid) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(bad_request(
            "bad_key",
            format!("{KEY_HEADER} takes 1 to {MAX_ID_BYTES} printable characters without a slash"),
        )),
    }
}

/// Returns whether the caller allows the request to be repeated, if it says so.
///
/// # Errors
///
/// Returns the failure to reply with if the value is neither `true` nor `false`.
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

/// Returns the headers to forward: all but hop-by-hop headers and the caller's credential.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING,
    ] {
        forwarded.remove(name);
    }
    for name in [
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-connection",
        FORWARD_HOP_HEADER,
    ] {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns a bucket from 0 to 99, always the same for one caller of an organisation.
pub fn percent_bucket(organisation: &str, headers: &HeaderMap) -> u8 {
    let caller = headers
        .get("x-caller")
        .map_or(&b""[..], |value| value.as_bytes());
    let mut text = organisation.as_bytes().to_vec();
    text.push(0);
    text.extend_from_slice(caller);
    let hash = briarswitch_core::prefix::stable_hash(&text);
    u8::try_from(hash % PERCENT_BUCKETS).unwrap_or(0)
}
