//! Digests: what one node sends another about itself and the nodes that it summarizes.

use std::time::Duration;

use briarswitch_core::id::{Incarnation, NodeId, TargetId, ZoneId};
use briarswitch_core::speed::{SpeedReport, RATIO_TTL};
use briarswitch_core::stated_limit::{LimitReport, MAX_REPORT_AGE};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::work::WorkSum;

/// Largest number of reports on limits in one message, so that messages stay small when many targets limit themselves.
pub const MAX_LIMIT_REPORTS: usize = 16;
/// Largest number of reports on the speed of targets in one message, also when many targets are slow at once.
pub const MAX_SPEED_REPORTS: usize = 16;

/// The nodes that a digest summarizes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum DigestOrigin {
    /// One node.
    Node(NodeId),
    /// A hub and the nodes that report to it.
    Hub(NodeId),
    /// All nodes of a zone.
    Zone(ZoneId),
    /// All nodes.
    Fleet,
}

/// Last known state of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Node that it describes.
    pub node: NodeId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Time since it was last heard.
    pub age: Duration,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it has recently received a response directly from the store.
    pub reads_store: bool,
    /// Whether it is partitioned from all targets.
    pub is_partitioned: bool,
    /// Requests that it receives per second.
    pub request_rate: f64,
}

/// Sums over the nodes of its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// The nodes that it summarizes.
    pub origin: DigestOrigin,
    /// Time since it was made.
    pub age: Duration,
    /// Whether any of the nodes, or a node that they heard, has received a caller's request.
    pub has_traffic: bool,
    /// Heartbeats of the nodes. A digest of the whole fleet has only that of its sender; a
    /// [`RosterDelta`](crate::RosterDelta) reports the others.
    pub members: Vec<Heartbeat>,
    /// Work of the nodes.
    pub work: WorkSum,
    /// Targets that stopped responding to at least one of the nodes.
    pub suspects: Vec<TargetId>,
    /// What the nodes have recently heard about the limits of targets, at most [`MAX_LIMIT_REPORTS`].
    pub limits: Vec<LimitReport>,
    /// What the nodes have recently observed of slow targets, at most [`MAX_SPEED_REPORTS`].
    pub speeds: Vec<SpeedReport>,
}

impl Digest {
    /// Returns a digest without members, work or suspects.
    ///
    /// ```
    /// use briarswitch_membership::{Digest, DigestOrigin};
    ///
    /// assert!(Digest::empty(DigestOrigin::Fleet).members.is_empty());
    /// ```
    pub fn empty(origin: DigestOrigin) -> Self {
        Self {
            origin,
            age: Duration::ZERO,
            has_traffic: false,
            members: Vec::new(),
            work: WorkSum::default(),
            suspects: Vec::new(),
            limits: Vec::new(),
            speeds: Vec::new(),
        }
    }

    /// Adds the content of another digest, which was received `age` ago.
    pub(crate) fn add(&mut self, other: &Self, age: Duration) {
        self.has_traffic |= other.has_traffic;
        self.work.add(&other.work);
        for suspect in &other.suspects {
            if !self.suspects.contains(suspect) {
                self.suspects.push(suspect.clone());
            }
        }
        self.add_limits(&other.limits, age);
        self.add_speeds(&other.speeds, age);
        self.members.extend(other.members.iter().map(|heartbeat| {
            let mut heartbeat = heartbeat.clone();
            heartbeat.age += age;
            heartbeat
        }));
    }

    /// Adds what was heard about limits, as received `age` ago; the newest report of a target counts.
    pub(crate) fn add_limits(&mut self, reports: &[LimitReport], age: Duration) {
        for report in reports {
            let report = LimitReport {
                age: report.age + age,
                ..report.clone()
            };
            let mut held = self.limits.iter_mut();
            match held.find(|held| held.target == report.target) {
                Some(held) if held.age <= report.age => {}
                Some(held) => *held = report,
                None => self.limits.push(report),
            }
        }
        self.limits.retain(|report| report.age < MAX_REPORT_AGE);
    }

    /// Adds what was observed of slow targets, as received `age` ago; the newest report of a target counts.
    pub(crate) fn add_speeds(&mut self, reports: &[SpeedReport], age: Duration) {
        for report in reports {
            let report = SpeedReport {
                age: report.age + age,
                ..report.clone()
            };
            let mut held = self.speeds.iter_mut();
            match held.find(|held| held.target == report.target) {
                Some(held) if held.age <= report.age => {}
                Some(held) => *held = report,
                None => self.speeds.push(report),
            }
        }
        self.speeds.retain(|report| report.age < RATIO_TTL);
    }

    /// Leaves out reports beyond [`MAX_LIMIT_REPORTS`] and [`MAX_SPEED_REPORTS`].
    ///
    /// Which ones are left out changes with every message: if their age or order decided, all nodes would leave out
    /// the same ones for good.
    pub(crate) fn bound_reports(&mut self, seed: u64) {
        bound(&mut self.limits, MAX_LIMIT_REPORTS, seed, |report| {
            &report.target
        });
        bound(&mut self.speeds, MAX_SPEED_REPORTS, seed, |report| {
            &report.target
        });
    }
}

/// Keeps `count` of the reports, chosen by the seed.
fn bound<T>(reports: &mut Vec<T>, count: usize, seed: u64, target: impl Fn(&T) -> &TargetId) {
    if reports.len() > count {
        reports.sort_by_cached_key(|report| xxh3_64_with_seed(target(report).as_bytes(), seed));
        reports.truncate(count);
    }
}
