//! Runs that a worker lists and this planner has not started: those of a
//! predecessor.

use std::time::Duration;

use super::Order;
use super::Planner;
use super::StopReason;
use super::WorkerKey;
use super::begin::Sighting;
use super::job_state::Phase;
use super::roster::Placed;
use super::roster::RunPhase;
use crate::ActiveRun;
use crate::JobId;
use crate::Resources;
use crate::StepSpec;

impl Planner {
    /// Adopts a run whose task waits, or stops it; either way it holds its room.
    pub(super) fn adopt(&mut self, key: WorkerKey, running: &ActiveRun) {
        let task = running.task;
        let now = self.now;
        let sighting = Sighting::of_progress(running.percent);
        if self.workers[key].runs.contains_key(&task) {
            // A booking of its own would replace that of the other run, whose
            // room would never come back: the worker would get no more work.
            self.orders.push(Order::Stop {
                worker: key,
                task,
                run: running.run,
                reason: StopReason::OtherRun,
            });
            self.sighted(task, running.run, sighting);
            return;
        }
        let trusted = self.workers[key].trusted;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            self.take_stranger(key, running);
            return;
        };
        // An ended job's tasks hold their room until they have stopped.
        let (booked, filler) = job
            .spec
            .steps
            .get(task.step.step as usize)
            .map_or_else(Default::default, StepSpec::booked_and_filler);
        let mut wanted = false;
        let trial = job.isolates(task);
        if job.outcome.is_none() {
            // A round that only the predecessor had opened.
            while job.opened <= task.step.round && job.opened < job.spec.rounds() {
                job.open_round();
            }
            let step = job.step_mut(task.step);
            let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
            if let Some(state) = state {
                wanted = trusted && state.phase == Phase::Waiting && running.run > state.void;
                if wanted {
                    state.phase = Phase::Active(key, running.run);
                    state.run = running.run;
                }
            }
        }
        let placed = Placed {
            run: running.run,
            booked,
            filler,
            unsized_run: false,
            phase: RunPhase::Running,
            since: now,
            percent: running.percent,
            moved: now,
            unsure: Duration::ZERO,
            checkpoint: running.checkpoint.clone(),
            whole: false,
            trial,
        };
        self.workers[key].book(task, placed);
        self.sighted(task, running.run, sighting);
        if !wanted {
            self.stop(key, task, running.run, StopReason::NotWanted);
        }
    }

    /// A run of a job that is not known: its size is not known either, so the
    /// worker gets no work until it has stopped.
    fn take_stranger(&mut self, key: WorkerKey, running: &ActiveRun) {
        let placed = Placed {
            run: running.run,
            booked: Resources::default(),
            filler: 0,
            unsized_run: true,
            phase: RunPhase::Running,
            since: self.now,
            percent: running.percent,
            moved: self.now,
            unsure: Duration::ZERO,
            checkpoint: String::new(),
            whole: false,
            trial: false,
        };
        self.workers[key].book(running.task, placed);
        self.stop(key, running.task, running.run, StopReason::JobUnknown);
    }

    /// Runs that workers listed before their job was known: each keeps its task
    /// from starting elsewhere until it has stopped.
    pub(super) fn count_strangers(&mut self, id: JobId) {
        let mut found = Vec::new();
        for (key, worker) in &self.workers {
            let runs = worker.runs.iter();
            let ours = runs.filter(|(task, _)| task.step.job == id);
            found.extend(ours.map(|(task, placed)| (*task, key, placed.run)));
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for &(task, key, run) in &found {
            let step = job.step_mut(task.step);
            let state = step.and_then(|(_, step)| step.tasks.get_mut(task.index as usize));
            if let Some(state) = state.filter(|state| state.phase == Phase::Waiting) {
                state.phase = Phase::Active(key, run);
                state.run = state.run.max(run);
            }
        }
        for (task, _, run) in found {
            self.sighted(task, run, Sighting::There);
        }
    }
}
