//! Claims callers' idempotency keys in the table, several per transaction.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_platform::{StoreError, TransactBuilder};
use briarswitch_wire::platform::{KeyClaimDoc, ReadRequest, TransactReply};
use tokio::sync::{mpsc, oneshot};

use crate::config::parse_row;
use crate::shared::NodeShared;

/// Maximum number of claims in one transaction.
const MAX_BATCH_SIZE: usize = 64;
/// Maximum number of claims waiting to be written.
const QUEUE_CAPACITY: usize = 16_384;
/// Time during which claims are collected into one transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Maximum number of batches being written at the same time.
const MAX_CONCURRENT_BATCHES: usize = 4;

/// Result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The key was claimed for this request.
    Won,
    /// The key had already been claimed, by this node or another.
    Taken,
    /// It is not known whether the claim was written; nothing may run under the key.
    Unknown,
}

#[derive(Debug)]
struct ClaimJob {
    key: String,
    reply: oneshot::Sender<ClaimVerdict>,
}

/// Writes claims of idempotency keys to the table, in batches.
#[derive(Clone)]
pub struct ClaimWriter {
    jobs: mpsc::Sender<ClaimJob>,
    shared: Arc<NodeShared>,
}

impl ClaimWriter {
    /// Spawns the writer's task on the current runtime.
    pub fn spawn(shared: Arc<NodeShared>) -> Self {
        let (jobs, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_batcher(Arc::clone(&shared), receiver));
        Self { jobs, shared }
    }

    /// Claims a key. No byte of the request may be sent before this returns [`ClaimVerdict::Won`].
    pub async fn claim(&self, key: String) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        let job = ClaimJob { key, reply };
        if self.jobs.try_send(job).is_err() {
            return ClaimVerdict::Unknown;
        }
        verdict.await.unwrap_or(ClaimVerdict::Unknown)
    }

    /// Deletes the claim of a key under which nothing can have run, so that the caller may reuse
    /// it.
    ///
    /// If this fails, the key stays claimed and later requests with it get the outcome "unknown".
    /// That is less precise for the caller, but still correct.
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
        let is_own = parse_row::<KeyClaimDoc>(&row.value)
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

async fn run_batcher(shared: Arc<NodeShared>, mut jobs: mpsc::Receiver<ClaimJob>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_BATCHES));
    let mut sequence = 0_u64;
    let mut batch = Vec::with_capacity(MAX_BATCH_SIZE);
    while let Some(first) = jobs.recv().await {
        batch.push(first);
        tokio::time::sleep(BATCH_WINDOW).await;
        while batch.len() < MAX_BATCH_SIZE {
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
        let jobs = std::mem::replace(&mut batch, Vec::with_capacity(MAX_BATCH_SIZE));
        tokio::spawn(async move {
            write_batch(&shared, jobs, write).await;
            drop(slot);
        });
    }
}

/// Writes claims in one transaction. On a conflict, the key that was already taken is removed and
/// the rest are written again.
async fn write_batch(shared: &NodeShared, mut jobs: Vec<ClaimJob>, write: String) {
    reject_duplicates(&mut jobs);
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
                reply_all(jobs, ClaimVerdict::Won);
                return;
            }
            Ok(TransactReply::Conflict { key }) => {
                let index = jobs.iter().position(|job| job.key == key);
                let Some(index) = index else {
                    reply_all(jobs, ClaimVerdict::Unknown);
                    return;
                };
                let job = jobs.swap_remove(index);
                let _ = job.reply.send(ClaimVerdict::Taken);
            }
            Err(StoreError::Refused(_)) => {
                reply_all(jobs, ClaimVerdict::Unknown);
                return;
            }
            Err(StoreError::NoResponse) => {
                resolve_batch(shared, jobs, &write).await;
                return;
            }
        }
    }
}

/// Reads a batch back after the reply to its write was lost. Only rows with its write id are won.
async fn resolve_batch(shared: &NodeShared, jobs: Vec<ClaimJob>, write: &str) {
    let request = ReadRequest {
        keys: jobs.iter().map(|job| job.key.clone()).collect(),
        prefixes: Vec::new(),
    };
    let Ok(reply) = shared.platform.table.read(request).await else {
        reply_all(jobs, ClaimVerdict::Unknown);
        return;
    };
    for job in jobs {
        let row = reply.rows.iter().find(|row| row.key == job.key);
        let claim = row.and_then(|row| parse_row::<KeyClaimDoc>(&row.value));
        let verdict = match claim {
            Some(claim) if claim.write == write => ClaimVerdict::Won,
            Some(_) => ClaimVerdict::Taken,
            // The write may still take effect later, so nothing may run under the key.
            None => ClaimVerdict::Unknown,
        };
        let _ = job.reply.send(verdict);
    }
}

fn reject_duplicates(jobs: &mut Vec<ClaimJob>) {
    let mut seen = std::collections::HashSet::new();
    let mut unique = Vec::with_capacity(jobs.len());
    for job in jobs.drain(..) {
        if seen.insert(job.key.clone()) {
            unique.push(job);
        } else {
            let _ = job.reply.send(ClaimVerdict::Taken);
        }
    }
    *jobs = unique;
}

fn reply_all(jobs: Vec<ClaimJob>, verdict: ClaimVerdict) {
    for job in jobs {
        let _ = job.reply.send(verdict);
    }
}

/// Returns the outcome to report to a repeated request with a key in `state`.
pub fn outcome_of(state: ClaimState) -> Outcome {
    match state {
        ClaimState::Settled(Outcome::Answered) => Outcome::Answered,
        _ => Outcome::Unknown,
    }
}
