//! Adopts or stops runs that a worker reports but that are not booked there, such as those of
//! the former owner.

use std::time::Duration;

use crate::ActiveRun;
use crate::JobId;
use crate::Resources;
use crate::StepSpec;
use crate::planner::Command;
use crate::planner::Planner;
use crate::planner::StopReason;
use crate::planner::WorkerKey;
use crate::planner::reports::job_start::Observation;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;

impl Planner {
    /// Adopts a reported run if its task is waiting, and stops it otherwise. Either way the run
    /// keeps its resources booked until it has ended.
    pub(crate) fn adopt_run(&mut self, key: WorkerKey, running: &ActiveRun) {
        let task = running.task;
        let now = self.now;
        let observation = Observation::of_progress(running.percent);
        if self.workers[key].runs.contains_key(&task) {
            // Booking this run would replace the booking of the other run of the task. The
            // resources of that one would never be freed, and the worker would get no more work.
            self.commands.push(Command::Stop {
                worker: key,
                task,
                run: running.run,
                reason: StopReason::DuplicateRun,
            });
            self.run_observed(task, running.run, observation);
            return;
        }
        let trusted = self.workers[key].ends_trusted;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            self.book_unknown_run(key, running);
            return;
        };
        let organisation = job.organisation;
        let priority = job.spec.queue.priority;
        // Runs of an ended job keep their resources booked until they have stopped.
        let spec = job.spec.steps.get(task.step.step as usize);
        let (booked, filler_cpu) = spec.map_or_else(Default::default, StepSpec::booked_and_filler);
        let long_running = job.outcome.is_none() && spec.is_some_and(|spec| spec.long_running);
        let mut adopted = false;
        let trial = job.needs_trial(task);
        if job.outcome.is_none() {
            // The former owner may have opened rounds that this planner has not.
            job.add_round(task.step.round);
            let step = job.step_mut(task.step);
            let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
            if let Some(state) = state {
                adopted =
                    trusted && state.phase == Phase::Waiting && running.run > state.last_closed;
                if adopted {
                    state.phase = Phase::Active(key, running.run);
                    state.run = running.run;
                }
            }
        }
        let placed = PlacedRun {
            run: running.run,
            booked,
            filler_cpu,
            organisation,
            priority,
            unknown_size: false,
            phase: RunPhase::Running,
            phase_since: now,
            percent: running.percent,
            progressed_at: now,
            late_expiry: Duration::ZERO,
            checkpoint: running.checkpoint.clone(),
            from_start: false,
            long_running,
            trial,
        };
        self.book_run(key, task, placed);
        self.run_observed(task, running.run, observation);
        if !adopted {
            self.stop_run(key, task, running.run, StopReason::Superseded);
        }
    }

    /// Books and stops a reported run whose job was not read yet. The resources that it needs are
    /// unknown, so the worker gets no work until the run has stopped.
    fn book_unknown_run(&mut self, key: WorkerKey, running: &ActiveRun) {
        let placed = PlacedRun {
            run: running.run,
            booked: Resources::default(),
            filler_cpu: 0,
            organisation: None,
            priority: 0,
            unknown_size: true,
            phase: RunPhase::Running,
            phase_since: self.now,
            percent: running.percent,
            progressed_at: self.now,
            late_expiry: Duration::ZERO,
            checkpoint: String::new(),
            from_start: false,
            long_running: false,
            trial: false,
        };
        self.book_run(key, running.task, placed);
        self.stop_run(key, running.task, running.run, StopReason::JobUnknown);
    }

    /// Marks tasks of a newly read job as active if a worker reported a run of them before, so
    /// that no task starts elsewhere before that run has stopped.
    pub(crate) fn bind_unknown_runs(&mut self, id: JobId) {
        let mut found = Vec::new();
        for (key, worker) in &self.workers {
            let runs = worker.runs.iter();
            let of_job = runs.filter(|(task, _)| task.step.job == id);
            found.extend(of_job.map(|(task, placed)| (*task, key, placed.run)));
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for &(task, key, run) in &found {
            job.add_round(task.step.round);
            let step = job.step_mut(task.step);
            let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
            if let Some(state) = state.filter(|state| state.phase == Phase::Waiting) {
                state.phase = Phase::Active(key, run);
                state.run = state.run.max(run);
            }
        }
        for (task, _, run) in found {
            self.run_observed(task, run, Observation::Present);
        }
    }
}
