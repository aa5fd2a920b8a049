//! The router's metrics, by class and as a whole.
//!
//! The code that counts holds the counter itself, an atomic number: rendering reads the counters and never delays a
//! request.
//! A router without an admin address has no metrics and counts nothing.
mod reasons;

pub use reasons::ReasonCounters;

use prometheus::core::Collector;
use prometheus::proto::MetricFamily;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, TextEncoder};
use std::fmt::Write;
use std::sync::Arc;

/// The counters of one request class. Each request counts exactly once in one of `served`, `rejected` and `failed`.
pub struct ClassMetrics {
    /// Requests served before their deadline; rendered as `answered`.
    pub served: IntCounter,
    /// Requests rejected, which their clients may safely retry; rendered as `deferred`.
    pub rejected: IntCounter,
    /// Requests that failed, were cancelled or finished after their deadline; rendered as `errored`.
    pub failed: IntCounter,
    /// Attempts completely written to an endpoint; rendered as `sends`.
    pub attempts_sent: IntCounter,
}

/// All metrics of one router.
pub struct Metrics {
    /// By class, in the order of the settings.
    pub classes: Vec<ClassMetrics>,
    /// Requests accepted and not finished yet; rendered as `current`.
    pub requests_in_progress: IntGauge,
    /// Endpoints in the list; rendered as `cluster_size`.
    pub endpoints: IntGauge,
    /// Listed endpoints that get no new requests now, by maintenance or by decision; rendered as `cluster_unhealthy`.
    pub unhealthy_endpoints: IntGauge,
    /// Counters by reason, for `/metrics`.
    pub reasons: ReasonCounters,
    families: Vec<(&'static str, IntCounterVec)>,
}

impl Metrics {
    /// Metrics for these classes, all zero.
    ///
    /// # Errors
    /// If the metrics library rejects a name; it rejects none of those used here.
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

    /// One metric a line: `router.transactions.CLASS.NAME=N` and `router.NAME=N`.
    pub fn render_text(&self) -> String {
        let mut text = String::new();
        for (name, family) in &self.families {
            for metric in family.collect().iter().flat_map(MetricFamily::get_metric) {
                let class = metric.get_label().first().map_or("", |label| label.value());
                let value = metric.get_counter().get_value() as u64;
                // Writing to a String does not fail.
                _ = writeln!(text, "router.transactions.{class}.{name}={value}");
            }
        }
        for gauge in [&self.requests_in_progress, &self.endpoints, &self.unhealthy_endpoints] {
            let name = gauge.desc().first().map_or("", |desc| &desc.fq_name);
            _ = writeln!(text, "router.{name}={}", gauge.get().max(0));
        }
        text
    }

    /// All metrics in the text format of Prometheus, for `/metrics` of the admin address.
    ///
    /// # Errors
    /// If the metrics library can't encode them.
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
