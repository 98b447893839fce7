//! Removes the rows of jobs that ended long ago.
//!
//! Without that, the store and each take-over would grow with every job ever
//! accepted.

use std::time::Duration;

use job::JobId;
use platform::Store;
use platform::StoreError;
use platform::Transaction;

use super::Pool;
use crate::OwnerMessage;
use crate::job_row;
use crate::progress_row;

/// Time between two removals.
const REMOVE_EVERY: Duration = Duration::from_millis(500);

/// Most jobs in one removal: at 40 a second, the load of today's sites is kept
/// up with, and the store's rate is hardly touched.
const MOST_JOBS: usize = 20;

/// Time for one transaction.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a job is known beyond what callers are promised: a late
/// repetition of its submission must still find it.
const SPARE: Duration = Duration::from_secs(30);

/// When rows were removed last.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    busy: bool,
    after: Duration,
}

impl Pool {
    /// Begins to remove the rows of expired jobs.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        if self.retention.busy || now < self.retention.after {
            return;
        }
        self.retention.after = now + REMOVE_EVERY;
        let keep = self.context.settings.retention() + SPARE;
        let ids = self.planner.expired(keep, MOST_JOBS);
        if ids.is_empty() {
            return;
        }
        self.retention.busy = true;
        let store = self.context.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let mut removed = Vec::new();
            for id in ids {
                match remove(&store, id).await {
                    Ok(()) => removed.push(id),
                    Err(error) => {
                        log::warn!(code = 364, job:% = crate::hex(id), error:% = error; "job not removed");
                        break;
                    }
                }
            }
            let _ = sender.send(OwnerMessage::Removed(removed)).await;
        });
    }

    pub(super) fn take_removed(&mut self, removed: &[JobId]) {
        self.retention.busy = false;
        self.planner.forget(removed);
    }
}

/// Removes a job's row, and then its progress: the other way round, a successor
/// would take it for a job that never began.
async fn remove(store: &Store, id: JobId) -> Result<(), StoreError> {
    for row in [job_row(id), progress_row(id)] {
        let transaction = Transaction {
            removes: vec![row],
            ..Transaction::default()
        };
        store.commit(&transaction, REMOVE_TIMEOUT).await?;
    }
    Ok(())
}
