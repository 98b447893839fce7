//! Counters, gauges and latency histograms of a process.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Refusal;

/// Upper bounds of the latency buckets, in seconds: from one reply of the store to the longest
/// jobs.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Counters, gauges and latency histograms of a process.
#[derive(Debug)]
pub struct CellMetrics {
    registry: Registry,
    /// Submissions by result: `accepted`, `repeated`, `rejected`, `refused`, `taken`, `unknown`.
    pub submits: IntCounterVec,
    /// Requests that were not authorized, by reason: `missing`, `repeated`, `malformed`, `unknown`,
    /// `undecided`.
    pub denied: IntCounterVec,
    /// Requests refused and connections closed because of the limits of a listener, by listener and
    /// reason: `place`, `memory`, `size`, `late`, `broken`, `requests`.
    pub limited: IntCounterVec,
    /// Status replies to callers, by source: `owner`, `store`, `none`, `unreadable`.
    pub states: IntCounterVec,
    /// Cancel requests by HTTP status.
    pub cancels: IntCounterVec,
    /// Workers' replies to start commands: `started`, `refused`, `expired`, `ticket`, `unknown`.
    pub starts: IntCounterVec,
    /// Ended runs, by how they ended.
    pub ends: IntCounterVec,
    /// Stop commands, by reason.
    pub stops: IntCounterVec,
    /// Runs that were lost without a reported end, by cause.
    pub lost_runs: IntCounterVec,
    /// Findings about tasks that are suspected of crashing workers: `suspected`, `tried`,
    /// `cleared`, `given_up`.
    pub suspects: IntCounterVec,
    /// Advice calls by result: `answered`, `failed`.
    pub advice: IntCounterVec,
    /// Transactions of the owner by result: `done`, `conflict`, `failed`.
    pub saves: IntCounterVec,
    /// Rows that cannot be decoded, by table; each worker's registration counts once.
    pub unreadable: IntCounterVec,
    /// Figures of the pool, set by its owner: `usable`, `placed`, `running`, `waiting`,
    /// `unfinished`, `cpu`, `cpu_used`, `memory`, `memory_used`, `over_share`, `largest_use`.
    pub pool: IntGaugeVec,
    /// Forecast for new jobs, set by the pool's owner, in milliseconds: `wait`, `late_wait`.
    pub forecast: IntGaugeVec,
    /// Epoch in which this process owns the pool; 0 if it does not.
    pub epoch: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time to accept a submission, of the accepted ones.
    pub accept: Histogram,
    /// Time from acceptance to the first start of a job's tasks.
    pub first_start: Histogram,
    /// Age of the registrations behind a start when its worker answered.
    pub start_age: Histogram,
    /// Time until a job's end was recorded, by outcome. It starts when the owner first receives
    /// the job or its row; for jobs taken over from a former owner, at their acceptance.
    pub job: HistogramVec,
    /// Duration of the owner's transactions.
    pub save: Histogram,
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(format!("clovermount_{name}_total"), help);
    let vec = IntCounterVec::new(opts, &[label]).expect("valid name");
    register(registry, vec)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(format!("clovermount_{name}_seconds"), help).buckets(BUCKETS.to_vec())
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(format!("clovermount_{name}"), help).expect("valid name");
    register(registry, gauge)
}

/// Registers a metric. This cannot fail: all names are fixed and distinct, which the
/// documentation tests check.
fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    registry
        .register(Box::new(metric.clone()))
        .expect("distinct names");
    metric
}

impl Default for CellMetrics {
    fn default() -> CellMetrics {
        let registry = Registry::new();
        let pool = Opts::new("clovermount_pool", "Figures of the pool, on its owner");
        let pool = IntGaugeVec::new(pool, &["figure"]).expect("valid name");
        let forecast = Opts::new("clovermount_forecast_ms", "Wait of a new job, on the owner");
        let labels = ["service", "priority", "kind", "figure"];
        let forecast = IntGaugeVec::new(forecast, &labels).expect("valid name");
        let job = HistogramVec::new(
            histogram(
                "job",
                "From when the owner learnt of a job to its recorded end",
            ),
            &["outcome"],
        );
        let limited = Opts::new(
            "clovermount_limited_total",
            "Requests refused and connections closed because of limits",
        );
        let limited = IntCounterVec::new(limited, &["listener", "reason"]).expect("valid name");
        let latency = |name, help| {
            let metric = Histogram::with_opts(histogram(name, help)).expect("valid name");
            register(&registry, metric)
        };
        CellMetrics {
            submits: counters(&registry, "submits", "Submissions by result", "result"),
            denied: counters(&registry, "denied", "Requests not authorized", "reason"),
            limited: register(&registry, limited),
            states: counters(&registry, "states", "States shown by source", "source"),
            cancels: counters(&registry, "cancels", "Cancels by status", "status"),
            starts: counters(&registry, "starts", "Answers to starts", "result"),
            ends: counters(&registry, "ends", "Ends of runs", "how"),
            stops: counters(&registry, "stops", "Stops ordered by reason", "reason"),
            lost_runs: counters(&registry, "lost_runs", "Runs lost by cause", "cause"),
            suspects: counters(
                &registry,
                "suspects",
                "Suspected tasks by finding",
                "finding",
            ),
            advice: counters(&registry, "advice", "Advice calls by result", "result"),
            saves: counters(&registry, "saves", "Transactions of the owner", "result"),
            unreadable: counters(&registry, "unreadable_rows", "Rows not decoded", "table"),
            pool: register(&registry, pool),
            forecast: register(&registry, forecast),
            epoch: gauge(
                &registry,
                "epoch",
                "Epoch of the ownership here, 0 for none",
            ),
            config_version: gauge(&registry, "config_version", "Configuration in force"),
            accept: latency("accept", "Until a submission was answered with success"),
            first_start: latency(
                "first_start",
                "From acceptance until a worker was known to run a job's first task",
            ),
            start_age: latency(
                "start_age",
                "Age of the registrations behind a start when its worker answered",
            ),
            save: latency("save", "Transactions of the owner"),
            job: register(&registry, job.expect("valid name")),
            registry,
        }
    }
}

impl CellMetrics {
    /// Counts and logs a request that was refused, or a connection that was closed, because of the
    /// limits of a listener. The counter shows how often; the log shows the first of each reason.
    pub(crate) fn record_refusal(&self, listener: &'static str, refusal: Refusal) {
        let reason: &'static str = refusal.into();
        let counter = self.limited.with_label_values(&[listener, reason]);
        if counter.get() == 0 {
            log::warn!(
                code = 425, listener = listener, reason = reason;
                "limit of a listener reached; further cases are only counted"
            );
        }
        counter.inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            log::error!(
                code = 191, error:% = error;
                "metrics cannot be encoded; the reply to the request for metrics is incomplete"
            );
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

/// Increments a counter under one label.
pub(crate) fn count(counter: &IntCounterVec, label: &str) {
    counter.with_label_values(&[label]).inc();
}

/// Records a latency.
pub(crate) fn observe(histogram: &Histogram, time: Duration) {
    histogram.observe(time.as_secs_f64());
}

/// Serves the metrics over HTTP.
pub struct MetricsHandler {
    metrics: Arc<CellMetrics>,
}

impl MetricsHandler {
    /// Creates a handler that serves `metrics`.
    #[must_use]
    pub fn new(metrics: Arc<CellMetrics>) -> Arc<MetricsHandler> {
        Arc::new(MetricsHandler { metrics })
    }
}

impl Handler for MetricsHandler {
    fn record(&self, refusal: Refusal) {
        self.metrics.record_refusal("metrics", refusal);
    }

    async fn handle(&self, _: HttpRequest) -> HttpResponse {
        web::text(StatusCode::OK, self.metrics.text())
    }
}
