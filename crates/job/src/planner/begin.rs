//! When a job has begun: by what workers say, not by what was ordered.

use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::job_state::JobState;
use super::job_state::Phase;
use super::roster::RunPhase;
use crate::EndedRun;
use crate::JobId;
use crate::RunEnd;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;

/// What a worker has said of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sighting {
    /// It is there; a member of a gang may still wait for the others.
    There,
    /// It has worked.
    Worked,
}

impl Sighting {
    /// What a listed run tells.
    pub(super) fn of_progress(percent: u32) -> Sighting {
        if percent > 0 {
            Sighting::Worked
        } else {
            Sighting::There
        }
    }

    /// What an end tells. The other ends of a gang's members may come before
    /// all of them were there.
    pub(super) fn of_end(end: &EndedRun) -> Sighting {
        let worked = matches!(end.how, RunEnd::Done | RunEnd::Failed);
        if worked || !end.checkpoint.is_empty() {
            Sighting::Worked
        } else {
            Sighting::There
        }
    }
}

impl Planner {
    /// A worker has said that a run is, or was, there. Only this makes a job
    /// begin. Counted from the order on, jobs whose starts got no answer were
    /// missing from the queue's length: 1 was said to wait while 10 had waited
    /// for 5 s.
    pub(super) fn sighted(&mut self, task: TaskKey, run: RunId, sighting: Sighting) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if job.begun || job.outcome.is_some() {
            return;
        }
        let Some((spec, _)) = job.step(task.step) else {
            return;
        };
        if spec.gang && sighting == Sighting::There && !self.assembled(job, task.step, run) {
            return;
        }
        self.begin_job(task.step.job);
    }

    /// Whether all members of a gang's run are there: it starts only then.
    fn assembled(&self, job: &JobState, key: StepKey, run: RunId) -> bool {
        let Some((_, step)) = job.step(key) else {
            return false;
        };
        (0..).zip(&step.tasks).all(|(index, task)| {
            let Phase::Active(worker, active) = task.phase else {
                return false;
            };
            active == run && self.runs_there(worker, TaskKey { step: key, index }, run)
        })
    }

    fn runs_there(&self, key: WorkerKey, task: TaskKey, run: RunId) -> bool {
        let worker = self.workers.get(key);
        let placed = worker.and_then(|worker| worker.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run && placed.phase == RunPhase::Running)
    }

    fn begin_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.begun = true;
        // A successor shows what was saved: an active job would else be pending
        // again until the worker that runs it has answered.
        self.begins.insert(id);
        let waited = self.now.saturating_sub(job.born);
        self.first_starts.push(waited);
    }

    /// Times from acceptance to the first start of the jobs that have begun
    /// since the last call.
    pub fn take_first_starts(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.first_starts)
    }
}
