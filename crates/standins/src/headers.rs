//! Reading of request headers.

use http::HeaderMap;

/// Returns a header's value as text.
pub(crate) fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
