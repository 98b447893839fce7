//! Resources available to gangs on each worker if less urgent tasks with checkpoints were
//! preempted.

use slotmap::SecondaryMap;

use crate::Mechanism;
use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::JobState;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::state::roster::WorkerState;

/// Maximum number of preemptions of a task: each resumption costs the worker the time to
/// restore the checkpoint.
const MAX_PREEMPTIONS: u32 = 2;

/// Progress, in percent, from which on a run is not preempted: its resources become free
/// soon anyway.
const NEARLY_DONE_PERCENT: u32 = 75;

/// Share of the processors in use that becomes free during an advice call, which takes
/// up to a second, while runs take about four.
const TURNOVER_SHARE: f64 = 0.25;

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    pub task: TaskKey,
    pub run: RunId,
    /// Priority of the job's queue; higher numbers are less urgent.
    pub priority: u32,
    pub booked: Resources,
}

/// Resources available to gangs on one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// Resources that are free or about to be: a run that is being stopped occupies its
    /// resources for up to 0.3 s.
    pub free: Resources,
    /// Runs that may be preempted, the largest last.
    pub victims: Vec<Victim>,
}

impl Headroom {
    /// Returns the resources available to a gang of this priority if all less urgent victims were
    /// preempted.
    pub(crate) fn available_to(&self, priority: u32) -> Resources {
        let victims = self.victims.iter();
        victims
            .filter(|victim| victim.priority > priority)
            .fold(self.free, |sum, victim| sum.plus(&victim.booked))
    }
}

/// Returns whether tasks of a step may be preempted: they are single tasks that save checkpoints.
fn preemptible(spec: &StepSpec) -> bool {
    spec.checkpointed && !spec.gang && !spec.long_running && !spec.speculative
}

/// Headroom by worker, computed once in each planning pass. Computing it for each waiting gang
/// took 2.2 ms of a pass with 350 workers and 300 steps.
pub(crate) type Headrooms = SecondaryMap<WorkerKey, Headroom>;

impl Planner {
    /// Computes the headroom of all workers, and the processors available to gangs.
    pub(crate) fn update_headrooms(&mut self) {
        let mut headrooms = std::mem::take(&mut self.headrooms);
        headrooms.clear();
        for (key, worker) in &self.workers {
            headrooms.insert(key, self.headroom(worker));
        }
        self.headrooms = headrooms;
        self.gang_cpu = self
            .workers
            .values()
            .map(|worker| self.soon_free_cpu(worker))
            .sum();
    }

    /// Returns the processors of all usable workers, in thousandths of a core.
    pub(crate) fn usable_cpu(&self) -> u64 {
        let usable = self.workers.values().filter(|worker| self.usable(worker));
        usable.map(|worker| worker.info.capacity.cpu).sum()
    }

    /// Returns the processors of a worker that are free, or are expected to become free during an
    /// advice call, in thousandths of a core.
    fn soon_free_cpu(&self, worker: &WorkerState) -> u64 {
        if !self.usable(worker) {
            return 0;
        }
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let ending = (worker.total_booked.cpu as f64 * TURNOVER_SHARE) as u64;
        worker.free().cpu + ending
    }

    /// Computes the headroom of a worker.
    pub(crate) fn headroom(&self, worker: &WorkerState) -> Headroom {
        let mut headroom = Headroom::default();
        let mut remaining = worker.total_booked;
        for (&task, placed) in &worker.runs {
            if matches!(placed.phase, RunPhase::Stopping | RunPhase::Stopped) {
                remaining = remaining.minus(&placed.booked);
            } else if let Some(victim) = self.victim(task, placed) {
                headroom.victims.push(victim);
            }
        }
        headroom.free = worker.fill_limit.minus(&remaining);
        if !worker.fill_limit.can_fit(&remaining) {
            // The capacity has shrunk below what the remaining runs book, so stopping a run frees
            // no resources for others. When they counted as free, runs were preempted to no use.
            headroom.victims.clear();
        }
        let victims = &mut headroom.victims;
        victims.sort_unstable_by_key(|victim| (victim.booked.cpu, victim.task));
        headroom
    }

    /// Returns whether a job can still meet its objective if a task of this step starts again
    /// from the beginning. A whole critical path is added for the steps that follow.
    fn has_slack(&self, job: &JobState, key: StepKey) -> bool {
        let times = &job.expected.task_times;
        let time = times.get(key.step as usize).copied().unwrap_or_default();
        let due = job.accepted_at + job.expected.objective;
        self.now + time + job.expected.critical_path <= due
    }

    /// Returns a run as a victim if it may be preempted: it saves checkpoints, is not nearly done,
    /// was not preempted too often, and its job would still meet its objective.
    fn victim(&self, task: TaskKey, placed: &PlacedRun) -> Option<Victim> {
        let job = self.jobs.get(&task.step.job)?;
        let (spec, step) = job.step(task.step)?;
        let state = step.tasks.get(task.index as usize)?;
        let in_progress = placed.phase == RunPhase::Running && placed.percent < NEARLY_DONE_PERCENT;
        let has_slack = self.has_slack(job, task.step);
        let below_limit = state.preempted < MAX_PREEMPTIONS;
        let switched_on = self.policy.switches.enabled(Mechanism::Preemption);
        (switched_on && preemptible(spec) && in_progress && has_slack && below_limit).then_some(
            Victim {
                task,
                run: placed.run,
                priority: job.spec.queue.priority,
                booked: placed.booked,
            },
        )
    }
}
