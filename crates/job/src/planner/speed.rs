//! How fast each worker is, learnt from the runs of steps whose tasks ran on
//! several workers.
//!
//! A gang goes on at the pace of its slowest member, while all the others hold
//! their processors; a short task on a slow worker is late. On the sites that were
//! measured, a third of the workers takes 1.3 times as long, and no label says
//! which.

use super::Planner;
use super::WorkerKey;
use super::job_state::StepState;
use super::roster::PlacedRun;
use super::roster::RunPhase;
use super::roster::WorkerState;
use crate::Mechanism;
use crate::StepKey;
use crate::TaskKey;

/// Fewest runs of a step that are compared: with fewer, the lengths of the tasks
/// say more than the workers do.
const FEWEST_RUNS: usize = 4;

/// Runs for which a worker counts as fast as the others at first.
const PRIOR: f64 = 1.5;

/// Share of its weight that an observation keeps with each later one, so that a
/// worker that turns slow, or recovers, is known after some ten runs.
const KEPT: f64 = 0.9;

/// Logarithm of the time by which a worker is slower than the mean of all, from
/// which on it is one of the slow ones. If a third takes 1.3 times as long, fast
/// ones stand at -0.09 and slow ones at 0.17.
const SLOW: f64 = 0.06;

/// Multiple of its time that a task may take on a slow worker.
pub(super) const SLOW_FACTOR: f64 = 2.0;

/// What is known of a worker's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    weight: f64,
    /// Weighted sum of logarithms: above 0 for slower than others.
    sum: f64,
}

impl Speed {
    fn observe(&mut self, slower: f64) {
        self.weight = self.weight * KEPT + 1.0;
        self.sum = self.sum * KEPT + slower;
    }

    /// Whether the worker is one of the slow ones.
    pub(super) fn slow(&self) -> bool {
        self.sum / (self.weight + PRIOR) > SLOW
    }
}

impl StepState {
    /// Notes how long a run took that was done.
    fn note_run(&mut self, worker: WorkerKey, seconds: f64) {
        self.log_seconds.push((worker, seconds.max(0.001).ln()));
    }

    /// For each run by how much it was slower than the others, as a logarithm.
    fn slower(&mut self) -> Vec<(WorkerKey, f64)> {
        let took = std::mem::take(&mut self.log_seconds);
        if took.len() < FEWEST_RUNS {
            return Vec::new();
        }
        #[allow(clippy::cast_precision_loss)]
        let count = took.len() as f64;
        let mean = took.iter().map(|(_, log)| log).sum::<f64>() / count;
        // Against the mean of the others alone, without the run itself.
        let others = count / (count - 1.0);
        let each = took.into_iter();
        each.map(|(worker, log)| (worker, (log - mean) * others))
            .collect()
    }
}

impl Planner {
    /// A run was done. Once its step is complete, its workers are compared.
    pub(super) fn note_run(&mut self, worker: WorkerKey, task: TaskKey, run: &PlacedRun) {
        let took = self.now.saturating_sub(run.phase_since).as_secs_f64();
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((spec, step)) = job.and_then(|job| job.step_mut(task.step))
            && !spec.gang
            && !spec.filler
            && run.from_start
            && run.phase == RunPhase::Running
        {
            step.note_run(worker, took);
        }
    }

    /// Compares the workers of a complete step.
    pub(super) fn compare_workers(&mut self, key: StepKey) {
        let job = self.jobs.get_mut(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        for (worker, slower) in step.slower() {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.speed.observe(slower);
            }
        }
    }

    /// Whether a worker is one of the slow ones.
    pub(super) fn slow(&self, worker: &WorkerState) -> bool {
        self.policy.switches.has(Mechanism::Speeds) && worker.speed.slow()
    }

    /// Whether a step of single tasks can be in time on a slow worker. It then goes
    /// there first, and leaves the others to those that cannot, and to gangs.
    pub(super) fn tolerant(&self, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let tail = job.expected.tails.get(key.step as usize);
        let tail = tail.copied().unwrap_or_default().mul_f64(SLOW_FACTOR);
        self.now + tail <= job.accepted_at + job.expected.objective
    }
}
