//! The service that keeps the accepted configuration and never goes back.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_kernel::{Service, ServiceLink};
use briarswitch_platform::StoreError;
use briarswitch_wire::config::{EntryDoc, SnapshotDoc};
use briarswitch_wire::platform::{HeadDoc, LogDoc, ReadReply, ReadRequest};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use crate::keys::{entity_prefix, log_key, HEAD_KEY};
use crate::shared::{ConfigView, FloorSource, NodeShared};

/// Name of the service.
pub const CONFIG_SERVICE: &str = "config";
/// Log rows asked for with each look at the head.
const ENTRIES_PER_POLL: u64 = 16;
/// Newest entries kept for peers.
const LOG_LENGTH: usize = 1024;

/// What the service is sent.
#[derive(Debug)]
pub enum ConfigMessage {
    /// Time to look at the table.
    Poll,
    /// What the table said.
    Polled(Result<TableState, StoreError>),
    /// What a peer said.
    Learned {
        /// Entries that follow some version.
        entries: Vec<EntryDoc>,
        /// The whole configuration.
        snapshot: Option<SnapshotDoc>,
    },
    /// Every node of the zone that can be reached was asked, and one at least knew its floor.
    ZoneAsked,
}

/// What was read of the configuration's rows.
#[derive(Debug)]
pub enum TableState {
    /// The head and the log rows that follow the node's version.
    Log {
        /// Newest version.
        head: ConfigVersion,
        /// Rows found.
        entries: Vec<EntryDoc>,
    },
    /// Every entity at the head's version.
    Whole(SnapshotDoc),
}

/// Keeps the configuration in force.
pub struct ConfigKeeper {
    shared: Arc<NodeShared>,
    view: ConfigView,
    is_platform_lost: bool,
}

impl ConfigKeeper {
    /// Opens a keeper that knows nothing.
    pub fn open(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            view: ConfigView::default(),
            is_platform_lost: false,
        }
    }

    fn poll(&self, link: &ServiceLink<ConfigMessage>) {
        let shared = Arc::clone(&self.shared);
        let version = self.view.book.version();
        link.spawn(async move { ConfigMessage::Polled(read_table(&shared, version).await) });
    }

    fn take_table(&mut self, state: TableState) {
        let before = self.view.book.version();
        let is_complete = match state {
            TableState::Log { head, entries } => {
                self.take_entries(entries);
                self.view.book.version() >= head
            }
            TableState::Whole(snapshot) => {
                self.take_snapshot(snapshot);
                true
            }
        };
        let is_floor_new = is_complete && self.view.floor != Some(FloorSource::Platform);
        if is_floor_new {
            self.view.floor = Some(FloorSource::Platform);
        }
        self.publish_if(before, is_floor_new);
    }

    fn take_entries(&mut self, entries: Vec<EntryDoc>) {
        for doc in entries {
            let Ok(entry) = ConfigEntry::try_from(doc.clone()) else {
                log::error!(version = doc.version; "config_entry_unreadable");
                return;
            };
            if self.view.book.apply(entry) {
                self.view.log.push_back(doc);
            }
        }
        let over = self.view.log.len().saturating_sub(LOG_LENGTH);
        self.view.log.drain(..over);
    }

    fn take_snapshot(&mut self, snapshot: SnapshotDoc) {
        let Ok(book) = VersionedConfig::try_from(snapshot) else {
            log::error!("config_snapshot_unreadable");
            return;
        };
        if self.view.book.adopt(book) {
            self.view.log.clear();
        }
    }

    fn publish_if(&mut self, before: ConfigVersion, is_forced: bool) {
        let version = self.view.book.version();
        if version == before && !is_forced {
            return;
        }
        self.view.keys = self
            .view
            .book
            .organisations()
            .values()
            .map(|organisation| (organisation.key_hash.clone(), organisation.id.clone()))
            .collect();
        self.shared.config.publish(self.view.clone());
        self.shared.metrics.set_config_version(version);
        log::info!(version = version, floor = floor_name(self.view.floor); "config_in_force");
    }
}

impl Service for ConfigKeeper {
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
                self.is_platform_lost = result.is_err();
                if let Ok(state) = result {
                    self.take_table(state);
                }
                link.send_after(
                    self.shared.settings.control.config_poll,
                    ConfigMessage::Poll,
                );
            }
            ConfigMessage::Learned { entries, snapshot } => {
                let before = self.view.book.version();
                if let Some(snapshot) = snapshot {
                    self.take_snapshot(snapshot);
                }
                self.take_entries(entries);
                self.publish_if(before, false);
            }
            ConfigMessage::ZoneAsked => {
                // Only a node that cannot reach the platform may trust its zone for the floor.
                if self.view.floor.is_none() && self.is_platform_lost {
                    self.view.floor = Some(FloorSource::Peers);
                    let version = self.view.book.version();
                    self.publish_if(version, true);
                }
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "version": self.view.book.version(),
            "floor": floor_name(self.view.floor),
            "organisations": self.view.book.organisations().len(),
            "deployments": self.view.book.deployments().len(),
            "rules": self.view.book.rules().len(),
            "log_entries": self.view.log.len(),
            "platform_lost": self.is_platform_lost,
        })
    }
}

fn floor_name(floor: Option<FloorSource>) -> &'static str {
    floor.map_or("none", FloorSource::name)
}

/// Reads what follows `version`, or everything when that is too far behind.
async fn read_table(shared: &NodeShared, version: ConfigVersion) -> Result<TableState, StoreError> {
    let mut keys = vec![HEAD_KEY.to_owned()];
    if version > 0 {
        keys.extend((1..=ENTRIES_PER_POLL).map(|step| log_key(version + step)));
    }
    let request = ReadRequest {
        keys,
        prefixes: Vec::new(),
    };
    let reply = shared.platform.table.read(request).await?;
    let head = head_of(&reply);
    if head > version && (version == 0 || head > version + ENTRIES_PER_POLL) {
        return read_whole(shared).await.map(TableState::Whole);
    }
    let entries = reply
        .rows
        .iter()
        .filter(|row| row.key != HEAD_KEY)
        .filter_map(|row| row_value::<LogDoc>(&row.value))
        .map(|log| log.entry)
        .collect();
    Ok(TableState::Log { head, entries })
}

/// Reads every entity and the head at one moment.
///
/// # Errors
///
/// Returns [`StoreError`] when the table gives no answer.
pub async fn read_whole(shared: &NodeShared) -> Result<SnapshotDoc, StoreError> {
    let request = ReadRequest {
        keys: vec![HEAD_KEY.to_owned()],
        prefixes: vec![entity_prefix()],
    };
    let reply = shared.platform.table.read(request).await?;
    let entries = reply
        .rows
        .iter()
        .filter(|row| row.key != HEAD_KEY)
        .filter_map(|row| row_value::<EntryDoc>(&row.value));
    Ok(SnapshotDoc {
        version: head_of(&reply),
        entries: entries.collect(),
    })
}

/// Returns the version that the head row names; zero when there is none.
pub fn head_of(reply: &ReadReply) -> ConfigVersion {
    reply
        .rows
        .iter()
        .find(|row| row.key == HEAD_KEY)
        .and_then(|row| row_value::<HeadDoc>(&row.value))
        .map_or(0, |head| head.version)
}

/// Reads a row's value as a type.
pub fn row_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}
