//! Until when a start may reach its worker, given how old the owner's knowledge of the workers is.
//!
//! A worker that drains may get no start later than a bound after the store has its registration. A
//! registration that the newest read did not contain was stored after that read began. So a start
//! that reaches its worker within the bound, counted from the begin of that read, is in time
//! whatever the worker has registered since. A later one is not sent, and the worker refuses one
//! that arrives later.
//!
//! Load that this answers: an owner on a small host or behind a full link, whose reads, decisions
//! and commands take seconds while all of them succeed.

use std::time::Duration;

/// Part of the bound that is left for a worker to carry out a start that has arrived.
const MARGIN: Duration = Duration::from_millis(100);

/// Until when a start may reach its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDeadline {
    /// Until this time.
    At(Duration),
    /// No limit: the store serves nobody, so no worker can register as draining.
    Unlimited,
}

impl StartDeadline {
    /// Returns the deadline of starts that rely on registrations whose read began at `read`. `bound`
    /// is the time after which a draining worker may get no more starts.
    #[must_use]
    pub fn new(read: Duration, bound: Duration, store_serves: bool) -> StartDeadline {
        if store_serves {
            StartDeadline::At(read + bound.saturating_sub(MARGIN))
        } else {
            StartDeadline::Unlimited
        }
    }

    /// Whether a start that is sent at `now` and takes `delivery` reaches its worker in time.
    #[must_use]
    pub fn admits(self, now: Duration, delivery: Duration) -> bool {
        match self {
            StartDeadline::At(deadline) => now + delivery < deadline,
            StartDeadline::Unlimited => true,
        }
    }
}
