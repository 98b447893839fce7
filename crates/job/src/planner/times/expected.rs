//! Estimates of how long a job takes, and the objective that follows from them.

use std::time::Duration;

use crate::JobSpec;
use crate::planner::times::run_times::RunTimes;

/// Number of workers in the advice call for which the platform's definition of objectives allows
/// in each step.
const WORKERS_PER_CALL: u32 = 30;

/// Amounts of processor time are in thousandths of a core.
const MILLICORES_PER_CORE: u64 = 1000;

/// Estimates for a job.
#[derive(Debug)]
pub(crate) struct Expected {
    /// Run time of one task, by step.
    pub task_times: Vec<Duration>,
    /// Time from acceptance within which callers want the job completed.
    pub objective: Duration,
    /// Run time of the longest chain of dependent steps.
    pub critical_path: Duration,
    /// Run time of the longest chain from the start of each step to the end of the job, by step.
    pub tail_times: Vec<Duration>,
    /// Work of all tasks of one round, in milliseconds of one core.
    pub work: u64,
}

impl Expected {
    pub(crate) fn new(spec: &JobSpec, learnt: &RunTimes) -> Expected {
        let queue = &spec.queue;
        let steps = spec.steps.iter();
        let task_times: Vec<Duration> = steps
            .map(|step| learnt.predict(&queue.name, step.estimate))
            .collect();
        let call = queue.advice.as_ref();
        let call = call.map_or(Duration::ZERO, |advice| {
            advice.fixed + advice.each * WORKERS_PER_CALL
        });
        let with_call: Vec<Duration> = task_times.iter().map(|time| *time + call).collect();
        let critical_path = longest_path(spec, &with_call);
        Expected {
            objective: critical_path.mul_f64(queue.stretch.max(0.0)) + queue.slack,
            critical_path: longest_path(spec, &task_times),
            tail_times: tail_times(spec, &task_times),
            work: work(spec, &task_times),
            task_times,
        }
    }
}

/// Returns the length of the longest chain of dependent steps, with the run times `task_times`.
fn longest_path(spec: &JobSpec, task_times: &[Duration]) -> Duration {
    tail_times(spec, task_times)
        .into_iter()
        .max()
        .unwrap_or_default()
}

/// Returns, for each step, the run time of the longest chain from its start to the end of the job.
fn tail_times(spec: &JobSpec, task_times: &[Duration]) -> Vec<Duration> {
    let mut tail_times = task_times.to_vec();
    for (at, step) in spec.steps.iter().enumerate().rev() {
        let tail = tail_times[at];
        for &earlier in &step.after {
            let earlier = earlier as usize;
            let own = task_times.get(earlier).copied().unwrap_or_default();
            if let Some(current) = tail_times.get_mut(earlier) {
                *current = (own + tail).max(*current);
            }
        }
    }
    tail_times
}

/// Returns the work of all tasks of one round, in milliseconds of one core.
fn work(spec: &JobSpec, task_times: &[Duration]) -> u64 {
    let each = spec.steps.iter().zip(task_times).map(|(step, time)| {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let cores = u64::from(step.count).saturating_mul(step.need.cpu);
        cores.saturating_mul(millis) / MILLICORES_PER_CORE
    });
    each.fold(0, u64::saturating_add)
}
