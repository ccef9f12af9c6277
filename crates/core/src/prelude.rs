//! The types most modules need, imported together.

pub use crate::choice::{TargetLoad, TargetPicker};
pub use crate::claim::{ClaimCache, ClaimState};
pub use crate::config::{ConfigBook, ConfigEntry, ConfigValue, EntityKey, EntityKind};
pub use crate::deployment::{Deployment, DeploymentKind};
pub use crate::evidence::{EvidenceLedger, MemberReport, MemberState};
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
