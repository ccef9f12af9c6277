//! Splits a stream into complete events and records the id of the last one.

use bytes::{Bytes, BytesMut};

use crate::stream::MAX_EVENT_BYTES;

/// Blank line that terminates an event.
const SEPARATOR: &[u8] = b"\n\n";
/// Field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Passes on complete events and buffers the beginning of the next one.
///
/// Because only complete events are passed on, a stream that breaks within an event can continue at
/// another target without duplicated or lost bytes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Adds a chunk and returns the complete events that are now available.
    ///
    /// ```
    /// use briarswitch_core::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// let complete = splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// assert_eq!(&complete[..], b"id: 7\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some("7"));
    /// ```
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        // The separator may be split between two chunks.
        let from = self.partial.len().saturating_sub(SEPARATOR.len() - 1);
        self.partial.extend_from_slice(chunk);
        let Some(end) = memchr::memmem::rfind(&self.partial[from..], SEPARATOR) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(from + end + SEPARATOR.len()).freeze();
        self.record(&complete);
        complete
    }

    /// Returns whether the incomplete event is too large to be one.
    ///
    /// ```
    /// use briarswitch_core::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(&[b'x'; 1 << 20]);
    /// assert!(!splitter.is_overlong());
    /// splitter.push(b"x");
    /// assert!(splitter.is_overlong());
    /// ```
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the buffered bytes of the incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial = BytesMut::new();
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of complete events passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn record(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        self.events += memchr::memmem::find_iter(complete, SEPARATOR).count() as u64;
    }
}
