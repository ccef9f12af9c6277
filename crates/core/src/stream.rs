//! Scans a stream of server-sent events for whole events and its end mark.

/// Separates events (HTML Living Standard, server-sent events).
const SEPARATOR: &[u8] = b"\n\n";
/// The event that ends a stream.
const END_EVENT: &[u8] = b"data: [DONE]";

/// Counts whole events and keeps back what is not yet whole.
///
/// Only whole events are passed on, so that a stream that breaks can be resumed after an exact
/// number of them; half an event passed on would be doubled or torn by the resumption.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    partial: Vec<u8>,
    events: usize,
    is_ended: bool,
}

/// What one piece of a stream completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScannedPiece {
    /// Bytes of the piece that belong to whole events.
    pub complete_bytes: usize,
}

impl EventScanner {
    /// Returns the number of whole events before the end mark.
    pub fn events(&self) -> usize {
        self.events
    }

    /// Returns whether the end mark was seen.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Forgets half an event, as before a resumption.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes a piece and returns the bytes held back from earlier pieces that are now whole, and
    /// how much of this piece is.
    ///
    /// ```
    /// use briarswitch_core::stream::EventScanner;
    ///
    /// let mut scanner = EventScanner::default();
    /// let (held, piece) = scanner.scan(b"data: a\n\ndata: b");
    /// assert_eq!((held.len(), piece.complete_bytes, scanner.events()), (0, 9, 1));
    /// ```
    pub fn scan(&mut self, piece: &[u8]) -> (Vec<u8>, ScannedPiece) {
        if !self.partial.is_empty() {
            return self.scan_joined(piece);
        }
        let whole = self.count(piece);
        self.partial.extend_from_slice(&piece[whole..]);
        (
            Vec::new(),
            ScannedPiece {
                complete_bytes: whole,
            },
        )
    }

    fn scan_joined(&mut self, piece: &[u8]) -> (Vec<u8>, ScannedPiece) {
        let mut joined = std::mem::take(&mut self.partial);
        joined.extend_from_slice(piece);
        let whole = self.count(&joined);
        self.partial = joined.split_off(whole);
        (joined, ScannedPiece { complete_bytes: 0 })
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

/// Returns how deep a JSON text nests, without parsing it.
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
