//! Client for a node's operator listener.

use std::time::Duration;

use briarswitch_http::{ApiClient, CallError, Codec};
use http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Timeout of a call to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Error of a call to a node.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NodeError {
    /// The call failed: there was no response, an error status or an invalid body.
    #[error("call to {node} failed: {error}; try another node with --node")]
    CallFailed {
        /// Address of the node.
        node: String,
        /// Error of the call.
        error: CallError,
    },
    /// The node rejected the credential.
    #[error("{node} rejected the credential; give --token or set BRIARCTL_TOKEN")]
    Unauthorized {
        /// Address of the node.
        node: String,
    },
}

/// Client for one node.
pub struct NodeClient {
    node: String,
    client: ApiClient,
}

impl NodeClient {
    /// Creates a client for a node's operator listener.
    pub fn new(node: &str, token: Option<String>) -> Self {
        Self {
            node: node.to_owned(),
            client: ApiClient::new(Codec::Json, token),
        }
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] if there is no valid response.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, NodeError> {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// Sends a POST request and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] if there is no valid response.
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
        let result = self.client.call(method, &url, body, CALL_TIMEOUT).await;
        result.map_err(|error| {
            let node = self.node.clone();
            match error {
                CallError::Status { status: 401, .. } => NodeError::Unauthorized { node },
                error => NodeError::CallFailed { node, error },
            }
        })
    }
}
