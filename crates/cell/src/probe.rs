//! Probes whether the store answers at all, independently of its change feeds.

use std::time::Duration;

use platform::Row;
use platform::Store;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::ownership_row;

/// Interval between the starts of two reads. It bounds how late the recovery of the store is
/// noticed: after 0.1 s with these repeated reads, after 0.9 s without them.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of one read; a slow store takes up to 0.3 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the ownership row until one read is answered. Returns the row of that reply, or `None`
/// if there was no reply within `limit`.
///
/// Reads start without waiting for earlier ones: a read sent to a store that does not answer may
/// never be answered, one sent to a slow store is.
pub(crate) async fn probe_store(store: &Store, limit: Duration) -> Option<Option<Row>> {
    let probe = async {
        let mut reads = JoinSet::new();
        let mut ticker = tokio::time::interval(PROBE_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => {
                    let store = store.clone();
                    reads.spawn(async move { store.read_row(&ownership_row(), PROBE_TIMEOUT).await });
                }
                // After a read that failed, the next one starts at the next tick.
                Some(read) = reads.join_next() => if let Ok(Ok(row)) = read {
                    return row;
                },
            }
        }
    };
    tokio::time::timeout(limit, probe).await.ok()
}
