//! Room that gangs could have on each worker if less urgent tasks that save
//! their progress were stopped.

use slotmap::SecondaryMap;

use super::Planner;
use super::WorkerKey;
use super::job_state::JobState;
use super::roster::Placed;
use super::roster::RunPhase;
use super::roster::WorkerState;
use crate::Mechanism;
use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;

/// Most times that a task is preempted: each resumption costs the worker the
/// time to restore.
const MOST_PREEMPTED: u32 = 2;

/// Progress, in percent, from which on a run is left alone: its room is free
/// soon anyway.
const NEARLY_DONE: u32 = 75;

/// Share of the processors in use that is free again after a call for advice: it
/// takes up to a second, runs take some four.
const TURNOVER: f64 = 0.25;

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    pub task: TaskKey,
    pub run: RunId,
    /// Priority of its queue; higher numbers are less urgent.
    pub priority: u32,
    pub booked: Resources,
}

/// What a gang could have on one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Reach {
    /// Free, or about to be: what is stopping holds its room for up to 0.3 s.
    pub room: Resources,
    /// Runs that may be stopped for more, the largest last.
    pub victims: Vec<Victim>,
}

impl Reach {
    /// All room that work of a priority could have.
    pub(super) fn most(&self, priority: u32) -> Resources {
        let victims = self.victims.iter();
        victims
            .filter(|victim| victim.priority > priority)
            .fold(self.room, |room, victim| room.plus(&victim.booked))
    }
}

/// Whether tasks of a step may be stopped for a gang: they save their progress.
fn may_be_stopped(spec: &StepSpec) -> bool {
    spec.checkpointed && !spec.gang && !spec.long_running && !spec.speculative
}

/// By worker. Found once in each pass: a look at each run for each waiting
/// gang took 2.2 ms of a round of 350 workers and 300 steps.
pub(super) type Reaches = SecondaryMap<WorkerKey, Reach>;

impl Planner {
    pub(super) fn find_reaches(&mut self) {
        let mut reaches = std::mem::take(&mut self.reaches);
        reaches.clear();
        for (key, worker) in &self.workers {
            reaches.insert(key, self.reach(worker));
        }
        self.reaches = reaches;
        self.gang_room = self
            .workers
            .values()
            .map(|worker| self.soon_free(worker))
            .sum();
    }

    /// Processors of all usable workers, in thousandths of a core.
    pub(super) fn usable_cpu(&self) -> u64 {
        let usable = self.workers.values().filter(|worker| self.usable(worker));
        usable.map(|worker| worker.info.capacity.cpu).sum()
    }

    /// Processors of a worker that are free, or may be by the time that a call
    /// for advice has been answered.
    fn soon_free(&self, worker: &WorkerState) -> u64 {
        if !self.usable(worker) {
            return 0;
        }
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let ending = (worker.used.cpu as f64 * TURNOVER) as u64;
        worker.free().cpu + ending
    }

    pub(super) fn reach(&self, worker: &WorkerState) -> Reach {
        let mut reach = Reach::default();
        let mut staying = worker.used;
        for (&task, placed) in &worker.runs {
            if matches!(placed.phase, RunPhase::Stopping | RunPhase::Stopped) {
                staying = staying.minus(&placed.booked);
            } else if let Some(victim) = self.victim(task, placed) {
                reach.victims.push(victim);
            }
        }
        reach.room = worker.room.minus(&staying);
        if !worker.room.can_fit(&staying) {
            // The room has shrunk below what runs there. What a stopped run leaves goes
            // to the others first; counted as free, runs were stopped for nothing.
            reach.victims.clear();
        }
        let victims = &mut reach.victims;
        victims.sort_unstable_by_key(|victim| (victim.booked.cpu, victim.task));
        reach
    }

    /// Whether a job is still in time if a task of this step begins anew; the steps after it are still to come.
    fn relaxed(&self, job: &JobState, key: StepKey) -> bool {
        let times = &job.expected.times;
        let time = times.get(key.step as usize).copied().unwrap_or_default();
        let due = job.born + job.expected.objective;
        self.now + time + job.expected.chain <= due
    }

    /// A run that may be stopped for more urgent work: it saves its progress,
    /// and its job would still be in time.
    fn victim(&self, task: TaskKey, placed: &Placed) -> Option<Victim> {
        let job = self.jobs.get(&task.step.job)?;
        let (spec, step) = job.step(task.step)?;
        let state = step.tasks.get(task.index as usize)?;
        let at_work = placed.phase == RunPhase::Running && placed.percent < NEARLY_DONE;
        let relaxed = self.relaxed(job, task.step);
        let fresh = state.preempted < MOST_PREEMPTED;
        let on = self.policy.switches.has(Mechanism::Preemption);
        (on && may_be_stopped(spec) && at_work && relaxed && fresh).then_some(Victim {
            task,
            run: placed.run,
            priority: job.spec.queue.priority,
            booked: placed.booked,
        })
    }
}
