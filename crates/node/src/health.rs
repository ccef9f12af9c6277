//! HTTP handler for the load balancer's health checks and the metrics scraper.

use std::sync::Arc;

use briarswitch_http::{reply_bytes, reply_text, Handler, Request, Response};
use briarswitch_kernel::Kernel;
use futures::future::BoxFuture;
use http::StatusCode;

use crate::shared::NodeShared;

/// Serves `/live`, `/ready` and `/metrics`.
pub struct HealthApi {
    shared: Arc<NodeShared>,
    kernel: Kernel,
}

impl HealthApi {
    /// Returns a handler for the node's state; `/live` fails once the control thread has ended.
    pub fn new(shared: Arc<NodeShared>, kernel: Kernel) -> Arc<Self> {
        Arc::new(Self { shared, kernel })
    }

    /// Returns that the node is not ready, and which listener it waits for, if any.
    fn reason(&self) -> String {
        match self.shared.unbound_listener() {
            Some(listener) => format!("not ready: waits for {listener}"),
            None => "not ready".to_owned(),
        }
    }

    fn respond(&self, path: &str) -> Response {
        match path {
            "/live" if self.kernel.is_running() => reply_text(StatusCode::OK, "live"),
            "/live" => reply_text(StatusCode::SERVICE_UNAVAILABLE, "control thread ended"),
            "/ready" if self.shared.is_ready() => reply_text(StatusCode::OK, "ready"),
            "/ready" => reply_text(StatusCode::SERVICE_UNAVAILABLE, self.reason()),
            "/metrics" => {
                let page = self.shared.metrics.page();
                reply_bytes(StatusCode::OK, "text/plain; version=0.0.4", page.into())
            }
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Handler for HealthApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        let response = self.respond(request.uri().path());
        Box::pin(async move { response })
    }
}
