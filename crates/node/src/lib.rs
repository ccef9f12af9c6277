//! The briarswitch daemon as a library: the node process that runs on each entry `Vm`.
//!
//! ```no_run
//! use briarswitch_node::{Node, SettingsLayers};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = SettingsLayers::with_defaults().build().map_err(|_| "bad settings")?;
//! let node = Node::spawn(settings).await?;
//! println!("listening for callers at {}", node.addresses().callers);
//! node.shutdown().await;
//! # Ok(())
//! # }
//! ```

pub mod admission;
pub mod attempt;
pub mod auth;
pub mod availability;
pub mod caller;
pub mod claims;
pub mod cli;
pub mod config;
pub mod controller;
pub mod dispatch;
pub mod editor;
pub mod evidence_feed;
pub mod exit;
pub mod fields;
pub mod forward;
pub mod headers;
pub mod health;
pub mod in_flight;
pub mod layers;
pub mod lease;
pub mod lease_rows;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod odd_rows;
pub mod operator_api;
pub mod orders;
pub mod peer_api;
pub mod peers;
pub mod progress;
pub mod relay;
pub mod reply;
pub mod routes;
pub mod row_keys;
pub mod settings;
pub mod settings_file;
pub mod shared;
pub mod signals;
pub mod start_error;
pub mod steps;
pub mod suspect_host;
pub mod term;
pub mod trace;
pub mod usage;
pub mod watch;

pub use cli::{NodeOptions, Startup};
pub use layers::SettingsLayers;
pub use node::{Node, NodeAddresses, NodeError};
pub use settings::NodeSettings;
pub use start_error::StartError;
