//! Routes callers' requests to a fleet of targets, and forms and repairs the groups that targets serve in.
//!
//! The platform that the fleet runs on is reached only through the traits in [`ports`].

pub mod budget;
pub mod controller;
pub mod costs;
pub mod demand;
pub mod dispatch;
pub mod domain_counts;
pub mod domains;
pub mod end_watch;
pub mod failure;
pub mod feed;
pub mod feed_doc;
mod feed_pace;
mod fleet_suspect_host;
pub mod gauge;
pub mod job;
pub mod keeper;
pub mod layouts;
pub mod metrics;
pub mod node;
pub mod order_sender;
pub mod patience;
pub mod peer_surface;
pub mod peers;
pub mod placer;
pub mod ports;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod routing_table;
pub mod run;
pub mod run_facts;
pub mod scope;
pub mod settings;
pub mod shared;
pub mod supply;
pub mod surface;
pub mod suspect_doc;
pub mod suspect_host;
pub mod suspect_keeper;
pub mod suspect_record;
pub mod suspect_row;
pub mod suspect_table;
pub mod suspects;
pub mod suspicion;
pub mod trace;
pub mod tracker;
pub mod verdict_log;

pub use node::{FleetError, FleetNode};
pub use settings::FleetSettings;
