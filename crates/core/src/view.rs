//! One zone's groups as its controller last wrote them.

use indexmap::IndexMap;

use crate::group::GroupRecord;
use crate::id::{Epoch, GroupId, ZoneId};

/// The groups of a zone, ordered by the controller's epoch and its count of changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneView {
    /// Zone that the groups stand in.
    pub zone: ZoneId,
    /// Epoch of the controller that made the view.
    pub epoch: Epoch,
    /// Changes made in that epoch.
    pub sequence: u64,
    /// Groups by name.
    pub groups: IndexMap<GroupId, GroupRecord>,
}

impl ZoneView {
    /// Takes over `other` if it is newer; a view of an earlier epoch never replaces a later one.
    pub fn adopt(&mut self, other: Self) -> bool {
        let is_newer = (other.epoch, other.sequence) > (self.epoch, self.sequence);
        if is_newer {
            *self = other;
        }
        is_newer
    }
}
