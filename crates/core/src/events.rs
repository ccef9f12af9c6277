//! Splits a stream into complete events and records the id of the last one.

use bytes::Bytes;

use crate::partial_event::{PartialEvent, SEPARATOR};
use crate::stream::MAX_EVENT_BYTES;

/// Field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Passes on complete events and buffers the beginning of the next one.
///
/// Because only complete events are passed on, a stream that breaks within an event can continue at
/// another target without duplicated or lost bytes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: PartialEvent,
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
        let Some(end) = self.partial.last_end_in(chunk) else {
            self.partial.extend(chunk);
            return Bytes::new();
        };
        let (last, rest) = chunk.split_at(end);
        let mut complete = self.partial.take();
        complete.extend_from_slice(last);
        self.partial.extend(rest);
        self.record(&complete);
        Bytes::from(complete)
    }

    /// Returns the bytes of memory that the incomplete event takes.
    ///
    /// ```
    /// use briarswitch_core::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.partial_capacity(), 0);
    /// splitter.push(b"data: a");
    /// assert!(splitter.partial_capacity() >= 7);
    /// ```
    pub fn partial_capacity(&self) -> usize {
        self.partial.capacity()
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

    /// Returns the number of buffered bytes of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Removes and returns the buffered bytes of the incomplete event.
    ///
    /// ```
    /// use briarswitch_core::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"data: a");
    /// assert_eq!(&splitter.take_partial()[..], b"data: a");
    /// assert_eq!(splitter.partial_bytes(), 0);
    /// ```
    pub fn take_partial(&mut self) -> Bytes {
        Bytes::from(self.partial.take())
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial = PartialEvent::default();
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
