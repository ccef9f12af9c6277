//! Groups of one zone as last written by its controller.

use indexmap::IndexMap;

use crate::group::GroupRecord;
use crate::id::{Epoch, GroupId, ZoneId};

/// Groups of a zone, versioned by the controller's epoch and its number of changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneView {
    /// Zone of the groups.
    pub zone: ZoneId,
    /// Epoch of the controller that published the view.
    pub epoch: Epoch,
    /// Number of changes made in that epoch.
    pub sequence: u64,
    /// Groups by name.
    pub groups: IndexMap<GroupId, GroupRecord>,
}

impl ZoneView {
    /// Replaces this view by `other` if that is newer, and returns whether it was; a view of an
    /// earlier epoch never replaces a later one.
    pub fn adopt(&mut self, other: Self) -> bool {
        let is_newer = (other.epoch, other.sequence) > (self.epoch, self.sequence);
        if is_newer {
            *self = other;
        }
        is_newer
    }
}
