//! Rows of a zone that this node cannot read, for example those of another version.

use briarswitch_core::prelude::*;
use indexmap::{IndexMap, IndexSet};

/// Keys of the groups and claims whose rows cannot be parsed.
///
/// Such a row takes only itself out of use. What its key alone says still counts: the VM of an
/// unreadable claim is claimed, in whichever incarnation, and the members of an unreadable group
/// keep their claims. Neither gets an order to leave, because its group may still use it.
#[derive(Clone, Debug, Default)]
pub struct OddRows {
    /// Groups with an unreadable row.
    pub groups: IndexSet<GroupId>,
    /// VMs with an unreadable claim, with the versions of these rows.
    pub claims: IndexMap<VmId, RowVersion>,
}

impl OddRows {
    /// Records the unreadable row of a group.
    pub fn add_group(&mut self, group: &str, key: &str) {
        log::error!(key = key; "row_unreadable");
        self.groups.insert(group.to_owned());
    }

    /// Records the unreadable claim of a VM.
    pub fn add_claim(&mut self, vm: &str, key: &str, version: RowVersion) {
        log::error!(key = key; "row_unreadable");
        self.claims.insert(vm.to_owned(), version);
    }

    /// Returns the number of unreadable rows.
    pub fn len(&self) -> usize {
        self.groups.len() + self.claims.len()
    }

    /// Returns whether every row could be read.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
