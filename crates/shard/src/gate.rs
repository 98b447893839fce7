//! Local check whether this process may still act for its shards.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Permission to act for the shards, valid until a deadline.
///
/// A process that was paused past the end of its lease has no message that shows
/// the expiry. So every send that carries out an earlier decision first checks
/// the gate, which compares the monotonic clock (it keeps running during a
/// pause) with the deadline set by the last successful renewal. A pause between
/// the check and the send is still possible; what is sent then is refused by
/// the epoch fences of the table and the workers.
#[derive(Debug)]
pub struct LeaseGate {
    origin: Instant,
    /// Milliseconds from the origin to the deadline, plus 1; 0 while acting is
    /// forbidden.
    deadline_millis: AtomicU64,
}

impl LeaseGate {
    /// A gate that forbids acting until it is first extended.
    #[must_use]
    pub fn new() -> LeaseGate {
        LeaseGate {
            origin: Instant::now(),
            deadline_millis: AtomicU64::new(0),
        }
    }

    /// Whether the process may act now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.millis(Instant::now()) < self.deadline_millis.load(Ordering::Acquire)
    }

    /// Allows acting until `deadline`; never shortens the current deadline.
    pub fn extend(&self, deadline: Instant) {
        self.deadline_millis
            .fetch_max(self.millis(deadline), Ordering::AcqRel);
    }

    /// Forbids acting from now on, until the gate is extended again.
    pub fn revoke(&self) {
        self.deadline_millis.store(0, Ordering::Release);
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let deadline = self.deadline_millis.load(Ordering::Acquire);
        Duration::from_millis(deadline.saturating_sub(self.millis(Instant::now())))
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin).as_millis();
        // 0 means that acting is forbidden, so an instant at the origin must
        // map to at least 1.
        u64::try_from(since).unwrap_or(u64::MAX).saturating_add(1)
    }
}

impl Default for LeaseGate {
    fn default() -> Self {
        LeaseGate::new()
    }
}
