//! Jobs that no worker could ever run.

use std::collections::HashSet;

use crate::JobId;
use crate::Outcome;
use crate::Resources;
use crate::StepKey;
use crate::planner::Planner;
use crate::planner::state::roster::WorkerState;

impl Planner {
    /// Fails jobs that could not run even if all workers were empty, so that their callers get the
    /// result without delay and their tasks do not block others.
    ///
    /// A failure is final, so a job is checked against the largest pool seen by this owner. When
    /// jobs were checked against the current workers, some failed that only had to wait for absent
    /// workers.
    pub(crate) fn fail_impossible_jobs(&mut self) {
        self.peak_pools.update(&self.workers);
        // The capacity of an incarnation is unknown until its registration is read.
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
