//! State of a controller during one term: its copy of the zone's rows and the changes to them.

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use briarswitch_platform::TransactBuilder;
use briarswitch_wire::peer::GroupDoc;
use briarswitch_wire::platform::{ReadReply, RowDoc, TransactRequest, VmClaimDoc};
use indexmap::{IndexMap, IndexSet};

use crate::config::parse_row;
use crate::odd_rows::OddRows;
use crate::row_keys::{epoch_key, group_key, group_prefix, vm_key, vm_prefix};

/// Number of low bits of a fencing number that count orders; the bits above hold the epoch.
const ORDER_BITS: u32 = 32;

/// A row of the table with its version.
#[derive(Clone, Debug)]
pub struct VersionedRow<T> {
    /// Parsed content of the row.
    pub value: T,
    /// Version at which the row was read or written; checked by the next write.
    pub version: RowVersion,
}

/// The new value of one row, or its deletion.
#[derive(Clone, Debug)]
pub enum RowChange {
    /// Puts a group's row.
    Group(GroupRecord),
    /// Deletes a group's row.
    DeleteGroup(GroupId),
    /// Puts the claim of a VM.
    Claim(VmId, VmClaimDoc),
    /// Deletes the claim of a VM.
    DeleteClaim(VmId),
}

/// Row changes that are written in one transaction.
#[derive(Clone, Debug, Default)]
pub struct RowChanges {
    /// Changes in write order.
    pub rows: Vec<RowChange>,
}

impl RowChanges {
    /// Returns whether one of the changes claims a VM.
    fn claims(&self, vm: &str) -> bool {
        self.rows
            .iter()
            .any(|change| matches!(change, RowChange::Claim(claimed, _) if claimed == vm))
    }
}

/// Counters that increase monotonically for the lifetime of the process.
///
/// A lease that expires and is acquired again by the same holder keeps its epoch. If the counters
/// restarted, the new term would reuse fencing numbers, view sequence numbers and group names of
/// that epoch: engines would refuse the orders and nodes would ignore the views.
#[derive(Clone, Copy, Debug, Default)]
pub struct TermCounters {
    view_sequence: u64,
    orders_sent: u64,
    groups_formed: u64,
}

/// The lease holder's copy of the zone's rows in one epoch.
#[derive(Clone, Debug)]
pub struct ControllerTerm {
    /// Controlled zone.
    pub zone: ZoneId,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Version of the epoch row, which changes only when the lease changes its holder.
    pub epoch_row_version: RowVersion,
    /// Groups by id.
    pub groups: IndexMap<GroupId, VersionedRow<GroupRecord>>,
    /// Claims by VM.
    pub claims: IndexMap<VmId, VersionedRow<VmClaimDoc>>,
    /// Rows that could not be read when the term began.
    pub odd_rows: OddRows,
    /// Local time from which orders may be sent.
    pub orders_from: Moment,
    /// VMs that acknowledged an order to leave and have not been ordered to join since.
    left_vms: IndexSet<VmId>,
    counters: TermCounters,
}

impl ControllerTerm {
    /// Creates a term from the zone's rows. A group or claim that cannot be parsed takes only
    /// itself out of use, see [`OddRows`].
    ///
    /// Returns `None` if the epoch row is missing, cannot be parsed or has another epoch. No group
    /// of the zone is formed or repaired then until its rows have been read again with success.
    pub fn from_rows(
        zone: &str,
        epoch: Epoch,
        reply: &ReadReply,
        orders_from: Moment,
        counters: TermCounters,
    ) -> Option<Self> {
        let epoch_row = reply.rows.iter().find(|row| row.key == epoch_key(zone))?;
        let holder: briarswitch_wire::platform::EpochDoc = parse_row(&epoch_row.value)?;
        if holder.epoch != epoch {
            return None;
        }
        let mut term = Self {
            zone: zone.to_owned(),
            epoch,
            epoch_row_version: epoch_row.version,
            groups: IndexMap::new(),
            claims: IndexMap::new(),
            odd_rows: OddRows::default(),
            orders_from,
            left_vms: IndexSet::new(),
            counters: TermCounters {
                view_sequence: counters.view_sequence + 1,
                ..counters
            },
        };
        let (groups, vms) = (group_prefix(zone), vm_prefix(zone));
        for row in &reply.rows {
            if let Some(id) = row.key.strip_prefix(&groups) {
                term.read_group(id, row);
            } else if let Some(vm) = row.key.strip_prefix(&vms) {
                term.read_claim(vm, row);
            }
        }
        Some(term)
    }

    fn read_group(&mut self, id: &str, row: &RowDoc) {
        let Some(doc) = parse_row::<GroupDoc>(&row.value) else {
            self.odd_rows.add_group(id, &row.key);
            return;
        };
        let (value, version) = (GroupRecord::from(doc), row.version);
        self.groups
            .insert(id.to_owned(), VersionedRow { value, version });
    }

    fn read_claim(&mut self, vm: &str, row: &RowDoc) {
        let version = row.version;
        let Some(value) = parse_row::<VmClaimDoc>(&row.value) else {
            self.odd_rows.add_claim(vm, &row.key, version);
            return;
        };
        self.claims
            .insert(vm.to_owned(), VersionedRow { value, version });
    }

    /// Returns the group that has claimed this incarnation of a VM; its name is empty if the claim
    /// cannot be read.
    ///
    /// A claim made for another incarnation does not apply to the VM that has the name now. An
    /// unreadable one may be for any incarnation, so it applies.
    pub fn claimant(&self, vm: &str, incarnation: Incarnation) -> Option<GroupId> {
        if self.odd_rows.claims.contains_key(vm) {
            return Some(GroupId::new());
        }
        let claim = self.claims.get(vm).map(|row| &row.value);
        claim
            .filter(|claim| claim.incarnation == incarnation)
            .map(|claim| claim.group.clone())
    }

    /// Returns the counters, to be passed to the next term of this process.
    pub fn counters(&self) -> TermCounters {
        self.counters
    }

    /// Returns the next fencing number. It increases with each order, so that an engine refuses a
    /// delayed order after it has received a later one of the same epoch.
    pub fn next_fence(&mut self) -> Epoch {
        self.counters.orders_sent += 1;
        (self.epoch << ORDER_BITS) | self.counters.orders_sent
    }

    /// Records whether a VM has acknowledged an order to leave; a new order to the VM resets this.
    pub fn set_left(&mut self, vm: &str, has_left: bool) {
        if has_left {
            self.left_vms.insert(vm.to_owned());
        } else {
            self.left_vms.swap_remove(vm);
        }
    }

    /// Returns whether a VM has acknowledged an order to leave and has not been ordered to join
    /// since.
    pub fn has_left(&self, vm: &str) -> bool {
        self.left_vms.contains(vm)
    }

    /// Returns the groups without their row versions.
    pub fn records(&self) -> IndexMap<GroupId, GroupRecord> {
        self.groups
            .iter()
            .map(|(id, row)| (id.clone(), row.value.clone()))
            .collect()
    }

    /// Returns the zone's view, as distributed to other nodes.
    pub fn view(&self) -> ZoneView {
        ZoneView {
            zone: self.zone.clone(),
            epoch: self.epoch,
            sequence: self.counters.view_sequence,
            groups: self.records(),
        }
    }

    /// Adds the row changes for a step of the plan.
    pub fn add_step(&mut self, step: &PlanStep, changes: &mut RowChanges) {
        match step {
            PlanStep::Form {
                deployment,
                members,
                ..
            } => {
                self.counters.groups_formed += 1;
                let id = format!(
                    "{}-{deployment}-{}-{}",
                    self.zone, self.epoch, self.counters.groups_formed
                );
                let deployment = deployment.clone();
                let group = GroupRecord::forming(id, deployment, members.clone(), self.epoch);
                claim_members(&group, &group.members, changes);
                changes.rows.push(RowChange::Group(group));
            }
            PlanStep::Repair { group, members, .. } => {
                if let Some(row) = self.groups.get(group) {
                    let group = row.value.clone();
                    self.repair(&group, members, changes);
                }
            }
            // Preloading needs only an order to the engine, no row change.
            PlanStep::Preload { .. } => {}
            PlanStep::Dissolve { group, .. } => {
                if let Some(row) = self.groups.get(group) {
                    let mut group = row.value.clone();
                    group.state = GroupState::Dissolving;
                    group.epoch = self.epoch;
                    changes.rows.push(RowChange::Group(group));
                }
            }
        }
    }

    /// Builds the transaction for `changes`. It commits only if the epoch row and all changed rows
    /// still have the versions known to this term.
    pub fn transaction(&self, changes: &RowChanges) -> TransactRequest {
        let mut builder =
            TransactBuilder::default().check(epoch_key(&self.zone), self.epoch_row_version);
        for change in &changes.rows {
            let key = self.key_of(change);
            builder = builder.check(&key, self.version_of(change));
            builder = match change {
                RowChange::Group(group) => builder.put(key, &GroupDoc::from(group)),
                RowChange::Claim(_, claim) => builder.put(key, claim),
                RowChange::DeleteGroup(_) | RowChange::DeleteClaim(_) => builder.delete(key),
            };
        }
        builder.build()
    }

    /// Applies committed changes to the copy of the rows.
    pub fn apply(&mut self, changes: RowChanges, versions: &[RowVersion]) {
        for (change, version) in changes.rows.into_iter().zip(versions) {
            let version = *version;
            match change {
                RowChange::Group(value) => {
                    self.groups
                        .insert(value.id.clone(), VersionedRow { value, version });
                }
                RowChange::DeleteGroup(id) => {
                    self.groups.shift_remove(&id);
                }
                RowChange::Claim(vm, value) => {
                    self.odd_rows.claims.swap_remove(&vm);
                    self.claims.insert(vm, VersionedRow { value, version });
                }
                RowChange::DeleteClaim(vm) => {
                    self.claims.shift_remove(&vm);
                }
            }
        }
        self.counters.view_sequence += 1;
    }

    /// Replaces the members of a group. The claim of a VM that leaves is deleted only if it still
    /// belongs to this group. The VM becomes available only after it reports the idle state.
    fn repair(&self, group: &GroupRecord, members: &[GroupMember], changes: &mut RowChanges) {
        for old in &group.members {
            let stays = members.iter().any(|member| member.vm == old.vm);
            let claim = self.claims.get(&old.vm);
            let is_held = claim.is_some_and(|row| row.value.group == group.id);
            if !stays && is_held && !changes.claims(&old.vm) {
                changes.rows.push(RowChange::DeleteClaim(old.vm.clone()));
            }
        }
        let repaired = GroupRecord {
            generation: group.generation + 1,
            members: members.to_vec(),
            state: GroupState::Forming,
            epoch: self.epoch,
            ..group.clone()
        };
        claim_members(&repaired, members, changes);
        changes.rows.push(RowChange::Group(repaired));
    }

    fn key_of(&self, change: &RowChange) -> String {
        match change {
            RowChange::Group(group) => group_key(&self.zone, &group.id),
            RowChange::DeleteGroup(id) => group_key(&self.zone, id),
            RowChange::Claim(vm, _) | RowChange::DeleteClaim(vm) => vm_key(&self.zone, vm),
        }
    }

    fn version_of(&self, change: &RowChange) -> RowVersion {
        match change {
            RowChange::Group(group) => self.groups.get(&group.id).map_or(0, |row| row.version),
            RowChange::DeleteGroup(id) => self.groups.get(id).map_or(0, |row| row.version),
            RowChange::Claim(vm, _) | RowChange::DeleteClaim(vm) => {
                let odd = self.odd_rows.claims.get(vm);
                let claim = self.claims.get(vm).map(|row| row.version);
                claim.or(odd.copied()).unwrap_or_default()
            }
        }
    }
}

fn claim_members(group: &GroupRecord, members: &[GroupMember], changes: &mut RowChanges) {
    for member in members {
        let claim = VmClaimDoc {
            group: group.id.clone(),
            generation: group.generation,
            incarnation: member.incarnation,
        };
        changes
            .rows
            .push(RowChange::Claim(member.vm.clone(), claim));
    }
}
