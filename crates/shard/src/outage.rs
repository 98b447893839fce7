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

use peer::PeerEndpoint;
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
pub enum OutageWord {
    /// Some peer confirms the outage, none denies it.
    Confirmed,
    /// Some peer reaches the table.
    Denied,
    /// No peer answers.
    Silence,
}

/// Sums up what the peers said.
#[must_use]
pub fn weigh_words(words: &[Option<bool>]) -> OutageWord {
    if words.contains(&Some(true)) {
        return OutageWord::Denied;
    }
    if words.contains(&Some(false)) {
        return OutageWord::Confirmed;
    }
    OutageWord::Silence
}

/// Asks all peers whether the table answers them.
pub async fn ask_peers(
    node: &PeerEndpoint,
    own: TableHealth,
    peers: Vec<SocketAddr>,
) -> OutageWord {
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
    weigh_words(&calls.join_all().await)
}

/// When the table last answered, as all tasks of a process see it at once.
#[derive(Debug)]
pub struct LastAnswer {
    origin: Instant,
    /// Milliseconds from the origin; `u64::MAX` before the first answer.
    millis: AtomicU64,
}

impl LastAnswer {
    fn note(&self) {
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
pub struct OutageWatch {
    answered: Arc<LastAnswer>,
    /// Whether the process goes on past its lease.
    pub going_on: bool,
}

impl OutageWatch {
    /// Begins with the table taken to be reachable.
    #[must_use]
    pub fn new() -> OutageWatch {
        let answered = LastAnswer::default();
        answered.note();
        OutageWatch {
            answered: Arc::new(answered),
            going_on: false,
        }
    }

    /// The table has answered.
    pub fn on_answer(&self) {
        self.answered.note();
    }

    /// When the table last answered.
    #[must_use]
    pub fn answered(&self) -> Arc<LastAnswer> {
        self.answered.clone()
    }

    fn silence(&self) -> Duration {
        self.answered.age().unwrap_or(Duration::MAX)
    }

    /// Whether the table has answered within `span`.
    #[must_use]
    pub fn is_reachable(&self, span: Duration) -> bool {
        self.silence() < span
    }

    /// Whether the process has gone on for too long.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        self.silence() > OUTAGE_LIMIT
    }
}

impl Default for OutageWatch {
    fn default() -> Self {
        OutageWatch::new()
    }
}

#[cfg(test)]
mod tests {
    use super::OutageWord;
    use super::weigh_words;

    #[test]
    fn one_peer_that_reaches_the_table_outweighs_all_others() {
        let word = weigh_words(&[Some(false), None, Some(true)]);

        assert_eq!(word, OutageWord::Denied);
    }

    #[test]
    fn silence_confirms_nothing() {
        let word = weigh_words(&[None, None]);

        assert_eq!(word, OutageWord::Silence);
    }
}
