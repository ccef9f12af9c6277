//! The zone controller's lease: one row in the table service, kept by conditional writes.
//!
//! No two clocks are compared. The holder counts its lease from before it sent the renewing write;
//! a challenger counts from when it saw the row last change. Both use the boot-time clock, which
//! goes on counting while a machine is suspended (Gray and Cheriton, "Leases", 1989).

use std::time::Duration;

use crate::id::{Epoch, Incarnation, Moment, NodeId, RowVersion, WriteId};

/// Durations of the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// Time a renewal is good for.
    pub duration: Duration,
    /// Time the holder gives up early and a challenger waits longer.
    pub margin: Duration,
    /// Time after which the holder renews.
    pub renew: Duration,
}

/// What the lease row says.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseRecord {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Life of that node that holds it.
    pub incarnation: Incarnation,
    /// Rises by one with each change of holder.
    pub epoch: Epoch,
    /// Write that put the row there.
    pub write: WriteId,
}

impl LeaseRecord {
    /// Returns whether the last holder gave the lease up, so that nobody has to be waited out.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}

/// A write the keeper asks for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseWrite {
    /// Row to write.
    pub record: LeaseRecord,
    /// Version that the row must still have.
    pub expected: RowVersion,
    /// Whether the holder changes, so that the epoch row has to change too.
    pub takes_over: bool,
}

/// What the table service said to a write.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseWriteResult {
    /// The write is in force at this version.
    Written(RowVersion),
    /// Another write came first.
    Conflict,
    /// No answer came, so the write may or may not be in force.
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

/// One node's part in the contest for its zone's lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseClient {
    node: NodeId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    seen: Option<ObservedRow>,
    pending: Option<PendingWrite>,
    held: Option<(Epoch, Moment)>,
    renewed: Moment,
}

impl LeaseClient {
    /// Opens a keeper that holds nothing.
    pub fn new(node: NodeId, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            node,
            incarnation,
            timing,
            seen: None,
            pending: None,
            held: None,
            renewed: Moment::ZERO,
        }
    }

    /// Returns the epoch held at `now`, or `None`.
    ///
    /// Every order calls this right before it is sent: a process that was paused finds its lease
    /// over here, whatever it believed before the pause.
    pub fn epoch(&self, now: Moment) -> Option<Epoch> {
        self.held
            .filter(|(_, until)| now < *until)
            .map(|(epoch, _)| epoch)
    }

    /// Returns how long the lease is still held at `now`.
    pub fn remaining(&self, now: Moment) -> Duration {
        self.held
            .map(|(_, until)| until.saturating_sub(now))
            .unwrap_or_default()
    }

    /// Returns the row as last read.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().and_then(|seen| seen.record.as_ref())
    }

    /// Returns whether a write's fate is open and the row has to be read.
    pub fn needs_read(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|write| write.is_uncertain)
    }

    /// Takes in what was read of the row.
    ///
    /// A read settles a write whose answer was lost: if the row carries its write id it took
    /// effect, and the lease counts from when that write was sent.
    pub fn observe(&mut self, record: Option<LeaseRecord>, version: RowVersion, now: Moment) {
        self.resolve_pending(record.as_ref());
        let is_changed = self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.version != version);
        if is_changed {
            self.drop_if_not_holder(record.as_ref());
            self.seen = Some(ObservedRow {
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
        let seen = self.seen.as_ref()?;
        let is_mine = seen.record.as_ref().is_some_and(|record| self.owns(record));
        let is_due = if is_mine {
            now >= self.renewed + self.timing.renew || self.epoch(now).is_none()
        } else {
            seen.record.as_ref().is_none_or(LeaseRecord::is_released)
                || now >= seen.since + self.timing.duration + self.timing.margin
        };
        if !is_due {
            return None;
        }
        let current = seen.record.as_ref().map_or(0, |record| record.epoch);
        let record = LeaseRecord {
            holder: self.node.clone(),
            incarnation: self.incarnation,
            epoch: if is_mine { current } else { current + 1 },
            write,
        };
        let proposal = LeaseWrite {
            record: record.clone(),
            expected: seen.version,
            takes_over: !is_mine,
        };
        self.pending = Some(PendingWrite {
            record,
            sent: now,
            is_uncertain: false,
        });
        Some(proposal)
    }

    /// Takes in what became of the write that was sent last.
    pub fn record_result(&mut self, answer: LeaseWriteResult, now: Moment) {
        match answer {
            LeaseWriteResult::Written(version) => {
                let Some(write) = self.pending.take() else {
                    return;
                };
                self.hold(&write);
                self.seen = Some(ObservedRow {
                    record: Some(write.record),
                    version,
                    since: now,
                });
            }
            LeaseWriteResult::Conflict => {
                // A conflict may be this node's own earlier write, applied without an answer, so
                // the row is read again before anything is concluded from it.
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

    /// Gives the lease up and returns the write that tells the others, if it was held.
    pub fn release(&mut self, write: WriteId, now: Moment) -> Option<LeaseWrite> {
        let epoch = self.epoch(now)?;
        self.held = None;
        let seen = self.seen.as_ref()?;
        Some(LeaseWrite {
            record: LeaseRecord {
                holder: NodeId::new(),
                incarnation: 0,
                epoch,
                write,
            },
            expected: seen.version,
            takes_over: false,
        })
    }

    fn owns(&self, record: &LeaseRecord) -> bool {
        record.holder == self.node && record.incarnation == self.incarnation
    }

    fn resolve_pending(&mut self, record: Option<&LeaseRecord>) {
        let Some(write) = self.pending.take_if(|write| write.is_uncertain) else {
            return;
        };
        if record.is_some_and(|found| found.write == write.record.write) {
            self.hold(&write);
        }
    }

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
