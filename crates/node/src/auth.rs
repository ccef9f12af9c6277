//! Credentials: hashing and constant-time comparison.

use http::header::AUTHORIZATION;
use http::HeaderMap;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the bearer credential of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

/// Returns whether the bearer credential of a request equals `token`, comparing in constant time.
pub fn is_bearer(headers: &HeaderMap, token: &str) -> bool {
    bearer(headers).is_some_and(|found| is_token(found, token))
}

/// Returns whether `found` equals `token`, comparing hashes in constant time.
pub fn is_token(found: &str, token: &str) -> bool {
    let found = Sha256::digest(found.as_bytes());
    let expected = Sha256::digest(token.as_bytes());
    bool::from(found.ct_eq(&expected))
}

/// Returns the SHA-256 of a key in lower-case hexadecimal, as organisations store it.
///
/// Callers' keys are looked up by this hash, so a comparison reveals nothing about the key itself.
///
/// ```
/// use briarswitch_node::auth::key_hash;
///
/// assert_eq!(key_hash("secret").len(), 64);
/// ```
pub fn key_hash(key: &str) -> String {
    use std::fmt::Write as _;

    let digest = Sha256::digest(key.as_bytes());
    digest
        .iter()
        .fold(String::with_capacity(64), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
