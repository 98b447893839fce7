//! What the store says of a job.

use job::JobId;
use job::JobSpec;
use job::Progress;
use job::Shown;
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
    Undecided,
    /// The row's value is not what this version writes.
    #[snafu(display("not decoded: {source}"))]
    Decode {
        /// Cause.
        source: postcard::Error,
    },
}

impl CallerHandler {
    /// State of a job as the store knows it. `not_started` says that the owner
    /// does not know of it, so nothing of it has started.
    ///
    /// The store hears of a start a moment later than the worker. Without the
    /// owner, a job that it had not heard of was shown as pending after it had
    /// been active, and one whose cancel was stored as canceled, which may yet
    /// prove completed.
    pub(crate) async fn stored_status(
        &self,
        id: JobId,
        not_started: bool,
    ) -> Result<Option<Shown>, StoredError> {
        let progress = self.stored_progress(id).await?;
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            return Ok(Some(outcome.into()));
        }
        let Some(job) = self.stored_job(id).await? else {
            return Ok(None);
        };
        let spec = job.spec;
        // The row that was not read may hold the cancel.
        if let Some(error) = job.read_error.filter(|_| !spec.canceled) {
            return Err(error).context(ReadSnafu);
        }
        let begun = progress.is_some_and(|progress| progress.begun());
        match (begun, not_started) {
            (true, _) => Ok(Some(Shown::Active)),
            (false, true) if spec.canceled => Ok(Some(Shown::Canceled)),
            (false, true) => Ok(Some(Shown::Pending)),
            (false, false) => UndecidedSnafu.fail(),
        }
    }

    async fn stored_progress(&self, id: JobId) -> Result<Option<Progress>, StoredError> {
        let store = &self.context.store;
        let row = store.get(&progress_row(id), STORE_TIMEOUT).await;
        row.context(ReadSnafu)?
            .map(|row| log_undecodable(id, &row, decode_progress(&row.value)))
            .transpose()
    }

    /// What the rows of a job say together; nothing if there is certainly none.
    pub(crate) async fn stored_job(&self, id: JobId) -> Result<Option<StoredJob>, StoredError> {
        let store = &self.context.store;
        let mut found: Option<StoredJob> = None;
        let mut read_error = None;
        for name in &job_rows(id) {
            let row = match store.get(name, STORE_TIMEOUT).await {
                Ok(Some(row)) => row,
                Ok(None) => continue,
                Err(error) => {
                    read_error.get_or_insert(error);
                    continue;
                }
            };
            let spec: JobSpec = log_undecodable(id, &row, decode_row(&row.value))?;
            match &mut found {
                Some(job) => job.spec.canceled |= spec.canceled,
                None => {
                    found = Some(StoredJob {
                        row,
                        spec,
                        read_error: None,
                    });
                }
            }
        }
        match (found, read_error) {
            (Some(job), read_error) => Ok(Some(StoredJob { read_error, ..job })),
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
    pub(crate) read_error: Option<StoreError>,
}

/// Logs it if a row of a job was not decoded.
fn log_undecodable<T>(
    id: JobId,
    row: &Row,
    decoded: Result<T, postcard::Error>,
) -> Result<T, StoredError> {
    if let Err(error) = &decoded {
        log::error!(
            code = 414, job:% = hex(id), table = row.name.table.as_str(), error:% = error;
            "row of a job unreadable"
        );
    }
    decoded.context(DecodeSnafu)
}
