//! Detects when a job has started: only worker reports and replies to start commands show it,
//! not the commands themselves.

use std::time::Duration;

use crate::EndedRun;
use crate::JobId;
use crate::RunEnd;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::JobState;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::RunPhase;

/// What a worker report or a reply to a start command shows about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The worker has the run; a member of a gang may still wait for the others.
    Present,
    /// The run has made progress.
    Worked,
}

impl Observation {
    /// Classifies an active run in a worker report by its progress.
    pub(crate) fn of_progress(percent: u32) -> Observation {
        if percent > 0 {
            Observation::Worked
        } else {
            Observation::Present
        }
    }

    /// Classifies a reported end. A gang member that has neither succeeded nor failed, and has no
    /// checkpoint, may have ended before all members were present.
    pub(crate) fn of_end(end: &EndedRun) -> Observation {
        let worked = matches!(end.how, RunEnd::Done | RunEnd::Failed);
        if worked || !end.checkpoint.is_empty() {
            Observation::Worked
        } else {
            Observation::Present
        }
    }
}

impl Planner {
    /// Handles evidence that a worker has or had a run; only this marks a job as started. When
    /// the start command did, jobs whose starts got no reply were missing from the queue's
    /// length (1 counted as waiting while 10 had waited for 5 s).
    pub(crate) fn run_observed(&mut self, task: TaskKey, run: RunId, observation: Observation) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if job.started || job.outcome.is_some() {
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
        self.mark_started(task.step.job);
    }

    /// Returns whether the workers have confirmed all members of a gang's run; the gang does no
    /// work before that.
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

    /// Returns whether a worker has confirmed a run and is not being asked to stop it.
    fn runs_on(&self, key: WorkerKey, task: TaskKey, run: RunId) -> bool {
        let worker = self.workers.get(key);
        let placed = worker.and_then(|worker| worker.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run && placed.phase == RunPhase::Running)
    }

    /// Marks a job as started, which is saved with the next batch.
    fn mark_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.started = true;
        // A successor shows the saved status. If the start were not saved, an active job would be
        // pending again until its worker has sent a report.
        self.started_jobs.insert(id);
        let waited = self.now.saturating_sub(job.accepted_at);
        self.first_starts.push(waited);
    }

    /// Takes the times from acceptance to the first start of the jobs that have started since
    /// the last call.
    pub fn take_first_starts(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.first_starts)
    }
}
