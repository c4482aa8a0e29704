//! Collects metrics with `opentelemetry` and exports them in the text format of Prometheus.
//!
//! No metric has a customer's name as a label: the load of a customer is confidential, and the size
//! of the metrics must not grow with the number of customers.

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Metrics of an instance.
pub(crate) struct Metrics {
    registry: Registry,
    /// Provider that keeps the instruments registered.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_ms: Histogram<u64>,
    dispatches: Counter<u64>,
    sub_requests: Counter<u64>,
    messages: Counter<u64>,
    registry_age_ms: Gauge<u64>,
    registry_steps: Gauge<u64>,
    registry_generation: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics of a new instance.
    ///
    /// # Panics
    ///
    /// Panics if a metric is defined twice, which is a programming error in this module.
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("the registry is new");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("hemlockrouter");
        Metrics {
            requests: meter
                .u64_counter("requests")
                .with_description("Requests of callers, by kind and how they ended")
                .build(),
            request_ms: meter
                .u64_histogram("request_ms")
                .with_description("How long requests took, in milliseconds")
                .with_boundaries(vec![
                    1., 2., 5., 10., 20., 50., 100., 200., 500., 1e3, 5e3, 6e4,
                ])
                .build(),
            dispatches: meter
                .u64_counter("dispatches")
                .with_description("Calls to upstreams, by how they ended")
                .build(),
            sub_requests: meter
                .u64_counter("sub_requests")
                .with_description("Sub-requests sent by this instance, first tries and extra ones")
                .build(),
            messages: meter
                .u64_counter("messages")
                .with_description("Messages from other instances")
                .build(),
            registry_age_ms: meter
                .u64_gauge("registry_age_ms")
                .with_description("How long ago the registry was heard from, in milliseconds")
                .build(),
            registry_steps: meter
                .u64_gauge("registry_steps")
                .with_description("Through how many instances the registry was heard")
                .build(),
            registry_generation: meter
                .u64_gauge("registry_generation")
                .with_description("How often the registry was restored, as it says itself")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request of a caller that ended.
    pub(crate) fn count_request(&self, kind: &'static str, ended: &'static str, took_ms: u64) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("ended", ended)];
        self.requests.add(1, &labels);
        self.request_ms.record(took_ms, &labels[..1]);
    }

    /// Counts a call to an upstream that ended.
    pub(crate) fn count_dispatch(&self, ended: &'static str) {
        self.dispatches.add(1, &[KeyValue::new("ended", ended)]);
    }

    /// Counts sub-requests that this instance sent.
    pub(crate) fn count_sub_requests(&self, first: u64, extra: u64) {
        self.sub_requests
            .add(first, &[KeyValue::new("try", "first")]);
        self.sub_requests
            .add(extra, &[KeyValue::new("try", "extra")]);
    }

    /// Counts messages from other instances.
    pub(crate) fn count_messages(&self, count: u64) {
        self.messages.add(count, &[]);
    }

    /// Records how long ago the last contact with the registry was, over how many relays, and in
    /// which generation.
    pub(crate) fn record_registry_contact(&self, age_ms: u64, hops: u64, generation: u64) {
        self.registry_age_ms.record(age_ms, &[]);
        self.registry_steps.record(hops, &[]);
        self.registry_generation.record(generation, &[]);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn encode_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
