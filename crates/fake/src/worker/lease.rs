//! Ends the tasks of a stand-in worker when its lease expires.

use std::time::Duration;
use std::time::Instant;

use model::digest;
use worker::End;
use worker::EndResult;

use super::FakeWorker;
use super::state::State;
use crate::RunLog;

/// Interval at which a worker checks whether its lease has expired.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl FakeWorker {
    /// Ends all running tasks whenever the lease has expired. Runs until the
    /// runtime is shut down.
    pub async fn enforce_lease(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let mut state = self.lock();
            let expired = state
                .lease_expiry
                .is_some_and(|expiry| Instant::now() >= expiry);
            if expired {
                state.expire_tasks(&self.log, &self.id);
            }
            drop(state);
            if expired {
                self.end_notify.notify_waiters();
            }
        }
    }
}

impl State {
    fn expire_tasks(&mut self, log: &RunLog, id: &str) {
        for tracked in self.tasks.values_mut().filter(|t| t.task.end.is_none()) {
            tracked.task.end = Some(End {
                result: EndResult::LeaseOver,
                output: String::new(),
                digest: digest(""),
            });
            log.end(id, &tracked.task.attempt, EndResult::LeaseOver);
        }
    }
}
