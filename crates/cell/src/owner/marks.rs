//! Removes the marks of rejected jobs, see [`crate::rejection_mark`].
//!
//! A mark is needed while a write of the job that was sent before the rejection may still be carried
//! out, which takes seconds. It is kept for longer than the rows of an ended job are kept for a late
//! repeat.

use std::collections::VecDeque;
use std::time::Duration;

use platform::Row;
use platform::RowName;
use platform::Transaction;
use platform::Version;

use super::Pool;

/// Time for which a mark is kept.
const KEPT: Duration = Duration::from_mins(1);

/// Time between two removals.
const INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of rows in one removal, one transaction each, since they are in different parts of the
/// store: those of ten jobs a second.
const MAX_ROWS: usize = 20;

/// Maximum number of marks that an owner remembers. Others stay until the next owner reads them.
const MAX_MARKS: usize = 40_000;

/// Timeout of one transaction.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Marks in the store, in the order in which they were read.
#[derive(Debug, Default)]
pub(crate) struct Marks {
    rows: VecDeque<(RowName, Version, Duration)>,
    next_removal: Duration,
}

impl Marks {
    /// Records a mark that was read.
    pub(crate) fn record(&mut self, row: &Row, now: Duration) {
        if self.rows.len() < MAX_MARKS {
            self.rows.push_back((row.name.clone(), row.version, now));
        }
    }

    /// Takes the marks that are no longer needed, up to [`MAX_ROWS`] of them.
    fn take_expired(&mut self, now: Duration) -> Vec<(RowName, Version)> {
        let expired = self.rows.iter().take(MAX_ROWS);
        let expired = expired.take_while(|(.., read)| *read + KEPT <= now).count();
        let expired = self.rows.drain(..expired);
        expired.map(|(name, version, _)| (name, version)).collect()
    }
}

impl Pool {
    /// Starts to remove the marks that are no longer needed.
    pub(super) fn remove_marks(&mut self, now: Duration) {
        if now < self.marks.next_removal {
            return;
        }
        self.marks.next_removal = now + INTERVAL;
        let expired = self.marks.take_expired(now);
        if expired.is_empty() {
            return;
        }
        let store = self.context.store.clone();
        tokio::spawn(async move {
            for (name, version) in expired {
                let removal = Transaction {
                    expect: vec![(name.clone(), version)],
                    puts: Vec::new(),
                    removes: vec![name],
                };
                // If this fails, the row has changed, or the next owner removes the mark.
                let _ = store.commit(&removal, TIMEOUT).await;
            }
        });
    }
}
