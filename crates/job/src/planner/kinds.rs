//! The largest pools that this owner has seen.
//!
//! What no worker could ever take cannot be told from the workers of a moment:
//! some are away, some have not registered yet. So a job is measured by the
//! most workers of each kind that were known at the same time, and a worker by the
//! most that it has had. By what they had at the moment, a job was shown as failed that
//! only had to wait until its workers grew again; and one that had two sizes counted
//! as two.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::WorkerKey;
use super::roster::WorkerState;
use crate::Resources;
use crate::StepSpec;

/// Time for which a pool must not have grown before a job is given up for want
/// of a worker: while it grows, more workers may still become known.
const SETTLE: Duration = Duration::from_secs(3);

/// Workers that no job can tell apart: one size, one set of labels.
type Kind = (Resources, Vec<String>);

/// Sizes of workers, and how many there are of each.
type Sizes = HashMap<Resources, u64>;

/// Workers of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Most workers of each kind that were known at the same time.
    seen: HashMap<Kind, u64>,
    /// The same by label, and under no label in all. Workers are of few sizes:
    /// with a look at each worker, the check of all waiting steps took two
    /// thirds of a planning round of 350 workers and 300 steps.
    sizes: HashMap<String, Sizes>,
    /// When it grew last.
    grown: Duration,
    /// Workers are there whose size is not known.
    vague: bool,
}

impl Pool {
    fn grow(&mut self, counts: HashMap<Kind, u64>, now: Duration) {
        let mut grown = false;
        for (kind, count) in counts {
            let seen = self.seen.entry(kind).or_default();
            grown |= count > *seen;
            *seen = count.max(*seen);
        }
        if !grown {
            return;
        }
        self.grown = now;
        self.sizes.clear();
        for ((room, labels), count) in &self.seen {
            let labels: HashSet<&str> = labels.iter().map(String::as_str).collect();
            for label in labels.into_iter().chain([""]) {
                let sizes = self.sizes.entry(label.to_owned()).or_default();
                *sizes.entry(*room).or_default() += count;
            }
        }
    }

    /// Tasks of a step that fit at the same time, with all workers empty.
    fn seats(&self, spec: &StepSpec) -> u64 {
        let booked = spec.booked();
        let sizes = self.sizes.get(&spec.label).into_iter().flatten();
        sizes.fold(0, |seats, (room, count)| {
            seats.saturating_add(room.fits(&booked).saturating_mul(*count))
        })
    }
}

/// The largest pools that were seen, by service.
#[derive(Debug, Default)]
pub(super) struct Kinds {
    pools: HashMap<String, Pool>,
    /// When the workers changed last, if they have not been counted since.
    changed: Option<Duration>,
}

impl Kinds {
    /// A worker has come, changed or gone.
    pub(super) fn change(&mut self, now: Duration) {
        self.changed = Some(now);
    }

    /// Counts the workers if they have changed.
    pub(super) fn count(&mut self, workers: &SlotMap<WorkerKey, WorkerState>) {
        let Some(changed) = self.changed.take() else {
            return;
        };
        for pool in self.pools.values_mut() {
            pool.vague = false;
        }
        let mut counts: HashMap<&str, HashMap<Kind, u64>> = HashMap::new();
        for worker in distinct(workers) {
            let info = &worker.info;
            let kinds = counts.entry(&info.service).or_default();
            if size_unknown(worker) {
                let pool = self.pools.entry(info.service.clone()).or_default();
                pool.vague = true;
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

    /// Whether the largest pool that was seen could not run `members` tasks of
    /// a step at the same time, and more workers are not to be expected.
    pub(super) fn never(
        &self,
        service: &str,
        spec: &StepSpec,
        members: u64,
        now: Duration,
    ) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let settled = !pool.vague && now >= pool.grown + SETTLE;
        settled && pool.seats(spec) < members
    }
}

/// Workers without the former lives of those that have come back.
fn distinct(workers: &SlotMap<WorkerKey, WorkerState>) -> impl Iterator<Item = &WorkerState> {
    let there = workers.values().filter(|worker| !worker.gone);
    let there: HashSet<SocketAddr> = there.map(|worker| worker.info.address).collect();
    let counts = move |worker: &&WorkerState| !worker.gone || !there.contains(&worker.info.address);
    workers.values().filter(counts)
}

/// Known only by a row that does not tell its size. Taken for a worker without
/// room, it let every job of a successor fail that could not read the
/// registrations.
fn size_unknown(worker: &WorkerState) -> bool {
    worker.gone && worker.largest == Resources::default()
}
