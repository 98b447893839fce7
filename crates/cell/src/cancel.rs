//! Cancellation: a job is cancelled once the cancellation is written to its row in the store.

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
use crate::access::Viewer;
use crate::callers::ATTEMPT_SHARE;
use crate::callers::EmptyBody;
use crate::callers::RETRY_PAUSE;
use crate::callers::STORE_TIMEOUT;
use crate::callers::caller_timeout;
use crate::callers::outcome_unknown;
use crate::callers::service_unavailable;
use crate::encode_row;
use crate::hex;
use crate::metrics::count;
use crate::stored::Lookup;
use crate::stored::StoredError;
use crate::stored::StoredJob;

/// Why an attempt to cancel a job has no result.
#[derive(Debug, Snafu)]
enum CancelError {
    /// The job's row could not be read or decoded, so nothing was written.
    #[snafu(display("{source}"))]
    Row {
        /// Error of the read.
        source: StoredError,
    },
    /// The row was changed between the read and the write, so nothing was written.
    #[snafu(display("row of the job was changed by another write"))]
    Changed,
    /// The store did not confirm the write.
    #[snafu(display("cancellation not confirmed by the store: {source}"))]
    Write {
        /// Error of the write.
        source: StoreError,
    },
}

impl CancelError {
    /// Whether the cancellation is certainly not stored and never will be.
    fn certainly_not_done(&self) -> bool {
        match self {
            CancelError::Row { .. } | CancelError::Changed => true,
            CancelError::Write { source } => source.certainly_not_done(),
        }
    }
}

impl CallerHandler {
    /// Cancels a job. Once a reply to a write has been lost, the response may no longer be "not
    /// stored", because the store may still carry out that write.
    pub(crate) async fn cancel(
        &self,
        queue: &Queue,
        id: JobId,
        viewer: Viewer<'_>,
    ) -> HttpResponse {
        let deadline = self.context.now() + caller_timeout(queue).mul_f64(ATTEMPT_SHARE);
        let mut ambiguous = false;
        let response = loop {
            match self.try_cancel(id, viewer).await {
                Ok(status) => {
                    log::info!(
                        code = 421, job:% = hex(id), status = status.as_u16();
                        "cancel answered"
                    );
                    if status == StatusCode::OK {
                        // The caller does not wait for this message. If it is lost, the owner
                        // reads the cancellation from the change feed of the store.
                        let owner = self.owner.clone();
                        let requester = viewer.requester();
                        tokio::spawn(async move { owner.notify_canceled(id, requester).await });
                    }
                    break web::json(status, &EmptyBody {});
                }
                Err(error) => {
                    ambiguous |= !error.certainly_not_done();
                    log::warn!(
                        code = 422, job:% = hex(id), error:% = error, unsure = ambiguous;
                        "attempt to cancel a job failed; tried again until the caller's time is over"
                    );
                }
            }
            if self.context.now() + RETRY_PAUSE >= deadline {
                break if ambiguous {
                    outcome_unknown("the store does not answer the cancel")
                } else {
                    service_unavailable("the store does not take the cancel")
                };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        count(&self.context.metrics.cancels, response.status().as_str());
        response
    }

    /// Makes one attempt to write the cancellation. Returns the status for the caller: 200, or 410
    /// if there is no such job.
    async fn try_cancel(&self, id: JobId, viewer: Viewer<'_>) -> Result<StatusCode, CancelError> {
        let stored = match self.stored_job(id, viewer).await.context(RowSnafu)? {
            Lookup::Found(stored) => stored,
            Lookup::Missing { version } => {
                log::info!(
                    code = 426, job:% = hex(id), version = version;
                    "cancel of a job without a row"
                );
                return Ok(StatusCode::GONE);
            }
        };
        let StoredJob { row, mut spec, .. } = stored;
        if spec.canceled {
            return Ok(StatusCode::OK);
        }
        // Marking one row is enough, even if the job has several.
        spec.canceled = true;
        let transaction = Transaction {
            expect: vec![(row.name.clone(), row.version)],
            puts: vec![(row.name, encode_row(&spec))],
            removes: Vec::new(),
        };
        let store = self.context.request_store();
        let commit = store.commit(&transaction, STORE_TIMEOUT);
        match commit.await.context(WriteSnafu)? {
            Committed::Done(_) => Ok(StatusCode::OK),
            Committed::Conflict => ChangedSnafu.fail(),
        }
    }
}
