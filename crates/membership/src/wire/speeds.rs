//! Wire format of reports on the speed of targets.

use std::time::Duration;

use briarswitch_core::id::TargetId;
use briarswitch_core::speed::{SpeedRatio, SpeedReport};
use serde::{Deserialize, Serialize};

use super::millis;
use crate::digest::Digest;
use crate::gossip::Gossip;

/// Target, steps of its ratio above 1, milliseconds since the response that showed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct SpeedDoc(TargetId, u8, u64);

impl From<&SpeedReport> for SpeedDoc {
    fn from(report: &SpeedReport) -> Self {
        let age = millis(report.age);
        Self(report.target.clone(), report.ratio.steps(), age)
    }
}

impl From<SpeedDoc> for SpeedReport {
    fn from(SpeedDoc(target, steps, age): SpeedDoc) -> Self {
        Self {
            target,
            ratio: SpeedRatio::from_steps(steps),
            age: Duration::from_millis(age),
        }
    }
}

pub(super) fn speed_docs(digest: &Digest) -> Vec<SpeedDoc> {
    digest.speeds.iter().map(SpeedDoc::from).collect()
}

/// Returns the reports of the relayed digests, in the same order; nothing if there are none.
pub(super) fn relayed_docs(relayed: &[Digest]) -> Vec<Vec<SpeedDoc>> {
    if relayed.iter().all(|digest| digest.speeds.is_empty()) {
        return Vec::new();
    }
    relayed.iter().map(speed_docs).collect()
}

/// Adds the reports, which stand beside the digests in a message.
pub(super) fn set_speeds(gossip: &mut Gossip, own: Vec<SpeedDoc>, relayed: Vec<Vec<SpeedDoc>>) {
    let digests = std::iter::once(&mut gossip.digest).chain(&mut gossip.relayed);
    for (digest, docs) in digests.zip(std::iter::once(own).chain(relayed)) {
        digest.speeds = docs.into_iter().map(SpeedReport::from).collect();
    }
}
