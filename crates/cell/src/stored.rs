//! What the store says of a job.

use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Progress;
use platform::Row;
use platform::StoreError;
use snafu::ResultExt;
use snafu::Snafu;

use crate::CallerHandler;
use crate::callers::STORE_TIMEOUT;
use crate::decode_progress;
use crate::decode_row;
use crate::hex;
use crate::job_rows;
use crate::progress_row;

/// Why the store's rows do not tell what is asked. None of these means that
/// there is no row.
#[derive(Debug, Snafu)]
pub(crate) enum StoredError {
    /// The store did not give the row.
    #[snafu(display("not read: {source}"))]
    Read {
        /// Cause.
        source: StoreError,
    },
    /// The store has only its acceptance; whether a task has started is known to
    /// the owner alone.
    #[snafu(display("nothing is recorded but its acceptance"))]
    Open,
    /// The row's value is not what this version writes.
    #[snafu(display("not decoded: {source}"))]
    Decode {
        /// Cause.
        source: postcard::Error,
    },
}

impl CallerHandler {
    /// State of a job as the store knows it. `untouched` says that the owner
    /// does not know of it, so nothing of it has started.
    ///
    /// The store hears of a start a moment later than the worker. Without the
    /// owner, a job that it had not heard of was shown as pending after it had
    /// been active, and one whose cancel was stored as canceled, which may yet
    /// prove completed.
    pub(crate) async fn stored(
        &self,
        id: JobId,
        untouched: bool,
    ) -> Result<Option<JobStatus>, StoredError> {
        let progress = self.stored_progress(id).await?;
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            return Ok(Some(outcome.into()));
        }
        let Some(job) = self.stored_job(id).await? else {
            return Ok(None);
        };
        let spec = job.spec;
        // The row that was not read may hold the cancel.
        if let Some(error) = job.unread.filter(|_| !spec.canceled) {
            return Err(error).context(ReadSnafu);
        }
        let begun = progress.is_some_and(|progress| progress.has_started());
        match (begun, untouched) {
            (true, _) => Ok(Some(JobStatus::Active)),
            (false, true) if spec.canceled => Ok(Some(JobStatus::Canceled)),
            (false, true) => Ok(Some(JobStatus::Pending)),
            (false, false) => OpenSnafu.fail(),
        }
    }

    async fn stored_progress(&self, id: JobId) -> Result<Option<Progress>, StoredError> {
        let store = &self.context.store;
        let row = store.read_row(&progress_row(id), STORE_TIMEOUT).await;
        row.context(ReadSnafu)?
            .map(|row| checked(id, &row, decode_progress(&row.value)))
            .transpose()
    }

    /// What the rows of a job say together; nothing if there is certainly none.
    pub(crate) async fn stored_job(&self, id: JobId) -> Result<Option<StoredJob>, StoredError> {
        let store = &self.context.store;
        let mut found: Option<StoredJob> = None;
        let mut unread = None;
        for name in &job_rows(id) {
            let row = match store.read_row(name, STORE_TIMEOUT).await {
                Ok(Some(row)) => row,
                Ok(None) => continue,
                Err(error) => {
                    unread.get_or_insert(error);
                    continue;
                }
            };
            let spec: JobSpec = checked(id, &row, decode_row(&row.value))?;
            match &mut found {
                Some(job) => job.spec.canceled |= spec.canceled,
                None => {
                    found = Some(StoredJob {
                        row,
                        spec,
                        unread: None,
                    });
                }
            }
        }
        match (found, unread) {
            (Some(job), unread) => Ok(Some(StoredJob { unread, ..job })),
            (None, Some(error)) => Err(error).context(ReadSnafu),
            (None, None) => Ok(None),
        }
    }
}

/// An accepted job as the store has it.
pub(crate) struct StoredJob {
    /// The first of its rows.
    pub(crate) row: Row,
    /// What its rows say together.
    pub(crate) spec: JobSpec,
    /// A place that may hold another row could not be read.
    pub(crate) unread: Option<StoreError>,
}

/// Logs it if a row of a job was not decoded.
fn checked<T>(id: JobId, row: &Row, decoded: Result<T, postcard::Error>) -> Result<T, StoredError> {
    if let Err(error) = &decoded {
        log::error!(
            code = 414, job:% = hex(id), table = row.name.table.as_str(), error:% = error;
            "row of a job unreadable"
        );
    }
    decoded.context(DecodeSnafu)
}
