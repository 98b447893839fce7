//! What workers' answers and listings mean.

use std::collections::HashMap;
use std::time::Duration;

use strum::Display;

use super::LifeSeen;
use super::Loss;
use super::LostRun;
use super::Order;
use super::Planner;
use super::StopReason;
use super::WorkerKey;
use super::begin::Sighting;
use super::job_state::Phase;
use super::roster::RunPhase;
use crate::ActiveRun;
use crate::EndedRun;
use crate::Mechanism;
use crate::Outcome;
use crate::RunEnd;
use crate::RunId;
use crate::TaskKey;
use crate::WorkerReport;

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum StartReply {
    /// It runs.
    Started,
    /// It was refused, and this run will never start there.
    Refused,
    /// It was refused because the ticket is not valid any more.
    Ticket,
    /// It may have started, or may start later.
    Unknown,
}

/// How a worker answered a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends, or will never start.
    Stopped,
    /// No answer; the stop has to be sent again.
    Unknown,
}

impl Planner {
    /// Takes a worker's answer to a start.
    pub fn start_reply(&mut self, key: WorkerKey, task: TaskKey, run: RunId, reply: StartReply) {
        let now = self.now;
        if !self.workers.contains_key(key) {
            return;
        }
        let unsure = self.unsure(key);
        let worker = &mut self.workers[key];
        let placed = worker
            .runs
            .get_mut(&task)
            .filter(|placed| placed.run == run);
        let Some(placed) = placed else { return };
        match reply {
            StartReply::Started => {
                // An answer that comes after a listing has told as much.
                if matches!(placed.phase, RunPhase::Sent | RunPhase::Unknown) {
                    placed.phase = RunPhase::Running;
                    placed.since = now;
                    placed.moved = now;
                    placed.unsure = unsure;
                }
                self.sighted(task, run, Sighting::There);
            }
            StartReply::Unknown if placed.phase == RunPhase::Sent => {
                placed.phase = RunPhase::Unknown;
                placed.since = now;
                placed.unsure = unsure;
                worker.silent = true;
            }
            StartReply::Unknown => {}
            StartReply::Refused => {
                worker.release(task, run);
                worker.rest = worker.rest.max(now + REFUSED_REST);
                self.not_started(task, key, run);
            }
            StartReply::Ticket => {
                worker.release(task, run);
                self.drop_ticket(task.step, key);
                self.not_started(task, key, run);
            }
        }
    }

    /// Takes a worker's answer to a stop.
    pub fn stop_reply(&mut self, key: WorkerKey, task: TaskKey, run: RunId, reply: StopReply) {
        let now = self.now;
        let worker = self.workers.get_mut(key);
        let Some(placed) = worker.and_then(|worker| worker.runs.get_mut(&task)) else {
            return;
        };
        match reply {
            // Room is given back with the run that is booked, not with another
            // one of its task that was stopped beside it.
            StopReply::Stopped if placed.run == run => {
                placed.phase = RunPhase::Stopped;
                placed.since = now;
            }
            StopReply::Stopped => {}
            StopReply::Unknown => self.orders.push(Order::Stop {
                worker: key,
                task,
                run,
                reason: StopReason::StopUnanswered,
            }),
        }
    }

    /// Takes a listing that the worker made after `sent`. Runs that it does
    /// not list, though it had answered before `sent`, are over.
    pub fn take_listing(&mut self, key: WorkerKey, sent: Duration, listing: &WorkerReport) {
        match self.life_seen(key, sent, listing) {
            LifeSeen::Known => {}
            LifeSeen::Next => return self.succeed(key, sent, listing),
            LifeSeen::Past | LifeSeen::Unnamed => return,
        }
        let longest = self.now + self.policy.longest_lapse();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.info.incarnation = listing.incarnation;
        // A registration that was read before a call which this life has answered is older.
        worker.heir.take_if(|(_, read)| *read <= sent);
        worker.silent = false;
        worker.awaited = Duration::ZERO;
        worker.heard = self.now;
        if !worker.claimed {
            worker.claimed = true;
            if worker.info.incarnation.is_some() {
                // Calls that were meant for a former life may have given it a lease.
                worker.lapse = worker.lapse.max(longest);
            }
            worker.trusted = self.recovering;
        }
        for end in &listing.ended {
            self.take_end(key, end);
        }
        for running in &listing.running {
            self.take_running(key, running);
        }
        self.sweep(key, sent, listing);
        if self.policy.switches.has(Mechanism::StallMoves) {
            self.move_stalled(key, listing);
        }
    }

    /// Stops runs that stand still, so that their tasks start elsewhere, and
    /// lets the worker rest. Members of a gang are left: they stand still while
    /// any other member does. So are fillers, which may get no processor.
    fn move_stalled(&mut self, key: WorkerKey, listing: &WorkerReport) {
        let now = self.now;
        let mut stalled = Vec::new();
        for running in &listing.running {
            let task = running.task;
            let job = self.jobs.get(&task.step.job);
            let Some((spec, _)) = job.and_then(|job| job.step(task.step)) else {
                continue;
            };
            let placed = self.workers[key].runs.get(&task);
            let Some(placed) = placed.filter(|placed| placed.run == running.run) else {
                continue;
            };
            let patience = self.policy.patience(
                spec,
                placed.percent,
                placed.moved.saturating_sub(placed.since),
            );
            let still = now.saturating_sub(placed.moved) > patience;
            let single = !spec.gang && !spec.filler && !spec.long_running;
            if still && single && placed.phase == RunPhase::Running {
                stalled.push((task, running.run));
            }
        }
        if stalled.is_empty() {
            return;
        }
        let rest = now + self.policy.stall_rest;
        let worker = &mut self.workers[key];
        worker.rest = worker.rest.max(rest);
        for (task, run) in stalled {
            self.stop(key, task, run, StopReason::StandsStill);
        }
    }

    fn take_end(&mut self, key: WorkerKey, end: &EndedRun) {
        let worker = &mut self.workers[key];
        if end.number <= worker.taken {
            return;
        }
        worker.taken = end.number;
        let placed = worker.release(end.task, end.run);
        let known = placed.is_some();
        let job = end.task.step.job;
        match end.how {
            RunEnd::Done => {
                worker.strikes = 0;
                worker.culprit = None;
            }
            RunEnd::Failed if worker.culprit != Some(job) => {
                worker.strikes += 1;
                worker.culprit = Some(job);
                let rests = self.policy.switches.has(Mechanism::Rest);
                if rests && worker.strikes >= self.policy.strikes {
                    worker.rest = self.now + self.policy.rest;
                }
            }
            _ => {}
        }
        let trusted = worker.trusted;
        if let Some(placed) = placed.filter(|_| end.how == RunEnd::Done) {
            self.learn_from(end.task, &placed);
            self.note_run(key, end.task, &placed);
        }
        // A predecessor's end that could not be recorded before the lease ran
        // out does not stand: its task may run elsewhere by now. What is done is done.
        let stands = trusted || end.how == RunEnd::Done;
        if !known && end.run <= self.run_base && !stands {
            self.sighted(end.task, end.run, Sighting::of_end(end));
            return;
        }
        self.task_ended(key, end);
    }

    /// A run that the worker lists: confirm it, adopt it from a predecessor,
    /// or stop it.
    fn take_running(&mut self, key: WorkerKey, running: &ActiveRun) {
        let now = self.now;
        let worker = &mut self.workers[key];
        let placed = worker.runs.get_mut(&running.task);
        if let Some(placed) = placed.filter(|placed| placed.run == running.run) {
            placed.unsure = Duration::ZERO;
            if matches!(placed.phase, RunPhase::Sent | RunPhase::Unknown) {
                placed.phase = RunPhase::Running;
                placed.since = now;
                placed.moved = now;
            }
            if placed.percent != running.percent {
                placed.percent = running.percent;
                placed.moved = now;
            }
            placed.checkpoint.clone_from(&running.checkpoint);
            let sighting = Sighting::of_progress(running.percent);
            self.sighted(running.task, running.run, sighting);
            return;
        }
        self.adopt(key, running);
    }

    /// Ends what the worker would list if it were still there.
    fn sweep(&mut self, key: WorkerKey, sent: Duration, listing: &WorkerReport) {
        let listed: HashMap<TaskKey, RunId> = listing
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        let worker = &self.workers[key];
        let mut over = Vec::new();
        let mut doubtful = Vec::new();
        for (&task, placed) in &worker.runs {
            if listed.get(&task) == Some(&placed.run) || placed.since >= sent {
                continue;
            }
            match placed.phase {
                RunPhase::Running | RunPhase::Stopped => over.push((task, placed.run)),
                RunPhase::Unknown => doubtful.push((task, placed.run)),
                RunPhase::Sent | RunPhase::Stopping => {}
            }
        }
        for (task, run) in doubtful {
            self.stop(key, task, run, StopReason::StartUnanswered);
        }
        let beside = self.workers[key].runs.len().saturating_sub(1);
        for (task, run) in over {
            let worker = &mut self.workers[key];
            let Some(placed) = worker.release(task, run) else {
                continue;
            };
            let id = worker.info.id.clone();
            let lost = LostRun::new((task, &placed), id, (Loss::Unlisted, beside), self.now);
            self.losses.push(lost);
            self.give_up(task, key, run, &placed.checkpoint);
            self.clear_run(task, run);
        }
    }

    /// A run is over without an end that counts; its task waits again.
    pub(super) fn give_up(&mut self, task: TaskKey, key: WorkerKey, run: RunId, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        let Some((spec, step)) = job.step_mut(task.step) else {
            return;
        };
        let gang = spec.gang;
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        state.void = state.void.max(run);
        if state.phase != Phase::Active(key, run) {
            return;
        }
        state.phase = Phase::Waiting;
        if !gang && !checkpoint.is_empty() {
            checkpoint.clone_into(&mut state.checkpoint);
        }
        self.open.insert(task.step);
        if gang {
            self.break_gang(task.step, run);
        }
    }

    /// A start was refused: nothing ran.
    fn not_started(&mut self, task: TaskKey, key: WorkerKey, run: RunId) {
        self.give_up(task, key, run, "");
        self.clear_run(task, run);
    }

    pub(super) fn task_ended(&mut self, key: WorkerKey, end: &EndedRun) {
        let task = end.task;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            let orphans = self.orphans.entry(task.step.job).or_default();
            orphans.push((key, end.clone()));
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        self.sighted(task, end.run, Sighting::of_end(end));
        self.clear_run(task, end.run);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let attempts = self
            .config
            .queue(&job.spec.queue.name)
            .unwrap_or(&job.spec.queue)
            .attempts;
        let Some((spec, step)) = job.step_mut(task.step) else {
            return;
        };
        let (gang, lasting) = (spec.gang, spec.long_running);
        let Some(state) = step.tasks.get(task.index as usize) else {
            return;
        };
        let over = state.phase == Phase::Done;
        let ours = state.phase == Phase::Active(key, end.run);
        let earlier = state.phase == Phase::Waiting && end.run > state.void;
        if end.how == RunEnd::Failed && !lasting && !over {
            // Counted whatever has come of the task since: a successor learns
            // the ends of several runs from several workers in any order.
            self.dirty.insert(task.step.job);
            if step.count_failure(task.index, end.run, gang) >= attempts as usize {
                self.finish(task.step.job, Outcome::Failed);
                return;
            }
        }
        if !ours && !earlier {
            if end.how == RunEnd::Done && !lasting && !over {
                self.done_late(end, gang);
            }
            return;
        }
        self.dirty.insert(task.step.job);
        if gang {
            self.gang_ended(task.step, end);
            return;
        }
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        if !end.checkpoint.is_empty() {
            state.checkpoint.clone_from(&end.checkpoint);
        }
        if end.how == RunEnd::Done && !lasting {
            self.task_done(task);
            return;
        }
        state.phase = Phase::Waiting;
        state.void = state.void.max(end.run);
        self.open.insert(task.step);
    }

    /// A task that is no member of a gang was done.
    pub(super) fn task_done(&mut self, task: TaskKey) {
        let job = self.jobs.get_mut(&task.step.job);
        let Some((_, step)) = job.and_then(|job| job.step_mut(task.step)) else {
            return;
        };
        if let Some(state) = step.tasks.get_mut(task.index as usize) {
            state.phase = Phase::Done;
            step.done += 1;
        }
        self.step_advanced(task);
    }

    /// A task of a step was done: steps after it may open.
    pub(super) fn step_advanced(&mut self, task: TaskKey) {
        let job = self.jobs.get(&task.step.job);
        let Some((_, step)) = job.and_then(|job| job.step(task.step)) else {
            return;
        };
        if step.waiting() == 0 {
            self.open.remove(&task.step);
        }
        if step.complete() {
            self.compare_workers(task.step);
            self.open_steps(task.step.job);
        }
    }
}

/// Rest of a worker that refuses starts, so that it is not asked in a loop.
const REFUSED_REST: Duration = Duration::from_millis(400);
