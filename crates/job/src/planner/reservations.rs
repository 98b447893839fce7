//! Resources reserved for a gang against less urgent work until the gang has enough of
//! them.

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

/// Share of the pool's processors at which no further gang gets a reservation; the first
/// gang gets all that it needs.
const MAX_RESERVED_SHARE: f64 = 0.15;

/// Resources reserved for a gang on one worker.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    rank: Rank,
    gang: StepKey,
    resources: Resources,
}

/// Resources reserved for gangs, and for trials of suspected tasks, by worker.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    workers: HashMap<WorkerKey, Vec<Reservation>>,
    /// Processors of all reservations, in thousandths of a core.
    cpu: u64,
}

impl Reservations {
    /// Reserves resources of a worker for a gang.
    pub(super) fn reserve(
        &mut self,
        worker: WorkerKey,
        rank: Rank,
        gang: StepKey,
        resources: Resources,
    ) {
        let reservation = Reservation {
            rank,
            gang,
            resources,
        };
        self.workers.entry(worker).or_default().push(reservation);
        self.cpu += resources.cpu;
    }

    /// Whether a worker has a reservation for another gang.
    pub(super) fn reserved_for_other(&self, worker: WorkerKey, key: StepKey) -> bool {
        let reserved = self.workers.get(&worker);
        reserved.is_some_and(|reserved| reserved.iter().any(|reservation| reservation.gang != key))
    }

    /// Returns what all reservations leave of a worker's free resources.
    pub(super) fn remaining(&self, worker: WorkerKey, resources: Resources) -> Resources {
        let reserved = self.workers.get(&worker).into_iter().flatten();
        reserved.fold(resources, |resources, reservation| {
            resources.minus(&reservation.resources)
        })
    }

    /// Returns what a step of this rank may use of a worker's free resources: only
    /// reservations for other gangs of higher rank are subtracted.
    pub(super) fn remaining_for(
        &self,
        worker: WorkerKey,
        resources: Resources,
        rank: Rank,
        key: StepKey,
    ) -> Resources {
        let reserved = self.workers.get(&worker).into_iter().flatten();
        let before =
            reserved.filter(|reservation| reservation.gang != key && reservation.rank < rank);
        before.fold(resources, |resources, reservation| {
            resources.minus(&reservation.resources)
        })
    }

    /// Number of workers with reservations.
    pub(super) fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Processors of all reservations, in thousandths of a core.
    pub(super) fn cpu(&self) -> u64 {
        self.cpu
    }
}

impl Planner {
    /// Reserves free resources for a gang that does not fit. Otherwise small tasks would
    /// use each gap as it opens, and a large gang would never start.
    ///
    /// Only what the members need is reserved, on any worker that may run the gang. When as
    /// few whole workers as could hold the gang were reserved, these had to become empty
    /// first: under a backlog 200 of 508 workers were reserved, and a fifth of all
    /// processors were idle there.
    ///
    /// More urgent tasks still come first in each pass, and use reserved resources last. On
    /// a quiet day, a gang that needed a quarter of the pool waited 27 s while counter
    /// checks used up what became free.
    pub(super) fn reserve_resources(
        &self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) {
        if !self.policy.switches.enabled(Mechanism::KeptRoom) {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let full = reservations.cpu as f64 >= self.pool_cpu as f64 * MAX_RESERVED_SHARE;
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
        // Expired tickets count, too: they are renewed once there are enough resources.
        let allowed = self.allowed_workers(job, step, Duration::ZERO);
        let allowed = allowed.into_iter().filter(|(_, state)| self.usable(state));
        let mut allowed: Vec<(WorkerKey, Resources, u64)> = allowed
            .map(|(worker, state)| {
                let all = state.info.capacity.fit_count(&need);
                (worker, reservations.remaining(worker, state.free()), all)
            })
            .collect();
        let total: u64 = allowed.iter().map(|(.., all)| all).sum();
        if total < u64::from(spec.count) {
            // Even empty, the allowed workers could not hold the gang: a reservation would
            // not help.
            return;
        }
        allowed.sort_by_key(|(_, free, _)| Reverse(free.cpu));
        let mut missing = u64::from(spec.count);
        for (worker, free, _) in allowed {
            if missing == 0 {
                break;
            }
            // Resources for part of a member are reserved, too: they become a slot when
            // more is free.
            let slots = free.fit_count(&need).clamp(1, missing);
            missing -= slots;
            reservations.reserve(worker, rank, key, need.times(slots).elementwise_min(&free));
        }
    }
}
