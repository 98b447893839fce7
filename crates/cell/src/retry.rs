//! Decides when a caller whose request was refused is to come back.
//!
//! Load that this answers: callers of hosts that are cut off while other hosts serve, callers of all
//! hosts while the store is down, and callers whose jobs are rejected together because the pool is full.

use std::time::Duration;

use job::JobId;
use job::OrganisationName;
use xxhash_rust::xxh3::Xxh3;

/// Callers that are rejected together come back over this share of the time until they may, so that
/// their work fits into the room that becomes free in that time.
const SPREAD_SHARE: f64 = 0.5;

/// Shortest time over which they come back.
const MIN_SPREAD: Duration = Duration::from_secs(2);

/// What a refusal says about the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalScope {
    /// This host reaches neither the store nor the owner of the pool. Another host can probably serve
    /// the request.
    Host,
    /// Other hosts may refuse the request, too.
    Cell,
}

impl RefusalScope {
    /// Returns the time after which the caller may come back, in whole seconds, since the header
    /// allows no parts of a second.
    pub(crate) fn retry_after(self) -> Duration {
        match self {
            RefusalScope::Host => Duration::ZERO,
            RefusalScope::Cell => Duration::from_secs(1),
        }
    }
}

/// Returns when the caller of a rejected job may come back, in whole seconds: not before `wait`, and
/// spread over callers by the id of the job and the organisation.
#[must_use]
pub fn spread(wait: Duration, id: JobId, organisation: Option<&OrganisationName>) -> Duration {
    let mut hasher = Xxh3::new();
    hasher.update(&id.to_be_bytes());
    hasher.update(organisation.map_or(&[], |name| name.as_bytes()));
    let range = wait.mul_f64(SPREAD_SHARE).max(MIN_SPREAD).as_secs();
    let whole = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    Duration::from_secs(whole + hasher.digest() % (range + 1))
}
