//! Service that keeps the accepted configuration in memory; its version never decreases.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_kernel::{Service, ServiceLink};
use briarswitch_platform::StoreError;
use briarswitch_wire::config::{EntryDoc, SnapshotDoc};
use briarswitch_wire::platform::{HeadDoc, LogDoc, ReadReply, ReadRequest, RowDoc};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use crate::row_keys::{entity_prefix, log_key, HEAD_KEY};
use crate::shared::{ConfigView, FloorSource, NodeShared};

/// Name of the service.
pub const CONFIG_SERVICE: &str = "config";
/// Log rows read with each poll; a node that is further behind reads a snapshot instead.
const MAX_ENTRIES_PER_POLL: u64 = 16;
/// Number of newest log entries kept for peers that lack them.
const MAX_LOG_ENTRIES: usize = 1024;

/// Message to the service.
#[derive(Debug)]
pub enum ConfigMessage {
    /// Read the table now.
    Poll,
    /// Result of a read of the table.
    Polled(Result<TableState, StoreError>),
    /// Configuration from a peer, or an edit that this node has just had accepted.
    Received {
        /// Log entries in the order of their versions.
        entries: Vec<EntryDoc>,
        /// Snapshot of the configuration.
        snapshot: Option<SnapshotDoc>,
    },
    /// An exchange with every node of the zone has succeeded or failed, and at least one node knew
    /// its floor: the configuration version below which it must not serve.
    ZonePolled,
}

/// Result of reading the configuration's rows.
#[derive(Debug)]
pub enum TableState {
    /// The head and the log rows that follow this node's version.
    Log {
        /// Newest version.
        head: ConfigVersion,
        /// Entries of the log rows found.
        entries: Vec<EntryDoc>,
    },
    /// All entities at the head's version.
    Snapshot(SnapshotDoc),
}

/// Follows the configuration in the table and from peers, and publishes it to the node.
pub struct ConfigSync {
    shared: Arc<NodeShared>,
    view: ConfigView,
    is_platform_lost: bool,
}

impl ConfigSync {
    /// Returns a service that has no configuration yet.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            view: ConfigView::default(),
            is_platform_lost: false,
        }
    }

    fn poll(&self, link: &ServiceLink<ConfigMessage>) {
        let shared = Arc::clone(&self.shared);
        let version = self.view.config.version();
        link.spawn(async move { ConfigMessage::Polled(read_table(&shared, version).await) });
    }

    fn apply_table(&mut self, state: TableState) {
        let before = self.view.config.version();
        let is_complete = match state {
            TableState::Log { head, entries } => {
                self.apply_entries(entries);
                self.view.config.version() >= head
            }
            TableState::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        };
        let is_floor_new = is_complete && self.view.floor != Some(FloorSource::Platform);
        if is_floor_new {
            self.view.floor = Some(FloorSource::Platform);
        }
        self.publish_if_changed(before, is_floor_new);
    }

    fn apply_entries(&mut self, entries: Vec<EntryDoc>) {
        for doc in entries {
            let Ok(entry) = ConfigEntry::try_from(doc.clone()) else {
                log::error!(version = doc.version; "config_entry_unreadable");
                return;
            };
            if self.view.config.apply(entry) {
                self.view.log.push_back(doc);
            }
        }
        let excess = self.view.log.len().saturating_sub(MAX_LOG_ENTRIES);
        self.view.log.drain(..excess);
    }

    /// Adopts a snapshot that is newer; returns whether the configuration is now at least as new.
    fn apply_snapshot(&mut self, snapshot: SnapshotDoc) -> bool {
        let version = snapshot.version;
        let Ok(book) = VersionedConfig::try_from(snapshot) else {
            log::error!(version = version; "config_snapshot_unreadable");
            return false;
        };
        if self.view.config.adopt(book) {
            self.view.log.clear();
        }
        self.view.config.version() >= version
    }

    fn publish_if_changed(&mut self, before: ConfigVersion, is_forced: bool) {
        let version = self.view.config.version();
        if version == before && !is_forced {
            return;
        }
        self.view.keys = self
            .view
            .config
            .organisations()
            .values()
            .map(|organisation| (organisation.key_hash.clone(), organisation.id.clone()))
            .collect();
        self.shared.config.publish(self.view.clone());
        self.shared.metrics.set_config_version(version);
        log::info!(version = version, floor = floor_name(self.view.floor); "config_in_force");
    }
}

impl Service for ConfigSync {
    type Message = ConfigMessage;

    fn name(&self) -> &'static str {
        CONFIG_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<ConfigMessage>) {
        self.poll(link);
    }

    fn handle(&mut self, message: ConfigMessage, link: &ServiceLink<ConfigMessage>) {
        match message {
            ConfigMessage::Poll => self.poll(link),
            ConfigMessage::Polled(result) => {
                let was_lost = self.is_platform_lost;
                self.is_platform_lost = result.is_err();
                match result {
                    Ok(state) => self.apply_table(state),
                    Err(error) if !was_lost => log::warn!(error:% = error; "config_unread"),
                    Err(_) => {}
                }
                link.send_after(
                    self.shared.settings.control.config_poll,
                    ConfigMessage::Poll,
                );
            }
            ConfigMessage::Received { entries, snapshot } => {
                let before = self.view.config.version();
                if let Some(snapshot) = snapshot {
                    self.apply_snapshot(snapshot);
                }
                self.apply_entries(entries);
                self.publish_if_changed(before, false);
            }
            ConfigMessage::ZonePolled => {
                // Only a node that cannot reach the platform may take the floor from its zone.
                if self.view.floor.is_none() && self.is_platform_lost {
                    self.view.floor = Some(FloorSource::Peers);
                    let version = self.view.config.version();
                    self.publish_if_changed(version, true);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "version": self.view.config.version(),
            "floor": floor_name(self.view.floor),
            "organisations": self.view.config.organisations().len(),
            "deployments": self.view.config.deployments().len(),
            "rules": self.view.config.rules().len(),
            "log_entries": self.view.log.len(),
            "platform_lost": self.is_platform_lost,
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.shared))
    }
}

fn floor_name(floor: Option<FloorSource>) -> &'static str {
    floor.map_or("none", FloorSource::name)
}

/// Reads the log entries that follow `version`, or a snapshot when they do not lead to the head.
async fn read_table(shared: &NodeShared, version: ConfigVersion) -> Result<TableState, StoreError> {
    let mut keys = vec![HEAD_KEY.to_owned()];
    if version > 0 {
        let last = version.saturating_add(MAX_ENTRIES_PER_POLL);
        keys.extend((version..last).map(|known| log_key(known + 1)));
    }
    let request = ReadRequest {
        keys,
        prefixes: Vec::new(),
    };
    let reply = shared.platform.table.read(request).await?;
    let head = head_version(&reply)?;
    let rows = reply.rows.iter().filter(|row| row.key != HEAD_KEY);
    let entries: Vec<EntryDoc> = rows.filter_map(read_log_entry).collect();
    if !leads_to_head(&entries, version, head) {
        return read_snapshot(shared).await.map(TableState::Snapshot);
    }
    Ok(TableState::Log { head, entries })
}

/// Reads one row of the log. An unreadable one leads to a snapshot, so that it is not read again.
fn read_log_entry(row: &RowDoc) -> Option<EntryDoc> {
    let log = parse_row::<LogDoc>(&row.value);
    let entry = log.map(|log| log.entry).filter(is_consistent);
    if entry.is_none() {
        log::warn!(row = row.key.as_str(); "config_entry_unreadable");
    }
    entry
}

/// Returns whether a configuration at `version` is at the head once it has applied the entries.
///
/// An entry that is missing, unreadable or too far ahead to have been read stops all later ones.
fn leads_to_head(entries: &[EntryDoc], version: ConfigVersion, head: ConfigVersion) -> bool {
    let versions = entries.iter().map(|entry| entry.version);
    head <= version || versions.eq(version + 1..=head)
}

/// Reads all readable entities and the head in one consistent read.
///
/// # Errors
///
/// Returns [`StoreError`] when the table does not answer, or the head row cannot be read.
pub async fn read_snapshot(shared: &NodeShared) -> Result<SnapshotDoc, StoreError> {
    let request = ReadRequest {
        keys: vec![HEAD_KEY.to_owned()],
        prefixes: vec![entity_prefix()],
    };
    let reply = shared.platform.table.read(request).await?;
    let entries = reply
        .rows
        .iter()
        .filter(|row| row.key != HEAD_KEY)
        .filter_map(read_entity);
    Ok(SnapshotDoc {
        version: head_version(&reply)?,
        entries: entries.collect(),
    })
}

/// Reads one entity's row. An unreadable row takes only its own entity out of use.
///
/// A snapshot brings the node to the head's version, so that the row is not read and logged again
/// until there is a reason for another snapshot.
fn read_entity(row: &RowDoc) -> Option<EntryDoc> {
    let entry = parse_row::<EntryDoc>(&row.value).filter(is_consistent);
    if entry.is_none() {
        log::warn!(row = row.key.as_str(); "config_entity_unreadable");
    }
    entry
}

/// Returns whether an entry's value is of its entity's kind.
fn is_consistent(entry: &EntryDoc) -> bool {
    ConfigEntry::try_from(entry.clone()).is_ok()
}

/// Returns the version in the head row; zero when there is no such row.
///
/// # Errors
///
/// Returns [`StoreError`] when the row cannot be read: nothing is known of the table's version.
pub fn head_version(reply: &ReadReply) -> Result<ConfigVersion, StoreError> {
    let Some(row) = reply.rows.iter().find(|row| row.key == HEAD_KEY) else {
        return Ok(0);
    };
    match parse_row::<HeadDoc>(&row.value) {
        Some(head) => Ok(head.version),
        None => Err(StoreError::Refused("the head row is unreadable".to_owned())),
    }
}

/// Parses a row's value; `None` when it does not have the form of `T`.
pub fn parse_row<T: DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}
