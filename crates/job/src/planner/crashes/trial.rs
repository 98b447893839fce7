//! Trials: starts of suspected tasks, each alone on a worker.
//!
//! If a worker has several runs and one of them crashes it, the work of the others is lost as
//! well, and the crash does not show which run caused it. Most tasks that crash their worker do so
//! soon after their start, so the worker takes other tasks again after [`TRIAL_PERIOD`]; the
//! number of crashes bounds the starts of tasks that crash later.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;
use crate::planner::Finding;
use crate::planner::Planner;
use crate::planner::order::rank::Rank;
use crate::planner::placement::place::Candidate;
use crate::planner::placement::place::assign_slots;
use crate::planner::placement::place::may_run;
use crate::planner::placement::reservations::Reservations;
use crate::planner::state::roster::RunPhase;

/// One worker in this many, and at least one, may run a trial or be reserved for one. A trial
/// keeps a whole worker from other work.
const WORKERS_PER_TRIAL: usize = 12;

/// One idle worker in this many may run a trial, if that allows more trials.
const IDLE_PER_TRIAL: usize = 2;

/// Time after the confirmed start of a trial for which its worker takes no other tasks.
const TRIAL_PERIOD: Duration = Duration::from_secs(2);

/// A trial that has waited longer than this gets its turn before more urgent ones.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(3);

/// Time after which a gang no longer waits for the trials of its suspects. It needs idle workers for
/// all of them, and room for the other members, at the same time.
const MAX_GANG_WAIT: Duration = Duration::from_secs(5);

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

    /// Ends the trials that have run for [`TRIAL_PERIOD`]: their runs continue, but other tasks may
    /// join them, and other trials get their turn.
    pub(crate) fn end_long_trials(&mut self) {
        let now = self.now;
        let in_trial = self.workers.values_mut();
        for worker in in_trial.filter(|worker| worker.trials > 0) {
            let mut trials = worker.runs.values().filter(|placed| placed.trial);
            let over = trials.all(|placed| {
                placed.phase == RunPhase::Running && placed.phase_since + TRIAL_PERIOD <= now
            });
            if over {
                worker.end_trials();
            }
        }
    }

    /// Starts the trials of single tasks for which there is an idle worker, and reserves workers for
    /// the others. A trial that no worker may run does not count toward the limit.
    pub(crate) fn place_trials(
        &mut self,
        ranked: &[(Rank, StepKey)],
        reservations: &mut Reservations,
    ) {
        if self.suspects.tasks.is_empty() {
            return;
        }
        let trials = self.workers.values().filter(|worker| worker.trials > 0);
        let mut remaining = self.max_trials().saturating_sub(trials.count());
        let (ready, held) = self.ready_trials(ranked, reservations);
        remaining = remaining.saturating_sub(held);
        let mut unplaced = Vec::new();
        for (rank, task) in ready {
            if remaining == 0 {
                break;
            }
            if !self.limit_admits(task.step) {
                continue;
            }
            if self.start_budget > 0 && self.start_on_idle(rank, task, reservations) {
                remaining -= 1;
            } else {
                unplaced.push((rank, task.step));
            }
        }
        for (rank, key) in unplaced {
            if remaining == 0 {
                break;
            }
            remaining -= self.reserve_idle(1, rank, key, reservations);
        }
        reservations.remaining_trials = remaining;
    }

    /// Returns the trials of single tasks that may start: first those that have waited longer than
    /// [`MAX_TRIAL_WAIT`], the longest first, then the others in order of rank. Also returns the
    /// number of trials whose start intents are being saved; their workers are kept for them.
    fn ready_trials(
        &mut self,
        ranked: &[(Rank, StepKey)],
        reservations: &mut Reservations,
    ) -> (Vec<(Rank, TaskKey)>, usize) {
        let mut ready = Vec::new();
        let mut held = 0;
        for &(rank, key) in ranked {
            self.record_intents(key);
            let Some(spec) = self.step_spec(key).filter(|spec| !spec.gang) else {
                continue;
            };
            self.hold_intents(rank, key, &spec, reservations);
            for task in self.waiting_trials(key) {
                if self.awaits_save(task) {
                    held += 1;
                } else if self.may_start(task) && self.limit_admits(key) {
                    ready.push((rank, task));
                }
            }
        }
        ready.sort_by_cached_key(|(_, task)| {
            let since = self.trial_due(*task);
            let overdue = since + MAX_TRIAL_WAIT < self.now;
            (!overdue, since * u32::from(overdue))
        });
        (ready, held)
    }

    /// Returns since when a trial waits for its turn; zero if it was due under a former owner.
    fn trial_due(&self, task: TaskKey) -> Duration {
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicion(task));
        suspicion.map_or(Duration::ZERO, |suspicion| suspicion.not_before)
    }

    /// Returns whether a worker that may run a step can become idle. Without one, trials of the step
    /// start beside runs that last until their jobs are cancelled; the number of crashes bounds them.
    fn may_become_idle(&self, key: StepKey, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let service = &job.spec.queue.service;
        let mut workers = self.workers.values().filter(|state| {
            let present = state.claimed && !state.unregistered && !state.info.draining;
            present && may_run(state, service, spec)
        });
        workers.any(|state| !state.has_long_runs() && state.free_later().can_fit(&spec.booked()))
    }

    /// Starts a trial if there is an idle worker for it; returns whether there is. Unless the intent
    /// to start it there is saved, the intent is recorded, and the worker kept for the trial.
    fn start_on_idle(
        &mut self,
        rank: Rank,
        task: TaskKey,
        reservations: &mut Reservations,
    ) -> bool {
        let Some(spec) = self.step_spec(task.step) else {
            return false;
        };
        let mut candidates = self.candidates(task.step, &spec, reservations);
        if !self.may_become_idle(task.step, &spec) {
            for candidate in &mut candidates {
                candidate.idle = self.workers[candidate.key].only_long_runs();
            }
        }
        sort_for_trials(&mut candidates);
        let named = self.intended_worker(task);
        let mut idle = candidates.iter_mut().filter(|candidate| candidate.idle);
        let Some(first) = idle.next() else {
            return false;
        };
        let is_named = |candidate: &&mut Candidate| Some(candidate.key) == named;
        let chosen = if Some(first.key) == named {
            first
        } else {
            idle.find(is_named).unwrap_or(first)
        };
        let run = self.next_run(task);
        if self.start_saved(task, run, chosen.key) {
            self.start_trial((task, run), &spec, chosen);
            self.close_step(task.step);
        } else {
            self.record_intent(task, run, Some(chosen.key));
            reservations.hold(chosen.key, rank, task.step, chosen.free);
        }
        true
    }

    /// Starts a trial on an idle worker. The wait of the other trials of its step begins anew, so
    /// that steps take turns.
    fn start_trial(&mut self, run: (TaskKey, RunId), spec: &StepSpec, chosen: &mut Candidate) {
        let now = self.now;
        self.record_finding(run.0, run.1, Finding::Tried);
        self.start_run(run, true, spec, chosen);
        for task in self.waiting_trials(run.0.step) {
            if let Some(suspicion) = self.suspicion_of(task) {
                suspicion.not_before = suspicion.not_before.max(now);
            }
        }
        // No other task is placed on this worker in this pass.
        chosen.free = Resources::default();
    }

    /// Reserves up to `count` workers without reservations, those with the fewest booked
    /// processors, so that they become idle; returns how many.
    fn reserve_idle(
        &self,
        count: usize,
        rank: Rank,
        key: StepKey,
        reservations: &mut Reservations,
    ) -> usize {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let Some((spec, step)) = job.step(key) else {
            return 0;
        };
        let service = &job.spec.queue.service;
        let may_become_idle = self.may_become_idle(key, spec);
        // Workers with expired tickets count, too: the tickets are renewed later.
        let eligible = self.allowed_workers(job, step, Duration::ZERO);
        let eligible = eligible.into_iter().filter(|(worker, state)| {
            let fits = state.free_later().can_fit(&spec.booked());
            let fits = fits && !(may_become_idle && state.has_long_runs());
            let reserved = reservations.is_reserved(*worker);
            self.usable(state) && may_run(state, service, spec) && fits && !reserved
        });
        let mut eligible: Vec<_> = eligible.collect();
        eligible.sort_unstable_by_key(|(worker, state)| (state.total_booked.cpu, *worker));
        eligible.truncate(count);
        for (worker, state) in &eligible {
            reservations.hold(*worker, rank, key, state.free());
        }
        eligible.len()
    }

    /// Starts a gang that has suspects among its members, each suspect alone on a worker, unless
    /// there are too many of them or the gang has waited for [`MAX_GANG_WAIT`]. Returns false if
    /// the other members do not fit; true if the gang was started or has to wait for idle workers.
    pub(crate) fn place_suspected_gang(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        (trials, reservations): (Vec<TaskKey>, &mut Reservations),
    ) -> bool {
        let mut trials = trials;
        let overdue = trials.iter().all(|task| {
            let due = self.trial_due(*task).max(self.started_at);
            due + MAX_GANG_WAIT < self.now
        });
        if trials.len() > self.max_trials() || overdue {
            // It is unlikely that all of many suspects cause crashes, and enough workers may never
            // be idle at the same time, so they start like the other members. The number of
            // crashes bounds their starts.
            trials.clear();
        }
        if trials.len() > reservations.remaining_trials {
            return true;
        }
        let mut candidates = self.candidates(key, spec, reservations);
        sort_for_trials(&mut candidates);
        let idle = candidates.iter().filter(|candidate| candidate.idle).count();
        if idle < trials.len() {
            let reserved = self.reserve_idle(trials.len(), rank, key, reservations);
            reservations.remaining_trials -= reserved;
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
        reservations.remaining_trials -= trials.len();
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
