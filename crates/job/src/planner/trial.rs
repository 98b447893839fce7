//! Trials: starts of suspected tasks, each alone on a worker.
//!
//! If a worker has several runs and one of them crashes it, the work of the others is lost as
//! well, and the crash does not show which run caused it.

use std::cmp::Reverse;
use std::time::Duration;

use super::Finding;
use super::Planner;
use super::place::Candidate;
use super::place::assign_slots;
use super::place::may_run;
use super::rank::Rank;
use super::reservations::Reservations;
use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;

/// One worker in this many, and at least one, may run a trial or be reserved for one. A trial
/// keeps a whole worker from other work.
const WORKERS_PER_TRIAL: usize = 12;

/// One idle worker in this many may run a trial, if that allows more trials.
const IDLE_PER_TRIAL: usize = 2;

/// Sorts idle workers first, and those with newer reports before others. If a trial were sent to
/// a worker that has just crashed for another reason, the crash would count against the task,
/// and its job might fail though the task crashes no workers.
fn sort_for_trials(candidates: &mut [Candidate]) {
    candidates.sort_by_key(|candidate| (!candidate.idle, Reverse(candidate.last_report)));
}

impl Planner {
    /// Returns the number of workers that may run a trial or be reserved for one.
    fn max_trials(&self) -> usize {
        let usable = self.workers.values().filter(|worker| self.usable(worker));
        let idle = usable.filter(|worker| worker.runs.is_empty()).count();
        (self.workers.len() / WORKERS_PER_TRIAL)
            .max(idle / IDLE_PER_TRIAL)
            .max(1)
    }

    /// Starts the trials of single tasks for which there is an idle worker, and reserves a worker
    /// for each other trial.
    pub(super) fn place_trials(
        &mut self,
        ranked: &[(Rank, StepKey)],
        reservations: &mut Reservations,
    ) {
        if self.suspects.tasks.is_empty() {
            return;
        }
        let trials = self.workers.values().filter(|worker| worker.trials > 0);
        let mut remaining = self.max_trials().saturating_sub(trials.count());
        for &(rank, key) in ranked {
            self.record_intents(key);
            let Some(spec) = self.step_spec(key).filter(|spec| !spec.gang) else {
                continue;
            };
            let held = self.hold_intents(rank, key, &spec, reservations);
            for task in self.waiting_trials(key) {
                if held.contains(&task) {
                    remaining = remaining.saturating_sub(1);
                    continue;
                }
                if remaining == 0 || !self.may_start(task) {
                    continue;
                }
                remaining -= 1;
                let mut candidates = self.candidates(key, &spec, reservations);
                sort_for_trials(&mut candidates);
                let named = self.intended_worker(task);
                let mut idle = (0..candidates.len()).filter(|&at| candidates[at].idle);
                let at = idle.clone().find(|&at| Some(candidates[at].key) == named);
                if let Some(at) = at.or_else(|| idle.next()) {
                    let run = self.next_run(task);
                    let chosen = &mut candidates[at];
                    if self.start_saved(task, run, chosen.key) {
                        self.start_trial((task, run), &spec, chosen);
                    } else {
                        self.record_intent(task, run, Some(chosen.key));
                        reservations.reserve(chosen.key, rank, key, chosen.free);
                    }
                } else {
                    self.reserve_idle(1, rank, key, &spec, reservations);
                }
            }
            self.close_step(key);
        }
    }

    /// Starts a trial on an idle worker.
    fn start_trial(&mut self, run: (TaskKey, RunId), spec: &StepSpec, chosen: &mut Candidate) {
        self.record_finding(run.0, run.1, Finding::Tried);
        self.start_run(run, true, spec, chosen);
        // No other task is placed on this worker in this pass.
        chosen.free = Resources::default();
    }

    /// Reserves `count` workers, those with the fewest booked processors, so that they become idle.
    fn reserve_idle(
        &self,
        count: usize,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some((_, step)) = job.step(key) else {
            return;
        };
        let service = &job.spec.queue.service;
        // Workers with expired tickets count, too: the tickets are renewed later.
        let eligible = self.allowed_workers(job, step, Duration::ZERO);
        let eligible = eligible.into_iter().filter(|(worker, state)| {
            let fits = state.info.capacity.can_fit(&spec.booked());
            let reserved = reservations.reserved_for_other(*worker, key);
            self.usable(state) && may_run(state, service, spec) && fits && !reserved
        });
        let mut eligible: Vec<_> = eligible.collect();
        eligible.sort_unstable_by_key(|(worker, state)| (state.total_booked.cpu, *worker));
        for (worker, state) in eligible.into_iter().take(count) {
            reservations.reserve(worker, rank, key, state.free());
        }
    }

    /// Starts a gang that has suspects among its members, each suspect alone on a worker.
    /// Returns false if the other members do not fit; true if the gang was started or has to
    /// wait for idle workers.
    pub(super) fn place_suspected_gang(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        (trials, reservations): (Vec<TaskKey>, &mut Reservations),
    ) -> bool {
        let mut trials = trials;
        if trials.len() > self.max_trials() {
            // There are more suspects than workers for trials. It is unlikely that all of them
            // cause crashes, and that many workers may never be idle at the same time, so they
            // start like the other members.
            trials.clear();
        }
        let mut candidates = self.candidates(key, spec, reservations);
        sort_for_trials(&mut candidates);
        let idle = candidates.iter().filter(|candidate| candidate.idle).count();
        if idle < trials.len() {
            self.reserve_idle(trials.len(), rank, key, spec, reservations);
            return true;
        }
        let mut others = candidates.split_off(trials.len());
        let mut regular = self.waiting_tasks(key);
        let run = regular.iter().map(|task| self.next_run(*task)).max();
        let run = run.unwrap_or_default();
        regular.retain(|task| !trials.contains(task));
        let Some(slots) = assign_slots(&others, regular.len(), spec) else {
            return false;
        };
        for (task, chosen) in trials.into_iter().zip(&mut candidates) {
            self.start_trial((task, run), spec, chosen);
        }
        for (task, at) in regular.into_iter().zip(slots) {
            self.start_run((task, run), false, spec, &mut others[at]);
        }
        self.close_step(key);
        true
    }
}
