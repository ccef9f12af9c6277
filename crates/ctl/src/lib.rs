//! Library of `briarctl`, the command-line client for operators.
//!
//! ```
//! use briarswitch_ctl::ExitStatus;
//!
//! assert_eq!(ExitStatus::Conflict.code(), 4);
//! ```

pub mod cli;
pub mod client;
pub mod edit;
pub mod exit;
pub mod explain;
pub mod show;

pub use cli::{CtlOptions, Verb};
pub use client::{NodeClient, NodeError};
pub use exit::ExitStatus;
