//! A running node of a fleet: its services, listeners and shutdown.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarswitch_core::id::Incarnation;
use briarswitch_core::print::RequestPrint;
use briarswitch_http::{
    reply_bytes, reply_json, reply_text, Handler, HttpServer, Request, Response, ServerGuard,
};
use briarswitch_kernel::{Kernel, KernelError, Mailbox};
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use tokio::sync::watch;

use crate::controller::GroupController;
use crate::crash_watcher::CrashWatcher;
use crate::dispatch::FleetDispatcher;
use crate::peer_api::PeerApi;
use crate::peers::PeerExchange;
use crate::ports::FleetPlatform;
use crate::run::RunReports;
use crate::settings::FleetSettings;
use crate::shared::{FleetPhase, FleetShared};
use crate::store_sync::{ConfigSync, DirectorySync};
use crate::surface::CallerSurface;
use crate::suspect_host::SuspectHost;
use crate::suspect_sync::{SuspectMessage, SuspectSync};

/// Time for the balancer to notice that the node is no longer ready: two checks a second apart,
/// each with time to be missed.
///
/// Requests are taken for that long. One that is taken later might not be finished before the
/// process has to be gone, and its caller would see the connection end in the middle of the answer.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// Time kept at the end of the grace for the process to go.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time between looks at whether the last request has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A listener could not be bound.
    #[error("{surface} listener at {address}: {source}")]
    Bind {
        /// Surface of the listener.
        surface: &'static str,
        /// Address wanted.
        address: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// The control thread could not be set up.
    #[error(transparent)]
    Kernel(#[from] KernelError),
}

/// A running node.
pub struct FleetNode {
    shared: Arc<FleetShared>,
    stop: watch::Sender<bool>,
    _servers: Vec<ServerGuard>,
}

impl FleetNode {
    /// Starts a node on the present runtime.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] when a listener can not be bound or the control thread not started.
    pub async fn spawn(
        settings: FleetSettings,
        platform: FleetPlatform,
    ) -> Result<Self, FleetError> {
        let mut settings = settings;
        let callers = bind("callers", &mut settings.callers).await?;
        let health = bind("health", &mut settings.health).await?;
        let peers = bind("peers", &mut settings.peers).await?;
        let metrics = bind("metrics", &mut settings.metrics).await?;
        let shared = FleetShared::open(settings, new_incarnation(), platform);
        let settings = &shared.settings;
        let kernel = Kernel::spawn()?;
        kernel.mount(ConfigSync::new(Arc::clone(&shared)))?;
        kernel.mount(DirectorySync::new(Arc::clone(&shared)))?;
        let exchange = kernel.mount(PeerExchange::new(Arc::clone(&shared)))?;
        kernel.mount(GroupController::open(Arc::clone(&shared)))?;
        let host: Arc<dyn SuspectHost> = Arc::clone(&shared) as Arc<dyn SuspectHost>;
        let suspects = kernel.mount(SuspectSync::new(Arc::clone(&host)))?;
        let watch = kernel.mount(CrashWatcher::new(host, suspects.clone()))?;
        let reports = RunReports {
            watch,
            suspects: suspects.clone(),
        };
        let dispatcher = FleetDispatcher::open(Arc::clone(&shared), exchange, reports);
        let (stop, stopped) = watch::channel(false);
        let surface = CallerSurface::open(Arc::clone(&shared), dispatcher);
        let peer_surface = PeerApi::new(Arc::clone(&shared), suspects.clone());
        let state = StateSurface::open(Arc::clone(&shared), kernel, suspects);
        let servers = vec![
            callers.spawn(surface, stopped.clone()),
            peers.spawn(peer_surface, stopped.clone()),
            health.spawn(Arc::clone(&state) as Arc<dyn Handler>, stopped.clone()),
            metrics.spawn(state, stopped),
        ];
        log::info!(
            zone = settings.zone.as_str(),
            incarnation = shared.incarnation,
            callers = settings.callers.as_str();
            "node_started"
        );
        Ok(Self {
            shared,
            stop,
            _servers: servers,
        })
    }

    /// Returns the settings in force, with the ports that were bound.
    pub fn settings(&self) -> &FleetSettings {
        &self.shared.settings
    }

    /// Ends the node without cutting off a request.
    ///
    /// The balancer's check fails first, and requests are still taken until it has had time to
    /// notice; each answer asks its caller to use another connection. Then new ones are refused as
    /// not run, and those in flight are finished, as long as the grace allows.
    pub async fn shutdown(self) {
        let grace = self.shared.settings.grace;
        log::info!(grace_ms = grace.as_millis() as u64; "shutdown_begun");
        self.shared.enter(FleetPhase::Leaving);
        let notice = NOTICE_TIME.min(grace / 2);
        tokio::time::sleep(notice).await;
        self.shared.enter(FleetPhase::Draining);
        let left = grace.saturating_sub(notice + EXIT_MARGIN);
        let drained = tokio::time::timeout(left, self.drain()).await;
        self.shared.log_costs();
        let open = self.shared.in_flight.load(Ordering::SeqCst);
        log::info!(complete = drained.is_ok(), in_flight = open; "shutdown_ended");
        let _ = self.stop.send(true);
    }

    async fn drain(&self) {
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }
}

/// Binds a listener, and puts the port that it got in place of one left open.
async fn bind(surface: &'static str, address: &mut String) -> Result<HttpServer, FleetError> {
    let server = HttpServer::bind(address)
        .await
        .map_err(|source| FleetError::Bind {
            surface,
            address: address.clone(),
            source,
        })?;
    *address = server.address().to_string();
    Ok(server)
}

/// Returns a number that is higher for each later life of a process on one machine.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as Incarnation
}

/// Answers the balancer's check, the metrics scraper, and requests for the node's state.
struct StateSurface {
    shared: Arc<FleetShared>,
    kernel: Kernel,
    suspects: Mailbox<SuspectMessage>,
}

/// Path below which a request's fingerprint names what the operator releases.
const RELEASE_PATH: &str = "/release/";

impl StateSurface {
    fn open(
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

    /// Lets a quarantined request run again, at all nodes.
    async fn release(&self, name: &str) -> Response {
        let Ok(print) = name.parse::<RequestPrint>() else {
            return reply_text(StatusCode::BAD_REQUEST, "expected a request's fingerprint");
        };
        if !self.shared.suspects.has_crashes(&print) {
            return reply_text(StatusCode::NOT_FOUND, "nothing is held of this request");
        }
        match self.suspects.send(SuspectMessage::Released(print)).await {
            Ok(()) => reply_json(StatusCode::OK, &print.to_string()),
            Err(error) => reply_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn answer(&self, method: &Method, path: &str) -> Response {
        if let Some(name) = path.strip_prefix(RELEASE_PATH) {
            return match *method {
                Method::POST => self.release(name).await,
                _ => reply_text(StatusCode::METHOD_NOT_ALLOWED, "expected POST"),
            };
        }
        match path {
            "/ready" if self.shared.is_ready() => reply_text(StatusCode::OK, "ready"),
            "/ready" => reply_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            "/metrics" => {
                let page = self.shared.metrics.page();
                reply_bytes(StatusCode::OK, "text/plain; version=0.0.4", page.into())
            }
            "/costs" => reply_json(StatusCode::OK, &self.shared.costs.lines()),
            "/state" => reply_json(StatusCode::OK, &self.kernel.dump().await),
            _ => reply_text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Handler for StateSurface {
    fn handle(&self, request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            self.answer(request.method(), &path).await
        })
    }
}
