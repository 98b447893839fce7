//! The planner's state of workers: resources, runs, lease and health.

use std::collections::HashMap;
use std::time::Duration;

use crate::JobId;
use crate::MAX_TIME;
use crate::Resources;
use crate::RunId;
use crate::STORE_WINDOW;
use crate::TaskKey;
use crate::WorkerId;
use crate::WorkerInfo;
use crate::planner::Command;
use crate::planner::LossCause;
use crate::planner::LostRun;
use crate::planner::OrganisationKey;
use crate::planner::Planner;
use crate::planner::StopReason;
use crate::planner::WorkerKey;
use crate::planner::times::factor::Factor;
use crate::planner::times::speed::Speed;

/// Capacity of a worker, which may shrink and grow while the worker runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Resources in its newest registration.
    pub current: Resources,
    /// Largest amount of each resource that it has registered.
    pub largest: Resources,
}

/// Phase of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start command was sent and has no reply yet.
    Sent,
    /// The worker has confirmed that the run started.
    Running,
    /// The start command got no reply in time: the run may have started, or start seconds later.
    Unanswered,
    /// A stop command was issued and is not confirmed yet.
    Stopping,
    /// The worker has confirmed the stop. The next report that does not list the run drops it.
    Stopped,
}

/// A run that has resources booked on a worker.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub(crate) struct PlacedRun {
    pub run: RunId,
    pub booked: Resources,
    /// Processors that a filler may use while others leave them free; they are not booked.
    pub filler_cpu: u64,
    /// Organisation of the job; `None` if it has none, or if the job was not read yet.
    pub organisation: Option<OrganisationKey>,
    /// Priority of its job's queue; 0 is the most urgent.
    pub priority: u32,
    /// The worker reported the run before its job was read, so the resources it needs are unknown.
    pub unknown_size: bool,
    pub phase: RunPhase,
    /// When the current phase began.
    pub phase_since: Duration,
    /// Newest reported progress, in percent.
    pub percent: u32,
    /// When the reported progress last changed.
    pub progressed_at: Duration,
    /// When the run has certainly ended if another incarnation of the worker has it, whose clock
    /// differs from the one for which the lease was computed. Zero once this incarnation has
    /// reported the run.
    pub late_expiry: Duration,
    /// Newest reported checkpoint; empty if there is none.
    pub checkpoint: String,
    /// This planner started the run without a checkpoint, so its duration can be learnt.
    pub from_start: bool,
    /// The run lasts until its job is cancelled.
    pub long_running: bool,
    /// The run is in its trial: no other run may start on the worker.
    pub trial: bool,
}

impl PlacedRun {
    /// Returns the resources that the run needs, the processors of a filler included.
    pub(crate) fn need(&self) -> Resources {
        Resources {
            cpu: self.booked.cpu + self.filler_cpu,
            ..self.booked
        }
    }
}

/// The planner's state of one incarnation of a worker.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub(crate) struct WorkerState {
    /// Newest registration of this incarnation.
    pub info: WorkerInfo,
    /// Registration of another incarnation, which may be the next one, and when it was read.
    /// The worker gets no work until it has answered a call sent after that, since the next
    /// incarnation may have a smaller capacity.
    pub reregistration: Option<(WorkerInfo, Duration)>,
    /// Largest amount of each resource that it has registered; a shrunk capacity may grow again.
    pub largest: Resources,
    /// Smallest amount of each resource that it has registered.
    pub smallest: Resources,
    /// Maximum amount of resources to book on it.
    pub fill_limit: Resources,
    /// Sum of the resources booked by its runs.
    pub total_booked: Resources,
    /// Sum of the resources booked by its runs that last until their jobs are cancelled.
    pub long_booked: Resources,
    /// Sum of the processors of its fillers, in thousandths of a core.
    pub total_filler: u64,
    /// Number of runs of unknown size. While there are any, the worker gets no work.
    pub unknown_sizes: u32,
    /// Number of trials. While there are any, the worker gets no work.
    pub trials: u32,
    pub runs: HashMap<TaskKey, PlacedRun>,
    /// It has accepted this owner's epoch and sent a report.
    pub claimed: bool,
    /// A former owner may have used it and may still renew its lease. Until the worker is claimed
    /// or recovery ends, its lease does not expire.
    pub inherited: bool,
    /// The reported ends of the former owner's runs count, since the worker's first report arrived
    /// during recovery, before tasks of the former owner could start elsewhere.
    pub ends_trusted: bool,
    /// It did not answer a call, and gets no work until its next report.
    pub unresponsive: bool,
    /// When its newest report arrived; zero if there was none.
    pub last_report: Duration,
    /// Its registration has been removed, or was not read yet.
    pub unregistered: bool,
    /// When its lease will have expired even by the slowest clock.
    pub lease_expiry: Duration,
    /// Time until which a reply may arrive that the worker sent before its lease expired.
    pub reply_until: Duration,
    /// Number of the newest end of a run that was processed.
    pub last_end: u64,
    /// Its speed relative to other workers.
    pub speed: Speed,
    /// Its factor on run times.
    pub factor: Factor,
    /// Number of consecutive failures of different jobs.
    pub failure_streak: u32,
    /// Job of the last of these failures.
    pub failed_job: Option<JobId>,
    /// It gets no new work before this time.
    pub paused_until: Duration,
}

impl WorkerState {
    pub(crate) fn new(info: WorkerInfo, lease_expiry: Duration) -> WorkerState {
        WorkerState {
            largest: info.capacity,
            smallest: info.capacity,
            fill_limit: info.capacity,
            info,
            reregistration: None,
            total_booked: Resources::default(),
            long_booked: Resources::default(),
            total_filler: 0,
            unknown_sizes: 0,
            trials: 0,
            runs: HashMap::new(),
            claimed: false,
            inherited: false,
            ends_trusted: true,
            unresponsive: false,
            last_report: Duration::ZERO,
            unregistered: false,
            lease_expiry,
            reply_until: Duration::ZERO,
            last_end: 0,
            speed: Speed::default(),
            factor: Factor::default(),
            failure_streak: 0,
            failed_job: None,
            paused_until: Duration::ZERO,
        }
    }

    /// Updates the largest and the smallest capacity with a newly registered one.
    fn resize(&mut self, size: &Resources) {
        // The stored row of a worker may be from a version that did not store capacities.
        let has_capacity = self.largest != Resources::default();
        self.smallest = if has_capacity {
            self.smallest.elementwise_min(size)
        } else {
            *size
        };
        self.largest = self.largest.elementwise_max(size);
    }

    /// Returns the resources that may still be booked.
    pub(crate) fn free(&self) -> Resources {
        self.fill_limit.minus(&self.total_booked)
    }

    /// Returns whether a run lasts until its job is cancelled, so that the worker never becomes idle.
    pub(crate) fn has_long_runs(&self) -> bool {
        self.runs.values().any(|placed| placed.long_running)
    }

    /// Returns whether all runs last until their jobs are cancelled.
    pub(crate) fn only_long_runs(&self) -> bool {
        self.runs.values().all(|placed| placed.long_running)
    }

    /// Returns the resources that are free once all runs have ended, except for those that last until
    /// their jobs are cancelled.
    pub(crate) fn free_later(&self) -> Resources {
        self.info.capacity.minus(&self.long_booked)
    }

    /// Books a run with its resources. A run is a trial only while it is alone.
    pub(crate) fn book(&mut self, task: TaskKey, mut placed: PlacedRun) {
        if !self.runs.is_empty() {
            placed.trial = false;
            self.end_trials();
        }
        self.total_booked = self.total_booked.plus(&placed.booked);
        if placed.long_running {
            self.long_booked = self.long_booked.plus(&placed.booked);
        }
        self.total_filler += placed.filler_cpu;
        self.unknown_sizes += u32::from(placed.unknown_size);
        self.trials += u32::from(placed.trial);
        self.runs.insert(task, placed);
    }

    /// Lets other tasks start beside the worker's trials, if there are any.
    pub(crate) fn end_trials(&mut self) {
        self.trials = 0;
        for placed in self.runs.values_mut() {
            placed.trial = false;
        }
    }

    /// Removes a run and frees its resources; `None` if this run is not booked.
    pub(crate) fn release(&mut self, task: TaskKey, run: RunId) -> Option<PlacedRun> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let placed = self.runs.remove(&task)?;
        self.total_booked = self.total_booked.minus(&placed.booked);
        if placed.long_running {
            self.long_booked = self.long_booked.minus(&placed.booked);
        }
        self.total_filler -= placed.filler_cpu;
        self.unknown_sizes -= u32::from(placed.unknown_size);
        self.trials -= u32::from(placed.trial);
        Some(placed)
    }
}

impl Planner {
    /// Books a run on a worker.
    pub(crate) fn book_run(&mut self, key: WorkerKey, task: TaskKey, placed: PlacedRun) {
        self.organisations.add(&placed, self.now);
        self.workers[key].book(task, placed);
    }

    /// Removes a run from a worker and frees its resources; `None` if this run is not booked.
    pub(crate) fn release_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunId,
    ) -> Option<PlacedRun> {
        let placed = self.workers.get_mut(key)?.release(task, run)?;
        self.organisations.remove(&placed, self.now);
        Some(placed)
    }

    /// Processes a worker's registration; returns the worker's key if the worker is new.
    pub fn register_worker(&mut self, mut info: WorkerInfo) -> Option<WorkerKey> {
        info.capacity = info.capacity.bounded();
        info.remaining = info.remaining.map(|remaining| remaining.min(MAX_TIME));
        self.peak_pools.workers_changed(self.now);
        if let Some(key) = self.worker_key(&info.id) {
            let is_other = self.is_other_incarnation(key, &info);
            let ended = self
                .ended_incarnations
                .has_ended(&info.id, info.incarnation);
            let now = self.now;
            let worker = &mut self.workers[key];
            if is_other {
                // A registration that names no incarnation is not from the worker itself.
                if info.incarnation.is_some() && !ended {
                    worker.reregistration = Some((info, now));
                }
                return None;
            }
            worker.reregistration = None;
            worker.resize(&info.capacity);
            worker.info = info;
            worker.unregistered = false;
            self.update_fill_limit(key);
            return None;
        }
        if self
            .ended_incarnations
            .has_ended(&info.id, info.incarnation)
        {
            return None;
        }
        let expiry = self.now + STORE_WINDOW + self.policy.lease_expiry();
        Some(self.insert_worker(WorkerState::new(info, expiry)))
    }

    /// Adds a worker that a former owner may have used, from its stored row. Its registration is
    /// to be read later.
    pub fn restore_worker(&mut self, info: WorkerInfo) -> Option<WorkerKey> {
        let key = self.register_worker(info)?;
        let worker = &mut self.workers[key];
        worker.inherited = true;
        worker.unregistered = true;
        self.predecessor.add_row();
        Some(key)
    }

    /// Records that a worker's registration was removed. Its runs stay booked until its lease ends.
    pub fn deregister_worker(&mut self, id: &str) {
        self.peak_pools.workers_changed(self.now);
        if let Some(key) = self.worker_key(id) {
            self.workers[key].unregistered = true;
            self.workers[key].reregistration = None;
        }
    }

    /// Returns the current and the largest capacity of a worker; `None` if the worker is unknown.
    #[must_use]
    pub fn capacity(&self, id: &str) -> Option<Capacity> {
        let worker = self.workers.get(self.worker_key(id)?)?;
        Some(Capacity {
            current: worker.info.capacity,
            largest: worker.largest,
        })
    }

    /// Returns the key of the current incarnation of a worker; `None` if the worker is unknown.
    #[must_use]
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the newest registration of an incarnation.
    #[must_use]
    pub fn worker_info(&self, key: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(key).map(|worker| &worker.info)
    }

    /// Returns whether the worker has accepted this owner's epoch and sent a report.
    #[must_use]
    pub fn claimed(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.claimed)
    }

    /// Returns the number of the worker's newest end of a run that was processed.
    #[must_use]
    pub fn newest_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |worker| worker.last_end)
    }

    /// Returns the number of runs that are booked on the worker.
    #[must_use]
    pub fn booked_runs(&self, key: WorkerKey) -> usize {
        self.workers.get(key).map_or(0, |worker| worker.runs.len())
    }

    /// Returns whether a run is booked on the worker.
    #[must_use]
    pub fn has_booked(&self, key: WorkerKey, task: TaskKey, run: RunId) -> bool {
        let placed = self
            .workers
            .get(key)
            .and_then(|worker| worker.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run)
    }

    /// Extends the worker's lease, since a command that renews it is being sent.
    pub fn extend_lease(&mut self, key: WorkerKey) {
        let expiry = self.now + self.policy.lease_expiry();
        if let Some(worker) = self.workers.get_mut(key) {
            worker.lease_expiry = worker.lease_expiry.max(expiry);
        }
    }

    /// Returns when a run whose start is sent now has certainly ended, whichever incarnation of the
    /// worker the start reaches late, and whatever late renewal follows it there. Zero if the
    /// worker does not name its incarnations.
    pub(crate) fn late_run_expiry(&self, key: WorkerKey) -> Duration {
        let names_incarnations = self.workers[key].info.incarnation.is_some();
        if names_incarnations {
            self.now + self.policy.late_lease_expiry()
        } else {
            Duration::ZERO
        }
    }

    /// Keeps the worker's runs from being counted as lost until `until`, by which the reply to a
    /// call that was sent at `sent` may still arrive. The reply may report a run as done, and its
    /// task must not start again. Calls sent after the lease expired are ignored.
    pub fn await_reply(&mut self, key: WorkerKey, sent: Duration, until: Duration) {
        if let Some(worker) = self.workers.get_mut(key)
            && sent < worker.lease_expiry
        {
            worker.reply_until = worker.reply_until.max(until);
        }
    }

    /// Marks a worker as unresponsive, since it did not answer a call.
    pub fn mark_unresponsive(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unresponsive = true;
        }
    }

    /// Returns the workers to look up in the list of machines, since they may have crashed or left.
    /// During recovery, these are the workers that have not sent a report. At any time, they are
    /// also the unresponsive or unregistered workers that have runs; while a decision on a suspect
    /// is due, also those without runs, since they may have crashed together with the suspect's
    /// worker. Without the last case, when a rack of idle workers lost power, only the worker with
    /// a trial was found to have crashed.
    #[must_use]
    pub fn unresponsive_workers(&self) -> Vec<(WorkerKey, WorkerId)> {
        let recovering = self.recovering;
        let awaited = self.workers.iter().filter(|(_, worker)| {
            let report_due = recovering && !worker.claimed;
            let absent = worker.unresponsive || worker.unregistered;
            let needed = !worker.runs.is_empty() || self.suspects.decision_due;
            report_due || absent && needed
        });
        awaited
            .map(|(key, worker)| (key, worker.info.id.clone()))
            .collect()
    }

    /// Removes an incarnation of a worker that has left or crashed, and counts its runs as lost.
    pub fn worker_ended(&mut self, key: WorkerKey) {
        let worker = self.workers.get(key);
        let drained = worker.is_some_and(|worker| worker.info.draining);
        let cause = if drained {
            LossCause::Left
        } else {
            LossCause::Crashed
        };
        self.remove_worker(key, cause);
    }

    /// Removes an incarnation of a worker. If another one has registered, it takes its place.
    fn remove_worker(&mut self, key: WorkerKey, cause: LossCause) {
        if let Some(worker) = self.end_incarnation(key, cause, 0)
            && let Some((next_info, _)) = worker.reregistration
            && let Some(next) = self.register_worker(next_info)
        {
            self.commands.push(Command::NewIncarnation { worker: next });
        }
    }

    /// Removes an incarnation of a worker and counts its runs as lost. Further runs, `transferred`
    /// in number, were booked on the next incarnation, but may have been on this one.
    pub(crate) fn end_incarnation(
        &mut self,
        key: WorkerKey,
        cause: LossCause,
        transferred: usize,
    ) -> Option<WorkerState> {
        if !self.workers.contains_key(key) {
            return None;
        }
        self.resolve_ended(key, cause);
        let runs = std::mem::take(&mut self.workers[key].runs);
        let runs: Vec<(TaskKey, PlacedRun)> = runs.into_iter().collect();
        for (_, placed) in &runs {
            self.organisations.remove(placed, self.now);
        }
        self.record_lost_runs(key, &runs, cause, transferred);
        let worker = self.workers.remove(key)?;
        self.peak_pools.workers_changed(self.now);
        let id = worker.info.id.clone();
        self.by_id.remove(&id);
        self.commands.push(Command::Disconnect { worker: key, id });
        Some(worker)
    }

    /// Counts runs of a worker as lost.
    fn record_lost_runs(
        &mut self,
        key: WorkerKey,
        runs: &[(TaskKey, PlacedRun)],
        cause: LossCause,
        transferred: usize,
    ) {
        let now = self.now;
        let worker = &self.workers[key];
        let all_known = worker.claimed || !worker.inherited;
        let other_runs = (runs.len() + worker.runs.len()).saturating_sub(1) + transferred;
        let lost = runs.iter().map(|(task, placed)| {
            let id = worker.info.id.clone();
            LostRun::new((*task, placed), id, (cause, other_runs), now)
        });
        self.lost_runs.extend(lost);
        for (task, placed) in runs {
            self.close_run(*task, key, placed.run, &placed.checkpoint);
            if cause != LossCause::Crashed {
                self.clear_run(*task, placed.run);
            }
        }
        if cause == LossCause::Crashed {
            self.count_crash(runs, all_known, transferred);
        }
    }

    /// Counts the runs of workers with expired leases as lost, except for those that may still be
    /// active on another incarnation. Unregistered workers without runs are removed.
    pub(crate) fn expire_workers(&mut self) {
        let now = self.now;
        let renewable = |worker: &WorkerState| worker.inherited && !worker.claimed;
        let past_expiry = |worker: &WorkerState| {
            worker.lease_expiry.max(worker.reply_until) <= now && !renewable(worker)
        };
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| past_expiry(worker))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.expire_runs(key);
            let worker = &self.workers[key];
            if worker.unregistered && worker.runs.is_empty() {
                self.remove_worker(key, LossCause::LeaseExpired);
            }
        }
    }

    /// Counts the runs of a worker whose lease has expired as lost.
    fn expire_runs(&mut self, key: WorkerKey) {
        let now = self.now;
        let runs = self.workers[key].runs.iter();
        let past_expiry = runs.filter(|(_, placed)| placed.late_expiry <= now);
        let past_expiry: Vec<(TaskKey, RunId)> = past_expiry
            .map(|(task, placed)| (*task, placed.run))
            .collect();
        if past_expiry.is_empty() {
            return;
        }
        let past_expiry = past_expiry.into_iter();
        let past_expiry =
            past_expiry.filter_map(|(task, run)| Some((task, self.release_run(key, task, run)?)));
        let past_expiry: Vec<(TaskKey, PlacedRun)> = past_expiry.collect();
        // The worker gets no work before its next report.
        self.workers[key].claimed = false;
        self.record_lost_runs(key, &past_expiry, LossCause::LeaseExpired, 0);
    }

    /// Issues a stop command, unless the run is being stopped. It stays booked until it has ended.
    pub(crate) fn stop_run(
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
        placed.phase_since = now;
        self.commands.push(Command::Stop {
            worker,
            task,
            run,
            reason,
        });
    }
}
