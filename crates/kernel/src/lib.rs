//! Message-driven services that find each other by name and run on one control thread.
//!
//! Each service owns its state and handles one message at a time, so control state needs no locks.
//! Traffic threads do not access it: they read published [`Snapshot`]s and post messages.
//!
//! ```
//! use briarswitch_kernel::BootClock;
//!
//! let earlier = BootClock::now();
//! assert!(BootClock::now() >= earlier);
//! ```

mod clock;
mod mailbox;
mod service;
mod snapshot;

pub use clock::BootClock;
pub use mailbox::{Mailbox, PostError};
pub use service::{Kernel, KernelError, Service, ServiceLink};
pub use snapshot::Snapshot;
