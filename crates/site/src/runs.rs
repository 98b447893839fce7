//! What workers have done, seen from outside: the judge of the tests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

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
}

/// The deeds of all workers, in order.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    deeds: Arc<Mutex<Vec<Deed>>>,
}

impl RunLog {
    fn lock(&self) -> MutexGuard<'_, Vec<Deed>> {
        self.deeds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn push(&self, deed: Deed) {
        self.lock().push(deed);
    }

    /// All deeds so far.
    #[must_use]
    pub fn deeds(&self) -> Vec<Deed> {
        self.lock().clone()
    }

    /// Number of starts of the tasks of a job.
    #[must_use]
    pub fn starts(&self, job: &str) -> usize {
        let deeds = self.lock();
        let began = deeds
            .iter()
            .filter(|deed| matches!(deed, Deed::Began(_, task, _) if task.starts_with(job)));
        began.count()
    }

    /// What must never be: a task on two workers at a time, or begun again
    /// after it was done.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut alive: HashMap<String, String> = HashMap::new();
        let mut done: HashMap<String, u64> = HashMap::new();
        let mut faults = Vec::new();
        for deed in self.lock().iter() {
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
            }
        }
        faults
    }
}
