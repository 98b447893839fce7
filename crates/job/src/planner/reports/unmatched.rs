//! Reported ends of runs whose jobs were not read yet.
//!
//! Worker reports may arrive before the rows of their jobs. Such an end is kept until its job is
//! added, or until all jobs that had been accepted when it was reported were read: then its job has
//! been removed. Until that is known, the worker must go on listing the end, since a successor would
//! otherwise start the task again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::EndedRun;
use crate::JobId;
use crate::planner::Planner;
use crate::planner::WorkerKey;

/// An end that names no task of a known job.
#[derive(Clone, Debug)]
pub struct UnmatchedEnd {
    /// Worker that reported it.
    pub worker: WorkerKey,
    /// The end as it was reported.
    pub end: EndedRun,
    /// When the report arrived.
    reported: Duration,
}

/// Ends that are kept until their jobs are added.
#[derive(Debug, Default)]
pub(crate) struct UnmatchedEnds {
    by_job: HashMap<JobId, Vec<UnmatchedEnd>>,
    /// Jobs with rows that this owner cannot decode. Their ends are kept.
    unreadable: HashSet<JobId>,
}

impl UnmatchedEnds {
    fn add(&mut self, unmatched: UnmatchedEnd) {
        let job = unmatched.end.task.step.job;
        self.by_job.entry(job).or_default().push(unmatched);
    }

    /// Removes and returns the ends of a job that is being added.
    pub(crate) fn take(&mut self, job: JobId) -> Vec<UnmatchedEnd> {
        self.unreadable.remove(&job);
        self.by_job.remove(&job).unwrap_or_default()
    }

    /// Removes and returns the ends of readable jobs that were reported before `time`.
    fn take_before(&mut self, time: Duration) -> Vec<UnmatchedEnd> {
        let unreadable = &self.unreadable;
        let jobs = self.by_job.iter_mut();
        let mut taken = Vec::new();
        for (_, ends) in jobs.filter(|(job, _)| !unreadable.contains(job)) {
            taken.extend(ends.extract_if(.., |unmatched| unmatched.reported < time));
        }
        self.by_job.retain(|_, ends| !ends.is_empty());
        taken
    }

    /// Returns the lowest number of an end of each worker that has any.
    fn first_numbers(&self) -> HashMap<WorkerKey, u64> {
        let mut first = HashMap::new();
        for UnmatchedEnd { worker, end, .. } in self.by_job.values().flatten() {
            let number = first.entry(*worker).or_insert(end.number);
            *number = end.number.min(*number);
        }
        first
    }
}

impl Planner {
    /// Keeps an end whose job was not read yet.
    pub(crate) fn keep_unmatched(&mut self, worker: WorkerKey, end: &EndedRun) {
        self.unmatched_ends.add(UnmatchedEnd {
            worker,
            end: end.clone(),
            reported: self.now,
        });
    }

    /// Drops an end that names no task of its job: there is nothing to be stored of it.
    pub(crate) fn drop_end(&mut self, worker: WorkerKey, end: &EndedRun) {
        self.unknown_ends.push(UnmatchedEnd {
            worker,
            end: end.clone(),
            reported: self.now,
        });
    }

    /// Records that all jobs accepted before `started` have been added, unless they were removed
    /// since. Kept ends that were reported before that are of removed jobs, and are dropped.
    pub fn record_jobs_read(&mut self, started: Duration) {
        self.jobs_read = self.jobs_read.max(started);
        let removed = self.unmatched_ends.take_before(started);
        self.unknown_ends.extend(removed);
    }

    /// Records that a row of a job was read that cannot be decoded, or that its progress cannot.
    /// Ends of the job are kept, and their workers get no acknowledgement of them, until the job is
    /// added.
    pub fn add_unreadable_job(&mut self, id: JobId) {
        if !self.jobs.contains_key(&id) {
            self.unmatched_ends.unreadable.insert(id);
        }
    }

    /// Returns whether the job's row exists and cannot be decoded.
    #[must_use]
    pub fn is_unreadable(&self, id: JobId) -> bool {
        self.unmatched_ends.unreadable.contains(&id)
    }

    /// Takes the ends that were dropped since the last call, since they name no job or no task.
    pub fn take_unknown_ends(&mut self) -> Vec<UnmatchedEnd> {
        std::mem::take(&mut self.unknown_ends)
    }

    /// Returns the number of ends that are kept until their jobs are read.
    #[must_use]
    pub fn unmatched_ends(&self) -> usize {
        self.unmatched_ends.by_job.values().map(Vec::len).sum()
    }

    /// Returns for each worker the number of the newest end up to which all ends were processed.
    pub(crate) fn processed_ends(&self) -> Vec<(WorkerKey, u64)> {
        let first_kept = self.unmatched_ends.first_numbers();
        let workers = self.workers.iter();
        let processed = workers.map(|(key, worker)| {
            let kept = first_kept.get(&key);
            (key, kept.map_or(worker.last_end, |first| first - 1))
        });
        processed.collect()
    }
}
