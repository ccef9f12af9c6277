//! Conditional orders to targets and their results.

use crate::id::{Epoch, GroupId, Incarnation, ModelId, TargetId};
use crate::target::{Membership, MembershipState};

/// Action that a target is ordered to perform.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TargetAction {
    /// Become a member of a group.
    Join {
        /// Group; each attempt uses a new name.
        group: GroupId,
        /// Epoch, higher than any that the members have seen.
        epoch: Epoch,
        /// Model to serve.
        model: ModelId,
        /// Members by rank.
        members: Vec<TargetId>,
    },
    /// Begin to serve; sent to the leader only.
    Open {
        /// Group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// Finish accepted requests and take no new ones; sent to the leader only.
    Close {
        /// Group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// Leave the group immediately.
    Leave {
        /// Group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// Model.
        model: ModelId,
    },
}

/// One conditional order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetOrder {
    /// Target.
    pub target: TargetId,
    /// Incarnation that the decision was based on.
    pub incarnation: Incarnation,
    /// Number of orders the target must have begun before this one.
    pub expected: u64,
    /// Action to perform.
    pub action: TargetAction,
    /// Reason, for the logs.
    pub reason: &'static str,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderResult {
    /// The target has begun to carry it out.
    Begun,
    /// The requested state is already in effect.
    Held,
    /// Another order came first, or the order does not fit the target's state.
    Conflict,
    /// Another incarnation responds at the address.
    OtherIncarnation,
    /// The target does not know the order or rejects it permanently.
    Refused,
    /// No response arrived; the order may still be carried out.
    Lost,
}

impl TargetAction {
    /// Returns the group that the action concerns.
    pub fn group(&self) -> Option<&GroupId> {
        match self {
            Self::Join { group, .. }
            | Self::Open { group, .. }
            | Self::Close { group, .. }
            | Self::Leave { group, .. } => Some(group),
            Self::Stage { .. } => None,
        }
    }

    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the membership of a target right after it has begun the action.
    pub fn effect(&self, target: &str, membership: Option<&Membership>) -> Option<Membership> {
        let with_state = |state| {
            membership.map(|membership| Membership {
                state,
                ..membership.clone()
            })
        };
        match self {
            Self::Join {
                group,
                epoch,
                members,
                ..
            } => Some(Membership {
                group: group.clone(),
                epoch: *epoch,
                rank: members.iter().position(|id| id == target).unwrap_or(0),
                state: MembershipState::Joining,
            }),
            Self::Open { .. } => with_state(MembershipState::Open),
            Self::Close { .. } => with_state(MembershipState::Closing),
            Self::Leave { .. } => None,
            Self::Stage { .. } => membership.cloned(),
        }
    }
}
