//! Organisations: the customers whose usage is metered.

use crate::finding::Finding;
use crate::id::OrganisationId;

/// Length of a SHA-256 digest in hexadecimal.
const KEY_HASH_LENGTH: usize = 64;

/// A customer organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// SHA-256 of the caller's key, in lower-case hexadecimal.
    pub key_hash: String,
    /// Weight of its requests relative to other organisations' when requests queue.
    pub weight: u32,
    /// Limit on requests per second over all nodes; `None` means unlimited.
    pub requests_per_second: Option<u32>,
}

impl Organisation {
    /// Validates the organisation and returns all errors, with paths below `path`.
    pub fn check(&self, path: &str) -> Vec<Finding> {
        let mut findings = Vec::new();
        let is_hash = self.key_hash.len() == KEY_HASH_LENGTH
            && self.key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash {
            findings.push(Finding::new(
                format!("{path}.key_hash"),
                "expected 64 hexadecimal digits of a SHA-256 digest",
            ));
        }
        if self.weight == 0 {
            findings.push(Finding::new(format!("{path}.weight"), "expected 1 or more"));
        }
        if self.requests_per_second == Some(0) {
            findings.push(Finding::new(
                format!("{path}.requests_per_second"),
                "expected 1 or more, or none for no limit",
            ));
        }
        findings
    }
}
