//! Load of the pool and lengths of its queues.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::JobId;
use crate::OrganisationName;
use crate::Resources;
use crate::planner::Planner;
use crate::planner::state::roster::RunPhase;

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of workers that may get new tasks.
    pub usable: usize,
    /// Total capacity of these workers.
    pub capacity: Resources,
    /// Resources booked by runs, on all workers.
    pub booked: Resources,
    /// Number of workers with resources reserved for gangs.
    pub reserved_workers: usize,
    /// Processors reserved for gangs, in thousandths of a core.
    pub reserved_cpu: u64,
    /// Number of booked runs: starting, running, without a reply to their start, or being stopped.
    pub placed: usize,
    /// Number of runs that their workers have confirmed and that are not being stopped.
    pub running: usize,
    /// Number of tasks that wait to be started.
    pub waiting: usize,
    /// Number of steps with waiting tasks.
    pub pending_steps: usize,
    /// Number of jobs that have not ended.
    pub unfinished: usize,
}

/// Numbers of jobs of a queue that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCount {
    /// Jobs that have not started: no worker has confirmed a run of them.
    pub waiting: usize,
    /// Jobs with active runs, of which no worker has confirmed any. Jobs among them that have not
    /// started count as waiting, too.
    pub unconfirmed: usize,
    /// All jobs that have not ended.
    pub unfinished: usize,
}

/// Age, objective and estimates of a job.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Name of the job's queue.
    pub queue: String,
    /// Organisation that the job belongs to.
    pub organisation: Option<OrganisationName>,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Time since the job was accepted; limited for a job of a former owner.
    pub age: Duration,
    /// Time from acceptance within which callers want the job completed.
    pub objective: Duration,
    /// Expected run time of the longest chain of dependent steps.
    pub critical_path: Duration,
    /// Expected work of all tasks of one round, in milliseconds of one core.
    pub work: u64,
}

impl Planner {
    /// Returns age, objective and estimates of a job.
    #[must_use]
    pub fn timing(&self, id: JobId) -> Option<Timing> {
        let job = self.jobs.get(&id)?;
        Some(Timing {
            queue: job.spec.queue.name.clone(),
            organisation: job.spec.organisation_name().cloned(),
            priority: job.spec.queue.priority,
            age: self.now.saturating_sub(job.accepted_at),
            objective: job.expected.objective,
            critical_path: job.expected.critical_path,
            work: job.expected.work,
        })
    }

    /// Counts the jobs of a queue.
    #[must_use]
    pub fn count_queue(&self, queue: &str) -> QueueCount {
        let mut counts = self.count_queues();
        counts.remove(queue).unwrap_or_default()
    }

    /// Counts the jobs of all queues that have any.
    #[must_use]
    pub fn count_queues(&self) -> HashMap<String, QueueCount> {
        let confirmed = self.confirmed_jobs();
        let mut counts: HashMap<String, QueueCount> = HashMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.in_progress()) {
            let queue = &job.spec.queue.name;
            if !counts.contains_key(queue) {
                counts.insert(queue.clone(), QueueCount::default());
            }
            let Some(count) = counts.get_mut(queue) else {
                continue;
            };
            count.unfinished += 1;
            count.waiting += usize::from(!job.started);
            let unconfirmed = !confirmed.contains(id) && !job.active_runs(*id).is_empty();
            count.unconfirmed += usize::from(unconfirmed);
        }
        counts
    }

    /// Returns the jobs with a booked run that a worker has confirmed.
    fn confirmed_jobs(&self) -> HashSet<JobId> {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|(_, placed)| !matches!(placed.phase, RunPhase::Sent | RunPhase::Unanswered))
            .map(|(task, _)| task.step.job)
            .collect()
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let open_jobs = self.jobs.values().filter(|job| job.outcome.is_none());
        open_jobs.count()
    }

    /// Returns the load of the pool, for logs and metrics.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load {
            unfinished: self.unfinished(),
            pending_steps: self.pending_steps.len(),
            ..Load::default()
        };
        for worker in self.workers.values() {
            if self.usable(worker) {
                load.usable += 1;
                load.capacity = load.capacity.plus(&worker.info.capacity);
            }
            load.booked = load.booked.plus(&worker.total_booked);
            load.placed += worker.runs.len();
            let phases = worker.runs.values().map(|placed| placed.phase);
            load.running += phases.filter(|phase| *phase == RunPhase::Running).count();
        }
        load.reserved_workers = self.reservations.worker_count();
        load.reserved_cpu = self.reservations.cpu();
        let steps = self.pending_steps.iter().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            Some(job.step(*key)?.1.waiting())
        });
        load.waiting = steps.sum();
        load
    }
}
