//! A worker ends its tasks by itself when their lease is over.

use std::time::Duration;
use std::time::Instant;

use model::digest;
use worker::End;
use worker::EndResult;

use super::FakeWorker;
use super::state::State;
use crate::RunLog;

/// Interval at which the worker looks for leases that are over.
const LEASE_TICK: Duration = Duration::from_millis(20);

impl FakeWorker {
    /// Ends tasks whose lease is over, for as long as the worker exists.
    pub async fn enforce_lease(self) {
        loop {
            tokio::time::sleep(LEASE_TICK).await;
            let mut state = self.lock();
            let over = state
                .lease_until
                .is_some_and(|until| Instant::now() >= until);
            if over {
                state.end_all(&self.log, &self.id);
            }
            drop(state);
            if over {
                self.news.notify_waiters();
            }
        }
    }
}

impl State {
    fn end_all(&mut self, log: &RunLog, id: &str) {
        for running in self.tasks.values_mut().filter(|r| r.task.end.is_none()) {
            running.task.end = Some(End {
                result: EndResult::LeaseOver,
                output: String::new(),
                digest: digest(""),
            });
            log.end(id, &running.task.attempt, EndResult::LeaseOver);
        }
    }
}
