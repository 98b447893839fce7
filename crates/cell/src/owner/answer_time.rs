//! How long workers' answers take.
//!
//! A full link holds all answers up alike. Calls that are given up after a fixed time and
//! made again keep it full, since the answers to the former ones go over it all the same.
//! The estimate is that of retransmission timers (RFC 6298).

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Shortest time for an answer; it usually takes 5 ms.
const LEAST: Duration = Duration::from_millis(250);

/// Longest time for an answer before a worker counts as silent: a lease bears two calls
/// that take as long.
const MOST: Duration = Duration::from_secs(1);

/// Time for which an answer that is late is listened for, as a multiple of the time after
/// which it is.
const LATE_FACTOR: u32 = 4;

/// Weight of one answer in the mean, and in the deviation from it.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;

/// Deviations beyond the mean that an answer may take.
const DEVIATIONS: f64 = 4.0;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// In seconds.
    mean: f64,
    deviation: f64,
}

/// Estimate of the time for an answer, shared by all links of an owner.
#[derive(Debug, Default)]
pub struct AnswerTime {
    estimate: Mutex<Estimate>,
}

impl AnswerTime {
    fn lock(&self) -> MutexGuard<'_, Estimate> {
        self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer took so long, also one that came late.
    pub fn took(&self, time: Duration) {
        let time = time.as_secs_f64();
        let mut estimate = self.lock();
        let error = time - estimate.mean;
        estimate.mean += error * MEAN_GAIN;
        estimate.deviation += (error.abs() - estimate.deviation) * DEVIATION_GAIN;
    }

    /// Mean time for an answer.
    #[must_use]
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.lock().mean.max(0.0))
    }

    /// Time after which an answer is late, and its worker counts as silent.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let estimate = *self.lock();
        let usual = estimate.mean + estimate.deviation * DEVIATIONS;
        Duration::from_secs_f64(usual).clamp(LEAST, MOST)
    }

    /// Time after which an answer that was given is not expected to come any more.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.patience() * 2
    }

    /// Time after which an answer is not listened for any more.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.patience() * LATE_FACTOR
    }
}
