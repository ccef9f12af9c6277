//! The types that most modules need, in one import.

pub use crate::choice::{TargetLoad, TargetPicker};
pub use crate::claim::{ClaimCache, ClaimState};
pub use crate::config::{ConfigEntry, ConfigValue, EntityKey, EntityKind, VersionedConfig};
pub use crate::deployment::{Deployment, DeploymentKind};
pub use crate::evidence::{EvidenceCache, MemberReport, MemberState};
pub use crate::fair::FairQueue;
pub use crate::finding::Finding;
pub use crate::fleet::{FleetState, PlanStep, PlanWeights, VmFacts};
pub use crate::group::{GroupRecord, GroupState};
pub use crate::id::*;
pub use crate::lease::{LeaseClient, LeaseRecord, LeaseTiming};
pub use crate::organisation::Organisation;
pub use crate::outcome::{FailurePoint, Outcome};
pub use crate::planner::GroupPlanner;
pub use crate::retry::RetryBudget;
pub use crate::rule::{RequestFacts, Rule, RuleAction, RuleMatch};
pub use crate::view::ZoneView;
pub use crate::vm::{AvailabilityZone, Vm, VmStatus};
