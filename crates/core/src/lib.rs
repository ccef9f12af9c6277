//! Decision logic of briarswitch as pure functions of state, event and time.
//!
//! Nothing here uses a socket, a clock or a thread: time and randomness are passed in as arguments,
//! so that tests, replays and the model checker run the same code as the node.
//!
//! ```
//! use briarswitch_core::prelude::*;
//!
//! let config = VersionedConfig::default();
//! assert_eq!(config.version(), 0);
//! ```

pub mod assembly;
pub mod backoff;
pub mod changeover;
pub mod choice;
pub mod claim;
pub mod config;
mod coverage;
pub mod crash;
mod crash_evidence;
mod crash_report;
pub mod decaying_count;
pub mod deployment;
mod draft;
pub mod engine;
pub mod evacuation;
pub mod events;
pub mod evidence;
pub mod fair;
pub mod finding;
pub mod fingerprint;
pub mod fleet;
pub mod forecast;
mod free_pool;
pub mod group;
mod held_weights;
pub mod id;
pub mod layout;
pub mod lease;
pub mod limit;
pub mod load_ledger;
pub mod load_permits;
mod losses;
pub mod minted_key;
pub mod order;
pub mod organisation;
pub mod outage_history;
pub mod outcome;
mod partial_event;
pub mod placement;
pub mod planner;
pub mod prefix;
pub mod prelude;
mod queue_order;
mod queue_rates;
mod queue_round;
mod queue_shares;
mod queue_slots;
mod queued_request;
pub mod reachability;
pub mod rebalance;
pub mod recovery_window;
pub mod request_limit;
pub mod residency;
pub mod retry;
pub mod return_schedule;
pub mod rule;
pub mod run_suspects;
pub mod shared_queue;
pub mod silence;
pub mod slot_rates;
pub mod sound_parts;
pub mod speed;
pub mod stated_limit;
pub mod stream;
pub mod target;
pub mod traffic;
pub mod view;
pub mod vm;
pub mod waiting;
pub mod warmup;
pub mod watch;
