//! Fingerprints that tell repeats of one request from all other requests.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint; enough that no two requests ever share one.
const FINGERPRINT_BYTES: usize = 16;

/// What makes two requests the same, whatever their ids and headers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// Who calls: an organisation, or a key where no organisation is known.
    pub caller: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host asked for.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprint of a request: the same for each repeat of it, and for nothing else.
///
/// The hash is a cryptographic one. With a weaker one a caller could make a request that shares the
/// fingerprint of another caller's, and have that one refused.
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
    /// Returns the fingerprint of a request.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let texts = [parts.caller, parts.method, parts.host, parts.path];
        let mut hash = Sha256::new();
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length goes first, so that no end of one part can pass for the beginning of the next.
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
    fn from(print: RequestFingerprint) -> Self {
        print.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    /// Reads a fingerprint as it is displayed.
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
