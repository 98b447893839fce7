//! Offloading: a job whose own shard has no free capacity runs on the workers
//! of another shard.
//!
//! The team's quota is charged in the shard where the job was submitted,
//! workers and power in the shard where it runs. So no limit is exceeded, and
//! neither shard needs the state of the other.

use crate::Core;
use crate::JobKey;
use crate::JobSpec;
use crate::Limit;
use crate::Policy;
use crate::Timestamp;
use crate::WorkerKey;

impl<P: Policy> Core<P> {
    /// Removes a waiting job from the queue so that another shard can run it,
    /// and charges its team's quota. Returns false, and changes nothing, if the
    /// job is not waiting for workers of this shard.
    pub fn offload(&mut self, job: JobKey) -> bool {
        if self.blocking_limit(job) != Some(Limit::Workers) {
            return false;
        }
        let Some(spec) = self.job(job).map(|state| state.spec.clone()) else {
            return false;
        };
        if !self.withdraw(job) {
            return false;
        }
        let team = self.budgets.team(&spec.team);
        self.budgets.book_quota(team, &spec.needs);
        true
    }

    /// Releases the quota of an offloaded job that has ended, or that no other
    /// shard could run.
    pub fn release_offloaded(&mut self, spec: &JobSpec) {
        let team = self.budgets.team(&spec.team);
        self.budgets.unbook_quota(team, &spec.needs);
        self.queues.unblock();
    }

    /// Places a job of another shard at once, or not at all, since this shard's
    /// own waiting jobs go first. The quota is charged in the other shard.
    pub fn place_offloaded(
        &mut self,
        now: Timestamp,
        spec: JobSpec,
    ) -> Option<(JobKey, WorkerKey)> {
        if !self.queues.is_empty() || !self.budgets.site_admits(&spec.needs) {
            return None;
        }
        let worker = self.best_worker(&spec)?;
        let team = self.budgets.team(&spec.team);
        let needs = spec.needs;
        let job = self.adopt(now, spec, worker);
        self.budgets.unbook_quota(team, &needs);
        self.quota_exempt.insert(job);
        Some((job, worker))
    }
}
