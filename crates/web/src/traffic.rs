//! Counters of an HTTP client's calls.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Counters of a client's calls; clones of the client share them.
#[derive(Debug, Default)]
pub struct Traffic {
    answered: AtomicU64,
    lost: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
    slowest_millis: AtomicU64,
}

/// Counts since the previous [`Traffic::take`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Calls with a complete reply, whatever its status.
    pub answered: u64,
    /// Calls without a complete reply: not connected, timed out or cut off.
    pub lost: u64,
    /// Bytes in the bodies of all calls, also of those without a reply.
    pub sent: u64,
    /// Bytes in the bodies of complete replies.
    pub received: u64,
    /// Longest time from call to complete reply, in whole milliseconds.
    pub slowest: Duration,
}

impl Traffic {
    pub(crate) fn sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn answered(&self, bytes: usize, elapsed: Duration) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.slowest_millis.fetch_max(elapsed, Ordering::Relaxed);
    }

    pub(crate) fn lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts and resets them to zero.
    pub fn take(&self) -> TrafficCount {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        TrafficCount {
            answered: take(&self.answered),
            lost: take(&self.lost),
            sent: take(&self.sent),
            received: take(&self.received),
            slowest: Duration::from_millis(take(&self.slowest_millis)),
        }
    }
}
