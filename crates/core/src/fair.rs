//! A queue that serves organisations in proportion to their weights.
//!
//! It implements start-time fair queueing (Goyal, Vin and Cheng, 1996) within each priority class:
//! an entry's start tag is the later of the class's virtual time and its organisation's last finish
//! tag, and the entry with the smallest start tag is served first. An idle organisation therefore
//! accumulates no credit, and no capacity stays unused while entries wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use indexmap::IndexMap;

use crate::id::OrganisationId;

/// Scale of the virtual clock, which preserves precision when costs are divided by weights.
const VIRTUAL_SCALE: u64 = 1 << 16;

#[derive(Clone, Debug, Default)]
struct PriorityClass<T> {
    virtual_time: u64,
    finish_tags: IndexMap<OrganisationId, u64>,
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
                virtual_time: 0,
                finish_tags: IndexMap::new(),
                heap: BinaryHeap::new(),
                items: IndexMap::new(),
            });
        let last = class.finish_tags.get(organisation).copied().unwrap_or(0);
        let start = last.max(class.virtual_time);
        let cost = tokens.max(1) * VIRTUAL_SCALE / u64::from(weight.max(1));
        class
            .finish_tags
            .insert(organisation.to_owned(), start + cost);
        class.heap.push(Reverse((start, ticket)));
        class.items.insert(ticket, item);
        ticket
    }

    /// Removes and returns the next entry to serve.
    pub fn pop(&mut self) -> Option<T> {
        for class in self.classes.values_mut().rev() {
            while let Some(Reverse((start, ticket))) = class.heap.pop() {
                class.virtual_time = class.virtual_time.max(start);
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
