//! Routes callers' requests to a fleet of targets, and forms and repairs the groups that targets serve in.
//!
//! The platform that the fleet runs on is reached only through the traits in [`ports`].

pub mod budget;
pub mod caller_api;
pub mod config_sync;
pub mod controller;
pub mod costs;
pub mod crash_watcher;
pub mod demand;
pub mod directory_sync;
pub mod dispatch;
pub mod domain_counts;
pub mod domains;
pub mod failure;
pub mod feed;
pub mod feed_doc;
mod feed_pacer;
mod fleet_suspect_host;
pub mod gauge;
mod gossip_client;
pub mod job;
pub mod layouts;
pub mod local_reply;
pub mod metrics;
pub mod node;
pub mod order_sender;
pub mod packed;
pub mod peer_api;
pub mod peers;
pub mod ports;
pub mod prior_wait;
pub mod relay;
pub mod routing_table;
pub mod run;
pub mod run_info;
pub mod scope;
pub mod settings;
pub mod shared;
pub mod slot_queue;
mod source_health;
pub mod supply;
pub mod suspect_doc;
pub mod suspect_host;
pub mod suspect_ledger;
pub mod suspect_record;
pub mod suspect_row;
pub mod suspect_sync;
pub mod suspect_table;
pub mod suspicion;
pub mod table_copy;
pub mod target_selector;
pub mod trace;
pub mod tracker;
pub mod verdict_log;

pub use node::{FleetError, FleetNode};
pub use settings::FleetSettings;
