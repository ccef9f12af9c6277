//! Identifiers, versions and the local notion of time.

use std::time::Duration;

/// Names one entry VM's daemon.
pub type NodeId = String;
/// Names one machine of the platform.
pub type VmId = String;
/// Names an availability zone.
pub type ZoneId = String;
/// Names a fabric domain, inside which machines share a fast fabric.
pub type DomainId = String;
/// Names a replica group.
pub type GroupId = String;
/// Names a deployment of a model or a plain service.
pub type DeploymentId = String;
/// Names an organisation.
pub type OrganisationId = String;
/// Names a target; one that restarts may keep its name, and then has another incarnation.
pub type TargetId = String;
/// Names a service whose targets take requests.
pub type ServiceId = String;
/// Names a model.
pub type ModelId = String;
/// Names a pool of machines in the platform's list.
pub type PoolId = String;
/// Names one request of a caller.
pub type RequestId = String;
/// Names one attempt to run a request at a target.
pub type AttemptId = String;
/// Names one write to the table service, chosen by the writer.
pub type WriteId = String;
/// Distinguishes successive lives of a process or a machine under the same name.
pub type Incarnation = u64;
/// Counts the holders of a zone's lease; used as the fencing number of orders.
pub type Epoch = u64;
/// Counts the membership changes of one group.
pub type Generation = u64;
/// Counts accepted configuration edits.
pub type ConfigVersion = u64;
/// Version of one row in the table service; zero stands for an absent row.
pub type RowVersion = u64;

/// A reading of the local boot-time clock, which goes on counting while the machine is suspended.
///
/// Readings of different machines are never compared.
pub type Moment = Duration;
