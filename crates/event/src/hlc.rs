//! Hybrid logical clock: timestamps that are close to wall time. The timestamp of
//! an event is later than those of the events that caused it, even if the clocks
//! of two hosts differ (Kulkarni et al., "Logical Physical Clocks", 2014).

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Number of low bits that hold the logical counter, below the milliseconds.
const COUNTER_BITS: u32 = 16;

/// Hybrid timestamp: milliseconds since 1970 in the high bits, a 16-bit logical
/// counter in the low bits.
pub type Stamp = u64;

/// Hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Hlc {
    last: AtomicU64,
}

impl Hlc {
    /// Returns the timestamp of a local event, later than all previous ones.
    pub fn tick(&self) -> Stamp {
        self.merge(0)
    }

    /// Advances the clock past the timestamp of a received message, so that
    /// events recorded from now on have later timestamps than all events that the
    /// sender recorded before it sent the message. Returns the new timestamp.
    pub fn merge(&self, received: Stamp) -> Stamp {
        let wall = wall_millis() << COUNTER_BITS;
        let mut last = self.last.load(Ordering::Relaxed);
        loop {
            let next = wall.max(last + 1).max(received + 1);
            match self
                .last
                .compare_exchange_weak(last, next, Ordering::Relaxed, Ordering::Relaxed)
            {
                Ok(_) => return next,
                Err(current) => last = current,
            }
        }
    }
}

/// Wall-clock time in milliseconds since 1970. It may jump, so it must not be
/// used to measure intervals.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since 1970 of a timestamp.
#[must_use]
pub fn stamp_millis(stamp: Stamp) -> u64 {
    stamp >> COUNTER_BITS
}

#[cfg(test)]
mod tests {
    use super::Hlc;

    #[test]
    fn timestamps_are_later_than_one_received_from_a_fast_clock() {
        let clock = Hlc::default();
        let ahead = clock.tick() + (60_000 << 16);

        let merged = clock.merge(ahead);

        assert!(merged > ahead);
        assert!(clock.tick() > merged);
    }
}
