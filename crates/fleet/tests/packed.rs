//! Room for messages that are unpacked.

use briarswitch_fleet::packed::{pack, unpack};
use briarswitch_http::{limit_responses, max_response_bytes, HeldRoom, ProcessLimits};
use googletest::prelude::*;

/// Memory of the process in MB; an eighth is for what it reads for itself.
const MEMORY_MB: usize = 16;
/// Bytes of a message that has room by itself, and not beside another half of it all.
const MESSAGE_BYTES: usize = 1_200_000;

/// Returns a message of equal bytes, a thousandth of its size when packed.
fn packed_of(bytes: usize) -> bytes::Bytes {
    pack(&"a".repeat(bytes)).expect("a message")
}

fn unpacked_bytes(packed: &[u8]) -> Option<usize> {
    unpack::<String>(packed).ok().map(|text| text.len())
}

/// Guards against small messages of other nodes that take more memory than the process has for what it reads.
#[gtest]
fn messages_are_unpacked_only_within_the_room_for_responses() {
    limit_responses(&ProcessLimits::new(MEMORY_MB, 100));
    let largest = max_response_bytes();
    let sound = packed_of(MESSAGE_BYTES);
    expect_that!(unpacked_bytes(&sound), some(eq(MESSAGE_BYTES)));
    for bytes in [largest, 30 * largest] {
        expect_that!(unpacked_bytes(&packed_of(bytes)), none(), "{bytes} bytes");
    }
    let mut other = HeldRoom::for_process();
    expect_that!(other.resize(largest - MESSAGE_BYTES / 2), ok(anything()));
    expect_that!(unpacked_bytes(&sound), none());
    drop(other);
    for _ in 0..10 {
        expect_that!(unpacked_bytes(&sound), some(eq(MESSAGE_BYTES)));
    }
}
