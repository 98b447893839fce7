//! State of a worker within the scheduling core.

use model::Resources;
use model::WorkerId;
use slotmap::new_key_type;

use crate::Health;

new_key_type! {
    /// Key of a worker within one scheduling core.
    pub struct WorkerKey;
    /// Key of a rack within one scheduling core.
    pub struct RackKey;
    /// Key of a team within one scheduling core.
    pub struct TeamKey;
}

/// Whether new tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts new tasks.
    Ready,
    /// Out of this shard's reach: it does not answer, refuses this shard's
    /// polls, was claimed by another shard, or was removed while it had tasks.
    /// It gets no new tasks, and its tasks stay booked.
    Lost,
    /// Has refused a start; gets no new tasks until the shard sets another state.
    Paused,
    /// Being removed: running tasks may finish, no new ones start.
    Leaving,
}

/// State of a worker within the scheduling core.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Id of the worker in the host list.
    pub id: WorkerId,
    /// Number of workers in the core when this one was added, by which
    /// [`FirstFit`](crate::FirstFit) ranks it.
    pub index: u32,
    /// Rack in which the worker is mounted.
    pub rack: RackKey,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that are not booked by a task.
    pub free: Resources,
    /// Number of tasks placed on the worker.
    pub tasks: u32,
    /// Sequence number of the newest placement on the worker, over all workers
    /// of the core. Among workers to which the policy gives the same rank, the
    /// least recently used one is chosen.
    pub last_placement: u64,
    /// Whether new tasks may be placed on the worker.
    pub state: WorkerState,
    /// Health, judged by the results of its recent tasks.
    pub health: Health,
}

impl WorkerEntry {
    /// Whether a task with these `needs` may be placed on the worker now. A
    /// quarantined worker takes a probe task only while it has no other task.
    #[must_use]
    pub fn accepts(&self, needs: &Resources) -> bool {
        self.state == WorkerState::Ready && needs.fits(&self.free) && self.health.admits(self.tasks)
    }

    /// Highest booked share among the worker's processor, memory, slots and
    /// accelerators, in thousandths.
    #[must_use]
    pub fn load(&self) -> u32 {
        let share = |free: u32, total: u32| match total {
            0 => 0,
            _ => (total - free.min(total)).saturating_mul(1000) / total,
        };
        let (free, total) = (&self.free, &self.capacity);
        share(free.cpu_milli, total.cpu_milli)
            .max(share(free.memory_mib, total.memory_mib))
            .max(share(free.slots, total.slots))
            .max(share(free.accelerators, total.accelerators))
    }
}
