//! Immutable state that the control thread publishes to the traffic threads.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

/// A value that is replaced atomically and read without locks.
#[derive(Debug)]
pub struct Snapshot<T> {
    value: Arc<ArcSwap<T>>,
}

impl<T> Clone for Snapshot<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
        }
    }
}

impl<T> Snapshot<T> {
    /// Creates a snapshot with an initial value.
    ///
    /// ```
    /// use briarswitch_kernel::Snapshot;
    ///
    /// let snapshot = Snapshot::new(1);
    /// snapshot.publish(2);
    /// assert_eq!(**snapshot.read(), 2);
    /// ```
    pub fn new(value: T) -> Self {
        Self {
            value: Arc::new(ArcSwap::from_pointee(value)),
        }
    }

    /// Replaces the value.
    pub fn publish(&self, value: T) {
        self.value.store(Arc::new(value));
    }

    /// Borrows the current value; the guard should be held only briefly.
    pub fn read(&self) -> Guard<Arc<T>> {
        self.value.load()
    }

    /// Returns a shared handle to the current value.
    pub fn load(&self) -> Arc<T> {
        self.value.load_full()
    }
}
