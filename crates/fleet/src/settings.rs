//! Settings of a fleet node. Parsing reports all faults at once.

use std::time::Duration;

use briarswitch_core::finding::Finding;
use briarswitch_core::id::{NodeId, RegionId, ZoneId};
use briarswitch_http::{ProcessLimits, DEFAULT_MEMORY_MB, DEFAULT_OPEN_FILES};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;

/// Which decisions under heavy load are made; without them, each node decides on its own.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LoadControl {
    /// Whether requests of all nodes wait in one queue while the groups of their model are nearly full.
    #[serde(rename = "shared_queue")]
    pub shares_queue: bool,
    /// Whether groups change to another model within seconds if its requests need them more.
    #[serde(rename = "changeover")]
    pub changes_over: bool,
    /// Whether a request is refused as soon as no slot can be expected for it in time.
    #[serde(rename = "forecast")]
    pub forecasts: bool,
    /// Whether targets that respond more slowly than others get fewer requests.
    #[serde(rename = "observed_speed")]
    pub observes_speed: bool,
}

/// Longest time that a setting may state.
const MAX_TIME: Duration = Duration::from_secs(365 * 86_400);

/// Settings of a fleet node.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Unique name of the node.
    pub node: NodeId,
    /// Zone in which the node runs.
    pub zone: ZoneId,
    /// Region of each zone.
    pub regions: IndexMap<ZoneId, RegionId>,
    /// Listen address for callers' requests.
    pub callers: String,
    /// Listen address for the load balancer's health check.
    pub health: String,
    /// Listen address for other nodes.
    pub peers: String,
    /// Listen address for the metrics scraper and operators.
    pub metrics: String,
    /// Address of the platform's key-value store.
    pub store: String,
    /// Bandwidth of the node's network link in Mbit/s. Of the nodes of a zone, those with the most bandwidth take on
    /// the work that one node does for the whole zone.
    pub link_mbps: u32,
    /// Memory and open files that the process may use.
    pub limits: ProcessLimits,
    /// Whether the system as a whole is being started for the first time.
    pub is_first_start: bool,
    /// Whether callers' API keys are rejected while the node cannot confirm that they are still valid.
    pub fails_closed: bool,
    /// Time for which a key is accepted after it was last confirmed to be valid.
    pub key_validity: Duration,
    /// Retries that may be sent per request.
    pub retry_ratio: f64,
    /// Additional retries that all nodes together may send in a burst.
    pub retry_burst: u64,
    /// Length of the window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Time between a termination signal and the moment by which the process must have exited.
    pub grace: Duration,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Decisions under heavy load; all are off if the file does not mention them.
    pub load_control: LoadControl,
}

/// Reads the fields of one settings file and collects findings about them.
struct FieldReader<'a> {
    name: &'a str,
    value: Value,
    known_fields: Vec<&'static str>,
    findings: Vec<Finding>,
}

impl FleetSettings {
    /// Parses settings from JSON and reports every fault with its location.
    ///
    /// # Errors
    ///
    /// Returns the findings if a field is missing, unknown or out of range.
    ///
    /// ```
    /// use briarswitch_fleet::FleetSettings;
    ///
    /// let findings = FleetSettings::parse("node.json", "{\"node\": 3}").unwrap_err();
    /// assert!(findings.iter().any(|finding| finding.to_string().contains("node")));
    /// ```
    pub fn parse(name: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let value = match serde_json::from_str::<Value>(text) {
            Ok(value @ Value::Object(_)) => value,
            Ok(_) => return Err(vec![Finding::new(name, "expected a JSON object")]),
            Err(error) => return Err(vec![Finding::new(name, format!("not valid JSON: {error}"))]),
        };
        let mut reader = FieldReader {
            name,
            value,
            known_fields: Vec::new(),
            findings: Vec::new(),
        };
        let settings = Self {
            node: reader.text("node"),
            zone: reader.text("zone"),
            regions: reader.text_map("regions"),
            callers: reader.address("callers"),
            health: reader.address("health"),
            peers: reader.address("peers"),
            metrics: reader.address("metrics"),
            store: reader.address("store"),
            link_mbps: reader.number("link_mbps") as u32,
            limits: reader.limits(),
            is_first_start: reader.flag("is_first_start"),
            fails_closed: reader.flag("fails_closed"),
            key_validity: reader.seconds("key_validity_ms", 0.001),
            retry_ratio: reader.number("retry_ratio"),
            retry_burst: reader.number("retry_burst") as u64,
            retry_window: reader.seconds("retry_window_s", 1.0),
            grace: reader.seconds("grace_s", 1.0),
            log_level: reader.level("log_level"),
            load_control: reader.load_control("load_control"),
        };
        reader.finish(settings)
    }
}

impl FieldReader<'_> {
    fn take(&mut self, field: &'static str) -> Value {
        self.known_fields.push(field);
        self.value.get(field).cloned().unwrap_or(Value::Null)
    }

    fn report_invalid(&mut self, field: &str, found: &Value, expected: &str) {
        let path = format!("{}: {field}", self.name);
        let message = match found {
            Value::Null => format!("missing; expected {expected}"),
            found => format!("expected {expected}, found {found}"),
        };
        self.findings.push(Finding::new(path, message));
    }

    fn text(&mut self, field: &'static str) -> String {
        let found = self.take(field);
        match found.as_str() {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.report_invalid(field, &found, "a non-empty string");
                String::new()
            }
        }
    }

    fn text_map(&mut self, field: &'static str) -> IndexMap<String, String> {
        let found = self.take(field);
        serde_json::from_value(found.clone()).unwrap_or_else(|_| {
            self.report_invalid(field, &found, "an object with strings as values");
            IndexMap::new()
        })
    }

    fn address(&mut self, field: &'static str) -> String {
        let found = self.take(field);
        let text = found.as_str().unwrap_or_default();
        if text.parse::<std::net::SocketAddr>().is_err() {
            self.report_invalid(field, &found, "an IP address with a port");
        }
        text.to_owned()
    }

    fn flag(&mut self, field: &'static str) -> bool {
        let found = self.take(field);
        found.as_bool().unwrap_or_else(|| {
            self.report_invalid(field, &found, "true or false");
            false
        })
    }

    fn number(&mut self, field: &'static str) -> f64 {
        let found = self.take(field);
        match found.as_f64() {
            Some(number) if number >= 0.0 => number,
            _ => {
                self.report_invalid(field, &found, "a non-negative number");
                0.0
            }
        }
    }

    /// Reads a number that may be missing.
    fn optional_number(&mut self, field: &'static str) -> Option<f64> {
        match self.take(field) {
            Value::Null => None,
            _ => Some(self.number(field)),
        }
    }

    fn limits(&mut self) -> ProcessLimits {
        let memory = self.optional_number("memory_mb");
        let open_files = self.optional_number("max_open_files");
        ProcessLimits::new(
            memory.map_or(DEFAULT_MEMORY_MB, |memory| memory as usize),
            open_files.map_or(DEFAULT_OPEN_FILES, |count| count as usize),
        )
    }

    /// Reads a time in a unit of so many seconds.
    fn seconds(&mut self, field: &'static str, unit: f64) -> Duration {
        let number = self.number(field);
        let time = Duration::try_from_secs_f64(number * unit).unwrap_or(Duration::MAX);
        if time > MAX_TIME {
            self.report_invalid(field, &Value::from(number), "a time of at most a year");
            return MAX_TIME;
        }
        time
    }

    fn level(&mut self, field: &'static str) -> log::LevelFilter {
        let found = self.take(field);
        let level = found.as_str().and_then(|text| text.parse().ok());
        level.unwrap_or_else(|| {
            self.report_invalid(field, &found, "off, error, warn, info, debug or trace");
            log::LevelFilter::Info
        })
    }

    fn load_control(&mut self, field: &'static str) -> LoadControl {
        let found = self.take(field);
        if found.is_null() {
            return LoadControl::default();
        }
        serde_json::from_value(found.clone()).unwrap_or_else(|error| {
            self.report_invalid(field, &found, &format!("an object with flags ({error})"));
            LoadControl::default()
        })
    }

    fn finish(mut self, settings: FleetSettings) -> Result<FleetSettings, Vec<Finding>> {
        let given = self.value.as_object().cloned().unwrap_or_default();
        for field in given.keys() {
            if !self.known_fields.contains(&field.as_str()) {
                let path = format!("{}: {field}", self.name);
                self.findings.push(Finding::new(path, "no such setting"));
            }
        }
        if self.findings.is_empty() {
            return Ok(settings);
        }
        Err(self.findings)
    }
}
