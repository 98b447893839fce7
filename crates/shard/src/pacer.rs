//! Limits the writes of this process to its share of the table's write rate.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Number of writes that may be made at once after an idle period.
const BURST: f64 = 4.0;

/// Token bucket for row writes; clones share the bucket.
#[derive(Clone, Debug)]
pub struct Pacer {
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    /// Writes per second.
    rate: f64,
    /// Number of writes that may be made now; negative if that many writes have
    /// been reserved in advance.
    tokens: f64,
    last_refill: Instant,
}

impl Pacer {
    /// Creates a pacer for `rate` writes per second.
    #[must_use]
    pub fn new(rate: f64) -> Pacer {
        let bucket = Bucket {
            rate,
            tokens: BURST,
            last_refill: Instant::now(),
        };
        Pacer {
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Changes the rate, in writes per second, for instance when a process has
    /// joined or left. A rate below 1 counts as 1.
    pub fn set_rate(&self, rate: f64) {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.refill();
        bucket.rate = rate.max(1.0);
    }

    /// Reserves `writes` and waits until they may be made.
    pub async fn take(&self, writes: u32) {
        let wait = {
            let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
            bucket.reserve(f64::from(writes))
        };
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}

impl Bucket {
    fn refill(&mut self) {
        let now = Instant::now();
        let earned = now.duration_since(self.last_refill).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(BURST);
        self.last_refill = now;
    }

    /// Takes tokens and returns the time to wait. The bucket may go into debt,
    /// which is paid back during the wait.
    fn reserve(&mut self, writes: f64) -> Duration {
        self.refill();
        self.tokens -= writes;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.rate)
    }
}
