//! Follows a table of the store through its change feed.

use std::time::Duration;
use std::time::Instant;

use platform::Patience;
use platform::Row;
use platform::Store;
use platform::StoreError;
use platform::Version;

/// Time for an answer beyond the wait that the feed was asked for. A
/// connection may go silent without a reset; only this time-out shows it. A patient
/// follower waits twice as long as the last answer delay, or after one that did not come.
const FEED_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for each page of a full read.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// The same where much is read, by an owner that renews meanwhile.
pub(crate) const LONG_READ_TIMEOUTS: Patience = Patience {
    first: READ_TIMEOUT,
    most: Duration::from_secs(6),
};

/// Rows from which on an answer of the feed may have left some out; the store gives
/// 500 at most. Read no further until the next turn 0.4 s later, the feed of 3,000
/// workers, which write 2,000 rows a second, fell behind by ten seconds: workers
/// that were leaving went on getting work.
const FULL_PAGE: usize = 250;

/// Most answers that are read on: a slow store may bring full ones for seconds, and
/// what they tell would be known only after the last.
const MAX_PAGES: usize = 8;

/// What has become known of a table.
#[derive(Debug)]
pub enum Change {
    /// All rows: nothing else exists.
    Snapshot(Vec<Row>),
    /// Rows that have changed, in order.
    Delta(Vec<Row>),
}

/// Follows one table.
#[derive(Debug)]
pub struct Follower {
    store: Store,
    table: &'static str,
    /// All parts, or only the unnamed one.
    parts: bool,
    after: Option<Version>,
    patience: Patience,
    /// Time for the next answer of the feed beyond its wait.
    timeout: Duration,
}

impl Follower {
    /// Follows `table`; with `parts`, all of its parts and not only the
    /// unnamed one.
    #[must_use]
    pub fn new(store: &Store, table: &'static str, parts: bool) -> Follower {
        Follower {
            store: store.clone(),
            table,
            parts,
            after: None,
            patience: Patience::once(READ_TIMEOUT),
            timeout: FEED_TIMEOUT,
        }
    }

    /// Waits longer for full reads, see [`LONG_READ_TIMEOUTS`], and for changes: what has changed
    /// during a full read may take a thin link longer than [`FEED_TIMEOUT`].
    pub(crate) fn with_long_timeouts(self) -> Follower {
        Follower {
            patience: LONG_READ_TIMEOUTS,
            ..self
        }
    }

    /// Waits up to `wait` for a change. The first call reads everything, and
    /// so does the one after the store has dropped its history.
    ///
    /// # Errors
    /// The store cannot be read; the next call continues.
    pub async fn next(&mut self, wait: Duration) -> Result<Change, StoreError> {
        let Some(after) = self.after else {
            return self.read_all().await;
        };
        let started = Instant::now();
        match self.store.feed(self.table, after, wait, self.timeout).await {
            Ok(rows) => {
                // The next answer may take as long, and is not to be asked for in vain.
                let delay = started.elapsed().saturating_sub(wait);
                self.timeout = (delay * 2).min(self.max_timeout()).max(FEED_TIMEOUT);
                self.after = Some(rows.version.max(after));
                let mut full = rows.rows.len() >= FULL_PAGE;
                let mut rows = rows.rows;
                for _ in 1..MAX_PAGES {
                    if !full {
                        break;
                    }
                    full = self.read_next_page(&mut rows).await;
                }
                Ok(Change::Delta(rows))
            }
            Err(StoreError::Forgotten) => {
                log::info!(code = 310, table = self.table, after = after; "store history dropped, reading all");
                self.read_all().await
            }
            Err(error) => {
                if matches!(error, StoreError::Lost { .. }) {
                    self.timeout = (self.timeout * 2).min(self.max_timeout());
                }
                Err(error)
            }
        }
    }

    /// Longest time for an answer of the feed beyond its wait.
    fn max_timeout(&self) -> Duration {
        if self.patience.most > self.patience.first {
            self.patience.most
        } else {
            FEED_TIMEOUT
        }
    }

    /// Reads on after a full answer; gives whether this one was full, too. What it
    /// cannot read is left to the next call.
    async fn read_next_page(&mut self, rows: &mut Vec<Row>) -> bool {
        let after = self.after.unwrap_or_default();
        let feed = self
            .store
            .feed(self.table, after, Duration::ZERO, FEED_TIMEOUT);
        let Ok(more) = feed.await else { return false };
        self.after = Some(more.version.max(after));
        let full = more.rows.len() >= FULL_PAGE;
        rows.extend(more.rows);
        full
    }

    async fn read_all(&mut self) -> Result<Change, StoreError> {
        let rows = if self.parts {
            self.store.table(self.table, self.patience).await?
        } else {
            self.store.part(self.table, "", self.patience).await?
        };
        self.after = Some(rows.version);
        Ok(Change::Snapshot(rows.rows))
    }
}
