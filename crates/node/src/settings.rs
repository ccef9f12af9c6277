//! Settings of the daemon, as built from the settings files and the command line.

use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::{ConnectionLimits, ProcessLimits};
use briarswitch_platform::PlatformAddresses;

/// One peer: another node that this one exchanges state with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address of its peer listener.
    pub address: String,
}

/// Addresses that the node listens at, as `ip:port`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: String,
    /// Listener for operators.
    pub operators: String,
    /// Listener for other nodes.
    pub peers: String,
    /// Listener for health checks and metrics.
    pub health: String,
}

/// Timing of the probes, and of the exchange between nodes, that decide whether a group may serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateSettings {
    /// Time for which a machine's report is valid.
    pub evidence_ttl: Duration,
    /// Time between probes of one machine.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Time between exchanges with a node of the same zone.
    pub exchange_interval: Duration,
    /// Time between exchanges with a node of another zone.
    pub remote_exchange_interval: Duration,
    /// Time without an exchange after which a node no longer counts as a watcher of its zone.
    pub peer_timeout: Duration,
}

/// Timing of the zone's controller and of the reads and writes at the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Time between planning rounds.
    pub plan_interval: Duration,
    /// Time to wait for an engine's response to an order.
    pub order_deadline: Duration,
    /// Longest time that an order may still arrive at an engine after the sender timed out.
    pub transport_bound: Duration,
    /// Time that a member must be missing before its group is changed.
    pub member_grace: Duration,
    /// Time that loading weights is assumed to take.
    pub load_time: Duration,
    /// Time between reads of the newest configuration version.
    pub config_poll: Duration,
    /// Time between reads of the list of machines.
    pub list_poll: Duration,
    /// Time between writes of usage.
    pub usage_flush: Duration,
    /// Time to wait for an answer of the platform.
    pub platform_timeout: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Largest accepted body in bytes.
    pub body_bytes: usize,
    /// Largest accepted size of all headers in bytes, names and values together.
    pub header_bytes: usize,
    /// Most headers accepted in a request.
    pub headers: usize,
    /// Deepest accepted nesting of a JSON body.
    pub json_depth: usize,
    /// Time in which a caller must send its body.
    pub body_timeout: Duration,
    /// Time limit of a request that does not set one.
    pub default_deadline: Duration,
    /// Longest time limit that a caller may set.
    pub longest_deadline: Duration,
    /// Most requests in flight on this node.
    pub in_flight: usize,
    /// Most requests queued for one deployment.
    pub queue: usize,
    /// Time to open a connection to a target.
    pub connect_timeout: Duration,
    /// Time without data after which a stream counts as broken.
    pub stream_silence: Duration,
    /// Thousandths of a retry that each success adds to the retry budget.
    pub retry_permille: u64,
    /// Most retries that the budget holds.
    pub retry_burst: u64,
    /// Most idempotency keys kept in memory.
    pub keys: usize,
}

/// Timing of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time in which a node that is not ready any more still accepts requests, so that the load
    /// balancer can take it out.
    pub notice: Duration,
    /// Longest time to wait for requests in flight.
    pub drain: Duration,
}

/// All settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Addresses that the node listens at.
    pub listen: ListenSettings,
    /// Other nodes.
    pub peers: Vec<PeerSettings>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Bearer token that operators send.
    pub operator_token: String,
    /// Token that nodes send to each other.
    pub peer_token: String,
    /// Timing of the zone lease.
    pub lease: LeaseTiming,
    /// Timing of the probes and of the exchange between nodes.
    pub gate: GateSettings,
    /// Timing of the zone's controller and of the reads and writes at the platform.
    pub control: ControlSettings,
    /// Memory and open files that the process may use.
    pub limits: ProcessLimits,
    /// Limits on requests.
    pub requests: RequestSettings,
    /// Timing of a shutdown.
    pub shutdown: ShutdownSettings,
    /// Least severe log level that is written.
    pub log_level: log::LevelFilter,
    /// Threads that serve traffic.
    pub traffic_threads: usize,
}

impl NodeSettings {
    /// Returns the limits of each connection to this node.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let limits = ConnectionLimits {
            body_bytes: self.requests.body_bytes,
            head_timeout: self.requests.body_timeout,
            ..ConnectionLimits::default()
        };
        limits.with_header_bytes(self.requests.header_bytes)
    }
}
