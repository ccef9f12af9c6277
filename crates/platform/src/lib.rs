//! The platform's services as traits, and the HTTP clients that implement them.
//!
//! Other crates use only the traits; the wire formats are confined to `briarswitch_wire::platform` and
//! [`HttpPlatform`].
//!
//! ```
//! use briarswitch_platform::StoreError;
//!
//! assert!(StoreError::NoResponse.is_ambiguous());
//! ```

mod client;
mod table;

pub use client::{HttpPlatform, PlatformAddresses};
pub use table::{
    ObjectStore, Platform, StoreError, StoreFuture, TableStore, TransactBuilder, VmDirectory,
    WeightStore,
};
