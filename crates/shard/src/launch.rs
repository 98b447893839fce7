//! Starts placed requests. For a durable request (of class gang or batch, or one
//! that must not run twice) the intent, which names the workers of the attempt,
//! is written to the table before any start is sent: the journal then shows a
//! later owner that the attempt may have started.

use event::Event;
use event::Kind;
use model::Code;
use sched::JobKey;
use sched::WorkerKey;

use crate::Acceptance;
use crate::Entry;
use crate::Machine;
use crate::Member;
use crate::MemberState;
use crate::Output;
use crate::Placement;
use crate::Record;
use crate::ShardReply;
use crate::Stage;
use crate::Ticket;
use crate::UnfencedStart;
use crate::attempt_id;
use crate::intake::pending_answer;
use crate::machine::PendingRecord;
use crate::outcome::is_valid_without_record;

impl Machine {
    /// Creates the members of a new attempt on `workers`, then records its
    /// intent or, if the request needs no record, sends its starts.
    pub(crate) fn start(&mut self, job: JobKey, workers: &[WorkerKey]) {
        let Some(key) = self.request_keys.get(&job).cloned() else {
            return;
        };
        let worker_ids: Vec<String> = workers
            .iter()
            .filter_map(|worker| self.core.worker_entry(*worker))
            .map(|w| w.id.clone())
            .collect();
        let Some(entry) = self.ledger.get_mut(&key) else {
            return;
        };
        entry.attempt += 1;
        entry.epoch = self.params.epoch;
        let (epoch, attempt) = (entry.epoch, entry.attempt);
        let incarnations = &self.incarnations;
        let member = |(index, worker): (usize, &String)| Member {
            attempt: attempt_id(&key, epoch, attempt, index),
            worker: worker.clone(),
            incarnation: incarnations.get(worker).cloned().unwrap_or_default(),
            state: MemberState::Sent,
        };
        entry.members = worker_ids.iter().enumerate().map(member).collect();
        if entry.request.is_durable() {
            entry.stage = Stage::Recording(job);
            self.record_intent(&key, attempt);
        } else {
            entry.stage = Stage::Running(Some(job));
            self.send_starts(&key);
        }
        let event = Event::new(Kind::TaskPlaced).request(&key);
        self.event(event.worker(worker_ids.first().map_or("", |name| name)));
    }

    fn record_intent(&mut self, key: &str, attempt: u32) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let to_placed = |member: &Member| Placement {
            worker: member.worker.clone(),
            run: member.incarnation.clone(),
        };
        let record = Record::Intent {
            key: key.to_owned(),
            epoch: entry.epoch,
            attempt,
            placed: entry.members.iter().map(to_placed).collect(),
        };
        self.append(record, PendingRecord::Intent(key.to_owned(), attempt));
    }

    fn send_starts(&mut self, key: &str) {
        let now = self.times.now;
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        entry.note_wait(now);
        let starts: Vec<Output> = entry
            .members
            .iter()
            .map(|member| Output::Start(member.worker.clone(), unfenced_start(entry, key, member)))
            .collect();
        self.outputs.extend(starts);
    }

    /// Carries out the actions that waited for the records up to `ticket`.
    pub(crate) fn on_written(&mut self, ticket: Ticket) {
        self.journal_stalled = false;
        let unwritten = self.pending.split_off(&(ticket + 1));
        let written = std::mem::replace(&mut self.pending, unwritten);
        for pending in written.into_values().flatten() {
            self.on_record(pending);
        }
    }

    /// Carries out an action that waited for its record, which is now in the
    /// table.
    fn on_record(&mut self, pending: PendingRecord) {
        match pending {
            PendingRecord::Intent(key, attempt) => self.on_intent(&key, attempt),
            PendingRecord::End(key) => self.close(&key),
            PendingRecord::Accepted(key) => self.on_accepted(&key),
            PendingRecord::Cancelled(call) => {
                for key in call.keys {
                    self.close(&key);
                }
                self.reply(call.waiter, ShardReply::Cancelled(call.count));
            }
        }
    }

    /// The intent is in the table. Nothing is sent if the request was withdrawn
    /// in the meantime or its deadline has passed.
    fn on_intent(&mut self, key: &str, attempt: u32) {
        if self.released {
            return;
        }
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let Stage::Recording(job) = entry.stage else {
            return;
        };
        if entry.attempt != attempt {
            return;
        }
        if entry.deadline < self.times.now {
            self.withdraw(key);
            self.finish_past_deadline(key);
            return;
        }
        entry.stage = Stage::Running(Some(job));
        self.send_starts(key);
    }

    /// The acceptance is in the table: answers the callers that waited for it.
    fn on_accepted(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let recording = std::mem::replace(&mut entry.acceptance, Acceptance::Recorded);
        let answer = match entry.answer() {
            Some(answer) => answer.clone(),
            None => pending_answer(&entry.request.id, "accepted"),
        };
        let Acceptance::Recording(waiters) = recording else {
            return;
        };
        for waiter in waiters {
            self.reply(waiter, ShardReply::Answer(answer.clone()));
        }
    }

    /// The table currently accepts no records. Answers that are valid without
    /// their record are given at once: if this process dies before the record
    /// is written, the workers still have the unacknowledged results.
    pub(crate) fn on_journal_stalled(&mut self) {
        self.journal_stalled = true;
        let is_closing = |entry: &Entry| match &entry.stage {
            Stage::Closing(answer) => is_valid_without_record(answer.code),
            _ => false,
        };
        let keys: Vec<String> = self
            .ledger
            .iter()
            .filter(|(_, entry)| is_closing(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.answer_waiters(&key);
        }
    }

    /// Answers requests whose intent could not be recorded before their
    /// deadline. No start was or will be sent for them: their stage changes
    /// here, and a later owner that finds the intent also finds that the
    /// deadline has passed.
    pub(crate) fn fail_overdue_intents(&mut self) {
        let now = self.times.now;
        let is_overdue =
            |entry: &Entry| matches!(entry.stage, Stage::Recording(_)) && entry.deadline < now;
        let keys: Vec<String> = self
            .ledger
            .iter()
            .filter(|(_, entry)| is_overdue(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            let may_have_run = self.ledger.get(&key).is_some_and(Entry::may_have_run);
            self.withdraw(&key);
            if may_have_run {
                self.finish_without_output(
                    &key,
                    Code::HostLost,
                    "interrupted, and the table is unavailable",
                );
            } else {
                let reason = "its intent could not be recorded before its deadline";
                self.finish_without_output(&key, Code::StoreUnavailable, reason);
            }
        }
    }
}

fn unfenced_start(entry: &Entry, key: &str, member: &Member) -> UnfencedStart {
    UnfencedStart {
        attempt: member.attempt.clone(),
        incarnation: member.incarnation.clone(),
        request: key.to_owned(),
        needs: entry.request.task_needs(),
        payload: entry.request.payload.clone(),
        run_millis: entry.request.run_millis,
        checkpoint: entry.checkpoint.clone(),
    }
}
