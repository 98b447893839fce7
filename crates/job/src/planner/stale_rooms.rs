//! How far workers are filled whose registrations cannot be read.
//!
//! A worker's room may shrink while it runs, and only its registration tells. An owner
//! that goes on without the store would fill workers by what they had before, beyond
//! what they have; it shows as tasks that run slower than ever in an outage. In a pool
//! whose workers were seen to shrink it fills them no further than the smallest share
//! that one of them had; in others nothing changes.

use super::Planner;
use super::WorkerKey;
use super::roster::WorkerState;
use crate::Resources;

/// A share of a room; 1 for all of it.
pub(super) type Share = f64;

/// The least that a worker has had against the most, of what it had least of.
fn share(worker: &WorkerState) -> Share {
    let Resources { cpu, memory, .. } = worker.largest;
    let least = worker.least;
    #[allow(clippy::cast_precision_loss)]
    let of = |least: u64, most: u64| least as f64 / most.max(1) as f64;
    of(least.cpu, cpu).min(of(least.memory, memory))
}

fn scaled(room: &Resources, share: Share) -> Resources {
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let part = |whole: u64| (whole as f64 * share) as u64;
    Resources {
        cpu: part(room.cpu),
        memory: part(room.memory),
        gpu: part(room.gpu),
    }
}

impl Planner {
    /// The registrations of workers are too old to rely on their rooms, or are not any
    /// more; gives whether that is news.
    pub fn set_stale(&mut self, stale: bool) -> bool {
        if stale == self.stale {
            return false;
        }
        self.stale = stale;
        for worker in self.workers.values_mut() {
            worker.room = fillable(worker, stale, self.smallest);
        }
        true
    }

    /// Smallest share of its room that a worker was seen to have.
    #[must_use]
    pub fn smallest_share(&self) -> f64 {
        self.smallest
    }

    /// A worker's registration was taken.
    pub(super) fn measure(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        self.smallest = self.smallest.min(share(worker));
        worker.room = fillable(worker, self.stale, self.smallest);
    }
}

/// How far a worker may be filled.
fn fillable(worker: &WorkerState, stale: bool, smallest: Share) -> Resources {
    let now = worker.info.capacity;
    if stale {
        now.elementwise_min(&scaled(&worker.largest, smallest))
    } else {
        now
    }
}
