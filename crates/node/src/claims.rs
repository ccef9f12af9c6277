//! Claims of callers' idempotency keys in the table, many in one transaction.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::platform::{KeyClaimDoc, ReadRequest, TransactReply};
use tokio::sync::{mpsc, oneshot};

use crate::config::row_value;
use crate::shared::NodeShared;

/// Claims written in one transaction at most.
const BATCH: usize = 64;
/// Claims waiting to be written.
const BACKLOG: usize = 16_384;
/// Time in which claims are gathered into one transaction.
const GATHER: Duration = Duration::from_millis(2);
/// Batches under way at one time.
const BATCHES_IN_FLIGHT: usize = 4;

/// What became of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The key is this request's.
    Won,
    /// The key was claimed before, here or elsewhere.
    Taken,
    /// The table gave no answer; the key must not be used.
    Unsettled,
}

#[derive(Debug)]
struct ClaimJob {
    key: String,
    reply: oneshot::Sender<ClaimVerdict>,
}

/// Claims keys in the table.
#[derive(Clone)]
pub struct ClaimWriter {
    jobs: mpsc::Sender<ClaimJob>,
    shared: Arc<NodeShared>,
}

impl ClaimWriter {
    /// Starts the writer on the present runtime.
    pub fn spawn(shared: Arc<NodeShared>) -> Self {
        let (jobs, receiver) = mpsc::channel(BACKLOG);
        tokio::spawn(gather(Arc::clone(&shared), receiver));
        Self { jobs, shared }
    }

    /// Claims a key; no byte of the request may leave before this returns [`ClaimVerdict::Won`].
    pub async fn claim(&self, key: String) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        let job = ClaimJob { key, reply };
        if self.jobs.try_send(job).is_err() {
            return ClaimVerdict::Unsettled;
        }
        verdict.await.unwrap_or(ClaimVerdict::Unsettled)
    }

    /// Gives back a key under which certainly nothing ran, so that the caller may use it again.
    ///
    /// When that fails the key stays claimed, and later requests with it are told "unknown": less
    /// useful to the caller, but never untrue.
    pub async fn release(&self, key: &str) {
        let request = ReadRequest {
            keys: vec![key.to_owned()],
            prefixes: Vec::new(),
        };
        let Ok(reply) = self.shared.platform.table.read(request).await else {
            return;
        };
        let Some(row) = reply.rows.first() else {
            return;
        };
        let is_own = row_value::<KeyClaimDoc>(&row.value)
            .is_some_and(|claim| claim.write.starts_with(&write_prefix(&self.shared)));
        if !is_own {
            return;
        }
        let request = TransactBuilder::default()
            .check(key, row.version)
            .delete(key)
            .build();
        let _ = self.shared.platform.table.transact(request).await;
    }
}

fn write_prefix(shared: &NodeShared) -> String {
    format!("{}-{}-", shared.settings.node, shared.incarnation)
}

async fn gather(shared: Arc<NodeShared>, mut jobs: mpsc::Receiver<ClaimJob>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(BATCHES_IN_FLIGHT));
    let mut sequence = 0_u64;
    let mut batch = Vec::with_capacity(BATCH);
    while let Some(first) = jobs.recv().await {
        batch.push(first);
        tokio::time::sleep(GATHER).await;
        while batch.len() < BATCH {
            match jobs.try_recv() {
                Ok(job) => batch.push(job),
                Err(_) => break,
            }
        }
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        sequence += 1;
        let write = format!("{}{sequence}", write_prefix(&shared));
        let shared = Arc::clone(&shared);
        let jobs = std::mem::replace(&mut batch, Vec::with_capacity(BATCH));
        tokio::spawn(async move {
            write_batch(&shared, jobs, write).await;
            drop(slot);
        });
    }
}

/// Writes claims together; those that were taken fall out and the rest are written again.
async fn write_batch(shared: &NodeShared, mut jobs: Vec<ClaimJob>, write: String) {
    drop_repeated(&mut jobs);
    while !jobs.is_empty() {
        let claim = KeyClaimDoc {
            write: write.clone(),
            node: shared.settings.node.clone(),
        };
        let builder = jobs
            .iter()
            .fold(TransactBuilder::default(), |builder, job| {
                builder.check(&job.key, 0).put(&job.key, &claim)
            });
        match shared.platform.table.transact(builder.build()).await {
            Ok(TransactReply::Committed { .. }) => {
                answer_all(jobs, ClaimVerdict::Won);
                return;
            }
            Ok(TransactReply::Conflict { key }) => {
                let place = jobs.iter().position(|job| job.key == key);
                let Some(place) = place else {
                    answer_all(jobs, ClaimVerdict::Unsettled);
                    return;
                };
                let job = jobs.swap_remove(place);
                let _ = job.reply.send(ClaimVerdict::Taken);
            }
            Err(StoreError::Refused(_)) => {
                answer_all(jobs, ClaimVerdict::Unsettled);
                return;
            }
            Err(StoreError::NoResponse) => {
                settle_batch(shared, jobs, &write).await;
                return;
            }
        }
    }
}

/// Reads back a batch whose answer was lost: only rows that carry its write id are won.
async fn settle_batch(shared: &NodeShared, jobs: Vec<ClaimJob>, write: &str) {
    let request = ReadRequest {
        keys: jobs.iter().map(|job| job.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let Ok(reply) = shared.platform.table.read(request).await else {
        answer_all(jobs, ClaimVerdict::Unsettled);
        return;
    };
    for job in jobs {
        let row = reply.rows.iter().find(|row| row.key == job.key);
        let claim = row.and_then(|row| row_value::<KeyClaimDoc>(&row.value));
        let verdict = match claim {
            Some(claim) if claim.write == write => ClaimVerdict::Won,
            Some(_) => ClaimVerdict::Taken,
            // The write may still arrive, so nothing may run under the key now.
            None => ClaimVerdict::Unsettled,
        };
        let _ = job.reply.send(verdict);
    }
}

fn drop_repeated(jobs: &mut Vec<ClaimJob>) {
    let mut seen = std::collections::HashSet::new();
    let mut kept = Vec::with_capacity(jobs.len());
    for job in jobs.drain(..) {
        if seen.insert(job.key.clone()) {
            kept.push(job);
        } else {
            let _ = job.reply.send(ClaimVerdict::Taken);
        }
    }
    *jobs = kept;
}

fn answer_all(jobs: Vec<ClaimJob>, verdict: ClaimVerdict) {
    for job in jobs {
        let _ = job.reply.send(verdict);
    }
}

/// Returns what a caller may be told of a key whose work ended so, to the next request with it.
pub fn outcome_of(state: ClaimState) -> Outcome {
    match state {
        ClaimState::Settled(Outcome::Answered) => Outcome::Answered,
        _ => Outcome::Unknown,
    }
}
