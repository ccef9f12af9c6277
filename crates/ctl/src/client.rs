//! Calls to a node's operator listener.

use std::time::Duration;

use briarswitch_http::{ApiClient, CallError, Codec};
use http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Time to wait for a node.
const LIMIT: Duration = Duration::from_secs(20);

/// Why a node gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NodeError {
    /// It was not reached, or broke off.
    #[error("no answer from {node}: {error}; try another node with --node")]
    NoResponse {
        /// Address called.
        node: String,
        /// What happened.
        error: CallError,
    },
    /// The credential is not the operators'.
    #[error("{node} does not know this credential; give --token or set BRIARCTL_TOKEN")]
    Unauthorized {
        /// Address called.
        node: String,
    },
}

/// Speaks with one node.
pub struct NodeClient {
    node: String,
    client: ApiClient,
}

impl NodeClient {
    /// Opens a client for a node's operator listener.
    pub fn new(node: &str, token: Option<String>) -> Self {
        Self {
            node: node.to_owned(),
            client: ApiClient::new(Codec::Json, token),
        }
    }

    /// Reads something.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] when the node gave no usable answer.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, NodeError> {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// Sends something.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] when the node gave no usable answer.
    pub async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<R, NodeError> {
        self.call(Method::POST, path, Some(body)).await
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<R, NodeError> {
        let url = format!("http://{}{path}", self.node);
        let result = self.client.call(method, &url, body, LIMIT).await;
        result.map_err(|error| {
            let node = self.node.clone();
            match error {
                CallError::Status { status: 401, .. } => NodeError::Unauthorized { node },
                error => NodeError::NoResponse { node, error },
            }
        })
    }
}
