//! Metrics of a fleet node.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::stated_limit::LimitChange;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::budget::RetryPayment;
use crate::coordinated_queue::{PriorityCounts, PRIORITIES};
use crate::costs::CostCounters;
use crate::slot_miss::MissCause;

/// Bucket bounds of the latency histograms in seconds; the latency objectives lie between 0.15 and 0.4.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 1.0, 2.5, 10.0,
];

/// Metric instruments of a node.
pub struct FleetMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    resumes: Counter<u64>,
    orders: Counter<u64>,
    changeovers: Counter<u64>,
    target_crashes: Counter<u64>,
    quarantines: Counter<u64>,
    quarantine_refusals: Counter<u64>,
    limit_changes: Counter<u64>,
    backoffs: Counter<u64>,
    forecast_refusals: Counter<u64>,
    slot_misses: Counter<u64>,
    retries: Counter<u64>,
    unmarked_ends: Counter<u64>,
    latency: Histogram<f64>,
    first_event: Histogram<f64>,
    config_version: Arc<AtomicU64>,
    partitioned: Arc<AtomicU64>,
    queue_grants: Counter<u64>,
    queue_refusals: Counter<u64>,
    queue_fallbacks: Counter<u64>,
    queue_waiting: Arc<[AtomicU64; PRIORITIES]>,
    slow_targets: Arc<AtomicU64>,
}

/// Labels of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels<'a> {
    /// Organisation of the caller; empty if no key is required.
    pub organisation: &'a str,
    /// Service that was called.
    pub service: &'a str,
    /// Outcome of the request.
    pub outcome: &'static str,
}

impl FleetMetrics {
    /// Creates the instruments; `costs` are exported by cause.
    ///
    /// # Panics
    ///
    /// Panics if the exporter cannot be registered, which cannot happen with an empty registry.
    pub fn new(costs: Arc<CostCounters>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an exporter can be registered with an empty registry");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("briarswitch");
        let histogram = |name: &'static str| {
            let builder = meter.f64_histogram(name);
            builder.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        let gauge = |name: &'static str| {
            let value = Arc::new(AtomicU64::new(0));
            let observed = Arc::clone(&value);
            meter
                .u64_observable_gauge(name)
                .with_callback(move |observer| {
                    observer.observe(observed.load(Ordering::Relaxed), &[]);
                })
                .build();
            value
        };
        let (config_version, partitioned) = (gauge("config_version"), gauge("partitioned"));
        let slow_targets = gauge("slow_targets");
        meter
            .u64_observable_counter("costs")
            .with_callback(move |observer| {
                for line in costs.lines() {
                    observer.observe(line.count, &[KeyValue::new("cause", line.name)]);
                }
            })
            .build();
        let queue_waiting: Arc<[AtomicU64; PRIORITIES]> = Arc::default();
        let observed = Arc::clone(&queue_waiting);
        meter
            .u64_observable_gauge("queue_waiting")
            .with_callback(move |observer| {
                for (priority, waiting) in observed.iter().enumerate() {
                    let attributes = [KeyValue::new("priority", priority as i64)];
                    observer.observe(waiting.load(Ordering::Relaxed), &attributes);
                }
            })
            .build();
        Self {
            queue_grants: meter.u64_counter("queue_grants").build(),
            queue_refusals: meter.u64_counter("queue_refusals").build(),
            queue_fallbacks: meter.u64_counter("queue_fallbacks").build(),
            queue_waiting,
            requests: meter.u64_counter("requests").build(),
            resumes: meter.u64_counter("stream_resumes").build(),
            orders: meter.u64_counter("orders").build(),
            changeovers: meter.u64_counter("changeovers").build(),
            target_crashes: meter.u64_counter("target_ends").build(),
            quarantines: meter.u64_counter("quarantines").build(),
            quarantine_refusals: meter.u64_counter("quarantine_refusals").build(),
            limit_changes: meter.u64_counter("target_limit_changes").build(),
            backoffs: meter.u64_counter("target_backoffs").build(),
            forecast_refusals: meter.u64_counter("forecast_refusals").build(),
            slot_misses: meter.u64_counter("slot_misses").build(),
            retries: meter.u64_counter("retries").build(),
            unmarked_ends: meter.u64_counter("unmarked_ends").build(),
            latency: histogram("request_seconds"),
            first_event: histogram("first_event_seconds"),
            registry,
            _provider: provider,
            config_version,
            partitioned,
            slow_targets,
        }
    }

    /// Counts one request and its latency.
    pub fn count_request(&self, labels: RequestLabels<'_>, latency: Duration) {
        let attributes = [
            KeyValue::new("organisation", labels.organisation.to_owned()),
            KeyValue::new("service", labels.service.to_owned()),
            KeyValue::new("outcome", labels.outcome),
        ];
        self.requests.add(1, &attributes);
        self.latency.record(latency.as_secs_f64(), &attributes[1..]);
    }

    /// Counts a response whose end only the end of its connection shows.
    pub fn count_unmarked_end(&self, is_complete: bool) {
        let attributes = [KeyValue::new("complete", is_complete)];
        self.unmarked_ends.add(1, &attributes);
    }

    /// Records the latency of the first event of a stream.
    pub fn record_first_event(&self, service: &str, latency: Duration) {
        let attributes = [KeyValue::new("service", service.to_owned())];
        self.first_event.record(latency.as_secs_f64(), &attributes);
    }

    /// Counts one stream that was resumed at another target.
    pub fn count_resume(&self, service: &str) {
        self.resumes
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts one request that a target refused while asking for a time without further ones.
    pub fn count_backoff(&self, service: &str) {
        self.backoffs
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts one request that was refused because no slot could be expected in time.
    pub fn count_forecast_refusal(&self, service: &str) {
        self.forecast_refusals
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts one request that found no slot at the groups of its model in time.
    pub fn count_slot_miss(&self, service: &str, cause: MissCause) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("cause", cause.name()),
        ];
        self.slot_misses.add(1, &attributes);
    }

    /// Counts one retry by how it was paid for.
    pub fn count_retry(&self, service: &str, payment: RetryPayment) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("payment", payment.name()),
        ];
        self.retries.add(1, &attributes);
    }

    /// Counts one change of a limit that a target states.
    pub fn count_limit_change(&self, change: LimitChange) {
        self.limit_changes
            .add(1, &[KeyValue::new("change", change.name())]);
    }

    /// Counts one order sent to a target.
    pub fn count_order(&self, kind: &'static str, result: &'static str) {
        self.orders.add(
            1,
            &[KeyValue::new("kind", kind), KeyValue::new("result", result)],
        );
    }

    /// Counts one group whose changeover to a model has ended.
    pub fn count_changeover(&self, model: &str, outcome: &'static str) {
        let attributes = [
            KeyValue::new("model", model.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.changeovers.add(1, &attributes);
    }

    /// Counts one crash of a target on which requests of this node were running.
    pub fn count_target_crash(&self, evidence: &'static str) {
        self.target_crashes
            .add(1, &[KeyValue::new("proof", evidence)]);
    }

    /// Counts one request that was quarantined.
    pub fn count_quarantine(&self) {
        self.quarantines.add(1, &[]);
    }

    /// Counts one refusal of a quarantined request.
    pub fn count_refusal(&self, organisation: &str) {
        let attributes = [KeyValue::new("organisation", organisation.to_owned())];
        self.quarantine_refusals.add(1, &attributes);
    }

    /// Counts slots that this node granted as the coordinator of a queue.
    pub fn count_queue_grants(&self, service: &str, model: &str, grants: u32) {
        if grants > 0 {
            self.queue_grants
                .add(u64::from(grants), &queue_labels(service, model));
        }
    }

    /// Counts requests that this node refused as the coordinator of a queue.
    pub fn count_queue_refusals(&self, service: &str, model: &str, refusals: u32) {
        if refusals > 0 {
            self.queue_refusals
                .add(u64::from(refusals), &queue_labels(service, model));
        }
    }

    /// Counts one fallback to local selection because a queue cannot be used.
    pub fn count_queue_fallback(&self, reason: &'static str) {
        self.queue_fallbacks
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the number of requests by priority that wait in the queues that this node coordinates.
    pub fn set_queue_waiting(&self, waiting: PriorityCounts) {
        for (observed, waiting) in self.queue_waiting.iter().zip(waiting) {
            observed.store(u64::from(waiting), Ordering::Relaxed);
        }
    }

    /// Sets the version of the configuration in effect.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Sets whether this node is partitioned from all targets.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.partitioned
            .store(u64::from(is_partitioned), Ordering::Relaxed);
    }

    /// Sets the number of groups and targets that get only probe requests of this node.
    pub fn set_slow_targets(&self, count: usize) {
        self.slow_targets.store(count as u64, Ordering::Relaxed);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:% = error; "metrics_unreadable");
        }
        text
    }
}

fn queue_labels(service: &str, model: &str) -> [KeyValue; 2] {
    [
        KeyValue::new("service", service.to_owned()),
        KeyValue::new("model", model.to_owned()),
    ]
}
