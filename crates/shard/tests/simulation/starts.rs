//! Starts that are in flight to the workers.

use shard::Input;
use shard::NotStarted;
use shard::StartOrder;
use worker::Task;

use super::SLOTS;
use super::Simulation;

/// A start in flight, with the epoch of its sender and the worker incarnation
/// that it names.
#[derive(Debug)]
pub(super) struct StartInFlight {
    pub(super) worker: usize,
    pub(super) epoch: u64,
    pub(super) run: u32,
    pub(super) order: StartOrder,
}

impl Simulation {
    pub(super) fn arrive(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let in_flight = self.in_flight.remove(index % self.in_flight.len());
        let own = in_flight.epoch == self.epoch;
        let attempt = in_flight.order.attempt.clone();
        let worker = &mut self.workers[in_flight.worker];
        let fenced = in_flight.epoch != worker.epoch && !self.skip_fencing;
        let refused = fenced
            || in_flight.run != worker.run
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
                request: in_flight.order.request.clone(),
                needs: in_flight.order.needs,
                end: None,
            };
            worker.tasks.insert(attempt.clone(), task);
            *self.starts.entry(in_flight.order.request).or_default() += 1;
        }
        if own {
            let input = if refused {
                Input::NotStarted(attempt, NotStarted::Full)
            } else {
                Input::Started(attempt)
            };
            self.report(in_flight.worker, input);
        }
    }

    pub(super) fn refuse(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let in_flight = self.in_flight.remove(index % self.in_flight.len());
        if in_flight.epoch == self.epoch {
            let attempt = in_flight.order.attempt;
            self.report(
                in_flight.worker,
                Input::NotStarted(attempt, NotStarted::Unsent),
            );
        }
    }
}
