//! Organisations, the customers that are metered.

use crate::finding::Finding;
use crate::id::OrganisationId;

/// Length of a SHA-256 digest written in hexadecimal.
const KEY_HASH_LENGTH: usize = 64;

/// One organisation that calls the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// SHA-256 of the caller's key, in lower-case hexadecimal.
    pub key_hash: String,
    /// Share of service relative to other organisations when there is a queue.
    pub weight: u32,
    /// Requests a second allowed over all nodes; `None` stands for no limit.
    pub requests_per_second: Option<u32>,
}

impl Organisation {
    /// Checks the organisation and reports every fault under `place`.
    pub fn check(&self, place: &str) -> Vec<Finding> {
        let mut findings = Vec::new();
        let is_hash = self.key_hash.len() == KEY_HASH_LENGTH
            && self.key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash {
            findings.push(Finding::new(
                format!("{place}.key_hash"),
                "expected 64 hexadecimal digits of a SHA-256 digest",
            ));
        }
        if self.weight == 0 {
            findings.push(Finding::new(
                format!("{place}.weight"),
                "expected 1 or more",
            ));
        }
        if self.requests_per_second == Some(0) {
            findings.push(Finding::new(
                format!("{place}.requests_per_second"),
                "expected 1 or more, or none for no limit",
            ));
        }
        findings
    }
}
