//! Handles reports of a run as done that arrive after the run was counted as lost.

use crate::EndedRun;
use crate::RunId;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::StopReason;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::Phase;

impl Planner {
    /// Marks the task of a run that was counted as lost as done, and stops the runs that replaced
    /// it: work that is done must not be repeated.
    pub(crate) fn accept_late_end(&mut self, end: &EndedRun, gang: bool) {
        let task = end.task;
        let replacements = self.replacement_runs(task, gang);
        self.dirty_jobs.insert(task.step.job);
        if gang {
            self.member_ended(task.step, end);
        } else {
            self.task_done(task);
        }
        for (task, worker, run) in replacements {
            self.stop_run(worker, task, run, StopReason::Superseded);
        }
    }

    /// Returns the active runs of a task, or of all members of its gang.
    fn replacement_runs(&self, task: TaskKey, gang: bool) -> Vec<(TaskKey, WorkerKey, RunId)> {
        let job = self.jobs.get(&task.step.job);
        let Some((_, step)) = job.and_then(|job| job.step(task.step)) else {
            return Vec::new();
        };
        let mut runs = Vec::new();
        for (index, state) in (0..).zip(&step.tasks) {
            let key = TaskKey { index, ..task };
            if let Phase::Active(worker, run) = state.phase
                && (gang || key == task)
            {
                runs.push((key, worker, run));
            }
        }
        runs
    }
}
