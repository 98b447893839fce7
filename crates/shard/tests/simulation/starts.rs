//! Starts that are in flight to the workers.

use shard::Input;
use shard::NotStarted;
use shard::UnfencedStart;
use worker::Task;

use super::SLOTS;
use super::Simulation;

/// A start in flight, with the epoch of its sender and the worker incarnation
/// that it names.
#[derive(Debug)]
pub(super) struct StartInFlight {
    pub(super) worker: usize,
    pub(super) epoch: u64,
    pub(super) incarnation: u32,
    pub(super) message: UnfencedStart,
}

impl Simulation {
    /// Delivers a start to its worker, which reports the outcome if the start is
    /// from the current owner.
    pub(super) fn arrive(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let start = self.in_flight.remove(index % self.in_flight.len());
        let from_current_owner = start.epoch == self.epoch;
        let attempt = start.message.attempt.clone();
        let worker = &mut self.workers[start.worker];
        let fenced = start.epoch != worker.epoch && !self.skip_fencing;
        let refused = fenced
            || start.incarnation != worker.incarnation
            || worker.refused_attempts.contains(&attempt)
            || worker.running() >= SLOTS as usize;
        if worker.tasks.contains_key(&attempt) {
            return;
        }
        if refused {
            worker.refused_attempts.insert(attempt.clone());
        } else {
            let task = Task {
                attempt: attempt.clone(),
                request: start.message.request.clone(),
                needs: start.message.needs,
                end: None,
            };
            worker.tasks.insert(attempt.clone(), task);
            *self.starts.entry(start.message.request).or_default() += 1;
        }
        if from_current_owner {
            let input = if refused {
                Input::NotStarted(attempt, NotStarted::Full)
            } else {
                Input::Started(attempt)
            };
            self.report(start.worker, input);
        }
    }

    /// Drops a start; the link reports that it was not sent.
    pub(super) fn refuse(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let start = self.in_flight.remove(index % self.in_flight.len());
        if start.epoch == self.epoch {
            let attempt = start.message.attempt;
            self.report(start.worker, Input::NotStarted(attempt, NotStarted::Unsent));
        }
    }
}
