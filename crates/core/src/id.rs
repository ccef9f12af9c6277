//! Identifiers, versions and the local notion of time.

use std::time::Duration;

/// Name of a node: the daemon on one entry VM.
pub type NodeId = String;
/// Name of a machine of the platform.
pub type VmId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a region, a set of zones.
pub type RegionId = String;
/// Name of a fabric domain, a set of machines connected by a fast fabric.
pub type DomainId = String;
/// Name of a replica group.
pub type GroupId = String;
/// Name of a deployment of a model or a plain service.
pub type DeploymentId = String;
/// Name of an organisation.
pub type OrganisationId = String;
/// Name of a target. A target that restarts may keep its name; its incarnation then changes.
pub type TargetId = String;
/// Name of a service, the set of targets that serve the same requests.
pub type ServiceId = String;
/// Name of a model.
pub type ModelId = String;
/// Name of a pool of machines in the platform's list.
pub type PoolId = String;
/// Name of one request of a caller.
pub type RequestId = String;
/// Name of one attempt to run a request at a target.
pub type AttemptId = String;
/// Name of one write to the table service, chosen by the writer.
pub type WriteId = String;
/// Distinguishes successive runs of a process or a machine under the same name.
pub type Incarnation = u64;
/// Number of successive holders of a zone's lease; serves as the fencing token of orders.
pub type Epoch = u64;
/// Number of membership changes of a group.
pub type Generation = u64;
/// Number of accepted configuration edits.
pub type ConfigVersion = u64;
/// Version of a row in the table service; zero stands for an absent row.
pub type RowVersion = u64;

/// A reading of the local boot-time clock, which continues while the machine is suspended.
///
/// Readings of different machines are not comparable.
pub type Moment = Duration;
