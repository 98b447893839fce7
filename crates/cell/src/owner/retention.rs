//! Removes the rows of jobs that ended long ago.
//!
//! Without that, the store and each take-over would grow with every job ever
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
const REMOVE_EVERY: Duration = Duration::from_millis(500);

/// Most jobs in one removal: at 40 a second, the load of today's sites is kept
/// up with, and the store's rate is hardly touched.
const MOST_JOBS: usize = 20;

/// Time for one transaction.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a job is known beyond what callers are promised: a late
/// repetition of its submission must still find it.
const SPARE: Duration = Duration::from_secs(30);

/// Time after a removal in which rows that were read before it may come: a read has many
/// pages, each of which may take seconds.
const READ_TIME: Duration = Duration::from_mins(1);

/// When rows were removed last, and which.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    busy: bool,
    after: Duration,
    /// Version and time of the removal, by job.
    removed: HashMap<JobId, (Version, Duration)>,
    /// Jobs with a row elsewhere than in its usual place.
    strayed: HashSet<JobId>,
}

impl Retention {
    /// A row of a job was read.
    pub(crate) fn saw(&mut self, id: JobId, row: &RowName) {
        if *row != crate::job_row(id) {
            self.strayed.insert(id);
        }
    }

    /// Whether a job's row of this version was removed since it was read. The
    /// owner has forgotten the job; taken for a new one, it would run again
    /// after it was done, and show as started twice.
    pub(crate) fn outlived(&self, id: JobId, version: Version) -> bool {
        let removed = self.removed.get(&id);
        removed.is_some_and(|(removed, _)| version < *removed)
    }
}

impl Pool {
    /// Begins to remove the rows of expired jobs.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        if self.retention.busy || now < self.retention.after {
            return;
        }
        self.retention.after = now + REMOVE_EVERY;
        let keep = self.context.settings.retention() + SPARE;
        let ids = self.planner.expired_jobs(keep, MOST_JOBS);
        if ids.is_empty() {
            return;
        }
        self.retention.busy = true;
        let strayed = self.retention.strayed.clone();
        let store = self.context.store.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let mut removed = Vec::new();
            for id in ids {
                match remove(&store, id, strayed.contains(&id)).await {
                    Ok(version) => removed.push((id, version)),
                    Err(error) => {
                        log::warn!(code = 364, job:% = crate::hex(id), error:% = error; "job not removed");
                        break;
                    }
                }
            }
            let _ = sender.send(OwnerMessage::Removed(removed)).await;
        });
    }

    /// Forgets jobs whose rows were removed at these versions.
    pub(super) fn take_removed(&mut self, removed: &[(JobId, Version)]) {
        let now = self.context.now();
        let retention = &mut self.retention;
        retention.busy = false;
        retention.removed.retain(|_, (_, at)| *at + READ_TIME > now);
        for &(id, version) in removed {
            retention.removed.insert(id, (version, now));
            retention.strayed.remove(&id);
            self.planner.remove_jobs(&[id]);
        }
    }
}

/// Removes a job's row, and then its progress: the other way round, a successor
/// would take it for a job that never began. Gives the version of the job's row
/// at its removal.
async fn remove(store: &Store, id: JobId, strayed: bool) -> Result<Version, StoreError> {
    let [usual, others @ ..] = crate::job_rows(id);
    // Those that some jobs alone have go first: found after a take-over without
    // the job's progress, one would be taken for a job that never began.
    for row in others.into_iter().filter(|_| strayed) {
        remove_row(store, row).await?;
    }
    let removed = remove_row(store, usual).await?;
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
        // It depends on no other row.
        Committed::Conflict => Ok(0),
    }
}
