//! What a controller holds while it holds the lease: the zone's rows and the changes to them.

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use briarswitch_platform::TransactBuilder;
use briarswitch_wire::peer::GroupDoc;
use briarswitch_wire::platform::{ReadReply, TransactRequest, VmClaimDoc};
use indexmap::{IndexMap, IndexSet};

use crate::config::row_value;
use crate::keys::{epoch_key, group_key, group_prefix, vm_key, vm_prefix};

/// Bits of a fencing number that count the orders of one epoch.
const ORDER_BITS: u32 = 32;

/// A row and its version.
#[derive(Clone, Debug)]
pub struct VersionedRow<T> {
    /// Value of the row.
    pub value: T,
    /// Version of the row.
    pub version: RowVersion,
}

/// The new value of one row, or its deletion.
#[derive(Clone, Debug)]
pub enum RowChange {
    /// A group's row.
    Group(GroupRecord),
    /// A group's row is deleted.
    DeleteGroup(GroupId),
    /// A machine is claimed.
    Claim(VmId, VmClaimDoc),
    /// A machine's claim is deleted.
    DeleteClaim(VmId),
}

/// Rows that change together.
#[derive(Clone, Debug, Default)]
pub struct RowChanges {
    /// Changes in the order they are written.
    pub rows: Vec<RowChange>,
}

impl RowChanges {
    /// Returns whether a machine is claimed by one of the changes.
    fn claims(&self, vm: &str) -> bool {
        self.rows
            .iter()
            .any(|change| matches!(change, RowChange::Claim(claimed, _) if claimed == vm))
    }
}

/// Counts that never go back while the process lives.
///
/// A lease that lapsed and was won again by the same holder keeps its epoch, so counts that began
/// anew would repeat fencing numbers, views and group names of the same epoch: engines would refuse
/// the orders and nodes ignore the views.
#[derive(Clone, Copy, Debug, Default)]
pub struct TermCounters {
    view_sequence: u64,
    orders_sent: u64,
    groups_formed: u64,
}

/// The zone's rows as the holder of one epoch knows them.
#[derive(Clone, Debug)]
pub struct ControllerTerm {
    /// Zone.
    pub zone: ZoneId,
    /// Epoch held.
    pub epoch: Epoch,
    /// Version of the row that changes only with the holder.
    pub epoch_row_version: RowVersion,
    /// Groups by name.
    pub groups: IndexMap<GroupId, VersionedRow<GroupRecord>>,
    /// Claimed machines by name.
    pub claims: IndexMap<VmId, VersionedRow<VmClaimDoc>>,
    /// Local time before which no order is sent.
    pub orders_from: Moment,
    /// Machines that acknowledged an order to leave and were not ordered to join since.
    left_vms: IndexSet<VmId>,
    counters: TermCounters,
}

impl ControllerTerm {
    /// Opens a reign from the zone's rows, or returns `None` when they show another holder.
    pub fn from_rows(
        zone: &str,
        epoch: Epoch,
        reply: &ReadReply,
        orders_from: Moment,
        counts: TermCounters,
    ) -> Option<Self> {
        let epoch_row = reply.rows.iter().find(|row| row.key == epoch_key(zone))?;
        let holder: briarswitch_wire::platform::EpochDoc = row_value(&epoch_row.value)?;
        if holder.epoch != epoch {
            return None;
        }
        let mut reign = Self {
            zone: zone.to_owned(),
            epoch,
            epoch_row_version: epoch_row.version,
            groups: IndexMap::new(),
            claims: IndexMap::new(),
            orders_from,
            left_vms: IndexSet::new(),
            counters: TermCounters {
                view_sequence: counts.view_sequence + 1,
                ..counts
            },
        };
        let (groups, vms) = (group_prefix(zone), vm_prefix(zone));
        for row in &reply.rows {
            let version = row.version;
            if let Some(id) = row.key.strip_prefix(&groups) {
                let value = GroupRecord::from(row_value::<GroupDoc>(&row.value)?);
                reign
                    .groups
                    .insert(id.to_owned(), VersionedRow { value, version });
            } else if let Some(id) = row.key.strip_prefix(&vms) {
                let value = row_value::<VmClaimDoc>(&row.value)?;
                reign
                    .claims
                    .insert(id.to_owned(), VersionedRow { value, version });
            }
        }
        Some(reign)
    }

    /// Returns the counts, for the next reign of this process.
    pub fn counters(&self) -> TermCounters {
        self.counters
    }

    /// Returns the next fencing number: it rises with each order, so that an order held up on its
    /// way is refused once a later one of the same epoch has arrived.
    pub fn next_fence(&mut self) -> Epoch {
        self.counters.orders_sent += 1;
        (self.epoch << ORDER_BITS) | self.counters.orders_sent
    }

    /// Notes that a machine acknowledged an order to leave, or is about to be ordered to join.
    pub fn set_left(&mut self, vm: &str, has_left: bool) {
        if has_left {
            self.left_vms.insert(vm.to_owned());
        } else {
            self.left_vms.swap_remove(vm);
        }
    }

    /// Returns whether a machine acknowledged an order to leave and was not ordered to join since.
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

    /// Returns the view that other nodes are given.
    pub fn view(&self) -> ZoneView {
        ZoneView {
            zone: self.zone.clone(),
            epoch: self.epoch,
            sequence: self.counters.view_sequence,
            groups: self.records(),
        }
    }

    /// Adds the rows that carry out a step of the plan.
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
            // Weights are loaded by an order alone.
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

    /// Builds the transaction for some changes, on the condition that the epoch still stands and
    /// that every row touched is as this reign knows it.
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

    /// Takes over changes that took effect.
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
                    self.claims.insert(vm, VersionedRow { value, version });
                }
                RowChange::DeleteClaim(vm) => {
                    self.claims.shift_remove(&vm);
                }
            }
        }
        self.counters.view_sequence += 1;
    }

    /// Gives a group new members. A machine that leaves it is free only once it reports itself
    /// idle, and its claim is dropped only if it is still this group's.
    fn repair(&self, group: &GroupRecord, members: &[GroupMember], changes: &mut RowChanges) {
        for old in &group.members {
            let stays = members.iter().any(|member| member.vm == old.vm);
            let claim = self.claims.get(&old.vm);
            let is_held = claim.is_some_and(|row| row.value.group == group.id);
            if !stays && is_held && !changes.claims(&old.vm) {
                changes.rows.push(RowChange::DeleteClaim(old.vm.clone()));
            }
        }
        let mended = GroupRecord {
            generation: group.generation + 1,
            members: members.to_vec(),
            state: GroupState::Forming,
            epoch: self.epoch,
            ..group.clone()
        };
        claim_members(&mended, members, changes);
        changes.rows.push(RowChange::Group(mended));
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
                self.claims.get(vm).map_or(0, |row| row.version)
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
