//! Learns the factors of workers on run times from completed runs.

use std::time::Duration;

use crate::Mechanism;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::times::factor::StepTimes;

/// Interval at which the speeds of the pool as a whole are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

impl Planner {
    /// Observes the worker of a completed run. A gang ends with its slowest member, so its end is an
    /// observation of that one.
    pub(crate) fn observe_factor(&mut self, key: WorkerKey, task: TaskKey, run: &PlacedRun) {
        let counts = run.from_start && run.phase == RunPhase::Running;
        if !counts || !self.policy.switches.enabled(Mechanism::PlacementByEnd) {
            return;
        }
        let took = self.now.saturating_sub(run.phase_since);
        let log_time = took.max(Duration::from_millis(1)).as_secs_f64().ln();
        let slowest = self.slowest_member(task).unwrap_or(key);
        let mean = self.speeds.mean;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let queue_time = job.expected.task_times.get(task.step.step as usize);
        let queue_log = queue_time.map_or(0.001, |time| time.as_secs_f64().max(0.001));
        let queue_log = queue_log.ln();
        let Some((spec, step)) = job.step_mut(task.step) else {
            return;
        };
        if spec.filler || spec.long_running || spec.gang && step.complete() {
            return;
        }
        let worker = self.workers.get_mut(slowest);
        let Some(worker) = worker.filter(|worker| !worker.unregistered) else {
            return;
        };
        let own = &mut worker.factor;
        if spec.gang {
            let (log, var) = StepTimes::default().expected(queue_log);
            own.observe(log_time - log, var);
            return;
        }
        let times = &mut step.times;
        let (first, single) = (times.take_first(), spec.count == 1);
        let (log, var) = times.expected(queue_log);
        if first.is_some() || single || times.any() {
            own.observe(log_time - log, var);
        }
        if let Some((other, other_time)) = first {
            let mut second = StepTimes::default();
            second.add(slowest, log_time, own, mean);
            let (log, var) = second.expected(queue_log);
            if let Some(other) = self.workers.get_mut(other) {
                other.factor.observe(other_time - log, var);
            }
        }
        if let Some(worker) = self.workers.get(slowest) {
            times.add(slowest, log_time, &worker.factor, mean);
        }
    }

    /// Returns the slowest worker of a gang that runs; `None` if the step is no gang.
    fn slowest_member(&self, task: TaskKey) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.step.job)?;
        let (_, step) = job.step(task.step).filter(|(spec, _)| spec.gang)?;
        let members = step.tasks.iter().filter_map(|state| match state.phase {
            Phase::Active(key, _) => Some((key, self.workers.get(key)?)),
            Phase::Waiting | Phase::Done => None,
        });
        let slowest = members.max_by(|(_, a), (_, b)| a.factor.log().total_cmp(&b.factor.log()));
        slowest.map(|(key, _)| key)
    }

    /// Returns an observed run time as it would have been on a worker of mean speed.
    pub(crate) fn normalised(&self, key: WorkerKey, task: TaskKey, took: Duration) -> Duration {
        if !self.speeds.differs {
            return took;
        }
        let slowest = self.slowest_member(task).unwrap_or(key);
        let log = self.log_factor(slowest);
        Duration::try_from_secs_f64(took.as_secs_f64() / log.exp()).unwrap_or(took)
    }

    /// Returns the logarithm of a worker's factor relative to the mean of the pool.
    pub(crate) fn log_factor(&self, key: WorkerKey) -> f64 {
        let worker = self.workers.get(key);
        worker.map_or(0.0, |worker| worker.factor.log() - self.speeds.mean)
    }

    /// Computes the speeds of the pool as a whole again if [`REFRESH_INTERVAL`] has passed.
    pub(crate) fn refresh_speeds(&mut self) {
        let enabled = self.policy.switches.enabled(Mechanism::PlacementByEnd);
        if !enabled || self.now < self.speeds_at + REFRESH_INTERVAL {
            return;
        }
        self.speeds_at = self.now;
        let mut known = Vec::new();
        for worker in self.workers.values_mut() {
            worker.factor.age(self.now);
            if worker.factor.known() {
                known.push((worker.factor.log(), worker.factor.var()));
            }
        }
        self.speeds.update(known, self.workers.len());
    }
}
