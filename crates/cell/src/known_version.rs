//! Versions of the store that this process has seen, with the time at which it saw them.
//!
//! They decide whether a row was written before a request arrived: one with a version that was seen
//! before the request is older than the request.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use platform::Version;

/// Longest time from the arrival of a request until the process handles it. A process that was frozen
/// has seen no version in the meantime.
const MAX_HANDLING: Duration = Duration::from_secs(1);

/// Number of versions that are kept; one is seen about once a second.
const KEPT: usize = 16;

/// Versions of the store and when they were seen, in that order.
#[derive(Clone, Debug, Default)]
pub struct KnownVersions {
    seen: Arc<Mutex<VecDeque<(Duration, Version)>>>,
}

impl KnownVersions {
    /// Records a version that a reply of the store contained.
    pub fn record(&self, now: Duration, version: Version) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.len() == KEPT {
            seen.pop_front();
        }
        seen.push_back((now, version));
    }

    /// Returns a version of the store from before the arrival of a request that is handled now; 0 if
    /// none is known.
    #[must_use]
    pub fn before_request(&self, now: Duration) -> Version {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let mut seen = seen.iter();
        let before = seen.rfind(|(at, _)| *at + MAX_HANDLING <= now);
        before.map_or(0, |(_, version)| *version)
    }
}
