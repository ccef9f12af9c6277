//! Edits of the configuration by conditional writes, and the settling of edits whose answer was
//! lost.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::config::{EntryDoc, ValueDoc};
use briarswitch_wire::operator::{EditReply, EditRequest, FindingDoc, SettleReply};
use briarswitch_wire::platform::{HeadDoc, LogDoc, ReadReply, ReadRequest, RowDoc, TransactReply};
use serde_json::Value;

use crate::config::{head_version, parse_row, read_snapshot};
use crate::row_keys::{entity_key, log_key, log_prefix, void_key, HEAD_KEY};
use crate::shared::NodeShared;

/// Number of newest log rows kept in the table.
const MAX_LOG_ROWS: u64 = 1024;
/// Most attempts to write an edit, or to settle one, when other edits move the head in between.
const MAX_EDIT_ATTEMPTS: usize = 64;

/// Writes operators' edits of the configuration.
pub struct ConfigEditor {
    shared: Arc<NodeShared>,
}

/// Rows that an edit depends on, from one consistent read.
struct EditContext {
    head: ConfigVersion,
    head_row: RowVersion,
    entity: Option<EntryDoc>,
    entity_row: RowVersion,
    is_void: bool,
}

impl ConfigEditor {
    /// Returns an editor that writes through the node's platform.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        Self { shared }
    }

    /// Writes one edit; also returns its log entry when it was accepted.
    ///
    /// All edits contend for the head row. When an edit of another entity is written first, this
    /// one is checked against the resulting configuration and tried again.
    pub async fn edit(&self, request: EditRequest) -> (EditReply, Option<EntryDoc>) {
        let mut sent: Vec<ConfigVersion> = Vec::new();
        for _ in 0..MAX_EDIT_ATTEMPTS {
            match self.try_edit(&request, &mut sent).await {
                Ok(Some(answer)) => return answer,
                Ok(None) => {}
                Err(_) => break,
            }
        }
        let write = request.write;
        (EditReply::Unknown { write }, None)
    }

    async fn try_edit(
        &self,
        request: &EditRequest,
        sent: &mut Vec<ConfigVersion>,
    ) -> Result<Option<(EditReply, Option<EntryDoc>)>, StoreError> {
        let context = self.read_context(request).await?;
        // After a conflict or a lost answer, an earlier attempt of this edit may have been written.
        if let Some(entry) = self.find_written(request, sent).await? {
            let version = entry.version;
            return Ok(Some((EditReply::Accepted { version }, Some(entry))));
        }
        if let Some(reply) = reject(request, &context) {
            return Ok(Some((reply, None)));
        }
        let findings = self.findings(request, context.head).await?;
        if !findings.is_empty() {
            return Ok(Some((EditReply::Refused { findings }, None)));
        }
        self.write(request, &context, sent).await
    }

    async fn write(
        &self,
        request: &EditRequest,
        context: &EditContext,
        sent: &mut Vec<ConfigVersion>,
    ) -> Result<Option<(EditReply, Option<EntryDoc>)>, StoreError> {
        let version = context.head + 1;
        let entry = EntryDoc {
            version,
            kind: request.kind,
            id: request.id.clone(),
            value: request.value.clone(),
        };
        let key = entity_key(request.kind, &request.id);
        let log = LogDoc {
            entry: entry.clone(),
            write: request.write.clone(),
        };
        let mut builder = TransactBuilder::default()
            .check(HEAD_KEY, context.head_row)
            .check(&key, context.entity_row)
            .check(void_key(&request.write), 0)
            .put(HEAD_KEY, &HeadDoc { version })
            .put(log_key(version), &log);
        builder = match request.value {
            ValueDoc::Deleted => builder.delete(key),
            _ => builder.put(key, &entry),
        };
        if version > MAX_LOG_ROWS {
            builder = builder.delete(log_key(version - MAX_LOG_ROWS));
        }
        sent.push(version);
        match self.shared.platform.table.transact(builder.build()).await {
            Ok(TransactReply::Committed { .. }) => {
                Ok(Some((EditReply::Accepted { version }, Some(entry))))
            }
            Ok(TransactReply::Conflict { .. }) | Err(StoreError::NoResponse) => Ok(None),
            Err(StoreError::Refused(text)) => {
                log::warn!(text = text.as_str(); "config_edit_turned_away");
                Ok(None)
            }
        }
    }

    async fn read_context(&self, request: &EditRequest) -> Result<EditContext, StoreError> {
        let key = entity_key(request.kind, &request.id);
        let void = void_key(&request.write);
        let read = ReadRequest {
            keys: vec![HEAD_KEY.to_owned(), key.clone(), void.clone()],
            prefixes: Vec::new(),
        };
        let reply = self.shared.platform.table.read(read).await?;
        let entity = find_row(&reply, &key);
        Ok(EditContext {
            head: head_version(&reply)?,
            head_row: find_row(&reply, HEAD_KEY).map_or(0, |row| row.version),
            entity: entity.and_then(|row| parse_row(&row.value)),
            entity_row: entity.map_or(0, |row| row.version),
            is_void: find_row(&reply, &void).is_some(),
        })
    }

    /// Looks for this edit in the log, under the versions that its attempts were sent with.
    async fn find_written(
        &self,
        request: &EditRequest,
        sent: &[ConfigVersion],
    ) -> Result<Option<EntryDoc>, StoreError> {
        if sent.is_empty() {
            return Ok(None);
        }
        let read = ReadRequest {
            keys: sent.iter().map(|version| log_key(*version)).collect(),
            prefixes: Vec::new(),
        };
        let reply = self.shared.platform.table.read(read).await?;
        Ok(find_write(&reply, &request.write))
    }

    /// Checks the configuration that the edit would result in, based on the version at the head.
    async fn findings(
        &self,
        request: &EditRequest,
        head: ConfigVersion,
    ) -> Result<Vec<FindingDoc>, StoreError> {
        let entry = EntryDoc {
            version: head + 1,
            kind: request.kind,
            id: request.id.clone(),
            value: request.value.clone(),
        };
        let entry = match ConfigEntry::try_from(entry) {
            Ok(entry) => entry,
            Err(error) => {
                let finding = Finding::new("value", error.to_string());
                return Ok(vec![finding.into()]);
            }
        };
        let view = self.shared.config.load();
        let findings = if view.config.version() == head {
            view.config.check_edit(&entry.key, &entry.value)
        } else {
            let snapshot = read_snapshot(&self.shared).await?;
            let book = VersionedConfig::try_from(snapshot).unwrap_or_default();
            book.check_edit(&entry.key, &entry.value)
        };
        Ok(findings.into_iter().map(FindingDoc::from).collect())
    }

    /// Settles an edit whose answer was lost: reports it as accepted or makes it void.
    ///
    /// If the edit is not in the log, its void row is written, on the condition that the head has
    /// not moved since. The edit's own transaction requires that the void row is absent, so it can
    /// not take effect any more, however late it arrives.
    pub async fn settle(&self, write: &str) -> SettleReply {
        for _ in 0..MAX_EDIT_ATTEMPTS {
            match self.try_settle(write).await {
                Ok(Some(reply)) => return reply,
                Ok(None) => {}
                Err(_) => return SettleReply::Unknown,
            }
        }
        SettleReply::Unknown
    }

    async fn try_settle(&self, write: &str) -> Result<Option<SettleReply>, StoreError> {
        let void = void_key(write);
        let read = ReadRequest {
            keys: vec![HEAD_KEY.to_owned(), void.clone()],
            prefixes: vec![log_prefix()],
        };
        let reply = self.shared.platform.table.read(read).await?;
        if let Some(entry) = find_write(&reply, write) {
            let version = entry.version;
            return Ok(Some(SettleReply::Accepted { version }));
        }
        if find_row(&reply, &void).is_some() {
            return Ok(Some(SettleReply::Void));
        }
        let head_row = find_row(&reply, HEAD_KEY).map_or(0, |row| row.version);
        let request = TransactBuilder::default()
            .check(HEAD_KEY, head_row)
            .check(&void, 0)
            .put(void, &Value::Bool(true))
            .build();
        match self.shared.platform.table.transact(request).await {
            Ok(TransactReply::Committed { .. }) => Ok(Some(SettleReply::Void)),
            Ok(TransactReply::Conflict { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}

fn reject(request: &EditRequest, context: &EditContext) -> Option<EditReply> {
    if context.is_void {
        let text = "this write was settled as void; send it anew";
        return Some(refusal("write", text));
    }
    if context.head == ConfigVersion::MAX {
        let text = "no version is left after the configuration's";
        return Some(refusal("version", text));
    }
    let version = context.entity.as_ref().map_or(0, |entry| entry.version);
    if version != request.base {
        let current = context.entity.as_ref();
        return Some(EditReply::Conflict {
            version,
            current: current.and_then(|entry| serde_json::to_value(&entry.value).ok()),
            wanted: serde_json::to_value(&request.value).unwrap_or_default(),
        });
    }
    None
}

fn refusal(place: &str, text: &str) -> EditReply {
    let finding = Finding::new(place, text);
    EditReply::Refused {
        findings: vec![finding.into()],
    }
}

fn find_row<'a>(reply: &'a ReadReply, key: &str) -> Option<&'a RowDoc> {
    reply.rows.iter().find(|row| row.key == key)
}

fn find_write(reply: &ReadReply, write: &str) -> Option<EntryDoc> {
    reply
        .rows
        .iter()
        .filter_map(|row| parse_row::<LogDoc>(&row.value))
        .find(|log| log.write == write)
        .map(|log| log.entry)
}
