//! What workers have done, seen from outside: the judge of the tests.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// Attempts of a task, as the configuration of the stand-ins says.
pub const ATTEMPTS: usize = 2;

/// One thing that a worker has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A task began: worker, task, run.
    Started(String, String, u64),
    /// It ended: worker, task, run, how.
    Ended(String, String, u64, String),
    /// The worker's lease ran out before this end was taken note of: the end
    /// does not stand, the task may run again.
    Discarded(String, u64),
    /// It was told that this end is taken note of: task, run, how.
    Acknowledged(String, u64, String),
    /// A start brought the worker over the cores that it has: worker, task.
    Overbooked(String, String),
}

/// A run of a task, from its begin to its end.
#[derive(Clone, Debug)]
pub struct RunSpan {
    /// The worker.
    pub worker: String,
    /// The task.
    pub task: String,
    /// The run.
    pub run: u64,
    /// When it began.
    pub begin: Instant,
    /// When it ended, and how; nothing while it runs.
    pub end: Option<(Instant, String)>,
}

impl RunSpan {
    /// Whether it ended with its worker.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.end.as_ref().is_some_and(|(_, how)| how == "gone")
    }
}

/// The deeds of all workers, in order, and when they were done.
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

    /// All deeds so far.
    #[must_use]
    pub fn events(&self) -> Vec<WorkerEvent> {
        let events = self.lock();
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    /// Number of starts of the tasks of a job.
    #[must_use]
    pub fn starts(&self, job: &str) -> usize {
        let events = self.lock();
        let began = events.iter().filter(
            |(_, event)| matches!(event, WorkerEvent::Started(_, task, _) if task.starts_with(job)),
        );
        began.count()
    }

    /// Runs of the tasks of a job, in the order of their begin.
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
                    })
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

    /// Number of runs of the tasks of a job that ended with their worker.
    #[must_use]
    pub fn lost_runs(&self, job: &str) -> usize {
        let spans = self.spans(job);
        spans.iter().filter(|span| span.lost()).count()
    }

    /// What must never be: a task on two workers at a time, or begun again
    /// after it was done, or after [`ATTEMPTS`] failed runs that were taken note of, or a
    /// worker over the cores that it has.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut failures: HashMap<String, HashSet<u64>> = HashMap::new();
        let mut running: HashMap<String, String> = HashMap::new();
        let mut done: HashMap<String, u64> = HashMap::new();
        let mut violations = Vec::new();
        for (_, event) in self.lock().iter() {
            match event {
                WorkerEvent::Started(worker, task, run) => {
                    if let Some(other) = running.insert(task.clone(), worker.clone()) {
                        violations.push(format!(
                            "{task} run {run} began on {worker}, runs on {other}"
                        ));
                    }
                    if done.contains_key(task) {
                        violations.push(format!("{task} run {run} began on {worker}, was done"));
                    }
                    let failed = failures.get(task).map_or(0, HashSet::len);
                    if failed >= ATTEMPTS {
                        violations
                            .push(format!("{task} run {run} began after {failed} failed runs"));
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
                WorkerEvent::Overbooked(worker, task) => {
                    violations.push(format!("{task} is one too many for {worker}"));
                }
            }
        }
        violations
    }
}
