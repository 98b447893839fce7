//! Learns run times and the speeds of workers from completed runs.

use std::time::Duration;

use crate::Mechanism;
use crate::StepKey;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::times::expected::Expected;
use crate::planner::times::speed::log_ratios;

/// Interval at which the estimates of open jobs are computed again. Within it, newly learnt run
/// times change a queue's estimates by a few percent.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Records a completed run of a single task. Its worker is compared with others once
    /// the step is complete.
    pub(crate) fn record_run(&mut self, worker: WorkerKey, task: TaskKey, run: &PlacedRun) {
        let took = self.now.saturating_sub(run.phase_since).as_secs_f64();
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((spec, step)) = job.and_then(|job| job.step_mut(task.step))
            && !spec.gang
            && !spec.filler
            && run.from_start
            && run.phase == RunPhase::Running
        {
            step.log_seconds.push((worker, took.max(0.001).ln()));
        }
    }

    /// Compares the workers of a complete step.
    pub(crate) fn compare_workers(&mut self, key: StepKey) {
        let job = self.jobs.get_mut(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        for (worker, log_ratio) in log_ratios(std::mem::take(&mut step.log_seconds)) {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.speed.observe(log_ratio);
            }
        }
    }

    /// Computes the estimates of open jobs again if [`REFRESH_INTERVAL`] has passed.
    pub(crate) fn refresh_estimates(&mut self) {
        if self.now < self.refreshed_at + REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = self.now;
        let open = self.jobs.values_mut().filter(|job| job.outcome.is_none());
        for job in open {
            job.expected = Expected::new(&job.spec, &self.run_times);
        }
    }

    /// Updates the learnt run times of a queue with a completed run. Members of a gang end
    /// together, so only the first reported end of a gang counts.
    pub(crate) fn learn_run_time(&mut self, key: WorkerKey, task: TaskKey, run: &PlacedRun) {
        let learning = self.policy.switches.enabled(Mechanism::LearntTimes);
        if !learning || !run.from_start || run.phase != RunPhase::Running {
            return;
        }
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some((spec, step)) = job.step(task.step) else {
            return;
        };
        let weight = match (spec.gang, step.complete()) {
            (true, true) => return,
            (true, false) => 1.0,
            (false, _) => 1.0 / f64::from(spec.count.max(1)),
        };
        let took = self.now.saturating_sub(run.phase_since);
        let took = self.normalised(key, task, took);
        let queue = &job.spec.queue.name;
        self.run_times.observe(queue, spec.estimate, took, weight);
    }
}
