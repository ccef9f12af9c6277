//! HTTP client of the platform's services.

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

/// Base URLs of the platform's services, as `http://ip:port`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformAddresses {
    /// Transactional table.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Directory of VMs.
    pub vms: String,
    /// Weight store.
    pub weights: String,
}

/// HTTP client of all of the platform's services.
pub struct HttpPlatform {
    addresses: PlatformAddresses,
    client: ApiClient,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates clients that wait at most `timeout` for a response.
    pub fn open(addresses: PlatformAddresses, timeout: Duration) -> Platform {
        let client = Arc::new(Self {
            addresses,
            client: ApiClient::new(Codec::Json, None),
            timeout,
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
            .call(Method::POST, &url, Some(body), self.timeout)
            .await
            .map_err(StoreError::from)
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            // The write may have taken effect despite a server error; only a client error means that the
            // call was rejected.
            CallError::Status { status, text } if status < 500 => Self::Refused(text),
            _ => Self::NoResponse,
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
                .call_raw(Method::PUT, &url, bytes.into(), self.timeout)
                .await?;
            Ok(())
        })
    }

    fn get(&self, name: &str) -> StoreFuture<'_, Option<Vec<u8>>> {
        let url = format!("{}/objects/{name}", self.addresses.objects);
        Box::pin(async move {
            let reply = self
                .client
                .call_raw(Method::GET, &url, Vec::new().into(), self.timeout)
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
                .call(Method::GET, &url, None::<&()>, self.timeout)
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
