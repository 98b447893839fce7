//! What has to be saved before it may be shown or forgotten.

use super::Planner;
use super::WorkerKey;
use crate::JobId;
use crate::Progress;

/// Progress to be saved in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress by job.
    pub jobs: Vec<(JobId, Progress)>,
    /// Ends that are recorded once the batch was saved: newest number by worker.
    pub ends: Vec<(WorkerKey, u64)>,
    /// Nothing was left for another batch.
    pub ends_complete: bool,
}

impl Planner {
    /// Whether anything waits to be saved.
    #[must_use]
    pub fn unsaved(&self) -> bool {
        !self.dirty.is_empty() || !self.begins.is_empty()
    }

    /// Takes up to `most` jobs whose progress has to be saved. Ends are
    /// included only when none of them is left out: an end may not count as
    /// recorded before the progress that holds it. That a job has begun takes
    /// the room that is left: in one order with the ends, an end waited for 17
    /// transactions when a thousand jobs began at once.
    pub fn take_batch(&mut self, most: usize) -> Batch {
        let ids = self.dirty.iter().chain(self.begins.difference(&self.dirty));
        let ids: Vec<JobId> = ids.take(most).copied().collect();
        let mut batch = Batch::default();
        for id in ids {
            self.dirty.remove(&id);
            self.begins.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                batch.jobs.push((id, job.progress()));
            }
        }
        if self.dirty.is_empty() {
            batch.ends_complete = true;
            let taken = self.workers.iter();
            batch.ends = taken.map(|(key, worker)| (key, worker.last_end)).collect();
        }
        batch
    }

    /// The batch was saved: its outcomes may be shown.
    pub fn batch_saved(&mut self, batch: &Batch) {
        for (id, progress) in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.saved_outcome = progress.outcome;
            }
            self.mark_intents_saved(*id, progress);
        }
    }

    /// The batch was not saved: its jobs have to be saved again.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.dirty.extend(batch.jobs.iter().map(|(id, _)| *id));
    }
}
