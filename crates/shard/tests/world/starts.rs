//! Starts on their way to the workers.

use shard::Input;
use shard::NotStarted;
use shard::StartOrder;
use worker::Task;

use super::SLOTS;
use super::World;

/// A start on its way: its epoch and the run that it names.
#[derive(Debug)]
pub(super) struct Flying {
    pub(super) worker: usize,
    pub(super) epoch: u64,
    pub(super) run: u32,
    pub(super) order: StartOrder,
}

impl World {
    pub(super) fn arrive(&mut self, index: usize) {
        if self.flying.is_empty() {
            return;
        }
        let flying = self.flying.remove(index % self.flying.len());
        let own = flying.epoch == self.epoch;
        let attempt = flying.order.attempt.clone();
        let worker = &mut self.workers[flying.worker];
        let fenced = flying.epoch != worker.epoch && !self.unfenced;
        let refused = fenced
            || flying.run != worker.run
            || worker.closed.contains(&attempt)
            || worker.running() >= SLOTS as usize;
        if worker.tasks.contains_key(&attempt) {
            return;
        }
        if refused {
            worker.closed.insert(attempt.clone());
        } else {
            let task = Task {
                attempt: attempt.clone(),
                request: flying.order.request.clone(),
                needs: flying.order.needs,
                end: None,
            };
            worker.tasks.insert(attempt.clone(), task);
            *self.starts.entry(flying.order.request).or_default() += 1;
        }
        if own {
            let input = if refused {
                Input::NotStarted(attempt, NotStarted::Full)
            } else {
                Input::Started(attempt)
            };
            self.tell(flying.worker, input);
        }
    }

    pub(super) fn refuse(&mut self, index: usize) {
        if self.flying.is_empty() {
            return;
        }
        let flying = self.flying.remove(index % self.flying.len());
        if flying.epoch == self.epoch {
            let attempt = flying.order.attempt;
            self.tell(
                flying.worker,
                Input::NotStarted(attempt, NotStarted::Unsent),
            );
        }
    }
}
