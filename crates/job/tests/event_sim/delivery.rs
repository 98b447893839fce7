//! Delivery of commands: with a reply, without one, or late.

use job::Command;
use job::Policy;
use job::RunId;
use job::StartReply;
use job::StopReply;
use job::TaskKey;

use super::EventSim;
use super::SentCommand;

impl EventSim {
    /// Reports to the planner that a command got no reply.
    pub(super) fn lose_reply(&mut self, sent: &SentCommand) {
        let key = self.keys[sent.worker];
        match sent.command {
            Command::Start { task, run, .. } => {
                let reply = StartReply::Unknown;
                self.planner.start_reply(key, task, run, reply);
                self.raise_token(sent.worker);
            }
            Command::Stop { task, run, .. } => {
                self.planner.stop_reply(key, task, run, StopReply::Unknown);
            }
            Command::Disconnect { .. } | Command::NewIncarnation { .. } => {}
        }
    }

    /// Delivers a late command, unless it cannot reach the worker.
    pub(super) fn deliver_late(&mut self, pick: u8) {
        if self.late.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.late.len();
        let sent = self.late.swap_remove(index);
        if self.workers[sent.worker].cut_off || self.workers[sent.worker].down {
            return;
        }
        // A worker that has started again under another id ignores commands to its former
        // incarnation.
        if self.id(sent.worker) == sent.id && self.may_arrive_late(&sent) {
            self.carry_out(&sent, false);
        }
    }

    /// Carries out a command on its worker; the planner gets the reply if `answers` is set.
    pub(super) fn carry_out(&mut self, sent: &SentCommand, answers: bool) {
        let key = self.keys[sent.worker];
        let worker = &mut self.workers[sent.worker];
        if sent.token < worker.fence {
            return;
        }
        worker.fence = sent.token;
        match sent.command {
            Command::Start { task, run, .. } => {
                let reply = self.start(sent, task, run);
                if answers {
                    if reply == StartReply::Started {
                        self.workers[sent.worker].reported.insert((task, run));
                    }
                    self.planner.start_reply(key, task, run, reply);
                }
            }
            Command::Stop { task, run, .. } => {
                let last_ended = worker.last_ended.entry(task).or_default();
                *last_ended = run.max(*last_ended);
                if worker
                    .running
                    .get(&task)
                    .is_some_and(|active| active.0 == run)
                {
                    let run = worker.running.remove(&task);
                    worker
                        .stopping
                        .extend(run.map(|(run, _)| (task, (run, self.now))));
                }
                if answers {
                    let reply = StopReply::Stopped;
                    self.planner.stop_reply(key, task, run, reply);
                }
            }
            Command::Disconnect { .. } | Command::NewIncarnation { .. } => {}
        }
    }

    fn start(&mut self, sent: &SentCommand, task: TaskKey, run: RunId) -> StartReply {
        let worker = &mut self.workers[sent.worker];
        let old = worker
            .last_ended
            .get(&task)
            .is_some_and(|last_ended| *last_ended >= run);
        // The lease was computed for the clock of another incarnation, so it may last up to the
        // longest lease that a worker grants.
        let lease = if sent.incarnation == worker.incarnation {
            sent.lease
        } else {
            self.now + Policy::default().max_lease
        };
        if old || lease <= self.now {
            return StartReply::Refused;
        }
        worker.lease = worker.lease.max(lease);
        worker.running.insert(task, (run, self.now));
        self.starts += 1;
        self.record_start(task, run);
        self.check(sent, task);
        let crash = self.crash_on_start(sent.worker, task, run);
        crash.unwrap_or(StartReply::Started)
    }
}
