//! Decides when a caller whose request was refused is to come back.
//!
//! Load that this answers: callers of hosts that are cut off while other hosts serve, and callers of
//! all hosts while the store is down.

use std::time::Duration;

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
