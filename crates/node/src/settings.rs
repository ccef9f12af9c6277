//! Settings of the daemon.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_platform::PlatformAddresses;

/// One other node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address of its peer listener.
    pub address: String,
}

/// Addresses the node listens at.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: String,
    /// For operators.
    pub operators: String,
    /// For other nodes.
    pub peers: String,
    /// For the balancer and the metrics scraper.
    pub health: String,
}

/// Times of the serving gate and of the exchange between nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateSettings {
    /// Time for which a report is good.
    pub evidence_ttl: Duration,
    /// Time between probes of one machine.
    pub probe_interval: Duration,
    /// Time to wait for a report.
    pub probe_timeout: Duration,
    /// Time between exchanges with a node of the same zone.
    pub exchange_interval: Duration,
    /// Time between exchanges with a node of another zone.
    pub remote_exchange_interval: Duration,
    /// Time after which a silent node no longer counts as a watcher.
    pub peer_timeout: Duration,
}

/// Times of the controller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Time between planning rounds.
    pub plan_interval: Duration,
    /// Time to wait for an engine's answer to an order.
    pub order_deadline: Duration,
    /// Longest time bytes may be under way to an engine after the sender gave up.
    pub transport_bound: Duration,
    /// Time a member must be unseen before its group is changed.
    pub member_grace: Duration,
    /// Time that loading weights is assumed to take.
    pub load_time: Duration,
    /// Time between reads of the configuration's head.
    pub config_poll: Duration,
    /// Time between reads of the list of machines.
    pub list_poll: Duration,
    /// Time between writes of usage.
    pub usage_flush: Duration,
    /// Time to wait for the platform.
    pub platform_timeout: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest headers in bytes, names and values together.
    pub header_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Deepest nesting of a JSON body.
    pub json_depth: usize,
    /// Time for a caller to send its body.
    pub body_timeout: Duration,
    /// Time limit of a request that names none.
    pub default_deadline: Duration,
    /// Longest time limit a caller may name.
    pub longest_deadline: Duration,
    /// Requests in flight on this node.
    pub in_flight: usize,
    /// Requests waiting for one deployment.
    pub queue: usize,
    /// Time to open a connection to a target.
    pub connect_timeout: Duration,
    /// Longest silence in a stream before it counts as broken.
    pub stream_silence: Duration,
    /// Thousandths of a retry earned by each success.
    pub retry_permille: u64,
    /// Most retries saved up.
    pub retry_burst: u64,
    /// Keys remembered.
    pub keys: usize,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time for the balancer to notice that the node is no longer ready.
    pub notice: Duration,
    /// Longest time to wait for requests in flight.
    pub drain: Duration,
}

/// Everything a node is told.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Addresses it listens at.
    pub listen: ListenSettings,
    /// Other nodes.
    pub peers: Vec<PeerSettings>,
    /// Where the platform is.
    pub platform: PlatformAddresses,
    /// Credential of operators.
    pub operator_token: String,
    /// Credential of nodes.
    pub peer_token: String,
    /// Durations of the lease.
    pub lease: LeaseTiming,
    /// Times of the serving gate.
    pub gate: GateSettings,
    /// Times of the controller.
    pub control: ControlSettings,
    /// Limits on requests.
    pub requests: RequestSettings,
    /// Times of a shutdown.
    pub shutdown: ShutdownSettings,
    /// Least severe log level written.
    pub log_level: log::LevelFilter,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
}
