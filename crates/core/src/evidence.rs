//! Evidence that a machine is up and serves its group, good for a short time only.

use std::time::Duration;

use indexmap::IndexMap;

use crate::group::GroupRecord;
use crate::id::{DeploymentId, Epoch, Generation, GroupId, Incarnation, Moment, VmId};

/// What an engine says it is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It belongs to no group.
    Idle,
    /// It loads weights for its group.
    Loading,
    /// It serves its group.
    Ready,
}

/// What a machine reported of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Machine that reported.
    pub vm: VmId,
    /// Life of the machine that reported.
    pub incarnation: Incarnation,
    /// What it does.
    pub state: MemberState,
    /// Group it believes to be in.
    pub group: Option<GroupId>,
    /// Generation of that group.
    pub generation: Generation,
    /// Highest fencing number it was given.
    pub fence: Epoch,
    /// Deployment whose weights it holds, whether or not it is in a group.
    pub weights: Option<DeploymentId>,
    /// Requests it runs.
    pub running: u32,
    /// Requests it holds queued.
    pub queued: u32,
}

impl MemberReport {
    /// Returns whether the report shows a ready member of `group` as recorded.
    pub fn confirms(&self, group: &GroupRecord) -> bool {
        self.state == MemberState::Ready
            && self.group.as_deref() == Some(group.id.as_str())
            && self.generation == group.generation
            && group
                .member(&self.vm)
                .is_some_and(|member| member.incarnation == self.incarnation)
    }
}

impl MemberReport {
    /// Returns whether two reports say the same of the machine but for its load.
    pub fn has_same_state(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.state == other.state
            && self.group == other.group
            && self.generation == other.generation
            && self.weights == other.weights
    }
}

/// One report and when it was true.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// What was reported.
    pub report: MemberReport,
    /// Local time before which the report was asked for.
    pub requested_at: Moment,
}

/// The newest evidence for each machine.
#[derive(Clone, Debug)]
pub struct EvidenceCache {
    ttl: Duration,
    entries: IndexMap<VmId, Evidence>,
    revoked: IndexMap<VmId, Moment>,
}

impl EvidenceCache {
    /// Opens a ledger whose entries are good for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            entries: IndexMap::new(),
            revoked: IndexMap::new(),
        }
    }

    /// Takes in a report that was asked for at `asked`; an older one than is held is ignored.
    ///
    /// The time counts from before the question was sent, so a delayed answer only shortens the
    /// evidence and never lengthens it. A report asked for before a revocation is ignored too:
    /// a peer's older success must not undo what this node has since seen fail.
    pub fn record(&mut self, report: MemberReport, asked: Moment) {
        let is_revoked = self.revoked.get(&report.vm).is_some_and(|at| asked <= *at);
        let is_older = self
            .entries
            .get(&report.vm)
            .is_some_and(|held| held.requested_at >= asked);
        if is_revoked || is_older {
            return;
        }
        self.entries.insert(
            report.vm.clone(),
            Evidence {
                report,
                requested_at: asked,
            },
        );
    }

    /// Drops what is held for a machine that failed at `at`.
    pub fn revoke(&mut self, vm: &str, at: Moment) {
        let is_newer = self
            .entries
            .get(vm)
            .is_some_and(|held| held.requested_at > at);
        if is_newer {
            return;
        }
        self.entries.shift_remove(vm);
        self.revoked.insert(vm.to_owned(), at);
    }

    /// Returns the evidence for a machine that is still good at `now`.
    pub fn fresh(&self, vm: &str, now: Moment) -> Option<&Evidence> {
        self.entries
            .get(vm)
            .filter(|held| now < held.requested_at + self.ttl)
    }

    /// Returns when a piece of evidence runs out.
    pub fn expires_at(&self, evidence: &Evidence) -> Moment {
        evidence.requested_at + self.ttl
    }

    /// Returns when the evidence for a group runs out, or `None` when it is not whole.
    ///
    /// A group is whole only while every member has confirmed the recorded group and generation.
    ///
    /// ```
    /// use briarswitch_core::prelude::*;
    /// use std::time::Duration;
    ///
    /// let cache = EvidenceCache::new(Duration::from_secs(1));
    /// let group = GroupRecord::forming("g".into(), "d".into(), vec![], 1);
    /// assert_eq!(cache.complete_until(&group, Duration::ZERO), None);
    /// ```
    pub fn complete_until(&self, group: &GroupRecord, now: Moment) -> Option<Moment> {
        let mut until = None;
        for member in &group.members {
            let evidence = self.fresh(&member.vm, now)?;
            if !evidence.report.confirms(group) {
                return None;
            }
            let end = evidence.requested_at + self.ttl;
            until = Some(until.map_or(end, |least: Moment| least.min(end)));
        }
        until
    }

    /// Returns every entry that is still good at `now`.
    pub fn fresh_entries(&self, now: Moment) -> impl Iterator<Item = &Evidence> {
        self.entries
            .values()
            .filter(move |held| now < held.requested_at + self.ttl)
    }

    /// Drops entries and revocations too old to matter at `now`.
    pub fn prune(&mut self, now: Moment) {
        let ttl = self.ttl;
        self.entries.retain(|_, held| now < held.requested_at + ttl);
        self.revoked.retain(|_, at| now < *at + ttl + ttl);
    }
}
