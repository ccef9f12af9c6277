//! HTTP server, client for idempotent calls, and client for requests to targets.
//!
//! Servers and idempotent calls use `volo-http`. Requests to targets use the underlying `hyper`
//! directly: a caller may get the outcome "not run" only if no byte of its request can have been
//! sent, and the connection pool of `volo-http` does not tell whether one was.
//!
//! ```
//! use briarswitch_http::reply_text;
//!
//! assert_eq!(reply_text(http::StatusCode::OK, "ok").status(), 200);
//! ```

mod client;
mod idle_pool;
mod limits;
mod message;
mod reply;
mod server;
mod target;
mod target_body;

pub use client::{ApiClient, CallError, Codec};
pub use reply::{
    decode_msgpack, encode_msgpack, read_body, reply_bytes, reply_json, reply_msgpack, reply_text,
    stream_body, BodyError,
};
pub use volo_http::body::Body;

pub use idle_pool::TargetAddress;
pub use limits::{ProcessLimits, MEGABYTE};
pub use message::{Request, Response};
pub use server::{Handler, HttpServer, ServerGuard};
pub use target::{full_body, SendError, SendProgress, TargetClient, TargetLimits, TargetResponse};
pub use target_body::{BodyEnd, BodyPart, TargetBody, WholeBody};
