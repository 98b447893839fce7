//! Metrics of a process, as listed in docs/METRICS.md.

use model::Answer;
use prometheus::CounterVec;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use shard::View;

/// Bucket boundaries of the waiting time histogram, in seconds.
const WAIT_BUCKET_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0, 300.0,
];

/// Registry and metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: CounterVec,
    waits: HistogramVec,
    shards: IntGauge,
    members: IntGauge,
    config_version: IntGauge,
    table_reachable: IntGauge,
    lease_seconds: Gauge,
    view_age: Gauge,
    lost_events: IntGauge,
}

impl Metrics {
    /// Registers all metrics, with their values at zero.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let gauge = |name: &str, help: &str| IntGauge::new(name, help);
        let metrics = Metrics {
            registry: Registry::new(),
            answers: CounterVec::new(
                Opts::new("clovermount_answers_total", "Answers given, by result code"),
                &["code", "class"],
            )?,
            waits: HistogramVec::new(
                HistogramOpts::new(
                    "clovermount_wait_seconds",
                    "Time from submission until the worker said that the task started, by class",
                )
                .buckets(WAIT_BUCKET_SECONDS.to_vec()),
                &["class"],
            )?,
            shards: gauge(
                "clovermount_shards",
                "Shards whose task runs in this process",
            )?,
            members: gauge("clovermount_members", "Live processes that this one sees")?,
            config_version: gauge(
                "clovermount_config_version",
                "Configuration version in force",
            )?,
            table_reachable: gauge("clovermount_table_reachable", "1 while the table answers")?,
            lease_seconds: Gauge::new(
                "clovermount_lease_seconds",
                "Time left to act on the lease",
            )?,
            view_age: Gauge::new(
                "clovermount_view_age_seconds",
                "Time since members and owners were read",
            )?,
            lost_events: gauge(
                "clovermount_events_lost",
                "Events dropped before they were stored",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.answers.clone()))?;
        self.registry.register(Box::new(self.waits.clone()))?;
        self.registry.register(Box::new(self.shards.clone()))?;
        self.registry.register(Box::new(self.members.clone()))?;
        self.registry
            .register(Box::new(self.config_version.clone()))?;
        self.registry
            .register(Box::new(self.table_reachable.clone()))?;
        self.registry
            .register(Box::new(self.lease_seconds.clone()))?;
        self.registry.register(Box::new(self.view_age.clone()))?;
        self.registry.register(Box::new(self.lost_events.clone()))
    }

    /// Counts an answer to a request of the given class and, if a task was
    /// started, records its waiting time.
    pub fn count(&self, answer: &Answer, class: &str) {
        let code: &'static str = answer.code.into();
        self.answers.with_label_values(&[code, class]).inc();
        if !answer.worker.is_empty() {
            let millis = f64::from(u32::try_from(answer.waited_millis).unwrap_or(u32::MAX));
            self.waits
                .with_label_values(&[class])
                .observe(millis / 1000.0);
        }
    }

    /// Sets the number of timeline events that were dropped from memory before they
    /// were written to the object store.
    pub fn set_lost(&self, events: u64) {
        self.lost_events
            .set(i64::try_from(events).unwrap_or(i64::MAX));
    }

    /// Updates the gauges from `view`, the state of the cell as this process last read
    /// it from the table, and returns all metrics in the Prometheus text format.
    /// `lease_seconds` is the time for which the process may still act on its lease.
    #[must_use]
    pub fn render(&self, view: &View, lease_seconds: f64) -> String {
        let live = view.members.iter().filter(|member| member.live).count();
        let version = view.config.as_ref().map_or(0, |config| config.version);
        self.shards
            .set(i64::try_from(view.local.len()).unwrap_or(i64::MAX));
        self.members.set(i64::try_from(live).unwrap_or(i64::MAX));
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.table_reachable.set(i64::from(view.table_reachable()));
        self.lease_seconds.set(lease_seconds);
        let age = view.age().map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.view_age.set(age);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics, the scrape reply is incomplete: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
