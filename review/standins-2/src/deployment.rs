//! A small deployment: the store with a configuration, and nodes in their zones.

use std::thread;
use std::time::Duration;

use crate::json::{object, Json};
use crate::node::{loopback_ip, Node, Place, Platform};
use crate::store::Store;
use crate::CaseError;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const PLAIN_SERVICE: &str = "kaunter-app";
/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["kakkanad", "edappally", "vyttila"];
/// Index of the loopback address of the store; nodes and servers have others.
const STORE_INDEX: u8 = 1;
const FIRST_NODE_INDEX: u8 = 11;

/// Returns a route to the plain service.
pub fn route(prefix: &str, kind: &str, timeout_ms: u64, max_attempts: u64) -> Json {
    object([
        ("name", format!("r{}", prefix.trim_matches('/')).into()),
        ("hostname", HOST.into()),
        ("prefix", prefix.into()),
        ("type", kind.into()),
        ("timeout_ms", timeout_ms.into()),
        ("target_latency_ms", 150.into()),
        ("priority", 2.into()),
        ("service", PLAIN_SERVICE.into()),
        ("max_attempts", max_attempts.into()),
        ("public", false.into()),
        ("resumable", false.into()),
    ])
}

/// Returns the services of a configuration: one plain service.
pub fn plain_services() -> Json {
    let service = object([
        ("name", PLAIN_SERVICE.into()),
        ("health_path", "/healthz".into()),
        ("max_connections", 96.into()),
    ]);
    vec![service].into()
}

/// Returns a configuration with one tenant and one key.
pub fn config(version: u64, routes: Vec<Json>, services: Json) -> Json {
    let limits = object([
        ("max_header_bytes", 16_384.into()),
        ("max_body_bytes", 4_194_304.into()),
        ("header_timeout_ms", 5_000.into()),
        ("idle_timeout_ms", 15_000.into()),
    ]);
    let tenant = object([
        ("name", TENANT.into()),
        ("api_keys", vec![KEY.into()].into()),
        ("priority", 1.into()),
    ]);
    object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", services),
        ("limits", limits),
        ("tenants", vec![tenant].into()),
    ])
}

/// Starts a store that holds a configuration.
pub fn start_store(config: &Json) -> Result<Store, CaseError> {
    let store = Store::start(&loopback_ip(STORE_INDEX))?;
    store.put("op", "config", config);
    Ok(store)
}

/// Starts nodes, one in each zone in turn, and waits until all are ready.
pub fn start_nodes(count: usize, store_address: &str) -> Result<Vec<Node>, CaseError> {
    let platform = Platform {
        store: store_address.to_owned(),
        zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
        is_first_start: true,
    };
    let mut nodes = Vec::new();
    for index in 0..count {
        let zone = ZONES[index % ZONES.len()];
        let place = Place {
            name: format!("front-{zone}-{}", 1 + index / ZONES.len()),
            ip: loopback_ip(FIRST_NODE_INDEX + index as u8),
            zone: zone.to_owned(),
        };
        nodes.push(Node::start(place, &platform)?);
    }
    for node in &nodes {
        if !node.wait_until_ready() {
            return Err(format!("{} did not become ready", node.place.name).into());
        }
    }
    // The nodes have found each other by then.
    thread::sleep(Duration::from_millis(1_500));
    Ok(nodes)
}
