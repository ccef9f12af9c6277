//! Keys of the rows in the table service.

use briarswitch_core::prelude::*;
use briarswitch_wire::config::KindDoc;

/// Row that names the newest configuration version.
pub const HEAD_KEY: &str = "config/head";

/// Returns the prefix of every entity's row.
pub fn entity_prefix() -> String {
    "config/entity/".to_owned()
}

/// Returns the key of one entity's row.
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

/// Returns the prefix of the configuration's log.
pub fn log_prefix() -> String {
    "config/log/".to_owned()
}

/// Returns the key of one version's row in the log.
pub fn log_key(version: ConfigVersion) -> String {
    format!("{}{version:012}", log_prefix())
}

/// Returns the key of the row that bars a write for good.
pub fn void_key(write: &str) -> String {
    format!("config/void/{write}")
}

/// Returns the key of a zone's lease.
pub fn lease_key(zone: &str) -> String {
    format!("lease/{zone}")
}

/// Returns the key of the row that changes only with the lease's holder.
pub fn epoch_key(zone: &str) -> String {
    format!("epoch/{zone}")
}

/// Returns the prefix of a zone's groups.
pub fn group_prefix(zone: &str) -> String {
    format!("group/{zone}/")
}

/// Returns the key of one group's row.
pub fn group_key(zone: &str, group: &str) -> String {
    format!("{}{group}", group_prefix(zone))
}

/// Returns the prefix of a zone's claimed machines.
pub fn vm_prefix(zone: &str) -> String {
    format!("vm/{zone}/")
}

/// Returns the key of one claimed machine's row.
pub fn vm_key(zone: &str, vm: &str) -> String {
    format!("{}{vm}", vm_prefix(zone))
}

/// Returns the key of the row of a caller's key.
pub fn claim_key(organisation: &str, key: &str) -> String {
    format!("claim/{organisation}/{key}")
}

/// Returns the prefix of all usage.
pub fn usage_prefix() -> String {
    "usage/".to_owned()
}

/// Returns the key of one batch of usage.
pub fn usage_key(node: &str, incarnation: Incarnation, sequence: u64) -> String {
    format!("{}{node}/{incarnation}/{sequence:08}", usage_prefix())
}
