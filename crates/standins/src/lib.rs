//! Stand-ins for what briarswitch runs against: the platform, engines, plain services and links.
//!
//! They serve tests, measurements and the quick start, record what they saw, and can be made to fail
//! on purpose. None of it ships.
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
