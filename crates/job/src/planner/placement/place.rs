//! Places waiting tasks on workers.

use std::time::Duration;

use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;
use crate::planner::Command;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::order::rank::Rank;
use crate::planner::placement::reservations::Reservations;
use crate::planner::placement::speed_order::SpeedNeed;
use crate::planner::state::job_state::JobState;
use crate::planner::state::job_state::Phase;
use crate::planner::state::job_state::StepState;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::state::roster::WorkerState;

impl Resources {
    /// Returns how many times `need` fits into these resources.
    #[must_use]
    pub fn fit_count(&self, need: &Resources) -> u64 {
        let times = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        times(self.cpu, need.cpu)
            .min(times(self.memory, need.memory))
            .min(times(self.gpu, need.gpu))
    }
}

/// A worker that may take tasks of a step, during one planning pass.
#[allow(clippy::struct_excessive_bools)] // independent facts
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    /// Free resources that are not reserved.
    pub(crate) free: Resources,
    /// Processors used by no run, fillers included, in thousandths of a core.
    unused_cpu: u64,
    /// Whether the worker has no runs.
    pub(crate) idle: bool,
    /// When the newest report of the worker arrived.
    pub(crate) last_report: Duration,
    /// Tasks of the step on the worker; counted only for steps with a limit per worker.
    tasks_here: u32,
    /// Whether the worker is in the rack that the step prefers, if any.
    in_rack: bool,
    /// Whether resources of the worker are reserved for another gang.
    reserved: bool,
    /// Number of consecutive failures of different jobs on the worker.
    recent_failures: u32,
    /// Whether the worker counts as slow.
    slow: bool,
    /// Position in the step's order of preference by speed; lower is better.
    pub(crate) position: i16,
}

impl Planner {
    /// Returns whether a worker may get new tasks.
    pub(crate) fn usable(&self, worker: &WorkerState) -> bool {
        let reachable = worker.claimed
            && !worker.unresponsive
            && !worker.unregistered
            && worker.reregistration.is_none();
        let reachable = reachable && worker.unknown_sizes == 0;
        let accepting = reachable && worker.trials == 0;
        accepting && !worker.info.draining && worker.paused_until <= self.now
    }

    /// Starts the waiting tasks that fit, in order of rank.
    pub(crate) fn place(&mut self) {
        self.begin_limits();
        self.overdue_gang = None;
        self.update_bands();
        self.overdue_gang = self.find_overdue_gang();
        let mut ranked: Vec<(Rank, StepKey)> = self
            .pending_steps
            .iter()
            .filter_map(|&key| Some((self.rank(key)?, key)))
            .collect();
        ranked.sort_unstable();
        let mut reservations = Reservations::default();
        self.pool_cpu = self.usable_cpu();
        self.update_headrooms();
        self.place_trials(&ranked, &mut reservations);
        for &(rank, key) in &ranked {
            let Some(spec) = self.step_spec(key) else {
                continue;
            };
            if !self.limit_admits(key) {
                self.hold_limit(rank, key);
                continue;
            }
            if !spec.gang {
                self.place_tasks(rank, key, &spec, &mut reservations);
                continue;
            }
            let in_time = rank.stage == 0;
            let handled = self.start_budget > 0
                && (self.place_gang(rank, key, &spec, &mut reservations)
                    || in_time && self.preempt_for_gang(rank, key, &spec, &mut reservations));
            if !handled {
                self.reserve_resources(rank, key, &spec, &mut reservations);
            }
        }
        self.reservations = reservations;
        self.update_forecast(&ranked);
    }

    /// Returns the specification of a step; `None` if its job or the step does not exist.
    pub(crate) fn step_spec(&self, key: StepKey) -> Option<StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.spec.steps.get(key.step as usize).cloned()
    }

    /// Returns the usable workers on which at least one task of a step fits.
    pub(crate) fn candidates(
        &self,
        key: StepKey,
        spec: &StepSpec,
        reservations: &Reservations,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some((_, step)) = job.step(key) else {
            return Vec::new();
        };
        let booked = spec.booked();
        let need = self.speed_need(key);
        let tight = need.is_some_and(SpeedNeed::tight);
        let valid_beyond = self.now + self.policy.ticket_margin;
        let mut found = Vec::new();
        for (worker_key, worker) in self.allowed_workers(job, step, valid_beyond) {
            let info = &worker.info;
            let free = reservations.remaining(worker_key, worker.free());
            if !free.can_fit(&booked) || !self.usable(worker) {
                continue;
            }
            if !may_run(worker, &job.spec.queue.service, spec) {
                continue;
            }
            found.push(Candidate {
                key: worker_key,
                free,
                unused_cpu: free.cpu.saturating_sub(worker.total_filler),
                idle: worker.runs.is_empty(),
                last_report: worker.last_report,
                tasks_here: tasks_on_worker(worker, key, spec),
                in_rack: spec.rack.is_empty() || info.labels.contains(&spec.rack),
                reserved: !tight && self.reservations.reserved_for_other(worker_key, key),
                recent_failures: worker.failure_streak,
                slow: self.slow(worker),
                position: self.speed_position(worker, need),
            });
        }
        found
    }

    /// Returns the workers that may run a step: all workers, or, if its queue uses the advice
    /// service, those with a ticket that is valid beyond the time `valid_beyond`.
    pub(crate) fn allowed_workers(
        &self,
        job: &JobState,
        step: &StepState,
        valid_beyond: Duration,
    ) -> Vec<(WorkerKey, &WorkerState)> {
        if job.spec.queue.advice.is_none() {
            return self.workers.iter().collect();
        }
        let permitted = step.advised.permits.iter();
        permitted
            .filter(|(_, (_, until))| *until > valid_beyond)
            .filter_map(|(&key, _)| Some((key, self.workers.get(key)?)))
            .collect()
    }

    /// Starts the waiting tasks of a step that is not a gang, as many as fit.
    fn place_tasks(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) {
        let mut candidates = self.candidates(key, spec, reservations);
        if candidates.is_empty() {
            return;
        }
        let mut waiting = self.waiting_tasks(key);
        let suspected = self.has_suspects(key);
        if suspected {
            waiting.retain(|task| self.may_share_worker(*task));
        }
        let prefers_slow = self.prefers_slow(key);
        for task in waiting {
            if self.start_budget == 0 {
                return;
            }
            if !self.limit_admits(key) {
                self.hold_limit(rank, key);
                return;
            }
            if suspected && self.awaits_save(task) {
                continue;
            }
            let named = self.intended_worker(task).filter(|_| suspected);
            let fits = |candidate: &Candidate| self.fits(candidate, task, spec);
            let at_named = named.and_then(|named| {
                let mut candidates = candidates.iter();
                candidates.position(|candidate| candidate.key == named && fits(candidate))
            });
            let chosen =
                at_named.or_else(|| self.choose_worker(&candidates, task, spec, prefers_slow));
            let Some(index) = chosen else {
                return;
            };
            let run = self.next_run(task);
            let candidate = &mut candidates[index];
            if suspected && !self.start_saved(task, run, candidate.key) {
                self.record_intent(task, run, Some(candidate.key));
                reservations.hold(candidate.key, rank, key, spec.booked());
                candidate.free = candidate.free.minus(&spec.booked());
                continue;
            }
            self.start_run((task, run), false, spec, candidate);
        }
        self.close_step(key);
    }

    /// Chooses the best worker for a task: workers without reservations for other gangs are
    /// preferred, then those in the preferred rack, with the fewest recent failures, of the
    /// preferred speed (see [`Planner::prefers_slow`]) and with the least free processors, which
    /// leaves whole workers for large tasks and gangs. A filler goes where the most processors
    /// are unused.
    fn choose_worker(
        &self,
        candidates: &[Candidate],
        task: TaskKey,
        spec: &StepSpec,
        prefers_slow: bool,
    ) -> Option<usize> {
        let tightness = |candidate: &Candidate| {
            if spec.filler {
                u64::MAX - candidate.unused_cpu
            } else {
                candidate.free.cpu
            }
        };
        let fitting = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.fits(candidate, task, spec));
        let best = fitting.min_by_key(|(_, candidate)| {
            let wrong_speed = candidate.slow != prefers_slow;
            (
                candidate.reserved,
                !candidate.in_rack,
                candidate.recent_failures,
                candidate.position,
                wrong_speed,
                tightness(candidate),
            )
        });
        best.map(|(index, _)| index)
    }

    /// Returns whether a task may be placed on a candidate.
    fn fits(&self, candidate: &Candidate, task: TaskKey, spec: &StepSpec) -> bool {
        let at_limit = spec.worker_limit > 0 && candidate.tasks_here >= spec.worker_limit;
        let already_here = self.workers[candidate.key].runs.contains_key(&task);
        candidate.free.can_fit(&spec.booked()) && !at_limit && !already_here
    }

    /// Starts all members of a gang, or none. Returns whether the gang needs no reservation,
    /// because it has started or does not wait for resources.
    fn place_gang(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) -> bool {
        let tasks = self.waiting_tasks(key);
        if tasks.len() < spec.count as usize {
            // Members of the previous run have not ended yet.
            return true;
        }
        let suspected = self.has_suspects(key);
        if suspected && !tasks.iter().all(|task| self.may_start(*task)) {
            return true;
        }
        let trials = self.waiting_trials(key);
        if !trials.is_empty() {
            return self.place_suspected_gang(rank, key, spec, (trials, reservations));
        }
        let mut candidates = self.candidates(key, spec, reservations);
        self.order_for_gang(key, spec, &mut candidates, tasks.len());
        let Some(slots) = assign_slots(&candidates, tasks.len(), spec) else {
            return false;
        };
        let run = tasks.iter().map(|&task| self.next_run(task)).max();
        let run = run.unwrap_or(self.run_base + 1);
        for (&task, index) in tasks.iter().zip(slots) {
            self.start_run((task, run), false, spec, &mut candidates[index]);
        }
        self.close_step(key);
        true
    }

    /// Returns the waiting tasks of a step; none if its round is not open.
    pub(crate) fn waiting_tasks(&self, key: StepKey) -> Vec<TaskKey> {
        let job = self.jobs.get(&key.job);
        let Some((_, step)) = job.and_then(|job| job.step(key)) else {
            return Vec::new();
        };
        (0..)
            .zip(&step.tasks)
            .filter(|(_, task)| task.phase == Phase::Waiting)
            .map(|(index, _)| TaskKey { step: key, index })
            .collect()
    }

    /// Returns the number for the next run of a task.
    pub(crate) fn next_run(&self, task: TaskKey) -> RunId {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        let state = step.and_then(|(_, step)| step.tasks.get(task.index as usize));
        let last = state.map_or(0, |state| state.run);
        last.max(self.run_base).saturating_add(1)
    }

    /// Starts a run on a candidate worker. For a trial, the worker gets no other work.
    pub(crate) fn start_run(
        &mut self,
        (task, run): (TaskKey, RunId),
        trial: bool,
        spec: &StepSpec,
        candidate: &mut Candidate,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let Some((_, step)) = job.step_mut(task.step) else {
            return;
        };
        let checkpoint_of = if spec.gang { 0 } else { task.index as usize };
        let checkpoint = step.tasks[checkpoint_of].checkpoint.clone();
        let ticket = step.advised.permits.get(&candidate.key);
        let ticket = ticket.map(|(text, _)| text.clone());
        let state = &mut step.tasks[task.index as usize];
        state.phase = Phase::Active(candidate.key, run);
        state.run = run;
        let organisation = job.organisation;
        let priority = job.spec.queue.priority;
        let (booked, filler_cpu) = spec.booked_and_filler();
        candidate.free = candidate.free.minus(&booked);
        candidate.unused_cpu = candidate.unused_cpu.saturating_sub(spec.need.cpu);
        candidate.tasks_here += 1;
        let placed = PlacedRun {
            run,
            booked,
            filler_cpu,
            organisation,
            priority,
            unknown_size: false,
            phase: RunPhase::Sent,
            phase_since: self.now,
            percent: 0,
            progressed_at: self.now,
            late_expiry: self.late_run_expiry(candidate.key),
            checkpoint: String::new(),
            from_start: checkpoint.is_empty(),
            long_running: spec.long_running,
            trial,
        };
        self.book_run(candidate.key, task, placed);
        if let Some(headroom) = self.headrooms.get_mut(candidate.key) {
            headroom.free = headroom.free.minus(&booked);
        }
        // A start command renews the worker's lease.
        self.extend_lease(candidate.key);
        self.start_budget = self.start_budget.saturating_sub(1);
        self.started_jobs.insert(task.step.job);
        self.bands.turns.count_start(task.step);
        self.commands.push(Command::Start {
            worker: candidate.key,
            task,
            run,
            payload,
            checkpoint,
            ticket,
        });
    }

    /// Removes a step from the pending ones if none of its tasks waits.
    pub(crate) fn close_step(&mut self, key: StepKey) {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        if step.is_none_or(|(_, step)| step.waiting() == 0) {
            self.pending_steps.remove(&key);
        }
    }
}

/// Returns whether a worker's service and labels allow it to run a step.
pub(crate) fn may_run(worker: &WorkerState, service: &str, spec: &StepSpec) -> bool {
    let labels = &worker.info.labels;
    worker.info.service == service && (spec.label.is_empty() || labels.contains(&spec.label))
}

/// Returns the number of tasks of a step on a worker; 0 for steps without a limit per worker.
pub(crate) fn tasks_on_worker(worker: &WorkerState, key: StepKey, spec: &StepSpec) -> u32 {
    if spec.worker_limit == 0 {
        return 0;
    }
    let tasks_on_worker = worker.runs.keys().filter(|task| task.step == key);
    u32::try_from(tasks_on_worker.count()).unwrap_or(u32::MAX)
}

/// Assigns a candidate, by index, to each of `count` members, or returns `None` if they do not
/// all fit. Other things being equal, fast workers are preferred, and of these the emptiest, so
/// that a gang uses few workers.
pub(crate) fn assign_slots(
    candidates: &[Candidate],
    count: usize,
    spec: &StepSpec,
) -> Option<Vec<usize>> {
    let booked = spec.booked();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&index| {
        let candidate = &candidates[index];
        let most_free = std::cmp::Reverse(candidate.free.cpu);
        (
            candidate.reserved,
            !candidate.in_rack,
            candidate.recent_failures,
            candidate.position,
            candidate.slow,
            most_free,
        )
    });
    let mut slots = Vec::with_capacity(count);
    for index in order {
        let limit = if spec.worker_limit > 0 {
            u64::from(
                spec.worker_limit
                    .saturating_sub(candidates[index].tasks_here),
            )
        } else {
            u64::MAX
        };
        let fits = candidates[index].free.fit_count(&booked).min(limit);
        for _ in 0..fits {
            if slots.len() == count {
                return Some(slots);
            }
            slots.push(index);
        }
    }
    (slots.len() == count).then_some(slots)
}
