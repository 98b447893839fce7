//! Removes the rows of jobs that ended long ago.
//!
//! Without that, the store and the reads of each take-over would grow with every job ever
//! accepted.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::JobId;
use platform::Committed;
use platform::RowName;
use platform::Store;
use platform::StoreError;
use platform::Transaction;
use platform::Version;

use super::Pool;
use crate::OwnerMessage;
use crate::progress_row;

/// Time between two removals.
const REMOVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of jobs in one removal: 40 jobs per second keep up with the rate at which
/// jobs end and hardly use the store's rate limit.
const MAX_JOBS: usize = 20;

/// Timeout of one transaction.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a job is kept beyond the retention that callers are promised: a late repeat
/// of its submission must still find it.
const EXTRA_RETENTION: Duration = Duration::from_secs(30);

/// Time after a removal within which rows that were read before it may arrive: a read has many
/// pages, each of which may take seconds.
const MAX_READ_TIME: Duration = Duration::from_mins(1);

/// Rows that were removed, and the earliest time of the next removal.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    /// A removal is in progress.
    in_progress: bool,
    /// Earliest time of the next removal.
    next_removal: Duration,
    /// Version and time of the removal, by job.
    removed: HashMap<JobId, (Version, Duration)>,
    /// Jobs that have a row other than the first one of [`crate::job_rows`].
    misplaced: HashSet<JobId>,
}

impl Retention {
    /// Records where a job's row was read.
    pub(crate) fn record_row(&mut self, id: JobId, row: &RowName) {
        if *row != crate::job_row(id) {
            self.misplaced.insert(id);
        }
    }

    /// Whether a job's row of this version was read before its removal. The planner has dropped
    /// the job; treated as a new job, it would run again after it was done, and be counted as
    /// started twice.
    pub(crate) fn predates_removal(&self, id: JobId, version: Version) -> bool {
        let removed = self.removed.get(&id);
        removed.is_some_and(|(removed, _)| version < *removed)
    }
}

impl Pool {
    /// Starts to remove the rows of jobs whose retention has ended.
    pub(super) fn remove_expired_jobs(&mut self, now: Duration) {
        if self.retention.in_progress || now < self.retention.next_removal {
            return;
        }
        self.retention.next_removal = now + REMOVE_INTERVAL;
        let keep = self.context.settings.retention() + EXTRA_RETENTION;
        let ids = self.planner.expired_jobs(keep, MAX_JOBS);
        if ids.is_empty() {
            return;
        }
        self.retention.in_progress = true;
        let misplaced = self.retention.misplaced.clone();
        let store = self.context.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let mut removed = Vec::new();
            for id in ids {
                match remove_job(&store, id, misplaced.contains(&id)).await {
                    Ok(version) => removed.push((id, version)),
                    Err(error) => {
                        log::warn!(
                            code = 364, job:% = crate::hex(id), error:% = error;
                            "rows of an expired job not removed from the store; tried again later"
                        );
                        break;
                    }
                }
            }
            let _ = sender.send(OwnerMessage::RowsRemoved(removed)).await;
        });
    }

    /// Removes jobs from the planner whose rows were removed at these versions.
    pub(super) fn handle_removed(&mut self, removed: &[(JobId, Version)]) {
        let now = self.context.now();
        let retention = &mut self.retention;
        retention.in_progress = false;
        retention
            .removed
            .retain(|_, (_, at)| *at + MAX_READ_TIME > now);
        for &(id, version) in removed {
            retention.removed.insert(id, (version, now));
            retention.misplaced.remove(&id);
            self.planner.remove_jobs(&[id]);
        }
    }
}

/// Removes a job's row, and after it the job's progress: in the other order, a successor would
/// take the job for one that never started. Returns the version of the removal of the job's
/// row.
async fn remove_job(store: &Store, id: JobId, misplaced: bool) -> Result<Version, StoreError> {
    let [first_row, other_rows @ ..] = crate::job_rows(id);
    // Rows that only some jobs have are removed first: if a successor found one without the
    // job's progress, it would take the job for one that never started.
    for row in other_rows.into_iter().filter(|_| misplaced) {
        remove_row(store, row).await?;
    }
    let removed = remove_row(store, first_row).await?;
    remove_row(store, progress_row(id)).await?;
    Ok(removed)
}

async fn remove_row(store: &Store, row: RowName) -> Result<Version, StoreError> {
    let transaction = Transaction {
        removes: vec![row],
        ..Transaction::default()
    };
    match store.commit(&transaction, REMOVE_TIMEOUT).await? {
        Committed::Done(version) => Ok(version),
        // Cannot happen: the transaction has no preconditions.
        Committed::Conflict => Ok(0),
    }
}
