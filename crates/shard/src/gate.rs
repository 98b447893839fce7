//! Whether this process may still act for its shards.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Right to act, which ends by itself.
///
/// A process that was paused past its lease still believes that it holds it.
/// So each send of something decided earlier first asks the gate, which
/// compares the monotonic clock (it runs on during a pause) with the end of
/// the last good renewal. What is sent in spite of that, in the moment after
/// the check, is refused by the epoch fences of the table and of the workers.
#[derive(Debug)]
pub struct LeaseGate {
    origin: Instant,
    until_millis: AtomicU64,
}

impl LeaseGate {
    /// A shut gate.
    #[must_use]
    pub fn new() -> LeaseGate {
        LeaseGate {
            origin: Instant::now(),
            until_millis: AtomicU64::new(0),
        }
    }

    /// Whether the process may act now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.millis(Instant::now()) < self.until_millis.load(Ordering::Acquire)
    }

    /// Lets the process act until `until`; never shortens.
    pub fn extend(&self, until: Instant) {
        self.until_millis
            .fetch_max(self.millis(until), Ordering::AcqRel);
    }

    /// Forbids to act from now on.
    pub fn revoke(&self) {
        self.until_millis.store(0, Ordering::Release);
    }

    /// Time left.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let until = self.until_millis.load(Ordering::Acquire);
        Duration::from_millis(until.saturating_sub(self.millis(Instant::now())))
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin).as_millis();
        // One is added so that an instant at the origin is not "shut".
        u64::try_from(since).unwrap_or(u64::MAX).saturating_add(1)
    }
}

impl Default for LeaseGate {
    fn default() -> Self {
        LeaseGate::new()
    }
}
