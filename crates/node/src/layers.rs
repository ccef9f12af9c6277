//! Layers of settings: files override defaults, flags override files. All faults are reported at
//! once.

use std::collections::BTreeMap;
use std::time::Duration;

use briarswitch_core::prelude::*;
use briarswitch_http::ProcessLimits;
use briarswitch_platform::PlatformAddresses;
use serde_json::Value;

use crate::fields::{find_field, FIELDS, PEER_FIELDS};
use crate::settings::{
    ControlSettings, GateSettings, ListenSettings, NodeSettings, PeerSettings, RequestSettings,
    ShutdownSettings,
};

/// Path of the list of peers.
const PEERS: &str = "peers";

/// Merged values of the layers, by path, with the faults found so far.
#[derive(Clone, Debug, Default)]
pub struct SettingsLayers {
    values: BTreeMap<String, Value>,
    peers: Vec<BTreeMap<String, Value>>,
    findings: Vec<Finding>,
}

impl SettingsLayers {
    /// Returns the layer of defaults.
    pub fn with_defaults() -> Self {
        let values = FIELDS
            .iter()
            .map(|field| (field.path.to_owned(), field.default_value()))
            .collect();
        Self {
            values,
            ..Self::default()
        }
    }

    /// Adds a file's text, which overrides earlier layers; a value with a fault is left out and
    /// reported by [`Self::build`].
    ///
    /// A list of peers replaces an earlier one.
    pub fn add_file(&mut self, name: &str, text: &str) {
        match serde_json::from_str::<Value>(text) {
            Ok(Value::Object(object)) => {
                for (key, value) in object {
                    self.add_value(name, &key, value);
                }
            }
            Ok(_) => self.add_finding(name, "", "expected a JSON object"),
            Err(error) => self.add_finding(name, "", &format!("not valid JSON: {error}")),
        }
    }

    /// Adds a flag of the form `path=value`, which overrides earlier layers.
    pub fn add_flag(&mut self, flag: &str) {
        let Some((path, text)) = flag.split_once('=') else {
            self.add_finding("--set", flag, "expected PATH=VALUE");
            return;
        };
        let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
        match find_field(path) {
            Some(_) => self.add_field("--set", path, value),
            None => self.add_finding("--set", path, "no such setting"),
        }
    }

    /// Checks how the values relate to each other and builds the settings.
    ///
    /// # Errors
    ///
    /// Returns every fault found in the layers and in the relations between their values.
    ///
    /// ```
    /// use briarswitch_node::layers::SettingsLayers;
    ///
    /// let mut layers = SettingsLayers::with_defaults();
    /// layers.add_file("node.json", r#"{"colour": 1, "log_level": "loud"}"#);
    /// let findings = layers.build().unwrap_err();
    /// assert_eq!(findings.len(), 2);
    /// ```
    pub fn build(mut self) -> Result<NodeSettings, Vec<Finding>> {
        let settings = self.assemble();
        self.check_relations(&settings);
        if self.findings.is_empty() {
            return Ok(settings);
        }
        Err(self.findings)
    }

    fn add_value(&mut self, name: &str, path: &str, value: Value) {
        if path == PEERS {
            self.add_peers(name, value);
            return;
        }
        if find_field(path).is_some() {
            self.add_field(name, path, value);
            return;
        }
        let is_section = FIELDS
            .iter()
            .any(|field| field.path.starts_with(&format!("{path}.")));
        match value {
            Value::Object(object) if is_section => {
                for (key, value) in object {
                    self.add_value(name, &format!("{path}.{key}"), value);
                }
            }
            _ if is_section => self.add_finding(name, path, "expected a JSON object"),
            _ => self.add_finding(name, path, "no such setting"),
        }
    }

    fn add_field(&mut self, name: &str, path: &str, value: Value) {
        let Some(field) = find_field(path) else {
            return;
        };
        match field.kind.mismatch(&value) {
            Some(mismatch) => self.add_finding(name, path, &mismatch),
            None => {
                self.values.insert(path.to_owned(), value);
            }
        }
    }

    fn add_peers(&mut self, name: &str, value: Value) {
        let Value::Array(items) = value else {
            self.add_finding(name, PEERS, "expected a list of objects");
            return;
        };
        self.peers.clear();
        for (index, item) in items.into_iter().enumerate() {
            let location = format!("{PEERS}[{index}]");
            let Value::Object(object) = item else {
                self.add_finding(name, &location, "expected an object");
                continue;
            };
            let given: Vec<String> = object.keys().cloned().collect();
            let mut peer = BTreeMap::new();
            for (key, value) in object {
                let location = format!("{location}.{key}");
                match PEER_FIELDS.iter().find(|field| field.path == key) {
                    Some(field) => match field.kind.mismatch(&value) {
                        Some(mismatch) => self.add_finding(name, &location, &mismatch),
                        None => {
                            peer.insert(key, value);
                        }
                    },
                    None => self.add_finding(name, &location, "no such setting"),
                }
            }
            for field in PEER_FIELDS {
                if !given.iter().any(|key| key == field.path) {
                    let fault = format!("missing; expected {}", field.kind.expected());
                    self.add_finding(name, &format!("{location}.{}", field.path), &fault);
                }
            }
            self.peers.push(peer);
        }
    }

    fn add_finding(&mut self, name: &str, path: &str, message: &str) {
        let location = if path.is_empty() {
            name.to_owned()
        } else {
            format!("{name}: {path}")
        };
        self.findings.push(Finding::new(location, message));
    }

    fn check_relations(&mut self, settings: &NodeSettings) {
        let gate = settings.gate;
        let relations = [
            (
                settings.lease.margin < settings.lease.duration / 2,
                "lease.margin_ms",
                "must be less than half of lease.duration_ms",
            ),
            (
                settings.lease.renew + settings.control.platform_timeout
                    < settings.lease.duration - settings.lease.margin.min(settings.lease.duration),
                "lease.renew_ms",
                "with control.platform_timeout_ms must be less than lease.duration_ms less the margin",
            ),
            (
                gate.probe_interval + gate.probe_timeout < gate.evidence_ttl,
                "gate.evidence_ttl_ms",
                "must be more than gate.probe_interval_ms and gate.probe_timeout_ms together",
            ),
            (
                gate.exchange_interval < gate.peer_timeout,
                "gate.peer_timeout_ms",
                "must be more than gate.exchange_interval_ms",
            ),
            (
                settings.requests.default_deadline <= settings.requests.longest_deadline,
                "requests.default_deadline_ms",
                "must be at most requests.longest_deadline_ms",
            ),
        ];
        for (holds, path, message) in relations {
            if !holds {
                self.add_finding("settings", path, message);
            }
        }
        self.check_addresses(settings);
        self.check_peers(settings);
    }

    fn check_addresses(&mut self, settings: &NodeSettings) {
        let listen = &settings.listen;
        let mut used = vec![
            ("listen.callers", &listen.callers),
            ("listen.operators", &listen.operators),
            ("listen.peers", &listen.peers),
            ("listen.health", &listen.health),
        ];
        used.extend(settings.peers.iter().map(|peer| (PEERS, &peer.address)));
        let mut conflicts = Vec::new();
        for (index, (path, address)) in used.iter().enumerate() {
            let is_ephemeral = address.ends_with(":0");
            let earlier = used[..index].iter().find(|(_, other)| other == address);
            if let (false, Some((other, _))) = (is_ephemeral, earlier) {
                conflicts.push((*path, format!("{address} is used by {other} too")));
            }
        }
        for (path, message) in conflicts {
            self.add_finding("settings", path, &message);
        }
    }

    fn check_peers(&mut self, settings: &NodeSettings) {
        let names: Vec<_> = settings.peers.iter().map(|peer| &peer.node).collect();
        for (index, name) in names.iter().enumerate() {
            let is_repeated = names[..index].contains(name) || **name == settings.node;
            if is_repeated && !name.is_empty() {
                let message = format!("the name {name} is used twice");
                self.add_finding("settings", &format!("{PEERS}[{index}].node"), &message);
            }
        }
    }

    fn text(&self, path: &str) -> String {
        self.values[path].as_str().unwrap_or_default().to_owned()
    }

    fn number(&self, path: &str) -> u64 {
        self.values[path].as_u64().unwrap_or_default()
    }

    fn count(&self, path: &str) -> usize {
        usize::try_from(self.number(path)).unwrap_or(usize::MAX)
    }

    fn duration(&self, path: &str) -> Duration {
        Duration::from_millis(self.number(path))
    }

    fn assemble(&self) -> NodeSettings {
        NodeSettings {
            node: self.text("node"),
            zone: self.text("zone"),
            listen: ListenSettings {
                callers: self.text("listen.callers"),
                operators: self.text("listen.operators"),
                peers: self.text("listen.peers"),
                health: self.text("listen.health"),
            },
            peers: self.peers.iter().map(assemble_peer).collect(),
            platform: PlatformAddresses {
                table: self.text("platform.table"),
                objects: self.text("platform.objects"),
                vms: self.text("platform.vms"),
                weights: self.text("platform.weights"),
            },
            operator_token: self.text("operator_token"),
            peer_token: self.text("peer_token"),
            lease: LeaseTiming {
                duration: self.duration("lease.duration_ms"),
                margin: self.duration("lease.margin_ms"),
                renew: self.duration("lease.renew_ms"),
            },
            gate: self.assemble_gate(),
            control: self.assemble_control(),
            limits: ProcessLimits::new(
                self.count("limits.memory_mb"),
                self.count("limits.open_files"),
            ),
            requests: self.assemble_requests(),
            shutdown: ShutdownSettings {
                notice: self.duration("shutdown.notice_ms"),
                drain: self.duration("shutdown.drain_ms"),
            },
            log_level: self
                .text("log_level")
                .parse()
                .unwrap_or(log::LevelFilter::Info),
            traffic_threads: self.count("traffic_threads"),
        }
    }

    fn assemble_gate(&self) -> GateSettings {
        GateSettings {
            evidence_ttl: self.duration("gate.evidence_ttl_ms"),
            probe_interval: self.duration("gate.probe_interval_ms"),
            probe_timeout: self.duration("gate.probe_timeout_ms"),
            exchange_interval: self.duration("gate.exchange_interval_ms"),
            remote_exchange_interval: self.duration("gate.remote_exchange_interval_ms"),
            peer_timeout: self.duration("gate.peer_timeout_ms"),
        }
    }

    fn assemble_control(&self) -> ControlSettings {
        ControlSettings {
            plan_interval: self.duration("control.plan_interval_ms"),
            order_deadline: self.duration("control.order_deadline_ms"),
            transport_bound: self.duration("control.transport_bound_ms"),
            member_grace: self.duration("control.member_grace_ms"),
            load_time: self.duration("control.load_time_ms"),
            config_poll: self.duration("control.config_poll_ms"),
            list_poll: self.duration("control.list_poll_ms"),
            usage_flush: self.duration("control.usage_flush_ms"),
            platform_timeout: self.duration("control.platform_timeout_ms"),
        }
    }

    fn assemble_requests(&self) -> RequestSettings {
        RequestSettings {
            body_bytes: self.count("requests.body_bytes"),
            header_bytes: self.count("requests.header_bytes"),
            headers: self.count("requests.headers"),
            json_depth: self.count("requests.json_depth"),
            body_timeout: self.duration("requests.body_timeout_ms"),
            default_deadline: self.duration("requests.default_deadline_ms"),
            longest_deadline: self.duration("requests.longest_deadline_ms"),
            in_flight: self.count("requests.in_flight"),
            queue: self.count("requests.queue"),
            connect_timeout: self.duration("requests.connect_timeout_ms"),
            stream_silence: self.duration("requests.stream_silence_ms"),
            retry_permille: self.number("requests.retry_permille"),
            retry_burst: self.number("requests.retry_burst"),
            keys: self.count("requests.keys"),
        }
    }
}

fn assemble_peer(peer: &BTreeMap<String, Value>) -> PeerSettings {
    let text = |path: &str| {
        let value = peer.get(path).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    PeerSettings {
        node: text("node"),
        zone: text("zone"),
        address: text("address"),
    }
}
