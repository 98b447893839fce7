//! The owner's estimate of a worker's clock.

use std::time::Duration;

/// An estimate of a worker's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockGuess {
    /// Time that the worker's clock showed.
    pub(super) worker: Duration,
    /// The owner's time when the reading arrived.
    pub(super) ours: Duration,
}

impl ClockGuess {
    /// The worker's clock at the owner's time `now`. The estimate is never ahead of the
    /// worker's clock, since the reading took some time to arrive.
    pub(super) fn at(&self, now: Duration) -> Duration {
        self.worker + now.saturating_sub(self.ours)
    }
}
