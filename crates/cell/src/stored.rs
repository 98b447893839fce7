//! Status of a job according to its rows in the store.

use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Progress;
use platform::Row;
use platform::StoreError;
use platform::Version;
use snafu::ResultExt;
use snafu::Snafu;

use crate::CallerHandler;
use crate::access::Viewer;
use crate::callers::STORE_TIMEOUT;
use crate::decode_job_row;
use crate::decode_progress;
use crate::hex;
use crate::is_rejection_mark;
use crate::job_rows;
use crate::progress_row;

/// Why the status of a job cannot be derived from its rows. None of these errors means that the
/// row does not exist.
#[derive(Debug, Snafu)]
pub(crate) enum StoredError {
    /// The store did not return the row.
    #[snafu(display("row of the job not read: {source}"))]
    Read {
        /// Error of the read.
        source: StoreError,
    },
    /// Only the job's acceptance is stored; only the owner has a record of whether one of its tasks
    /// has started.
    #[snafu(display(
        "only the acceptance of the job is stored; whether it has started is unknown"
    ))]
    Undecided,
    /// The row's value cannot be decoded by this version.
    #[snafu(display("row of the job not decoded: {source}"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
}

impl CallerHandler {
    /// Returns the status of a job according to the store, or that the job does not exist.
    /// `not_started` means that the owner has replied that it has no record of the job, so none of
    /// its tasks has started.
    ///
    /// A start is written to the store a moment after the worker has carried it out. If the owner
    /// does not answer, an accepted job may therefore be active already, and a cancelled one may
    /// still complete: without this distinction, jobs were shown as pending after they had been
    /// active, or as canceled before they completed.
    pub(crate) async fn stored_status(
        &self,
        id: JobId,
        not_started: bool,
        viewer: Viewer<'_>,
    ) -> Result<Lookup<JobStatus>, StoredError> {
        let progress = self.stored_progress(id).await?;
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            let visible = self.job_visible(id, viewer).await?;
            return Ok(if visible {
                Lookup::Found(outcome.into())
            } else {
                Lookup::Missing { version: None }
            });
        }
        let job = match self.stored_job(id, viewer).await? {
            Lookup::Found(job) => job,
            Lookup::Missing { version } => return Ok(Lookup::Missing { version }),
        };
        let spec = job.spec;
        // The row that could not be read may contain the cancellation.
        if let Some(error) = job.read_error.filter(|_| !spec.canceled) {
            return Err(error).context(ReadSnafu);
        }
        let started = progress.is_some_and(|progress| progress.has_started());
        match (started, not_started) {
            (true, _) => Ok(Lookup::Found(JobStatus::Active)),
            (false, true) if spec.canceled => Ok(Lookup::Found(JobStatus::Canceled)),
            (false, true) => Ok(Lookup::Found(JobStatus::Pending)),
            (false, false) => UndecidedSnafu.fail(),
        }
    }

    async fn stored_progress(&self, id: JobId) -> Result<Option<Progress>, StoredError> {
        let store = &self.context.request_store();
        let row = store.read_row(&progress_row(id), STORE_TIMEOUT).await;
        row.context(ReadSnafu)?
            .map(|row| log_undecodable(id, &row, decode_progress(&row.value)))
            .transpose()
    }

    /// Returns whether a caller may see a job that has ended.
    async fn job_visible(&self, id: JobId, viewer: Viewer<'_>) -> Result<bool, StoredError> {
        let config = self.context.config.borrow().clone();
        if config.is_some_and(|config| config.organisations.is_empty()) {
            return Ok(true);
        }
        let store = &self.context.request_store();
        for name in &job_rows(id) {
            let row = store.read_row(name, STORE_TIMEOUT).await;
            let row = row.context(ReadSnafu)?;
            if let Some(row) = row.filter(|row| !is_rejection_mark(&row.value)) {
                let spec = log_undecodable(id, &row, decode_job_row(&row.value))?;
                return Ok(viewer.requester().may_see(&spec));
            }
        }
        Ok(false)
    }

    /// Combines the rows of a job that a caller may see. They are missing only if none of them could be
    /// read because it does not exist.
    pub(crate) async fn stored_job(
        &self,
        id: JobId,
        viewer: Viewer<'_>,
    ) -> Result<Lookup<StoredJob>, StoredError> {
        let store = &self.context.request_store();
        let mut found: Option<StoredJob> = None;
        let mut read_error = None;
        let mut version = None;
        for name in &job_rows(id) {
            let row = match store.read_row_at(name, STORE_TIMEOUT).await {
                Ok((Some(row), _)) if !is_rejection_mark(&row.value) => row,
                Ok((_, read)) => {
                    version.get_or_insert(read);
                    continue;
                }
                Err(error) => {
                    read_error.get_or_insert(error);
                    continue;
                }
            };
            let spec = log_undecodable(id, &row, decode_job_row(&row.value))?;
            if !viewer.requester().may_see(&spec) {
                continue;
            }
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
            (Some(job), read_error) => Ok(Lookup::Found(StoredJob { read_error, ..job })),
            (None, Some(error)) => Err(error).context(ReadSnafu),
            (None, None) => Ok(Lookup::Missing { version }),
        }
    }
}

/// Result of looking for a job in the store.
pub(crate) enum Lookup<T> {
    /// The job exists.
    Found(T),
    /// There was no row of the job that the caller may see.
    Missing {
        /// Version of the store as of which the first of the rows was read. A row with a higher version was
        /// written later, and may have been missing.
        version: Option<Version>,
    },
}

/// An accepted job as stored.
pub(crate) struct StoredJob {
    /// First row found for the job.
    pub(crate) row: Row,
    /// Specification combined from all rows that were found.
    pub(crate) spec: JobSpec,
    /// Error of a read that may have hidden another row of the job.
    pub(crate) read_error: Option<StoreError>,
}

/// Logs a row of a job that cannot be decoded, and converts the error.
fn log_undecodable<T>(
    id: JobId,
    row: &Row,
    decoded: Result<T, postcard::Error>,
) -> Result<T, StoredError> {
    if let Err(error) = &decoded {
        log::error!(
            code = 414, job:% = hex(id), table = row.name.table.as_str(), error:% = error;
            "row of a job cannot be decoded; status and cancel of the job fail"
        );
    }
    decoded.context(DecodeSnafu)
}
