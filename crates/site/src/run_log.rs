//! Log of the runs on all simulated workers, with which tests check a cell's guarantees.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of attempts of a task in the test configuration. Only attempts whose failure the
/// owner has acknowledged count.
pub const ATTEMPTS: usize = 2;

/// Time after which no task may start on a worker any more once it has registered as draining. The
/// settings of all processes state it.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Kind of end of a run whose worker went down without notice.
pub(crate) const GONE: &str = "gone";

/// Kind of end of a run whose worker went down after it had begun to drain.
pub(crate) const LEFT: &str = "left";

/// An event on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started: worker, task, run. The owner numbers the runs of a task; a later run has a
    /// higher number.
    Started(String, String, u64),
    /// A run ended: worker, task, run, kind of end (`done`, `failed` or `stopped`; `lapsed` if
    /// the worker's lease expired, [`GONE`] or [`LEFT`] if the worker went down).
    Ended(String, String, u64, String),
    /// The worker's lease expired, or the worker went down, before the owner acknowledged the end
    /// of this run. The end is void, and the task may run again: task, run.
    Discarded(String, u64),
    /// The owner acknowledged an end: task, run, kind of end.
    Acknowledged(String, u64, String),
    /// A task was started although all cores of the worker were in use: worker, task. Follows the
    /// `Started` of this run.
    Overbooked(String, String),
    /// A run was started on a worker that had been draining for longer than [`DRAIN_BOUND`]: worker,
    /// task, run, and the time since the worker drains. Follows the `Started` of this run.
    StartedDraining(String, String, u64, Duration),
}

/// A run of a task, with its start and its end.
#[derive(Clone, Debug)]
pub struct RunSpan {
    /// Id of the worker.
    pub worker: String,
    /// Name of the task.
    pub task: String,
    /// Number of the run, as in [`WorkerEvent::Started`].
    pub run: u64,
    /// Time of the start.
    pub begin: Instant,
    /// Time and kind of the end, as in [`WorkerEvent::Ended`]; none while the task runs.
    pub end: Option<(Instant, String)>,
}

impl RunSpan {
    /// Whether the run ended because its worker went down.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.ended_as(GONE) || self.left()
    }

    /// Whether the run ended because its worker went down after it had begun to drain.
    #[must_use]
    pub fn left(&self) -> bool {
        self.ended_as(LEFT)
    }

    fn ended_as(&self, kind: &str) -> bool {
        self.end.as_ref().is_some_and(|(_, how)| how == kind)
    }
}

/// Events of all workers in order, with their times.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    events: Arc<Mutex<Vec<(Instant, WorkerEvent)>>>,
}

impl RunLog {
    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, WorkerEvent)>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn push(&self, event: WorkerEvent) {
        self.lock().push((Instant::now(), event));
    }

    /// Returns all events so far.
    #[must_use]
    pub fn events(&self) -> Vec<WorkerEvent> {
        let events = self.lock();
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    /// Returns the number of runs that were started for the tasks whose names begin with `job`:
    /// the id of a job, or the name of a task.
    #[must_use]
    pub fn starts(&self, job: &str) -> usize {
        let events = self.lock();
        let started = events.iter().filter(
            |(_, event)| matches!(event, WorkerEvent::Started(_, task, _) if task.starts_with(job)),
        );
        started.count()
    }

    /// Returns the runs of the tasks whose names begin with `job`, in the order of their starts;
    /// those of all tasks if `job` is empty.
    #[must_use]
    pub fn spans(&self, job: &str) -> Vec<RunSpan> {
        let mut spans: Vec<RunSpan> = Vec::new();
        for (at, event) in self.lock().iter() {
            match event {
                WorkerEvent::Started(worker, task, run) if task.starts_with(job) => {
                    spans.push(RunSpan {
                        worker: worker.clone(),
                        task: task.clone(),
                        run: *run,
                        begin: *at,
                        end: None,
                    });
                }
                WorkerEvent::Ended(worker, task, run, how) => {
                    let ended = spans
                        .iter_mut()
                        .find(|span| (&span.worker, &span.task, span.run) == (worker, task, *run));
                    if let Some(span) = ended {
                        span.end = Some((*at, how.clone()));
                    }
                }
                _ => {}
            }
        }
        spans
    }

    /// Returns the number of runs that ended because their worker went down, of the tasks whose
    /// names begin with `job`.
    #[must_use]
    pub fn lost_runs(&self, job: &str) -> usize {
        let spans = self.spans(job);
        spans.iter().filter(|span| span.lost()).count()
    }

    /// Returns the violations of a cell's guarantees: a task that runs twice at the same time,
    /// a task that starts again after it was done or after [`ATTEMPTS`] acknowledged failures,
    /// a worker on which more tasks run than it has cores, or a task that starts on a worker which
    /// has been draining for too long.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        self.violations_except(|_| false)
    }

    /// The same, without late starts on draining workers at times for which `excused` returns true.
    pub fn violations_except(&self, excused: impl Fn(Instant) -> bool) -> Vec<String> {
        let mut failures: HashMap<String, HashSet<u64>> = HashMap::new();
        let mut running: HashMap<String, String> = HashMap::new();
        let mut done: HashMap<String, u64> = HashMap::new();
        let mut violations = Vec::new();
        for (at, event) in self.lock().iter() {
            match event {
                WorkerEvent::Started(worker, task, run) => {
                    if let Some(other) = running.insert(task.clone(), worker.clone()) {
                        violations.push(format!(
                            "{task} run {run} started on {worker} while the task runs on {other}"
                        ));
                    }
                    if done.contains_key(task) {
                        violations.push(format!(
                            "{task} run {run} started on {worker} after the task was done"
                        ));
                    }
                    let failed = failures.get(task).map_or(0, HashSet::len);
                    if failed >= ATTEMPTS {
                        violations.push(format!(
                            "{task} run {run} started after {failed} failed runs, limit {ATTEMPTS}"
                        ));
                    }
                }
                WorkerEvent::Ended(_, task, run, how) => {
                    running.remove(task);
                    if how == "done" {
                        done.insert(task.clone(), *run);
                    }
                }
                WorkerEvent::Discarded(task, run) => {
                    if done.get(task) == Some(run) {
                        done.remove(task);
                    }
                }
                WorkerEvent::Acknowledged(task, run, how) => {
                    if how == "failed" {
                        failures.entry(task.clone()).or_default().insert(*run);
                    }
                }
                WorkerEvent::StartedDraining(..) if excused(*at) => {}
                WorkerEvent::StartedDraining(worker, task, run, after) => {
                    violations.push(format!(
                        "{task} run {run} started on {worker}, which has been draining for {after:?}, limit {DRAIN_BOUND:?}"
                    ));
                }
                WorkerEvent::Overbooked(worker, task) => {
                    violations.push(format!(
                        "{task} was started on {worker}, where all cores were in use"
                    ));
                }
            }
        }
        violations
    }
}
