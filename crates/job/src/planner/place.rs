//! Which waiting task starts where.

use std::time::Duration;

use super::Order;
use super::Planner;
use super::WorkerKey;
use super::job_state::JobState;
use super::job_state::Phase;
use super::job_state::StepState;
use super::keep::Kept;
use super::rank::Rank;
use super::roster::Placed;
use super::roster::RunPhase;
use super::roster::WorkerState;
use crate::Resources;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;

impl Resources {
    /// How many times `need` fits.
    #[must_use]
    pub fn fits(&self, need: &Resources) -> u64 {
        let times = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        times(self.cpu, need.cpu)
            .min(times(self.memory, need.memory))
            .min(times(self.gpu, need.gpu))
    }
}

/// A worker that may take tasks of a step, during one pass.
#[allow(clippy::struct_excessive_bools)] // independent facts
pub(super) struct Candidate {
    pub(super) key: WorkerKey,
    pub(super) free: Resources,
    /// Processors that nothing uses, fillers included.
    spare: u64,
    /// Nothing runs there.
    pub(super) idle: bool,
    /// When it was last heard of.
    pub(super) heard: Duration,
    /// Tasks of the step there; counted only where they are bounded.
    here: u32,
    near: bool,
    /// It is being kept free for another gang.
    kept: bool,
    strikes: u32,
    slow: bool,
}

impl Planner {
    pub(super) fn usable(&self, worker: &WorkerState) -> bool {
        let there = worker.claimed && !worker.silent && !worker.gone && worker.heir.is_none();
        let there = there && worker.unsized_runs == 0;
        let open = there && worker.trials == 0;
        open && !worker.info.draining && worker.rest <= self.now
    }

    /// Places what can be placed, the most urgent first.
    pub(super) fn place(&mut self) {
        self.elder = None;
        self.elder = self.find_elder();
        let mut ranked: Vec<(Rank, StepKey)> = self
            .open
            .iter()
            .filter_map(|&key| Some((self.rank(key)?, key)))
            .collect();
        ranked.sort_unstable();
        let mut kept = Kept::default();
        self.pool_cpu = self.usable_cpu();
        self.find_reaches();
        self.place_trials(&ranked, &mut kept);
        for (rank, key) in ranked {
            let Some(spec) = self.spec_of(key) else {
                continue;
            };
            if !spec.gang {
                self.place_tasks(key, &spec, &kept);
                continue;
            }
            let in_time = rank.stage == 0;
            let seated = self.start_room > 0
                && (self.place_gang(rank, key, &spec, &mut kept)
                    || in_time && self.make_room(rank, key, &spec, &mut kept));
            if !seated {
                self.keep_room(rank, key, &spec, &mut kept);
            }
        }
        self.kept = kept;
    }

    pub(super) fn spec_of(&self, key: StepKey) -> Option<StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.spec.steps.get(key.step as usize).cloned()
    }

    pub(super) fn candidates(&self, key: StepKey, spec: &StepSpec, kept: &Kept) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some((_, step)) = job.step(key) else {
            return Vec::new();
        };
        let booked = spec.booked();
        let soon = self.now + self.policy.ticket_margin;
        let mut found = Vec::new();
        for (worker_key, worker) in self.permitted(job, step, soon) {
            let info = &worker.info;
            let free = kept.rest(worker_key, worker.free());
            if !free.can_fit(&booked) || !self.usable(worker) {
                continue;
            }
            if !may_run(worker, &job.spec.queue.service, spec) {
                continue;
            }
            found.push(Candidate {
                key: worker_key,
                free,
                spare: free.cpu.saturating_sub(worker.fillers),
                idle: worker.runs.is_empty(),
                heard: worker.heard,
                here: members(worker, key, spec),
                near: spec.rack.is_empty() || info.labels.contains(&spec.rack),
                kept: self.kept.holds(worker_key, key),
                strikes: worker.strikes,
                slow: self.slow(worker),
            });
        }
        found
    }

    /// Workers that may run a step: all, or those with a ticket that lasts
    /// beyond `soon`.
    pub(super) fn permitted(
        &self,
        job: &JobState,
        step: &StepState,
        soon: Duration,
    ) -> Vec<(WorkerKey, &WorkerState)> {
        if job.spec.queue.advice.is_none() {
            return self.workers.iter().collect();
        }
        let good = step.advised.good.iter();
        good.filter(|(_, (_, until))| *until > soon)
            .filter_map(|(&key, _)| Some((key, self.workers.get(key)?)))
            .collect()
    }

    fn place_tasks(&mut self, key: StepKey, spec: &StepSpec, kept: &Kept) {
        let mut candidates = self.candidates(key, spec, kept);
        if candidates.is_empty() {
            return;
        }
        let mut waiting = self.waiting_tasks(key);
        if self.suspected(key) {
            waiting.retain(|task| self.starts_beside_others(*task));
        }
        let tolerant = self.tolerant(key);
        for task in waiting {
            if self.start_room == 0 {
                return;
            }
            let Some(at) = self.choose(&candidates, task, spec, tolerant) else {
                return;
            };
            let run = self.next_run(task);
            self.start((task, run), false, spec, &mut candidates[at]);
        }
        self.close_step(key);
    }

    /// The best worker for one task: sound and near first, of the pace that it
    /// needs (see [`Planner::tolerant`]), then the tightest fit, which leaves whole workers for large tasks and gangs. A filler
    /// goes where the most processors are unused.
    fn choose(
        &self,
        candidates: &[Candidate],
        task: TaskKey,
        spec: &StepSpec,
        tolerant: bool,
    ) -> Option<usize> {
        let booked = spec.booked();
        let fits = |candidate: &Candidate| {
            let bounded = spec.worker_limit > 0 && candidate.here >= spec.worker_limit;
            let again = self.workers[candidate.key].runs.contains_key(&task);
            candidate.free.can_fit(&booked) && !bounded && !again
        };
        let tightness = |candidate: &Candidate| {
            if spec.filler {
                u64::MAX - candidate.spare
            } else {
                candidate.free.cpu
            }
        };
        let fitting = candidates.iter().enumerate().filter(|(_, one)| fits(one));
        let best = fitting.min_by_key(|(_, one)| {
            let pace = one.slow != tolerant;
            (one.kept, !one.near, one.strikes, pace, tightness(one))
        });
        best.map(|(at, _)| at)
    }

    /// Starts a gang whole, or not at all.
    fn place_gang(&mut self, rank: Rank, key: StepKey, spec: &StepSpec, kept: &mut Kept) -> bool {
        let tasks = self.waiting_tasks(key);
        if tasks.len() < spec.count as usize {
            // Members of the last run are still ending.
            return true;
        }
        let suspected = self.suspected(key);
        if suspected && !tasks.iter().all(|task| self.may_start(*task)) {
            return true;
        }
        let trials = self.waiting_trials(key);
        if !trials.is_empty() {
            return self.place_suspected_gang(rank, key, spec, (trials, kept));
        }
        let mut candidates = self.candidates(key, spec, kept);
        let Some(seats) = seats(&candidates, tasks.len(), spec) else {
            return false;
        };
        let run = tasks.iter().map(|&task| self.next_run(task)).max();
        let run = run.unwrap_or(self.run_base + 1);
        for (&task, at) in tasks.iter().zip(seats) {
            self.start((task, run), false, spec, &mut candidates[at]);
        }
        self.close_step(key);
        true
    }

    pub(super) fn waiting_tasks(&self, key: StepKey) -> Vec<TaskKey> {
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

    pub(super) fn next_run(&self, task: TaskKey) -> RunId {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        let state = step.and_then(|(_, step)| step.tasks.get(task.index as usize));
        let last = state.map_or(0, |state| state.run);
        last.max(self.run_base) + 1
    }

    /// Starts a run on a seat; a trial alone.
    pub(super) fn start(
        &mut self,
        (task, run): (TaskKey, RunId),
        trial: bool,
        spec: &StepSpec,
        seat: &mut Candidate,
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
        let ticket = step.advised.good.get(&seat.key);
        let ticket = ticket.map(|(text, _)| text.clone());
        let state = &mut step.tasks[task.index as usize];
        state.phase = Phase::Active(seat.key, run);
        state.run = run;
        let (booked, filler) = spec.booked_and_filler();
        seat.free = seat.free.minus(&booked);
        seat.spare = seat.spare.saturating_sub(spec.need.cpu);
        seat.here += 1;
        let placed = Placed {
            run,
            booked,
            filler,
            unsized_run: false,
            phase: RunPhase::Sent,
            since: self.now,
            percent: 0,
            moved: self.now,
            unsure: self.unsure(seat.key),
            checkpoint: String::new(),
            whole: checkpoint.is_empty(),
            trial,
        };
        self.workers[seat.key].book(task, placed);
        if let Some(reach) = self.reaches.get_mut(seat.key) {
            reach.room = reach.room.minus(&booked);
        }
        // A start renews the lease of its worker.
        self.lease_sent(seat.key);
        self.start_room = self.start_room.saturating_sub(1);
        self.orders.push(Order::Start {
            worker: seat.key,
            task,
            run,
            payload,
            checkpoint,
            ticket,
        });
    }

    /// Takes a step off the open ones once none of its tasks waits.
    pub(super) fn close_step(&mut self, key: StepKey) {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        if step.is_none_or(|(_, step)| step.waiting() == 0) {
            self.open.remove(&key);
        }
    }
}

/// Whether a worker's service and labels let it run a step.
pub(super) fn may_run(worker: &WorkerState, service: &str, spec: &StepSpec) -> bool {
    let labels = &worker.info.labels;
    worker.info.service == service && (spec.label.is_empty() || labels.contains(&spec.label))
}

/// Tasks of a step on a worker; counted only where they are bounded.
pub(super) fn members(worker: &WorkerState, key: StepKey, spec: &StepSpec) -> u32 {
    if spec.worker_limit == 0 {
        return 0;
    }
    let members = worker.runs.keys().filter(|task| task.step == key);
    u32::try_from(members.count()).unwrap_or(u32::MAX)
}

/// Seats for `count` members, or nothing if they do not all fit. Fast workers
/// first, and the emptiest of them, so that a gang touches few of them.
pub(super) fn seats(candidates: &[Candidate], count: usize, spec: &StepSpec) -> Option<Vec<usize>> {
    let booked = spec.booked();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| {
        let one = &candidates[at];
        let room = std::cmp::Reverse(one.free.cpu);
        (one.kept, !one.near, one.strikes, one.slow, room)
    });
    let mut seats = Vec::with_capacity(count);
    for at in order {
        let bound = if spec.worker_limit > 0 {
            u64::from(spec.worker_limit.saturating_sub(candidates[at].here))
        } else {
            u64::MAX
        };
        let fits = candidates[at].free.fits(&booked).min(bound);
        for _ in 0..fits {
            if seats.len() == count {
                return Some(seats);
            }
            seats.push(at);
        }
    }
    (seats.len() == count).then_some(seats)
}
