//! Simulated workers: their tasks, their restarts, and the reports of their
//! links to the shard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use shard::Input;
use shard::NotStarted;
use worker::ClaimReply;
use worker::EndResult;
use worker::Task;

use super::Simulation;
use super::WORKERS;
use super::fixtures::capacity;
use super::fixtures::ended;
use super::fixtures::worker_name;
use super::starts::StartInFlight;

/// A worker: its running tasks and the attempts that it refuses.
#[derive(Debug, Default)]
pub(super) struct FakeWorker {
    pub(super) incarnation: u32,
    pub(super) epoch: u64,
    pub(super) tasks: BTreeMap<String, Task>,
    /// Attempts whose starts it will always refuse.
    pub(super) refused_attempts: BTreeSet<String>,
    /// Inputs queued by its link that the shard has not handled yet.
    pub(super) undelivered: VecDeque<Input>,
}

impl FakeWorker {
    /// Number of tasks that have not ended.
    pub(super) fn running(&self) -> usize {
        let tasks = self.tasks.values();
        tasks.filter(|task| task.end.is_none()).count()
    }

    /// Drops tasks and refuses their attempts from now on.
    pub(super) fn forget(&mut self, attempts: Vec<String>) {
        for attempt in attempts {
            self.tasks.remove(&attempt);
            self.refused_attempts.insert(attempt);
        }
    }
}

impl Simulation {
    pub(super) fn stop(&mut self, worker: usize, attempt: &str) {
        let state = &mut self.workers[worker];
        match state.tasks.get_mut(attempt) {
            Some(task) if task.end.is_none() => task.end = Some(ended(EndResult::Stopped)),
            Some(_) => {}
            None => {
                state.refused_attempts.insert(attempt.to_owned());
            }
        }
    }

    pub(super) fn end(&mut self, index: usize) {
        let worker = index % WORKERS;
        let state = &mut self.workers[worker];
        let open = state.tasks.values_mut().find(|task| task.end.is_none());
        let Some(task) = open else {
            return;
        };
        task.end = Some(ended(EndResult::Succeeded));
        let task = task.clone();
        if state.epoch == self.epoch {
            self.report(worker, Input::Ended(worker_name(worker), vec![task]));
        }
    }

    pub(super) fn repeat_ends(&mut self, worker: usize) {
        let state = &self.workers[worker];
        if state.epoch != self.epoch {
            return;
        }
        let ended = state
            .tasks
            .values()
            .filter(|task| task.end.is_some())
            .cloned()
            .collect();
        self.report(worker, Input::Ended(worker_name(worker), ended));
    }

    /// Restarts a worker, which loses its tasks and is no longer claimed.
    pub(super) fn restart(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        state.incarnation += 1;
        state.epoch = 0;
        state.tasks.clear();
        state.refused_attempts.clear();
        self.report(worker, Input::WorkerLost(worker_name(worker)));
    }

    /// Reports an input of a worker's link. The inputs of a link keep their
    /// order: while some are queued, this one is queued behind them.
    pub(super) fn report(&mut self, worker: usize, input: Input) {
        let undelivered = &mut self.workers[worker].undelivered;
        if undelivered.is_empty() {
            self.feed(input);
        } else {
            undelivered.push_back(input);
        }
    }

    pub(super) fn deliver_reports(&mut self, worker: usize) {
        while let Some(input) = self.workers[worker].undelivered.pop_front() {
            self.feed(input);
        }
    }

    /// Claims a worker for the current owner; the shard handles the reply later.
    pub(super) fn claim(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        let reclaimed = state.epoch == self.epoch;
        state.epoch = self.epoch;
        let claimed = ClaimReply {
            incarnation: format!("run-{}", state.incarnation),
            reply_number: 1,
            capacity: capacity(),
            tasks: state.tasks.values().cloned().collect(),
        };
        let incarnation = state.incarnation;
        let input = Input::Claimed(worker_name(worker), claimed);
        self.workers[worker].undelivered.push_back(input);
        // The link reports that its claim has fenced off these starts.
        let epoch = self.epoch;
        let fenced_off = |start: &StartInFlight| {
            start.worker == worker
                && start.epoch == epoch
                && start.incarnation != incarnation
                && !reclaimed
        };
        let (fenced_off, remaining) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(fenced_off);
        self.in_flight = remaining;
        let fenced_off: Vec<StartInFlight> = fenced_off;
        for start in fenced_off {
            let input = Input::NotStarted(start.message.attempt, NotStarted::Fenced);
            self.workers[worker].undelivered.push_back(input);
        }
    }

    /// Expires the lease of a worker's tasks: the worker ends them first, and
    /// the owner detects it later.
    pub(super) fn expire_lease(&mut self, worker: usize) {
        for task in self.workers[worker].tasks.values_mut() {
            task.end.get_or_insert_with(|| ended(EndResult::LeaseOver));
        }
        // Starts still in flight contain the number of a poll reply from before
        // the expiry, so the worker refuses them.
        for start in &self.in_flight {
            if start.worker == worker {
                self.workers[worker]
                    .refused_attempts
                    .insert(start.message.attempt.clone());
            }
        }
        if self.workers[worker].epoch == self.epoch {
            self.report(worker, Input::WorkerLost(worker_name(worker)));
            self.report(worker, Input::LeaseExpired(worker_name(worker)));
        }
    }
}
