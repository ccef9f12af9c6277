//! Token stream of the fake engine.

use std::io;
use std::sync::{Arc, Mutex};

use briarswitch_wire::engine::STREAM_END;
use bytes::Bytes;

use crate::engine::EngineState;
use crate::slots::SlotGuard;

pub(crate) struct StreamPlan {
    pub(crate) attempt: String,
    pub(crate) from: usize,
    pub(crate) tokens: usize,
    pub(crate) abort_at: Option<usize>,
    pub(crate) has_end_event: bool,
}

pub(crate) struct StreamCursor {
    pub(crate) plan: StreamPlan,
    pub(crate) next: usize,
    pub(crate) is_ended: bool,
    pub(crate) guard: CancelGuard,
    pub(crate) _slot: SlotGuard,
}

impl StreamCursor {
    pub(crate) fn advance(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.is_ended {
            return None;
        }
        if self.plan.abort_at == Some(self.next) {
            self.is_ended = true;
            self.guard.is_done = true;
            return Some(Err(io::Error::other("injected fault: aborted stream")));
        }
        if self.next < self.plan.tokens {
            let index = self.next;
            self.next += 1;
            let event = serde_json::json!({
                "id": self.plan.attempt,
                "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": token_text(index)}}],
            });
            return Some(Ok(Bytes::from(format!("data: {event}\n\n"))));
        }
        self.is_ended = true;
        self.guard.is_done = true;
        self.plan.has_end_event.then(|| Ok(Bytes::from(STREAM_END)))
    }
}

/// Counts the stream as cancelled if it is dropped before its end.
pub(crate) struct CancelGuard {
    pub(crate) state: Arc<Mutex<EngineState>>,
    pub(crate) is_done: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_done {
            if let Ok(mut state) = self.state.lock() {
                state.record.cancelled += 1;
            }
        }
    }
}

/// Returns the text of the token at `index`.
pub(crate) fn token_text(index: usize) -> String {
    format!("w{index} ")
}
