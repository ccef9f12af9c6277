//! Cuts a stream into whole events and remembers the id of the last one.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const SEPARATOR: &[u8] = b"\n\n";
/// Field that carries an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Passes whole events on and holds back the beginning of the next.
///
/// Only whole events are passed on, so that a stream that breaks in the middle of one can go on at
/// another target without repeating or losing a byte.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in a piece and returns the whole events that it completes.
    ///
    /// ```
    /// use briarswitch_core::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// let complete = splitter.push(b"id: 7\ndata: a\n\nid: 8\nda");
    /// assert_eq!(&complete[..], b"id: 7\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some("7"));
    /// ```
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        // The separator may straddle the border between two pieces.
        let from = self.partial.len().saturating_sub(SEPARATOR.len() - 1);
        self.partial.extend_from_slice(piece);
        let Some(end) = memchr::memmem::rfind(&self.partial[from..], SEPARATOR) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(from + end + SEPARATOR.len()).freeze();
        self.note(&whole);
        whole
    }

    /// Returns the bytes of an event that has not ended.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Drops the beginning of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns how many whole events were passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        self.events += memchr::memmem::find_iter(whole, SEPARATOR).count() as u64;
    }
}
