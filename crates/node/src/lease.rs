//! Keeps the zone's lease row: which call to the table is due, and what its answer means.

use briarswitch_core::lease::{LeaseWrite, LeaseWriteResult};
use briarswitch_core::prelude::*;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::platform::{
    EpochDoc, LeaseDoc, ReadReply, ReadRequest, TransactReply, TransactRequest,
};

use crate::config::parse_row;
use crate::row_keys::{epoch_key, lease_key};
use crate::settings::NodeSettings;

/// Reads of the row by a challenger in the time of one lease.
const READS_PER_LEASE: u32 = 6;

/// A call to the table that is due.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseCall {
    /// The row has to be read.
    Read(ReadRequest),
    /// The row has to be written.
    Write(TransactRequest),
}

/// One node's dealings with its zone's lease row, one call at a time.
#[derive(Clone, Debug)]
pub struct LeaseTender {
    keeper: LeaseClient,
    node: NodeId,
    zone: ZoneId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    is_busy: bool,
    is_leaving: bool,
    last_read: Moment,
    writes: u64,
}

impl LeaseTender {
    /// Opens a tender that holds nothing.
    pub fn open(settings: &NodeSettings, incarnation: Incarnation) -> Self {
        Self {
            keeper: LeaseClient::new(settings.node.clone(), incarnation, settings.lease),
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation,
            timing: settings.lease,
            is_busy: false,
            is_leaving: false,
            last_read: Moment::ZERO,
            writes: 0,
        }
    }

    /// Returns the epoch held at `now`, or `None`.
    pub fn epoch(&self, now: Moment) -> Option<Epoch> {
        self.keeper.epoch(now)
    }

    /// Returns how long the lease is still held at `now`.
    pub fn remaining(&self, now: Moment) -> std::time::Duration {
        self.keeper.remaining(now)
    }

    /// Returns the row as last read.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.keeper.record()
    }

    /// Returns the call that is due at `now`; its answer has to be taken before the next one.
    pub fn next_call(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.is_busy || self.is_leaving {
            return None;
        }
        let write = self.write_id();
        if let Some(proposal) = self.keeper.propose(write, now) {
            self.is_busy = true;
            return Some(LeaseCall::Write(self.transaction(&proposal)));
        }
        let pause = self.timing.duration / READS_PER_LEASE;
        let is_due = self.keeper.epoch(now).is_none() && now >= self.last_read + pause;
        if !is_due && !self.keeper.needs_read() {
            return None;
        }
        self.is_busy = true;
        self.last_read = now;
        Some(LeaseCall::Read(ReadRequest {
            keys: vec![lease_key(&self.zone)],
            prefixes: Vec::new(),
        }))
    }

    /// Takes in what was read.
    pub fn take_read(&mut self, result: Result<ReadReply, StoreError>, now: Moment) {
        self.is_busy = false;
        let Ok(reply) = result else {
            return;
        };
        let row = reply.rows.first();
        let record = row
            .and_then(|row| parse_row::<LeaseDoc>(&row.value))
            .map(LeaseRecord::from);
        let version = row.map_or(0, |row| row.version);
        self.keeper.observe(record, version, now);
    }

    /// Takes in what became of a write.
    pub fn take_written(&mut self, result: Result<TransactReply, StoreError>, now: Moment) {
        self.is_busy = false;
        let answer = match result {
            Ok(TransactReply::Committed { versions }) => {
                LeaseWriteResult::Written(versions.first().copied().unwrap_or_default())
            }
            Ok(TransactReply::Conflict { .. }) => LeaseWriteResult::Conflict,
            Err(_) => LeaseWriteResult::Lost,
        };
        self.keeper.record_result(answer, now);
    }

    /// Gives the lease up for good and returns the write that tells the others, if it was held.
    pub fn release(&mut self, now: Moment) -> Option<TransactRequest> {
        self.is_leaving = true;
        let write = self.write_id();
        let write = self.keeper.release(write, now)?;
        Some(self.transaction(&write))
    }

    fn write_id(&mut self) -> WriteId {
        self.writes += 1;
        format!("{}-{}-{}", self.node, self.incarnation, self.writes)
    }

    fn transaction(&self, write: &LeaseWrite) -> TransactRequest {
        let key = lease_key(&self.zone);
        let mut builder = TransactBuilder::default()
            .check(&key, write.expected)
            .put(key, &LeaseDoc::from(write.record.clone()));
        if write.takes_over {
            let doc = EpochDoc {
                epoch: write.record.epoch,
                holder: write.record.holder.clone(),
            };
            builder = builder.put(epoch_key(&self.zone), &doc);
        }
        builder.build()
    }
}
