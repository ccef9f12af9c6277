//! Metrics of the node, in the Prometheus text format.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::prelude::*;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the latency histograms.
const LATENCY_BOUNDS_SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.71, 1.0, 2.5, 10.0,
];

/// Current values that are exported when the metrics are scraped.
#[derive(Debug, Default)]
struct Gauges {
    config_version: AtomicU64,
    epoch: AtomicU64,
    lease_held: AtomicU64,
    stranded: AtomicU64,
    downtime_ms: AtomicU64,
    queued: AtomicU64,
}

/// Counters, gauges and histograms of a node.
pub struct NodeMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    gauges: Arc<Gauges>,
    requests: Counter<u64>,
    retries: Counter<u64>,
    latency: Histogram<f64>,
    first_token: Histogram<f64>,
    peer_bytes: AtomicU64,
}

/// Labels of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels<'a> {
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Deployment that the request was for.
    pub deployment: &'a str,
    /// Outcome of the request.
    pub outcome: Outcome,
}

impl NodeMetrics {
    /// Registers the instruments.
    ///
    /// # Panics
    ///
    /// Panics when the exporter cannot be registered, which does not happen with an empty registry.
    pub fn open() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry accepts an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("briarswitch");
        let gauges = Arc::new(Gauges::default());
        let gauge = |name: &'static str, read: fn(&Gauges) -> &AtomicU64| {
            let gauges = Arc::clone(&gauges);
            meter
                .u64_observable_gauge(name)
                .with_callback(move |observer| {
                    observer.observe(read(&gauges).load(Ordering::Relaxed), &[]);
                })
                .build();
        };
        gauge("config_version", |gauges| &gauges.config_version);
        gauge("lease_epoch", |gauges| &gauges.epoch);
        gauge("lease_held", |gauges| &gauges.lease_held);
        gauge("stranded_accelerators", |gauges| &gauges.stranded);
        gauge("group_downtime_ms", |gauges| &gauges.downtime_ms);
        gauge("requests_queued", |gauges| &gauges.queued);
        let histogram = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Self {
            requests: meter.u64_counter("requests").build(),
            retries: meter.u64_counter("retries").build(),
            latency: histogram("request_seconds"),
            first_token: histogram("first_token_seconds"),
            registry,
            _provider: provider,
            gauges,
            peer_bytes: AtomicU64::new(0),
        }
    }

    /// Counts one request and records its latency.
    pub fn count_request(&self, labels: RequestLabels<'_>, latency: Duration) {
        let attributes = [
            KeyValue::new("organisation", labels.organisation.to_owned()),
            KeyValue::new("deployment", labels.deployment.to_owned()),
            KeyValue::new("outcome", labels.outcome.name()),
        ];
        self.requests.add(1, &attributes);
        self.latency.record(latency.as_secs_f64(), &attributes[1..]);
    }

    /// Records the time to a stream's first token.
    pub fn record_first_token(&self, deployment: &str, latency: Duration) {
        let attributes = [KeyValue::new("deployment", deployment.to_owned())];
        self.first_token.record(latency.as_secs_f64(), &attributes);
    }

    /// Counts one retry.
    pub fn count_retry(&self, deployment: &str) {
        self.retries
            .add(1, &[KeyValue::new("deployment", deployment.to_owned())]);
    }

    /// Sets the configuration version in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.gauges.config_version.store(version, Ordering::Relaxed);
    }

    /// Sets the epoch of the zone's lease and whether this node holds it.
    pub fn set_lease(&self, epoch: Epoch, is_held: bool) {
        self.gauges.epoch.store(epoch, Ordering::Relaxed);
        self.gauges
            .lease_held
            .store(u64::from(is_held), Ordering::Relaxed);
    }

    /// Sets the accelerators outside any working group and the downtime summed over groups.
    pub fn set_fleet(&self, stranded: u32, downtime: Duration) {
        self.gauges
            .stranded
            .store(u64::from(stranded), Ordering::Relaxed);
        let millis = u64::try_from(downtime.as_millis()).unwrap_or(u64::MAX);
        self.gauges.downtime_ms.store(millis, Ordering::Relaxed);
    }

    /// Adds one to the queued requests, or takes one away.
    pub fn adjust_queued(&self, is_added: bool) {
        if is_added {
            self.gauges.queued.fetch_add(1, Ordering::Relaxed);
        } else {
            self.gauges.queued.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Adds to the bytes received from peers.
    pub fn add_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes received from peers.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Returns all metrics in the text format, except the bytes received from peers.
    pub fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        page
    }
}
