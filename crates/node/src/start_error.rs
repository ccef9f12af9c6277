//! Errors that keep the daemon from starting.

use std::io;

use briarswitch_fleet::FleetError;

use crate::node::NodeError;

/// Error that keeps the daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The node could not be started.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The node that serves a fleet could not be started.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The logger could not be installed.
    #[error("cannot install the logger: {0}")]
    Logs(#[from] log::SetLoggerError),
    /// The runtime's threads or the signal handlers could not be set up.
    #[error("cannot start threads or register signal handlers: {0}")]
    System(#[from] io::Error),
}
