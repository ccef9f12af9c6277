//! Serves a fleet of targets: takes callers' requests to them, and forms and mends their groups.
//!
//! The platform below is seen through the traits in [`ports`] only.

pub mod budget;
pub mod census;
pub mod controller;
pub mod costs;
pub mod crash_watcher;
pub mod demand;
pub mod dispatch;
pub mod domains;
pub mod failure;
pub mod feed;
pub mod feed_doc;
mod feed_pacer;
mod fleet_host;
pub mod gauge;
pub mod job;
pub mod layouts;
pub mod metrics;
pub mod node;
pub mod order_sender;
pub mod patience;
pub mod peer_api;
pub mod peers;
pub mod placer;
pub mod ports;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod run;
pub mod run_facts;
pub mod scope;
pub mod settings;
pub mod shared;
pub mod store_sync;
pub mod supply;
pub mod surface;
pub mod suspect_doc;
pub mod suspect_host;
pub mod suspect_ledger;
pub mod suspect_record;
pub mod suspect_row;
pub mod suspect_sync;
pub mod suspect_table;
pub mod suspicion;
pub mod table;
pub mod trace;
pub mod tracker;
pub mod verdict_log;

pub use node::{FleetError, FleetNode};
pub use settings::FleetSettings;
