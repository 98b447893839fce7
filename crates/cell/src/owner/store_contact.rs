//! Whether the store may be serving workers although it does not answer this process.
//!
//! On a slow host, calls to a store in perfect order time out as they do in an outage. So what the
//! other processes say decides: each poll of a helper tells how long ago the store answered its host.
//! A process whose own tasks run late does not conclude anything from missing replies and statements.

use std::time::Duration;

/// Time without any reply of the store after which no worker can have registered. It exceeds the
/// interval at which each host gets a reply, and that at which helpers poll.
const OUTAGE_AFTER: Duration = Duration::from_millis(1500);

/// Delay of the owner's task from which on a missing reply does not prove an outage. Timeouts of reads
/// are longer.
const MAX_LAG: Duration = Duration::from_millis(250);

/// Time for which such a delay counts.
const LAG_MEMORY: Duration = Duration::from_secs(3);

/// Time after a peer's last statement for which it counts. A peer polls once a second.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);

/// What the other processes have said about the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// When a peer last said anything about the store; `None` if none has.
    statement: Option<Duration>,
    /// When the store last answered a peer.
    last_answer: Duration,
    /// When the owner's task last ran late; `None` if it never has.
    last_lag: Option<Duration>,
}

impl StoreContact {
    /// Records that a peer has said, in a message received at `now`, that the store had answered it
    /// `age` ago.
    pub fn record(&mut self, now: Duration, age: Duration) {
        self.statement = Some(now);
        self.last_answer = self.last_answer.max(now.saturating_sub(age));
    }

    /// Records that the owner's task runs at `now`, `lag` later than it was due.
    pub fn record_lag(&mut self, now: Duration, lag: Duration) {
        if lag > MAX_LAG {
            self.last_lag = Some(now);
        }
    }

    /// Whether the store may be serving workers at `now`. `answered_at` is when it last answered this
    /// process, `unreachable` whether this process counts it as unreachable.
    #[must_use]
    pub fn may_serve(&self, now: Duration, answered_at: Duration, unreachable: bool) -> bool {
        if self.last_lag.is_some_and(|at| now < at + LAG_MEMORY) {
            return true;
        }
        let stated = self.statement.filter(|at| now <= *at + PEER_TIMEOUT);
        if stated.is_none() {
            return !unreachable;
        }
        now < self.last_answer.max(answered_at) + OUTAGE_AFTER
    }
}
