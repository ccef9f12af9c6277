//! Access to request headers.

use http::HeaderMap;

/// Returns the value of a header, if it is present and visible ASCII.
pub(crate) fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
