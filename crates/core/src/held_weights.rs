//! Weights that a target holds, and the model that it can serve next.

use crate::id::ModelId;
use crate::target::{Membership, MembershipState};

/// Weights held or being loaded by one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldWeights<'a> {
    /// Membership in a group, if any.
    pub membership: Option<&'a Membership>,
    /// Model of its group.
    pub model: Option<&'a ModelId>,
    /// Models staged on its host.
    pub staged: &'a [ModelId],
    /// Model that it is loading.
    pub loading: Option<&'a ModelId>,
}

impl<'a> HeldWeights<'a> {
    /// Returns the model that the target can serve next: the one it is loading or has staged, or
    /// else that of its group.
    ///
    /// A member with another model staged is about to move to that model. A member that is still
    /// joining stages the weights of its group by doing so.
    ///
    /// ```
    /// use briarswitch_core::assembly::HeldWeights;
    ///
    /// let staged = ["large".to_owned()];
    /// let small = "small".to_owned();
    /// let held = HeldWeights { staged: &staged, ..HeldWeights::default() };
    /// assert_eq!(held.next_model(), Some(&staged[0]));
    /// let loading = HeldWeights { loading: Some(&small), ..held };
    /// assert_eq!(loading.next_model(), Some(&small));
    /// ```
    pub fn next_model(&self) -> Option<&'a ModelId> {
        let state = self.membership.map(|membership| membership.state);
        let member = self.model.filter(|_| state.is_some());
        if state == Some(MembershipState::Joining) && member.is_some() {
            return member;
        }
        self.loading.or(self.staged.last()).or(member)
    }
}
