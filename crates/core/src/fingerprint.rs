//! Fingerprints that identify repeats of the same request, and parts that prompts have in common.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Size of a fingerprint in bytes; large enough to rule out accidental collisions.
const FINGERPRINT_BYTES: usize = 16;
/// First bytes of the fingerprint of a part of a prompt.
const PART_MARK: [u8; 4] = *b"part";

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

/// Fingerprint of a request, equal for all repeats of that request, or of a part of prompts.
///
/// The hash is cryptographic: with a weaker one, a caller could construct a request with the
/// fingerprint of another caller's request and get that one refused.
///
/// ```
/// use briarswitch_core::fingerprint::{FingerprintParts, SuspectFingerprint};
///
/// let parts = FingerprintParts { caller: "a", method: "POST", host: "h", path: "/x", body: b"text" };
/// let other = FingerprintParts { caller: "b", ..parts };
/// assert_eq!(SuspectFingerprint::of(&parts), SuspectFingerprint::of(&parts));
/// assert_ne!(SuspectFingerprint::of(&parts), SuspectFingerprint::of(&other));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SuspectFingerprint([u8; FINGERPRINT_BYTES]);

impl SuspectFingerprint {
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

    /// Computes the fingerprint of a part of a prompt, whichever request and caller it comes from.
    ///
    /// ```
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// assert!(SuspectFingerprint::of_part("5c1e07a2").is_part());
    /// assert!(!SuspectFingerprint::from([1; 16]).is_part());
    /// ```
    pub fn of_part(part: impl AsRef<[u8]>) -> Self {
        let hash = Sha256::digest(part);
        let mut bytes = [0; FINGERPRINT_BYTES];
        let (mark, rest) = bytes.split_at_mut(PART_MARK.len());
        mark.copy_from_slice(&PART_MARK);
        rest.copy_from_slice(&hash[..rest.len()]);
        Self(bytes)
    }

    /// Returns whether this is the fingerprint of a part of a prompt.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_MARK)
    }

    /// Returns what it identifies, for logs.
    pub fn kind(&self) -> &'static str {
        if self.is_part() {
            "part"
        } else {
            "request"
        }
    }

    /// Returns the beginning of the hash as eight hexadecimal digits.
    pub fn short(&self) -> String {
        let skipped = if self.is_part() { PART_MARK.len() } else { 0 };
        let bytes = self.0.iter().skip(skipped).take(4);
        bytes.map(|byte| format!("{byte:02x}")).collect()
    }
}

impl From<[u8; FINGERPRINT_BYTES]> for SuspectFingerprint {
    fn from(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }
}

impl From<SuspectFingerprint> for [u8; FINGERPRINT_BYTES] {
    fn from(fingerprint: SuspectFingerprint) -> Self {
        fingerprint.0
    }
}

impl fmt::Display for SuspectFingerprint {
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

impl FromStr for SuspectFingerprint {
    type Err = FingerprintError;

    /// Parses the format written by `Display`.
    ///
    /// ```
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    ///
    /// let fingerprint = SuspectFingerprint::from([7; 16]);
    /// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    /// assert!("7".parse::<SuspectFingerprint>().is_err());
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
