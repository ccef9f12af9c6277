//! The platform's services over HTTP.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{ApiClient, CallError, Codec};
use briarswitch_wire::platform::{
    LoadPermitReply, LoadPermitRequest, ReadReply, ReadRequest, TransactReply, TransactRequest,
    VmListDoc,
};
use http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::table::{
    ObjectStore, Platform, StoreError, StoreFuture, TableStore, VmDirectory, WeightStore,
};

/// Where the platform's services are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformAddresses {
    /// Table service as `http://ip:port`.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// List of machines.
    pub vms: String,
    /// Weight store.
    pub weights: String,
}

/// Speaks with every service of the platform.
pub struct HttpPlatform {
    addresses: PlatformAddresses,
    client: ApiClient,
    limit: Duration,
}

impl HttpPlatform {
    /// Opens clients that wait at most `limit` for an answer.
    pub fn open(addresses: PlatformAddresses, limit: Duration) -> Platform {
        let client = Arc::new(Self {
            addresses,
            client: ApiClient::new(Codec::Json, None),
            limit,
        });
        Platform {
            table: Arc::clone(&client) as Arc<dyn TableStore>,
            objects: Arc::clone(&client) as Arc<dyn ObjectStore>,
            vms: Arc::clone(&client) as Arc<dyn VmDirectory>,
            weights: client,
        }
    }

    async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        base: &str,
        path: &str,
        body: &Q,
    ) -> Result<R, StoreError> {
        let url = format!("{base}{path}");
        self.client
            .call(Method::POST, &url, Some(body), self.limit)
            .await
            .map_err(StoreError::from)
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            // A server error may follow a write that took effect; only a client error says that
            // the call was turned away.
            CallError::Status { status, text } if status < 500 => Self::Refused(text),
            _ => Self::Lost,
        }
    }
}

impl TableStore for HttpPlatform {
    fn transact(&self, request: TransactRequest) -> StoreFuture<'_, TransactReply> {
        Box::pin(async move {
            self.post(&self.addresses.table, "/table/transact", &request)
                .await
        })
    }

    fn read(&self, request: ReadRequest) -> StoreFuture<'_, ReadReply> {
        Box::pin(async move {
            self.post(&self.addresses.table, "/table/read", &request)
                .await
        })
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, name: &str, bytes: Vec<u8>) -> StoreFuture<'_, ()> {
        let url = format!("{}/objects/{name}", self.addresses.objects);
        Box::pin(async move {
            self.client
                .call_raw(Method::PUT, &url, bytes.into(), self.limit)
                .await?;
            Ok(())
        })
    }

    fn get(&self, name: &str) -> StoreFuture<'_, Option<Vec<u8>>> {
        let url = format!("{}/objects/{name}", self.addresses.objects);
        Box::pin(async move {
            let reply = self
                .client
                .call_raw(Method::GET, &url, Vec::new().into(), self.limit)
                .await;
            match reply {
                Ok(bytes) => Ok(Some(bytes.to_vec())),
                Err(CallError::Status { status: 404, .. }) => Ok(None),
                Err(error) => Err(error.into()),
            }
        })
    }
}

impl VmDirectory for HttpPlatform {
    fn list(&self, zone: &str) -> StoreFuture<'_, Vec<Vm>> {
        let url = format!("{}/vms/{zone}", self.addresses.vms);
        Box::pin(async move {
            let list: VmListDoc = self
                .client
                .call(Method::GET, &url, None::<&()>, self.limit)
                .await?;
            Ok(list.vms.into_iter().map(Vm::from).collect())
        })
    }
}

impl WeightStore for HttpPlatform {
    fn permit(&self, loads: usize) -> StoreFuture<'_, usize> {
        Box::pin(async move {
            let request = LoadPermitRequest { loads };
            let reply: LoadPermitReply = self
                .post(&self.addresses.weights, "/weights/permits", &request)
                .await?;
            Ok(reply.granted)
        })
    }
}
