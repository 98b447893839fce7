//! Largest pool of each service seen by this owner. A service is a named group of workers, which
//! run the tasks of the queues that are configured for it; its workers are called a pool here.
//!
//! The current workers do not show which jobs can never run: some workers are absent, some have
//! not registered yet. So a job is checked against the largest number of workers of each kind
//! that this owner has had in its roster at the same time, and each worker counts with the largest
//! capacity that it has registered. With current capacities, a job would fail that only has to wait
//! until its workers grow again, and a worker that has registered two sizes would count as two.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::Resources;
use crate::StepSpec;
use crate::planner::WorkerKey;
use crate::planner::state::roster::WorkerState;

/// A job that the pool cannot run fails only when the pool has not grown for this time: while
/// workers of a starting cluster are being added, more of them may follow.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Capacity and labels of a worker; jobs cannot distinguish workers that agree in both.
type WorkerKind = (Resources, Vec<String>);

/// Number of workers by capacity.
type Sizes = HashMap<Resources, u64>;

/// Largest pool seen of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Largest number of workers of each kind that were in the roster at the same time.
    peak_counts: HashMap<WorkerKind, u64>,
    /// The same numbers by label and capacity; all workers are under the empty label. Workers
    /// have few distinct sizes, so this is fast. Checking 300 waiting steps against each of 350
    /// workers would take two thirds of a planning pass.
    label_sizes: HashMap<String, Sizes>,
    /// When the pool last grew, by the owner's monotonic clock.
    grown_at: Duration,
    /// The pool has workers whose capacity is unknown (see [`capacity_unknown`]).
    incomplete: bool,
}

impl Pool {
    /// Raises the largest numbers to these counts.
    fn grow(&mut self, counts: HashMap<WorkerKind, u64>, now: Duration) {
        let mut grown = false;
        for (kind, count) in counts {
            let seen = self.peak_counts.entry(kind).or_default();
            grown |= count > *seen;
            *seen = count.max(*seen);
        }
        if !grown {
            return;
        }
        self.grown_at = now;
        self.label_sizes.clear();
        for ((capacity, labels), count) in &self.peak_counts {
            let labels: HashSet<&str> = labels.iter().map(String::as_str).collect();
            for label in labels.into_iter().chain([""]) {
                let sizes = self.label_sizes.entry(label.to_owned()).or_default();
                *sizes.entry(*capacity).or_default() += count;
            }
        }
    }

    /// Returns the number of tasks of a step that fit at the same time if all workers are empty.
    fn slots(&self, spec: &StepSpec) -> u64 {
        let booked = spec.booked();
        let sizes = self.label_sizes.get(&spec.label).into_iter().flatten();
        sizes.fold(0, |slots, (capacity, count)| {
            slots.saturating_add(capacity.fit_count(&booked).saturating_mul(*count))
        })
    }
}

/// Largest pool seen of each service.
#[derive(Debug, Default)]
pub(crate) struct PeakPools {
    pools: HashMap<String, Pool>,
    /// When the workers last changed, by the owner's monotonic clock; `None` if they have been
    /// counted since.
    changed_at: Option<Duration>,
}

impl PeakPools {
    /// Records that a worker was added, changed or removed.
    pub(crate) fn workers_changed(&mut self, now: Duration) {
        self.changed_at = Some(now);
    }

    /// Counts the workers if any has changed.
    pub(crate) fn update(&mut self, workers: &SlotMap<WorkerKey, WorkerState>) {
        let Some(changed) = self.changed_at.take() else {
            return;
        };
        for pool in self.pools.values_mut() {
            pool.incomplete = false;
        }
        let mut counts: HashMap<&str, HashMap<WorkerKind, u64>> = HashMap::new();
        for worker in distinct_workers(workers) {
            let info = &worker.info;
            let kinds = counts.entry(&info.service).or_default();
            if capacity_unknown(worker) {
                let pool = self.pools.entry(info.service.clone()).or_default();
                pool.incomplete = true;
                continue;
            }
            let kind = (worker.largest, info.labels.clone());
            *kinds.entry(kind).or_default() += 1;
        }
        for (service, counts) in counts {
            let pool = self.pools.entry(service.to_owned()).or_default();
            pool.grow(counts, changed);
        }
    }

    /// Returns whether the largest pool seen could not run `members` tasks of a step at the same
    /// time, and has stopped growing for [`SETTLE_TIME`]. Returns false if this owner has seen no
    /// worker of the service, or does not know the capacity of one.
    pub(crate) fn cannot_fit(
        &self,
        service: &str,
        spec: &StepSpec,
        members: u64,
        now: Duration,
    ) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let settled = !pool.incomplete && now >= pool.grown_at + SETTLE_TIME;
        settled && pool.slots(spec) < members
    }
}

/// Returns all workers except those without a registration (it was removed, or was not read yet)
/// at whose address another worker is registered: the two are the same worker before and after a
/// restart, and must not count twice.
fn distinct_workers(
    workers: &SlotMap<WorkerKey, WorkerState>,
) -> impl Iterator<Item = &WorkerState> {
    let present = workers.values().filter(|worker| !worker.unregistered);
    let present: HashSet<SocketAddr> = present.map(|worker| worker.info.address).collect();
    let counts = move |worker: &&WorkerState| {
        !worker.unregistered || !present.contains(&worker.info.address)
    };
    workers.values().filter(counts)
}

/// Returns whether the owner has not seen any capacity of a worker: it has not read the
/// registration of the worker's incarnation, and if a former owner stored a row for the worker (in
/// the table of used workers), that row was written by an earlier version and states no capacity.
/// If such a worker counted as one without resources, a successor that cannot read the
/// registrations would fail every job.
fn capacity_unknown(worker: &WorkerState) -> bool {
    worker.unregistered && worker.largest == Resources::default()
}
