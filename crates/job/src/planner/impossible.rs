//! Jobs that no worker could ever run.

use std::collections::HashSet;

use super::Planner;
use super::roster::WorkerState;
use crate::JobId;
use crate::Outcome;
use crate::Resources;
use crate::StepKey;

impl Planner {
    /// Fails jobs that no worker could ever run, even if empty, so that their callers learn
    /// at once and their tasks do not block others.
    ///
    /// This is final, so the largest pool seen is what counts. When the current workers
    /// counted, jobs failed that only had to wait for workers that were away.
    pub(super) fn fail_impossible_jobs(&mut self) {
        self.peak_pools.update(&self.workers);
        // An incarnation that has not registered may have any capacity.
        let capacity_unknown = |worker: &WorkerState| {
            worker.unregistered && worker.info.capacity == Resources::default()
        };
        if self.recovering || self.workers.values().any(capacity_unknown) {
            return;
        }
        let unsatisfiable = |key: &&StepKey| {
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
            self.peak_pools.cannot_fit(service, spec, members, self.now)
        };
        let jobs: HashSet<JobId> = self
            .pending_steps
            .iter()
            .filter(unsatisfiable)
            .map(|key| key.job)
            .collect();
        for id in jobs {
            self.finish_job(id, Outcome::Failed);
        }
    }
}
