//! Usage metering: counted per request, written in numbered batches so that each is charged once.

use std::collections::VecDeque;
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
/// Most batches that wait to be written; usage beyond them stays in the meter, where it takes no
/// more room per organisation.
const MAX_PENDING_BATCHES: usize = 16;

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

/// Usage that is to be written under a number of its own.
#[derive(Clone, Debug)]
struct NumberedBatch {
    sequence: u64,
    doc: UsageBatchDoc,
    is_refused: bool,
}

/// Writes usage to the table, one numbered batch at a time.
pub struct UsageWriter {
    shared: Arc<NodeShared>,
    next_sequence: u64,
    /// Batches not known to be written; those that the table has refused come last.
    pending: VecDeque<NumberedBatch>,
    is_writing: bool,
    written: u64,
}

impl UsageWriter {
    /// Creates a writer whose next batch has number 0.
    pub fn new(shared: Arc<NodeShared>) -> Self {
        Self {
            shared,
            next_sequence: 0,
            pending: VecDeque::new(),
            is_writing: false,
            written: 0,
        }
    }

    /// Moves the charged usage to a new batch, unless there is a batch that was not refused.
    fn take_usage(&mut self) {
        let has_fresh = self.pending.iter().any(|batch| !batch.is_refused);
        if has_fresh || self.pending.len() >= MAX_PENDING_BATCHES {
            return;
        }
        let rows = self.shared.usage.take();
        if rows.is_empty() {
            return;
        }
        self.pending.push_front(NumberedBatch {
            sequence: self.next_sequence,
            doc: UsageBatchDoc { rows },
            is_refused: false,
        });
        self.next_sequence += 1;
    }

    /// Writes the first pending batch.
    ///
    /// A batch keeps its number and its rows until the table has accepted it. The write requires
    /// that the row does not exist, so a retry after a lost reply gets a conflict instead of
    /// charging twice.
    fn write_next(&mut self, link: &ServiceLink<UsageMessage>) {
        let Some(batch) = self.pending.front() else {
            return;
        };
        let settings = &self.shared.settings;
        let key = usage_key(&settings.node, self.shared.incarnation, batch.sequence);
        let request = TransactBuilder::default()
            .check(&key, 0)
            .put(key, &batch.doc)
            .build();
        let shared = Arc::clone(&self.shared);
        self.is_writing = true;
        link.spawn(
            async move { UsageMessage::Written(shared.platform.table.transact(request).await) },
        );
    }

    /// Handles the result of writing the first pending batch.
    ///
    /// A refused batch waits behind the others, as the table may take it later; each write that
    /// succeeds is followed by that of the next batch.
    fn finish(
        &mut self,
        result: Result<TransactReply, StoreError>,
        link: &ServiceLink<UsageMessage>,
    ) {
        self.is_writing = false;
        let Some(mut batch) = self.pending.pop_front() else {
            return;
        };
        match result {
            // A conflict means that an earlier write of this batch took effect and its reply was
            // lost.
            Ok(_) => {
                self.written += 1;
                self.write_next(link);
            }
            Err(StoreError::NoResponse) => self.pending.push_front(batch),
            Err(StoreError::Refused(text)) => {
                if !batch.is_refused {
                    log::warn!(batch = batch.sequence, text = text.as_str(); "usage_refused");
                }
                batch.is_refused = true;
                self.pending.push_back(batch);
            }
        }
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
                if !self.is_writing {
                    self.take_usage();
                    self.write_next(link);
                }
                link.send_after(
                    self.shared.settings.control.usage_flush,
                    UsageMessage::Flush,
                );
            }
            UsageMessage::Written(result) => self.finish(result, link),
        }
    }

    fn dump(&self) -> Value {
        let rows = self.pending.iter().map(|batch| batch.doc.rows.len());
        json!({
            "batches_written": self.written,
            "pending_rows": rows.sum::<usize>(),
        })
    }

    fn renew(&self) -> Self {
        Self {
            next_sequence: self.next_sequence,
            pending: self.pending.clone(),
            written: self.written,
            ..Self::new(Arc::clone(&self.shared))
        }
    }
}
