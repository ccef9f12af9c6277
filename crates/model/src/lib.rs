//! Specifications of the control protocols, checked by exhaustive search within small bounds.
//!
//! Each specification runs the decision code of `briarswitch_core` where possible, models faults as
//! steps, and states safety properties. Seeded defects show that the search detects violations.
//!
//! ```
//! use briarswitch_model::{search, GateSpec};
//!
//! let report = search(&GateSpec::sound());
//! assert!(report.violation.is_none() && report.is_exhausted);
//! ```

mod config;
mod crash;
mod crash_parts;
mod departure;
mod forward;
mod gate;
mod group_formation;
mod keys;
mod lease;
mod orders;
mod relay;
mod restart;
mod search;
mod shared_queue;
mod shared_queue_state;
mod stated_limit;
mod warmup;

pub use config::{ConfigDefect, ConfigSpec};
pub use crash::{CrashDefect, CrashSpec};
pub use crash_parts::{CrashPartDefect, CrashPartSpec};
pub use departure::{DepartureDefect, DepartureSpec};
pub use forward::{ForwardDefect, ForwardSpec};
pub use gate::{GateDefect, GateSpec};
pub use group_formation::{GroupFormationDefect, GroupFormationSpec};
pub use keys::{KeyDefect, KeySpec};
pub use lease::{LeaseDefect, LeaseSpec};
pub use orders::{OrderDefect, OrderSpec};
pub use relay::{RelayDefect, RelaySpec};
pub use restart::{RestartDefect, RestartSpec};
pub use search::{search, stuck_states, SearchReport, Specification, Step, Violation};
pub use shared_queue::{SharedQueueDefect, SharedQueueSpec};
pub use stated_limit::{StatedLimitDefect, StatedLimitSpec};
pub use warmup::{WarmupDefect, WarmupLimitSpec};
