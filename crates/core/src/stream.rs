//! Scans a stream of server-sent events for complete events and the end marker.

use crate::partial_event::{PartialEvent, SEPARATOR};

/// Largest size of one event in bytes. A target that sends more without an end of the event sends no events.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;
/// Event that marks the end of a stream.
const END_EVENT: &[u8] = b"data: [DONE]";

/// Counts complete events and buffers an incomplete one.
///
/// Only complete events are passed on, so that a broken stream can be resumed after an exact number
/// of them. If part of an event were passed on, resuming would duplicate or corrupt that event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    partial: PartialEvent,
    events: usize,
    is_ended: bool,
}

/// Result of scanning one chunk of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScannedChunk {
    /// Bytes of the chunk that belong to complete events.
    pub complete_bytes: usize,
}

impl EventScanner {
    /// Returns the number of complete events before the end marker.
    pub fn events(&self) -> usize {
        self.events
    }

    /// Returns whether the end marker was seen.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns whether the incomplete event is too large to be one.
    ///
    /// ```
    /// use briarswitch_core::stream::EventScanner;
    ///
    /// let mut scanner = EventScanner::default();
    /// scanner.scan(&[b'x'; (1 << 20) + 1]);
    /// assert!(scanner.is_overlong());
    /// ```
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the bytes of memory that the incomplete event takes.
    ///
    /// ```
    /// use briarswitch_core::stream::EventScanner;
    ///
    /// let mut scanner = EventScanner::default();
    /// assert_eq!(scanner.partial_capacity(), 0);
    /// scanner.scan(b"data: a");
    /// assert!(scanner.partial_capacity() >= 7);
    /// ```
    pub fn partial_capacity(&self) -> usize {
        self.partial.capacity()
    }

    /// Discards an incomplete event, as before resuming the stream.
    pub fn discard_partial(&mut self) {
        self.partial = PartialEvent::default();
    }

    /// Scans a chunk and returns the previously buffered bytes that are now complete, and the
    /// number of bytes of this chunk that are.
    ///
    /// ```
    /// use briarswitch_core::stream::EventScanner;
    ///
    /// let mut scanner = EventScanner::default();
    /// let (buffered, chunk) = scanner.scan(b"data: a\n\ndata: b");
    /// assert_eq!((buffered.len(), chunk.complete_bytes, scanner.events()), (0, 9, 1));
    /// ```
    pub fn scan(&mut self, chunk: &[u8]) -> (Vec<u8>, ScannedChunk) {
        if self.partial.len() > 0 {
            return self.scan_joined(chunk);
        }
        let complete_bytes = self.count(chunk);
        self.partial.extend(&chunk[complete_bytes..]);
        (Vec::new(), ScannedChunk { complete_bytes })
    }

    fn scan_joined(&mut self, chunk: &[u8]) -> (Vec<u8>, ScannedChunk) {
        let scanned = ScannedChunk { complete_bytes: 0 };
        let is_complete = self.partial.last_end_in(chunk).is_some();
        self.partial.extend(chunk);
        if !is_complete {
            return (Vec::new(), scanned);
        }
        let mut joined = self.partial.take();
        let complete_bytes = self.count(&joined);
        self.partial.extend(&joined[complete_bytes..]);
        joined.truncate(complete_bytes);
        (joined, scanned)
    }

    fn count(&mut self, bytes: &[u8]) -> usize {
        let mut start = 0;
        while let Some(length) = find(&bytes[start..], SEPARATOR) {
            let event = &bytes[start..start + length];
            start += length + SEPARATOR.len();
            if event == END_EVENT {
                self.is_ended = true;
                return start;
            }
            self.events += 1;
        }
        start
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    memchr::memmem::find(bytes, needle)
}

/// Returns the nesting depth of a JSON text without parsing it.
///
/// ```
/// use briarswitch_core::stream::json_depth;
///
/// assert_eq!(json_depth(br#"{"a": [1, "[["]}"#), 2);
/// ```
pub fn json_depth(text: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in text {
        if in_string {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}
