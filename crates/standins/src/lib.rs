//! Fake implementations of the systems around briarswitch: the platform, engines, plain services and
//! network links.
//!
//! They are used by tests, benchmarks and the quick start. They record the calls they receive and
//! support fault injection. They are not part of a release.
//!
//! ```
//! use briarswitch_standins::PlatformStandin;
//!
//! let platform = PlatformStandin::spawn("127.0.0.1:0").unwrap();
//! assert!(platform.address().port() > 0);
//! ```

mod engine;
mod freeze;
mod headers;
mod host;
mod plain;
mod platform;
mod relay;
mod slots;
mod tokens;

pub use engine::{EngineFaults, EngineRecord, EngineSettings, EngineStandin, Execution};
pub use host::{wait_for_shutdown_signal, StandinHost};
pub use plain::{PlainFaults, PlainStandin, ServiceCall};
pub use platform::{PlatformFaults, PlatformStandin, WriteRecord};
pub use relay::{LinkMode, LinkRelay};
