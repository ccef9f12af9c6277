//! Traits at the border to the platform.

use std::sync::Arc;

use briarswitch_core::prelude::*;
use briarswitch_wire::platform::{
    CheckDoc, PutDoc, ReadReply, ReadRequest, TransactReply, TransactRequest,
};
use futures::future::BoxFuture;
use serde::Serialize;
use serde_json::Value;

/// Why the platform gave no result.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// No answer came; a write may or may not be in force.
    #[error("the platform gave no answer")]
    NoResponse,
    /// The platform turned the call away; nothing was done.
    #[error("the platform refused the call: {0}")]
    Refused(String),
}

impl StoreError {
    /// Returns whether a write that ended so may be in force.
    pub fn is_ambiguous(&self) -> bool {
        *self == Self::NoResponse
    }
}

/// A pending answer of the platform.
pub type StoreFuture<'a, T> = BoxFuture<'a, Result<T, StoreError>>;

/// The transactional table.
pub trait TableStore: Send + Sync {
    /// Writes several rows together if every condition holds.
    fn transact(&self, request: TransactRequest) -> StoreFuture<'_, TransactReply>;

    /// Reads rows, all at one moment.
    fn read(&self, request: ReadRequest) -> StoreFuture<'_, ReadReply>;
}

/// The object store.
pub trait ObjectStore: Send + Sync {
    /// Writes an object whole.
    fn put(&self, name: &str, bytes: Vec<u8>) -> StoreFuture<'_, ()>;

    /// Reads an object; `None` when there is none.
    fn get(&self, name: &str) -> StoreFuture<'_, Option<Vec<u8>>>;
}

/// The list of machines, which lags.
pub trait VmDirectory: Send + Sync {
    /// Lists a zone's machines.
    fn list(&self, zone: &str) -> StoreFuture<'_, Vec<Vm>>;
}

/// The weight store, which limits how many loads may run.
pub trait WeightStore: Send + Sync {
    /// Asks to begin some loads and returns how many may begin.
    fn permit(&self, loads: usize) -> StoreFuture<'_, usize>;
}

/// All of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// List of machines.
    pub vms: Arc<dyn VmDirectory>,
    /// Weight store.
    pub weights: Arc<dyn WeightStore>,
}

/// Collects the conditions and writes of one transaction.
#[derive(Clone, Debug, Default)]
pub struct TransactBuilder {
    request: TransactRequest,
}

impl TransactBuilder {
    /// Demands that a row has a version; zero demands that it is absent.
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
