//! Calls to a shard: submit, status, cancel.

use std::time::Duration;

use event::Event;
use event::Kind;
use model::Answer;
use model::Code;
use model::Request;
use model::request_key;
use sched::JobSpec;
use sched::SubmitError;

use crate::Acceptance;
use crate::Accepted;
use crate::CancelFilter;
use crate::Entry;
use crate::Machine;
use crate::Record;
use crate::ShardAsk;
use crate::ShardReply;
use crate::Stage;
use crate::Submission;
use crate::WaiterKey;
use crate::machine::PendingRecord;
use crate::outcome::refusal_code;

/// Delay after which a caller should ask again, in milliseconds.
const RETRY_MILLIS: u64 = 1000;

impl Machine {
    /// Processes a call to the shard. Once the shard is released for a hand-over,
    /// the caller is redirected to the next owner.
    pub(crate) fn on_ask(&mut self, ask: ShardAsk, waiter: WaiterKey) {
        if self.released {
            self.reply(waiter, ShardReply::Moved);
            return;
        }
        match ask {
            ShardAsk::Submit(submission) => self.on_submit(submission, waiter),
            ShardAsk::Run(submission) => self.on_run(&submission, waiter),
            ShardAsk::Status(key) => self.on_status(&key, waiter),
            ShardAsk::Cancel(CancelFilter::One(key)) => self.on_cancel(vec![key], waiter),
            ShardAsk::Cancel(CancelFilter::Label { team, label }) => {
                let keys = self.keys_with_label(&team, &label);
                self.on_cancel(keys, waiter);
            }
        }
    }

    /// Accepts a new request or refuses it; a repeated submission gets the answer
    /// of the first one.
    fn on_submit(&mut self, submission: Submission, waiter: WaiterKey) {
        let key = request_key(&submission.request.team, &submission.request.id);
        if self.ledger.get(&key).is_some() {
            self.answer_repeated(&key, &submission, waiter);
            return;
        }
        if !self.belongs_here(&key) {
            // The sender's router has an older configuration, without this
            // team.
            self.reply(waiter, ShardReply::NotOwner);
            return;
        }
        if let Some(answer) = self.refusal(&submission.request) {
            let now = self.times.now;
            let entry = Entry::new(submission.request, now, now, 0);
            let answer = self.qualify_not_run(&entry, answer);
            self.reply(waiter, ShardReply::Answer(answer));
            return;
        }
        self.accept(&key, submission, waiter);
    }

    /// Answers the submission of an id that is already in the ledger like the
    /// first one.
    pub(crate) fn answer_repeated(
        &mut self,
        key: &str,
        submission: &Submission,
        waiter: WaiterKey,
    ) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let id = &submission.request.id;
        if !entry.is_same_work(&submission.request) {
            let reason = "the id was used earlier for different work";
            let answer = Answer::without_output(id, Code::IdReused, reason);
            self.reply(waiter, ShardReply::Answer(answer));
            return;
        }
        if let Some(answer) = entry.answer() {
            let answer = answer.clone();
            self.reply(waiter, ShardReply::Answer(answer));
        } else if submission.wait {
            entry.waiters.push(waiter);
        } else if entry.recorded
            && let Acceptance::Recording(waiters) = &mut entry.acceptance
        {
            // The acceptance record may never reach the table. If the caller
            // got "accepted" now, the next owner might have no record of the
            // request.
            waiters.push(waiter);
        } else {
            let answer = pending_answer(id, "accepted");
            self.reply(waiter, ShardReply::Answer(answer));
        }
    }

    /// The answer that refuses a new request, if it cannot be accepted.
    fn refusal(&self, request: &Request) -> Option<Answer> {
        let id = &request.id;
        let retention = millis(self.params.retention);
        let oldest = self.times.wall_millis.saturating_sub(retention);
        if request.sent_millis != 0 && request.sent_millis < oldest {
            let reason =
                format!("first sent more than {retention} ms ago; answers are forgotten by then");
            return Some(Answer::without_output(id, Code::Forgotten, reason));
        }
        let reason = crate::exceeded_cell_limit(self.config(), request)?;
        Some(Answer::without_output(id, Code::NeverFits, reason))
    }

    /// Queues a new request, or refuses it if the scheduling core does. A durable
    /// request is recorded in the journal; its caller gets the reply "accepted"
    /// only after that.
    fn accept(&mut self, key: &str, submission: Submission, waiter: WaiterKey) {
        let Submission {
            request,
            waited_millis,
            wait,
        } = submission;
        let remaining_millis = request.deadline_millis.saturating_sub(waited_millis);
        let deadline = self.times.now + Duration::from_millis(remaining_millis);
        let until_millis = self.times.wall_millis + remaining_millis;
        let mut entry = Entry::new(request, self.times.now, deadline, until_millis);
        entry.prior_millis = waited_millis;
        let spec = Self::job_spec(&entry);
        let job = match self.core.submit(self.times.now, spec) {
            Ok(job) => job,
            Err(refused) => {
                self.refuse(key, entry, refused, waiter);
                return;
            }
        };
        entry.stage = Stage::Waiting(job);
        self.request_keys.insert(job, key.to_owned());
        let durable = entry.request.is_durable();
        if wait {
            entry.waiters.push(waiter);
        }
        let event = Event::new(Kind::RequestAccepted).request(key);
        self.event(event);
        if durable {
            entry.recorded = true;
            let record = Record::Accept(Accepted {
                request: entry.request.clone(),
                until_millis,
            });
            if !wait {
                entry.acceptance = Acceptance::Recording(vec![waiter]);
            }
            self.append(record, PendingRecord::Accepted(key.to_owned()));
        } else if !wait {
            let answer = pending_answer(&entry.request.id, "accepted");
            self.reply(waiter, ShardReply::Answer(answer));
        }
        self.ledger.insert(key, entry);
        if !durable {
            self.note_offload_candidate(key);
        }
    }

    /// Refuses a request. Its id is kept in the ledger like any other: a
    /// delayed duplicate of the submission must not run after its caller was
    /// answered that it did not run.
    fn refuse(&mut self, key: &str, entry: Entry, refused: SubmitError, waiter: WaiterKey) {
        let id = entry.request.id.clone();
        let (code, reason) = refusal_code(refused);
        let mut answer = Answer::without_output(&id, code, reason);
        if code == Code::QueueFull {
            answer = answer.retry_in(RETRY_MILLIS);
        }
        let answer = self.qualify_not_run(&entry, answer);
        self.ledger.insert(key, entry);
        self.ledger.finish(key, answer.clone(), self.times.now);
        self.reply(waiter, ShardReply::Answer(answer));
    }

    /// Requirements of a request, for the scheduling core.
    pub(crate) fn job_spec(entry: &Entry) -> JobSpec {
        let request = &entry.request;
        JobSpec {
            team: request.team.clone(),
            class: request.class,
            needs: request.task_needs(),
            members: request.members,
            deadline: entry.deadline,
            run_time: Duration::from_millis(request.run_millis),
            avoid: Vec::new(),
        }
    }

    /// Removes a request for which no start was sent from the scheduling core.
    pub(crate) fn withdraw(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let Some(job) = entry.job() else {
            return;
        };
        let members = std::mem::take(&mut entry.members);
        self.request_keys.remove(&job);
        if self.core.withdraw(job) {
            return;
        }
        for member in members {
            if let Some(worker) = self.core.worker(&member.worker) {
                self.core.release(job, worker);
            }
        }
    }
}

/// Builds an answer that is not final.
pub(crate) fn pending_answer(id: &str, reason: &str) -> Answer {
    Answer::without_output(id, Code::Pending, reason).retry_in(RETRY_MILLIS)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
