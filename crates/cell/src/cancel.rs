//! Cancellation: a job is cancelled once the cancellation is written to its row in the store.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use job::JobId;
use job::Queue;
use platform::Committed;
use platform::StoreError;
use platform::Transaction;
use snafu::ResultExt;
use snafu::Snafu;
use web::HttpResponse;

use crate::CallerHandler;
use crate::EarlyCancel;
use crate::EarlyCancelReply;
use crate::MAX_EARLY_CANCELS;
use crate::OwnerError;
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
use crate::retry::spread;
use crate::stored::Lookup;
use crate::stored::StoredError;
use crate::stored::StoredJob;

/// Pause before the owner is asked again about a job that it does not know: it reads new jobs three times a
/// second.
const PENDING_PAUSE: Duration = Duration::from_millis(350);

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
    /// The owner did not confirm that the cancellation is stored.
    #[snafu(display("cancellation of a job without a row not confirmed: {source}"))]
    Owner {
        /// Why there is no reply.
        source: OwnerError,
    },
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
            CancelError::Owner { source } => *source == OwnerError::None,
            CancelError::Write { source } => source.certainly_not_done(),
        }
    }
}

/// What the next attempt to cancel a job does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Asks the owner for the job. If there is none, the owner stores the cancellation, since a write of
    /// the job that was sent before may still be carried out.
    Owner {
        /// The job's rows were read, and there were none, or the owner was asked before.
        again: bool,
    },
    /// Reads the job's rows, and writes the cancellation to one of them.
    Row,
}

/// Result of an attempt to cancel a job.
enum Attempt {
    /// The caller gets this response.
    Finished(HttpResponse),
    /// The next attempt is made in this phase.
    Next(Phase),
    /// The owner is storing the cancellation, or reading jobs; the next attempt is made later, in this
    /// phase.
    Pending(Phase),
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
        let mut phase = Phase::Owner { again: false };
        let response = loop {
            let mut pause = RETRY_PAUSE;
            let attempt = match phase {
                Phase::Owner { .. } => self.cancel_early(id, viewer).await,
                Phase::Row => self.cancel_row(id, viewer).await,
            };
            match attempt {
                Ok(Attempt::Finished(response)) => {
                    log::info!(
                        code = 421, job:% = hex(id), status = response.status().as_u16(),
                        early = phase != Phase::Row;
                        "cancel answered"
                    );
                    break response;
                }
                Ok(Attempt::Next(next)) => {
                    // Rows that were missing are read again only after a pause.
                    let paused = phase == Phase::Owner { again: true };
                    phase = next;
                    if !paused {
                        continue;
                    }
                }
                Ok(Attempt::Pending(next)) => {
                    ambiguous = true;
                    phase = next;
                    pause = PENDING_PAUSE;
                }
                // An owner that does not answer says nothing about the job.
                Err(error @ CancelError::Owner { .. })
                    if phase == (Phase::Owner { again: false }) =>
                {
                    ambiguous |= !error.certainly_not_done();
                    phase = Phase::Row;
                    continue;
                }
                Err(error) => {
                    ambiguous |= !error.certainly_not_done();
                    log::warn!(
                        code = 422, job:% = hex(id), error:% = error, unsure = ambiguous;
                        "attempt to cancel a job failed; tried again until the caller's time is over"
                    );
                }
            }
            if self.context.now() + pause >= deadline {
                break if ambiguous {
                    outcome_unknown("the cancel is not known to be stored")
                } else {
                    service_unavailable("the cancel cannot be stored")
                };
            }
            tokio::time::sleep(pause).await;
        };
        count(&self.context.metrics.cancels, response.status().as_str());
        response
    }

    /// Makes one attempt to write the cancellation to a row of the job.
    async fn cancel_row(&self, id: JobId, viewer: Viewer<'_>) -> Result<Attempt, CancelError> {
        let stored = match self.stored_job(id, viewer).await.context(RowSnafu)? {
            Lookup::Found(stored) => stored,
            Lookup::Missing { version } => {
                log::info!(
                    code = 426, job:% = hex(id), version = version;
                    "cancel of a job without a row"
                );
                return Ok(Attempt::Next(Phase::Owner { again: true }));
            }
        };
        self.write_cancel(stored).await?;
        // The caller does not wait for this message. If it is lost, the owner reads the
        // cancellation from the change feed of the store.
        let owner = self.owner.clone();
        let requester = viewer.requester();
        tokio::spawn(async move { owner.notify_canceled(id, requester).await });
        Ok(Attempt::Finished(web::json(StatusCode::OK, &EmptyBody {})))
    }

    /// Makes one attempt to have the owner store the cancellation, if there is no such job.
    async fn cancel_early(&self, id: JobId, viewer: Viewer<'_>) -> Result<Attempt, CancelError> {
        let requester = viewer.requester();
        let cancel = EarlyCancel { id, requester };
        let reply = self.owner.cancel_early(cancel).await;
        match reply.context(OwnerSnafu)? {
            EarlyCancelReply::Stored => {
                let gone = web::json(StatusCode::GONE, &EmptyBody {});
                Ok(Attempt::Finished(gone))
            }
            // An owner that cannot read new jobs does not know a job that was just accepted.
            EarlyCancelReply::Pending { behind: true } => Ok(Attempt::Pending(Phase::Row)),
            EarlyCancelReply::Pending { behind: false } => {
                Ok(Attempt::Pending(Phase::Owner { again: true }))
            }
            EarlyCancelReply::Known => Ok(Attempt::Next(Phase::Row)),
            EarlyCancelReply::Full(wait) => {
                let organisation = viewer.organisation().map(|owner| &owner.name);
                let retry_after = spread(wait, id, organisation);
                Ok(Attempt::Finished(too_many(retry_after)))
            }
        }
    }

    /// Writes the cancellation to one of the job's rows, which is enough if the job has several.
    async fn write_cancel(&self, job: StoredJob) -> Result<(), CancelError> {
        let StoredJob { row, mut spec, .. } = job;
        if spec.canceled {
            return Ok(());
        }
        spec.canceled = true;
        let transaction = Transaction {
            expect: vec![(row.name.clone(), row.version)],
            puts: vec![(row.name, encode_row(&spec))],
            removes: Vec::new(),
        };
        let store = self.context.request_store();
        let commit = store.commit(&transaction, STORE_TIMEOUT);
        match commit.await.context(WriteSnafu)? {
            Committed::Done(_) => Ok(()),
            Committed::Conflict => ChangedSnafu.fail(),
        }
    }
}

/// Response 503 to the cancel of a job that is not stored, while too many of them are kept.
fn too_many(retry_after: Duration) -> HttpResponse {
    let seconds = retry_after.as_secs();
    let reason = format!(
        "too many cancels of jobs that do not exist, allowed: {MAX_EARLY_CANCELS} a minute; come back in {seconds} s"
    );
    let mut response = web::error(StatusCode::SERVICE_UNAVAILABLE, &reason);
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}
