//! What a new owner reads from the store at take-over, and how it follows the job rows after
//! that.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::JobId;
use job::LearntState;
use job::Progress;
use platform::Row;
use platform::StoreError;
use prometheus::IntCounterVec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Saver;
use super::learnt_state::read_beside;
use crate::Change;
use crate::Context;
use crate::EARLY_CANCEL_TABLE;
use crate::EarlyCancel;
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
pub(super) const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two reads of the feed of job rows. The process that accepts a job notifies the
/// owner at once; the feed delivers the jobs of which the owner was not notified.
const FEED_INTERVAL: Duration = Duration::from_millis(300);

/// State that the former owner left in the store.
pub(super) struct InheritedState {
    /// Rows of all accepted jobs.
    pub(super) jobs: Vec<Row>,
    /// Follows the changes of the job rows after the read of `jobs`.
    pub(super) follower: Follower,
    /// Progress by job.
    pub(super) progress: HashMap<JobId, Progress>,
    /// Jobs with progress that cannot be decoded.
    pub(super) unreadable_jobs: HashSet<JobId>,
    /// Cancellations of jobs that were not stored.
    pub(super) early_cancels: Vec<EarlyCancel>,
    /// Workers to which the former owner may have given tasks.
    pub(super) used_workers: Vec<(String, UsedWorker)>,
    /// Number of rows of used workers that cannot be decoded.
    pub(super) undecodable_workers: usize,
    /// What the former owner has learnt, if that could be read in time.
    pub(super) learnt: Option<LearntState>,
}

/// Reads the state that the former owner left and renews the ownership meanwhile. Returns
/// `None` if another process owns the pool. The guard row is read first: from then on no former
/// owner can write.
///
/// On a slow link the reads take seconds. Without renewals, the next host took the pool before
/// the reads had finished, and its own reads took as long: 36 take-overs in a row started no
/// task. This shows in the log as alternating `pool opened` and `pool lost`.
pub(super) async fn take_over(
    context: &Context,
    saver: &mut Saver,
) -> Result<Option<InheritedState>, StoreError> {
    if !saver.refresh_guard().await? {
        return Ok(None);
    }
    let (read_done, reading) = oneshot::channel::<()>();
    let read = async move {
        let (inherited, learnt) = read_beside(context, read_inherited(context)).await;
        drop(read_done);
        inherited.map(|inherited| InheritedState {
            learnt,
            ..inherited
        })
    };
    tokio::pin!(read);
    let renewals = saver.renew_until(reading);
    tokio::pin!(renewals);
    tokio::select! {
        biased;
        // If the ownership is lost, the rest of the read is not needed.
        owned = &mut renewals => if owned { read.await.map(Some) } else { Ok(None) },
        inherited = &mut read => if renewals.await { inherited.map(Some) } else { Ok(None) },
    }
}

/// Reads the rows in the owner's part of the store, and all job rows.
async fn read_inherited(context: &Context) -> Result<InheritedState, StoreError> {
    let store = &context.store;
    let progress = store
        .read_part(PROGRESS_TABLE, OWNER_PART, LONG_READ_TIMEOUTS)
        .await?;
    let (used_workers, early_cancels) = tokio::try_join!(
        store.read_part(USED_WORKER_TABLE, OWNER_PART, LONG_READ_TIMEOUTS),
        store.read_part(EARLY_CANCEL_TABLE, OWNER_PART, LONG_READ_TIMEOUTS),
    )?;
    let mut follower = Follower::new(store, JOB_TABLE, true).with_long_timeouts();
    let (Change::Snapshot(jobs) | Change::Delta(jobs)) = follower.next(Duration::ZERO).await?;
    let mut inherited = InheritedState {
        jobs,
        follower,
        progress: HashMap::new(),
        unreadable_jobs: HashSet::new(),
        early_cancels: Vec::new(),
        used_workers: Vec::new(),
        undecodable_workers: 0,
        learnt: None,
    };
    let unreadable = &context.metrics.unreadable;
    for row in &progress.rows {
        inherited.add_progress(row, unreadable);
    }
    for row in &early_cancels.rows {
        inherited.add_early_cancel(row, unreadable);
    }
    for row in &used_workers.rows {
        inherited.add_worker(row, unreadable);
    }
    Ok(inherited)
}

impl InheritedState {
    fn add_progress(&mut self, row: &Row, metrics: &IntCounterVec) {
        let id = match job::parse_job_id(&row.name.key) {
            Ok(id) => id,
            Err(error) => {
                count(metrics, PROGRESS_TABLE);
                log::error!(
                    code = 337, key = row.name.key.as_str(), error:% = error;
                    "key of a progress row is not the id of a job; the row is ignored"
                );
                return;
            }
        };
        match decode_progress(&row.value) {
            Ok(progress) => {
                self.progress.insert(id, progress);
            }
            Err(error) => {
                count(metrics, PROGRESS_TABLE);
                log::error!(
                    code = 337, key = row.name.key.as_str(), error:% = error;
                    "progress row of a job cannot be decoded; this owner does not schedule the job"
                );
                self.unreadable_jobs.insert(id);
            }
        }
    }

    fn add_early_cancel(&mut self, row: &Row, metrics: &IntCounterVec) {
        match EarlyCancel::decode(row) {
            Ok(cancel) => self.early_cancels.push(cancel),
            Err(error) => {
                count(metrics, EARLY_CANCEL_TABLE);
                log::error!(
                    code = 399, key = row.name.key.as_str(), error:% = error;
                    "row of an early cancellation cannot be decoded; the row is ignored"
                );
            }
        }
    }

    fn add_worker(&mut self, row: &Row, metrics: &IntCounterVec) {
        match decode_used_worker(&row.value) {
            Ok(worker) => self.used_workers.push((row.name.key.clone(), worker)),
            Err(error) => {
                count(metrics, USED_WORKER_TABLE);
                log::error!(
                    code = 338, key = row.name.key.as_str(), error:% = error;
                    "row of a used worker cannot be decoded; the take-over waits for its lease to expire"
                );
                self.undecodable_workers += 1;
            }
        }
    }
}

/// Passes job rows from the feed to the owner.
pub(super) async fn follow_jobs(
    context: Context,
    mut jobs: Follower,
    sender: mpsc::Sender<OwnerMessage>,
) {
    let mut unavailable = false;
    loop {
        match jobs.next(Duration::ZERO).await {
            Ok(change) => {
                if std::mem::take(&mut unavailable) {
                    log::info!(code = 349; "job rows can be read from the store again");
                }
                // Also sent without changes: it confirms that the owner has all job rows up to
                // this time.
                let message = OwnerMessage::JobRows(change, context.current_at(&jobs));
                if sender.send(message).await.is_err() {
                    return;
                }
                tokio::time::sleep(FEED_INTERVAL).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut unavailable, true) {
                    log::warn!(
                        code = 339, error:% = error;
                        "job rows cannot be read from the store; retrying, new jobs come only by notification"
                    );
                }
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}
