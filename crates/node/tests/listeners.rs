//! A node, as a process, that is started while the address of a listener can't be bound.

mod support;

#[path = "../../../platform/tests/support/mod.rs"]
mod platform;

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use platform::crowd::{crowd_config, ordinary_headers, CALM_SERVICE, ORDINARY_PATH};
use platform::server::ServerStandin;
use platform::store::StoreStandin;
use support::{free_ports, Cluster, ClusterSpec, Ports, WAIT_TIMEOUT};

/// Size of the largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;
/// Time between a signal to end and the end.
const GRACE: Duration = Duration::from_secs(4);
/// Address for documentation, which no machine has.
const FOREIGN_ADDRESS: ([u8; 4], u16) = ([192, 0, 2, 1], 7000);

/// Addresses of a node's listeners.
#[derive(Clone, Copy, Debug)]
struct NodeAddresses {
    callers: SocketAddr,
    health: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

impl NodeAddresses {
    fn free() -> Self {
        let ports = free_ports(4);
        let [callers, health, peers, metrics] =
            [0, 1, 2, 3].map(|index| SocketAddr::from(([127, 0, 0, 1], ports[index])));
        Self {
            callers,
            health,
            peers,
            metrics,
        }
    }
}

/// A node's process and what it needs.
struct FleetProcess {
    addresses: NodeAddresses,
    child: Child,
    log: PathBuf,
    _server: ServerStandin,
    _store: StoreStandin,
}

impl FleetProcess {
    async fn start(addresses: NodeAddresses) -> Self {
        let store = StoreStandin::bind().await;
        store.put_config(&crowd_config(BODY_BYTES));
        let server = ServerStandin::bind(&store, "i-calm-0", CALM_SERVICE).await;
        let NodeAddresses {
            callers,
            health,
            peers,
            metrics,
        } = addresses;
        let settings = json!({
            "node": "front-1", "zone": "z1", "regions": {"z1": "r1"},
            "callers": callers, "health": health, "peers": peers, "metrics": metrics,
            "store": store.address(), "link_mbps": 1000,
            "is_first_start": true, "fails_closed": true, "key_validity_ms": 5000,
            "retry_ratio": 0.2, "retry_burst": 600, "retry_window_s": 10,
            "grace_s": GRACE.as_secs(), "log_level": "info",
        });
        let stem = format!("briarswitch-listeners-{}", callers.port());
        let stem = std::env::temp_dir().join(stem);
        let file = stem.with_extension("json");
        fs::write(&file, settings.to_string()).expect("a settings file");
        let log = stem.with_extension("log");
        let child = Command::new(env!("CARGO_BIN_EXE_briarswitch-node"))
            .arg("--fleet")
            .arg(&file)
            .stdout(File::create(&log).expect("a log"))
            .spawn()
            .expect("the node starts");
        Self {
            addresses,
            child,
            log,
            _server: server,
            _store: store,
        }
    }

    /// Returns whether a line of the log has this event and all these texts.
    fn has_logged(&self, event: &str, texts: &[&str]) -> bool {
        let event = format!(" event={event} ");
        let log = fs::read_to_string(&self.log).expect("a log");
        let mut lines = log.lines();
        lines.any(|line| line.contains(&event) && texts.iter().all(|text| line.contains(text)))
    }

    /// Waits until a condition is true; fails if the process ends before.
    async fn wait(&mut self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self).await {
            let ended = self.child.try_wait().expect("a child");
            assert!(ended.is_none(), "ended with {ended:?}, before: {what}");
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_until_unbound(&mut self, listener: &str, address: SocketAddr) {
        let listener = format!(" listener={listener} ");
        let address = format!(" address={address} ");
        let texts = [listener.as_str(), address.as_str()];
        self.wait("the log names the listener", async |node| {
            node.has_logged("listener_unbound", &texts)
        })
        .await;
    }

    async fn wait_until_served(&mut self) {
        self.wait("callers are served", async |node| {
            let answer = node.ordinary_answer().await;
            answer.starts_with("HTTP/1.1 200 ")
        })
        .await;
    }

    async fn wait_until_ready(&mut self) {
        self.wait("the node is ready", async |node| {
            let answer = get(node.addresses.health, "/ready").await;
            answer.starts_with("HTTP/1.1 200 ")
        })
        .await;
    }

    async fn ordinary_answer(&self) -> String {
        let headers = ordinary_headers();
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let lines: String = lines.collect();
        let head = format!("POST {ORDINARY_PATH} HTTP/1.1\r\n{lines}content-length: 2\r\n");
        exchange(self.addresses.callers, &head, "hi").await
    }

    /// Ends the node by a signal, as whoever runs it does; returns how it ended and after how long.
    fn terminate(&mut self) -> (ExitStatus, Duration) {
        let start = Instant::now();
        let process = Pid::from_raw(self.child.id() as i32);
        kill(process, Signal::SIGTERM).expect("the process is there");
        let status = self.child.wait().expect("a child");
        (status, start.elapsed())
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request on a new connection; returns everything that was received, nothing if that failed.
async fn exchange(address: SocketAddr, head: &str, body: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let request = format!("{head}connection: close\r\n\r\n{body}");
    let mut bytes = Vec::new();
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let _ = stream.read_to_end(&mut bytes).await;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn get(address: SocketAddr, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n");
    exchange(address, &head, "").await
}

/// Guards against a process that ends because another socket still has the address for callers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_waits_for_the_address_of_callers() {
    let addresses = NodeAddresses::free();
    let held = TcpListener::bind(addresses.callers).expect("a free address");
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("callers", addresses.callers).await;
    let reason = format!("callers at {}", addresses.callers);
    node.wait("the address is all that is missing", async |_| {
        let answer = get(addresses.health, "/ready").await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        // Reasons are separated by semicolons.
        let is_only_reason = body.contains(&reason) && !body.contains(';');
        head.starts_with("HTTP/1.1 503 ") && is_only_reason
    })
    .await;
    drop(held);
    node.wait_until_served().await;
    node.wait_until_ready().await;
    node.wait("the log says that the address is bound", async |node| {
        node.has_logged("listener_bound", &[" listener=callers "])
    })
    .await;
}

/// Guards against a process that ends because another socket still has the address for health checks.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_serves_while_it_waits_for_the_address_of_health_checks() {
    let addresses = NodeAddresses::free();
    let held = TcpListener::bind(addresses.health).expect("a free address");
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("health", addresses.health).await;
    node.wait_until_served().await;
    drop(held);
    node.wait_until_ready().await;
}

/// Guards against a process that ends because another socket still has the address for other nodes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_ready_while_it_waits_for_the_address_of_peers() {
    let addresses = NodeAddresses::free();
    let held = TcpListener::bind(addresses.peers).expect("a free address");
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("peers", addresses.peers).await;
    node.wait_until_ready().await;
    node.wait_until_served().await;
    drop(held);
    node.wait("other nodes are answered", async |_| {
        let answer = get(addresses.peers, "/").await;
        answer.starts_with("HTTP/1.1 ")
    })
    .await;
}

/// Guards against a process that ends because another socket still has the address for metrics.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_ready_while_it_waits_for_the_address_of_metrics() {
    let addresses = NodeAddresses::free();
    let held = TcpListener::bind(addresses.metrics).expect("a free address");
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("metrics", addresses.metrics).await;
    node.wait_until_ready().await;
    node.wait_until_served().await;
    drop(held);
    node.wait("metrics are answered", async |_| {
        let answer = get(addresses.metrics, "/metrics").await;
        answer.starts_with("HTTP/1.1 200 ")
    })
    .await;
}

/// Guards against a process that ends because its machine doesn't have one of its addresses yet.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_ready_without_an_address_that_its_machine_does_not_have() {
    let metrics = SocketAddr::from(FOREIGN_ADDRESS);
    let addresses = NodeAddresses {
        metrics,
        ..NodeAddresses::free()
    };
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("metrics", metrics).await;
    node.wait_until_ready().await;
    node.wait_until_served().await;
}

/// Guards against a process that can't be ended within its grace period while an address is held.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_ends_in_time_while_it_waits_for_an_address() {
    let addresses = NodeAddresses::free();
    let _held = TcpListener::bind(addresses.callers).expect("a free address");
    let mut node = FleetProcess::start(addresses).await;
    node.wait_until_unbound("callers", addresses.callers).await;
    let ended = tokio::task::spawn_blocking(move || node.terminate()).await;
    let (status, duration) = ended.expect("the node ends");
    expect_true!(status.success(), "{status}");
    expect_that!(duration, le(GRACE));
}

/// Starts a node whose settings name everything, and starts it again while the port of a listener is held.
async fn restart_while_held(port: impl Fn(&Ports) -> u16) -> (Cluster, TcpListener) {
    let mut cluster = Cluster::start(ClusterSpec {
        zones: 1,
        nodes_per_zone: 1,
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    })
    .await;
    let node = &mut cluster.nodes[0];
    node.kill();
    let address = SocketAddr::from(([127, 0, 0, 1], port(&node.ports)));
    let held = TcpListener::bind(address).expect("a free address");
    node.restart();
    (cluster, held)
}

/// Waits until a condition is true; fails if the process of the first node ends before.
async fn wait_alive(cluster: &mut Cluster, what: &str, condition: impl AsyncFn(&Cluster) -> bool) {
    let start = Instant::now();
    while !condition(cluster).await {
        assert!(!cluster.nodes[0].has_exited(), "ended before: {what}");
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_until_called(cluster: &mut Cluster) {
    wait_alive(cluster, "the service answers", async |cluster| {
        let answer = cluster.call_service(0, "/ping", &[]).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
}

async fn wait_until_own_ready(cluster: &mut Cluster) {
    wait_alive(cluster, "the node is ready", async |cluster| {
        cluster.is_ready(0).await
    })
    .await;
}

/// Guards against a process that ends because another socket still has the address for callers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_of_its_own_waits_for_the_address_of_callers() {
    let (mut cluster, held) = restart_while_held(|ports| ports.callers).await;
    let health = SocketAddr::from(([127, 0, 0, 1], cluster.nodes[0].ports.health));
    let reason = format!("callers at 127.0.0.1:{}", cluster.nodes[0].ports.callers);
    wait_alive(&mut cluster, "the address is missing", async |_| {
        let answer = get(health, "/ready").await;
        answer.starts_with("HTTP/1.1 503 ") && answer.contains(&reason)
    })
    .await;
    drop(held);
    wait_until_own_ready(&mut cluster).await;
    wait_until_called(&mut cluster).await;
}

/// Guards against a process that ends because another socket still has an address that no caller needs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_of_its_own_serves_while_it_waits_for_the_address_of_operators() {
    let (mut cluster, held) = restart_while_held(|ports| ports.operators).await;
    wait_until_own_ready(&mut cluster).await;
    wait_until_called(&mut cluster).await;
    drop(held);
    wait_alive(&mut cluster, "operators are answered", async |cluster| {
        cluster.status(0).await.is_some()
    })
    .await;
}
