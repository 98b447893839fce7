//! Workers: their tasks, their restarts, and what their links tell the shard.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use shard::Input;
use shard::NotStarted;
use worker::ClaimReply;
use worker::EndResult;
use worker::Task;

use super::WORKERS;
use super::World;
use super::facts::capacity;
use super::facts::ended;
use super::facts::name_of;
use super::starts::Flying;

/// A worker: what it runs, and what it refuses.
#[derive(Debug, Default)]
pub(super) struct FakeWorker {
    pub(super) run: u32,
    pub(super) epoch: u64,
    pub(super) tasks: BTreeMap<String, Task>,
    /// Attempts that it refuses for good.
    pub(super) closed: BTreeSet<String>,
    /// What its link has told the shard, which has not read it yet.
    pub(super) unread: VecDeque<Input>,
}

impl FakeWorker {
    /// Tasks that have not ended.
    pub(super) fn running(&self) -> usize {
        let tasks = self.tasks.values();
        tasks.filter(|task| task.end.is_none()).count()
    }

    /// Drops tasks, and refuses their attempts from now on.
    pub(super) fn forget(&mut self, attempts: Vec<String>) {
        for attempt in attempts {
            self.tasks.remove(&attempt);
            self.closed.insert(attempt);
        }
    }
}

impl World {
    pub(super) fn stop(&mut self, worker: usize, attempt: &str) {
        let state = &mut self.workers[worker];
        match state.tasks.get_mut(attempt) {
            Some(task) if task.end.is_none() => task.end = Some(ended(EndResult::Stopped)),
            Some(_) => {}
            None => {
                state.closed.insert(attempt.to_owned());
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
            self.tell(worker, Input::Ended(name_of(worker), vec![task]));
        }
    }

    pub(super) fn repeat(&mut self, worker: usize) {
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
        self.tell(worker, Input::Ended(name_of(worker), ended));
    }

    pub(super) fn restart(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        state.run += 1;
        state.epoch = 0;
        state.tasks.clear();
        state.closed.clear();
        self.tell(worker, Input::WorkerLost(name_of(worker)));
    }

    /// A link's news keep their order: they wait behind what is unread.
    pub(super) fn tell(&mut self, worker: usize, input: Input) {
        let unread = &mut self.workers[worker].unread;
        if unread.is_empty() {
            self.feed(input);
        } else {
            unread.push_back(input);
        }
    }

    pub(super) fn hear(&mut self, worker: usize) {
        while let Some(input) = self.workers[worker].unread.pop_front() {
            self.feed(input);
        }
    }

    pub(super) fn claim(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        let again = state.epoch == self.epoch;
        state.epoch = self.epoch;
        let claimed = ClaimReply {
            incarnation: format!("run-{}", state.run),
            turn: 1,
            capacity: capacity(),
            tasks: state.tasks.values().cloned().collect(),
        };
        let run = state.run;
        let input = Input::Claimed(name_of(worker), claimed);
        self.workers[worker].unread.push_back(input);
        // The link reports the starts that its claim has fenced off.
        let epoch = self.epoch;
        let dead = |flying: &Flying| {
            flying.worker == worker && flying.epoch == epoch && flying.run != run && !again
        };
        let (dead, alive) = std::mem::take(&mut self.flying).into_iter().partition(dead);
        self.flying = alive;
        let dead: Vec<Flying> = dead;
        for flying in dead {
            let input = Input::NotStarted(flying.order.attempt, NotStarted::Fenced);
            self.workers[worker].unread.push_back(input);
        }
    }

    /// The worker ends its tasks first; its owner hears of it later.
    pub(super) fn lease_over(&mut self, worker: usize) {
        for task in self.workers[worker].tasks.values_mut() {
            task.end.get_or_insert_with(|| ended(EndResult::LeaseOver));
        }
        // Starts that are still under way name a reply that is too old.
        for flying in &self.flying {
            if flying.worker == worker {
                self.workers[worker]
                    .closed
                    .insert(flying.order.attempt.clone());
            }
        }
        if self.workers[worker].epoch == self.epoch {
            self.tell(worker, Input::WorkerLost(name_of(worker)));
            self.tell(worker, Input::LeaseOver(name_of(worker)));
        }
    }
}
