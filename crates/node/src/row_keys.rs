//! Keys of the rows in the platform's table.

use briarswitch_core::prelude::*;
use briarswitch_wire::config::KindDoc;

/// Key of the row with the newest configuration version.
pub const HEAD_KEY: &str = "config/head";

/// Returns the key prefix of the configuration's entities.
pub fn entity_prefix() -> String {
    "config/entity/".to_owned()
}

/// Returns the key of one entity of the configuration.
///
/// ```
/// use briarswitch_node::row_keys::entity_key;
/// use briarswitch_wire::config::KindDoc;
///
/// assert_eq!(entity_key(KindDoc::Rules, "main"), "config/entity/rules/main");
/// ```
pub fn entity_key(kind: KindDoc, id: &str) -> String {
    format!("{}{}/{id}", entity_prefix(), kind.name())
}

/// Returns the key prefix of the configuration's log.
pub fn log_prefix() -> String {
    "config/log/".to_owned()
}

/// Returns the key of one version in the configuration's log.
pub fn log_key(version: ConfigVersion) -> String {
    format!("{}{version:012}", log_prefix())
}

/// Returns the key of the row that makes a write of the configuration void.
pub fn void_key(write: &str) -> String {
    format!("config/void/{write}")
}

/// Returns the key of a zone's lease.
pub fn lease_key(zone: &str) -> String {
    format!("lease/{zone}")
}

/// Returns the key of a zone's epoch; this row changes only when the lease gets another holder.
pub fn epoch_key(zone: &str) -> String {
    format!("epoch/{zone}")
}

/// Returns the key prefix of a zone's groups.
pub fn group_prefix(zone: &str) -> String {
    format!("group/{zone}/")
}

/// Returns the key of one group.
pub fn group_key(zone: &str, group: &str) -> String {
    format!("{}{group}", group_prefix(zone))
}

/// Returns the key prefix of a zone's claimed machines.
pub fn vm_prefix(zone: &str) -> String {
    format!("vm/{zone}/")
}

/// Returns the key of one claimed machine.
pub fn vm_key(zone: &str, vm: &str) -> String {
    format!("{}{vm}", vm_prefix(zone))
}

/// Returns the key of the row that records a caller's idempotency key as used.
pub fn claim_key(organisation: &str, key: &str) -> String {
    format!("claim/{organisation}/{key}")
}

/// Returns the key prefix of all usage batches.
pub fn usage_prefix() -> String {
    "usage/".to_owned()
}

/// Returns the key of one usage batch.
pub fn usage_key(node: &str, incarnation: Incarnation, sequence: u64) -> String {
    format!("{}{node}/{incarnation}/{sequence:08}", usage_prefix())
}
