//! Compressed MessagePack, for messages that repeat the same names many times.

use std::io::{self, Read};

use briarswitch_http::{decode_msgpack, encode_msgpack, max_response_bytes, AccountFull, HeldRoom};
use bytes::Bytes;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bytes that are unpacked before it is seen whether there is room for them.
const CHUNK_BYTES: usize = 8 << 10;
/// Part by which the room for a message grows at least, as one in so many.
const GROWTH_SHARE: usize = 4;

/// Why a message could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The compressed data is damaged.
    #[error("damaged: {0}")]
    Damaged(#[from] io::Error),
    /// The message cannot be encoded, or is none of the expected type.
    #[error("not a message of this type: {0}")]
    OtherType(String),
    /// The message is larger than any that the process reads for itself.
    #[error("larger than {0} bytes when unpacked")]
    TooLarge(usize),
    /// The process holds as much as it may of what it reads for itself.
    #[error("no room to unpack: {0}")]
    NoRoom(#[from] AccountFull),
}

/// Unpacked bytes with the room that is claimed for them.
struct UnpackedBytes {
    bytes: Vec<u8>,
    room: HeldRoom,
}

impl UnpackedBytes {
    fn read(mut source: impl Read) -> Result<Self, PackError> {
        let mut unpacked = Self {
            bytes: Vec::new(),
            room: HeldRoom::for_process(),
        };
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            let count = source.read(&mut chunk)?;
            if count == 0 {
                return Ok(unpacked);
            }
            unpacked.reserve(count)?;
            unpacked.bytes.extend_from_slice(&chunk[..count]);
        }
    }

    /// Claims room for `additional` bytes, and only then takes the memory.
    fn reserve(&mut self, additional: usize) -> Result<(), PackError> {
        let (needed, limit) = (self.bytes.len() + additional, max_response_bytes());
        if needed > limit {
            return Err(PackError::TooLarge(limit));
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = (capacity + capacity / GROWTH_SHARE).min(limit);
            let grown = needed.max(grown);
            self.room.resize(grown)?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        Ok(())
    }
}

/// Packs a message.
///
/// # Errors
///
/// Returns [`PackError`] if the message cannot be encoded.
///
/// ```
/// use briarswitch_fleet::packed::{pack, unpack};
///
/// let names = vec!["front-1"; 200];
/// let packed = pack(&names).unwrap();
/// assert!(packed.len() < 100);
/// assert_eq!(unpack::<Vec<String>>(&packed).unwrap(), names);
/// ```
pub fn pack<T: Serialize>(message: &T) -> Result<Bytes, PackError> {
    let bytes = encode_msgpack(message).map_err(|error| PackError::OtherType(error.to_string()))?;
    let mut packed = Vec::new();
    DeflateEncoder::new(bytes.as_ref(), Compression::fast()).read_to_end(&mut packed)?;
    Ok(Bytes::from(packed))
}

/// Unpacks a message.
///
/// # Errors
///
/// Returns [`PackError`] if the data is damaged or no message of this type, or if there is no room for it.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let unpacked = UnpackedBytes::read(DeflateDecoder::new(packed))?;
    decode_msgpack(&unpacked.bytes).map_err(|error| PackError::OtherType(error.to_string()))
}
