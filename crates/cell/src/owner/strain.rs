//! Whether the owner's host keeps up with the pool.
//!
//! A small host may take the pool while all larger ones are down. If it cannot keep up, its
//! renewals say so, and a larger host takes the pool once one is back.

use std::time::Duration;

use super::Pool;

/// Mean reply time of workers above which the owner's link counts as full; it usually is 5 ms.
const FULL: Duration = Duration::from_millis(100);

/// Time for which the link has to be full without a break before the owner counts as
/// overloaded.
const LASTING: Duration = Duration::from_secs(1);

/// Since when the owner's link has been full, and whether this was logged.
#[derive(Debug, Default)]
pub(super) struct Strain {
    since: Option<Duration>,
    told: bool,
}

impl Pool {
    /// Determines whether the owner keeps up, for its renewals.
    pub(super) fn check_strain(&mut self, now: Duration) {
        let usual = self.answers.usual();
        let since = (usual > FULL).then(|| self.strain.since.unwrap_or(now));
        self.strain.since = since;
        let strained = since.is_some_and(|since| now > since + LASTING);
        self.saver.set_strained(strained);
        if strained != self.strain.told {
            self.strain.told = strained;
            log::warn!(
                code = 374, epoch = self.epoch, strained = strained, answer_ms = usual.as_millis(),
                calls = self.context.settings.owner_calls(); "whether the owner keeps up"
            );
        }
    }
}
