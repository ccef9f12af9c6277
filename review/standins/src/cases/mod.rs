//! The cases, and what they share.

pub mod reborn_server;
pub mod removed_server;
pub mod slow_reader;

use std::path::PathBuf;
use std::sync::Arc;

use crate::client::{HOST, KEY};
use crate::store::Store;

pub const SERVICE: &str = "kaunter-app";

pub struct Setting {
    /// Repository.
    pub root: PathBuf,
    /// Folder of the case.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Returns a loopback address for one machine of this run.
pub fn loopback(index: u32) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 64 + id / 250 % 100, id % 250 + 1, index + 1)
}

/// Writes the configuration: a safe and an unsafe route to one service without an engine.
pub fn put_config(store: &Arc<Store>, timeout_ms: u32) {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{kind}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\
             \"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\
             \"public\":false}}"
        )
    };
    let config = format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":96}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("/look/", "safe", 2),
        route("/bill/", "unsafe", 1),
    );
    store.put("op", "config", &config);
}
