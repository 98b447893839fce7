//! Cancels: a job is cancelled once its row says so.

use hyper::StatusCode;
use job::JobId;
use job::Queue;
use platform::Committed;
use platform::StoreError;
use platform::Transaction;
use snafu::ResultExt;
use snafu::Snafu;
use web::HttpResponse;

use crate::CallerHandler;
use crate::callers::Empty;
use crate::callers::RETRY_PAUSE;
use crate::callers::STORE_TIMEOUT;
use crate::callers::TRY_SHARE;
use crate::callers::longest;
use crate::callers::no_answer;
use crate::callers::unavailable;
use crate::encode_row;
use crate::hex;
use crate::metrics::count;
use crate::stored::StoredError;
use crate::stored::StoredJob;

/// Why a try to cancel a job has no result.
#[derive(Debug, Snafu)]
enum CancelError {
    /// Nothing was written: the job's row is not known.
    #[snafu(display("{source}"))]
    Row {
        /// Cause.
        source: StoredError,
    },
    /// Another write of the row came in between; nothing was written.
    #[snafu(display("the row has changed"))]
    Changed,
    /// The write has no result.
    #[snafu(display("not written: {source}"))]
    Write {
        /// Cause.
        source: StoreError,
    },
}

impl CancelError {
    /// Whether the cancel certainly was not stored and never will be.
    fn certainly_not_done(&self) -> bool {
        match self {
            CancelError::Row { .. } | CancelError::Changed => true,
            CancelError::Write { source } => source.certainly_not_done(),
        }
    }
}

impl CallerHandler {
    /// Cancels a job. Once an answer was lost, "not stored" may not be said any
    /// more: the write may still be done.
    pub(crate) async fn cancel(&self, queue: &Queue, id: JobId) -> HttpResponse {
        let end = self.context.now() + longest(queue).mul_f64(TRY_SHARE);
        let mut unsure = false;
        let whole = loop {
            match self.try_cancel(id).await {
                Ok(status) => {
                    log::info!(code = 421, job:% = hex(id), status = status.as_u16(); "cancel");
                    if status == StatusCode::OK {
                        // The caller need not wait for it; if it fails, the feed tells.
                        let owner = self.owner.clone();
                        tokio::spawn(async move { owner.canceled(id).await });
                    }
                    break web::json(status, &Empty {});
                }
                Err(error) => {
                    unsure |= !error.certainly_not_done();
                    log::warn!(
                        code = 422, job:% = hex(id), error:% = error, unsure = unsure;
                        "try to cancel without success"
                    );
                }
            }
            if self.context.now() + RETRY_PAUSE >= end {
                break if unsure {
                    no_answer("the store does not answer the cancel")
                } else {
                    unavailable("the store does not take the cancel")
                };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        count(&self.context.metrics.cancels, whole.status().as_str());
        whole
    }

    async fn try_cancel(&self, id: JobId) -> Result<StatusCode, CancelError> {
        let Some(stored) = self.stored_job(id).await.context(RowSnafu)? else {
            return Ok(StatusCode::GONE);
        };
        let StoredJob { row, mut spec, .. } = stored;
        if spec.canceled {
            return Ok(StatusCode::OK);
        }
        // One row that says so is enough, also if the job has others.
        spec.canceled = true;
        let transaction = Transaction {
            expect: vec![(row.name.clone(), row.version)],
            puts: vec![(row.name, encode_row(&spec))],
            removes: Vec::new(),
        };
        let commit = self.context.store.commit(&transaction, STORE_TIMEOUT);
        match commit.await.context(WriteSnafu)? {
            Committed::Done(_) => Ok(StatusCode::OK),
            Committed::Conflict => ChangedSnafu.fail(),
        }
    }
}
