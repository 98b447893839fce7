//! Limits how far workers are filled while their registrations cannot be read.
//!
//! A worker's capacity may shrink while it runs, and only its registration shows that. An owner
//! that cannot reach the store would fill workers by an outdated capacity, beyond the current one,
//! and tasks would run very slowly. So in a pool in which this owner or a former one has seen
//! capacities shrink, each worker is filled only up to a share of its largest capacity: the
//! smallest share that any worker of the pool has had. Other pools are not affected: an owner of a
//! pool in which no worker has ever shrunk relies on the last registrations that it could read.

use crate::Resources;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::roster::WorkerState;

/// Share of a worker's capacity, from 0 to 1.
pub(crate) type Share = f64;

/// Returns the smallest capacity of a worker as a share of its largest one, for processors or
/// memory, whichever share is smaller.
fn smallest_ratio(worker: &WorkerState) -> Share {
    let Resources { cpu, memory, .. } = worker.largest;
    let smallest = worker.smallest;
    #[allow(clippy::cast_precision_loss)]
    let ratio = |smallest: u64, most: u64| smallest as f64 / most.max(1) as f64;
    ratio(smallest.cpu, cpu).min(ratio(smallest.memory, memory))
}

/// Returns a share of each resource.
fn scaled(resources: &Resources, share: Share) -> Resources {
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let part = |whole: u64| (whole as f64 * share) as u64;
    Resources {
        cpu: part(resources.cpu),
        memory: part(resources.memory),
        gpu: part(resources.gpu),
    }
}

impl Planner {
    /// Sets whether the workers' registrations are too old to rely on the capacities in them;
    /// returns whether that has changed.
    pub fn set_registrations_stale(&mut self, stale: bool) -> bool {
        if stale == self.stale_registrations {
            return false;
        }
        self.stale_registrations = stale;
        for worker in self.workers.values_mut() {
            worker.fill_limit = fill_bound(worker, stale, self.smallest_share);
        }
        true
    }

    /// Returns the smallest share of its own largest capacity that any worker has had.
    #[must_use]
    pub fn smallest_share(&self) -> f64 {
        self.smallest_share
    }

    /// Takes over the smallest share that a former owner has seen.
    pub fn restore_share(&mut self, share: f64) {
        self.smallest_share = self.smallest_share.min(share);
    }

    /// Adds the state of a new worker, or of a new incarnation.
    pub(crate) fn insert_worker(&mut self, mut worker: WorkerState) -> WorkerKey {
        worker.fill_limit = fill_bound(&worker, self.stale_registrations, self.smallest_share);
        self.restore_speed(&mut worker);
        let id = worker.info.id.clone();
        let key = self.workers.insert(worker);
        self.by_id.insert(id, key);
        key
    }

    /// Updates the smallest share and the worker's fill limit after a new registration.
    pub(crate) fn update_fill_limit(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        self.smallest_share = self.smallest_share.min(smallest_ratio(worker));
        worker.fill_limit = fill_bound(worker, self.stale_registrations, self.smallest_share);
    }
}

/// Returns the maximum amount of resources to book on a worker.
fn fill_bound(worker: &WorkerState, stale: bool, lowest_share: Share) -> Resources {
    let current = worker.info.capacity;
    if stale {
        current.elementwise_min(&scaled(&worker.largest, lowest_share))
    } else {
        current
    }
}
