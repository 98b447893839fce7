//! Acceptance of jobs: a job is accepted once its row is committed.

use std::time::Duration;

use job::Mechanism;
use platform::Committed;
use platform::RowName;
use platform::StoreError;
use platform::Transaction;
use serde::Deserialize;
use serde::Serialize;

use crate::AcceptedJob;
use crate::Context;
use crate::callers::RETRY_PAUSE;
use crate::callers::millis;
use crate::encode_row;
use crate::hex;
use crate::job_rows;
use crate::metrics::count;
use crate::metrics::observe;

/// Time without an answer after which a commit is tried once more. A slow store
/// takes up to 1.2 s for one.
const HEDGE_DELAY: Duration = Duration::from_millis(1300);

/// What became of a job that was to be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acceptance {
    /// Its row is committed.
    Accepted {
        /// It was not there before.
        first: bool,
    },
    /// Certainly not accepted; why.
    Refused(String),
    /// It may have been accepted; why that is not known.
    Unknown(String),
}

/// Commits the rows of jobs.
#[derive(Clone, Debug)]
pub struct Acceptor {
    context: Context,
}

impl Acceptor {
    /// An acceptor.
    #[must_use]
    pub fn new(context: Context) -> Acceptor {
        Acceptor { context }
    }

    /// Commits the job by the monotonic time `deadline`. The row must not exist, so a
    /// try that is done late, or by another process, makes no second job. Once an
    /// answer was lost, "not accepted" may not be said any more: the write may
    /// still be done.
    pub(crate) async fn accept(&self, job: &AcceptedJob, deadline: Duration) -> Acceptance {
        let acceptance = self.commit_any_row(job, deadline).await;
        let label = match &acceptance {
            Acceptance::Accepted { first: true } => "accepted",
            Acceptance::Accepted { first: false } => "repeated",
            Acceptance::Refused(_) => "refused",
            Acceptance::Unknown(_) => "unknown",
        };
        count(&self.context.metrics.submits, label);
        acceptance
    }

    async fn commit_any_row(&self, job: &AcceptedJob, deadline: Duration) -> Acceptance {
        let id = hex(job.id);
        let started = self.context.now();
        let mut ambiguous = false;
        if self.context.store_unreachable() {
            log::warn!(code = 402, job = id.as_str(), reason = "store silent"; "job refused");
            return Acceptance::Refused("the store cannot be reached from this host".to_owned());
        }
        let mut rows = job_rows(job.id).to_vec();
        if !self.context.settings.has(Mechanism::JobPlaces) {
            rows.truncate(1);
        }
        let mut index = 0;
        loop {
            let remaining = deadline.saturating_sub(self.context.now());
            let transaction = transaction(&rows[index], job);
            let result = tokio::select! {
                result = self.commit(&transaction, remaining) => result,
                () = self.context.wait_unreachable() => {
                    log::warn!(code = 403, job = id.as_str(), reason = "store silent"; "acceptance unknown");
                    return Acceptance::Unknown("the store cannot be reached from this host".to_owned());
                }
            };
            let elapsed = self.context.now().saturating_sub(started);
            match result {
                Ok(committed) => {
                    let first = committed != Committed::Conflict;
                    self.record_accepted(job, first, elapsed);
                    return Acceptance::Accepted { first };
                }
                // This part of the store refuses; others may serve.
                Err(error) if error.certainly_not_done() && index + 1 < rows.len() => {
                    log::info!(code = 405, job = id.as_str(), place = index, error:% = error; "another part is tried");
                    index += 1;
                    continue;
                }
                Err(error) if error.certainly_not_done() && !ambiguous => {
                    log::warn!(code = 402, job = id.as_str(), error:% = error, ms = millis(elapsed); "job refused");
                    return Acceptance::Refused("the store does not take the job".to_owned());
                }
                Err(error) => {
                    ambiguous |= !error.certainly_not_done();
                    log::warn!(code = 403, job = id.as_str(), error:% = error, ms = millis(elapsed); "acceptance unknown");
                }
            }
            if self.context.now() + RETRY_PAUSE >= deadline {
                return Acceptance::Unknown("the store does not answer".to_owned());
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn record_accepted(&self, job: &AcceptedJob, first: bool, elapsed: Duration) {
        observe(&self.context.metrics.accept, elapsed);
        log::info!(
            code = 401, job = hex(job.id), queue = job.spec.queue.name.as_str(), first = first,
            ms = millis(elapsed); "job accepted"
        );
    }

    /// Commits within `remaining`. After [`HEDGE_DELAY`] without an answer, the same
    /// is tried once more, and the first answer counts: a lost one does not
    /// cost the caller's whole time, a slow one is not given up.
    async fn commit(
        &self,
        transaction: &Transaction,
        remaining: Duration,
    ) -> Result<Committed, StoreError> {
        let store = &self.context.store;
        let first = store.commit(transaction, remaining);
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(HEDGE_DELAY) => {}
        }
        let second = store.commit(transaction, remaining.saturating_sub(HEDGE_DELAY));
        tokio::pin!(second);
        // A refusal of one try says nothing of the other.
        tokio::select! {
            result = &mut first => match result {
                Ok(committed) => Ok(committed),
                Err(_) => second.await.map_err(into_ambiguous),
            },
            result = &mut second => match result {
                Ok(committed) => Ok(committed),
                Err(error) if error.certainly_not_done() => first.await,
                Err(_) => first.await.map_err(into_ambiguous),
            },
        }
    }
}

fn transaction(row: &RowName, job: &AcceptedJob) -> Transaction {
    Transaction {
        expect: vec![(row.clone(), 0)],
        puts: vec![(row.clone(), encode_row(&job.spec))],
        removes: Vec::new(),
    }
}

/// One of two tries got no clear answer, so a refusal of the other does not mean
/// that nothing was done: callers were told "not accepted" of jobs that ran.
fn into_ambiguous(error: StoreError) -> StoreError {
    match error {
        StoreError::Refused { status, .. } => StoreError::Undecided { status },
        StoreError::Unreachable { source } => StoreError::Lost { source },
        error => error,
    }
}
