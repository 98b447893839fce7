//! Workers as the planner tracks them: room, runs, lease and health.

use std::collections::HashMap;
use std::time::Duration;

use super::Loss;
use super::LostRun;
use super::Order;
use super::Planner;
use super::StopReason;
use super::WorkerKey;
use super::speed::Speed;
use crate::JobId;
use crate::Resources;
use crate::RunId;
use crate::STORE_WINDOW;
use crate::TaskKey;
use crate::WorkerId;
use crate::WorkerInfo;

/// Room of a worker, which may shrink and grow while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// What it has, by its newest registration.
    pub now: Resources,
    /// The most that it has had.
    pub largest: Resources,
}

/// Where a run on a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start was sent; no answer yet.
    Sent,
    /// The worker said that it has started.
    Running,
    /// The start got no answer: it may run, now or seconds later.
    Unknown,
    /// A stop was sent and not confirmed.
    Stopping,
    /// The worker confirmed a stop: gone with the next listing.
    Stopped,
}

/// A run that holds room on a worker.
#[derive(Debug)]
pub(super) struct Placed {
    pub run: RunId,
    pub booked: Resources,
    /// Processors asked for without being booked.
    pub filler: u64,
    /// Its size is not known, since its job is not.
    pub unsized_run: bool,
    pub phase: RunPhase,
    /// When the phase began.
    pub since: Duration,
    /// Progress, and when it last changed.
    pub percent: u32,
    pub moved: Duration,
    /// When it is surely over if it is on another life of its worker, whose clock is not the
    /// one that the lease was reckoned on. Zero once a list of the life has shown it.
    pub unsure: Duration,
    /// Newest checkpoint seen.
    pub checkpoint: String,
    /// We started it, from the beginning: its end tells how long it takes.
    pub whole: bool,
    /// Workers crashed under its task: it runs alone.
    pub trial: bool,
}

/// One life of a worker.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub(super) struct WorkerState {
    pub info: WorkerInfo,
    /// Registration of another life, which may be the next one, and when it was read.
    /// Until the worker has answered since then it gets no work: the next life may be
    /// smaller.
    pub heir: Option<(WorkerInfo, Duration)>,
    /// The most that it has had: what has shrunk may grow again.
    pub largest: Resources,
    /// The least that it has had.
    pub least: Resources,
    /// How far it may be filled.
    pub room: Resources,
    pub used: Resources,
    pub fillers: u64,
    /// Runs of unknown size: while there are any, it gets no work.
    pub unsized_runs: u32,
    /// Runs that must stay alone: while there are any, it gets no work.
    pub trials: u32,
    pub runs: HashMap<TaskKey, Placed>,
    /// It has accepted our epoch and told what it runs.
    pub claimed: bool,
    /// A predecessor may have used it, and may still renew its lease: that is
    /// not over before the predecessor's tenure is.
    pub inherited: bool,
    /// Ends of a predecessor's runs count: it answered before its lease could
    /// be over.
    pub trusted: bool,
    /// It did not answer the last call: it gets no work until it does.
    pub silent: bool,
    /// When its newest listing came.
    pub heard: Duration,
    /// Its registration has vanished.
    pub gone: bool,
    /// When its lease is over by the slowest clock.
    pub lapse: Duration,
    /// Until when an answer may come that it gave under that lease.
    pub awaited: Duration,
    /// Newest end that was taken in.
    pub taken: u64,
    /// How fast it is against others.
    pub speed: Speed,
    /// Failures in a row, and the job of the last one.
    pub strikes: u32,
    pub culprit: Option<JobId>,
    /// No new work before this time.
    pub rest: Duration,
}

impl WorkerState {
    pub(super) fn new(info: WorkerInfo, lapse: Duration) -> WorkerState {
        WorkerState {
            largest: info.capacity,
            least: info.capacity,
            room: info.capacity,
            info,
            heir: None,
            used: Resources::default(),
            fillers: 0,
            unsized_runs: 0,
            trials: 0,
            runs: HashMap::new(),
            claimed: false,
            inherited: false,
            trusted: true,
            silent: false,
            heard: Duration::ZERO,
            gone: false,
            lapse,
            awaited: Duration::ZERO,
            taken: 0,
            speed: Speed::default(),
            strikes: 0,
            culprit: None,
            rest: Duration::ZERO,
        }
    }

    /// Takes note of what it has now.
    fn resize(&mut self, now: &Resources) {
        // A former version's row does not tell a worker's size.
        let known = self.largest != Resources::default();
        self.least = if known {
            self.least.elementwise_min(now)
        } else {
            *now
        };
        self.largest = self.largest.elementwise_max(now);
    }

    pub(super) fn free(&self) -> Resources {
        self.room.minus(&self.used)
    }

    pub(super) fn book(&mut self, task: TaskKey, placed: Placed) {
        self.used = self.used.plus(&placed.booked);
        self.fillers += placed.filler;
        self.unsized_runs += u32::from(placed.unsized_run);
        self.trials += u32::from(placed.trial);
        self.runs.insert(task, placed);
    }

    /// Removes a run and gives its room back.
    pub(super) fn release(&mut self, task: TaskKey, run: RunId) -> Option<Placed> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let placed = self.runs.remove(&task)?;
        self.used = self.used.minus(&placed.booked);
        self.fillers -= placed.filler;
        self.unsized_runs -= u32::from(placed.unsized_run);
        self.trials -= u32::from(placed.trial);
        Some(placed)
    }
}

impl Planner {
    /// Takes a worker's registration; gives its key if it is new.
    pub fn take_worker(&mut self, info: WorkerInfo) -> Option<WorkerKey> {
        self.kinds.change(self.now);
        if let Some(key) = self.worker_of(&info.id) {
            let other = self.of_other_life(key, &info);
            let past = self.past.has(&info.id, info.incarnation);
            let now = self.now;
            let worker = &mut self.workers[key];
            if other {
                // Without a life it is of another writer: what is known holds.
                if info.incarnation.is_some() && !past {
                    worker.heir = Some((info, now));
                }
                return None;
            }
            worker.heir = None;
            worker.resize(&info.capacity);
            worker.info = info;
            worker.gone = false;
            self.measure(key);
            return None;
        }
        if self.past.has(&info.id, info.incarnation) {
            return None;
        }
        let id = info.id.clone();
        let lapse = self.now + STORE_WINDOW + self.policy.lapse();
        let key = self.workers.insert(WorkerState::new(info, lapse));
        self.by_id.insert(id, key);
        Some(key)
    }

    /// Takes a worker that a predecessor may have used, until it registers.
    pub fn recall_worker(&mut self, info: WorkerInfo) -> Option<WorkerKey> {
        let key = self.take_worker(info)?;
        let worker = &mut self.workers[key];
        worker.inherited = true;
        worker.gone = true;
        self.succession.add_row();
        Some(key)
    }

    /// A worker's registration has vanished. What runs there stays booked
    /// until its lease is over.
    pub fn lose_worker(&mut self, id: &str) {
        self.kinds.change(self.now);
        if let Some(key) = self.worker_of(id) {
            self.workers[key].gone = true;
            self.workers[key].heir = None;
        }
    }

    /// What a known worker has, and the most that it has had.
    #[must_use]
    pub fn capacity(&self, id: &str) -> Option<Capacity> {
        let worker = self.workers.get(self.worker_of(id)?)?;
        Some(Capacity {
            now: worker.info.capacity,
            largest: worker.largest,
        })
    }

    /// The key of a known worker.
    #[must_use]
    pub fn worker_of(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// Registration of a worker.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(key).map(|worker| &worker.info)
    }

    /// Whether the worker has accepted our epoch.
    #[must_use]
    pub fn claimed(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.claimed)
    }

    /// Number of the newest end of the worker that was taken in.
    #[must_use]
    pub fn newest_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |worker| worker.taken)
    }

    /// Whether a run is taken to be on the worker.
    #[must_use]
    pub fn holds(&self, key: WorkerKey, task: TaskKey, run: RunId) -> bool {
        let placed = self
            .workers
            .get(key)
            .and_then(|worker| worker.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run)
    }

    /// An order that renews the worker's lease is being sent.
    pub fn lease_sent(&mut self, key: WorkerKey) {
        let lapse = self.now + self.policy.lapse();
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lapse = worker.lapse.max(lapse);
        }
    }

    /// When a start that is sent now is surely over, whichever life of the worker it reaches
    /// late, and whatever late renewal comes there after it; zero if the worker names no lives.
    pub(super) fn unsure(&self, key: WorkerKey) -> Duration {
        let named = self.workers[key].info.incarnation.is_some();
        if named {
            self.now + self.policy.late_lapse()
        } else {
            Duration::ZERO
        }
    }

    /// The answer to a call that was sent at `sent` is late, and may come until `until`.
    /// It may tell that a run is done, which must not start again.
    pub fn await_answer(&mut self, key: WorkerKey, sent: Duration, until: Duration) {
        if let Some(worker) = self.workers.get_mut(key)
            && sent < worker.lapse
        {
            worker.awaited = worker.awaited.max(until);
        }
    }

    /// The worker did not answer.
    pub fn worker_silent(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.silent = true;
        }
    }

    /// Workers that do not answer while it matters: they hold runs, tasks of a
    /// predecessor wait for what they run, or they went down with one whose task is
    /// about to be judged. Without the last, a rack of idle workers that lost power
    /// looked as if only the one with a trial had crashed.
    #[must_use]
    pub fn doubtful(&self) -> Vec<(WorkerKey, WorkerId)> {
        let recovering = self.recovering;
        let doubtful = self.workers.iter().filter(|(_, worker)| {
            let unclaimed = recovering && !worker.claimed;
            let silent = worker.silent || worker.gone;
            let matters = !worker.runs.is_empty() || self.suspects.deciding;
            unclaimed || silent && matters
        });
        doubtful
            .map(|(key, worker)| (key, worker.info.id.clone()))
            .collect()
    }

    /// This life of the worker is over, and with it all that it ran.
    pub fn worker_over(&mut self, key: WorkerKey) {
        let worker = self.workers.get(key);
        let left = worker.is_some_and(|worker| worker.info.draining);
        let cause = if left { Loss::Left } else { Loss::Crashed };
        self.drop_worker(key, cause);
    }

    fn drop_worker(&mut self, key: WorkerKey, cause: Loss) {
        if let Some(worker) = self.end_life(key, cause, 0)
            && let Some((heir, _)) = worker.heir
            && let Some(next) = self.take_worker(heir)
        {
            self.orders.push(Order::Begin { worker: next });
        }
    }

    /// Gives up a life of a worker with all that ran there. `moved` runs beside them may
    /// have been on its next life instead.
    pub(super) fn end_life(
        &mut self,
        key: WorkerKey,
        cause: Loss,
        moved: usize,
    ) -> Option<WorkerState> {
        if !self.workers.contains_key(key) {
            return None;
        }
        let runs = std::mem::take(&mut self.workers[key].runs);
        let runs: Vec<(TaskKey, Placed)> = runs.into_iter().collect();
        self.lose_runs(key, &runs, cause, moved);
        let worker = self.workers.remove(key)?;
        self.kinds.change(self.now);
        let id = worker.info.id.clone();
        self.by_id.remove(&id);
        self.orders.push(Order::Drop { worker: key, id });
        Some(worker)
    }

    /// Gives up runs that a worker held.
    fn lose_runs(&mut self, key: WorkerKey, runs: &[(TaskKey, Placed)], cause: Loss, moved: usize) {
        let now = self.now;
        let worker = &self.workers[key];
        let known = worker.claimed || !worker.inherited;
        let beside = (runs.len() + worker.runs.len()).saturating_sub(1) + moved;
        let lost = runs.iter().map(|(task, placed)| {
            let id = worker.info.id.clone();
            LostRun::new((*task, placed), id, (cause, beside), now)
        });
        self.losses.extend(lost);
        for (task, placed) in runs {
            self.give_up(*task, key, placed.run, &placed.checkpoint);
            if cause != Loss::Crashed {
                self.clear_run(*task, placed.run);
            }
        }
        if cause == Loss::Crashed {
            self.count_crash(runs, known, moved);
        }
    }

    /// Gives up what is surely over by the leases of workers: those that vanished are
    /// dropped, silent ones keep their place but lose their runs.
    pub(super) fn expire_workers(&mut self) {
        let now = self.now;
        let held = |worker: &WorkerState| worker.inherited && !worker.claimed;
        let over = |worker: &WorkerState| worker.lapse.max(worker.awaited) <= now && !held(worker);
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| over(worker))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.expire_runs(key);
            let worker = &self.workers[key];
            if worker.gone && worker.runs.is_empty() {
                self.drop_worker(key, Loss::Lapsed);
            }
        }
    }

    fn expire_runs(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = &mut self.workers[key];
        let runs = worker.runs.iter();
        let over = runs.filter(|(_, placed)| placed.unsure <= now);
        let over: Vec<(TaskKey, RunId)> = over.map(|(task, placed)| (*task, placed.run)).collect();
        if over.is_empty() {
            return;
        }
        let over = over.into_iter();
        let over = over.filter_map(|(task, run)| Some((task, worker.release(task, run)?)));
        let over: Vec<(TaskKey, Placed)> = over.collect();
        // It must answer again before it gets work.
        worker.claimed = false;
        self.lose_runs(key, &over, Loss::Lapsed, 0);
    }

    /// Orders a stop; the room stays booked until the run has ended.
    pub(super) fn stop(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: RunId,
        reason: StopReason,
    ) {
        let now = self.now;
        let placed = self
            .workers
            .get_mut(worker)
            .and_then(|state| state.runs.get_mut(&task))
            .filter(|placed| placed.run == run);
        let Some(placed) = placed else { return };
        if matches!(placed.phase, RunPhase::Stopping | RunPhase::Stopped) {
            return;
        }
        placed.phase = RunPhase::Stopping;
        placed.since = now;
        self.orders.push(Order::Stop {
            worker,
            task,
            run,
            reason,
        });
    }
}
