//! Decides whether a process may keep acting after its lease has expired while
//! the table is unavailable.
//!
//! Rule: it continues only while at least one peer confirms that it cannot
//! reach the table either, and no peer can reach it. If a peer reaches the
//! table and this process does not, this process is the one that is cut off: it
//! stops, since the others will take its shards. It also stops if it reaches
//! neither the table nor any peer.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use peer::PeerEndpoint;
use std::net::SocketAddr;

use crate::Ask;
use crate::Reply;
use crate::TableHealth;

/// Longest wait for a peer's reply.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a process keeps acting without the table.
pub const OUTAGE_LIMIT: Duration = Duration::from_mins(10);

/// The peers' combined reports on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageVerdict {
    /// At least one peer cannot reach the table either, and no peer can.
    Confirmed,
    /// At least one peer reaches the table.
    Denied,
    /// No peer has replied.
    Silence,
}

/// Combines the peers' reports: whether the peer reaches the table, or none if
/// it did not reply.
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

/// Asks all peers whether they reach the table.
pub async fn query_peers(
    endpoint: &PeerEndpoint,
    own_health: TableHealth,
    peers: Vec<SocketAddr>,
) -> OutageVerdict {
    let own_health = Arc::new(own_health);
    let mut calls = tokio::task::JoinSet::new();
    for peer in peers {
        let (endpoint, own_health) = (endpoint.clone(), own_health.clone());
        calls.spawn(async move {
            let ask = Ask::Ping(TableHealth::clone(&own_health));
            match endpoint.call::<Ask, Reply>(peer, &ask, PING_TIMEOUT).await {
                Ok(Reply::Pong(health)) => Some(health.reachable),
                _ => None,
            }
        });
    }
    combine_reports(&calls.join_all().await)
}

/// Time of the table's last answer, shared by all tasks of a process.
#[derive(Debug)]
pub struct LastAnswer {
    origin: Instant,
    /// Milliseconds from the origin to the last answer; `u64::MAX` before the
    /// first one.
    millis: AtomicU64,
}

impl LastAnswer {
    fn update(&self) {
        let millis = crate::intake::millis(self.origin.elapsed());
        self.millis.store(millis, Ordering::Release);
    }

    /// Time since the last answer; none before the first one.
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

/// Tracks outages of the table.
#[derive(Debug)]
pub struct OutageTracker {
    last_answer: Arc<LastAnswer>,
    /// Whether the process currently acts without a valid lease, on its peers'
    /// confirmation of an outage.
    pub in_outage: bool,
}

impl OutageTracker {
    /// A tracker that counts the table as reachable at first.
    #[must_use]
    pub fn new() -> OutageTracker {
        let last_answer = LastAnswer::default();
        last_answer.update();
        OutageTracker {
            last_answer: Arc::new(last_answer),
            in_outage: false,
        }
    }

    /// Records that the table has answered.
    pub fn record_answer(&self) {
        self.last_answer.update();
    }

    /// Shared handle to the time of the table's last answer.
    #[must_use]
    pub fn last_answer(&self) -> Arc<LastAnswer> {
        self.last_answer.clone()
    }

    fn since_answer(&self) -> Duration {
        self.last_answer.age().unwrap_or(Duration::MAX)
    }

    /// Whether the table has answered within `period`.
    #[must_use]
    pub fn is_reachable(&self, period: Duration) -> bool {
        self.since_answer() < period
    }

    /// Whether the table has not answered for longer than `OUTAGE_LIMIT`.
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
    fn no_reply_confirms_no_outage() {
        let verdict = combine_reports(&[None, None]);

        assert_eq!(verdict, OutageVerdict::Silence);
    }
}
