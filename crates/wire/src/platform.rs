//! Protocol of the platform's services: transactional table, object store, VM list, weight store.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowDoc {
    /// Key of the row.
    pub key: String,
    /// Increases with each write of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub value: Value,
}

/// A condition on a row's version; zero requires that the row does not exist.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckDoc {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: RowVersion,
}

/// A write of one row; `None` as value deletes the row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PutDoc {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Option<Value>,
}

/// A transaction: conditions and writes that are applied atomically.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TransactRequest {
    /// Conditions.
    pub checks: Vec<CheckDoc>,
    /// Writes.
    pub puts: Vec<PutDoc>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactReply {
    /// All writes were applied.
    Committed {
        /// Version of each written row, in the order of the request.
        versions: Vec<RowVersion>,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// Key of the first row that failed its condition.
        key: String,
    },
}

/// Rows to read in one consistent read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadRequest {
    /// Keys of rows; rows that do not exist are omitted from the reply.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Key prefixes; all rows whose key starts with one of them.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// Result of a read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadReply {
    /// Rows sorted by key.
    pub rows: Vec<RowDoc>,
}

/// One machine in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmDoc {
    /// Name of the machine.
    pub id: VmId,
    /// Zone of the machine.
    pub zone: ZoneId,
    /// Fabric domain of the machine.
    pub domain: DomainId,
    /// Pool of the machine.
    pub pool: PoolId,
    /// Address as `ip:port`.
    pub address: String,
    /// Changes whenever the machine is replaced.
    pub incarnation: Incarnation,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the machine is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of machines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmListDoc {
    /// Machines that are live or leaving according to the platform.
    pub vms: Vec<VmDoc>,
}

impl From<VmDoc> for Vm {
    fn from(doc: VmDoc) -> Self {
        Self {
            id: doc.id,
            zone: doc.zone,
            domain: doc.domain,
            pool: doc.pool,
            address: doc.address,
            incarnation: doc.incarnation,
            accelerators: doc.accelerators,
            status: if doc.leaving {
                VmStatus::Leaving
            } else {
                VmStatus::Live
            },
        }
    }
}

impl From<Vm> for VmDoc {
    fn from(vm: Vm) -> Self {
        Self {
            id: vm.id,
            zone: vm.zone,
            domain: vm.domain,
            pool: vm.pool,
            address: vm.address,
            incarnation: vm.incarnation,
            accelerators: vm.accelerators,
            leaving: vm.status == VmStatus::Leaving,
        }
    }
}

/// The lease row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseDoc {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Increases with each change of holder.
    pub epoch: Epoch,
    /// Id of the write that created the row.
    pub write: WriteId,
}

impl From<LeaseDoc> for LeaseRecord {
    fn from(doc: LeaseDoc) -> Self {
        Self {
            holder: doc.holder,
            incarnation: doc.incarnation,
            epoch: doc.epoch,
            write: doc.write,
        }
    }
}

impl From<LeaseRecord> for LeaseDoc {
    fn from(record: LeaseRecord) -> Self {
        Self {
            holder: record.holder,
            incarnation: record.incarnation,
            epoch: record.epoch,
            write: record.write,
        }
    }
}

/// The row with the latest configuration version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeadDoc {
    /// Latest version.
    pub version: ConfigVersion,
}

/// One row of the configuration's log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogDoc {
    /// The edit.
    pub entry: crate::config::EntryDoc,
    /// Id of the write that appended it.
    pub write: WriteId,
}

/// The row that assigns a machine to a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmClaimDoc {
    /// Group of the machine.
    pub group: GroupId,
    /// Generation in which it was claimed.
    pub generation: Generation,
    /// Incarnation of the machine that was claimed.
    pub incarnation: Incarnation,
}

/// The row that is written only when the holder of a zone's lease changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EpochDoc {
    /// Epoch.
    pub epoch: Epoch,
    /// Node that holds it.
    pub holder: NodeId,
}

/// The row of one idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyClaimDoc {
    /// Id of the write that claimed the key.
    pub write: WriteId,
    /// Node that claimed the key.
    pub node: NodeId,
}

/// One batch of usage records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageBatchDoc {
    /// Usage by organisation.
    pub rows: Vec<crate::operator::UsageRow>,
}

/// Requests permits to load weights from the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadPermitRequest {
    /// Number of loads requested.
    pub loads: usize,
}

/// Number of loads that may start now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadPermitReply {
    /// Number of loads granted, at most the number requested.
    pub granted: usize,
}
