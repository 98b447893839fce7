//! Detects when a job has begun, which worker reports and replies decide, not start
//! commands.

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

/// What a worker's report or reply shows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observation {
    /// The worker has the run; a member of a gang may still wait for the others.
    Present,
    /// The run has made progress.
    Worked,
}

impl Observation {
    /// Classifies a running run in a worker report by its progress.
    pub(super) fn of_progress(percent: u32) -> Observation {
        if percent > 0 {
            Observation::Worked
        } else {
            Observation::Present
        }
    }

    /// Classifies a reported end. Ends other than these may be reported of members of a
    /// gang before all members were present.
    pub(super) fn of_end(end: &EndedRun) -> Observation {
        let worked = matches!(end.how, RunEnd::Done | RunEnd::Failed);
        if worked || !end.checkpoint.is_empty() {
            Observation::Worked
        } else {
            Observation::Present
        }
    }
}

impl Planner {
    /// Handles evidence that a worker has or had a run; only this makes a job begin. When
    /// jobs counted as begun from the start command on, jobs whose starts had no reply were
    /// missing from the queue's length (1 counted as waiting while 10 had waited for 5 s).
    pub(super) fn run_observed(&mut self, task: TaskKey, run: RunId, observation: Observation) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if job.begun || job.outcome.is_some() {
            return;
        }
        let Some((spec, _)) = job.step(task.step) else {
            return;
        };
        if spec.gang
            && observation == Observation::Present
            && !self.gang_assembled(job, task.step, run)
        {
            return;
        }
        self.mark_begun(task.step.job);
    }

    /// Whether all members of a gang's run are on their workers; the gang starts only then.
    fn gang_assembled(&self, job: &JobState, key: StepKey, run: RunId) -> bool {
        let Some((_, step)) = job.step(key) else {
            return false;
        };
        (0..).zip(&step.tasks).all(|(index, task)| {
            let Phase::Active(worker, active) = task.phase else {
                return false;
            };
            active == run && self.runs_on(worker, TaskKey { step: key, index }, run)
        })
    }

    fn runs_on(&self, key: WorkerKey, task: TaskKey, run: RunId) -> bool {
        let worker = self.workers.get(key);
        let placed = worker.and_then(|worker| worker.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run && placed.phase == RunPhase::Running)
    }

    fn mark_begun(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.begun = true;
        // A successor shows the saved status: without this, an active job would be pending
        // again until its worker has reported.
        self.begun_jobs.insert(id);
        let waited = self.now.saturating_sub(job.accepted_at);
        self.first_starts.push(waited);
    }

    /// Takes the times from acceptance to the first start of the jobs that have begun since
    /// the last call.
    pub fn take_first_starts(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.first_starts)
    }
}
