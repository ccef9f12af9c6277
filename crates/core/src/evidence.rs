//! Evidence that a machine is up and serves its group, valid for a limited time.

use std::time::Duration;

use indexmap::IndexMap;

use crate::group::GroupRecord;
use crate::id::{DeploymentId, Epoch, Generation, GroupId, Incarnation, Moment, VmId};

/// State of an engine as reported by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It belongs to no group.
    Idle,
    /// It is loading the weights for its group.
    Loading,
    /// It is serving its group.
    Ready,
}

/// A machine's report about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Machine that sent the report.
    pub vm: VmId,
    /// Incarnation of that machine.
    pub incarnation: Incarnation,
    /// State of its engine.
    pub state: MemberState,
    /// Group that it considers itself a member of.
    pub group: Option<GroupId>,
    /// Generation of that group.
    pub generation: Generation,
    /// Highest fencing token that it has received.
    pub fence: Epoch,
    /// Deployment whose weights it holds, whether or not it is in a group.
    pub weights: Option<DeploymentId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
}

impl MemberReport {
    /// Returns whether the report is from a ready member of `group` in its recorded incarnation and
    /// generation.
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
    /// Returns the number of requests running and queued, at most the largest that can be counted.
    pub fn load(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Returns whether two reports differ at most in load and fencing token.
    pub fn has_same_state(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.state == other.state
            && self.group == other.group
            && self.generation == other.generation
            && self.weights == other.weights
    }
}

/// A report and the time from which it is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// The report.
    pub report: MemberReport,
    /// Local time read just before the report was requested.
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
    /// Creates a cache whose entries are valid for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            entries: IndexMap::new(),
            revoked: IndexMap::new(),
        }
    }

    /// Records a report that was requested at `requested_at`, unless a newer one is present.
    ///
    /// Validity counts from before the report was requested, so a delayed response shortens it and
    /// never extends it. A report requested before a revocation is ignored too: a peer's older
    /// success must not override a failure that this node has seen since.
    pub fn record(&mut self, report: MemberReport, requested_at: Moment) {
        let is_revoked = self
            .revoked
            .get(&report.vm)
            .is_some_and(|at| requested_at <= *at);
        let is_older = self
            .entries
            .get(&report.vm)
            .is_some_and(|entry| entry.requested_at >= requested_at);
        if is_revoked || is_older {
            return;
        }
        self.entries.insert(
            report.vm.clone(),
            Evidence {
                report,
                requested_at,
            },
        );
    }

    /// Discards the evidence for a machine that failed at `at`.
    pub fn revoke(&mut self, vm: &str, at: Moment) {
        let is_newer = self
            .entries
            .get(vm)
            .is_some_and(|entry| entry.requested_at > at);
        if is_newer {
            return;
        }
        self.entries.shift_remove(vm);
        self.revoked.insert(vm.to_owned(), at);
    }

    /// Returns the evidence for a machine if it is still valid at `now`.
    pub fn fresh(&self, vm: &str, now: Moment) -> Option<&Evidence> {
        self.entries
            .get(vm)
            .filter(|entry| now < entry.requested_at + self.ttl)
    }

    /// Returns when an entry expires.
    pub fn expires_at(&self, evidence: &Evidence) -> Moment {
        evidence.requested_at + self.ttl
    }

    /// Returns when the evidence for a group expires, or `None` if the group is not complete.
    ///
    /// A group is complete only while every member has confirmed the recorded group and generation.
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
            until = Some(until.map_or(end, |earliest: Moment| earliest.min(end)));
        }
        until
    }

    /// Returns all entries that are still valid at `now`.
    pub fn fresh_entries(&self, now: Moment) -> impl Iterator<Item = &Evidence> {
        self.entries
            .values()
            .filter(move |entry| now < entry.requested_at + self.ttl)
    }

    /// Removes expired entries and revocations that can no longer matter at `now`.
    pub fn prune(&mut self, now: Moment) {
        let ttl = self.ttl;
        self.entries
            .retain(|_, entry| now < entry.requested_at + ttl);
        self.revoked.retain(|_, at| now < *at + ttl + ttl);
    }
}
