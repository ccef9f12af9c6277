//! Drives the zone's lease row: determines which table call is due and applies its result.

use briarswitch_core::lease::{LeaseWrite, LeaseWriteResult};
use briarswitch_core::prelude::*;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::platform::{
    EpochDoc, LeaseDoc, ReadReply, ReadRequest, TransactReply, TransactRequest,
};

use crate::lease_rows::read_lease;
use crate::row_keys::{epoch_key, lease_key};
use crate::settings::NodeSettings;

/// Number of times that a node without the lease reads the row per lease duration.
const READS_PER_LEASE: u32 = 6;

/// A table call for the lease row.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseCall {
    /// Reads the lease row and the epoch row.
    Read(ReadRequest),
    /// Writes the lease row.
    Write(TransactRequest),
}

/// Issues one node's calls on its zone's lease row, one at a time.
#[derive(Clone, Debug)]
pub struct LeaseDriver {
    client: LeaseClient,
    node: NodeId,
    zone: ZoneId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    is_call_pending: bool,
    is_leaving: bool,
    last_read: Moment,
    is_unreadable: bool,
    writes: u64,
}

impl LeaseDriver {
    /// Creates a driver that does not hold the lease.
    pub fn new(settings: &NodeSettings, incarnation: Incarnation) -> Self {
        Self {
            client: LeaseClient::new(settings.node.clone(), incarnation, settings.lease),
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            incarnation,
            timing: settings.lease,
            is_call_pending: false,
            is_leaving: false,
            last_read: Moment::ZERO,
            is_unreadable: false,
            writes: 0,
        }
    }

    /// Returns a driver that does not hold the lease, for the same incarnation; its writes continue the numbers of
    /// this one's.
    pub fn renew(&self, settings: &NodeSettings) -> Self {
        Self {
            writes: self.writes,
            is_leaving: self.is_leaving,
            ..Self::new(settings, self.incarnation)
        }
    }

    /// Returns the epoch held at `now`, or `None`.
    pub fn epoch(&self, now: Moment) -> Option<Epoch> {
        self.client.epoch(now)
    }

    /// Returns the remaining time of the lease at `now`.
    pub fn remaining(&self, now: Moment) -> std::time::Duration {
        self.client.remaining(now)
    }

    /// Returns the lease row as last read.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.client.record()
    }

    /// Returns the call that is due at `now`. No further call is returned until its result has been
    /// handled.
    pub fn next_call(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.is_call_pending || self.is_leaving {
            return None;
        }
        let write = self.write_id();
        if let Some(proposal) = self.client.propose(write, now) {
            self.is_call_pending = true;
            return Some(LeaseCall::Write(self.transaction(&proposal)));
        }
        let pause = self.timing.duration / READS_PER_LEASE;
        let is_due = self.client.epoch(now).is_none() && now >= self.last_read + pause;
        if !is_due && !self.client.needs_read() {
            return None;
        }
        self.is_call_pending = true;
        self.last_read = now;
        Some(LeaseCall::Read(ReadRequest {
            keys: vec![lease_key(&self.zone), epoch_key(&self.zone)],
            prefixes: Vec::new(),
        }))
    }

    /// Handles the result of a read. Rows that do not tell the epoch count as no result.
    pub fn handle_read(&mut self, result: Result<ReadReply, StoreError>, now: Moment) {
        self.is_call_pending = false;
        let Ok(reply) = result else {
            return;
        };
        let lease = read_lease(&self.zone, &reply);
        self.note_readable(lease.is_ok());
        if let Ok((record, version)) = lease {
            self.client.observe(record, version, now);
        }
    }

    /// Handles the result of a write.
    pub fn handle_written(&mut self, result: Result<TransactReply, StoreError>, now: Moment) {
        self.is_call_pending = false;
        let outcome = match result {
            Ok(TransactReply::Committed { versions }) => {
                LeaseWriteResult::Written(versions.first().copied().unwrap_or_default())
            }
            Ok(TransactReply::Conflict { .. }) => LeaseWriteResult::Conflict,
            Err(_) => LeaseWriteResult::Lost,
        };
        self.client.record_result(outcome, now);
    }

    /// Releases the lease permanently, and returns the write that publishes the release if the
    /// lease was held.
    pub fn release(&mut self, now: Moment) -> Option<TransactRequest> {
        self.is_leaving = true;
        let write = self.write_id();
        let write = self.client.release(write, now)?;
        Some(self.transaction(&write))
    }

    /// Logs when the lease becomes unreadable.
    fn note_readable(&mut self, is_readable: bool) {
        if !is_readable && !self.is_unreadable {
            log::error!(zone = self.zone.as_str(); "lease_unreadable");
        }
        self.is_unreadable = !is_readable;
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
