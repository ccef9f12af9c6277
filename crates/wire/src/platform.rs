//! The platform's services: transactional table, object store, list of machines, weight store.

use briarswitch_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowDoc {
    /// Key of the row.
    pub key: String,
    /// Rises with each write of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub value: Value,
}

/// A condition on a row's version; zero demands that the row is absent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckDoc {
    /// Key of the row.
    pub key: String,
    /// Version it must have.
    pub version: RowVersion,
}

/// A write of one row; no value deletes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PutDoc {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Option<Value>,
}

/// Several conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TransactRequest {
    /// Conditions.
    pub checks: Vec<CheckDoc>,
    /// Writes.
    pub puts: Vec<PutDoc>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactReply {
    /// Every write took effect, at this version for each row put.
    Committed {
        /// Version of each written row, in the order of the request.
        versions: Vec<RowVersion>,
    },
    /// A condition did not hold and nothing was written.
    Conflict {
        /// Key of the first row that failed its condition.
        key: String,
    },
}

/// Which rows to read, all at one moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadRequest {
    /// Rows by key; absent ones are left out of the reply.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Rows whose key begins with one of these.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// Rows found.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReadReply {
    /// Rows in order of key.
    pub rows: Vec<RowDoc>,
}

/// One machine in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmDoc {
    /// Name of the machine.
    pub id: VmId,
    /// Zone that holds it.
    pub zone: ZoneId,
    /// Fabric domain that holds it.
    pub domain: DomainId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Address as `ip:port`.
    pub address: String,
    /// Changes whenever the machine is replaced.
    pub incarnation: Incarnation,
    /// Accelerators it carries.
    pub accelerators: u32,
    /// Whether it is going away.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of machines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmListDoc {
    /// Machines that the platform believes to be live or leaving.
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
    /// Life of that node.
    pub incarnation: Incarnation,
    /// Counts the holders.
    pub epoch: Epoch,
    /// Write that put the row there.
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

/// The row that names the newest configuration version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeadDoc {
    /// Newest version.
    pub version: ConfigVersion,
}

/// One row of the configuration's log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogDoc {
    /// Edit.
    pub entry: crate::config::EntryDoc,
    /// Write that put it there.
    pub write: WriteId,
}

/// The row of one machine that belongs to a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VmClaimDoc {
    /// Group it belongs to.
    pub group: GroupId,
    /// Generation in which it was claimed.
    pub generation: Generation,
    /// Life of the machine that was claimed.
    pub incarnation: Incarnation,
}

/// The row that changes only with the holder of a zone's lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EpochDoc {
    /// Epoch.
    pub epoch: Epoch,
    /// Node that holds it.
    pub holder: NodeId,
}

/// The row of one caller's key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyClaimDoc {
    /// Write that claimed it.
    pub write: WriteId,
    /// Node that claimed it.
    pub node: NodeId,
}

/// One batch of metered use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageBatchDoc {
    /// Rows by organisation.
    pub rows: Vec<crate::operator::UsageRow>,
}

/// Asks the weight store for leave to load weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadPermitRequest {
    /// Loads wanted.
    pub loads: usize,
}

/// Loads that may be begun now.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadPermitReply {
    /// Loads granted, at most as many as were asked for.
    pub granted: usize,
}
