//! Processes the start and the end of tasks, up to the answer of their request.

use event::Event;
use event::Kind;
use model::Answer;
use model::Code;
use model::Family;
use sched::HealthChange;
use sched::SubmitError;
use worker::EndResult;
use worker::Task;

use crate::AttemptOutcome;
use crate::Entry;
use crate::Machine;
use crate::Member;
use crate::MemberState;
use crate::NotStarted;
use crate::Output;
use crate::Record;
use crate::RunHistory;
use crate::ShardReply;
use crate::Stage;
use crate::StopMode;
use crate::attempt_key;
use crate::cancel::is_cancelled;
use crate::evaluate_attempt;
use crate::machine::PendingRecord;

/// Maximum difference between the clocks of a caller and of a process, when the
/// time of a first call is compared with that of a take-over.
const CLOCK_SKEW_MILLIS: u64 = 2000;

impl Machine {
    /// A worker has confirmed that it runs a task. If the request was cancelled
    /// meanwhile, the task is stopped.
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

    /// The link reports that a task was not started and never will be. Settles
    /// the member, and places no tasks on the worker for a short time.
    pub(crate) fn on_not_started(&mut self, attempt: &str, reason: NotStarted) {
        let key = attempt_key(attempt).to_owned();
        log::debug!("attempt {attempt} was not started: {reason:?}");
        let entry = self.ledger.get_mut(&key);
        let worker = entry.and_then(|e| e.member_mut(attempt).map(|m| m.worker.clone()));
        if let Some(worker) = worker {
            self.pause_worker(&worker);
        }
        self.settle(&key, attempt, MemberState::NotStarted);
    }

    /// Processes the ended tasks in a worker's poll reply.
    pub(crate) fn on_ended(&mut self, worker: &str, tasks: Vec<Task>) {
        for task in tasks {
            self.on_task_end(worker, task);
        }
    }

    /// Settles the member that ran a task with the task's end. If the request is
    /// not in the ledger, records it from the worker's report.
    fn on_task_end(&mut self, worker: &str, task: Task) {
        let Some(end) = task.end else {
            return;
        };
        let key = task.request;
        let Some(entry) = self.ledger.get_mut(&key) else {
            // The request has left the ledger, or a former owner did not
            // record it.
            self.record_unknown_end(&key, worker, task.needs, &end);
            self.forget_task(worker, task.attempt);
            return;
        };
        let is_open = entry
            .member_mut(&task.attempt)
            .is_some_and(|m| !m.state.is_settled());
        if !is_open {
            // While the request is open, the workers keep the results of its
            // earlier attempts: a later owner finds only the intent in the
            // journal, and only these results show it that the attempt ran.
            let answered = entry.answer().is_some();
            if answered || !entry.recorded {
                self.forget_task(worker, task.attempt);
            }
            return;
        }
        let cancelled = self.ledger.get(&key).is_some_and(|entry| entry.cancelled);
        if !cancelled && let Some(succeeded) = worker_success(end.result) {
            self.record_health(worker, succeeded);
        }
        let event = Event::new(Kind::TaskEnded).request(&key).worker(worker);
        self.event(event.detail(format!("{:?}", end.result)));
        self.settle(&key, &task.attempt, MemberState::Ended(end));
    }

    /// Lets a worker forget an ended task. It keeps the result until the answer
    /// is recorded, so that nothing is lost if the owner ends before that.
    pub(crate) fn forget_task(&mut self, worker: &str, attempt: String) {
        self.outputs
            .push(Output::Forget(worker.to_owned(), vec![attempt]));
    }

    fn record_unknown_end(
        &mut self,
        key: &str,
        worker: &str,
        needs: model::Resources,
        end: &worker::End,
    ) {
        let entry = Entry::from_report(key, needs, self.times.now);
        let outcome = evaluate_attempt(&entry, &[(worker, end)]);
        self.ledger.insert(key, entry);
        if let AttemptOutcome::Answer(answer) = outcome {
            self.ledger.finish(key, answer, self.times.now);
        } else {
            self.finish_without_output(key, Code::HostLost, "interrupted under an earlier owner");
        }
    }

    fn record_health(&mut self, worker: &str, succeeded: bool) {
        let Some(worker_key) = self.core.worker(worker) else {
            return;
        };
        let kind = match self.core.record_end(worker_key, succeeded) {
            HealthChange::None => return,
            HealthChange::Quarantined => Kind::WorkerQuarantined,
            HealthChange::Restored => Kind::WorkerRestored,
        };
        self.event(Event::new(kind).worker(worker));
    }

    /// Sets the final state of one member. When all members are settled, the
    /// attempt is evaluated.
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
        let all_settled = entry.members.iter().all(|member| member.state.is_settled());
        if let (Some(job), Some(worker)) = (job, self.core.worker(&worker)) {
            self.core.release(job, worker);
        }
        if all_settled {
            self.finish_attempt(key);
        } else {
            self.stop_broken_gang(key);
        }
    }

    /// Stops all remaining members of a gang that has lost one.
    fn stop_broken_gang(&mut self, key: &str) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let broken = entry.members.iter().any(|member| match &member.state {
            MemberState::NotStarted | MemberState::Interrupted | MemberState::Unreachable => true,
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

    fn finish_attempt(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        if entry.is_closed() {
            return;
        }
        if let Some(job) = entry.job() {
            self.request_keys.remove(&job);
        }
        let started = |member: &Member| member.state != MemberState::NotStarted;
        let end_unknown = |member: &Member| !matches!(member.state, MemberState::Ended(_));
        if entry.members.iter().any(|m| started(m) && end_unknown(m)) {
            entry.add_history(RunHistory::EndUnknown);
        } else if entry.members.iter().any(started) {
            entry.add_history(RunHistory::EndKnown);
        }
        match evaluate_attempt(entry, &[]) {
            AttemptOutcome::Answer(answer) => self.finish(key, answer),
            AttemptOutcome::Retry(checkpoint) => self.requeue(key, checkpoint),
        }
    }

    /// Queues a request for its next attempt. A request with one member avoids
    /// the workers of the previous attempt, unless there are no others.
    pub(crate) fn requeue(&mut self, key: &str, checkpoint: Option<String>) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        if let Some(name) = checkpoint {
            entry.checkpoint = name;
        }
        let earlier_workers = entry.members.iter().filter(|m| m.state.is_settled());
        let earlier_workers: Vec<String> = earlier_workers.map(|m| m.worker.clone()).collect();
        let mut members = std::mem::take(&mut entry.members);
        entry.earlier_members.append(&mut members);
        if entry.may_have_run() {
            entry.deadline = entry.deadline.max(self.times.now + crate::RESTART_GRACE);
        }
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let mut spec = Self::job_spec(entry);
        spec.avoid = earlier_workers
            .iter()
            .filter_map(|id| self.core.worker(id))
            .collect();
        if spec.avoid.len() >= self.core.workers().count() {
            spec.avoid.clear();
        }
        match self.core.submit(self.times.now, spec) {
            Ok(job) => {
                self.request_keys.insert(job, key.to_owned());
                if let Some(entry) = self.ledger.get_mut(key) {
                    entry.stage = Stage::Waiting(job);
                }
            }
            Err(refused) => self.finish_interrupted(key, refused),
        }
    }

    /// Answers a request that the scheduling core did not queue again.
    pub(crate) fn finish_interrupted(&mut self, key: &str, refused: SubmitError) {
        let may_have_run = self.ledger.get(key).is_some_and(Entry::may_have_run);
        if may_have_run {
            self.finish_without_output(
                key,
                Code::HostLost,
                "interrupted, and there is no room to run it again",
            );
        } else {
            let (code, reason) = refusal_code(refused);
            self.finish_without_output(key, code, reason);
        }
    }

    /// Queues requests again that a former owner had accepted, unless an
    /// intent shows that they may have started.
    pub(crate) fn requeue_recovered(&mut self) {
        let never_placed = |entry: &Entry| !entry.is_closed() && entry.members.is_empty();
        let keys: Vec<String> = self
            .ledger
            .iter()
            .filter(|(_, entry)| never_placed(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.requeue(&key, None);
        }
    }

    /// Answers a request with a code and a reason only.
    pub(crate) fn finish_without_output(&mut self, key: &str, code: Code, reason: &str) {
        let id = key.split_once('/').map_or(key, |(_, id)| id);
        self.finish(key, Answer::without_output(id, code, reason));
    }

    /// Replaces a "not run" answer if a former owner may have run the
    /// request. That owner may have run and answered an unrecorded request
    /// before it died. A caller that lost the answer repeats the call with the
    /// time of its first call, which is before the take-over by this owner.
    pub(crate) fn qualify_not_run(&self, entry: &Entry, answer: Answer) -> Answer {
        let not_run = answer.code.family() == Family::NotRun;
        let sent = entry.request.sent_millis;
        let takeover_bound = self.params.takeover_millis + CLOCK_SKEW_MILLIS;
        let is_certain = entry.recorded
            || sent == 0
            || sent > takeover_bound
            || self.params.takeover_millis == 0;
        if !not_run || is_certain {
            return answer;
        }
        let reason = format!(
            "an earlier owner of its shard may have run it; now: {}",
            answer.reason
        );
        Answer::without_output(&answer.id, Code::OwnerLost, reason)
    }

    /// Answers a request: at once, or, if the request is recorded, after its
    /// answer is in the table.
    pub(crate) fn finish(&mut self, key: &str, answer: Answer) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let answer = self.qualify_not_run(entry, answer);
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
        self.append(record, PendingRecord::End(key.to_owned()));
        if self.journal_stalled && is_valid_without_record(code) {
            self.answer_waiters(key);
        }
    }

    /// Makes the decided answer of a request final: replies to its waiters and
    /// lets the workers forget its ended tasks.
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
            .chain(&entry.earlier_members)
            .filter(|member| matches!(member.state, MemberState::Ended(_)))
            .map(|member| (member.worker.clone(), member.attempt.clone()))
            .collect();
        for (worker, attempt) in ended {
            self.forget_task(&worker, attempt);
        }
        if is_recorded(self.ledger.get(key)) {
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

    /// Sends the decided answer of a request to the callers that wait for it.
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

/// Whether the result of a task counts as a success of its worker; `None` if
/// the task was interrupted. A task that was stopped, or whose lease expired,
/// proves nothing: counting it as a success would end the quarantine of a worker
/// on which every task still fails.
fn worker_success(result: EndResult) -> Option<bool> {
    match result {
        EndResult::Succeeded | EndResult::Checkpointed => Some(true),
        EndResult::Failed => Some(false),
        EndResult::Stopped | EndResult::LeaseOver => None,
    }
}

/// Whether an answer may be given before its record is in the table. Answers
/// that say that the request will not run may not: if this owner ends first, the
/// next one finds the request open and starts it although its caller got the
/// answer "not run". A missed deadline is an exception, since the next owner
/// applies it too.
pub(crate) fn is_valid_without_record(code: Code) -> bool {
    !is_cancelled(code) && !matches!(code, Code::QueueFull | Code::NeverFits)
}

/// Answer code and reason for a request that the scheduling core refuses.
pub(crate) fn refusal_code(refused: SubmitError) -> (Code, &'static str) {
    match refused {
        SubmitError::NeverFits => {
            let reason = "no set of workers of its shard is large enough";
            (Code::NeverFits, reason)
        }
        SubmitError::QueueFull => (Code::QueueFull, "the team's queue is full"),
    }
}

fn is_recorded(entry: Option<&Entry>) -> bool {
    entry.is_some_and(|entry| entry.recorded)
}
