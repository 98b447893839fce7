//! Preemption for gangs: less urgent tasks with checkpoints are stopped, and resume later.
//!
//! A gang needs all its slots at the same time, and the advice service allows it on a quarter
//! of the workers. If slots there are only reserved, the workers stay half empty for seconds,
//! until their other tasks have ended.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::Resources;
use crate::StepKey;
use crate::StepSpec;
use crate::planner::Planner;
use crate::planner::StopReason;
use crate::planner::WorkerKey;
use crate::planner::order::rank::Rank;
use crate::planner::placement::headroom::Victim;
use crate::planner::placement::place::may_run;
use crate::planner::placement::place::tasks_on_worker;
use crate::planner::placement::reservations::Reservations;

/// Minimum remaining validity of a ticket for which tasks are preempted: a stop takes up to
/// 0.2 s, and the end is reported up to 0.1 s later.
const STOP_TIME: Duration = Duration::from_millis(400);

/// A worker that may run members of a gang.
struct PreemptionCandidate {
    worker: WorkerKey,
    /// Resources that are free now or once the runs that are being stopped have ended.
    free: Resources,
    /// Maximum number of members that may run here.
    max_tasks: u64,
    /// Runs that may be preempted, the largest last.
    victims: Vec<Victim>,
}

impl PreemptionCandidate {
    /// Returns the number of members that fit into the free resources.
    fn slots(&self, need: &Resources) -> u64 {
        self.free.fit_count(need).min(self.max_tasks)
    }

    /// Returns what must be preempted for one more slot: the booked processors and the number of
    /// victims, counted from the end of the list. `None` if all victims are not enough.
    fn next_slot(&self, need: &Resources) -> Option<(u64, usize)> {
        let slots = self.slots(need);
        let mut free = self.free;
        let mut cpu = 0;
        for (count, victim) in (1..).zip(self.victims.iter().rev()) {
            free = free.plus(&victim.booked);
            cpu += victim.booked.cpu;
            if free.fit_count(need).min(self.max_tasks) > slots {
                return Some((cpu, count));
            }
        }
        None
    }
}

impl Planner {
    /// Preempts tasks for a gang that does not fit, and reserves their resources for it.
    /// Returns false, and preempts nothing, if that is not enough.
    ///
    /// Without preemption, a gang waits until enough resources are free at the same time. In a
    /// lightly loaded pool of 350 workers, the results of gangs that callers got in time made up
    /// 0.82 of the value of all results of gangs to their callers without preemption, and 0.90 with
    /// it; the share of processors in use rose from 0.77 to 0.81.
    pub(crate) fn preempt_for_gang(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) -> bool {
        let booked = spec.booked();
        let mut candidates = self.preemption_candidates(key, spec, reservations);
        let Some(victims) = choose_victims(&mut candidates, &booked, u64::from(spec.count)) else {
            return false;
        };
        for (worker, victim) in victims {
            self.preempt(worker, victim, key);
        }
        reserve_slots(&mut candidates, rank, key, spec, reservations);
        true
    }

    /// Returns the workers that may run a step, with the resources available to it there. Returns
    /// no workers if the gang does not fit even with all possible preemptions.
    fn preemption_candidates(
        &self,
        key: StepKey,
        spec: &StepSpec,
        reservations: &Reservations,
    ) -> Vec<PreemptionCandidate> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some((_, step)) = job.step(key) else {
            return Vec::new();
        };
        let queue = &job.spec.queue;
        let booked = spec.booked();
        let mut eligible = Vec::new();
        let mut total_slots = 0_u64;
        for (worker_key, worker) in self.allowed_workers(job, step, self.now + STOP_TIME) {
            let eligible_here = self.usable(worker) && may_run(worker, &queue.service, spec);
            let headroom = self.headrooms.get(worker_key);
            let Some(headroom) = headroom.filter(|_| eligible_here) else {
                continue;
            };
            let free = reservations.remaining(worker_key, headroom.free);
            let max_tasks = match spec.worker_limit {
                0 => u64::MAX,
                limit => u64::from(limit.saturating_sub(tasks_on_worker(worker, key, spec))),
            };
            let most_available =
                reservations.remaining(worker_key, headroom.available_to(queue.priority));
            let slots = most_available.fit_count(&booked).min(max_tasks);
            total_slots = total_slots.saturating_add(slots);
            if slots > 0 {
                eligible.push((worker_key, headroom, free, max_tasks));
            }
        }
        if total_slots < u64::from(spec.count) {
            return Vec::new();
        }
        let candidates = eligible
            .into_iter()
            .map(|(worker, headroom, free, max_tasks)| {
                let victims = headroom.victims.iter();
                let less_urgent = victims.filter(|victim| victim.priority > queue.priority);
                PreemptionCandidate {
                    worker,
                    free,
                    max_tasks,
                    victims: less_urgent.copied().collect(),
                }
            });
        candidates.collect()
    }

    /// Stops a run for a gang.
    fn preempt(&mut self, worker: WorkerKey, victim: Victim, gang: StepKey) {
        let job = self.jobs.get_mut(&victim.task.step.job);
        if let Some((_, step)) = job.and_then(|job| job.step_mut(victim.task.step))
            && let Some(task) = step.tasks.get_mut(victim.task.index as usize)
        {
            task.preempted += 1;
        }
        let reason = StopReason::Preempted(gang);
        self.stop_run(worker, victim.task, victim.run, reason);
        if let Some(state) = self.workers.get(worker) {
            let headroom = self.headroom(state);
            self.headrooms.insert(worker, headroom);
        }
    }
}

/// Chooses the runs to preempt so that `count` members fit, those with the fewest processors per
/// slot gained first. Returns `None` if preempting all of them is not enough.
fn choose_victims(
    candidates: &mut [PreemptionCandidate],
    need: &Resources,
    count: u64,
) -> Option<Vec<(WorkerKey, Victim)>> {
    let mut slots: u64 = candidates
        .iter()
        .map(|candidate| candidate.slots(need))
        .sum();
    let mut next: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    for (at, candidate) in candidates.iter().enumerate() {
        let slot = candidate.next_slot(need);
        next.extend(slot.map(|(cpu, victims)| Reverse((cpu, at, victims))));
    }
    let mut chosen = Vec::new();
    while slots < count {
        let Reverse((_, at, victims)) = next.pop()?;
        let candidate = &mut candidates[at];
        let before = candidate.slots(need);
        let first = candidate.victims.len() - victims;
        for victim in candidate.victims.drain(first..) {
            candidate.free = candidate.free.plus(&victim.booked);
            chosen.push((candidate.worker, victim));
        }
        slots += candidate.slots(need) - before;
        let slot = candidate.next_slot(need);
        next.extend(slot.map(|(cpu, victims)| Reverse((cpu, at, victims))));
    }
    Some(chosen)
}

/// Reserves a slot for each member of the gang, on the workers with the most slots first.
fn reserve_slots(
    candidates: &mut [PreemptionCandidate],
    rank: Rank,
    key: StepKey,
    spec: &StepSpec,
    reservations: &mut Reservations,
) {
    let booked = spec.booked();
    candidates.sort_by_key(|candidate| Reverse(candidate.slots(&booked)));
    let mut slots = 0;
    for candidate in candidates {
        if slots >= u64::from(spec.count) {
            break;
        }
        let unplaced = u64::from(spec.count) - slots;
        let taken = candidate.slots(&booked).min(unplaced);
        slots += taken;
        reservations.reserve(candidate.worker, rank, key, booked.times(taken));
    }
}
