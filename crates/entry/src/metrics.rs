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
const WAIT_BUCKETS: [f64; 12] = [
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
    config: IntGauge,
    reachable: IntGauge,
    lease: Gauge,
    age: Gauge,
    lost: IntGauge,
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
                .buckets(WAIT_BUCKETS.to_vec()),
                &["class"],
            )?,
            shards: gauge(
                "clovermount_shards",
                "Shards whose task runs in this process",
            )?,
            members: gauge("clovermount_members", "Live processes that this one sees")?,
            config: gauge(
                "clovermount_config_version",
                "Configuration version in force",
            )?,
            reachable: gauge("clovermount_table_reachable", "1 while the table answers")?,
            lease: Gauge::new("clovermount_lease_seconds", "Time left to act on the lease")?,
            age: Gauge::new(
                "clovermount_view_age_seconds",
                "Time since members and owners were read",
            )?,
            lost: gauge(
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
        self.registry.register(Box::new(self.config.clone()))?;
        self.registry.register(Box::new(self.reachable.clone()))?;
        self.registry.register(Box::new(self.lease.clone()))?;
        self.registry.register(Box::new(self.age.clone()))?;
        self.registry.register(Box::new(self.lost.clone()))
    }

    /// Counts an answer and, if a task was started, records its waiting time.
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

    /// Sets the number of events that were dropped before they were stored.
    pub fn set_lost(&self, events: u64) {
        self.lost.set(i64::try_from(events).unwrap_or(i64::MAX));
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format;
    /// `lease` is the remaining time of the lease in seconds.
    #[must_use]
    pub fn render(&self, view: &View, lease: f64) -> String {
        let live = view.members.iter().filter(|member| member.live).count();
        let version = view.config.as_ref().map_or(0, |config| config.version);
        self.shards
            .set(i64::try_from(view.local.len()).unwrap_or(i64::MAX));
        self.members.set(i64::try_from(live).unwrap_or(i64::MAX));
        self.config.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.reachable.set(i64::from(view.table_reachable()));
        self.lease.set(lease);
        let age = view.age().map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.age.set(age);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
