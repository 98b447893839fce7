//! Sends the planner's commands to the workers.

use std::time::Duration;

use job::Command;
use job::RunId;
use job::StartReply;
use job::StopReason;
use job::StopReply;
use job::TaskKey;
use job::WorkerKey;
use platform::CommandReply;
use platform::StartCommand;

use super::Pool;
use super::start_call::StartCall;
use crate::OwnerMessage;
use crate::WorkerEvent;
use crate::callers::millis;
use crate::metrics::count;
use crate::metrics::observe;

/// Pause before a stop without a clear reply is reported to the planner, which then issues it
/// again.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Pool {
    /// Records the waiting times of jobs that were started for the first time.
    pub(super) fn record_first_starts(&mut self) {
        for waited in self.planner.take_first_starts() {
            observe(&self.context.metrics.first_start, waited);
        }
    }

    pub(super) fn send_commands(&mut self) {
        for command in self.planner.take_commands() {
            match command {
                Command::Start {
                    worker,
                    task,
                    run,
                    payload,
                    checkpoint,
                    ticket,
                } => {
                    let start = StartCommand {
                        task,
                        run,
                        payload,
                        lease_expiry: Duration::ZERO,
                        token: 0,
                        checkpoint,
                        ticket,
                    };
                    self.send_start(worker, start);
                }
                Command::Stop {
                    worker,
                    task,
                    run,
                    reason,
                } => self.send_stop(worker, task, run, reason),
                Command::Disconnect { worker, id } => {
                    if let Some(link) = self.links.remove(&worker) {
                        link.close();
                    }
                    self.queue_row_removal(id);
                }
                Command::NewIncarnation { worker } => self.queue_worker_row(worker),
            }
        }
    }

    /// Sends a start. If the worker has no link or no clock reading yet, or the ownership is not
    /// confirmed, nothing is sent and the planner handles the start as refused.
    fn send_start(&mut self, worker: WorkerKey, mut start: StartCommand) {
        let lease = self.context.settings.policy().lease;
        let info = self.planner.worker_info(worker);
        let names_incarnation = info.is_some_and(|info| info.incarnation.is_some());
        let link = self.links.get(&worker);
        let now = self.context.now();
        // A start renews the lease of its worker, so it is sent only while the ownership is
        // confirmed.
        let link = link.filter(|_| self.owned());
        let lease_end = link.and_then(|link| link.lease_end(now, lease));
        let (Some(link), Some(lease_end)) = (link, lease_end) else {
            let (task, run) = (start.task, start.run);
            log::error!(
                code = 353, task:% = task, run = run;
                "start not sent: worker not claimed, or ownership not confirmed; the task waits again"
            );
            let reply = StartReply::Refused;
            self.planner.start_reply(worker, task, run, reply);
            return;
        };
        let deadline = self.start_deadline();
        // A worker refuses a start whose lease has expired, and a start never shortens its lease.
        start.lease_expiry = link
            .refusal_time(deadline)
            .map_or(lease_end, |refused_from| refused_from.min(lease_end));
        start.token = link.fencing.begin_start();
        let age = self.registrations_age();
        self.start_ages.record_sent(age);
        log::info!(
            code = 350, task:% = start.task, run = start.run, worker = link.id.as_str(),
            epoch = self.epoch, read_ms = millis(age), resumes = !start.checkpoint.is_empty(),
            factor_percent = self.planner.factor_percent(worker);
            "run start sent"
        );
        self.start_window.record_sent();
        let call = StartCall {
            context: self.context.clone(),
            worker,
            id: link.id.clone(),
            address: link.address,
            names_incarnation,
            start,
            fencing: link.fencing.clone(),
            latency: self.latency.clone(),
            start_window: self.start_window.clone(),
            deadline,
            ages: self.start_ages.clone(),
            registrations_read: self.registrations_read,
            sender: self.sender.clone(),
        };
        tokio::spawn(call.run());
    }

    /// Sends a stop. The planner issues it again if there is no clear reply.
    fn send_stop(&self, worker: WorkerKey, task: TaskKey, run: RunId, reason: StopReason) {
        let Some(link) = self.links.get(&worker) else {
            self.defer_stop(worker, task, run);
            return;
        };
        count(&self.context.metrics.stops, &reason.to_string());
        let gang = reason.gang().map(|gang| gang.to_string());
        log::info!(
            code = 352, task:% = task, run = run, worker = link.id.as_str(), reason:% = reason, gang = gang.as_deref();
            "run stop sent; repeated until confirmed"
        );
        let (address, id) = (link.address, link.id.clone());
        let client = self.context.commands.clone();
        let sender = self.sender.clone();
        let fencing = link.fencing.clone();
        let token = fencing.token();
        let late_after = self.latency.late_after();
        tokio::spawn(async move {
            let answer = client
                .stop(address, &id, task, run, token, late_after)
                .await;
            let event = match answer {
                CommandReply::Done(_) => WorkerEvent::StopAnswered(task, run, StopReply::Stopped),
                CommandReply::Fenced if !fencing.superseded(token) => WorkerEvent::Fenced,
                CommandReply::Replaced => WorkerEvent::Ended,
                _ => {
                    tokio::time::sleep(STOP_RETRY_PAUSE).await;
                    WorkerEvent::StopAnswered(task, run, StopReply::Unknown)
                }
            };
            let _ = sender.send(OwnerMessage::Worker(worker, event)).await;
        });
    }

    /// Reports a stop as undelivered, after a pause: there is no link until the row of the
    /// worker's incarnation is written.
    fn defer_stop(&self, worker: WorkerKey, task: TaskKey, run: RunId) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(STOP_RETRY_PAUSE).await;
            let event = WorkerEvent::StopAnswered(task, run, StopReply::Unknown);
            // Fails only if the owner has ended; then the stop is not needed.
            let _ = sender.send(OwnerMessage::Worker(worker, event)).await;
        });
    }
}
