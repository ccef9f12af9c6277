//! A fleet node: starts its services and listeners, and shuts them down.

use std::io;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use briarswitch_core::fingerprint::SuspectFingerprint;
use briarswitch_core::id::Incarnation;
use briarswitch_http::{
    limit_responses, reply_bytes, reply_json, reply_text, ConnectionLimits, ConnectionPool,
    Handler, HttpServer, LimitSource, ListenerKind, Request, Response, ServerGuard,
};
use briarswitch_kernel::{Kernel, KernelError, Mailbox};
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use tokio::sync::watch;

use crate::caller_api::CallerApi;
use crate::config_sync::ConfigSync;
use crate::controller::GroupController;
use crate::crash_watcher::CrashWatcher;
use crate::directory_sync::DirectorySync;
use crate::dispatch::FleetDispatcher;
use crate::load_client::LoadClient;
use crate::load_coordinator::LoadCoordinator;
use crate::open_work::OpenWork;
use crate::peer_api::PeerApi;
use crate::peers::PeerExchange;
use crate::ports::FleetPlatform;
use crate::queue_coordinator::QueueCoordinator;
use crate::queue_monitor::QueueMonitor;
use crate::reach_monitor::{ReachMonitor, ReachReporter};
use crate::readiness::Readiness;
use crate::readiness_monitor::ReadinessMonitor;
use crate::run::RunListeners;
use crate::settings::FleetSettings;
use crate::shared::{FleetPhase, FleetShared};
use crate::suspect_host::SuspectHost;
use crate::suspect_sync::{SuspectMessage, SuspectSync};

/// Reason why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A listener could not be bound.
    #[error("{listener} listener at {address}: {source}")]
    Bind {
        /// Name of the listener.
        listener: &'static str,
        /// Address that was to be bound.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The control thread could not be started.
    #[error(transparent)]
    Kernel(#[from] KernelError),
}

/// A running node.
pub struct FleetNode {
    shared: Arc<FleetShared>,
    kernel: Kernel,
    stop: watch::Sender<bool>,
    servers: Vec<ServerGuard>,
}

impl FleetNode {
    /// Starts a node on the current Tokio runtime.
    ///
    /// A listener whose address cannot be bound yet is bound later, while everything else runs.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if a listener can never be bound or the control thread cannot be started.
    pub async fn spawn(
        settings: FleetSettings,
        platform: FleetPlatform,
    ) -> Result<Self, FleetError> {
        let mut settings = settings;
        let callers = open("callers", &mut settings.callers).await?;
        let health = open("health", &mut settings.health).await?;
        let peers = open("peers", &mut settings.peers).await?;
        let metrics = open("metrics", &mut settings.metrics).await?;
        limit_responses(&settings.limits);
        let shared = FleetShared::new(settings, new_incarnation(), platform);
        shared.set_caller_listener(Arc::clone(callers.status()));
        shared.set_peer_listener(Arc::clone(peers.status()));
        let settings = &shared.settings;
        let kernel = Kernel::spawn()?;
        kernel.mount(ConfigSync::new(Arc::clone(&shared)))?;
        kernel.mount(DirectorySync::new(Arc::clone(&shared)))?;
        let exchange = kernel.mount(PeerExchange::new(Arc::clone(&shared)))?;
        let load_coordinator = LoadCoordinator::new(Arc::clone(&shared));
        let load_client = LoadClient::new(Arc::clone(&shared), Arc::clone(&load_coordinator));
        kernel.mount(GroupController::new(Arc::clone(&shared), load_client))?;
        let host: Arc<dyn SuspectHost> = Arc::clone(&shared) as Arc<dyn SuspectHost>;
        let suspects = kernel.mount(SuspectSync::new(Arc::clone(&host)))?;
        let watch = kernel.mount(CrashWatcher::new(host, suspects.clone()))?;
        let run_listeners = RunListeners {
            watch,
            suspects: suspects.clone(),
        };
        let monitor = kernel.mount(ReachMonitor::new(Arc::clone(&shared)))?;
        let reach = ReachReporter::new(monitor);
        kernel.mount(ReadinessMonitor::new(Arc::clone(&shared)))?;
        let coordinator = QueueCoordinator::new(Arc::clone(&shared));
        kernel.mount(QueueMonitor::new(
            Arc::clone(&shared),
            Arc::clone(&coordinator),
        ))?;
        let dispatcher = FleetDispatcher::new(
            Arc::clone(&shared),
            exchange,
            reach,
            run_listeners,
            Arc::clone(&coordinator),
        );
        let (stop, stopped) = watch::channel(false);
        let caller_api = CallerApi::new(Arc::clone(&shared), dispatcher);
        let peer_api = PeerApi::new(
            Arc::clone(&shared),
            suspects.clone(),
            Arc::clone(&caller_api),
            coordinator,
            load_coordinator,
        );
        let admin_api = AdminApi::new(Arc::clone(&shared), kernel.clone(), suspects);
        let pool = |kind| {
            let source: Arc<dyn LimitSource> = match kind {
                ListenerKind::Callers => Arc::clone(&shared) as Arc<dyn LimitSource>,
                ListenerKind::Peers | ListenerKind::Admin => Arc::new(ConnectionLimits::default()),
            };
            ConnectionPool::new(kind, settings.limits, source)
        };
        let callers = callers.with_pool(pool(ListenerKind::Callers));
        let peers = peers.with_pool(pool(ListenerKind::Peers));
        let health = health.with_pool(pool(ListenerKind::Admin));
        let metrics = metrics.with_pool(pool(ListenerKind::Admin));
        let servers = vec![
            callers.spawn(caller_api, stopped.clone()),
            peers.spawn(peer_api, stopped.clone()),
            health.spawn(Arc::clone(&admin_api) as Arc<dyn Handler>, stopped.clone()),
            metrics.spawn(admin_api, stopped),
        ];
        log::info!(
            zone = settings.zone.as_str(),
            incarnation = shared.incarnation,
            callers = settings.callers.as_str();
            "node_started"
        );
        Ok(Self {
            shared,
            kernel,
            stop,
            servers,
        })
    }

    /// Returns the settings in effect, with the ports that were actually bound.
    pub fn settings(&self) -> &FleetSettings {
        &self.shared.settings
    }

    /// Shuts the node down without interrupting requests.
    ///
    /// The readiness check fails first. Requests are still accepted until the load balancer has had time to notice,
    /// and each response asks its caller to close the connection. After that, new requests are refused as not run,
    /// and those in flight may finish. The callers of those that do not are told so while there is time to write it, and
    /// the node ends when all answers have been written or its grace period is over.
    pub async fn shutdown(self) {
        let grace = self.shared.settings.grace;
        log::info!(grace_ms = grace.as_millis() as u64; "shutdown_begun");
        self.shared.set_phase(FleetPhase::Leaving);
        tokio::time::sleep(self.shared.exit.plan().notice).await;
        self.shared.set_phase(FleetPhase::Draining);
        let work = OpenWork {
            in_flight: &self.shared.in_flight,
            servers: &self.servers,
        };
        work.ended_by(&self.shared.exit).await;
        let _ = self.stop.send(true);
        let is_complete = work.has_closed().await;
        self.shared.log_costs();
        work.log_end(is_complete);
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.kernel.stop();
    }
}

/// Opens a listener and replaces `address` by the address that was bound, since port 0 is chosen on binding.
async fn open(listener: &'static str, address: &mut String) -> Result<HttpServer, FleetError> {
    let server = HttpServer::open(listener, address)
        .await
        .map_err(|source| FleetError::Bind {
            listener,
            address: address.clone(),
            source,
        })?;
    *address = server.address().to_string();
    Ok(server)
}

/// Returns a number that grows with each restart of the process on one machine.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as Incarnation
}

/// HTTP API for the load balancer's health check, the metrics scraper and operators.
struct AdminApi {
    shared: Arc<FleetShared>,
    kernel: Kernel,
    suspects: Mailbox<SuspectMessage>,
}

/// Path prefix for releasing a quarantined request; the request's fingerprint follows it.
const RELEASE_PATH: &str = "/release/";

impl AdminApi {
    fn new(
        shared: Arc<FleetShared>,
        kernel: Kernel,
        suspects: Mailbox<SuspectMessage>,
    ) -> Arc<Self> {
        Arc::new(Self {
            shared,
            kernel,
            suspects,
        })
    }

    /// Lifts the quarantine of a request on all nodes.
    async fn release(&self, fingerprint: &str) -> Response {
        let Ok(fingerprint) = fingerprint.parse::<SuspectFingerprint>() else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a request's fingerprint");
        };
        if !self.shared.suspects.has_crashes(&fingerprint) {
            return reply_text(StatusCode::NOT_FOUND, "nothing is held of this request");
        }
        let message = SuspectMessage::Released(fingerprint);
        match self.suspects.send(message).await {
            Ok(()) => reply_json(StatusCode::OK, &fingerprint.to_string()),
            Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn respond(&self, method: &Method, path: &str) -> Response {
        if let Some(fingerprint) = path.strip_prefix(RELEASE_PATH) {
            return match *method {
                Method::POST => self.release(fingerprint).await,
                _ => reply_text(StatusCode::METHOD_NOT_ALLOWED, "expected POST"),
            };
        }
        match path {
            "/ready" => reply_readiness(&self.shared.readiness()),
            "/metrics" => {
                let text = self.shared.metrics.render();
                reply_bytes(StatusCode::OK, "text/plain; version=0.0.4", text.into())
            }
            "/costs" => reply_json(StatusCode::OK, &self.shared.costs.lines()),
            "/state" => reply_json(StatusCode::OK, &self.kernel.dump().await),
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn reply_readiness(readiness: &Readiness) -> Response {
    let status = if readiness.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply_text(status, readiness.to_string())
}

impl Handler for AdminApi {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            self.respond(request.method(), &path).await
        })
    }
}
