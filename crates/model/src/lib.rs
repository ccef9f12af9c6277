//! Specifications of the control protocol, searched exhaustively within small bounds.
//!
//! Each specification drives the decision code of `briarswitch_core` where it can, adds the faults
//! of the brief as steps, and names properties. Seeded defects show that the properties can fail.
//!
//! ```
//! use briarswitch_model::{search, GateSpec};
//!
//! let report = search(&GateSpec::sound());
//! assert!(report.violation.is_none() && report.is_exhausted);
//! ```

mod config;
mod crash;
mod gate;
mod group_formation;
mod keys;
mod lease;
mod orders;
mod relay;
mod restart;
mod search;

pub use config::{ConfigDefect, ConfigSpec};
pub use crash::{CrashDefect, CrashSpec};
pub use gate::{GateDefect, GateSpec};
pub use group_formation::{GroupFormationDefect, GroupFormationSpec};
pub use keys::{KeyDefect, KeySpec};
pub use lease::{LeaseDefect, LeaseSpec};
pub use orders::{OrderDefect, OrderSpec};
pub use relay::{RelayDefect, RelaySpec};
pub use restart::{RestartDefect, RestartSpec};
pub use search::{search, stuck_states, SearchReport, Specification, Step, Violation};
