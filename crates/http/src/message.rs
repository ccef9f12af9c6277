//! Requests and responses of handlers.

use volo_http::body::Body;

/// Request type of handlers.
pub type Request = http::Request<Body>;
/// Response type of handlers.
pub type Response = http::Response<Body>;
