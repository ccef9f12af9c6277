//! Deployments: models served by replica groups, and plain services.

use crate::finding::Finding;
use crate::fleet::PlanWeights;
use crate::id::{DeploymentId, PoolId};

/// Type of workload of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum DeploymentKind {
    /// A model whose replicas span several machines of one fabric domain.
    Model {
        /// Machines in one replica.
        vms_per_replica: u32,
        /// Replicas required in each availability zone.
        replicas_per_zone: u32,
        /// Whether the engines reject orders with an old fencing number.
        checks_fencing: bool,
        /// Whether a replica may span fabric domains.
        spans_domains: bool,
        /// Relative weights of downtime and of stranded accelerators.
        weights: PlanWeights,
    },
    /// A plain service; every live machine of the pool is a target.
    Service,
}

/// One deployment, as operators edit it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Name used by callers.
    pub id: DeploymentId,
    /// Pool whose machines serve it.
    pub pool: PoolId,
    /// Type of workload.
    pub kind: DeploymentKind,
    /// Maximum requests in flight from one node to one target.
    pub target_in_flight: u32,
    /// Precedence when machines or queue slots are scarce; higher values go first.
    pub priority: u8,
}

impl Deployment {
    /// Validates the deployment and reports every error under `path`.
    pub fn check(&self, path: &str) -> Vec<Finding> {
        let mut findings = Vec::new();
        if self.pool.is_empty() {
            findings.push(Finding::new(
                format!("{path}.pool"),
                "expected the name of a pool",
            ));
        }
        if self.target_in_flight == 0 {
            findings.push(Finding::new(
                format!("{path}.target_in_flight"),
                "expected 1 or more",
            ));
        }
        if let DeploymentKind::Model {
            vms_per_replica, ..
        } = self.kind
        {
            if vms_per_replica == 0 {
                findings.push(Finding::new(
                    format!("{path}.vms_per_replica"),
                    "expected 1 or more",
                ));
            }
        }
        findings
    }
}
