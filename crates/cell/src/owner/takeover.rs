//! What a new owner reads from the store, and how it goes on reading.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::JobId;
use job::Progress;
use platform::Row;
use platform::StoreError;
use prometheus::IntCounterVec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Saver;
use crate::Change;
use crate::Context;
use crate::Follower;
use crate::JOB_TABLE;
use crate::LONG_READ_TIMEOUTS;
use crate::OWNER_PART;
use crate::OwnerMessage;
use crate::PROGRESS_TABLE;
use crate::USED_WORKER_TABLE;
use crate::UsedWorker;
use crate::decode_progress;
use crate::decode_used_worker;
use crate::metrics::count;

/// Pause after a failed read.
pub(super) const READ_PAUSE: Duration = Duration::from_millis(100);

/// Time between two reads of the feed of jobs. The process that accepts a job
/// tells the owner at once; the feed brings those of which it could not.
const READ_EVERY: Duration = Duration::from_millis(300);

/// What a predecessor left in the store.
pub(super) struct Left {
    /// Rows of all accepted jobs.
    pub(super) jobs: Vec<Row>,
    /// Goes on where they end.
    pub(super) follower: Follower,
    /// Progress by job.
    pub(super) progress: HashMap<JobId, Progress>,
    /// Jobs with progress that cannot be decoded.
    pub(super) unreadable: HashSet<JobId>,
    /// Workers that may have work.
    pub(super) used: Vec<(String, UsedWorker)>,
    /// There are others, whose rows cannot be decoded.
    pub(super) used_unreadable: usize,
}

/// Reads what a predecessor left and renews the ownership meanwhile; nothing if
/// the pool is not ours. The guard is read first: from then on no predecessor can
/// write.
///
/// On a thin link the reads take seconds. Without renewals the pool was taken by
/// the next host before they had ended, whose reads took as long: 36 take-overs in
/// a row started nothing. It shows as `pool opened` and `pool lost` in turn.
pub(super) async fn take_over(
    context: &Context,
    saver: &mut Saver,
) -> Result<Option<Left>, StoreError> {
    if !saver.read_guard().await? {
        return Ok(None);
    }
    let (done, reading) = oneshot::channel::<()>();
    let read = async move {
        let left = read_left(context).await;
        drop(done);
        left
    };
    tokio::pin!(read);
    let renewals = saver.renew_until(reading);
    tokio::pin!(renewals);
    tokio::select! {
        biased;
        // Not ours any more: what is still being read is of no use.
        ours = &mut renewals => if ours { read.await.map(Some) } else { Ok(None) },
        left = &mut read => if renewals.await { left.map(Some) } else { Ok(None) },
    }
}

/// Reads the rows of the owner's part, and all jobs.
async fn read_left(context: &Context) -> Result<Left, StoreError> {
    let store = &context.store;
    let progress = store
        .part(PROGRESS_TABLE, OWNER_PART, LONG_READ_TIMEOUTS)
        .await?;
    let used = store
        .part(USED_WORKER_TABLE, OWNER_PART, LONG_READ_TIMEOUTS)
        .await?;
    let mut follower = Follower::new(store, JOB_TABLE, true).with_long_timeouts();
    let (Change::Snapshot(jobs) | Change::Delta(jobs)) = follower.next(Duration::ZERO).await?;
    let mut left = Left {
        jobs,
        follower,
        progress: HashMap::new(),
        unreadable: HashSet::new(),
        used: Vec::new(),
        used_unreadable: 0,
    };
    let unreadable = &context.metrics.unreadable;
    for row in &progress.rows {
        left.take_progress(row, unreadable);
    }
    for row in &used.rows {
        left.take_used(row, unreadable);
    }
    Ok(left)
}

impl Left {
    fn take_progress(&mut self, row: &Row, metrics: &IntCounterVec) {
        let id = match job::parse_job(&row.name.key) {
            Ok(id) => id,
            Err(error) => {
                count(metrics, PROGRESS_TABLE);
                log::error!(code = 337, key = row.name.key.as_str(), error:% = error; "progress row unreadable");
                return;
            }
        };
        match decode_progress(&row.value) {
            Ok(progress) => {
                self.progress.insert(id, progress);
            }
            Err(error) => {
                count(metrics, PROGRESS_TABLE);
                log::error!(code = 337, key = row.name.key.as_str(), error:% = error; "progress row unreadable");
                self.unreadable.insert(id);
            }
        }
    }

    fn take_used(&mut self, row: &Row, metrics: &IntCounterVec) {
        match decode_used_worker(&row.value) {
            Ok(worker) => self.used.push((row.name.key.clone(), worker)),
            Err(error) => {
                count(metrics, USED_WORKER_TABLE);
                log::error!(code = 338, key = row.name.key.as_str(), error:% = error; "worker row unreadable");
                self.used_unreadable += 1;
            }
        }
    }
}

/// Tells the owner of jobs that the feed brings.
pub(super) async fn follow_jobs(
    context: Context,
    mut jobs: Follower,
    sender: mpsc::Sender<OwnerMessage>,
) {
    let mut away = false;
    loop {
        let begun = context.now();
        match jobs.next(Duration::ZERO).await {
            Ok(change) => {
                if std::mem::take(&mut away) {
                    log::info!(code = 349; "jobs can be read again");
                }
                // Also without news: that there are none is known then.
                let news = OwnerMessage::Jobs(change, begun);
                if sender.send(news).await.is_err() {
                    return;
                }
                tokio::time::sleep(READ_EVERY).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut away, true) {
                    log::warn!(code = 339, error:% = error; "jobs cannot be read");
                }
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}
