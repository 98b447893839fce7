//! A call that sends a start to a worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use job::StartReply;
use job::WorkerId;
use job::WorkerKey;
use platform::CommandReply;
use platform::StartCommand;
use tokio::sync::mpsc;

use super::ReplyLatency;
use super::StartDeadline;
use super::StartWindow;
use super::fencing::WorkerFencing;
use super::start_age::StartAges;
use crate::Context;
use crate::OwnerMessage;
use crate::WorkerEvent;

/// A start that is being sent, with the state that its call needs.
pub(super) struct StartCall {
    pub(super) context: Context,
    pub(super) worker: WorkerKey,
    pub(super) id: WorkerId,
    pub(super) address: SocketAddr,
    /// The worker names its incarnation in its reports.
    pub(super) names_incarnation: bool,
    pub(super) start: StartCommand,
    pub(super) fencing: Arc<WorkerFencing>,
    pub(super) latency: Arc<ReplyLatency>,
    pub(super) start_window: StartWindow,
    /// Until when the start may reach its worker.
    pub(super) deadline: StartDeadline,
    pub(super) ages: Arc<StartAges>,
    /// When the read of the registrations began on which the start is based.
    pub(super) registrations_read: Duration,
    pub(super) sender: mpsc::Sender<OwnerMessage>,
}

impl StartCall {
    /// Sends the start and notifies the owner of the reply, also of a late one.
    pub(super) async fn run(self) {
        let sent = self.context.now();
        if !self.deadline.admits(sent, Duration::ZERO) {
            self.withdraw().await;
            return;
        }
        let call_timeout = self.latency.call_timeout();
        let call = self
            .context
            .commands
            .start(self.address, &self.id, &self.start, call_timeout);
        tokio::pin!(call);
        let in_time = tokio::time::timeout(self.latency.late_after(), &mut call).await;
        self.start_window.record_settled();
        let answer = if let Ok(answer) = in_time {
            answer
        } else {
            self.log_unconfirmed("late");
            self.raise_token();
            self.notify_owner(self.start_answered(StartReply::Unknown))
                .await;
            call.await
        };
        if let CommandReply::Done(_) = answer {
            let now = self.context.now();
            self.latency.record(now.saturating_sub(sent));
            self.ages
                .record_answered(now.saturating_sub(self.registrations_read));
        } else {
            self.log_unconfirmed(&format!("{answer:?}"));
        }
        let event = self.event_for(&answer);
        let lost = matches!(answer, CommandReply::Unknown(_) | CommandReply::Garbled(_));
        if lost {
            self.raise_token();
        }
        self.notify_owner(event).await;
        if self.names_incarnation && lost {
            let end = sent + self.context.settings.policy().command_delay;
            tokio::time::sleep(end.saturating_sub(self.context.now())).await;
        }
        self.fencing.end_start();
    }

    /// Gives up a start that has waited too long for its turn to be sent.
    async fn withdraw(&self) {
        self.log_unconfirmed("not sent: the registrations became too old");
        self.start_window.record_settled();
        self.fencing.end_start();
        self.notify_owner(self.start_answered(StartReply::Expired))
            .await;
    }

    /// Raises the token of later commands, so that a worker which carries out one of them
    /// refuses this start if it arrives afterwards.
    fn raise_token(&self) {
        if self.names_incarnation {
            self.fencing.raise_token();
        }
    }

    async fn notify_owner(&self, event: WorkerEvent) {
        // Fails only if the owner has ended; its successor asks the worker for a report.
        let _ = self
            .sender
            .send(OwnerMessage::Worker(self.worker, event))
            .await;
    }

    fn start_answered(&self, reply: StartReply) -> WorkerEvent {
        WorkerEvent::StartAnswered(self.start.task, self.start.run, reply)
    }

    fn log_unconfirmed(&self, answer: &str) {
        let (task, run) = (self.start.task, self.start.run);
        log::warn!(
            code = 351, task:% = task, run = run, worker = self.id.as_str(), answer = answer;
            "start not confirmed; the task waits again once the run is refused or counts as lost"
        );
    }

    /// Returns the event for the owner that a reply stands for. `Fenced` proves that there is a
    /// newer owner only if this owner has sent no command with a higher token since.
    fn event_for<T>(&self, answer: &CommandReply<T>) -> WorkerEvent {
        let reply = match answer {
            CommandReply::Done(_) => StartReply::Started,
            CommandReply::Fenced if self.fencing.superseded(self.start.token) => {
                StartReply::Refused
            }
            CommandReply::Fenced => return WorkerEvent::Fenced,
            CommandReply::Replaced => return WorkerEvent::Ended,
            CommandReply::Ticket => StartReply::InvalidTicket,
            CommandReply::Late => StartReply::Expired,
            CommandReply::Unknown(_) | CommandReply::Garbled(_) => StartReply::Unknown,
            CommandReply::Old
            | CommandReply::Full
            | CommandReply::Refused(..)
            | CommandReply::Unreachable(_) => StartReply::Refused,
        };
        self.start_answered(reply)
    }
}
