//! Distributes crash reports, so that every node knows which requests were running when targets
//! crashed.
//!
//! Retries of a request may arrive at any node, so no single node sees all crashes that it causes.
//! Each crash is reported to the two nodes that rank first for the request, which thus see all of
//! its crashes. Requests whose crashes are unlikely to be a coincidence are written to a table of
//! the store, which every node follows, including nodes that reach no other node and nodes that
//! have just started. A node that reaches no other node writes the crashes that it sees itself.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::crash::{
    ClearReport, CrashRate, CrashReport, CrashVerdict, CrashedTarget, StoreMillis,
};
use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::*;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_kernel::{Service, ServiceLink};
use briarswitch_membership::NodeEntry;
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};

use crate::ports::{FeedMark, SourceError, SuspectChange, SuspectKey, SuspectRow};
use crate::run_info::RunInfo;
use crate::source_health::{retry_delay, SourceHealth};
use crate::suspect_doc::SuspectDoc;
use crate::suspect_host::{SuspectEvent, SuspectHost};
use crate::suspect_table::{SuspectBatch, SuspectTable};
use crate::verdict_log::VerdictLog;

/// Path at which a node receives crash reports.
pub const SUSPECT_PATH: &str = "/suspects";
/// Nodes that receive each crash report; one of them may fail.
const HOLDERS_PER_REQUEST: usize = 2;
/// Time-out of a report to a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Probability of a coincidence, in thousandths, above which a crash says too little to be counted.
const MAX_CHANCE_PERMILLE: u16 = 300;
/// Maximum wait of a long poll for changes of the table.
///
/// A connection that fell silent is noticed after this time and the response time-out, and every
/// node has to know of a crash within three seconds.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(2_000);
/// Delay per rank before a row is written: the second holder, and after it the node that saw the
/// crash, give those before them time to write it.
const WRITE_STAGGER: Duration = Duration::from_millis(250);
/// Interval between checks for rows to write or delete.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the crash rate of targets is sampled.
const CRASH_RATE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum delay of an objection.
const MAX_OBJECTION_DELAY: Duration = Duration::from_millis(300);

/// Name of the service.
pub const SUSPECT_SERVICE: &str = "suspects";

/// A run that was active when its target crashed.
#[derive(Clone, Debug)]
pub struct CrashedRun {
    /// The request and its target.
    pub info: RunInfo,
    /// How long it had run when it failed.
    pub ran_for: Duration,
    /// When the target crashed, as far as the run shows.
    pub crashed_at: Moment,
    /// Whether its connection broke; otherwise it was abandoned before.
    pub is_broken: bool,
}

/// Message to [`SuspectSync`].
pub enum SuspectMessage {
    /// Targets crashed while these runs were active.
    Crashed(Vec<CrashedRun>),
    /// Another node reported something new about these requests.
    Reported(IndexSet<SuspectFingerprint>),
    /// A holder received these crash reports and responded with what it knows of the requests, or
    /// did not respond.
    HolderResponded(Vec<CrashReport>, Option<Vec<SuspectRow>>),
    /// Clear parts with which requests were served here, unless another node has.
    Object(IndexSet<SuspectFingerprint>),
    /// A request that had crashed targets before received a complete response.
    Completed(SuspectFingerprint),
    /// The operator released a request.
    Released(SuspectFingerprint),
    /// Poll the table for changes.
    Poll,
    /// The poll returned changes or failed.
    Polled(Result<SuspectUpdate, SourceError>),
    /// A batch of rows was written, or the write failed.
    Written(SuspectBatch, Result<(), SourceError>),
    /// Check for rows to write or delete.
    Round,
}

/// The full table, or changes of it.
#[derive(Clone, Debug)]
pub struct SuspectUpdate {
    mark: FeedMark,
    is_snapshot: bool,
    changes: Vec<SuspectChange>,
}

/// Keeps the ledger that traffic reads in sync with other nodes and the store's table.
pub struct SuspectSync {
    host: Arc<dyn SuspectHost>,
    client: ApiClient,
    mark: Option<FeedMark>,
    source_health: SourceHealth,
    table: SuspectTable,
    /// Number of holders that have not responded yet, by the reported crash; removed as soon as one
    /// has.
    unacknowledged: IndexMap<SuspectKey, usize>,
    verdicts: VerdictLog,
    crash_rate: CrashRate,
    rate_sampled_at: Moment,
}

impl SuspectSync {
    /// Creates a service that knows of no crash.
    pub fn new(host: Arc<dyn SuspectHost>) -> Self {
        Self {
            host,
            client: ApiClient::new(Codec::MessagePack, None),
            mark: None,
            source_health: SourceHealth::default(),
            table: SuspectTable::default(),
            unacknowledged: IndexMap::new(),
            verdicts: VerdictLog::default(),
            crash_rate: CrashRate::default(),
            rate_sampled_at: Moment::ZERO,
        }
    }

    /// Records crashes that this node saw, and reports them to their holders.
    fn record_crashes(&mut self, runs: Vec<CrashedRun>, link: &ServiceLink<SuspectMessage>) {
        let mut crashes = Vec::new();
        for run in &runs {
            for fingerprint in self.blamed(run, link.now()) {
                let crash = self.crash_report(run, fingerprint, link.now());
                let is_counted = fingerprint.is_part()
                    && crashes.iter().any(|counted: &CrashReport| {
                        counted.fingerprint == fingerprint
                            && counted.incarnation == crash.incarnation
                    });
                if crash.chance_permille <= MAX_CHANCE_PERMILLE && !is_counted {
                    self.count_crash(run, crash);
                    crashes.push(crash);
                }
            }
        }
        self.report_to_holders(&crashes, link);
        let fingerprints = crashes.iter().map(|crash| crash.fingerprint).collect();
        self.reevaluate(&fingerprints, true, link.now());
    }

    /// Returns to which of a run's suspects the crash of its target can be put down.
    fn blamed(&self, run: &CrashedRun, now: Moment) -> Vec<SuspectFingerprint> {
        let mut blamed = self.host.suspects().blamed(&run.info.suspects, now);
        if !run.is_broken {
            // When such a run's target crashed is not known, so one loss of many targets would count as several for a part.
            blamed.retain(|fingerprint| !fingerprint.is_part());
        }
        blamed
    }

    /// Returns the report of a crash under a request or part.
    fn crash_report(
        &self,
        run: &CrashedRun,
        fingerprint: SuspectFingerprint,
        now: Moment,
    ) -> CrashReport {
        // The time of the crash itself is used: crashes that are only noticed together would otherwise count as one.
        let elapsed = now.saturating_sub(run.crashed_at).as_millis() as StoreMillis;
        let at = self.host.suspects().now().saturating_sub(elapsed);
        let target = CrashedTarget {
            target: &run.info.target.id,
            incarnation: run.info.target.incarnation,
            domain: &run.info.domain,
        };
        let rate = self.crash_rate.per_second();
        CrashReport::of(fingerprint, target, at, run.ran_for, rate)
    }

    fn count_crash(&self, run: &CrashedRun, crash: CrashReport) {
        let suspects = self.host.suspects();
        suspects.record(&SuspectRow::Crash(crash));
        log::info!(
            request = run.info.request.as_str(),
            print:% = crash.fingerprint,
            kind = crash.fingerprint.kind(),
            organisation = run.info.organisation.as_str(),
            target_id = run.info.target.id.as_str(),
            ran_ms = run.ran_for.as_millis() as u64,
            chance_permille = crash.chance_permille,
            ends = suspects.crashes(&crash.fingerprint);
            "end_counted"
        );
    }

    /// Reports crashes to the nodes that rank first for each request; if there are none, the rows
    /// are written immediately.
    fn report_to_holders(&mut self, crashes: &[CrashReport], link: &ServiceLink<SuspectMessage>) {
        let mut messages: IndexMap<NodeId, (Arc<NodeEntry>, Vec<CrashReport>)> = IndexMap::new();
        for crash in crashes {
            let others = self
                .host
                .holders_of(&crash.fingerprint, HOLDERS_PER_REQUEST)
                .others;
            if others.is_empty() {
                self.table
                    .schedule_write(SuspectRow::Crash(*crash), link.now());
            } else {
                self.unacknowledged
                    .insert(SuspectRow::Crash(*crash).key(), others.len());
            }
            for entry in others {
                let message = messages.entry(entry.node.clone());
                let message = message.or_insert_with(|| (entry, Vec::new()));
                message.1.push(*crash);
            }
        }
        for (entry, crashes) in messages.into_values() {
            let rows = crashes.iter().copied().map(SuspectRow::Crash).collect();
            self.send(&entry, rows, crashes, link);
        }
    }

    /// Tells the holders that a request or part did not cause the crashes so far.
    fn report_clearance(&self, clear: ClearReport, link: &ServiceLink<SuspectMessage>) {
        let holders = self
            .host
            .holders_of(&clear.fingerprint, HOLDERS_PER_REQUEST);
        for entry in holders.others {
            self.send(&entry, vec![SuspectRow::Clear(clear)], Vec::new(), link);
        }
    }

    /// Applies a holder's response; crashes that no holder received are written to the store.
    fn apply_holder_response(
        &mut self,
        crashes: &[CrashReport],
        known: Option<Vec<SuspectRow>>,
        link: &ServiceLink<SuspectMessage>,
    ) {
        let now = link.now();
        for crash in crashes {
            let row = SuspectRow::Crash(*crash);
            let Some(remaining) = self.unacknowledged.get_mut(&row.key()) else {
                continue;
            };
            *remaining -= 1;
            let is_last = *remaining == 0;
            if is_last && known.is_none() {
                self.table.schedule_write(row, now);
            }
            if is_last || known.is_some() {
                self.unacknowledged.swap_remove(&row.key());
            }
        }
        let updated = self.apply_rows(&known.unwrap_or_default(), true, now);
        // One holder may have seen what the other one has not.
        for row in updated {
            if let SuspectRow::Clear(clear) = row {
                self.report_clearance(clear, link);
            }
        }
    }

    /// Sends rows to a holder, among them these crashes.
    fn send(
        &self,
        holder: &NodeEntry,
        rows: Vec<SuspectRow>,
        crashes: Vec<CrashReport>,
        link: &ServiceLink<SuspectMessage>,
    ) {
        let url = format!("http://{}{SUSPECT_PATH}", holder.address);
        let client = self.client.clone();
        self.host.count(SuspectEvent::CrashReported);
        link.spawn(async move {
            let doc: SuspectDoc = rows.into_iter().collect();
            let reported: Result<SuspectDoc, CallError> = client
                .call(Method::POST, &url, Some(&doc), HOLDER_TIMEOUT)
                .await;
            if let Err(error) = &reported {
                log::info!(error:% = error, ends = crashes.len(); "holder_missed");
            }
            SuspectMessage::HolderResponded(crashes, reported.ok().map(Vec::from))
        });
    }

    /// Applies rows; `must_write` if this node is one of those that have to make sure they are
    /// written.
    ///
    /// Returns those that were new.
    fn apply_rows(
        &mut self,
        rows: &[SuspectRow],
        must_write: bool,
        now: Moment,
    ) -> Vec<SuspectRow> {
        let updated = rows.iter().filter(|row| self.host.suspects().record(row));
        let updated: Vec<SuspectRow> = updated.copied().collect();
        let fingerprints = updated.iter().map(|row| row.key().fingerprint).collect();
        self.reevaluate(&fingerprints, must_write, now);
        updated
    }

    /// Reevaluates requests about which new rows were recorded: updates the verdicts and schedules
    /// writes.
    fn reevaluate(
        &mut self,
        fingerprints: &IndexSet<SuspectFingerprint>,
        must_write: bool,
        now: Moment,
    ) {
        for fingerprint in fingerprints {
            let verdict = self.host.suspects().verdict(fingerprint);
            let was_shared = self.is_shared(fingerprint);
            self.verdicts
                .record(self.host.as_ref(), fingerprint, verdict);
            let rank = self.own_rank(fingerprint);
            if !must_write && rank.is_none() {
                continue;
            }
            let stagger = WRITE_STAGGER * rank.unwrap_or(HOLDERS_PER_REQUEST) as u32;
            if verdict == CrashVerdict::Clear {
                if let Some(clear) = self.host.suspects().clearance(fingerprint) {
                    self.withdraw(clear, was_shared, now + stagger);
                }
                continue;
            }
            for row in self.host.suspects().rows(fingerprint) {
                self.table.schedule_write(row, now + stagger);
            }
        }
    }

    /// Returns whether other nodes may count crashes against a request or part.
    fn is_shared(&self, fingerprint: &SuspectFingerprint) -> bool {
        self.verdicts.contains(fingerprint) || self.table.contains(fingerprint)
    }

    /// Writes no more crashes of what was cleared; what other nodes may have read is cleared in the table as well.
    fn withdraw(&mut self, clear: ClearReport, is_shared: bool, at: Moment) {
        self.table.cancel_writes(&clear.fingerprint);
        if is_shared {
            self.table.schedule_write(SuspectRow::Clear(clear), at);
        }
    }

    fn own_rank(&self, fingerprint: &SuspectFingerprint) -> Option<usize> {
        self.host
            .holders_of(fingerprint, HOLDERS_PER_REQUEST)
            .own_rank
    }

    /// Records that a request did not cause the crashes so far.
    fn clear(
        &mut self,
        fingerprint: SuspectFingerprint,
        reason: &'static str,
        link: &ServiceLink<SuspectMessage>,
    ) {
        if !self.host.suspects().has_crashes(&fingerprint) {
            return;
        }
        let is_shared = self.is_shared(&fingerprint);
        let at = self.host.suspects().now();
        let clear = ClearReport { fingerprint, at };
        self.host.suspects().record(&SuspectRow::Clear(clear));
        log::info!(print:% = fingerprint, kind = fingerprint.kind(), reason = reason; "request_cleared");
        self.verdicts
            .record(self.host.as_ref(), &fingerprint, CrashVerdict::Clear);
        self.withdraw(clear, is_shared, link.now());
        self.report_clearance(clear, link);
    }

    /// Clears parts of which others have reported crashes, but with which requests were served here meanwhile.
    fn clear_sound(
        &mut self,
        fingerprints: &IndexSet<SuspectFingerprint>,
        link: &ServiceLink<SuspectMessage>,
    ) {
        for fingerprint in fingerprints {
            if self.host.suspects().is_sound(fingerprint, link.now()) {
                self.clear(*fingerprint, "sound", link);
            }
        }
    }

    /// Clears parts of which the table says that targets crash, in a moment, if requests with them were served here.
    fn schedule_objection(&self, rows: &[SuspectRow], link: &ServiceLink<SuspectMessage>) {
        let suspects = self.host.suspects();
        let fingerprints = rows.iter().map(|row| row.key().fingerprint);
        let sound = fingerprints.filter(|fingerprint| suspects.is_sound(fingerprint, link.now()));
        let sound: IndexSet<SuspectFingerprint> = sound.collect();
        if !sound.is_empty() {
            link.send_after(objection_delay(), SuspectMessage::Object(sound));
        }
    }

    /// Writes rows that are due, and deletes expired rows of the requests that this node ranks
    /// first for.
    fn write_due(&mut self, link: &ServiceLink<SuspectMessage>) {
        let host = Arc::clone(&self.host);
        let is_first = |fingerprint: &SuspectFingerprint| {
            host.holders_of(fingerprint, HOLDERS_PER_REQUEST).own_rank == Some(0)
        };
        let store_time = host.suspects().now();
        let Some(batch) = self.table.begin_write(link.now(), store_time, is_first) else {
            return;
        };
        host.count(SuspectEvent::RowsWritten);
        link.spawn(async move {
            let registry = host.registry();
            let written = registry.write(batch.rows.clone(), batch.deleted.clone());
            SuspectMessage::Written(batch, written.await)
        });
    }

    fn apply_write_result(
        &mut self,
        batch: &SuspectBatch,
        written: Result<(), SourceError>,
        now: Moment,
    ) {
        match written {
            Ok(()) => self.table.commit_batch(batch),
            Err(error) => {
                log::info!(error:% = error, rows = batch.rows.len(); "suspects_unwritten");
                self.table.retry_batch(now + retry_delay());
            }
        }
    }

    fn poll(&self, link: &ServiceLink<SuspectMessage>) {
        let host = Arc::clone(&self.host);
        let (mark, wait) = (self.mark, self.source_health.max_wait(MAX_TABLE_WAIT));
        link.spawn(async move {
            let response = Arc::clone(&host).changes(mark, wait).await;
            SuspectMessage::Polled(response.map(|response| SuspectUpdate {
                mark: response.mark,
                is_snapshot: response.is_snapshot,
                changes: host.registry().decode(&response),
            }))
        });
    }

    fn apply_update(&mut self, update: SuspectUpdate, link: &ServiceLink<SuspectMessage>) {
        let now = link.now();
        self.mark = Some(update.mark);
        let rows = self.table.apply(&update.changes, update.is_snapshot);
        let updated = self.apply_rows(&rows, false, now);
        self.schedule_objection(&updated, link);
        if update.is_snapshot {
            // Rows that the store lost or never received are written again.
            let suspects = self.host.suspects().suspects().into_iter();
            let fingerprints = suspects.map(|(fingerprint, _)| fingerprint).collect();
            self.reevaluate(&fingerprints, false, now);
        }
    }

    fn run_round(&mut self, link: &ServiceLink<SuspectMessage>) {
        let now = link.now();
        self.write_due(link);
        if now >= self.rate_sampled_at + CRASH_RATE_INTERVAL {
            self.rate_sampled_at = now;
            let counts = self.host.crash_count();
            self.crash_rate.record(counts.crashes, counts.targets, now);
            self.host.suspects().prune();
        }
        self.refresh_verdicts();
    }

    /// Updates the verdicts that time changes: crashes expire, and nobody has objected to a quarantine.
    fn refresh_verdicts(&mut self) {
        for fingerprint in self.verdicts.fingerprints() {
            let verdict = self.host.suspects().verdict(&fingerprint);
            self.verdicts
                .record(self.host.as_ref(), &fingerprint, verdict);
        }
    }
}

/// Returns a random delay, mostly a long one: of many nodes a few object first, and the others learn of it meanwhile.
fn objection_delay() -> Duration {
    MAX_OBJECTION_DELAY.mul_f64(rand::random::<f64>().powf(0.25))
}

impl Service for SuspectSync {
    type Message = SuspectMessage;

    fn name(&self) -> &'static str {
        SUSPECT_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<SuspectMessage>) {
        self.poll(link);
        link.send_after(ROUND_INTERVAL, SuspectMessage::Round);
    }

    fn handle(&mut self, message: SuspectMessage, link: &ServiceLink<SuspectMessage>) {
        let now = link.now();
        match message {
            SuspectMessage::Crashed(runs) => self.record_crashes(runs, link),
            SuspectMessage::Reported(fingerprints) => {
                self.clear_sound(&fingerprints, link);
                self.reevaluate(&fingerprints, true, now);
            }
            SuspectMessage::Object(fingerprints) => self.clear_sound(&fingerprints, link),
            SuspectMessage::HolderResponded(crashes, known) => {
                self.apply_holder_response(&crashes, known, link);
            }
            SuspectMessage::Completed(fingerprint) => self.clear(fingerprint, "completed", link),
            SuspectMessage::Released(fingerprint) => self.clear(fingerprint, "released", link),
            SuspectMessage::Poll => self.poll(link),
            SuspectMessage::Polled(Ok(update)) => {
                self.source_health.record(SUSPECT_SERVICE, None, now);
                self.apply_update(update, link);
                self.poll(link);
            }
            SuspectMessage::Polled(Err(error)) => {
                self.source_health
                    .record(SUSPECT_SERVICE, Some(&error), now);
                if error == SourceError::HistoryGone {
                    self.mark = None;
                }
                link.send_after(retry_delay(), SuspectMessage::Poll);
            }
            SuspectMessage::Written(batch, written) => {
                self.apply_write_result(&batch, written, now);
            }
            SuspectMessage::Round => {
                self.run_round(link);
                link.send_after(ROUND_INTERVAL, SuspectMessage::Round);
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "held": self.verdicts.dump(self.host.as_ref()),
            "stored_rows": self.table.stored_rows(),
            "unwritten_rows": self.table.unwritten_rows(),
            "ends_per_target_hour": self.crash_rate.per_second() * 3_600.0,
        })
    }

    fn renew(&self) -> Self {
        Self::new(Arc::clone(&self.host))
    }
}
