//! What perfect knowledge could have earned: a relaxation.
//!
//! Work is divisible and may run anywhere, at any width and with any
//! interruption, from when the job was first sent until its objective; sizes
//! are as declared; the processors that workers had are known beforehand; no
//! advice, memory, gang, fault or store stands in the way. The sets of work that
//! can be done in time form a polymatroid, so serving in order of worth a
//! core-second is optimal for it. A late answer earns a share that depends on
//! its queue; here, what is not done in time earns [`LATE_REPLY`] of the rest.

/// Part of the worth that a late answer earns.
const LATE: f64 = 0.2;

/// Length of a slot, in seconds.
const SLOT: f64 = 0.5;

/// A job for the bound.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Seconds from the start of the log.
    pub sent: f64,
    pub due: f64,
    /// Core-seconds.
    pub work: f64,
    pub worth: f64,
}

/// Share of all worth that could have been earned. `cores` gives the
/// processors that were there in a second.
pub fn share(demands: &[Demand], cores: impl Fn(f64) -> f64) -> f64 {
    let end = demands.iter().map(|one| one.due).fold(0.0, f64::max);
    let slots = slot(end) + 2;
    let mut slack = slacks(slots, cores);
    let mut order: Vec<&Demand> = demands.iter().filter(|one| one.work > 0.0).collect();
    order.sort_by(|one, other| (other.worth / other.work).total_cmp(&(one.worth / one.work)));
    let (mut earned, mut owed) = (0.0, 0.0);
    for demand in order {
        let (from, to) = (slot(demand.sent), slot(demand.due));
        let fits = take(&mut slack, slots, from, to, demand.work);
        let part = fits / demand.work;
        earned += demand.worth * (part + (1.0 - part) * LATE);
        owed += demand.worth;
    }
    earned / f64::max(owed, 1e-9)
}

fn slot(time: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slot = (time / SLOT).max(0.0) as usize;
    slot
}

/// For each interval of slots, from its first (row) to its last (column), what
/// can still be done within it.
fn slacks(slots: usize, cores: impl Fn(f64) -> f64) -> Vec<f64> {
    let mut slack = vec![0.0; slots * slots];
    for first in 0..slots {
        let mut sum = 0.0;
        for last in first..slots {
            #[allow(clippy::cast_precision_loss)]
            let time = last as f64 * SLOT;
            sum += cores(time) * SLOT;
            slack[first * slots + last] = sum;
        }
    }
    slack
}

/// Takes as much of `work` as still fits between two slots.
fn take(slack: &mut [f64], slots: usize, from: usize, to: usize, work: f64) -> f64 {
    let rows = (0..=from).map(|first| first * slots + to..(first + 1) * slots);
    let within = rows.flatten();
    let fits = within.clone().map(|at| slack[at]).fold(work, f64::min);
    let fits = fits.max(0.0);
    within.for_each(|at| slack[at] -= fits);
    fits
}
