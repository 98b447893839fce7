//! Gangs: tasks that start, work and end together under one run number.

use crate::EndedRun;
use crate::RunEnd;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::StopReason;
use crate::planner::state::job_state::Phase;

impl Planner {
    /// Handles the reported end of a member's run. The job must not have ended.
    pub(crate) fn member_ended(&mut self, key: StepKey, end: &EndedRun) {
        let job = self.jobs.get_mut(&key.job);
        let Some((spec, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        let long_running = spec.long_running;
        // A checkpoint of any member is valid for all; it is stored with task 0.
        if let Some(first) = step.tasks.first_mut()
            && !end.checkpoint.is_empty()
        {
            first.checkpoint.clone_from(&end.checkpoint);
        }
        if end.how == RunEnd::Done && !long_running {
            // One member's end counts for all members.
            for state in &mut step.tasks {
                state.phase = Phase::Done;
            }
            step.done = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
            self.step_advanced(end.task);
            return;
        }
        if let Some(state) = step.tasks.get_mut(end.task.index as usize) {
            state.phase = Phase::Waiting;
            state.last_closed = state.last_closed.max(end.run);
        }
        self.mark_pending(key);
        self.break_gang(key, end.run);
    }

    /// Stops the remaining members of a run of which one member has ended, was lost or was
    /// refused. They would wait for that member until the gang's start timeout, and occupy their
    /// resources until then.
    pub(crate) fn break_gang(&mut self, key: StepKey, run: RunId) {
        let job = self.jobs.get(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step(key)) else {
            return;
        };
        let mut remaining = Vec::new();
        for (index, task) in (0..).zip(&step.tasks) {
            if let Phase::Active(worker, active) = task.phase
                && active == run
            {
                remaining.push((TaskKey { step: key, index }, worker));
            }
        }
        for (task, worker) in remaining {
            self.stop_run(worker, task, run, StopReason::GangBroken);
        }
    }
}
