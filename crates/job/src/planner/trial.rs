//! Trials of suspected tasks: each alone on a worker.
//!
//! Beside others, a task that takes its worker down takes their work with it, and a
//! crash tells nothing of which of them did it.

use std::cmp::Reverse;
use std::time::Duration;

use super::Finding;
use super::Planner;
use super::keep::Kept;
use super::place::Candidate;
use super::place::may_run;
use super::place::seats;
use super::rank::Rank;
use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;

/// One worker in so many, at the least one, is kept free for trials or runs one: a
/// trial takes a whole worker from sound work.
const WORKERS_A_TRIAL: usize = 12;

/// Where many are idle, one of so many of these may run a trial all the same.
const IDLE_A_TRIAL: usize = 2;

/// Puts idle workers first, and of them those that were heard of last: a trial on a
/// worker that has just gone down for another reason would count against its task, and
/// a sound one be given up.
fn fit_for_trials(candidates: &mut [Candidate]) {
    candidates.sort_by_key(|one| (!one.idle, Reverse(one.heard)));
}

impl Planner {
    /// How many workers may be kept for trials, or run one.
    fn most_trials(&self) -> usize {
        let usable = self.workers.values().filter(|worker| self.usable(worker));
        let idle = usable.filter(|worker| worker.runs.is_empty()).count();
        (self.workers.len() / WORKERS_A_TRIAL)
            .max(idle / IDLE_A_TRIAL)
            .max(1)
    }

    /// Starts the trials that may start, and keeps workers free for others.
    pub(super) fn place_trials(&mut self, ranked: &[(Rank, StepKey)], kept: &mut Kept) {
        if self.suspects.tasks.is_empty() {
            return;
        }
        let trials = self.workers.values().filter(|worker| worker.trials > 0);
        let mut left = self.most_trials().saturating_sub(trials.count());
        for &(rank, key) in ranked {
            self.record_ahead(key);
            let Some(spec) = self.spec_of(key).filter(|spec| !spec.gang) else {
                continue;
            };
            for task in self.waiting_trials(key) {
                if left == 0 || !self.may_start(task) {
                    continue;
                }
                left -= 1;
                let mut candidates = self.candidates(key, &spec, kept);
                fit_for_trials(&mut candidates);
                if let Some(at) = candidates.iter().position(|one| one.idle) {
                    let run = self.next_run(task);
                    self.try_alone((task, run), &spec, &mut candidates[at]);
                } else {
                    self.keep_idle(1, rank, key, &spec, kept);
                }
            }
            self.close_step(key);
        }
    }

    fn try_alone(&mut self, run: (TaskKey, RunId), spec: &StepSpec, seat: &mut Candidate) {
        self.note(run.0, run.1, Finding::Tried);
        self.start(run, true, spec, seat);
        // Nothing else goes there in this pass.
        seat.free = Resources::default();
    }

    /// Keeps the workers that are nearest to being idle from getting other work.
    fn keep_idle(&self, count: usize, rank: Rank, key: StepKey, spec: &StepSpec, kept: &mut Kept) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some((_, step)) = job.step(key) else {
            return;
        };
        let service = &job.spec.queue.service;
        // A ticket that is over is renewed once there is room.
        let able = self.permitted(job, step, Duration::ZERO);
        let able = able.into_iter().filter(|(worker, state)| {
            let fits = state.info.capacity.can_fit(&spec.booked());
            let taken = kept.holds(*worker, key);
            self.usable(state) && may_run(state, service, spec) && fits && !taken
        });
        let mut able: Vec<_> = able.collect();
        able.sort_unstable_by_key(|(worker, state)| (state.used.cpu, *worker));
        for (worker, state) in able.into_iter().take(count) {
            kept.keep(worker, rank, key, state.free());
        }
    }

    /// Starts a gang with suspects among its members, each of them alone on a worker.
    /// False if the others do not fit; true also if it has to wait for idle workers.
    pub(super) fn place_suspected_gang(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        (trials, kept): (Vec<TaskKey>, &mut Kept),
    ) -> bool {
        let mut trials = trials;
        if trials.len() > self.most_trials() {
            // So many cannot all be to blame, and so many idle workers may never be had.
            trials.clear();
        }
        let mut candidates = self.candidates(key, spec, kept);
        fit_for_trials(&mut candidates);
        let idle = candidates.iter().filter(|one| one.idle).count();
        if idle < trials.len() {
            self.keep_idle(trials.len(), rank, key, spec, kept);
            return true;
        }
        let mut others = candidates.split_off(trials.len());
        let mut sound = self.waiting_tasks(key);
        let run = sound.iter().map(|task| self.next_run(*task)).max();
        let run = run.unwrap_or_default();
        sound.retain(|task| !trials.contains(task));
        let Some(seats) = seats(&others, sound.len(), spec) else {
            return false;
        };
        for (task, seat) in trials.into_iter().zip(&mut candidates) {
            self.try_alone((task, run), spec, seat);
        }
        for (task, at) in sound.into_iter().zip(seats) {
            self.start((task, run), false, spec, &mut others[at]);
        }
        self.close_step(key);
        true
    }
}
