//! Load of the pool and length of its queues.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Planner;
use super::roster::RunPhase;
use crate::JobId;
use crate::Resources;

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Workers that take tasks.
    pub usable: usize,
    /// What they have in all.
    pub capacity: Resources,
    /// What is booked, on all workers.
    pub used: Resources,
    /// Workers on which room is kept free for gangs.
    pub kept: usize,
    /// Processors that are kept so, in thousandths of a core.
    pub kept_idle: u64,
    /// Runs that hold room, whether they are at work or only ordered, or may
    /// be there, or are being stopped.
    pub placed: usize,
    /// Runs that their workers have confirmed and that are not being stopped.
    pub running: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Steps with tasks that wait.
    pub open: usize,
    /// Jobs that have not ended.
    pub unfinished: usize,
}

/// Jobs of a queue that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCount {
    /// Those of which no worker has said that it runs a task.
    pub waiting: usize,
    /// Those with starts that no worker has confirmed, and no others; of these,
    /// all that have not begun wait.
    pub ordered: usize,
    /// All of them.
    pub unfinished: usize,
}

/// What a job asked for, and how long it has been known.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Its queue.
    pub queue: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Time since it was accepted, as far as known.
    pub age: Duration,
    /// Time from acceptance within which callers want it completed.
    pub objective: Duration,
    /// Longest chain of work, as it is expected.
    pub chain: Duration,
    /// Expected work of all its tasks, in milliseconds of one core.
    pub work: u64,
}

impl Planner {
    /// What a job asked for, and how long it has been known.
    #[must_use]
    pub fn timing(&self, id: JobId) -> Option<Timing> {
        let job = self.jobs.get(&id)?;
        Some(Timing {
            queue: job.spec.queue.name.clone(),
            priority: job.spec.queue.priority,
            age: self.now.saturating_sub(job.born),
            objective: job.expected.objective,
            chain: job.expected.chain,
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
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.open()) {
            let queue = &job.spec.queue.name;
            if !counts.contains_key(queue) {
                counts.insert(queue.clone(), QueueCount::default());
            }
            let Some(count) = counts.get_mut(queue) else {
                continue;
            };
            count.unfinished += 1;
            count.waiting += usize::from(!job.begun);
            let ordered = !confirmed.contains(id) && !job.alive(*id).is_empty();
            count.ordered += usize::from(ordered);
        }
        counts
    }

    /// Jobs of which a worker has said that it runs a task.
    fn confirmed_jobs(&self) -> HashSet<JobId> {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.filter(|(_, placed)| !matches!(placed.phase, RunPhase::Sent | RunPhase::Unknown))
            .map(|(task, _)| task.step.job)
            .collect()
    }

    /// Jobs that have not ended.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let live = self.jobs.values().filter(|job| job.outcome.is_none());
        live.count()
    }

    /// Load of the pool, for logs and metrics.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load {
            unfinished: self.unfinished(),
            open: self.open.len(),
            ..Load::default()
        };
        for worker in self.workers.values() {
            if self.usable(worker) {
                load.usable += 1;
                load.capacity = load.capacity.plus(&worker.info.capacity);
            }
            load.used = load.used.plus(&worker.used);
            load.placed += worker.runs.len();
            let phases = worker.runs.values().map(|placed| placed.phase);
            load.running += phases.filter(|phase| *phase == RunPhase::Running).count();
        }
        load.kept = self.kept.workers();
        load.kept_idle = self.kept.cpu();
        let steps = self.open.iter().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            Some(job.step(*key)?.1.waiting())
        });
        load.waiting = steps.sum();
        load
    }
}
