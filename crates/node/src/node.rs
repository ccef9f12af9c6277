//! A running node: its services, listeners and shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_fleet::crash_watcher::CrashWatcher;
use briarswitch_fleet::open_work::OpenWork;
use briarswitch_fleet::run::RunListeners;
use briarswitch_fleet::suspect_host::SuspectHost;
use briarswitch_fleet::suspect_sync::SuspectSync;
use briarswitch_http::{
    limit_responses, ConnectionPool, HttpServer, ListenerKind, ServerGuard, TargetClient,
    TargetLimits,
};
use briarswitch_kernel::{Kernel, KernelError, Mailbox};
use briarswitch_platform::HttpPlatform;
use tokio::sync::{oneshot, watch};

use crate::attempt::AttemptRunner;
use crate::caller::CallerApi;
use crate::claims::ClaimWriter;
use crate::config::ConfigSync;
use crate::controller::{ControllerMessage, ZoneController};
use crate::dispatch::RequestDispatcher;
use crate::health::HealthApi;
use crate::operator_api::OperatorApi;
use crate::peer_api::PeerApi;
use crate::peers::PeerExchange;
use crate::settings::NodeSettings;
use crate::shared::{NodeShared, Phase};
use crate::suspect_host::NodeSuspectHost;
use crate::usage::{UsageMessage, UsageWriter};
use crate::watch::FleetWatcher;

/// Most idle connections kept open to one target.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Time between checks for unwritten usage during shutdown.
const USAGE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time to wait during shutdown for usage to be written, and then for the lease's release.
const PLATFORM_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that keeps a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("{listener} listener at {address}: {source}")]
    Bind {
        /// Name of the listener: `callers`, `operators`, `peers` or `health`.
        listener: &'static str,
        /// Address to bind.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The control thread could not be set up.
    #[error(transparent)]
    Kernel(#[from] KernelError),
}

/// Addresses that a node listens at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Listener for health checks and metrics.
    pub health: SocketAddr,
}

/// A running node.
pub struct Node {
    shared: Arc<NodeShared>,
    controller: Mailbox<ControllerMessage>,
    usage: Mailbox<UsageMessage>,
    addresses: NodeAddresses,
    kernel: Kernel,
    stop: watch::Sender<bool>,
    servers: [ServerGuard; 4],
}

impl Node {
    /// Starts a node on the current tokio runtime.
    ///
    /// A listener whose address cannot be bound yet is bound later, while everything else runs.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] when a listener can never be bound or the control thread cannot be started.
    pub async fn spawn(settings: NodeSettings) -> Result<Self, NodeError> {
        limit_responses(&settings.limits);
        let platform =
            HttpPlatform::open(settings.platform.clone(), settings.control.platform_timeout);
        let shared = NodeShared::new(settings, new_incarnation(), platform);
        let listen = &shared.settings.listen;
        let callers = open("callers", &listen.callers).await?;
        let operators = open("operators", &listen.operators).await?;
        let peers = open("peers", &listen.peers).await?;
        let health = open("health", &listen.health).await?;
        let addresses = NodeAddresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address(),
            health: health.address(),
        };
        shared.set_caller_listener(Arc::clone(callers.status()));
        let kernel = Kernel::spawn()?;
        kernel.mount(ConfigSync::new(Arc::clone(&shared)))?;
        let watcher = kernel.mount(FleetWatcher::new(Arc::clone(&shared)))?;
        let controller = kernel.mount(ZoneController::new(Arc::clone(&shared)))?;
        let usage = kernel.mount(UsageWriter::new(Arc::clone(&shared)))?;
        kernel.mount(PeerExchange::new(Arc::clone(&shared)))?;

        let client = TargetClient::new(TargetLimits {
            connect_timeout: shared.settings.requests.connect_timeout,
            max_idle: MAX_IDLE_CONNECTIONS,
        });
        let suspects = NodeSuspectHost::new(Arc::clone(&shared), watcher.clone());
        let suspect_host: Arc<dyn SuspectHost> = Arc::clone(&suspects) as Arc<dyn SuspectHost>;
        let suspect_sync = kernel.mount(SuspectSync::new(Arc::clone(&suspect_host)))?;
        let run_listeners = RunListeners {
            watch: kernel.mount(CrashWatcher::new(suspect_host, suspect_sync.clone()))?,
            suspects: suspect_sync,
        };
        let runner = AttemptRunner::new(client, watcher);
        let claims = ClaimWriter::spawn(Arc::clone(&shared));
        let dispatcher =
            RequestDispatcher::new(Arc::clone(&shared), runner, claims, suspects, run_listeners);
        let (stop, stopped) = watch::channel(false);
        let caller_api = CallerApi::new(Arc::clone(&shared), Arc::clone(&dispatcher));
        let peer_api = PeerApi::new(Arc::clone(&shared), Arc::clone(&caller_api));
        let limits = Arc::new(shared.settings.connection_limits());
        let pool = |kind| ConnectionPool::new(kind, shared.settings.limits, limits.clone());
        let callers = callers.with_pool(pool(ListenerKind::Callers));
        let operators = operators.with_pool(pool(ListenerKind::Admin));
        let peers = peers.with_pool(pool(ListenerKind::Peers));
        let health = health.with_pool(pool(ListenerKind::Admin));
        let servers = [
            callers.spawn(caller_api, stopped.clone()),
            operators.spawn(
                OperatorApi::new(Arc::clone(&shared), kernel.clone(), dispatcher),
                stopped.clone(),
            ),
            peers.spawn(peer_api, stopped.clone()),
            health.spawn(HealthApi::new(Arc::clone(&shared), kernel.clone()), stopped),
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
            kernel,
            stop,
            servers,
        })
    }

    /// Returns the addresses that the node listens at.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Shuts the node down gracefully.
    ///
    /// Readiness checks fail first, and requests are still accepted for `shutdown.notice_ms`, in
    /// which the load balancer takes the node out. Then new requests are refused as not run, those
    /// in flight run to their end for at most `shutdown.drain_ms`, usage is written, and the
    /// listeners close. Callers of requests that have no answer by then are told so while there is
    /// time to write it. The release of the lease begins with the failing checks.
    pub async fn shutdown(self) {
        log::info!("shutdown_begun");
        self.shared.set_phase(Phase::Leaving);
        let released = self.release_lease();
        tokio::time::sleep(self.shared.exit.plan().notice).await;
        self.shared.set_phase(Phase::Draining);
        let work = OpenWork {
            in_flight: &self.shared.in_flight,
            servers: &self.servers,
        };
        work.ended_by(&self.shared.exit).await;
        let is_complete = work.has_closed().await;
        self.flush_usage().await;
        let _ = tokio::time::timeout(PLATFORM_WRITE_TIMEOUT, released).await;
        let _ = self.stop.send(true);
        work.log_end(is_complete);
    }

    fn release_lease(&self) -> oneshot::Receiver<()> {
        let (reply, released) = oneshot::channel();
        let _ = self.controller.post(ControllerMessage::Release(reply));
        released
    }

    async fn flush_usage(&self) {
        let flushing = async {
            while !self.shared.usage.is_empty() {
                let _ = self.usage.send(UsageMessage::Flush).await;
                tokio::time::sleep(USAGE_POLL_INTERVAL).await;
            }
            // The meter is empty once its last batch is taken, which is before that batch is
            // written; one more flush and wait give that write time to end, or repeat it.
            let _ = self.usage.send(UsageMessage::Flush).await;
            tokio::time::sleep(USAGE_POLL_INTERVAL * 2).await;
        };
        let _ = tokio::time::timeout(PLATFORM_WRITE_TIMEOUT, flushing).await;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kernel.stop();
    }
}

async fn open(listener: &'static str, address: &str) -> Result<HttpServer, NodeError> {
    HttpServer::open(listener, address)
        .await
        .map_err(|source| NodeError::Bind {
            listener,
            address: address.to_owned(),
            source,
        })
}

/// Draws a random incarnation for this run of the process; a diskless `Vm` cannot store a counter.
fn new_incarnation() -> Incarnation {
    u64::from(rand::random::<u32>()) + 1
}
