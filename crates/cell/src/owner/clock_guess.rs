//! What the owner knows of a worker's clock.

use std::time::Duration;

/// An estimate of a worker's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockGuess {
    /// What it read.
    pub(super) worker: Duration,
    /// Our clock when the reading came.
    pub(super) ours: Duration,
}

impl ClockGuess {
    /// The worker's clock now; at most the true one, since its reading was on
    /// the way for some time.
    pub(super) fn at(&self, now: Duration) -> Duration {
        self.worker + now.saturating_sub(self.ours)
    }
}
