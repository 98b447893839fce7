//! How long workers take to answer.
//!
//! A full link delays all replies alike. Calls that are abandoned after a fixed timeout and
//! repeated keep the link full, since the replies to the abandoned calls are sent all the same.
//! The estimate is that of retransmission timers (RFC 6298).

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Shortest timeout for a reply; a reply usually takes 5 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest timeout for a reply, after which a worker counts as unresponsive: within a lease,
/// two calls may time out in a row.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the reply to a call is awaited in all, as a multiple of the time after which
/// it is late.
const ABANDON_FACTOR: u32 = 4;

/// Weight of one reply in the mean, and in the deviation from it.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;

/// Number of deviations above the mean after which a reply is late.
const DEVIATION_FACTOR: f64 = 4.0;

/// Mean and deviation of the time to a reply.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Mean time to a reply, in seconds.
    mean: f64,
    /// Mean deviation from it, in seconds.
    deviation: f64,
}

/// Estimate of the time that workers take to answer, shared by all links of an owner.
#[derive(Debug, Default)]
pub struct ReplyLatency {
    estimate: Mutex<Estimate>,
}

impl ReplyLatency {
    fn lock(&self) -> MutexGuard<'_, Estimate> {
        self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time that a reply took, including late ones.
    pub fn record(&self, time: Duration) {
        let time = time.as_secs_f64();
        let mut estimate = self.lock();
        let error = time - estimate.mean;
        estimate.mean += error * MEAN_GAIN;
        estimate.deviation += (error.abs() - estimate.deviation) * DEVIATION_GAIN;
    }

    /// Mean time that a reply takes.
    #[must_use]
    pub fn mean_latency(&self) -> Duration {
        Duration::from_secs_f64(self.lock().mean.max(0.0))
    }

    /// Time after which a reply is late, and its worker counts as unresponsive.
    #[must_use]
    pub fn late_after(&self) -> Duration {
        let estimate = *self.lock();
        let timeout = estimate.mean + estimate.deviation * DEVIATION_FACTOR;
        Duration::from_secs_f64(timeout).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Time after which a reply that a worker has sent is not expected to arrive any more.
    #[must_use]
    pub fn lost_after(&self) -> Duration {
        self.late_after() * 2
    }

    /// Time after which a call is abandoned.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.late_after() * ABANDON_FACTOR
    }
}
