//! Jobs that no worker could ever take.

use std::collections::HashSet;

use super::Planner;
use super::roster::WorkerState;
use crate::JobId;
use crate::Outcome;
use crate::Resources;
use crate::StepKey;

impl Planner {
    /// Ends jobs that no worker could ever take, however empty: their callers
    /// learn at once, and their tasks do not stand in the way of others.
    ///
    /// A job that is ended stays so. Judged by the workers of the moment, jobs
    /// were shown as failed that only had to wait for workers that were away;
    /// the largest pool that was seen could not take what is ended here either.
    pub(super) fn refuse_impossible(&mut self) {
        self.kinds.count(&self.workers);
        // A life that has not registered may have room for anything.
        let unknown =
            |worker: &WorkerState| worker.gone && worker.info.capacity == Resources::default();
        if self.recovering || self.workers.values().any(unknown) {
            return;
        }
        let hopeless = |key: &&StepKey| {
            let Some(job) = self.jobs.get(&key.job) else {
                return false;
            };
            let Some((spec, step)) = job.step(**key) else {
                return false;
            };
            let members = if spec.gang {
                step.tasks.len() as u64
            } else {
                1
            };
            let service = &job.spec.queue.service;
            self.kinds.never(service, spec, members, self.now)
        };
        let jobs: HashSet<JobId> = self
            .open
            .iter()
            .filter(hopeless)
            .map(|key| key.job)
            .collect();
        for id in jobs {
            self.finish(id, Outcome::Failed);
        }
    }
}
