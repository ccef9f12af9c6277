//! HTTP for briarswitch: a server, a client for idempotent calls, and a client for targets.
//!
//! Servers and idempotent calls go through `volo-http`. Calls to targets go through `hyper`, the
//! library under it, because a caller is told "not run" only if no byte of its request can have
//! left, and `volo-http`'s pool does not say whether one has.
//!
//! ```
//! use briarswitch_http::reply_text;
//!
//! assert_eq!(reply_text(http::StatusCode::OK, "ok").status(), 200);
//! ```

mod client;
mod reply;
mod server;
mod target;

pub use client::{ApiClient, CallError, Codec};
pub use reply::{
    decode_msgpack, encode_msgpack, read_body, reply_bytes, reply_json, reply_msgpack, reply_text,
    stream_body, BodyError,
};
pub use volo_http::body::Body;

pub use server::{Handler, HttpServer, Request, Response, ServerGuard};
pub use target::{
    full_body, SendError, TargetAddress, TargetBody, TargetClient, TargetLimits, TargetResponse,
};
