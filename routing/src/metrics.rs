//! Metrics of the router, by request class and in total.
//!
//! The counting code owns atomic counters, so rendering the metrics never delays a request. A router without
//! an admin address has no metrics and counts nothing.
mod reasons;

pub use reasons::ReasonCounters;

use prometheus::core::Collector;
use prometheus::proto::MetricFamily;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, TextEncoder};
use std::fmt::Write;
use std::sync::Arc;

/// Counters of one request class. Each request is counted exactly once in `served`, `rejected` or `failed`.
pub struct ClassMetrics {
    /// Requests that were served before their deadline; rendered as `answered`.
    pub served: IntCounter,
    /// Requests that were rejected and may be retried safely; rendered as `deferred`.
    pub rejected: IntCounter,
    /// Requests that failed, were cancelled or ended after their deadline; rendered as `errored`.
    pub failed: IntCounter,
    /// Attempts that were completely written to an endpoint; rendered as `sends`.
    pub attempts_sent: IntCounter,
}

/// All metrics of a router.
pub struct Metrics {
    /// Counters by request class, in the order of the settings.
    pub classes: Vec<ClassMetrics>,
    /// Requests that were accepted and have not ended; rendered as `current`.
    pub requests_in_progress: IntGauge,
    /// Number of listed endpoints; rendered as `cluster_size`.
    pub endpoints: IntGauge,
    /// Number of listed endpoints that get no new requests, because of maintenance or a decision of the
    /// router; rendered as `cluster_unhealthy`.
    pub unhealthy_endpoints: IntGauge,
    /// Counters by reason, exported at `/metrics`.
    pub reasons: ReasonCounters,
    families: Vec<(&'static str, IntCounterVec)>,
}

impl Metrics {
    /// Creates the metrics for these request classes with all values at 0.
    ///
    /// # Errors
    /// Returns an error if the metrics library rejects a metric name, which does not happen for the names
    /// used here.
    pub fn new(classes: &[String]) -> prometheus::Result<Arc<Metrics>> {
        let family =
            |name: &'static str| IntCounterVec::new(Opts::new(name, name), &["class"]).map(|vec| (name, vec));
        let gauge = |name: &str| IntGauge::new(name, name);
        let families = vec![family("answered")?, family("deferred")?, family("errored")?, family("sends")?];
        let class_metrics = |class: &String| {
            let counter = |index: usize| families[index].1.with_label_values(&[class]);
            ClassMetrics {
                served: counter(0),
                rejected: counter(1),
                failed: counter(2),
                attempts_sent: counter(3),
            }
        };
        Ok(Arc::new(Metrics {
            classes: classes.iter().map(class_metrics).collect(),
            requests_in_progress: gauge("current")?,
            endpoints: gauge("cluster_size")?,
            unhealthy_endpoints: gauge("cluster_unhealthy")?,
            reasons: ReasonCounters::new()?,
            families,
        }))
    }

    /// Renders one metric per line, in the forms `router.transactions.CLASS.NAME=N` and `router.NAME=N`.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (name, family) in &self.families {
            for metric in family.collect().iter().flat_map(MetricFamily::get_metric) {
                let class = metric.get_label().first().map_or("", |label| label.value());
                let value = metric.get_counter().get_value() as u64;
                // Writing to a `String` cannot fail.
                _ = writeln!(text, "router.transactions.{class}.{name}={value}");
            }
        }
        for gauge in [&self.requests_in_progress, &self.endpoints, &self.unhealthy_endpoints] {
            let name = gauge.desc().first().map_or("", |desc| &desc.fq_name);
            _ = writeln!(text, "router.{name}={}", gauge.get().max(0));
        }
        text
    }

    /// Renders all metrics in the Prometheus text format, for `/metrics` at the admin address.
    ///
    /// # Errors
    /// Returns an error if the metrics library cannot encode the metrics.
    pub fn render_prometheus(&self) -> prometheus::Result<String> {
        let mut families: Vec<MetricFamily> = Vec::new();
        self.families.iter().for_each(|(_, family)| families.extend(family.collect()));
        for gauge in [&self.requests_in_progress, &self.endpoints, &self.unhealthy_endpoints] {
            families.extend(gauge.collect());
        }
        self.reasons.families().into_iter().for_each(|family| families.extend(family.collect()));
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&families, &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
