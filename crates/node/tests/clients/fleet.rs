//! A node that serves a fleet, as a process, with stand-ins for the store and a plain server.

use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use serde_json::json;

#[path = "../../../../platform/tests/support/mod.rs"]
mod platform;

use crate::process::Bounds;
use crate::subject::Subject;
use crate::support::{free_ports, WAIT_TIMEOUT};
use platform::crowd::{crowd_config, ordinary_headers, CALM_SERVICE, ORDINARY_PATH};
use platform::server::ServerStandin;
use platform::store::StoreStandin;

#[allow(unused_imports)]
pub use briarswitch_fleet::forward::FORWARD_PATH;
#[allow(unused_imports)]
pub use platform::crowd::prompt_parts_line;
#[allow(unused_imports)]
pub use platform::server::{
    ENDLESS_STREAM_PATH, HUGE_EVENT_PATH, LARGE_ANSWER_PATH, SLOW_ANSWER_PATH, UNENDED_EVENT_PATH,
};
#[allow(unused_imports)]
pub use platform::store::StoreNoise;
#[allow(unused_imports)]
pub use platform::ENGINE_SERVICE;

/// Path of the exchange of membership between nodes.
pub const GOSSIP_PATH: &str = "/gossip";

pub struct FleetProcess {
    pub callers: SocketAddr,
    pub health: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    child: Child,
    _servers: [ServerStandin; 2],
    #[allow(dead_code)]
    pub store: StoreStandin,
}

impl FleetProcess {
    /// Starts a node; `file_limit` is the number of files that the system lets it open.
    pub async fn start(bounds: Bounds, file_limit: Option<usize>) -> Self {
        let store = StoreStandin::bind().await;
        store.put_config(&crowd_config(crate::BODY_BYTES));
        let servers = [
            ServerStandin::bind(&store, "i-plain-0", platform::PLAIN_SERVICE).await,
            ServerStandin::bind(&store, "i-calm-0", CALM_SERVICE).await,
        ];
        let ports = free_ports(4);
        let [callers, health, peers, metrics] =
            [0, 1, 2, 3].map(|index| SocketAddr::from(([127, 0, 0, 1], ports[index])));
        let settings = json!({
            "node": "front-1", "zone": "z1", "regions": {"z1": "r1"},
            "callers": callers, "health": health, "peers": peers, "metrics": metrics,
            "store": store.address(), "link_mbps": 1000,
            "memory_mb": bounds.memory_bytes / 1_000_000, "max_open_files": bounds.open_files,
            "is_first_start": true, "fails_closed": true, "key_validity_ms": 5000,
            "retry_ratio": 0.2, "retry_burst": 600, "retry_window_s": 10, "grace_s": 4,
            "log_level": "info",
        });
        let stem = std::env::temp_dir().join(format!("briarswitch-fleet-{}", callers.port()));
        let file = stem.with_extension("json");
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        let log = File::create(stem.with_extension("log")).expect("a log");
        // The shell lowers the limit and becomes the node.
        let script = file_limit.map_or(String::new(), |limit| format!("ulimit -n {limit}; "));
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("{script}exec \"$0\" --fleet \"$1\""))
            .arg(env!("CARGO_BIN_EXE_briarswitch-node"))
            .arg(&file)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("the node starts");
        let fleet = Self {
            callers,
            health,
            peers,
            metrics,
            child,
            _servers: servers,
            store,
        };
        fleet.wait_until_served().await;
        fleet
    }

    async fn wait_until_served(&self) {
        let subject = self.subject();
        let start = Instant::now();
        while subject.ordinary_status().await != 200 {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: the node serves");
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }

    pub fn subject(&self) -> Subject {
        self.subject_at(self.callers)
    }

    /// Returns the node with the crowd at one of its listeners.
    pub fn subject_at(&self, attacked: SocketAddr) -> Subject {
        Subject {
            process: self.child.id(),
            callers: self.callers,
            attacked,
            path: ORDINARY_PATH.to_owned(),
            prefix: String::new(),
            headers: ordinary_headers(),
        }
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
