//! The table of settings: path, kind, default and meaning of each.

use serde_json::Value;

/// What values a setting takes.
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
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// A log level.
    Level,
}

impl FieldKind {
    /// Returns what is wrong with a value, or `None` when it is accepted.
    pub fn mismatch(self, value: &Value) -> Option<String> {
        let is_accepted = match self {
            Self::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Self::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok()),
            Self::Url => value.as_str().is_some_and(is_url),
            Self::Number {
                min: least,
                max: most,
            } => value
                .as_u64()
                .is_some_and(|number| (least..=most).contains(&number)),
            Self::Level => value
                .as_str()
                .is_some_and(|text| text.parse::<log::LevelFilter>().is_ok()),
        };
        (!is_accepted).then(|| format!("expected {}, found {value}", self.expected()))
    }

    /// Returns what is accepted, in words.
    pub fn expected(self) -> String {
        match self {
            Self::Text => "text that is not empty".to_owned(),
            Self::Address => "an address such as 127.0.0.1:7000".to_owned(),
            Self::Url => "a service such as http://127.0.0.1:7000".to_owned(),
            Self::Number {
                min: least,
                max: most,
            } => format!("a whole number from {least} to {most}"),
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
    /// Values taken.
    pub kind: FieldKind,
    /// Value when none is given.
    pub default: FieldDefault,
    /// Meaning, as `--list-settings` shows it.
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

/// Finds a setting by its path.
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
    meaning: &'static str,
) -> Field {
    Field {
        path,
        kind,
        default: FieldDefault::Text(default),
        description: meaning,
    }
}

const fn millis(path: &'static str, least: u64, default: u64, meaning: &'static str) -> Field {
    Field {
        path,
        kind: FieldKind::Number {
            min: least,
            max: HOUR_MS,
        },
        default: FieldDefault::Number(default),
        description: meaning,
    }
}

const fn number(
    path: &'static str,
    least: u64,
    most: u64,
    default: u64,
    meaning: &'static str,
) -> Field {
    Field {
        path,
        kind: FieldKind::Number {
            min: least,
            max: most,
        },
        default: FieldDefault::Number(default),
        description: meaning,
    }
}

/// Every setting outside the list of peers.
#[rustfmt::skip]
pub const FIELDS: &[Field] = &[
    text("node", FieldKind::Text, "node-1", "Name of this node."),
    text("zone", FieldKind::Text, "zone-1", "Availability zone of this node."),
    text("listen.callers", FieldKind::Address, "127.0.0.1:0", "Listener for callers."),
    text("listen.operators", FieldKind::Address, "127.0.0.1:0", "Listener for operators."),
    text("listen.peers", FieldKind::Address, "127.0.0.1:0", "Listener for other nodes."),
    text("listen.health", FieldKind::Address, "127.0.0.1:0", "Listener for health checks and metrics."),
    text("platform.table", FieldKind::Url, "http://127.0.0.1:7900", "Table service."),
    text("platform.objects", FieldKind::Url, "http://127.0.0.1:7900", "Object store."),
    text("platform.vms", FieldKind::Url, "http://127.0.0.1:7900", "List of machines."),
    text("platform.weights", FieldKind::Url, "http://127.0.0.1:7900", "Weight store."),
    text("operator_token", FieldKind::Text, "change-me-operator", "Credential of operators."),
    text("peer_token", FieldKind::Text, "change-me-peer", "Credential of nodes."),
    text("log_level", FieldKind::Level, "info", "Least severe level written."),
    number("traffic_threads", 1, 256, 2, "Threads that carry traffic."),
    millis("lease.duration_ms", 100, 6_000, "Time a renewal of the zone lease is good for."),
    millis("lease.margin_ms", 10, 1_000, "Time given up early and waited longer."),
    millis("lease.renew_ms", 10, 1_500, "Time after which the lease is renewed."),
    millis("gate.evidence_ttl_ms", 50, 1_500, "Time for which a report of a machine is good."),
    millis("gate.probe_interval_ms", 10, 400, "Time between probes of one machine."),
    millis("gate.probe_timeout_ms", 10, 400, "Time to wait for a report."),
    millis("gate.exchange_interval_ms", 10, 250, "Time between exchanges within the zone."),
    millis("gate.remote_exchange_interval_ms", 10, 1_000, "Time between exchanges with other zones."),
    millis("gate.peer_timeout_ms", 50, 2_000, "Time after which a silent node is not a watcher."),
    millis("control.plan_interval_ms", 10, 300, "Time between planning rounds."),
    millis("control.order_deadline_ms", 10, 1_000, "Time to wait for an engine's answer."),
    millis("control.transport_bound_ms", 0, 500, "Longest time bytes may be under way after that."),
    millis("control.member_grace_ms", 0, 1_000, "Time a member is unseen before its group is changed."),
    millis("control.load_time_ms", 1, 60_000, "Time that loading weights is assumed to take."),
    millis("control.config_poll_ms", 10, 1_000, "Time between reads of the configuration's head."),
    millis("control.list_poll_ms", 10, 1_000, "Time between reads of the list of machines."),
    millis("control.usage_flush_ms", 10, 5_000, "Time between writes of usage."),
    millis("control.platform_timeout_ms", 10, 1_000, "Time to wait for the platform."),
    number("requests.body_bytes", 1, 1 << 30, 4 << 20, "Largest body in bytes."),
    number("requests.header_bytes", 256, 65_536, 16_384, "Largest headers in bytes, names and values together."),
    number("requests.headers", 8, 250, 100, "Most headers of a request."),
    number("requests.json_depth", 1, 128, 32, "Deepest nesting of a JSON body."),
    millis("requests.body_timeout_ms", 10, 10_000, "Time for a caller to send its body."),
    millis("requests.default_deadline_ms", 10, 60_000, "Time limit of a request that names none."),
    millis("requests.longest_deadline_ms", 10, 600_000, "Longest time limit a caller may name."),
    number("requests.in_flight", 1, 1 << 20, 8_192, "Requests in flight on this node."),
    number("requests.queue", 0, 1 << 20, 1_024, "Requests waiting for one deployment."),
    millis("requests.connect_timeout_ms", 1, 500, "Time to open a connection to a target."),
    millis("requests.stream_silence_ms", 10, 15_000, "Longest silence before a stream is broken."),
    number("requests.retry_permille", 0, 1_000, 100, "Thousandths of a retry earned by a success."),
    number("requests.retry_burst", 0, 10_000, 20, "Most retries saved up."),
    number("requests.keys", 1, 1 << 24, 65_536, "Idempotency keys remembered."),
    millis("shutdown.notice_ms", 0, 2_000, "Time for the balancer to notice."),
    millis("shutdown.drain_ms", 1, 600_000, "Longest wait for requests in flight."),
];

/// Settings of one peer; all are needed.
#[rustfmt::skip]
pub const PEER_FIELDS: &[Field] = &[
    text("node", FieldKind::Text, "", "Name of the node."),
    text("zone", FieldKind::Text, "", "Its availability zone."),
    text("address", FieldKind::Address, "", "Address of its peer listener."),
];
