//! Seats that are kept free of less urgent work, until a gang has enough of them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::rank::Rank;
use crate::Mechanism;
use crate::Resources;
use crate::StepKey;
use crate::StepSpec;

/// Share of the pool's processors that may be kept for gangs at the same time; the
/// first gang gets what it needs.
const MOST_KEPT: f64 = 0.15;

/// Room on a worker that is kept for a gang.
#[derive(Clone, Copy, Debug)]
struct Seats {
    rank: Rank,
    gang: StepKey,
    room: Resources,
}

/// Room that is kept for gangs, by worker.
#[derive(Debug, Default)]
pub(super) struct Kept {
    workers: HashMap<WorkerKey, Vec<Seats>>,
    /// Processors of all that is kept, in thousandths of a core.
    cpu: u64,
}

impl Kept {
    /// Keeps room of a worker for a gang.
    pub(super) fn keep(&mut self, worker: WorkerKey, rank: Rank, gang: StepKey, room: Resources) {
        let seats = Seats { rank, gang, room };
        self.workers.entry(worker).or_default().push(seats);
        self.cpu += room.cpu;
    }

    /// Whether room of a worker is kept for another gang.
    pub(super) fn holds(&self, worker: WorkerKey, key: StepKey) -> bool {
        let kept = self.workers.get(&worker);
        kept.is_some_and(|kept| kept.iter().any(|seats| seats.gang != key))
    }

    /// What is left of a worker's room beside all that is kept.
    pub(super) fn rest(&self, worker: WorkerKey, room: Resources) -> Resources {
        let kept = self.workers.get(&worker).into_iter().flatten();
        kept.fold(room, |room, seats| room.minus(&seats.room))
    }

    /// The same for a step of this rank: what is kept for others before it is not
    /// to be had.
    pub(super) fn rest_for(
        &self,
        worker: WorkerKey,
        room: Resources,
        rank: Rank,
        key: StepKey,
    ) -> Resources {
        let kept = self.workers.get(&worker).into_iter().flatten();
        let before = kept.filter(|seats| seats.gang != key && seats.rank < rank);
        before.fold(room, |room, seats| room.minus(&seats.room))
    }

    /// Workers on which room is kept.
    pub(super) fn workers(&self) -> usize {
        self.workers.len()
    }

    /// Processors that are kept, in thousandths of a core.
    pub(super) fn cpu(&self) -> u64 {
        self.cpu
    }
}

impl Planner {
    /// Keeps free room for a gang that does not fit: small tasks would otherwise
    /// fill each hole as it opens, and a large gang would never start.
    ///
    /// Only as much as its members take, on all workers that may run it. With whole
    /// workers kept, as few as could hold the gang when empty, these had to become
    /// empty first: under a backlog 200 of 508 workers were kept, and a fifth of all
    /// processors stood idle on them.
    ///
    /// More urgent tasks come first in each pass, and take such room last: on a quiet
    /// day, a gang that needed a quarter of the pool waited 27 s while counter checks
    /// refilled it.
    pub(super) fn keep_room(&self, rank: Rank, key: StepKey, spec: &StepSpec, kept: &mut Kept) {
        if !self.policy.switches.has(Mechanism::KeptRoom) {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let full = kept.cpu as f64 >= self.pool_cpu as f64 * MOST_KEPT;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some((_, step)) = job.step(key) else {
            return;
        };
        if full {
            return;
        }
        let need = spec.booked();
        // A ticket that is over is renewed once there is room.
        let able = self.permitted(job, step, Duration::ZERO);
        let able = able.into_iter().filter(|(_, state)| self.usable(state));
        let mut able: Vec<(WorkerKey, Resources, u64)> = able
            .map(|(worker, state)| {
                let all = state.info.capacity.fits(&need);
                (worker, kept.rest(worker, state.free()), all)
            })
            .collect();
        let most: u64 = able.iter().map(|(.., all)| all).sum();
        if most < u64::from(spec.count) {
            // Too few workers in all: keeping them would not help.
            return;
        }
        able.sort_by_key(|(_, free, _)| Reverse(free.cpu));
        let mut missing = u64::from(spec.count);
        for (worker, free, _) in able {
            if missing == 0 {
                break;
            }
            // Room for part of a member is kept, too: it becomes a seat when more
            // is free.
            let seats = free.fits(&need).clamp(1, missing);
            missing -= seats;
            kept.keep(worker, rank, key, need.times(seats).elementwise_min(&free));
        }
    }
}
