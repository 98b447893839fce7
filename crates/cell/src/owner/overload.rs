//! Detects an owner whose host cannot keep up with the pool.
//!
//! A small host may take the pool while all larger ones are down. If it cannot keep up, its
//! renewals say so, and a larger host takes the pool when it is back.

use std::time::Duration;

use super::Pool;

/// Mean reply time of workers above which the owner's link counts as full; it usually is 5 ms.
const FULL_LATENCY: Duration = Duration::from_millis(100);

/// Time for which the link has to be full without a break before the owner counts as
/// overloaded.
const OVERLOAD_DELAY: Duration = Duration::from_secs(1);

/// Since when the owner's link has been full, or its knowledge too old to start tasks, and whether the last log line said that the
/// owner is overloaded.
#[derive(Debug, Default)]
pub(super) struct Overload {
    full_since: Option<Duration>,
    logged: bool,
}

impl Pool {
    /// Determines whether the owner keeps up, for its renewals.
    pub(super) fn check_overload(&mut self, now: Duration) {
        let mean_latency = self.latency.mean_latency();
        let behind = mean_latency > FULL_LATENCY || self.starts_held;
        let full_since = behind.then(|| self.overload.full_since.unwrap_or(now));
        self.overload.full_since = full_since;
        let overloaded = full_since.is_some_and(|full_since| now > full_since + OVERLOAD_DELAY);
        self.saver.set_overloaded(overloaded);
        if overloaded != self.overload.logged {
            self.overload.logged = overloaded;
            log::warn!(
                code = 374, epoch = self.epoch, strained = overloaded, answer_ms = mean_latency.as_millis(),
                calls = self.context.settings.owner_calls();
                "owner's overload changed; while strained, a much larger host may take the pool"
            );
        }
    }
}
