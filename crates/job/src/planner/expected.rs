//! How long a job is expected to take, and within which time it is wanted.

use std::time::Duration;

use super::Planner;
use super::roster::PlacedRun;
use super::roster::RunPhase;
use super::run_times::RunTimes;
use crate::JobSpec;
use crate::Mechanism;
use crate::TaskKey;

/// Workers of the one call for advice that an objective allows each step for, as
/// the platform defines it.
const ADVISED_WORKERS: u32 = 30;

/// Time between two looks at what jobs are expected to take. What is learnt in it
/// is a few per cent of what a queue's figures rest on.
const REFRESH_EVERY: Duration = Duration::from_secs(1);

/// Processors are counted in thousandths of a core.
const MILLIS_OF_A_CORE: u64 = 1000;

/// What a job is expected to take.
#[derive(Debug)]
pub(super) struct Expected {
    /// Time of a task of each step.
    pub times: Vec<Duration>,
    /// Time from acceptance within which callers want the job completed.
    pub objective: Duration,
    /// Longest chain of work.
    pub chain: Duration,
    /// For each step, the longest chain of work from its start to the job's end.
    pub tails: Vec<Duration>,
    /// Work of all tasks of one round, in milliseconds of one core.
    pub work: u64,
}

impl Expected {
    pub(super) fn new(spec: &JobSpec, learnt: &RunTimes) -> Expected {
        let queue = &spec.queue;
        let steps = spec.steps.iter();
        let times: Vec<Duration> = steps
            .map(|step| learnt.expect(&queue.name, step.estimate))
            .collect();
        let call = queue.advice.as_ref();
        let call = call.map_or(Duration::ZERO, |advice| {
            advice.fixed + advice.each * ADVISED_WORKERS
        });
        let asked: Vec<Duration> = times.iter().map(|time| *time + call).collect();
        let chain = longest(spec, &asked);
        Expected {
            objective: chain.mul_f64(queue.stretch.max(0.0)) + queue.slack,
            chain: longest(spec, &times),
            tails: tails(spec, &times),
            work: work(spec, &times),
            times,
        }
    }
}

/// Longest chain of steps, if each takes its time of `times`.
fn longest(spec: &JobSpec, times: &[Duration]) -> Duration {
    tails(spec, times).into_iter().max().unwrap_or_default()
}

/// For each step, the longest chain from its start to the job's end.
fn tails(spec: &JobSpec, times: &[Duration]) -> Vec<Duration> {
    let mut tails = times.to_vec();
    for (at, step) in spec.steps.iter().enumerate().rev() {
        let tail = tails[at];
        for &earlier in &step.after {
            let earlier = earlier as usize;
            let own = times.get(earlier).copied().unwrap_or_default();
            if let Some(known) = tails.get_mut(earlier) {
                *known = (own + tail).max(*known);
            }
        }
    }
    tails
}

fn work(spec: &JobSpec, times: &[Duration]) -> u64 {
    let each = spec.steps.iter().zip(times).map(|(step, time)| {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let cores = u64::from(step.count).saturating_mul(step.need.cpu);
        cores.saturating_mul(millis) / MILLIS_OF_A_CORE
    });
    each.fold(0, u64::saturating_add)
}

impl Planner {
    /// Looks anew, now and then, at what open jobs are expected to take.
    pub(super) fn refresh_expected(&mut self) {
        if self.now < self.refreshed + REFRESH_EVERY {
            return;
        }
        self.refreshed = self.now;
        let open = self.jobs.values_mut().filter(|job| job.outcome.is_none());
        for job in open {
            job.expected = Expected::new(&job.spec, &self.run_times);
        }
    }

    /// A run was done: its queue's run times are learnt from it. Of a gang, whose
    /// members end together, the first end that is listed counts.
    pub(super) fn learn_from(&mut self, task: TaskKey, run: &PlacedRun) {
        let on = self.policy.switches.has(Mechanism::LearntTimes);
        if !on || !run.from_start || run.phase != RunPhase::Running {
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
        let queue = &job.spec.queue.name;
        self.run_times.observe(queue, spec.estimate, took, weight);
    }
}
