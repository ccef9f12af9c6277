//! Machines as the platform lists them.

use crate::id::{DomainId, Incarnation, PoolId, VmId, ZoneId};

/// What the platform says of a machine's future.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmStatus {
    /// The machine is there to be used.
    Live,
    /// The machine is going away and takes no new work.
    Leaving,
}

/// One machine of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name of the machine.
    pub id: VmId,
    /// Zone that holds the machine.
    pub zone: ZoneId,
    /// Fabric domain that holds the machine.
    pub domain: DomainId,
    /// Pool that the machine belongs to.
    pub pool: PoolId,
    /// Address as `ip:port`.
    pub address: String,
    /// Changes whenever the machine is replaced under the same name.
    pub incarnation: Incarnation,
    /// Accelerators the machine carries.
    pub accelerators: u32,
    /// What the platform says of its future.
    pub status: VmStatus,
}

/// An availability zone and the nodes configured in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AvailabilityZone {
    /// Name of the zone.
    pub id: ZoneId,
    /// Nodes of the zone, this one included.
    pub nodes: Vec<crate::id::NodeId>,
}
