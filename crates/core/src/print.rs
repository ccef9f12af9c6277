//! Fingerprints that tell repeats of one request from all other requests.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint; enough that no two requests ever share one.
const PRINT_BYTES: usize = 16;

/// What makes two requests the same, whatever their ids and headers.
#[derive(Clone, Copy, Debug)]
pub struct PrintParts<'a> {
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
/// use briarswitch_core::print::{PrintParts, RequestPrint};
///
/// let parts = PrintParts { caller: "a", method: "POST", host: "h", path: "/x", body: b"text" };
/// let other = PrintParts { caller: "b", ..parts };
/// assert_eq!(RequestPrint::of(&parts), RequestPrint::of(&parts));
/// assert_ne!(RequestPrint::of(&parts), RequestPrint::of(&other));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestPrint([u8; PRINT_BYTES]);

impl RequestPrint {
    /// Returns the fingerprint of a request.
    pub fn of(parts: &PrintParts<'_>) -> Self {
        let texts = [parts.caller, parts.method, parts.host, parts.path];
        let mut hash = Sha256::new();
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length goes first, so that no end of one part can pass for the beginning of the next.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; PRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..PRINT_BYTES]);
        Self(bytes)
    }
}

impl From<[u8; PRINT_BYTES]> for RequestPrint {
    fn from(bytes: [u8; PRINT_BYTES]) -> Self {
        Self(bytes)
    }
}

impl From<RequestPrint> for [u8; PRINT_BYTES] {
    fn from(print: RequestPrint) -> Self {
        print.0
    }
}

impl fmt::Display for RequestPrint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct PrintError;

impl FromStr for RequestPrint {
    type Err = PrintError;

    /// Reads a fingerprint as it is displayed.
    ///
    /// ```
    /// use briarswitch_core::print::RequestPrint;
    ///
    /// let print = RequestPrint::from([7; 16]);
    /// assert_eq!(print.to_string().parse(), Ok(print));
    /// assert!("7".parse::<RequestPrint>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, PrintError> {
        let mut bytes = [0; PRINT_BYTES];
        if text.len() != 2 * PRINT_BYTES || !text.is_ascii() {
            return Err(PrintError);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| PrintError)?;
        }
        Ok(Self(bytes))
    }
}
