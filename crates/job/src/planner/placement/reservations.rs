//! Resources reserved for a gang, which less urgent tasks may not use until the gang has enough
//! resources to start.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::Mechanism;
use crate::Resources;
use crate::StepKey;
use crate::StepSpec;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::order::rank::Rank;
use crate::planner::placement::place::may_run;

/// Share of the pool's processors. Once at least this much is reserved, no further gang gets a
/// reservation; the first gang may reserve more.
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
pub(crate) struct Reservations {
    workers: HashMap<WorkerKey, Vec<Reservation>>,
    /// Processors of all reservations, in thousandths of a core.
    cpu: u64,
    /// Processors of the reservations for gangs, in thousandths of a core.
    gang_cpu: u64,
    /// Number of workers that may still run a trial or be reserved for one, in this pass.
    pub(crate) remaining_trials: usize,
}

impl Reservations {
    /// Reserves resources of a worker for a gang.
    pub(crate) fn reserve(
        &mut self,
        worker: WorkerKey,
        rank: Rank,
        gang: StepKey,
        resources: Resources,
    ) {
        self.hold(worker, rank, gang, resources);
        self.gang_cpu += resources.cpu;
    }

    /// Reserves resources of a worker for the start of a suspect. They do not count toward the limit
    /// for gangs.
    pub(crate) fn hold(
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

    /// Returns whether a worker has a reservation.
    pub(crate) fn is_reserved(&self, worker: WorkerKey) -> bool {
        self.workers.contains_key(&worker)
    }

    /// Returns whether a worker has a reservation for another step.
    pub(crate) fn reserved_for_other(&self, worker: WorkerKey, key: StepKey) -> bool {
        let reserved = self.workers.get(&worker);
        reserved.is_some_and(|reserved| reserved.iter().any(|reservation| reservation.gang != key))
    }

    /// Returns a worker's resources minus all reservations.
    pub(crate) fn remaining(&self, worker: WorkerKey, resources: Resources) -> Resources {
        let reserved = self.workers.get(&worker).into_iter().flatten();
        reserved.fold(resources, |resources, reservation| {
            resources.minus(&reservation.resources)
        })
    }

    /// Returns the part of a worker's resources that a step of this rank may use: only reservations
    /// for other steps that are served before it are subtracted.
    pub(crate) fn remaining_for(
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

    /// Returns the number of workers with reservations.
    pub(crate) fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the processors of all reservations, in thousandths of a core.
    pub(crate) fn cpu(&self) -> u64 {
        self.cpu
    }
}

impl Planner {
    /// Reserves free resources for a gang that does not fit. Otherwise small tasks would use
    /// resources as soon as they become free, and a large gang would never start.
    ///
    /// Only what the members need is reserved, on any worker that may run the gang. When the
    /// smallest number of whole workers with enough capacity for the gang was reserved, these had
    /// to become empty first: under a backlog 200 of 508 workers were reserved, and a fifth of all
    /// processors were idle there.
    ///
    /// More urgent tasks are still placed first in each pass, but on workers without reservations
    /// if possible. Without that, in a lightly loaded pool, a gang that needed a quarter of the
    /// pool waited 27 s while urgent single tasks used the resources that became free.
    pub(crate) fn reserve_resources(
        &self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) {
        if !self.policy.switches.enabled(Mechanism::GangReservations) {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let full = reservations.gang_cpu as f64 >= self.pool_cpu as f64 * MAX_RESERVED_SHARE;
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
        let service = &job.spec.queue.service;
        let allowed = allowed
            .into_iter()
            .filter(|(_, state)| self.usable(state) && may_run(state, service, spec));
        let mut allowed: Vec<(WorkerKey, Resources, u64)> = allowed
            .map(|(worker, state)| {
                let all = state.free_later().fit_count(&need);
                (worker, reservations.remaining(worker, state.free()), all)
            })
            .collect();
        let total: u64 = allowed.iter().map(|(.., all)| all).sum();
        if total < u64::from(spec.count) {
            // The gang would not fit even if all runs had ended that end by themselves, so a
            // reservation would not help.
            return;
        }
        let need_speed = self.speed_need(key).map(|speed| {
            let workers = allowed.iter();
            let workers: Vec<(i16, u64)> = workers
                .map(|(worker, _, all)| (self.speed_class(&self.workers[*worker]), *all))
                .collect();
            speed.for_gang(u64::from(spec.count), &workers)
        });
        allowed.sort_by_cached_key(|(worker, free, _)| {
            let position = self.speed_position(&self.workers[*worker], need_speed);
            (position, Reverse(free.cpu))
        });
        let mut unplaced = u64::from(spec.count);
        for (worker, free, _) in allowed {
            if unplaced == 0 {
                break;
            }
            // Resources that are not enough for a member are reserved, too: they become a slot
            // when more resources of the worker are free.
            let slots = free.fit_count(&need).clamp(1, unplaced);
            unplaced -= slots;
            reservations.reserve(worker, rank, key, need.times(slots).elementwise_min(&free));
        }
    }
}
