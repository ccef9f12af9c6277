//! Traits of the platform's services.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_wire::platform::{
    CheckDoc, PutDoc, ReadReply, ReadRequest, TransactReply, TransactRequest,
};
use futures::future::BoxFuture;
use serde::Serialize;
use serde_json::Value;

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// No usable response arrived; a write may or may not have taken effect.
    #[error("the platform gave no answer")]
    NoResponse,
    /// The platform rejected the call, which had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        *self == Self::NoResponse
    }
}

/// Future of the result of a call to the platform.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// The transactional table.
pub trait TableStore: Send + Sync {
    /// Writes several rows atomically if every check succeeds.
    fn transact(&self, request: TransactRequest) -> StoreFuture<'_, TransactReply>;

    /// Reads rows from one consistent state of the table.
    fn read(&self, request: ReadRequest) -> StoreFuture<'_, ReadReply>;
}

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Writes a complete object.
    fn put(&self, name: &str, bytes: Vec<u8>) -> StoreFuture<'_, ()>;

    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: &str) -> StoreFuture<'_, Option<Vec<u8>>>;
}

/// The directory of VMs, which lags behind their actual state.
pub trait VmDirectory: Send + Sync {
    /// Lists the VMs of a zone.
    fn list(&self, zone: &str) -> StoreFuture<'_, Vec<Vm>>;
}

/// The weight store, which limits the number of concurrent loads.
pub trait WeightStore: Send + Sync {
    /// Requests permits for a number of loads and returns how many were granted.
    fn permit(&self, loads: usize) -> StoreFuture<'_, usize>;
}

/// All of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Directory of VMs.
    pub vms: Arc<dyn VmDirectory>,
    /// Weight store.
    pub weights: Arc<dyn WeightStore>,
}

/// Builds the checks and writes of one transaction.
#[derive(Clone, Debug, Default)]
pub struct TransactBuilder {
    request: TransactRequest,
}

impl TransactBuilder {
    /// Requires a row to have a version; zero requires it to be absent.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: RowVersion) -> Self {
        let key = key.into();
        self.request.checks.push(CheckDoc { key, version });
        self
    }

    /// Writes a row.
    #[must_use]
    pub fn put<T: Serialize>(mut self, key: impl Into<String>, value: &T) -> Self {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.request.puts.push(PutDoc {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.request.puts.push(PutDoc {
            key: key.into(),
            value: None,
        });
        self
    }

    /// Returns the request.
    ///
    /// ```
    /// use briarswitch_platform::TransactBuilder;
    ///
    /// let request = TransactBuilder::default().check("row", 0).put("row", &1).build();
    /// assert_eq!(request.puts.len(), 1);
    /// ```
    pub fn build(self) -> TransactRequest {
        self.request
    }
}
