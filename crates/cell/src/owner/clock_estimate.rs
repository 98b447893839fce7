//! The owner's estimates of a worker's clock.

use std::time::Duration;

/// Rate of the slowest clock of a worker, relative to the owner's.
const SLOWEST_RATE: f64 = 0.98;

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

    /// Time that the worker's clock has certainly reached at the owner's time `at`, even if it is as
    /// slow as the platform allows.
    fn earliest(&self, at: Duration) -> Duration {
        self.reading + at.saturating_sub(self.read_at).mul_f64(SLOWEST_RATE)
    }
}

/// Lower bound of a worker's clock, from the reading that took the least time to arrive.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockFloor(ClockEstimate);

impl ClockFloor {
    /// Returns the bound after a further reading. A reading below an earlier one is of another
    /// incarnation, whose clock has started again.
    pub(super) fn after(former: Option<ClockFloor>, next: ClockEstimate) -> ClockFloor {
        let kept = former.filter(|ClockFloor(former)| {
            next.reading >= former.reading && next.reading < former.earliest(next.read_at)
        });
        kept.unwrap_or(ClockFloor(next))
    }

    /// Time that the worker's clock has certainly reached at the owner's time `at`.
    pub(super) fn worker_time(&self, at: Duration) -> Duration {
        self.0.earliest(at)
    }
}
