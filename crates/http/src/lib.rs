//! HTTP server, client for idempotent calls, and client for requests to targets.
//!
//! The bodies of handlers are those of `volo-http`. Connections of callers are served by the underlying `hyper`
//! directly, which lets a server limit what one connection buffers. Requests to targets use it as well: a caller may
//! get the outcome "not run" only if no byte of its request can have been sent, and the connection pool of `volo-http`
//! does not tell whether one was. Idempotent calls go the same way, since the client of `volo-http` takes no stream
//! that ends when bytes without an end arrive which are no answer.
//!
//! ```
//! use briarswitch_http::reply_text;
//!
//! assert_eq!(reply_text(http::StatusCode::OK, "ok").status(), 200);
//! ```

mod account;
mod answer_body;
mod body_error;
mod caller_body;
mod client;
mod connection_limits;
mod connection_pool;
mod connection_record;
mod guarded_stream;
mod held_body;
mod idle_pool;
mod limits;
mod listener_socket;
mod message;
mod reply;
mod response_account;
mod server;
mod target;
mod target_body;
mod tracked_stream;

pub use account::{AccountFull, ByteAccount, ByteClaim};
pub use body_error::BodyError;
pub use client::{ApiClient, CallError, Codec};
pub use connection_limits::{ConnectionLimits, LimitSource};
pub use connection_pool::ConnectionPool;
pub use held_body::{hold_bytes, read_body, HeldRoom};
pub use reply::{
    decode_msgpack, encode_msgpack, panic_response, reply_bytes, reply_json, reply_msgpack,
    reply_text, stream_body, PANIC_TEXT,
};
pub use volo_http::body::Body;

pub use idle_pool::TargetAddress;
pub use limits::{ListenerKind, ProcessLimits, DEFAULT_MEMORY_MB, DEFAULT_OPEN_FILES};
pub use listener_socket::ListenerStatus;
pub use message::{Request, Response};
pub use response_account::{limit_responses, max_response_bytes};
pub use server::{Handler, HttpServer, ServerGuard};
pub use target::{full_body, SendError, SendProgress, TargetClient, TargetLimits, TargetResponse};
pub use target_body::{BodyEnd, BodyPart, TargetBody, WholeBody};
