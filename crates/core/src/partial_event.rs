//! Bytes of an event whose end has not arrived.

/// Bytes of a segment; segments of one size leave no gaps when many of them are freed.
const SEGMENT_BYTES: usize = 4 << 10;
/// Event separator (HTML Living Standard, server-sent events).
pub(crate) const SEPARATOR: &[u8] = b"\n\n";

/// The beginning of an event, in segments that are not moved as it grows.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartialEvent {
    /// All but the last one are full.
    segments: Vec<Vec<u8>>,
}

impl PartialEvent {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        let room = self
            .segments
            .last()
            .map_or(0, |last| SEGMENT_BYTES - last.len());
        self.capacity() - room
    }

    /// Returns the bytes of memory that are taken.
    pub(crate) fn capacity(&self) -> usize {
        self.segments.len() * SEGMENT_BYTES
    }

    /// Returns the number of bytes of the next chunk up to the last end of an event, if one ends there.
    ///
    /// The separator may be split between these bytes and the chunk.
    pub(crate) fn last_end_in(&self, chunk: &[u8]) -> Option<usize> {
        let last_byte = self.segments.last().and_then(|segment| segment.last());
        let is_split = last_byte == Some(&b'\n') && chunk.first() == Some(&b'\n');
        let end = memchr::memmem::rfind(chunk, SEPARATOR).map(|start| start + SEPARATOR.len());
        end.or(is_split.then_some(1))
    }

    /// Adds bytes.
    pub(crate) fn extend(&mut self, bytes: &[u8]) {
        let last = self.segments.last_mut();
        let room = last.map_or(0, |segment| {
            let room = bytes.len().min(SEGMENT_BYTES - segment.len());
            segment.extend_from_slice(&bytes[..room]);
            room
        });
        let segments = bytes[room..].chunks(SEGMENT_BYTES).map(|bytes| {
            let mut segment = Vec::with_capacity(SEGMENT_BYTES);
            segment.extend_from_slice(bytes);
            segment
        });
        self.segments.extend(segments);
    }

    /// Removes and returns the bytes in one piece.
    pub(crate) fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.segments).concat()
    }
}
