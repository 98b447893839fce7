//! Policies that choose among the workers on which a task fits.

use crate::WorkerEntry;

/// Ranks workers for a task. The worker with the highest rank is chosen, and
/// among equal ranks the least recently used one.
pub trait Policy {
    /// Rank of `worker`. It must depend on nothing else, so that the workers
    /// can be kept sorted.
    fn rank(&self, worker: &WorkerEntry) -> i64;
}

/// Ranks by load, with a configurable choice between spreading and packing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighted {
    /// 0 prefers the least loaded worker, 100 the most loaded one on which the
    /// task fits.
    pub pack_percent: u32,
}

impl Policy for Weighted {
    fn rank(&self, worker: &WorkerEntry) -> i64 {
        let load = i64::from(worker.load());
        let pack = i64::from(self.pack_percent);
        load * (2 * pack - 100)
    }
}

/// Baseline: the first worker on which the task fits, in the order in which
/// workers were added.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl Policy for FirstFit {
    fn rank(&self, worker: &WorkerEntry) -> i64 {
        -i64::from(worker.index)
    }
}

/// Baseline: the worker with the fewest tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn rank(&self, worker: &WorkerEntry) -> i64 {
        -i64::from(worker.tasks)
    }
}
