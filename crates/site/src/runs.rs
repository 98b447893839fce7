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
pub enum Deed {
    /// A task began: worker, task, run.
    Began(String, String, u64),
    /// It ended: worker, task, run, how.
    Ended(String, String, u64, String),
    /// The worker's lease ran out before this end was taken note of: the end
    /// does not stand, the task may run again.
    Void(String, u64),
    /// It was told that this end is taken note of: task, run, how.
    Noted(String, u64, String),
    /// A start brought the worker over the cores that it has: worker, task.
    Over(String, String),
}

/// A run of a task, from its begin to its end.
#[derive(Clone, Debug)]
pub struct Span {
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

impl Span {
    /// Whether it ended with its worker.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.end.as_ref().is_some_and(|(_, how)| how == "gone")
    }
}

/// The deeds of all workers, in order, and when they were done.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    deeds: Arc<Mutex<Vec<(Instant, Deed)>>>,
}

impl RunLog {
    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, Deed)>> {
        self.deeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn push(&self, deed: Deed) {
        self.lock().push((Instant::now(), deed));
    }

    /// All deeds so far.
    #[must_use]
    pub fn deeds(&self) -> Vec<Deed> {
        let deeds = self.lock();
        deeds.iter().map(|(_, deed)| deed.clone()).collect()
    }

    /// Number of starts of the tasks of a job.
    #[must_use]
    pub fn starts(&self, job: &str) -> usize {
        let deeds = self.lock();
        let began = deeds
            .iter()
            .filter(|(_, deed)| matches!(deed, Deed::Began(_, task, _) if task.starts_with(job)));
        began.count()
    }

    /// Runs of the tasks of a job, in the order of their begin.
    #[must_use]
    pub fn spans(&self, job: &str) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        for (at, deed) in self.lock().iter() {
            match deed {
                Deed::Began(worker, task, run) if task.starts_with(job) => spans.push(Span {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    begin: *at,
                    end: None,
                }),
                Deed::Ended(worker, task, run, how) => {
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
    pub fn gone(&self, job: &str) -> usize {
        let spans = self.spans(job);
        spans.iter().filter(|span| span.lost()).count()
    }

    /// What must never be: a task on two workers at a time, or begun again
    /// after it was done, or after [`MAX_ATTEMPTS`] failed runs that were taken note of, or a
    /// worker over the cores that it has.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut failures: HashMap<String, HashSet<u64>> = HashMap::new();
        let mut alive: HashMap<String, String> = HashMap::new();
        let mut done: HashMap<String, u64> = HashMap::new();
        let mut faults = Vec::new();
        for (_, deed) in self.lock().iter() {
            match deed {
                Deed::Began(worker, task, run) => {
                    if let Some(other) = alive.insert(task.clone(), worker.clone()) {
                        faults.push(format!(
                            "{task} run {run} began on {worker}, runs on {other}"
                        ));
                    }
                    if done.contains_key(task) {
                        faults.push(format!("{task} run {run} began on {worker}, was done"));
                    }
                    let failed = failures.get(task).map_or(0, HashSet::len);
                    if failed >= ATTEMPTS {
                        faults.push(format!("{task} run {run} began after {failed} failed runs"));
                    }
                }
                Deed::Ended(_, task, run, how) => {
                    alive.remove(task);
                    if how == "done" {
                        done.insert(task.clone(), *run);
                    }
                }
                Deed::Void(task, run) => {
                    if done.get(task) == Some(run) {
                        done.remove(task);
                    }
                }
                Deed::Noted(task, run, how) => {
                    if how == "failed" {
                        failures.entry(task.clone()).or_default().insert(*run);
                    }
                }
                Deed::Over(worker, task) => {
                    faults.push(format!("{task} is one too many for {worker}"));
                }
            }
        }
        faults
    }
}
