//! What the crash of a target can be put down to.

use std::sync::Arc;

use crate::fingerprint::SuspectFingerprint;

/// Maximum number of parts of a prompt that are tracked; the parts that many requests share come first.
pub const MAX_PARTS: usize = 64;

/// Fingerprints of a request and of those parts of its prompt that other requests may have as well.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunSuspects {
    request: SuspectFingerprint,
    parts: Arc<[SuspectFingerprint]>,
}

impl RunSuspects {
    /// Combines the fingerprint of a request with those of its prompt's shared parts, in their order.
    ///
    /// ```
    /// use briarswitch_core::fingerprint::SuspectFingerprint;
    /// use briarswitch_core::run_suspects::RunSuspects;
    ///
    /// let request = SuspectFingerprint::from([1; 16]);
    /// let suspects = RunSuspects::new(request, ["a", "b"].into_iter().map(SuspectFingerprint::of_part));
    /// assert_eq!(suspects.iter().count(), 3);
    /// ```
    pub fn new(
        request: SuspectFingerprint,
        parts: impl Iterator<Item = SuspectFingerprint>,
    ) -> Self {
        Self {
            request,
            parts: parts.take(MAX_PARTS).collect(),
        }
    }

    /// Returns the fingerprint of the whole request.
    pub fn request(&self) -> &SuspectFingerprint {
        &self.request
    }

    /// Returns the fingerprints of the parts.
    pub fn parts(&self) -> &[SuspectFingerprint] {
        &self.parts
    }

    /// Returns all fingerprints, that of the whole request first.
    pub fn iter(&self) -> impl Iterator<Item = &SuspectFingerprint> {
        std::iter::once(&self.request).chain(self.parts.iter())
    }

    /// Returns the beginnings of the parts' fingerprints, separated by commas, for logs.
    pub fn parts_text(&self) -> String {
        let parts: Vec<String> = self.parts.iter().map(SuspectFingerprint::short).collect();
        parts.join(",")
    }
}
