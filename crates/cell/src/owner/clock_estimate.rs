//! The owner's estimate of a worker's clock.

use std::time::Duration;

/// An estimate of a worker's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockEstimate {
    /// Time that the worker's clock showed in its newest report.
    pub(super) reading: Duration,
    /// The owner's time when the reading arrived.
    pub(super) read_at: Duration,
}

impl ClockEstimate {
    /// Estimated time of the worker's clock at the owner's time `now`. The estimate is never
    /// ahead of the worker's clock, since the reading took some time to arrive.
    pub(super) fn worker_time(&self, now: Duration) -> Duration {
        self.reading + now.saturating_sub(self.read_at)
    }
}
