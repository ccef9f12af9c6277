//! The table of settings: path, kind, default and description of each.

use briarswitch_http::{DEFAULT_MEMORY_MB, DEFAULT_OPEN_FILES};
use serde_json::Value;

/// Values that a setting accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldKind {
    /// Text that is not empty.
    Text,
    /// An address as `ip:port`.
    Address,
    /// A service as `http://ip:port`.
    Url,
    /// A whole number within bounds.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A log level.
    Level,
}

impl FieldKind {
    /// Returns a message when a value is not accepted, `None` when it is.
    pub fn mismatch(self, value: &Value) -> Option<String> {
        let is_accepted = match self {
            Self::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Self::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok()),
            Self::Url => value.as_str().is_some_and(is_url),
            Self::Number { min, max } => value
                .as_u64()
                .is_some_and(|number| (min..=max).contains(&number)),
            Self::Level => value
                .as_str()
                .is_some_and(|text| text.parse::<log::LevelFilter>().is_ok()),
        };
        (!is_accepted).then(|| format!("expected {}, found {value}", self.expected()))
    }

    /// Returns a description of the accepted values.
    pub fn expected(self) -> String {
        match self {
            Self::Text => "text that is not empty".to_owned(),
            Self::Address => "an address such as 127.0.0.1:7000".to_owned(),
            Self::Url => "a service such as http://127.0.0.1:7000".to_owned(),
            Self::Number { min, max } => format!("a whole number from {min} to {max}"),
            Self::Level => "one of off, error, warn, info, debug, trace".to_owned(),
        }
    }
}

fn is_url(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<std::net::SocketAddr>().is_ok())
}

/// Default of a setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldDefault {
    /// A text.
    Text(&'static str),
    /// A number.
    Number(u64),
}

/// One setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Field {
    /// Path in the file, parts joined by dots.
    pub path: &'static str,
    /// Accepted values.
    pub kind: FieldKind,
    /// Value used when none is given.
    pub default: FieldDefault,
    /// Description printed by `--list-settings`.
    pub description: &'static str,
}

impl Field {
    /// Returns the default as JSON.
    pub fn default_value(&self) -> Value {
        match self.default {
            FieldDefault::Text(text) => Value::from(text),
            FieldDefault::Number(number) => Value::from(number),
        }
    }
}

/// Returns the setting at a path.
///
/// ```
/// use briarswitch_node::fields::find_field;
///
/// assert!(find_field("lease.duration_ms").is_some());
/// assert!(find_field("lease.colour").is_none());
/// ```
pub fn find_field(path: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.path == path)
}

const HOUR_MS: u64 = 3_600_000;

const fn text(
    path: &'static str,
    kind: FieldKind,
    default: &'static str,
    description: &'static str,
) -> Field {
    Field {
        path,
        kind,
        default: FieldDefault::Text(default),
        description,
    }
}

const fn millis(path: &'static str, min: u64, default: u64, description: &'static str) -> Field {
    Field {
        path,
        kind: FieldKind::Number { min, max: HOUR_MS },
        default: FieldDefault::Number(default),
        description,
    }
}

const fn number(
    path: &'static str,
    min: u64,
    max: u64,
    default: u64,
    description: &'static str,
) -> Field {
    Field {
        path,
        kind: FieldKind::Number { min, max },
        default: FieldDefault::Number(default),
        description,
    }
}

/// Every setting but those in the list of peers.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    text("node", FieldKind::Text, "node-1", "Name of this node."),
    text("zone", FieldKind::Text, "zone-1", "Availability zone of this node."),
    text("listen.callers", FieldKind::Address, "127.0.0.1:0", "Address of the listener for callers."),
    text("listen.operators", FieldKind::Address, "127.0.0.1:0", "Address of the listener for operators."),
    text("listen.peers", FieldKind::Address, "127.0.0.1:0", "Address of the listener for other nodes."),
    text("listen.health", FieldKind::Address, "127.0.0.1:0", "Address of the listener for health checks and metrics."),
    text("platform.table", FieldKind::Url, "http://127.0.0.1:7900", "Address of the table service."),
    text("platform.objects", FieldKind::Url, "http://127.0.0.1:7900", "Address of the object store."),
    text("platform.vms", FieldKind::Url, "http://127.0.0.1:7900", "Address of the service that lists the machines."),
    text("platform.weights", FieldKind::Url, "http://127.0.0.1:7900", "Address of the weight store."),
    text("operator_token", FieldKind::Text, "change-me-operator", "Bearer token that operators send."),
    text("peer_token", FieldKind::Text, "change-me-peer", "Token that nodes send to each other."),
    text("log_level", FieldKind::Level, "info", "Least severe log level that is written."),
    number("traffic_threads", 1, 256, 2, "Threads that serve traffic."),
    millis("lease.duration_ms", 100, 6_000, "Time for which a renewal of the zone lease is valid."),
    millis("lease.margin_ms", 10, 1_000, "Safety margin: the holder stops this much earlier, a challenger waits this much longer."),
    millis("lease.renew_ms", 10, 1_500, "Time between renewals of the lease."),
    millis("gate.evidence_ttl_ms", 50, 1_500, "Time for which a machine's report is valid."),
    millis("gate.probe_interval_ms", 10, 400, "Time between probes of one machine."),
    millis("gate.probe_timeout_ms", 10, 400, "Time to wait for the answer to a probe."),
    millis("gate.exchange_interval_ms", 10, 250, "Time between exchanges with a node of the same zone."),
    millis("gate.remote_exchange_interval_ms", 10, 1_000, "Time between exchanges with a node of another zone."),
    millis("gate.peer_timeout_ms", 50, 2_000, "Time without an exchange after which a node no longer counts as a watcher."),
    millis("control.plan_interval_ms", 10, 300, "Time between planning rounds."),
    millis("control.order_deadline_ms", 10, 1_000, "Time to wait for an engine's response to an order."),
    millis("control.transport_bound_ms", 0, 500, "Longest time that an order may still arrive after its deadline."),
    millis("control.member_grace_ms", 0, 1_000, "Time that a member must be missing before its group is changed."),
    millis("control.load_time_ms", 1, 60_000, "Time that loading weights is assumed to take."),
    millis("control.config_poll_ms", 10, 1_000, "Time between reads of the newest configuration version."),
    millis("control.list_poll_ms", 10, 1_000, "Time between reads of the list of machines."),
    millis("control.usage_flush_ms", 10, 5_000, "Time between writes of usage."),
    millis("control.platform_timeout_ms", 10, 1_000, "Time to wait for an answer of the platform."),
    number("limits.memory_mb", 64, 1 << 20, DEFAULT_MEMORY_MB as u64, "Memory that the process may use, in MB of a million bytes."),
    number("limits.open_files", 128, 1 << 20, DEFAULT_OPEN_FILES as u64, "Files and sockets that the process may have open."),
    number("requests.body_bytes", 1, 1 << 30, 4 << 20, "Largest accepted body in bytes."),
    number("requests.header_bytes", 256, 65_536, 16_384, "Largest accepted size of all headers in bytes, names and values together."),
    number("requests.headers", 8, 250, 100, "Most headers accepted in a request."),
    number("requests.json_depth", 1, 128, 32, "Deepest accepted nesting of a JSON body."),
    millis("requests.body_timeout_ms", 10, 10_000, "Time in which a caller must send its body."),
    millis("requests.default_deadline_ms", 10, 60_000, "Time limit of a request that does not set one."),
    millis("requests.longest_deadline_ms", 10, 600_000, "Longest time limit that a caller may set."),
    number("requests.in_flight", 1, 1 << 20, 8_192, "Most requests in flight on this node."),
    number("requests.queue", 0, 1 << 20, 1_024, "Most requests queued for one deployment."),
    millis("requests.connect_timeout_ms", 1, 500, "Time to open a connection to a target."),
    millis("requests.stream_silence_ms", 10, 15_000, "Time without data after which a stream counts as broken."),
    number("requests.retry_permille", 0, 1_000, 100, "Thousandths of a retry that each success adds to the retry budget."),
    number("requests.retry_burst", 0, 10_000, 20, "Most retries that the retry budget holds."),
    number("requests.keys", 1, 1 << 24, 65_536, "Most idempotency keys kept in memory."),
    millis("shutdown.notice_ms", 0, 2_000, "Time in which a node that is not ready any more still accepts requests."),
    millis("shutdown.drain_ms", 1, 600_000, "Longest time to wait for requests in flight."),
];

/// Settings of one entry in the list of peers; all are required.
#[rustfmt::skip]
pub const PEER_FIELDS: &[Field] = &[
    text("node", FieldKind::Text, "", "Name of the node."),
    text("zone", FieldKind::Text, "", "Its availability zone."),
    text("address", FieldKind::Address, "", "Address of its peer listener."),
];
