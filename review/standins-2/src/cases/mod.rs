//! The cases that are shown by a script.

mod release_before_outage;
mod release_in_silence;

use crate::record::Record;
use crate::{CaseError, Verdict};

/// Runs a case; without `has_trouble`, it does the same without the disruption.
///
/// # Errors
///
/// Returns why the case could not run.
pub fn run(name: &str, record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    match name {
        "release-before-outage" => release_before_outage::run(record, has_trouble),
        "release-in-silence" => release_in_silence::run(record, has_trouble),
        other => Err(format!("no case is named {other}").into()),
    }
}
