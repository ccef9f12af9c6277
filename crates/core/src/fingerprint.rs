//! Fingerprints that identify repeats of the same request.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Size of a fingerprint in bytes; large enough to rule out accidental collisions.
const FINGERPRINT_BYTES: usize = 16;

/// Parts of a request that its fingerprint covers; ids and headers are excluded.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// The caller: an organisation, or a key if the organisation is not known.
    pub caller: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

/// Fingerprint of a request, equal for all repeats of that request.
///
/// The hash is cryptographic: with a weaker one, a caller could construct a request with the
/// fingerprint of another caller's request and get that one refused.
///
/// ```
/// use briarswitch_core::fingerprint::{FingerprintParts, RequestFingerprint};
///
/// let parts = FingerprintParts { caller: "a", method: "POST", host: "h", path: "/x", body: b"text" };
/// let other = FingerprintParts { caller: "b", ..parts };
/// assert_eq!(RequestFingerprint::of(&parts), RequestFingerprint::of(&parts));
/// assert_ne!(RequestFingerprint::of(&parts), RequestFingerprint::of(&other));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let texts = [parts.caller, parts.method, parts.host, parts.path];
        let mut hash = Sha256::new();
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length prefix prevents bytes from moving between adjacent parts unnoticed.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl From<[u8; FINGERPRINT_BYTES]> for RequestFingerprint {
    fn from(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }
}

impl From<RequestFingerprint> for [u8; FINGERPRINT_BYTES] {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// The text is not a valid fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    /// Parses the format written by `Display`.
    ///
    /// ```
    /// use briarswitch_core::fingerprint::RequestFingerprint;
    ///
    /// let fingerprint = RequestFingerprint::from([7; 16]);
    /// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    /// assert!("7".parse::<RequestFingerprint>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return Err(FingerprintError);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
