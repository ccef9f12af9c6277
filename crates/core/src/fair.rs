//! A clock and a queue that serve organisations in proportion to their weights.
//!
//! They implement start-time fair queueing (Goyal, Vin and Cheng, 1996) within each priority class:
//! an entry's start tag is the later of the class's virtual time and its organisation's last finish
//! tag, and the entry with the smallest start tag is served first. An idle organisation therefore
//! accumulates no credit, and no capacity stays unused while entries wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use indexmap::IndexMap;

use crate::id::OrganisationId;

/// Scale of the virtual clock, which preserves precision when costs are divided by weights.
const VIRTUAL_SCALE: u64 = 1 << 16;

/// Position in the virtual time of an [`OrganisationClock`].
pub type VirtualTag = u64;

/// Virtual clock of start-time fair queueing among organisations.
///
/// ```
/// use briarswitch_core::fair::OrganisationClock;
///
/// let mut clock = OrganisationClock::default();
/// let start = clock.charge("kayal", 1, 100);
/// clock.advance(start);
/// // Kayal has used its turn; an organisation that was idle starts at the current virtual time.
/// assert!(clock.start_tag("vayal") < clock.start_tag("kayal"));
/// assert_eq!(clock.start_tag("vayal"), start);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrganisationClock {
    virtual_time: VirtualTag,
    finish_tags: IndexMap<OrganisationId, VirtualTag>,
}

impl OrganisationClock {
    /// Returns the start tag of the next entry of an organisation; the lowest is served first.
    pub fn start_tag(&self, organisation: &str) -> VirtualTag {
        let last = self.finish_tags.get(organisation).copied().unwrap_or(0);
        last.max(self.virtual_time)
    }

    /// Charges an organisation for an entry that costs `tokens`, and returns the entry's start tag.
    pub fn charge(&mut self, organisation: &str, weight: u32, tokens: u64) -> VirtualTag {
        let start = self.start_tag(organisation);
        let finish = start.saturating_add(virtual_cost(weight, tokens));
        self.finish_tags.insert(organisation.to_owned(), finish);
        start
    }

    /// Advances the clock to the start tag of the entry that is served now.
    pub fn advance(&mut self, start: VirtualTag) {
        self.virtual_time = self.virtual_time.max(start);
    }

    /// Drops organisations whose entry would start at the current virtual time anyway.
    pub fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish_tags.retain(|_, tag| *tag > virtual_time);
    }
}

/// Returns by how much an entry moves its organisation's clock.
pub(crate) fn virtual_cost(weight: u32, tokens: u64) -> VirtualTag {
    tokens.max(1).saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1))
}

#[derive(Clone, Debug, Default)]
struct PriorityClass<T> {
    clock: OrganisationClock,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    items: IndexMap<u64, T>,
}

/// Entries that wait for service.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<u8, PriorityClass<T>>,
    next_ticket: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            next_ticket: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds an entry whose service costs `tokens` and returns its ticket.
    ///
    /// ```
    /// use briarswitch_core::fair::FairQueue;
    ///
    /// let mut queue = FairQueue::default();
    /// queue.push(1, "kayal", 1, 100, "first");
    /// queue.push(9, "kayal", 1, 100, "urgent");
    /// assert_eq!(queue.pop(), Some("urgent"));
    /// ```
    pub fn push(
        &mut self,
        priority: u8,
        organisation: &str,
        weight: u32,
        tokens: u64,
        item: T,
    ) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let class = self
            .classes
            .entry(priority)
            .or_insert_with(|| PriorityClass {
                clock: OrganisationClock::default(),
                heap: BinaryHeap::new(),
                items: IndexMap::new(),
            });
        let start = class.clock.charge(organisation, weight, tokens);
        class.heap.push(Reverse((start, ticket)));
        class.items.insert(ticket, item);
        ticket
    }

    /// Removes and returns the next entry to serve.
    pub fn pop(&mut self) -> Option<T> {
        for class in self.classes.values_mut().rev() {
            while let Some(Reverse((start, ticket))) = class.heap.pop() {
                class.clock.advance(start);
                if let Some(item) = class.items.swap_remove(&ticket) {
                    return Some(item);
                }
            }
        }
        None
    }

    /// Removes an entry that no longer waits.
    pub fn cancel(&mut self, ticket: u64) -> Option<T> {
        self.classes
            .values_mut()
            .find_map(|class| class.items.swap_remove(&ticket))
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.items.len()).sum()
    }

    /// Returns whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
