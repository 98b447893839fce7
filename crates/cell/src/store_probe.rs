//! Whether the store answers at all, asked apart from its feeds.

use std::time::Duration;

use platform::Row;
use platform::Store;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::ownership_row;

/// Time between the begins of two reads. A store that is back is noticed
/// within this time: after 0.1 s instead of 0.9 s when it had been silent.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Time for one read; a slow store takes up to 0.3 s.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the row of the ownership until a read is answered; gives the row, or
/// nothing if there was no answer within `limit`.
///
/// Each read begins without waiting for those before it: one that was sent to
/// a silent store may never be answered, one sent to a slow store is.
pub(crate) async fn probe_store(store: &Store, limit: Duration) -> Option<Option<Row>> {
    let probing = async {
        let mut reads = JoinSet::new();
        let mut begin = tokio::time::interval(PROBE_INTERVAL);
        begin.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = begin.tick() => {
                    let store = store.clone();
                    reads.spawn(async move { store.get(&ownership_row(), PROBE_TIMEOUT).await });
                }
                // A refusal, or a read that broke off, is followed by the next one.
                Some(read) = reads.join_next() => if let Ok(Ok(row)) = read {
                    return row;
                },
            }
        }
    };
    tokio::time::timeout(limit, probing).await.ok()
}
