//! Batches of progress to save. Callers may see an outcome, and workers may drop a reported end,
//! only after it is saved.

use super::Planner;
use super::WorkerKey;
use crate::JobId;
use crate::Progress;

/// Progress to be saved in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress of each job.
    pub jobs: Vec<(JobId, Progress)>,
    /// Per worker, the number of the newest end that counts as recorded once the batch is saved.
    /// Empty if a job with an unsaved end is left out.
    pub ends: Vec<(WorkerKey, u64)>,
    /// No job with an unsaved end is left out.
    pub ends_complete: bool,
}

impl Planner {
    /// Returns whether any progress is not saved yet.
    #[must_use]
    pub fn has_unsaved(&self) -> bool {
        !self.dirty_jobs.is_empty() || !self.started_jobs.is_empty()
    }

    /// Takes up to `limit` jobs whose progress must be saved. Numbers of ends are included
    /// only when no job with an end is left out, because an end may not count as recorded
    /// before the progress that contains it. Jobs of which only the start is unsaved
    /// fill the rest of the batch: when they were taken in order of id together with the ends,
    /// an end waited for 17 transactions after a thousand jobs had started at the same time.
    pub fn take_batch(&mut self, limit: usize) -> Batch {
        let ids = self
            .dirty_jobs
            .iter()
            .chain(self.started_jobs.difference(&self.dirty_jobs));
        let ids: Vec<JobId> = ids.take(limit).copied().collect();
        let mut batch = Batch::default();
        for id in ids {
            self.dirty_jobs.remove(&id);
            self.started_jobs.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                batch.jobs.push((id, job.progress()));
            }
        }
        if self.dirty_jobs.is_empty() {
            batch.ends_complete = true;
            let taken = self.workers.iter();
            batch.ends = taken.map(|(key, worker)| (key, worker.last_end)).collect();
        }
        batch
    }

    /// Marks a batch as saved; its outcomes may be shown to callers.
    pub fn batch_saved(&mut self, batch: &Batch) {
        for (id, progress) in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.saved_outcome = progress.outcome;
            }
            self.mark_intents_saved(*id, progress);
        }
    }

    /// Marks the jobs of a failed batch as unsaved again.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.dirty_jobs.extend(batch.jobs.iter().map(|(id, _)| *id));
    }
}
