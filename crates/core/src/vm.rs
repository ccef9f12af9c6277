//! Machines and zones as listed by the platform.

use crate::id::{DomainId, Incarnation, PoolId, VmId, ZoneId};

/// Whether the platform is about to take a machine away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmStatus {
    /// The machine can be used.
    Live,
    /// The machine is about to be removed and takes no new work.
    Leaving,
}

/// One machine of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name of the machine.
    pub id: VmId,
    /// Zone the machine is in.
    pub zone: ZoneId,
    /// Fabric domain the machine is in.
    pub domain: DomainId,
    /// Pool the machine belongs to.
    pub pool: PoolId,
    /// Address as `ip:port`.
    pub address: String,
    /// Changes whenever the machine is replaced under the same name.
    pub incarnation: Incarnation,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the machine is about to be removed.
    pub status: VmStatus,
}

/// An availability zone and the nodes configured in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AvailabilityZone {
    /// Name of the zone.
    pub id: ZoneId,
    /// Nodes of the zone, including this one.
    pub nodes: Vec<crate::id::NodeId>,
}
