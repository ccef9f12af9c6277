//! Wire types of briarswitch and their conversions to and from the types of `briarswitch_core`.
//!
//! Callers, operators, targets and the platform use JSON; nodes use MessagePack among
//! themselves. Every format is described with examples in `docs/INTERFACES.md`.
//!
//! ```
//! use briarswitch_wire::config::OrganisationDoc;
//!
//! let doc: OrganisationDoc = serde_json::from_str(r#"{"key_hash":"ab"}"#).unwrap();
//! assert_eq!(doc.weight, 1);
//! ```

pub mod caller;
pub mod config;
pub mod convert;
pub mod engine;
pub mod operator;
pub mod peer;
pub mod platform;
