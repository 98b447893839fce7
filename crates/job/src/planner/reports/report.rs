//! Processes worker reports, and workers' replies to commands.

use std::collections::HashMap;
use std::time::Duration;

use strum::Display;

use crate::ActiveRun;
use crate::EndedRun;
use crate::Mechanism;
use crate::Outcome;
use crate::RunEnd;
use crate::RunId;
use crate::TaskKey;
use crate::WorkerReport;
use crate::planner::Command;
use crate::planner::LossCause;
use crate::planner::LostRun;
use crate::planner::Planner;
use crate::planner::ReportOrigin;
use crate::planner::StopReason;
use crate::planner::WorkerKey;
use crate::planner::reports::job_start::Observation;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::RunPhase;

/// A worker's reply to a start command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "lowercase")]
pub enum StartReply {
    /// The run has started.
    Started,
    /// The worker refused the start; the run will never start there.
    Refused,
    /// The start was not valid any more when it was to be sent, or when it arrived; the run will
    /// never start there. Another start on the worker may be in time.
    Expired,
    /// The worker refused the start because the ticket is no longer valid.
    #[strum(to_string = "ticket")]
    InvalidTicket,
    /// No usable reply: the run may have started, or may start later.
    Unknown,
}

/// A worker's reply to a stop command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run is being stopped, or will never start.
    Stopped,
    /// No usable reply: the stop command has to be sent again.
    Unknown,
}

impl Planner {
    /// Processes a worker's reply to a start command.
    pub fn start_reply(&mut self, key: WorkerKey, task: TaskKey, run: RunId, reply: StartReply) {
        let now = self.now;
        if !self.workers.contains_key(key) {
            return;
        }
        let late_expiry = self.late_run_expiry(key);
        let worker = &mut self.workers[key];
        let placed = worker
            .runs
            .get_mut(&task)
            .filter(|placed| placed.run == run);
        let Some(placed) = placed else { return };
        match reply {
            StartReply::Started => {
                // If a worker report has already listed the run, the reply changes nothing.
                if matches!(placed.phase, RunPhase::Sent | RunPhase::Unanswered) {
                    placed.phase = RunPhase::Running;
                    placed.phase_since = now;
                    placed.progressed_at = now;
                    placed.late_expiry = late_expiry;
                }
                self.run_observed(task, run, Observation::Present);
            }
            StartReply::Unknown if placed.phase == RunPhase::Sent => {
                placed.phase = RunPhase::Unanswered;
                placed.phase_since = now;
                placed.late_expiry = late_expiry;
                worker.unresponsive = true;
            }
            StartReply::Unknown => {}
            StartReply::Refused => {
                worker.paused_until = worker.paused_until.max(now + REFUSAL_PAUSE);
                self.release_run(key, task, run);
                self.start_refused(task, key, run);
            }
            StartReply::Expired => {
                self.release_run(key, task, run);
                self.start_refused(task, key, run);
            }
            StartReply::InvalidTicket => {
                self.release_run(key, task, run);
                self.revoke_ticket(task.step, key);
                self.start_refused(task, key, run);
            }
        }
    }

    /// Processes a worker's reply to a stop command.
    pub fn stop_reply(&mut self, key: WorkerKey, task: TaskKey, run: RunId, reply: StopReply) {
        let now = self.now;
        let worker = self.workers.get_mut(key);
        let Some(placed) = worker.and_then(|worker| worker.runs.get_mut(&task)) else {
            return;
        };
        match reply {
            // Only the booked run changes its phase. Another run of the task, which was
            // stopped as a duplicate, holds no resources.
            StopReply::Stopped if placed.run == run => {
                placed.phase = RunPhase::Stopped;
                placed.phase_since = now;
            }
            StopReply::Stopped => {}
            StopReply::Unknown => self.commands.push(Command::Stop {
                worker: key,
                task,
                run,
                reason: StopReason::StopUnanswered,
            }),
        }
    }

    /// Processes a worker report that answers a call sent at `sent`. Runs that the worker had
    /// confirmed before that and that the report does not list are lost.
    pub fn apply_report(&mut self, key: WorkerKey, sent: Duration, report: &WorkerReport) {
        match self.match_incarnation(key, sent, report) {
            ReportOrigin::Current => {}
            ReportOrigin::Newer => return self.replace_incarnation(key, sent, report),
            ReportOrigin::Ended | ReportOrigin::Unnamed => return,
        }
        let longest_expiry = self.now + self.policy.max_lease_expiry();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.info.incarnation = report.incarnation;
        // This incarnation answered a call that was sent after the other registration was
        // read, so that registration is older.
        worker.reregistration.take_if(|(_, read)| *read <= sent);
        worker.unresponsive = false;
        worker.reply_until = Duration::ZERO;
        worker.last_report = self.now;
        let first_report = !worker.claimed;
        if first_report {
            // Until all ends are listed, it is not known what a former owner has started.
            worker.claimed = !report.more_ends;
            if worker.info.incarnation.is_some() {
                // Commands meant for a former incarnation may have given it a longer lease.
                worker.lease_expiry = worker.lease_expiry.max(longest_expiry);
            }
            worker.ends_trusted = self.recovering;
        }
        for end in &report.ended {
            self.apply_end(key, end);
        }
        for running in &report.running {
            self.apply_running(key, running);
        }
        if !report.more_ends {
            if first_report {
                self.resolve_reported(key);
            }
            self.drop_unlisted(key, sent, report);
        }
        if self.policy.switches.enabled(Mechanism::StallMoves) {
            self.stop_stalled(key, report);
        }
    }

    /// Stops runs whose progress has not changed for too long, so that their tasks start elsewhere,
    /// and pauses the worker. Members of a gang are not stopped, since they stall whenever another
    /// member does; nor are fillers, which may get no processor time, or long-running tasks.
    fn stop_stalled(&mut self, key: WorkerKey, report: &WorkerReport) {
        let now = self.now;
        let mut stalled = Vec::new();
        for running in &report.running {
            let task = running.task;
            let job = self.jobs.get(&task.step.job);
            let Some((spec, _)) = job.and_then(|job| job.step(task.step)) else {
                continue;
            };
            let placed = self.workers[key].runs.get(&task);
            let Some(placed) = placed.filter(|placed| placed.run == running.run) else {
                continue;
            };
            let stall_limit = self.policy.stall_timeout(
                spec,
                placed.percent,
                placed.progressed_at.saturating_sub(placed.phase_since),
            );
            let is_stalled = now.saturating_sub(placed.progressed_at) > stall_limit;
            let movable = !spec.gang && !spec.filler && !spec.long_running;
            if is_stalled && movable && placed.phase == RunPhase::Running {
                stalled.push((task, running.run));
            }
        }
        if stalled.is_empty() {
            return;
        }
        let pause_end = now + self.policy.stall_pause;
        let worker = &mut self.workers[key];
        worker.paused_until = worker.paused_until.max(pause_end);
        for (task, run) in stalled {
            self.stop_run(key, task, run, StopReason::Stalled);
        }
    }

    /// Processes a reported end, unless it was processed before.
    fn apply_end(&mut self, key: WorkerKey, end: &EndedRun) {
        let worker = &mut self.workers[key];
        if end.number <= worker.last_end {
            return;
        }
        worker.last_end = end.number;
        let placed = self.release_run(key, end.task, end.run);
        let worked_long = placed
            .as_ref()
            .is_some_and(|placed| self.worked_long(end.task, placed));
        let worker = &mut self.workers[key];
        let was_booked = placed.is_some();
        let job = end.task.step.job;
        match end.how {
            // A task that lasts never ends as done; its time at work shows that the worker is sound.
            RunEnd::Done | RunEnd::Failed if worked_long || end.how == RunEnd::Done => {
                worker.failure_streak = 0;
                worker.failed_job = None;
            }
            RunEnd::Failed if worker.failed_job != Some(job) => {
                worker.failure_streak += 1;
                worker.failed_job = Some(job);
                let pauses = self.policy.switches.enabled(Mechanism::FailurePause);
                if pauses && worker.failure_streak >= self.policy.failure_limit {
                    worker.paused_until = self.now + self.policy.failure_pause;
                }
            }
            _ => {}
        }
        let trusted = worker.ends_trusted;
        if let Some(placed) = placed.filter(|_| end.how == RunEnd::Done) {
            self.observe_factor(key, end.task, &placed);
            self.learn_run_time(key, end.task, &placed);
            self.record_run(key, end.task, &placed);
        }
        // If the worker's first report may have come after its lease expired, an end of a run of
        // the former owner does not count, since the task may have started elsewhere. The end of
        // a run that is done or has failed always counts.
        let counts = trusted || matches!(end.how, RunEnd::Done | RunEnd::Failed);
        if !was_booked && end.run <= self.run_base && !counts {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.add_round(end.task.step.round);
            }
            self.run_observed(end.task, end.run, Observation::of_end(end));
            return;
        }
        self.run_ended(key, end);
    }

    /// Confirms a run that the worker reports as running, or adopts or stops it if it is not
    /// booked.
    fn apply_running(&mut self, key: WorkerKey, running: &ActiveRun) {
        let now = self.now;
        let worker = &mut self.workers[key];
        let placed = worker.runs.get_mut(&running.task);
        if let Some(placed) = placed.filter(|placed| placed.run == running.run) {
            placed.late_expiry = Duration::ZERO;
            if matches!(placed.phase, RunPhase::Sent | RunPhase::Unanswered) {
                placed.phase = RunPhase::Running;
                placed.phase_since = now;
                placed.progressed_at = now;
            }
            if placed.percent != running.percent {
                placed.percent = running.percent;
                placed.progressed_at = now;
            }
            placed.checkpoint.clone_from(&running.checkpoint);
            let observation = Observation::of_progress(running.percent);
            self.run_observed(running.task, running.run, observation);
            return;
        }
        self.adopt_run(key, running);
    }

    /// Processes booked runs that the report does not list: confirmed ones are lost, and those
    /// whose start got no reply are stopped.
    fn drop_unlisted(&mut self, key: WorkerKey, sent: Duration, report: &WorkerReport) {
        let listed: HashMap<TaskKey, RunId> = report
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        let worker = &self.workers[key];
        let mut unlisted = Vec::new();
        let mut unanswered = Vec::new();
        for (&task, placed) in &worker.runs {
            if listed.get(&task) == Some(&placed.run) || placed.phase_since >= sent {
                continue;
            }
            match placed.phase {
                RunPhase::Running | RunPhase::Stopped => unlisted.push((task, placed.run)),
                RunPhase::Unanswered => unanswered.push((task, placed.run)),
                RunPhase::Sent | RunPhase::Stopping => {}
            }
        }
        for (task, run) in unanswered {
            self.stop_run(key, task, run, StopReason::StartUnanswered);
        }
        let other_runs = self.workers[key].runs.len().saturating_sub(1);
        for (task, run) in unlisted {
            let Some(placed) = self.release_run(key, task, run) else {
                continue;
            };
            let id = self.workers[key].info.id.clone();
            let lost = LostRun::new(
                (task, &placed),
                id,
                (LossCause::Unlisted, other_runs),
                self.now,
            );
            self.lost_runs.push(lost);
            self.close_run(task, key, run, &placed.checkpoint);
            self.clear_run(task, run);
        }
    }

    /// Closes a run that was lost or refused. Its task waits again unless the task is done,
    /// another run of it is active, or its job has ended.
    pub(crate) fn close_run(
        &mut self,
        task: TaskKey,
        key: WorkerKey,
        run: RunId,
        checkpoint: &str,
    ) {
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
        state.last_closed = state.last_closed.max(run);
        if state.phase != Phase::Active(key, run) {
            return;
        }
        // The saved placement is no longer true.
        self.started_jobs.insert(task.step.job);
        state.phase = Phase::Waiting;
        if !gang && !checkpoint.is_empty() {
            checkpoint.clone_into(&mut state.checkpoint);
        }
        self.mark_pending(task.step);
        if gang {
            self.break_gang(task.step, run);
        }
    }

    /// Closes a run whose start was refused; no crash counts against it.
    fn start_refused(&mut self, task: TaskKey, key: WorkerKey, run: RunId) {
        self.close_run(task, key, run, "");
        self.clear_run(task, run);
    }

    /// Processes the end of a run for its task and job. If the job was not read yet, the end is
    /// retained until then.
    pub(crate) fn run_ended(&mut self, key: WorkerKey, end: &EndedRun) {
        let task = end.task;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            self.keep_unmatched(key, end);
            return;
        };
        if job.outcome.is_some() {
            return;
        }
        // The former owner may have opened rounds that this planner has not.
        job.add_round(task.step.round);
        self.run_observed(task, end.run, Observation::of_end(end));
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
            return self.drop_end(key, end);
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let Some(state) = step.tasks.get(task.index as usize) else {
            return self.drop_end(key, end);
        };
        let already_done = state.phase == Phase::Done;
        let is_current = state.phase == Phase::Active(key, end.run);
        let may_count = state.phase == Phase::Waiting && end.run > state.last_closed;
        if end.how == RunEnd::Failed && !long_running && !already_done {
            // Failures count in any phase of the task: a successor receives the ends of several
            // runs from several workers in any order.
            self.dirty_jobs.insert(task.step.job);
            if step.count_failure(task.index, end.run, gang) >= attempts as usize {
                self.finish_job(task.step.job, Outcome::Failed);
                return;
            }
        }
        if !is_current && !may_count {
            if end.how == RunEnd::Done && !long_running && !already_done {
                self.accept_late_end(end, gang);
            }
            return;
        }
        self.dirty_jobs.insert(task.step.job);
        if gang {
            self.member_ended(task.step, end);
            return;
        }
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        if !end.checkpoint.is_empty() {
            state.checkpoint.clone_from(&end.checkpoint);
        }
        if end.how == RunEnd::Done && !long_running {
            self.task_done(task);
            return;
        }
        state.phase = Phase::Waiting;
        state.last_closed = state.last_closed.max(end.run);
        self.mark_pending(task.step);
    }

    /// Marks a task that is not in a gang as done.
    pub(crate) fn task_done(&mut self, task: TaskKey) {
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

    /// Updates the pending steps after a task is done: if its step is complete, steps that depend
    /// on it open.
    pub(crate) fn step_advanced(&mut self, task: TaskKey) {
        let job = self.jobs.get(&task.step.job);
        let Some((_, step)) = job.and_then(|job| job.step(task.step)) else {
            return;
        };
        if step.waiting() == 0 {
            self.pending_steps.remove(&task.step);
        }
        if step.complete() {
            self.compare_workers(task.step);
            self.open_steps(task.step.job);
        }
    }
}

/// Time without new work for a worker that has refused a start, so that starts are not sent to
/// it in a loop.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);
