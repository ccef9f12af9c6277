//! The platform's services as traits, and the clients that speak their protocols.
//!
//! Every other package sees only the traits; the formats on the wire stay in
//! `briarswitch_wire::platform` and [`HttpPlatform`].
//!
//! ```
//! use briarswitch_platform::StoreError;
//!
//! assert!(StoreError::Lost.is_ambiguous());
//! ```

mod client;
mod table;

pub use client::{HttpPlatform, PlatformAddresses};
pub use table::{
    ObjectStore, Platform, StoreError, StoreFuture, TableStore, TransactBuilder, VmDirectory,
    WeightStore,
};
