//! The stand-in worker: accepts claims, starts and stops tasks, and reports the
//! ends of tasks in its replies to polls.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use model::Resources;
use model::WorkerId;
use model::digest;
use tokio::sync::Notify;
use worker::Claim;
use worker::ClaimReply;
use worker::End;
use worker::EndResult;
use worker::Poll;
use worker::PollReply;
use worker::Refusal;
use worker::RefusalReason;
use worker::Start;
use worker::Stop;
use worker::Task;

use super::Behaviour;
use super::FAIL_PAYLOAD;
use super::state::State;
use super::state::TrackedTask;
use crate::RunLog;
use crate::run_log::original_key;

/// Stand-in for a worker; clones share its state.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Id of the worker in the host list.
    pub id: WorkerId,
    capacity: Resources,
    pub(super) log: RunLog,
    state: Arc<Mutex<State>>,
    /// Wakes the polls that wait for the end of a task.
    pub(super) end_notify: Arc<Notify>,
}

impl FakeWorker {
    /// Creates a worker without tasks that records its runs in `log`.
    #[must_use]
    pub fn new(id: &str, capacity: Resources, log: RunLog) -> FakeWorker {
        FakeWorker {
            id: id.to_owned(),
            capacity,
            log,
            state: Arc::new(Mutex::new(State::new(id))),
            end_notify: Arc::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults and delays of the worker.
    pub fn update(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.lock().behaviour);
    }

    /// Stops all tasks and clears the state, like a restart of the process.
    pub fn restart(&self) {
        let mut state = self.lock();
        for task in state.running_tasks() {
            self.log.end(&self.id, &task.attempt, EndResult::Stopped);
        }
        state.restart(&self.id);
    }

    /// Number of tasks that are running.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.lock().running_tasks().count()
    }

    /// Accepts a claim unless its fence is older than that of an earlier claim. The reply
    /// lists the running tasks and the ends that no poll has acknowledged.
    pub(super) fn claim(&self, claim: &Claim) -> Result<ClaimReply, Refusal> {
        let mut state = self.lock();
        if claim.fence < state.fence && !state.behaviour.ignore_fence {
            return Err(state.refusal(RefusalReason::Fenced));
        }
        state.fence = claim.fence;
        state.claimed = true;
        state.lease_duration = Duration::from_millis(claim.lease_millis);
        let reply_number = state.next_reply_number();
        Ok(ClaimReply {
            incarnation: state.incarnation.clone(),
            reply_number,
            capacity: self.capacity,
            tasks: state
                .tasks
                .values()
                .map(|tracked| tracked.task.clone())
                .collect(),
        })
    }

    /// Starts a task, or refuses the start; confirms it if the attempt has already started.
    pub(super) fn start(&self, start: &Start) -> Result<(), Refusal> {
        let mut state = self.lock();
        if state.has_started(&start.attempt) {
            return Ok(());
        }
        if let Some(reason) = state.refusal_reason(start, &self.capacity) {
            state.close_attempt(start.attempt.clone(), false);
            return Err(state.refusal(reason));
        }
        let task = Task {
            attempt: start.attempt.clone(),
            request: start.request.clone(),
            needs: start.needs,
            end: None,
        };
        state.tasks.insert(
            start.attempt.clone(),
            TrackedTask {
                task,
                reported_in: 0,
            },
        );
        self.log.start(&self.id, start);
        let fails = state.behaviour.fails || start.payload == FAIL_PAYLOAD;
        drop(state);
        let worker = self.clone();
        let start = start.clone();
        tokio::spawn(async move { worker.run_task(start, fails).await });
        Ok(())
    }

    /// Runs a task for its run time, or ends it as failed at once.
    async fn run_task(&self, start: Start, fails: bool) {
        let duration = if fails { 0 } else { start.run_millis };
        tokio::time::sleep(Duration::from_millis(duration)).await;
        let result = if fails {
            EndResult::Failed
        } else {
            EndResult::Succeeded
        };
        let output = format!("{}:{}", original_key(&start.request), start.payload);
        self.finish(&start.incarnation, &start.attempt, result, output);
    }

    /// Ends a task, unless it has already ended or the worker has restarted since
    /// `incarnation`.
    fn finish(&self, incarnation: &str, attempt: &str, result: EndResult, output: String) {
        let mut state = self.lock();
        if state.incarnation != incarnation {
            return;
        }
        let Some(tracked) = state.tasks.get_mut(attempt) else {
            return;
        };
        if tracked.task.end.is_some() {
            return;
        }
        let digest = digest(&output);
        tracked.task.end = Some(End {
            result,
            output,
            digest,
        });
        self.log.end(&self.id, attempt, result);
        drop(state);
        self.end_notify.notify_waiters();
    }

    /// Stops a task, with a checkpoint if the call asks for one. An attempt that has not
    /// started must not start later.
    pub(super) fn stop(&self, stop: &Stop) -> Result<(), Refusal> {
        let mut state = self.lock();
        if stop.fence < state.fence {
            return Err(state.refusal(RefusalReason::Fenced));
        }
        if !state.has_started(&stop.attempt) {
            state.close_attempt(stop.attempt.clone(), false);
        }
        let incarnation = state.incarnation.clone();
        drop(state);
        let (result, output) = if stop.checkpoint {
            (
                EndResult::Checkpointed,
                format!("checkpoint/{}", stop.attempt),
            )
        } else {
            (EndResult::Stopped, String::new())
        };
        self.finish(&incarnation, &stop.attempt, result, output);
        Ok(())
    }

    /// Replies to a poll when the end of a task is to be reported, or after the wait that
    /// the poll asks for.
    pub(super) async fn poll(&self, poll: &Poll) -> Result<PollReply, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(poll.wait_millis);
        self.lock().accept_poll(poll)?;
        loop {
            let wakeup = self.end_notify.notified();
            tokio::pin!(wakeup);
            wakeup.as_mut().enable();
            {
                let mut state = self.lock();
                if state.fence != poll.fence && !state.behaviour.ignore_fence {
                    return Err(state.refusal(RefusalReason::Fenced));
                }
                let unreported = state.has_unreported_ends(poll.reply_number);
                if unreported || Instant::now() >= deadline {
                    return Ok(state.poll_reply(poll.reply_number));
                }
            }
            let _ = tokio::time::timeout_at(deadline.into(), wakeup).await;
        }
    }
}
