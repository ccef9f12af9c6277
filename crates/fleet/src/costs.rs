//! Overhead of the control plane on a node: calls, messages, bytes and time, by cause.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use briarswitch_wire::operator::CostLine;

/// Cause of a cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(usize)]
pub enum CostKind {
    /// Write of this node's entry to the registry of nodes.
    RegistryWrite,
    /// Read of the registry of nodes.
    RegistryRead,
    /// Read of a whole table of the store.
    TableWhole,
    /// Long poll of the store for changes.
    TableHeld,
    /// Poll of the store for changes that returns at once.
    TableAtOnce,
    /// Request to another node that reads the store for this one.
    ReaderAsked,
    /// Response to another node for which this one reads the store.
    ReaderAnswered,
    /// Gossip exchange started by this node, with a node of its own zone.
    GossipNear,
    /// Gossip exchange started by this node, with a node of another zone.
    GossipFar,
    /// Gossip exchange started by another node.
    GossipAnswered,
    /// Report of a silent target to the node that controls its group.
    SuspicionTold,
    /// Report to another node of target crashes that this one detected.
    EndTold,
    /// Write or removal of rows about requests that were running when targets crashed.
    SuspectWrite,
    /// Poll of a target's state.
    ReportAsked,
    /// Check of a target at which a run broke.
    EndChecked,
    /// Order sent to a target.
    OrderSent,
    /// Aggregation of the work reported by other nodes.
    WorkFolded,
    /// Rebuild of the routing table.
    TableBuilt,
    /// Control round of the group controller.
    ControlRound,
    /// Probes of several targets, or of one, to find out whether this node reaches any.
    ReachProbed,
    /// Request forwarded to another node.
    RequestForwarded,
    /// Request forwarded by another node.
    ForwardReceived,
    /// Message to the coordinator of a queue.
    QueueTold,
    /// Message of another node for a queue that this one coordinates.
    QueueAnswered,
    /// Request for loads to their coordinator.
    LoadRequested,
    /// Request of another node for loads that this one coordinates.
    LoadAnswered,
}

/// Names of the kinds, in the order of [`CostKind`].
const NAMES: [&str; 26] = [
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
    "reach_probed",
    "request_forwarded",
    "forward_received",
    "queue_told",
    "queue_answered",
    "load_requested",
    "load_answered",
];

/// Totals of one kind since the start.
#[derive(Debug, Default)]
struct CostSum {
    count: AtomicU64,
    bytes: AtomicU64,
    micros: AtomicU64,
}

/// Totals of all kinds since the start.
#[derive(Debug, Default)]
pub struct CostCounters {
    sums: [CostSum; NAMES.len()],
}

impl CostCounters {
    /// Counts one occurrence.
    ///
    /// ```
    /// use briarswitch_fleet::costs::{CostCounters, CostKind};
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

    /// Returns the totals of the kinds that have occurred.
    pub fn lines(&self) -> Vec<CostLine> {
        let sums = NAMES.iter().zip(&self.sums).map(|(name, sum)| CostLine {
            name: (*name).to_owned(),
            count: sum.count.load(Ordering::Relaxed),
            bytes: sum.bytes.load(Ordering::Relaxed),
            micros: sum.micros.load(Ordering::Relaxed),
        });
        sums.filter(|line| line.count > 0).collect()
    }

    /// Returns the totals as one text for the log: count, bytes and microseconds by name.
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
