//! What a controller holds while it holds the lease: the zone's rows and the changes to them.

use briarswitch_core::group::GroupMember;
use briarswitch_core::prelude::*;
use briarswitch_platform::TransactBuilder;
use briarswitch_wire::peer::GroupDoc;
use briarswitch_wire::platform::{ReadReply, TransactRequest, VmClaimDoc};
use indexmap::{IndexMap, IndexSet};

use crate::config::parse_row;
use crate::row_keys::{epoch_key, group_key, group_prefix, vm_key, vm_prefix};

/// Bits of a fencing number that count the orders of one epoch.
const ORDER_BITS: u32 = 32;

/// A row and its version.
#[derive(Clone, Debug)]
pub struct HeldRow<T> {
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
    DropGroup(GroupId),
    /// A machine is claimed.
    Claim(VmId, VmClaimDoc),
    /// A machine's claim is deleted.
    DropClaim(VmId),
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
pub struct ReignCounts {
    sequence: u64,
    orders: u64,
    formed: u64,
}

/// The zone's rows as the holder of one epoch knows them.
#[derive(Clone, Debug)]
pub struct ControllerReign {
    /// Zone.
    pub zone: ZoneId,
    /// Epoch held.
    pub epoch: Epoch,
    /// Version of the row that changes only with the holder.
    pub epoch_row: RowVersion,
    /// Groups by name.
    pub groups: IndexMap<GroupId, HeldRow<GroupRecord>>,
    /// Claimed machines by name.
    pub claims: IndexMap<VmId, HeldRow<VmClaimDoc>>,
    /// Local time before which no order is sent.
    pub orders_from: Moment,
    /// Machines that acknowledged an order to leave and were not ordered to join since.
    left: IndexSet<VmId>,
    counts: ReignCounts,
}

impl ControllerReign {
    /// Opens a reign from the zone's rows, or returns `None` when they show another holder.
    pub fn open(
        zone: &str,
        epoch: Epoch,
        reply: &ReadReply,
        orders_from: Moment,
        counts: ReignCounts,
    ) -> Option<Self> {
        let epoch_row = reply.rows.iter().find(|row| row.key == epoch_key(zone))?;
        let holder: briarswitch_wire::platform::EpochDoc = parse_row(&epoch_row.value)?;
        if holder.epoch != epoch {
            return None;
        }
        let mut reign = Self {
            zone: zone.to_owned(),
            epoch,
            epoch_row: epoch_row.version,
            groups: IndexMap::new(),
            claims: IndexMap::new(),
            orders_from,
            left: IndexSet::new(),
            counts: ReignCounts {
                sequence: counts.sequence + 1,
                ..counts
            },
        };
        let (groups, vms) = (group_prefix(zone), vm_prefix(zone));
        for row in &reply.rows {
            let version = row.version;
            if let Some(id) = row.key.strip_prefix(&groups) {
                let value = GroupRecord::from(parse_row::<GroupDoc>(&row.value)?);
                reign
                    .groups
                    .insert(id.to_owned(), HeldRow { value, version });
            } else if let Some(id) = row.key.strip_prefix(&vms) {
                let value = parse_row::<VmClaimDoc>(&row.value)?;
                reign
                    .claims
                    .insert(id.to_owned(), HeldRow { value, version });
            }
        }
        Some(reign)
    }

    /// Returns the counts, for the next reign of this process.
    pub fn counts(&self) -> ReignCounts {
        self.counts
    }

    /// Returns the next fencing number: it rises with each order, so that an order held up on its
    /// way is refused once a later one of the same epoch has arrived.
    pub fn next_fence(&mut self) -> Epoch {
        self.counts.orders += 1;
        (self.epoch << ORDER_BITS) | self.counts.orders
    }

    /// Notes that a machine acknowledged an order to leave, or is about to be ordered to join.
    pub fn note_left(&mut self, vm: &str, has_left: bool) {
        if has_left {
            self.left.insert(vm.to_owned());
        } else {
            self.left.swap_remove(vm);
        }
    }

    /// Returns whether a machine acknowledged an order to leave and was not ordered to join since.
    pub fn has_left(&self, vm: &str) -> bool {
        self.left.contains(vm)
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
            sequence: self.counts.sequence,
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
                self.counts.formed += 1;
                let id = format!(
                    "{}-{deployment}-{}-{}",
                    self.zone, self.epoch, self.counts.formed
                );
                let deployment = deployment.clone();
                let group = GroupRecord::forming(id, deployment, members.clone(), self.epoch);
                claim_members(&group, &group.members, changes);
                changes.rows.push(RowChange::Group(group));
            }
            PlanStep::Repair { group, members, .. } => {
                if let Some(row) = self.groups.get(group) {
                    let group = row.value.clone();
                    self.mend(&group, members, changes);
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
        let mut builder = TransactBuilder::default().check(epoch_key(&self.zone), self.epoch_row);
        for change in &changes.rows {
            let key = self.key_of(change);
            builder = builder.check(&key, self.version_of(change));
            builder = match change {
                RowChange::Group(group) => builder.put(key, &GroupDoc::from(group)),
                RowChange::Claim(_, claim) => builder.put(key, claim),
                RowChange::DropGroup(_) | RowChange::DropClaim(_) => builder.delete(key),
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
                        .insert(value.id.clone(), HeldRow { value, version });
                }
                RowChange::DropGroup(id) => {
                    self.groups.shift_remove(&id);
                }
                RowChange::Claim(vm, value) => {
                    self.claims.insert(vm, HeldRow { value, version });
                }
                RowChange::DropClaim(vm) => {
                    self.claims.shift_remove(&vm);
                }
            }
        }
        self.counts.sequence += 1;
    }

    /// Gives a group new members. A machine that leaves it is free only once it reports itself
    /// idle, and its claim is dropped only if it is still this group's.
    fn mend(&self, group: &GroupRecord, members: &[GroupMember], changes: &mut RowChanges) {
        for old in &group.members {
            let stays = members.iter().any(|member| member.vm == old.vm);
            let claim = self.claims.get(&old.vm);
            let is_held = claim.is_some_and(|row| row.value.group == group.id);
            if !stays && is_held && !changes.claims(&old.vm) {
                changes.rows.push(RowChange::DropClaim(old.vm.clone()));
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
            RowChange::DropGroup(id) => group_key(&self.zone, id),
            RowChange::Claim(vm, _) | RowChange::DropClaim(vm) => vm_key(&self.zone, vm),
        }
    }

    fn version_of(&self, change: &RowChange) -> RowVersion {
        match change {
            RowChange::Group(group) => self.groups.get(&group.id).map_or(0, |row| row.version),
            RowChange::DropGroup(id) => self.groups.get(id).map_or(0, |row| row.version),
            RowChange::Claim(vm, _) | RowChange::DropClaim(vm) => {
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
