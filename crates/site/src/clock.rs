//! Wall clock, and the timer of simulated workers.

use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::watch;

use crate::FakeWorker;
use crate::worker::POLL_INTERVAL;

/// Returns the wall clock in Unix milliseconds.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Ends the runs of a worker and carries out its delayed commands when they are due, even while
/// the worker is unreachable.
pub async fn run_clock(worker: Arc<FakeWorker>, stop: watch::Receiver<bool>) {
    // The channel closes when the test ends.
    while stop.has_changed().is_ok() {
        worker.tick();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
