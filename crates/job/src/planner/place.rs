//! Which waiting task starts where.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Order;
use super::Planner;
use super::WorkerKey;
use super::job_state::Phase;
use super::roster::Placed;
use super::roster::RunPhase;
use super::roster::WorkerState;
use crate::JobId;
use crate::Outcome;
use crate::Room;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;

/// Order in which steps are served; lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// 0 while the objective can be met, 1 while late is still worth
    /// something, 2 after that.
    stage: u8,
    priority: u32,
    due: Duration,
}

/// Workers that are kept free, and for which gang.
pub(super) type Kept = HashMap<WorkerKey, (Rank, StepKey)>;

/// A late answer is worth something up to this multiple of the objective.
const LATE_FACTOR: u32 = 3;

/// Share of the estimated work that must still fit before the objective for a
/// job to count as in time: estimates are off by up to a factor of two.
const HOPE: f64 = 0.5;

/// Share of the workers that may be kept free for gangs at the same time; the
/// first gang gets what it needs.
const MOST_KEPT: f64 = 0.4;

impl Room {
    /// How many times `need` fits.
    #[must_use]
    pub fn fits(&self, need: &Room) -> u64 {
        let times = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        times(self.cpu, need.cpu)
            .min(times(self.memory, need.memory))
            .min(times(self.gpu, need.gpu))
    }
}

/// A worker that may take tasks of a step, during one pass.
struct Candidate {
    key: WorkerKey,
    free: Room,
    /// Processors that nothing uses, fillers included.
    spare: u64,
    /// Tasks of the step there; counted only where they are bounded.
    here: u32,
    near: bool,
    /// It is being kept free for another gang.
    kept: bool,
    strikes: u32,
    ticket: Option<String>,
}

impl Planner {
    pub(super) fn usable(&self, worker: &WorkerState) -> bool {
        let there = worker.claimed && !worker.silent && !worker.gone && worker.unsized_runs == 0;
        there && !worker.info.draining && worker.rest <= self.now
    }

    pub(super) fn rank(&self, key: StepKey) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        if job.old && self.recovery.is_some() {
            return None;
        }
        let objective = job.spec.objective();
        let (spec, _) = job.step(key)?;
        let due = job.born + objective;
        let ready = self.now + spec.estimate.mul_f64(HOPE);
        let stage = if ready <= due || self.elder == Some(key) {
            0
        } else if ready <= job.born + objective * LATE_FACTOR {
            1
        } else {
            2
        };
        Some(Rank {
            stage,
            priority: job.spec.queue.priority,
            due,
        })
    }

    /// The gang that has waited longest beyond its objective. It keeps its rank:
    /// otherwise tasks that are still in time take each processor that becomes
    /// free, and a gang that few workers may run never starts. Only one, so that
    /// under overload the late do not make all others late.
    fn find_elder(&self) -> Option<StepKey> {
        let late = self.open.iter().filter(|key| {
            let gang = self.spec_of(**key).is_some_and(|spec| spec.gang);
            gang && self.rank(**key).is_some_and(|rank| rank.stage > 0)
        });
        late.min_by_key(|key| self.jobs.get(&key.job).map(|job| job.born))
            .copied()
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
        let mut kept = Kept::new();
        #[allow(clippy::cast_precision_loss)]
        let most = self.workers.len() as f64 * MOST_KEPT;
        for (rank, key) in ranked {
            let Some(spec) = self.spec_of(key) else {
                continue;
            };
            if !spec.gang {
                self.place_tasks(key, &spec, &kept);
            } else if !self.place_gang(key, &spec, &kept) {
                self.keep_room(rank, key, &spec, &mut kept, most);
            }
        }
        self.kept = kept;
    }

    fn spec_of(&self, key: StepKey) -> Option<StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.spec.steps.get(key.step as usize).cloned()
    }

    fn candidates(&self, key: StepKey, spec: &StepSpec, kept: &Kept) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some((_, step)) = job.step(key) else {
            return Vec::new();
        };
        let booked = spec.booked();
        let advised = job.spec.queue.advice.is_some();
        let soon = self.now + self.policy.ticket_margin;
        let mut found = Vec::new();
        let mut add = |worker_key: WorkerKey, ticket: Option<&String>| {
            let Some(worker) = self.workers.get(worker_key) else {
                return;
            };
            let info = &worker.info;
            let free = worker.free();
            if !free.holds(&booked) || kept.contains_key(&worker_key) || !self.usable(worker) {
                return;
            }
            if info.service != job.spec.queue.service {
                return;
            }
            if !spec.label.is_empty() && !info.labels.contains(&spec.label) {
                return;
            }
            let same = |task: &&TaskKey| task.step == key;
            let here = if spec.spread > 0 {
                worker.runs.keys().filter(same).count()
            } else {
                0
            };
            found.push(Candidate {
                key: worker_key,
                free,
                spare: free.cpu.saturating_sub(worker.fillers),
                here: u32::try_from(here).unwrap_or(u32::MAX),
                near: spec.rack.is_empty() || info.labels.contains(&spec.rack),
                kept: self
                    .kept
                    .get(&worker_key)
                    .is_some_and(|(_, gang)| *gang != key),
                strikes: worker.strikes,
                ticket: ticket.cloned(),
            });
        };
        if advised {
            for (&worker_key, (ticket, until)) in &step.advised.good {
                if *until > soon {
                    add(worker_key, Some(ticket));
                }
            }
        } else {
            for worker_key in self.workers.keys() {
                add(worker_key, None);
            }
        }
        found
    }

    fn place_tasks(&mut self, key: StepKey, spec: &StepSpec, kept: &Kept) {
        let mut candidates = self.candidates(key, spec, kept);
        if candidates.is_empty() {
            return;
        }
        let waiting = self.waiting_tasks(key);
        for task in waiting {
            let Some(at) = self.choose(&candidates, task, spec) else {
                return;
            };
            let run = self.next_run(task);
            self.start(task, run, spec, &mut candidates[at]);
        }
        self.close_step(key);
    }

    /// The best worker for one task: sound and near first, then the tightest
    /// fit, which leaves whole workers for large tasks and gangs. A filler
    /// goes where the most processors are unused.
    fn choose(&self, candidates: &[Candidate], task: TaskKey, spec: &StepSpec) -> Option<usize> {
        let booked = spec.booked();
        let fits = |candidate: &Candidate| {
            let bounded = spec.spread > 0 && candidate.here >= spec.spread;
            let again = self.workers[candidate.key].runs.contains_key(&task);
            candidate.free.holds(&booked) && !bounded && !again
        };
        let tightness = |candidate: &Candidate| {
            if spec.filler {
                u64::MAX - candidate.spare
            } else {
                candidate.free.cpu
            }
        };
        let fitting = candidates.iter().enumerate().filter(|(_, one)| fits(one));
        let best =
            fitting.min_by_key(|(_, one)| (one.kept, !one.near, one.strikes, tightness(one)));
        best.map(|(at, _)| at)
    }

    /// Starts a gang whole, or not at all.
    fn place_gang(&mut self, key: StepKey, spec: &StepSpec, kept: &Kept) -> bool {
        let tasks = self.waiting_tasks(key);
        if tasks.len() < spec.count as usize {
            // Members of the last run are still ending.
            return true;
        }
        let mut candidates = self.candidates(key, spec, kept);
        let Some(seats) = seats(&candidates, tasks.len(), spec) else {
            return false;
        };
        let run = tasks.iter().map(|&task| self.next_run(task)).max();
        let run = run.unwrap_or(self.run_base + 1);
        for (&task, at) in tasks.iter().zip(seats) {
            self.start(task, run, spec, &mut candidates[at]);
        }
        self.close_step(key);
        true
    }

    /// Keeps workers free of less urgent work for a gang that does not fit:
    /// small tasks would otherwise fill each hole as it opens, and a large
    /// gang would never start.
    ///
    /// Less urgent tasks stay off these workers, more urgent ones take them
    /// last: on a quiet day, a gang that needed a quarter of the pool waited
    /// 27 s while counter checks refilled it.
    fn keep_room(&self, rank: Rank, key: StepKey, spec: &StepSpec, kept: &mut Kept, most: f64) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some((_, step)) = job.step(key) else {
            return;
        };
        let booked = spec.booked();
        let advised = job.spec.queue.advice.is_some();
        let mut able: Vec<(u64, WorkerKey, u64)> = Vec::new();
        for (worker_key, worker) in &self.workers {
            let good = !advised || step.advised.good.contains_key(&worker_key);
            if !good || kept.contains_key(&worker_key) || !self.usable(worker) {
                continue;
            }
            let fits = worker.info.capacity.fits(&booked);
            able.push((worker.free().cpu, worker_key, fits));
        }
        able.sort_by_key(|&(free, ..)| std::cmp::Reverse(free));
        let mut seats = 0;
        let mut chosen = Vec::new();
        for (_, worker_key, fits) in able {
            if seats >= u64::from(spec.count) {
                break;
            }
            seats += fits;
            chosen.push(worker_key);
        }
        #[allow(clippy::cast_precision_loss)]
        let all = (kept.len() + chosen.len()) as f64;
        // Too few workers in all: keeping them would not help.
        let enough = seats >= u64::from(spec.count);
        if enough && (kept.is_empty() || all <= most) {
            kept.extend(chosen.into_iter().map(|worker| (worker, (rank, key))));
        }
    }

    fn waiting_tasks(&self, key: StepKey) -> Vec<TaskKey> {
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

    fn next_run(&self, task: TaskKey) -> RunId {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        let state = step.and_then(|(_, step)| step.tasks.get(task.index as usize));
        let last = state.map_or(0, |state| state.run);
        last.max(self.run_base) + 1
    }

    fn start(&mut self, task: TaskKey, run: RunId, spec: &StepSpec, seat: &mut Candidate) {
        let (booked, filler) = spec.takes();
        seat.free = seat.free.less(&booked);
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
            checkpoint: String::new(),
        };
        self.workers[seat.key].book(task, placed);
        self.lease_sent(seat.key);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let first = !std::mem::replace(&mut job.started, true);
        let waited = first.then(|| self.now.saturating_sub(job.born));
        let payload = job.spec.payload.clone();
        let Some((_, step)) = job.step_mut(task.step) else {
            return;
        };
        let checkpoint_of = if spec.gang { 0 } else { task.index as usize };
        let checkpoint = step.tasks[checkpoint_of].checkpoint.clone();
        let state = &mut step.tasks[task.index as usize];
        state.phase = Phase::Active(seat.key, run);
        state.run = run;
        self.orders.push(Order::Start {
            worker: seat.key,
            task,
            run,
            payload,
            checkpoint,
            ticket: seat.ticket.clone(),
            waited,
        });
    }

    /// Takes a step off the open ones once none of its tasks waits.
    fn close_step(&mut self, key: StepKey) {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        if step.is_none_or(|(_, step)| step.waiting() == 0) {
            self.open.remove(&key);
        }
    }

    /// Ends jobs that no worker could ever take, however empty: their callers
    /// learn at once, and their tasks do not stand in the way of others.
    pub(super) fn refuse_impossible(&mut self) {
        if self.recovery.is_some() || self.now < self.settled {
            return;
        }
        let mut largest: HashMap<&str, Vec<(&Room, &Vec<String>)>> = HashMap::new();
        for worker in self.workers.values() {
            let entry = largest.entry(worker.info.service.as_str()).or_default();
            entry.push((&worker.info.capacity, &worker.info.labels));
        }
        let hopeless = |key: &&StepKey| {
            let Some(job) = self.jobs.get(&key.job) else {
                return false;
            };
            let Some((spec, step)) = job.step(**key) else {
                return false;
            };
            let Some(pool) = largest.get(job.spec.queue.service.as_str()) else {
                return false;
            };
            let booked = spec.booked();
            let able = pool
                .iter()
                .filter(|(_, labels)| spec.label.is_empty() || labels.contains(&spec.label));
            let seats: u64 = able.map(|(room, _)| room.fits(&booked)).sum();
            let needed = if spec.gang {
                step.tasks.len() as u64
            } else {
                1
            };
            seats < needed
        };
        let jobs: HashSet<JobId> = self
            .open
            .iter()
            .filter(hopeless)
            .map(|key| key.job)
            .collect();
        for id in jobs {
            self.finish(id, Outcome::Failed);
        }
    }
}

/// Seats for `count` members, or nothing if they do not all fit. The emptiest
/// workers first, so that a gang touches few of them.
fn seats(candidates: &[Candidate], count: usize, spec: &StepSpec) -> Option<Vec<usize>> {
    let booked = spec.booked();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| {
        let one = &candidates[at];
        let room = std::cmp::Reverse(one.free.cpu);
        (one.kept, !one.near, one.strikes, room)
    });
    let mut seats = Vec::with_capacity(count);
    for at in order {
        let bound = if spec.spread > 0 {
            u64::from(spec.spread.saturating_sub(candidates[at].here))
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
