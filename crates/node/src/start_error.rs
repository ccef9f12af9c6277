//! Why the daemon could not start.

use std::io;

use briarswitch_fleet::FleetError;

use crate::node::NodeError;

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A node could not be set up.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A fleet's node could not be set up.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The logs could not be set up.
    #[error("logs: {0}")]
    Logs(#[from] log::SetLoggerError),
    /// Threads or signals could not be set up.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
}
