//! Compressed MessagePack, for messages that repeat the same names many times.

use std::io::{self, Read};

use briarswitch_http::{decode_msgpack, encode_msgpack};
use bytes::Bytes;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum size of a message when unpacked, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Why a message could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The compressed data is damaged.
    #[error("damaged: {0}")]
    Damaged(#[from] io::Error),
    /// The message cannot be encoded, or is none of the expected type.
    #[error("not a message of this type: {0}")]
    OtherType(String),
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
/// Returns [`PackError`] if the data is damaged or no message of this type.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes)?;
    decode_msgpack(&bytes).map_err(|error| PackError::OtherType(error.to_string()))
}
