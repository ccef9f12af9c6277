//! Usage metering: counted per request, written in numbered batches so that each is charged once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use briarswitch_core::prelude::*;
use briarswitch_kernel::{Service, ServiceLink};
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::operator::UsageRow;
use briarswitch_wire::platform::{TransactReply, UsageBatchDoc};
use indexmap::IndexMap;
use serde_json::{json, Value};

use crate::row_keys::usage_key;
use crate::shared::NodeShared;

/// Name under which the service is registered in the kernel.
pub const USAGE_SERVICE: &str = "usage";

/// Usage since the last batch, by organisation.
#[derive(Debug, Default)]
pub struct UsageMeter {
    rows: Mutex<IndexMap<OrganisationId, UsageRow>>,
}

impl UsageMeter {
    /// Charges one answered request to an organisation.
    ///
    /// ```
    /// use briarswitch_node::usage::UsageMeter;
    ///
    /// let meter = UsageMeter::default();
    /// meter.charge("kayal", 12);
    /// assert_eq!(meter.take()[0].tokens, 12);
    /// ```
    pub fn charge(&self, organisation: &str, tokens: u64) {
        let mut rows = self.lock();
        match rows.get_mut(organisation) {
            Some(row) => {
                row.requests += 1;
                row.tokens += tokens;
            }
            None => {
                let row = UsageRow {
                    organisation: organisation.to_owned(),
                    requests: 1,
                    tokens,
                };
                rows.insert(organisation.to_owned(), row);
            }
        }
    }

    /// Removes and returns the usage charged since the last call.
    pub fn take(&self) -> Vec<UsageRow> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }

    /// Returns whether nothing has been charged since the last batch.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<OrganisationId, UsageRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Messages handled by [`UsageWriter`].
#[derive(Debug)]
pub enum UsageMessage {
    /// Writes the charged usage; scheduled every `control.usage_flush_ms`.
    Flush,
    /// Result of writing a batch.
    Written(Result<TransactReply, StoreError>),
}

/// Writes usage to the table, one numbered batch at a time.
pub struct UsageWriter {
    shared: Arc<NodeShared>,
    sequence: u64,
    pending: Option<UsageBatchDoc>,
    is_writing: bool,
    written: u64,
}

impl UsageWriter {
    /// Creates a writer whose next batch has number 0.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            sequence: 0,
            pending: None,
            is_writing: false,
            written: 0,
        }
    }

    /// Writes the pending batch, or a new one if none is pending.
    ///
    /// A batch keeps its number until the table has accepted it. The write requires that the row
    /// does not exist, so a retry after a lost reply gets a conflict instead of charging twice.
    fn flush(&mut self, link: &ServiceLink<UsageMessage>) {
        if self.is_writing {
            return;
        }
        if self.pending.is_none() {
            let rows = self.shared.usage.take();
            if rows.is_empty() {
                return;
            }
            self.pending = Some(UsageBatchDoc { rows });
        }
        let Some(batch) = &self.pending else {
            return;
        };
        let key = usage_key(
            &self.shared.settings.node,
            self.shared.incarnation,
            self.sequence,
        );
        let request = TransactBuilder::default()
            .check(&key, 0)
            .put(key, batch)
            .build();
        let shared = Arc::clone(&self.shared);
        self.is_writing = true;
        link.spawn(
            async move { UsageMessage::Written(shared.platform.table.transact(request).await) },
        );
    }
}

impl Service for UsageWriter {
    type Message = UsageMessage;

    fn name(&self) -> &'static str {
        USAGE_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<UsageMessage>) {
        link.send_after(
            self.shared.settings.control.usage_flush,
            UsageMessage::Flush,
        );
    }

    fn handle(&mut self, message: UsageMessage, link: &ServiceLink<UsageMessage>) {
        match message {
            UsageMessage::Flush => {
                self.flush(link);
                link.send_after(
                    self.shared.settings.control.usage_flush,
                    UsageMessage::Flush,
                );
            }
            UsageMessage::Written(result) => {
                self.is_writing = false;
                // A conflict means that an earlier write of this batch took effect and its reply
                // was lost.
                if result.is_ok() {
                    self.pending = None;
                    self.sequence += 1;
                    self.written += 1;
                }
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "batches_written": self.written,
            "pending_rows": self.pending.as_ref().map_or(0, |batch| batch.rows.len()),
        })
    }

    fn renew(&self) -> Self {
        Self {
            sequence: self.sequence,
            pending: self.pending.clone(),
            written: self.written,
            ..Self::new(Arc::clone(&self.shared))
        }
    }
}
