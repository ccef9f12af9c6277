//! Has every node know of the requests under which targets have ended.
//!
//! Repeats of a request come to any node, so no node sees all that one has done. Each end is told to the two nodes
//! that rank first for the request, which see its ends add up. What more than coincidence explains is written to the
//! store's table, which every node follows: also one that reaches no other node, and one that has just started. A
//! node that reaches nobody writes what it sees itself.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::crash::{
    ClearReport, CrashRate, CrashReport, CrashVerdict, CrashedTarget, StoreMillis,
};
use briarswitch_core::fingerprint::RequestFingerprint;
use briarswitch_core::id::*;
use briarswitch_http::{CallError, CallerClient, Codec};
use briarswitch_kernel::{Service, ServiceLink};
use briarswitch_membership::NodeEntry;
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::{json, Value};

use crate::keeper::{retry_pause, SourceHealth};
use crate::ports::{FeedMark, SourceError, SuspectChange, SuspectKey, SuspectRow};
use crate::run_info::RunInfo;
use crate::suspect_doc::SuspectDoc;
use crate::suspect_host::{SuspectEvent, SuspectHost};
use crate::suspect_table::{SuspectBatch, SuspectTable};
use crate::verdict_log::VerdictLog;

/// Path at which a node is told of ends.
pub const SUSPECT_PATH: &str = "/suspects";
/// Nodes that are told of each end; one may be lost at once.
const HOLDERS: usize = 2;
/// Time to wait for a holder's answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Chance of a coincidence, in thousandths, above which an end says too little to be counted.
const USELESS_CHANCE: u16 = 300;
/// Longest time a question for changes of the table is held open.
///
/// A connection that fell silent is noticed after this and the time for an answer, and every node has to know
/// within three seconds.
const TABLE_WAIT: Duration = Duration::from_millis(2_000);
/// Time that the second holder, and then whoever saw the end, leave those before them to write a row.
const WRITE_TURN: Duration = Duration::from_millis(250);
/// Time between looks at what is to be written or dropped.
const ROUND: Duration = Duration::from_millis(100);
/// Time between two counts of the targets that have ended.
const RATE_INTERVAL: Duration = Duration::from_secs(2);

/// Name of the keeper.
pub const SUSPECT_SERVICE: &str = "suspects";

/// A run that was under way when its target ended.
#[derive(Clone, Debug)]
pub struct FatalRun {
    /// What ran where.
    pub facts: RunInfo,
    /// How long it had run when the end was seen.
    pub ran: Duration,
    /// When the target ended, as far as the run tells.
    pub ended: Moment,
}

/// Message to [`SuspectKeeper`].
pub enum SuspectMessage {
    /// Targets ended with these runs under way.
    Ended(Vec<FatalRun>),
    /// Another node told something of these requests that is news.
    Told(IndexSet<RequestFingerprint>),
    /// A holder was told of these ends, and answered what it knows of the requests, or did not answer.
    Answered(Vec<CrashReport>, Option<Vec<SuspectRow>>),
    /// A request under which targets had ended was answered as a whole.
    Completed(RequestFingerprint),
    /// The operator takes back what is held of a request.
    Released(RequestFingerprint),
    /// TestRequest for changes of the table.
    TestRequest,
    /// The table's changes came or not.
    News(Result<SuspectNews, SourceError>),
    /// Rows were written and dropped, or not.
    Written(SuspectBatch, Result<(), SourceError>),
    /// Look at what is to be written or dropped.
    Round,
}

/// Changes of the table.
#[derive(Clone, Debug)]
pub struct SuspectNews {
    mark: FeedMark,
    is_whole: bool,
    changes: Vec<SuspectChange>,
}

/// Keeps the table of ends, and the board that traffic reads.
pub struct SuspectKeeper {
    host: Arc<dyn SuspectHost>,
    client: CallerClient,
    mark: Option<FeedMark>,
    health: SourceHealth,
    table: SuspectTable,
    /// Holders that have not answered yet, by the end that they were told of; no entry once one has.
    untold: IndexMap<SuspectKey, usize>,
    verdicts: VerdictLog,
    rate: CrashRate,
    counted: Moment,
}

impl SuspectKeeper {
    /// Opens a keeper that knows of no end.
    pub fn open(host: Arc<dyn SuspectHost>) -> Self {
        Self {
            host,
            client: CallerClient::open(Codec::Packed, None),
            mark: None,
            health: SourceHealth::default(),
            table: SuspectTable::default(),
            untold: IndexMap::new(),
            verdicts: VerdictLog::default(),
            rate: CrashRate::default(),
            counted: Moment::ZERO,
        }
    }

    /// Counts ends that this node saw, and tells their holders.
    fn take_ends(&mut self, runs: Vec<FatalRun>, link: &ServiceLink<SuspectMessage>) {
        let (store_now, rate) = (self.host.suspects().now(), self.rate.per_second());
        let mut ends = Vec::new();
        for FatalRun { facts, ran, ended } in runs {
            // Dated by when they were noticed, ends that are noticed together would pass for one.
            let since = link.now().saturating_sub(ended).as_millis() as StoreMillis;
            let at = store_now.saturating_sub(since);
            let target = CrashedTarget {
                target: &facts.target.id,
                incarnation: facts.target.incarnation,
                domain: &facts.domain,
            };
            let end = CrashReport::of(facts.fingerprint, target, at, ran, rate);
            if end.chance_permille > USELESS_CHANCE {
                continue;
            }
            self.host.suspects().take(&SuspectRow::End(end));
            log::info!(
                request = facts.request.as_str(),
                print:% = facts.fingerprint,
                organisation = facts.organisation.as_str(),
                target_id = facts.target.id.as_str(),
                ran_ms = ran.as_millis() as u64,
                chance_permille = end.chance_permille,
                ends = self.host.suspects().ends(&facts.fingerprint);
                "end_counted"
            );
            ends.push(end);
        }
        self.tell(&ends, link);
        let prints = ends.iter().map(|end| end.fingerprint).collect();
        self.look_at(&prints, true, link.now());
    }

    /// Tells the nodes that rank first for each request; where there is nobody, the rows are written at once.
    fn tell(&mut self, ends: &[CrashReport], link: &ServiceLink<SuspectMessage>) {
        let mut messages: IndexMap<NodeId, (Arc<NodeEntry>, Vec<CrashReport>)> = IndexMap::new();
        for end in ends {
            let others = self.host.holders_of(&end.fingerprint, HOLDERS).others;
            if others.is_empty() {
                self.table.write_later(SuspectRow::End(*end), link.now());
            } else {
                self.untold
                    .insert(SuspectRow::End(*end).key(), others.len());
            }
            for entry in others {
                let message = messages.entry(entry.node.clone());
                let message = message.or_insert_with(|| (entry, Vec::new()));
                message.1.push(*end);
            }
        }
        for (entry, ends) in messages.into_values() {
            self.send(&entry, ends, link);
        }
    }

    /// Takes in a holder's answer; ends that no holder was told of are written.
    fn take_answer(&mut self, ends: &[CrashReport], known: Option<Vec<SuspectRow>>, now: Moment) {
        for end in ends {
            let row = SuspectRow::End(*end);
            let Some(left) = self.untold.get_mut(&row.key()) else {
                continue;
            };
            *left -= 1;
            let is_last = *left == 0;
            if is_last && known.is_none() {
                self.table.write_later(row, now);
            }
            if is_last || known.is_some() {
                self.untold.swap_remove(&row.key());
            }
        }
        self.take_rows(&known.unwrap_or_default(), true, now);
    }

    fn send(&self, holder: &NodeEntry, ends: Vec<CrashReport>, link: &ServiceLink<SuspectMessage>) {
        let url = format!("http://{}{SUSPECT_PATH}", holder.address);
        let client = self.client.clone();
        self.host.note(SuspectEvent::EndTold);
        link.spawn(async move {
            let doc: SuspectDoc = ends.iter().copied().map(SuspectRow::End).collect();
            let told: Result<SuspectDoc, CallError> = client
                .call(Method::POST, &url, Some(&doc), ANSWER_TIME)
                .await;
            if let Err(error) = &told {
                log::info!(error:% = error, ends = ends.len(); "holder_missed");
            }
            SuspectMessage::Answered(ends, told.ok().map(Vec::from))
        });
    }

    /// Takes rows in; `is_own` where this node is one of those that have to see them written.
    fn take_rows(&mut self, rows: &[SuspectRow], is_own: bool, now: Moment) {
        let news = rows.iter().filter(|row| self.host.suspects().take(row));
        let prints: IndexSet<RequestFingerprint> = news.map(|row| row.key().print).collect();
        self.look_at(&prints, is_own, now);
    }

    /// Looks at requests of which something new is known: what is held of them, and what is to be written.
    fn look_at(&mut self, prints: &IndexSet<RequestFingerprint>, is_own: bool, now: Moment) {
        for print in prints {
            let verdict = self.host.suspects().verdict(print);
            self.verdicts.note(self.host.as_ref(), print, verdict);
            if verdict == CrashVerdict::Clear {
                continue;
            }
            let place = self.own_place(print);
            if !is_own && place.is_none() {
                continue;
            }
            let turn = WRITE_TURN * place.unwrap_or(HOLDERS) as u32;
            for row in self.host.suspects().rows(print) {
                self.table.write_later(row, now + turn);
            }
        }
    }

    fn own_place(&self, print: &RequestFingerprint) -> Option<usize> {
        self.host.holders_of(print, HOLDERS).own_place
    }

    /// Takes in that a request is not the cause of what has ended so far.
    fn clear(&mut self, print: RequestFingerprint, reason: &'static str, now: Moment) {
        if !self.host.suspects().has_ends(&print) {
            return;
        }
        let is_told = self.verdicts.holds(&print) || self.table.knows(&print);
        let at = self.host.suspects().now();
        let row = SuspectRow::Clear(ClearReport {
            fingerprint: print,
            at,
        });
        self.host.suspects().take(&row);
        log::info!(print:% = print, reason = reason; "request_cleared");
        self.verdicts
            .note(self.host.as_ref(), &print, CrashVerdict::Clear);
        self.table.forget(&print);
        if is_told {
            self.table.write_later(row, now);
        }
    }

    /// Writes what is due, and drops what counts no more of the requests that this node ranks first for.
    fn write(&mut self, link: &ServiceLink<SuspectMessage>) {
        let host = Arc::clone(&self.host);
        let is_first =
            |print: &RequestFingerprint| host.holders_of(print, HOLDERS).own_place == Some(0);
        let store_now = host.suspects().now();
        let Some(batch) = self.table.begin_write(link.now(), store_now, is_first) else {
            return;
        };
        host.note(SuspectEvent::RowsWritten);
        link.spawn(async move {
            let registry = host.registry();
            let written = registry.write(batch.rows.clone(), batch.dropped.clone());
            SuspectMessage::Written(batch, written.await)
        });
    }

    fn take_written(
        &mut self,
        batch: &SuspectBatch,
        written: Result<(), SourceError>,
        now: Moment,
    ) {
        match written {
            Ok(()) => self.table.note_written(batch),
            Err(error) => {
                log::info!(error:% = error, rows = batch.rows.len(); "suspects_unwritten");
                self.table.note_unwritten(now + retry_pause());
            }
        }
    }

    fn ask(&self, link: &ServiceLink<SuspectMessage>) {
        let host = Arc::clone(&self.host);
        let (mark, wait) = (self.mark, self.health.wait(TABLE_WAIT));
        link.spawn(async move {
            let answer = Arc::clone(&host).changes(mark, wait).await;
            SuspectMessage::News(answer.map(|answer| SuspectNews {
                mark: answer.mark,
                is_whole: answer.is_snapshot,
                changes: host.registry().decode(&answer),
            }))
        });
    }

    fn take_news(&mut self, news: SuspectNews, now: Moment) {
        self.mark = Some(news.mark);
        let rows = self.table.take(&news.changes, news.is_whole);
        self.take_rows(&rows, false, now);
        if news.is_whole {
            // What the store has lost, or never got, is written again.
            let held = self.host.suspects().suspects().into_iter();
            let prints = held.map(|(print, _)| print).collect();
            self.look_at(&prints, false, now);
        }
    }

    fn round(&mut self, link: &ServiceLink<SuspectMessage>) {
        let now = link.now();
        self.write(link);
        if now >= self.counted + RATE_INTERVAL {
            self.counted = now;
            let count = self.host.end_count();
            self.rate.record(count.ends, count.targets, now);
            self.host.suspects().prune();
            self.end_quarantines();
        }
    }

    /// Notes the quarantines that are over because their ends are forgotten.
    fn end_quarantines(&mut self) {
        for print in self.verdicts.prints() {
            let verdict = self.host.suspects().verdict(&print);
            self.verdicts.note(self.host.as_ref(), &print, verdict);
        }
    }
}

impl Service for SuspectKeeper {
    type Message = SuspectMessage;

    fn name(&self) -> &'static str {
        SUSPECT_SERVICE
    }

    fn start(&mut self, link: &ServiceLink<SuspectMessage>) {
        self.ask(link);
        link.later(ROUND, SuspectMessage::Round);
    }

    fn handle(&mut self, message: SuspectMessage, link: &ServiceLink<SuspectMessage>) {
        let now = link.now();
        match message {
            SuspectMessage::Ended(runs) => self.take_ends(runs, link),
            SuspectMessage::Told(prints) => self.look_at(&prints, true, now),
            SuspectMessage::Answered(ends, known) => self.take_answer(&ends, known, now),
            SuspectMessage::Completed(print) => self.clear(print, "completed", now),
            SuspectMessage::Released(print) => self.clear(print, "released", now),
            SuspectMessage::TestRequest => self.ask(link),
            SuspectMessage::News(Ok(news)) => {
                self.health.note(SUSPECT_SERVICE, None, now);
                self.take_news(news, now);
                self.ask(link);
            }
            SuspectMessage::News(Err(error)) => {
                self.health.note(SUSPECT_SERVICE, Some(&error), now);
                if error == SourceError::HistoryGone {
                    self.mark = None;
                }
                link.later(retry_pause(), SuspectMessage::TestRequest);
            }
            SuspectMessage::Written(batch, written) => self.take_written(&batch, written, now),
            SuspectMessage::Round => {
                self.round(link);
                link.later(ROUND, SuspectMessage::Round);
            }
        }
    }

    fn dump(&self) -> Value {
        json!({
            "held": self.verdicts.dump(self.host.as_ref()),
            "stored_rows": self.table.stored_rows(),
            "unwritten_rows": self.table.unwritten_rows(),
            "ends_per_target_hour": self.rate.per_second() * 3_600.0,
        })
    }
}
