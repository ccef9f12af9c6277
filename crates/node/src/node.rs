//! A running node: its services, listeners and shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_fleet::crash_watcher::CrashWatcher;
use briarswitch_fleet::run::RunListeners;
use briarswitch_fleet::suspect_host::SuspectHost;
use briarswitch_fleet::suspect_sync::SuspectSync;
use briarswitch_http::{HttpServer, ServerGuard, TargetClient, TargetLimits};
use briarswitch_kernel::{Kernel, KernelError, Mailbox};
use briarswitch_platform::HttpPlatform;
use tokio::sync::{oneshot, watch};

use crate::answer::PeerSurface;
use crate::attempt::AttemptRunner;
use crate::caller::CallerSurface;
use crate::claims::ClaimWriter;
use crate::config::ConfigKeeper;
use crate::controller::{ControllerMessage, ZoneController};
use crate::dispatch::RequestDispatcher;
use crate::health::HealthSurface;
use crate::operator::OperatorSurface;
use crate::peers::PeerExchange;
use crate::settings::NodeSettings;
use crate::shared::{NodeShared, Phase};
use crate::suspects::NodeSuspects;
use crate::usage::{UsageMessage, UsageWriter};
use crate::watch::FleetWatcher;

/// Idle connections kept for one target.
const IDLE_CONNECTIONS: usize = 256;
/// Time between looks at whether the last request has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Longest time to wait for the platform while shutting down.
const FAREWELL: Duration = Duration::from_secs(2);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
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

/// Addresses a node listens at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For health checks.
    pub health: SocketAddr,
}

/// A running node.
pub struct Node {
    shared: Arc<NodeShared>,
    controller: Mailbox<ControllerMessage>,
    usage: Mailbox<UsageMessage>,
    addresses: NodeAddresses,
    stop: watch::Sender<bool>,
    _servers: [ServerGuard; 4],
}

impl Node {
    /// Starts a node on the present runtime.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] when a listener can not be bound or the control thread not started.
    pub async fn spawn(settings: NodeSettings) -> Result<Self, NodeError> {
        let platform =
            HttpPlatform::open(settings.platform.clone(), settings.control.platform_timeout);
        let shared = NodeShared::open(settings, new_incarnation(), platform);
        let listen = &shared.settings.listen;
        let callers = bind("callers", &listen.callers).await?;
        let operators = bind("operators", &listen.operators).await?;
        let peers = bind("peers", &listen.peers).await?;
        let health = bind("health", &listen.health).await?;
        let addresses = NodeAddresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address(),
            health: health.address(),
        };
        let kernel = Kernel::spawn()?;
        kernel.mount(ConfigKeeper::open(Arc::clone(&shared)))?;
        let watcher = kernel.mount(FleetWatcher::open(Arc::clone(&shared)))?;
        let controller = kernel.mount(ZoneController::open(Arc::clone(&shared)))?;
        let usage = kernel.mount(UsageWriter::open(Arc::clone(&shared)))?;
        kernel.mount(PeerExchange::open(Arc::clone(&shared)))?;

        let client = TargetClient::new(TargetLimits {
            connect_timeout: shared.settings.requests.connect_timeout,
            max_idle: IDLE_CONNECTIONS,
        });
        let suspects = NodeSuspects::open(Arc::clone(&shared), watcher.clone());
        let host: Arc<dyn SuspectHost> = Arc::clone(&suspects) as Arc<dyn SuspectHost>;
        let keeper = kernel.mount(SuspectSync::new(Arc::clone(&host)))?;
        let reports = RunListeners {
            watch: kernel.mount(CrashWatcher::new(host, keeper.clone()))?,
            suspects: keeper,
        };
        let runner = AttemptRunner::open(client, watcher);
        let claims = ClaimWriter::spawn(Arc::clone(&shared));
        let dispatcher =
            RequestDispatcher::open(Arc::clone(&shared), runner, claims, suspects, reports);
        let (stop, stopped) = watch::channel(false);
        let surface = CallerSurface::open(Arc::clone(&shared), Arc::clone(&dispatcher));
        let peer_surface = PeerSurface::open(Arc::clone(&shared), Arc::clone(&surface));
        let servers = [
            callers.spawn(surface, stopped.clone()),
            operators.spawn(
                OperatorSurface::open(Arc::clone(&shared), kernel.clone(), dispatcher),
                stopped.clone(),
            ),
            peers.spawn(peer_surface, stopped.clone()),
            health.spawn(HealthSurface::open(Arc::clone(&shared), kernel), stopped),
        ];
        log::info!(
            zone = shared.settings.zone.as_str(),
            incarnation = shared.incarnation,
            callers:% = addresses.callers,
            operators:% = addresses.operators;
            "node_started"
        );
        Ok(Self {
            shared,
            controller,
            usage,
            addresses,
            stop,
            _servers: servers,
        })
    }

    /// Returns the addresses it listens at.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Ends the node without cutting off a request.
    ///
    /// The balancer's check fails first, and requests are still taken until it has had time to
    /// notice; then new ones are refused as not run, those in flight are finished, usage is
    /// written, the lease is given up, and the listeners close.
    pub async fn shutdown(self) {
        log::info!("shutdown_begun");
        let times = self.shared.settings.shutdown;
        self.shared.enter(Phase::Leaving);
        let released = self.release_lease();
        tokio::time::sleep(times.notice).await;
        self.shared.enter(Phase::Draining);
        let drained = tokio::time::timeout(times.drain, self.drain()).await;
        self.flush_usage().await;
        let _ = tokio::time::timeout(FAREWELL, released).await;
        let left = self.shared.in_flight.load(Ordering::SeqCst);
        log::info!(complete = drained.is_ok(), in_flight = left; "shutdown_ended");
        let _ = self.stop.send(true);
    }

    fn release_lease(&self) -> oneshot::Receiver<()> {
        let (reply, released) = oneshot::channel();
        let _ = self.controller.post(ControllerMessage::Release(reply));
        released
    }

    async fn drain(&self) {
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    async fn flush_usage(&self) {
        let flushing = async {
            while !self.shared.usage.is_empty() {
                let _ = self.usage.send(UsageMessage::Flush).await;
                tokio::time::sleep(DRAIN_POLL).await;
            }
            // One more round writes the batch that was cut last.
            let _ = self.usage.send(UsageMessage::Flush).await;
            tokio::time::sleep(DRAIN_POLL * 2).await;
        };
        let _ = tokio::time::timeout(FAREWELL, flushing).await;
    }
}

async fn bind(surface: &'static str, address: &str) -> Result<HttpServer, NodeError> {
    HttpServer::bind(address)
        .await
        .map_err(|source| NodeError::Bind {
            surface,
            address: address.to_owned(),
            source,
        })
}

/// Draws the name of this life of the process; diskless machines can not count their lives.
fn new_incarnation() -> Incarnation {
    u64::from(rand::random::<u32>()) + 1
}
