//! What a node spends to know what it knows: calls, messages, bytes and time, by cause.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use briarswitch_wire::operator::CostLine;

/// Cause of a cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(usize)]
pub enum CostKind {
    /// This node's entry was written to the registry.
    RegistryWrite,
    /// The registry was asked.
    RegistryRead,
    /// A whole table of the store was read.
    TableWhole,
    /// The store was asked for changes, with the question held open.
    TableHeld,
    /// The store was asked for changes, with an answer at once.
    TableAtOnce,
    /// Another node was asked what it asks of the store.
    ReaderAsked,
    /// Another node was answered what this one asks of the store.
    ReaderAnswered,
    /// A message to a node of the own zone and its answer.
    GossipNear,
    /// A message to a node of another zone and its answer.
    GossipFar,
    /// A message of another node was answered.
    GossipAnswered,
    /// The node that gives a group orders was told of a silent target.
    SuspicionTold,
    /// A node was told of ends that this one saw.
    EndTold,
    /// Rows on requests under which targets ended were written or dropped.
    SuspectWrite,
    /// A target was asked for its state.
    ReportAsked,
    /// A target at which a run broke was looked at.
    EndChecked,
    /// A target was given an order.
    OrderSent,
    /// What others told was summed up.
    WorkFolded,
    /// The table of targets was built anew.
    TableBuilt,
    /// A round of the controller.
    ControlRound,
}

/// Names in order of [`CostKind`].
const NAMES: [&str; 19] = [
    "registry_write",
    "registry_read",
    "table_whole",
    "table_held",
    "table_at_once",
    "reader_asked",
    "reader_answered",
    "gossip_near",
    "gossip_far",
    "gossip_answered",
    "suspicion_told",
    "end_told",
    "suspect_write",
    "report_asked",
    "end_checked",
    "order_sent",
    "work_folded",
    "table_built",
    "control_round",
];

/// One kind's sums since the start.
#[derive(Debug, Default)]
struct CostSum {
    count: AtomicU64,
    bytes: AtomicU64,
    micros: AtomicU64,
}

/// Sums of all kinds.
#[derive(Debug, Default)]
pub struct CostCounters {
    sums: [CostSum; NAMES.len()],
}

impl CostCounters {
    /// Counts one occurrence.
    ///
    /// ```
    /// use briarswitch_fleet::costs::{CostKind, CostCounters};
    ///
    /// let costs = CostCounters::default();
    /// costs.count(CostKind::OrderSent);
    /// assert_eq!(costs.lines()[0].name, "order_sent");
    /// ```
    pub fn count(&self, kind: CostKind) {
        self.add(kind, 0, Duration::ZERO);
    }

    /// Counts one occurrence with its bytes.
    pub fn count_bytes(&self, kind: CostKind, bytes: usize) {
        self.add(kind, bytes, Duration::ZERO);
    }

    /// Counts one occurrence with the time it took.
    pub fn count_time(&self, kind: CostKind, took: Duration) {
        self.add(kind, 0, took);
    }

    fn add(&self, kind: CostKind, bytes: usize, took: Duration) {
        let sum = &self.sums[kind as usize];
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        sum.count.fetch_add(1, Ordering::Relaxed);
        sum.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        sum.micros.fetch_add(micros, Ordering::Relaxed);
    }

    /// Returns the kinds that occurred.
    pub fn lines(&self) -> Vec<CostLine> {
        let sums = NAMES.iter().zip(&self.sums).map(|(name, sum)| CostLine {
            name: (*name).to_owned(),
            count: sum.count.load(Ordering::Relaxed),
            bytes: sum.bytes.load(Ordering::Relaxed),
            micros: sum.micros.load(Ordering::Relaxed),
        });
        sums.filter(|line| line.count > 0).collect()
    }

    /// Returns the sums as one text for the log: count, bytes and microseconds by name.
    pub fn summary(&self) -> String {
        let lines = self.lines().into_iter();
        let texts: Vec<String> = lines
            .map(|line| {
                format!(
                    "{}:{}/{}/{}",
                    line.name, line.count, line.bytes, line.micros
                )
            })
            .collect();
        texts.join(",")
    }
}
