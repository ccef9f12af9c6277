//! Conditional orders to targets, and what targets say to them.

use crate::id::{Epoch, GroupId, Incarnation, ModelId, TargetId};
use crate::target::{Membership, MembershipState};

/// What a target is told to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TargetAction {
    /// Become a member of a group.
    Join {
        /// Group, named anew for every attempt.
        group: GroupId,
        /// Higher than any epoch the members have seen.
        epoch: Epoch,
        /// Model to serve.
        model: ModelId,
        /// Members in order of rank.
        members: Vec<TargetId>,
    },
    /// Begin to serve; for the first member only.
    Open {
        /// Group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Finish what was accepted and take nothing new; for the first member only.
    Close {
        /// Group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Leave the group at once.
    Leave {
        /// Group.
        group: GroupId,
        /// Its epoch.
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
    /// Life that was looked at when the order was decided.
    pub incarnation: Incarnation,
    /// Orders that the target must have begun so far.
    pub expected: u64,
    /// What to do.
    pub action: TargetAction,
    /// Why, for the logs.
    pub reason: &'static str,
}

/// What a target said to an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderResult {
    /// It has begun.
    Begun,
    /// The state was there already.
    Held,
    /// Another order came first, or the order does not fit the state.
    Conflict,
    /// Another life answers at the address.
    OtherIncarnation,
    /// The target does not know the order or refuses it for good.
    Refused,
    /// No answer came; the order may still be carried out.
    Lost,
}

impl TargetAction {
    /// Returns the group the action is about.
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

    /// Returns the membership that a target has right after it began the action.
    pub fn effect(&self, target: &str, held: Option<&Membership>) -> Option<Membership> {
        let with_state = |state| {
            held.map(|held| Membership {
                state,
                ..held.clone()
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
            Self::Stage { .. } => held.cloned(),
        }
    }
}
