//! Upper bound of the worth that a scheduler with perfect knowledge could have
//! earned, computed on a relaxed problem. The worth of a job is the score that it
//! earns if it ends within its objective, the time that its queue allows it.
//!
//! The relaxation assumes that work is divisible and may run on any worker, at
//! any parallelism and with any interruption, between the first log line of the
//! job and its objective; that sizes are as declared; that the processors of the
//! workers are known in advance; and that advice, memory, gangs, faults and the
//! store impose no constraint. The amounts of work that can be done in time form a
//! polymatroid, so reserving processor time in the order of worth per core-second
//! is optimal. The share of its worth that a late job earns depends on its queue;
//! here, the part of a job that is not done in time always earns [`LATE_SHARE`].

/// Share of its worth that late work earns.
const LATE_SHARE: f64 = 0.2;

/// Length of a time slot, in seconds.
const SLOT_SECONDS: f64 = 0.5;

/// Work and worth of one job, from which the bound is computed.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Time of the first log line that names the job, in seconds of the log.
    pub first_seen: f64,
    /// End of the job's objective, in seconds of the log.
    pub due: f64,
    /// Declared work, in core-seconds.
    pub work: f64,
    /// Worth of the job if it ends within its objective.
    pub worth: f64,
}

/// Returns an upper bound of the share of the total worth that could have been
/// earned. `cores` returns the processors of all usable workers at a time in
/// seconds of the log.
pub fn best_share(demands: &[Demand], cores: impl Fn(f64) -> f64) -> f64 {
    let end = demands.iter().map(|one| one.due).fold(0.0, f64::max);
    let slots = slot(end) + 2;
    let mut slack = interval_slacks(slots, cores);
    let mut order: Vec<&Demand> = demands.iter().filter(|one| one.work > 0.0).collect();
    order.sort_by(|one, other| (other.worth / other.work).total_cmp(&(one.worth / one.work)));
    let (mut earned, mut offered) = (0.0, 0.0);
    for demand in order {
        let (from, to) = (slot(demand.first_seen), slot(demand.due));
        let reserved = reserve_work(&mut slack, slots, from, to, demand.work);
        let fraction = reserved / demand.work;
        earned += demand.worth * (fraction + (1.0 - fraction) * LATE_SHARE);
        offered += demand.worth;
    }
    earned / f64::max(offered, 1e-9)
}

/// Returns the index of the slot that contains a time in seconds.
fn slot(time: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slot = (time / SLOT_SECONDS).max(0.0) as usize;
    slot
}

/// Returns the capacity of each interval of slots in core-seconds, as a square
/// matrix: the row is the first slot of the interval, the column its last.
/// [`reserve_work`] reduces it to the capacity that is left.
fn interval_slacks(slots: usize, cores: impl Fn(f64) -> f64) -> Vec<f64> {
    let mut slack = vec![0.0; slots * slots];
    for first in 0..slots {
        let mut sum = 0.0;
        for last in first..slots {
            #[allow(clippy::cast_precision_loss)]
            let time = last as f64 * SLOT_SECONDS;
            sum += cores(time) * SLOT_SECONDS;
            slack[first * slots + last] = sum;
        }
    }
    slack
}

/// Reserves as much of `work` as possible between slot `from` and slot `to`, and
/// returns the reserved core-seconds. The work is done within every interval that
/// contains both slots; so the interval with the least capacity left sets the limit,
/// and the reserved amount is subtracted from all of them.
fn reserve_work(slack: &mut [f64], slots: usize, from: usize, to: usize, work: f64) -> f64 {
    let rows = (0..=from).map(|first| first * slots + to..(first + 1) * slots);
    let affected = rows.flatten();
    let reserved = affected.clone().map(|at| slack[at]).fold(work, f64::min);
    let reserved = reserved.max(0.0);
    affected.for_each(|at| slack[at] -= reserved);
    reserved
}
