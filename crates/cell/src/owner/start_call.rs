//! A call that sends a start to a worker.

use std::net::SocketAddr;
use std::sync::Arc;

use job::StartReply;
use job::WorkerId;
use job::WorkerKey;
use platform::Ordered;
use platform::Start;
use tokio::sync::mpsc;

use super::AnswerTime;
use super::StartWindow;
use super::gate::Gate;
use crate::Context;
use crate::OwnerMessage;
use crate::WorkerNews;

/// A start, and what its call needs.
pub(super) struct StartCall {
    pub(super) context: Context,
    pub(super) worker: WorkerKey,
    pub(super) id: WorkerId,
    pub(super) address: SocketAddr,
    /// The worker names its incarnation in its reports.
    pub(super) named: bool,
    pub(super) start: Start,
    pub(super) gate: Arc<Gate>,
    pub(super) answers: Arc<AnswerTime>,
    pub(super) window: StartWindow,
    pub(super) sender: mpsc::Sender<OwnerMessage>,
}

impl StartCall {
    /// Sends the start and notifies the owner of the reply, also if it is late.
    pub(super) async fn run(self) {
        let sent = self.context.now();
        let limit = self.answers.limit();
        let call = self
            .context
            .orders
            .start(self.address, &self.id, &self.start, limit);
        tokio::pin!(call);
        let in_time = tokio::time::timeout(self.answers.patience(), &mut call).await;
        self.window.settled();
        let answer = if let Ok(answer) = in_time {
            answer
        } else {
            self.log("late");
            self.raise();
            self.tell(self.answered(StartReply::Unknown)).await;
            call.await
        };
        if let Ordered::Done(_) = answer {
            self.answers.took(self.context.now().saturating_sub(sent));
        } else {
            self.log(&format!("{answer:?}"));
        }
        let news = self.news(&answer);
        let lost = matches!(answer, Ordered::Unknown(_) | Ordered::Garbled(_));
        if lost {
            self.raise();
        }
        self.tell(news).await;
        if self.named && lost {
            let end = sent + self.context.settings.policy().order_late;
            tokio::time::sleep(end.saturating_sub(self.context.now())).await;
        }
        self.gate.end_start();
    }

    /// Raises the token of later commands, so that a worker which carries out one of them
    /// refuses this start if it arrives afterwards.
    fn raise(&self) {
        if self.named {
            self.gate.raise();
        }
    }

    async fn tell(&self, news: WorkerNews) {
        // Fails only if the owner has ended; its successor asks the worker for a report.
        let _ = self
            .sender
            .send(OwnerMessage::Worker(self.worker, news))
            .await;
    }

    fn answered(&self, reply: StartReply) -> WorkerNews {
        WorkerNews::StartAnswered(self.start.task, self.start.run, reply)
    }

    fn log(&self, answer: &str) {
        let (task, run) = (self.start.task, self.start.run);
        log::warn!(code = 351, task:% = task, run = run, worker = self.id.as_str(), answer = answer; "start not confirmed");
    }

    fn news<T>(&self, answer: &Ordered<T>) -> WorkerNews {
        let reply = match answer {
            Ordered::Done(_) => StartReply::Started,
            Ordered::Fenced if self.gate.overtaken(self.start.token) => StartReply::Refused,
            Ordered::Fenced => return WorkerNews::Fenced,
            Ordered::Replaced => return WorkerNews::Over,
            Ordered::Ticket => StartReply::Ticket,
            Ordered::Unknown(_) | Ordered::Garbled(_) => StartReply::Unknown,
            Ordered::Old
            | Ordered::Late
            | Ordered::Full
            | Ordered::Refused(..)
            | Ordered::Unreachable(_) => StartReply::Refused,
        };
        self.answered(reply)
    }
}
