//! Lease of a zone's controller: one row in the table service, maintained by conditional writes.
//!
//! Clocks of different machines are never compared. The holder measures its lease from before it
//! sent the renewing write; a challenger measures from when it saw the row change last. Both use
//! the boot-time clock, which keeps counting while a machine is suspended (Gray and Cheriton,
//! "Leases", 1989).

use std::time::Duration;

use crate::id::{Epoch, Incarnation, Moment, NodeId, RowVersion, WriteId};

/// Durations that govern the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// Validity of a renewal.
    pub duration: Duration,
    /// Safety margin: the holder stops this much earlier, a challenger waits this much longer.
    pub margin: Duration,
    /// Interval after which the holder renews.
    pub renew: Duration,
}

/// Content of the lease row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseRecord {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Incremented with each change of holder.
    pub epoch: Epoch,
    /// Write that stored this row.
    pub write: WriteId,
}

impl LeaseRecord {
    /// Returns whether the last holder has released the lease, so that a challenger need not wait.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}

/// Conditional write that the client wants to send.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseWrite {
    /// Row to write.
    pub record: LeaseRecord,
    /// Version that the row must still have.
    pub expected: RowVersion,
    /// Whether the holder changes, in which case the epoch row must change too.
    pub takes_over: bool,
}

/// Result of a write to the table service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseWriteResult {
    /// The write was applied with this version.
    Written(RowVersion),
    /// Another write came first.
    Conflict,
    /// No response arrived; the write may or may not have been applied.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingWrite {
    record: LeaseRecord,
    sent: Moment,
    is_uncertain: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedRow {
    record: Option<LeaseRecord>,
    version: RowVersion,
    since: Moment,
}

/// One node's state in the contest for its zone's lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseClient {
    node: NodeId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    last_read: Option<ObservedRow>,
    pending: Option<PendingWrite>,
    held: Option<(Epoch, Moment)>,
    renewed: Moment,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    pub fn new(node: NodeId, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            node,
            incarnation,
            timing,
            last_read: None,
            pending: None,
            held: None,
            renewed: Moment::ZERO,
        }
    }

    /// Returns the epoch held at `now`, or `None`.
    ///
    /// Must be checked immediately before each order is sent, so that a process that was paused
    /// notices that its lease has expired meanwhile.
    pub fn epoch(&self, now: Moment) -> Option<Epoch> {
        self.held
            .filter(|(_, until)| now < *until)
            .map(|(epoch, _)| epoch)
    }

    /// Returns the remaining validity of the lease at `now`.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.held
            .map(|(_, until)| until.saturating_sub(now))
            .unwrap_or_default()
    }

    /// Returns the row as last read.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.last_read
            .as_ref()
            .and_then(|last_read| last_read.record.as_ref())
    }

    /// Returns whether the result of a write is unknown, so that the row must be read.
    pub fn needs_read(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|write| write.is_uncertain)
    }

    /// Processes a read of the row.
    ///
    /// A read resolves a write whose response was lost: if the row carries its write id, the write
    /// was applied, and the lease counts from when it was sent.
    pub fn observe(&mut self, record: Option<LeaseRecord>, version: RowVersion, now: Moment) {
        self.resolve_pending(record.as_ref());
        let is_changed = self
            .last_read
            .as_ref()
            .is_none_or(|last_read| last_read.version != version);
        if is_changed {
            self.drop_if_not_holder(record.as_ref());
            self.last_read = Some(ObservedRow {
                record,
                version,
                since: now,
            });
        }
    }

    /// Returns the write to send at `now`, if any.
    pub fn propose(&mut self, write: WriteId, now: Moment) -> Option<LeaseWrite> {
        if self.pending.is_some() {
            return None;
        }
        let last_read = self.last_read.as_ref()?;
        let is_mine = last_read
            .record
            .as_ref()
            .is_some_and(|record| self.owns(record));
        let is_due = if is_mine {
            now >= self.renewed + self.timing.renew || self.epoch(now).is_none()
        } else {
            last_read
                .record
                .as_ref()
                .is_none_or(LeaseRecord::is_released)
                || now >= last_read.since + self.timing.duration + self.timing.margin
        };
        if !is_due {
            return None;
        }
        let current = last_read.record.as_ref().map_or(0, |record| record.epoch);
        let record = LeaseRecord {
            holder: self.node.clone(),
            incarnation: self.incarnation,
            epoch: if is_mine { current } else { current + 1 },
            write,
        };
        let proposal = LeaseWrite {
            record: record.clone(),
            expected: last_read.version,
            takes_over: !is_mine,
        };
        self.pending = Some(PendingWrite {
            record,
            sent: now,
            is_uncertain: false,
        });
        Some(proposal)
    }

    /// Processes the result of the last write.
    pub fn record_result(&mut self, result: LeaseWriteResult, now: Moment) {
        match result {
            LeaseWriteResult::Written(version) => {
                let Some(write) = self.pending.take() else {
                    return;
                };
                self.hold(&write);
                self.last_read = Some(ObservedRow {
                    record: Some(write.record),
                    version,
                    since: now,
                });
            }
            LeaseWriteResult::Conflict => {
                // The conflict may be with this node's own earlier write, which was applied
                // although its response was lost. The row is therefore read again before drawing
                // conclusions.
                if let Some(write) = self.pending.as_mut() {
                    write.is_uncertain = true;
                }
            }
            LeaseWriteResult::Lost => {
                if let Some(write) = self.pending.as_mut() {
                    write.is_uncertain = true;
                }
            }
        }
    }

    /// Stops holding the lease and, if it was held, returns the write that releases it for others.
    pub fn release(&mut self, write: WriteId, now: Moment) -> Option<LeaseWrite> {
        let epoch = self.epoch(now)?;
        self.held = None;
        let last_read = self.last_read.as_ref()?;
        Some(LeaseWrite {
            record: LeaseRecord {
                holder: NodeId::new(),
                incarnation: 0,
                epoch,
                write,
            },
            expected: last_read.version,
            takes_over: false,
        })
    }

    fn owns(&self, record: &LeaseRecord) -> bool {
        record.holder == self.node && record.incarnation == self.incarnation
    }

    /// Resolves a write of unknown result by the row as read.
    fn resolve_pending(&mut self, record: Option<&LeaseRecord>) {
        let Some(write) = self.pending.take_if(|write| write.is_uncertain) else {
            return;
        };
        if record.is_some_and(|found| found.write == write.record.write) {
            self.hold(&write);
        }
    }

    /// Holds the lease, counted from when the confirmed write was sent.
    fn hold(&mut self, write: &PendingWrite) {
        let until = write.sent + self.timing.duration - self.timing.margin;
        self.held = Some((write.record.epoch, until));
        self.renewed = write.sent;
    }

    fn drop_if_not_holder(&mut self, record: Option<&LeaseRecord>) {
        let is_mine = record.is_some_and(|found| self.owns(found));
        if !is_mine {
            self.held = None;
        }
    }
}
