//! Whether a process may go on past its lease while the table is unavailable.
//!
//! Rule: it goes on only while some peer confirms that the table is
//! unreachable for it too, and no peer says otherwise. A process that the
//! table does not answer, but answers another, is the one cut off; it stops,
//! since the others will take its shards. One that hears neither table nor
//! peer stops as well.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use peer::Node;
use std::net::SocketAddr;

use crate::Ask;
use crate::Reply;
use crate::TableHealth;

/// Longest wait for a peer's word.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a process goes on without the table.
pub const OUTAGE_LIMIT: Duration = Duration::from_mins(10);

/// What the peers say about the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageVerdict {
    /// Some peer confirms the outage, none denies it.
    Confirmed,
    /// Some peer reaches the table.
    Denied,
    /// No peer answers.
    Silence,
}

/// Sums up what the peers said.
#[must_use]
pub fn combine_reports(reports: &[Option<bool>]) -> OutageVerdict {
    if reports.contains(&Some(true)) {
        return OutageVerdict::Denied;
    }
    if reports.contains(&Some(false)) {
        return OutageVerdict::Confirmed;
    }
    OutageVerdict::Silence
}

/// Asks all peers whether the table answers them.
pub async fn query_peers(node: &Node, own: TableHealth, peers: Vec<SocketAddr>) -> OutageVerdict {
    let own = Arc::new(own);
    let mut calls = tokio::task::JoinSet::new();
    for peer in peers {
        let (node, own) = (node.clone(), own.clone());
        calls.spawn(async move {
            let ask = Ask::Ping(TableHealth::clone(&own));
            match node.call::<Ask, Reply>(peer, &ask, PING_TIMEOUT).await {
                Ok(Reply::Pong(health)) => Some(health.reachable),
                _ => None,
            }
        });
    }
    combine_reports(&calls.join_all().await)
}

/// When the table last answered, as all tasks of a process see it at once.
#[derive(Debug)]
pub struct LastAnswer {
    origin: Instant,
    /// Milliseconds from the origin; `u64::MAX` before the first answer.
    millis: AtomicU64,
}

impl LastAnswer {
    fn update(&self) {
        let millis = crate::intake::millis(self.origin.elapsed());
        self.millis.store(millis, Ordering::Release);
    }

    /// Time since the answer; none before the first.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let millis = self.millis.load(Ordering::Acquire);
        let at = Duration::from_millis(millis);
        (millis != u64::MAX).then(|| self.origin.elapsed().saturating_sub(at))
    }
}

impl Default for LastAnswer {
    fn default() -> Self {
        LastAnswer {
            origin: Instant::now(),
            millis: AtomicU64::new(u64::MAX),
        }
    }
}

/// Keeps account of an outage.
#[derive(Debug)]
pub struct OutageTracker {
    last_answer: Arc<LastAnswer>,
    /// Whether the process goes on past its lease.
    pub in_outage: bool,
}

impl OutageTracker {
    /// Begins with the table taken to be reachable.
    #[must_use]
    pub fn new() -> OutageTracker {
        let last_answer = LastAnswer::default();
        last_answer.update();
        OutageTracker {
            last_answer: Arc::new(last_answer),
            in_outage: false,
        }
    }

    /// The table has answered.
    pub fn record_answer(&self) {
        self.last_answer.update();
    }

    /// When the table last answered.
    #[must_use]
    pub fn last_answer(&self) -> Arc<LastAnswer> {
        self.last_answer.clone()
    }

    fn since_answer(&self) -> Duration {
        self.last_answer.age().unwrap_or(Duration::MAX)
    }

    /// Whether the table has answered within `span`.
    #[must_use]
    pub fn is_reachable(&self, period: Duration) -> bool {
        self.since_answer() < period
    }

    /// Whether the process has gone on for too long.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        self.since_answer() > OUTAGE_LIMIT
    }
}

impl Default for OutageTracker {
    fn default() -> Self {
        OutageTracker::new()
    }
}

#[cfg(test)]
mod tests {
    use super::OutageVerdict;
    use super::combine_reports;

    #[test]
    fn one_peer_that_reaches_the_table_outweighs_all_others() {
        let verdict = combine_reports(&[Some(false), None, Some(true)]);

        assert_eq!(verdict, OutageVerdict::Denied);
    }

    #[test]
    fn silence_confirms_nothing() {
        let verdict = combine_reports(&[None, None]);

        assert_eq!(verdict, OutageVerdict::Silence);
    }
}
