//! From the ends of tasks to the answer of their request.

use event::Event;
use event::Kind;
use model::Answer;
use model::Code;
use model::Family;
use sched::HealthChange;
use sched::Refused;
use worker::EndResult;
use worker::Task;

use crate::Entry;
use crate::Machine;
use crate::Member;
use crate::MemberState;
use crate::NotStarted;
use crate::Output;
use crate::Past;
use crate::Record;
use crate::ShardReply;
use crate::Stage;
use crate::StopMode;
use crate::Verdict;
use crate::attempt_key;
use crate::cancel::is_cancelled;
use crate::judge;
use crate::machine::Pending;

/// Most by which the clocks of a caller and of a process may differ, where
/// the time of a first call is compared with that of a take-over.
const CLOCK_SKEW_MILLIS: u64 = 2000;

impl Machine {
    pub(crate) fn on_started(&mut self, attempt: &str) {
        let key = attempt_key(attempt).to_owned();
        let member = self
            .ledger
            .get_mut(&key)
            .and_then(|entry| entry.member_mut(attempt));
        let Some(member) = member else {
            return;
        };
        if member.state != MemberState::Sent {
            return;
        }
        member.state = MemberState::Started;
        let worker = member.worker.clone();
        let now = self.times.now;
        let mut cancelled = false;
        if let Some(entry) = self.ledger.get_mut(&key) {
            entry.note_wait(now);
            cancelled = entry.cancelled;
        }
        self.event(Event::new(Kind::TaskStarted).request(&key).worker(&worker));
        if cancelled {
            let stop = Output::Stop(worker, attempt.to_owned(), StopMode::Kill);
            self.outputs.push(stop);
        }
    }

    pub(crate) fn on_not_started(&mut self, attempt: &str, reason: NotStarted) {
        let key = attempt_key(attempt).to_owned();
        log::debug!("attempt {attempt} was not started: {reason:?}");
        let entry = self.ledger.get_mut(&key);
        let worker = entry.and_then(|e| e.member_mut(attempt).map(|m| m.worker.clone()));
        if let Some(worker) = worker {
            self.hold_worker(&worker);
        }
        self.settle(&key, attempt, MemberState::NotStarted);
    }

    pub(crate) fn on_ended(&mut self, worker: &str, tasks: Vec<Task>) {
        for task in tasks {
            self.on_task_end(worker, task);
        }
    }

    fn on_task_end(&mut self, worker: &str, task: Task) {
        let Some(end) = task.end else {
            return;
        };
        let key = task.request;
        let Some(entry) = self.ledger.get_mut(&key) else {
            // Its request was forgotten, or an earlier owner never told.
            self.remember_orphan_end(&key, worker, task.needs, &end);
            self.forget_task(worker, task.attempt);
            return;
        };
        let wanted = entry
            .member_mut(&task.attempt)
            .is_some_and(|m| !m.state.is_settled());
        if !wanted {
            // While the request is open its workers keep the ends of earlier
            // attempts: they alone tell a later owner, which finds only the
            // intent, that the attempt was carried out.
            let answered = entry.answer().is_some();
            if answered || !entry.recorded {
                self.forget_task(worker, task.attempt);
            }
            return;
        }
        let cancelled = self.ledger.get(&key).is_some_and(|entry| entry.cancelled);
        if !cancelled && let Some(succeeded) = verdict_on_worker(end.result) {
            self.record_health(worker, succeeded);
        }
        let event = Event::new(Kind::TaskEnded).request(&key).worker(worker);
        self.event(event.detail(format!("{:?}", end.result)));
        self.settle(&key, &task.attempt, MemberState::Ended(end));
    }

    /// The worker keeps an end until its answer is recorded, so that an owner
    /// that dies in between costs nothing.
    pub(crate) fn forget_task(&mut self, worker: &str, attempt: String) {
        self.outputs
            .push(Output::Forget(worker.to_owned(), vec![attempt]));
    }

    fn remember_orphan_end(
        &mut self,
        key: &str,
        worker: &str,
        needs: model::Resources,
        end: &worker::End,
    ) {
        let entry = Entry::orphan(key, needs, self.times.now);
        let verdict = judge(&entry, &[(worker, end)]);
        self.ledger.insert(key, entry);
        if let Verdict::Answer(answer) = verdict {
            self.ledger.finish(key, answer, self.times.now);
        } else {
            self.finish_bare(key, Code::HostLost, "interrupted under an earlier owner");
        }
    }

    fn record_health(&mut self, worker: &str, succeeded: bool) {
        let Some(slot) = self.core.worker(worker) else {
            return;
        };
        let kind = match self.core.record_end(slot, succeeded) {
            HealthChange::None => return,
            HealthChange::Quarantined => Kind::WorkerQuarantined,
            HealthChange::Restored => Kind::WorkerRestored,
        };
        self.event(Event::new(kind).worker(worker));
    }

    /// News of one member that needs no more; the request is concluded with
    /// the last.
    pub(crate) fn settle(&mut self, key: &str, attempt: &str, state: MemberState) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let job = entry.job();
        let Some(member) = entry.member_mut(attempt) else {
            return;
        };
        if member.state.is_settled() {
            return;
        }
        member.state = state;
        let worker = member.worker.clone();
        let done = entry.members.iter().all(|member| member.state.is_settled());
        if let (Some(job), Some(worker)) = (job, self.core.worker(&worker)) {
            self.core.release(job, worker);
        }
        if done {
            self.conclude(key);
        } else {
            self.stop_broken_gang(key);
        }
    }

    /// A gang that lost a member is stopped whole.
    fn stop_broken_gang(&mut self, key: &str) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let broken = entry.members.iter().any(|member| match &member.state {
            MemberState::NotStarted | MemberState::Gone | MemberState::Missing => true,
            MemberState::Ended(end) => end.result != EndResult::Succeeded,
            _ => false,
        });
        if !broken {
            return;
        }
        let open = entry
            .members
            .iter()
            .filter(|member| !member.state.is_settled());
        let stops: Vec<Output> = open
            .map(|m| Output::Stop(m.worker.clone(), m.attempt.clone(), StopMode::Kill))
            .collect();
        self.outputs.extend(stops);
    }

    fn conclude(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        if entry.is_over() {
            return;
        }
        if let Some(job) = entry.job() {
            self.keys.remove(&job);
        }
        let started = |member: &Member| member.state != MemberState::NotStarted;
        let unseen = |member: &Member| !matches!(member.state, MemberState::Ended(_));
        if entry.members.iter().any(|m| started(m) && unseen(m)) {
            entry.touch(Past::Unseen);
        } else if entry.members.iter().any(started) {
            entry.touch(Past::Seen);
        }
        match judge(entry, &[]) {
            Verdict::Answer(answer) => self.finish(key, answer),
            Verdict::Again(checkpoint) => self.requeue(key, checkpoint),
        }
    }

    pub(crate) fn requeue(&mut self, key: &str, checkpoint: Option<String>) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        if let Some(name) = checkpoint {
            entry.checkpoint = name;
        }
        let failed = entry.members.iter().filter(|m| m.state.is_settled());
        let failed: Vec<String> = failed.map(|m| m.worker.clone()).collect();
        let mut members = std::mem::take(&mut entry.members);
        entry.spent.append(&mut members);
        if entry.touched() {
            entry.deadline = entry.deadline.max(self.times.now + crate::RESTART_GRACE);
        }
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let mut spec = Self::job_spec(entry);
        spec.avoid = failed
            .iter()
            .filter_map(|id| self.core.worker(id))
            .collect();
        if spec.avoid.len() >= self.core.workers().count() {
            spec.avoid.clear();
        }
        match self.core.submit(self.times.now, spec) {
            Ok(job) => {
                self.keys.insert(job, key.to_owned());
                if let Some(entry) = self.ledger.get_mut(key) {
                    entry.stage = Stage::Waiting(job);
                }
            }
            Err(refused) => self.finish_interrupted(key, refused),
        }
    }

    pub(crate) fn finish_interrupted(&mut self, key: &str, refused: Refused) {
        let touched = self.ledger.get(key).is_some_and(Entry::touched);
        if touched {
            self.finish_bare(
                key,
                Code::HostLost,
                "interrupted, and there is no room to run it again",
            );
        } else {
            let (code, reason) = refusal_of(refused);
            self.finish_bare(key, code, reason);
        }
    }

    /// Puts requests that an earlier owner had taken back into the queue,
    /// unless an intent tells that they may have started.
    pub(crate) fn requeue_recovered(&mut self) {
        let waits = |entry: &Entry| !entry.is_over() && entry.members.is_empty();
        let keys: Vec<String> = self
            .ledger
            .iter()
            .filter(|(_, entry)| waits(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.requeue(&key, None);
        }
    }

    pub(crate) fn finish_bare(&mut self, key: &str, code: Code, reason: &str) {
        let id = key.split_once('/').map_or(key, |(_, id)| id);
        self.finish(key, Answer::without_output(id, code, reason));
    }

    /// An answer that is true of earlier owners as well. They may have run an
    /// unrecorded request, answered it, and died; a caller that lost that
    /// answer asks again with the time of its first call, which lies before
    /// this owner's.
    pub(crate) fn make_true(&self, entry: &Entry, answer: Answer) -> Answer {
        let not_run = answer.code.family() == Family::NotRun;
        let sent = entry.request.sent_millis;
        let margin = self.facts.since_millis + CLOCK_SKEW_MILLIS;
        let known = entry.recorded || sent == 0 || sent > margin || self.facts.since_millis == 0;
        if !not_run || known {
            return answer;
        }
        let reason = format!(
            "an earlier owner of its shard may have run it; now: {}",
            answer.reason
        );
        Answer::without_output(&answer.id, Code::OwnerLost, reason)
    }

    /// Gives a request its answer: at once, or once it is recorded.
    pub(crate) fn finish(&mut self, key: &str, answer: Answer) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let answer = self.make_true(entry, answer);
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let (recorded, code) = (entry.recorded, answer.code);
        entry.stage = Stage::Closing(answer.clone());
        if !recorded {
            self.close(key);
            return;
        }
        let record = Record::End {
            key: key.to_owned(),
            answer,
            at_millis: self.times.wall_millis,
        };
        self.append(record, Pending::End(key.to_owned()));
        if self.stalled && stands_unrecorded(code) {
            self.answer_waiters(key);
        }
    }

    pub(crate) fn close(&mut self, key: &str) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let Stage::Closing(answer) = &entry.stage else {
            return;
        };
        let answer = answer.clone();
        let ended: Vec<(String, String)> = entry
            .members
            .iter()
            .chain(&entry.spent)
            .filter(|member| matches!(member.state, MemberState::Ended(_)))
            .map(|member| (member.worker.clone(), member.attempt.clone()))
            .collect();
        for (worker, attempt) in ended {
            self.forget_task(&worker, attempt);
        }
        if entry_is_recorded(self.ledger.get(key)) {
            self.ended.push(Record::End {
                key: key.to_owned(),
                answer: answer.clone(),
                at_millis: self.times.wall_millis,
            });
        }
        self.answer_waiters(key);
        let event = Event::new(Kind::RequestAnswered).request(key);
        self.event(event.detail(answer.code.to_string()));
        if is_cancelled(answer.code) {
            self.event(Event::new(Kind::RequestCancelled).request(key));
        }
        self.ledger.finish(key, answer, self.times.now);
    }

    pub(crate) fn answer_waiters(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        let Stage::Closing(answer) = &entry.stage else {
            return;
        };
        let answer = answer.clone();
        for waiter in std::mem::take(&mut entry.waiters) {
            self.reply(waiter, ShardReply::Answer(answer.clone()));
        }
    }
}

/// What an end says of its worker; none if it was cut short. A task that was
/// stopped, or whose lease ran out, proves nothing: taken for a success it
/// brought a worker out of quarantine that still fails everything.
fn verdict_on_worker(result: EndResult) -> Option<bool> {
    match result {
        EndResult::Succeeded | EndResult::Checkpointed => Some(true),
        EndResult::Failed => Some(false),
        EndResult::Stopped | EndResult::LeaseOver => None,
    }
}

/// Whether an answer may be given before its record is in the table. One that
/// says that nothing will run may not: if this owner ends first, the next one
/// finds the request open and starts it, and the caller who was told "not run"
/// sees it run. A latest start that has passed holds for the next owner too.
pub(crate) fn stands_unrecorded(code: Code) -> bool {
    !is_cancelled(code) && !matches!(code, Code::QueueFull | Code::NeverFits)
}

/// Code and reason of a request that the core refuses.
pub(crate) fn refusal_of(refused: Refused) -> (Code, &'static str) {
    match refused {
        Refused::NeverFits => {
            let reason = "no set of workers of its shard is large enough";
            (Code::NeverFits, reason)
        }
        Refused::QueueFull => (Code::QueueFull, "the team's queue is full"),
    }
}

fn entry_is_recorded(entry: Option<&Entry>) -> bool {
    entry.is_some_and(|entry| entry.recorded)
}
