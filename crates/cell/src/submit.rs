//! Acceptance of jobs: a job is accepted once its row is committed.

use std::time::Duration;

use hyper::StatusCode;
use job::Config;
use job::JobId;
use job::Queue;
use platform::Committed;
use platform::StoreError;
use platform::Transaction;
use platform::decode_job;
use web::Asked;
use web::Whole;

use crate::AcceptedJob;
use crate::CallerHandler;
use crate::callers::Empty;
use crate::callers::RETRY_PAUSE;
use crate::callers::TRY_SHARE;
use crate::callers::longest;
use crate::callers::millis;
use crate::callers::no_answer;
use crate::callers::unavailable;
use crate::encode_row;
use crate::hex;
use crate::job_row;
use crate::metrics::count;
use crate::metrics::observe;

/// Time without an answer after which a commit is tried once more. A slow store
/// takes up to 1.2 s for one.
const SECOND_TRY: Duration = Duration::from_millis(1300);

impl CallerHandler {
    /// Takes a caller's job.
    pub(crate) async fn submit(
        &self,
        config: &Config,
        queue: &Queue,
        id: JobId,
        asked: &Asked,
    ) -> Whole {
        if asked.body.len() > config.body_bytes {
            let reason = format!("body: allowed: at most {} bytes", config.body_bytes);
            return web::error(StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        let spec = match decode_job(&asked.body, queue, self.context.wall()) {
            Ok(spec) => spec,
            Err(error) => return web::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let transaction = Transaction {
            expect: vec![(job_row(id), 0)],
            puts: vec![(job_row(id), encode_row(&spec))],
            removes: Vec::new(),
        };
        let job = AcceptedJob { id, spec };
        self.accept(job, queue, &transaction).await
    }

    /// Commits the job. The row must not exist, so a try that is done late, or
    /// by another process, makes no second job. Once an answer was lost, "not
    /// accepted" may not be said any more: the write may still be done.
    async fn accept(&self, job: AcceptedJob, queue: &Queue, transaction: &Transaction) -> Whole {
        let id = job.id;
        let begin = self.context.now();
        let end = begin + longest(queue).mul_f64(TRY_SHARE);
        let mut unsure = false;
        let metrics = &self.context.metrics;
        if self.context.store_silent() {
            log::warn!(code = 402, job:% = hex(id), reason = "store silent"; "job refused");
            count(&metrics.submits, "refused");
            return unavailable("the store cannot be reached from this host");
        }
        loop {
            let left = end.saturating_sub(self.context.now());
            let result = tokio::select! {
                result = self.commit(transaction, left) => result,
                () = self.context.wait_silent() => {
                    log::warn!(code = 403, job:% = hex(id), reason = "store silent"; "acceptance unknown");
                    count(&metrics.submits, "unknown");
                    return no_answer("the store cannot be reached from this host");
                }
            };
            let took = self.context.now().saturating_sub(begin);
            match result {
                Ok(committed) => {
                    let first = committed != Committed::Conflict;
                    let label = if first { "accepted" } else { "repeated" };
                    count(&metrics.submits, label);
                    observe(&metrics.accept, took);
                    log::info!(
                        code = 401, job:% = hex(id), queue = queue.name.as_str(), first = first,
                        ms = millis(took); "job accepted"
                    );
                    if first {
                        self.tell_owner(job);
                    }
                    return web::json(StatusCode::OK, &Empty {});
                }
                Err(error) if error.certainly_not_done() && !unsure => {
                    log::warn!(code = 402, job:% = hex(id), error:% = error, ms = millis(took); "job refused");
                    count(&metrics.submits, "refused");
                    return unavailable("the store does not take the job");
                }
                Err(error) => {
                    unsure |= !error.certainly_not_done();
                    log::warn!(code = 403, job:% = hex(id), error:% = error, ms = millis(took); "acceptance unknown");
                }
            }
            if self.context.now() + RETRY_PAUSE >= end {
                count(&metrics.submits, "unknown");
                return no_answer("the store does not answer");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Commits within `left`. After [`SECOND_TRY`] without an answer, the same
    /// is tried once more, and the first answer counts: a lost one does not
    /// cost the caller's whole time, a slow one is not given up.
    async fn commit(
        &self,
        transaction: &Transaction,
        left: Duration,
    ) -> Result<Committed, StoreError> {
        let store = &self.context.store;
        let first = store.commit(transaction, left);
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(SECOND_TRY) => {}
        }
        let second = store.commit(transaction, left.saturating_sub(SECOND_TRY));
        tokio::pin!(second);
        // A refusal of one try says nothing of the other.
        tokio::select! {
            result = &mut first => match result {
                Ok(committed) => Ok(committed),
                Err(_) => second.await.map_err(into_lost),
            },
            result = &mut second => match result {
                Ok(committed) => Ok(committed),
                Err(error) if error.certainly_not_done() => first.await,
                Err(_) => first.await.map_err(into_lost),
            },
        }
    }

    /// Tells the owner without making the caller wait; what it misses, the
    /// feed brings.
    fn tell_owner(&self, job: AcceptedJob) {
        let owner = self.owner.clone();
        tokio::spawn(async move {
            let id = job.id;
            if owner.accepted(job).await.is_err() {
                log::debug!(code = 404, job:% = hex(id); "owner not told of a job");
            }
        });
    }
}

/// One of two tries got no clear answer, so a refusal of the other does not mean
/// that nothing was done: callers were told "not accepted" of jobs that ran.
fn into_lost(error: StoreError) -> StoreError {
    match error {
        StoreError::Refused { status, .. } => StoreError::Undecided { status },
        StoreError::Unreachable { source } => StoreError::Lost { source },
        error => error,
    }
}
