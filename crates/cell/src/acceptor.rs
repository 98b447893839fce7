//! Acceptance of jobs: a job is accepted once its row is committed to the store.

use std::time::Duration;

use job::JobSpec;
use job::Mechanism;
use platform::Committed;
use platform::RowName;
use platform::StoreError;
use platform::Transaction;
use platform::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::AcceptedJob;
use crate::Context;
use crate::callers::RETRY_PAUSE;
use crate::callers::millis;
use crate::decode_job_row;
use crate::encode_row;
use crate::hex;
use crate::is_rejection_mark;
use crate::job_rows;
use crate::metrics::count;
use crate::metrics::observe;
use crate::rejection_mark;

/// Time without a reply after which a second, identical commit is sent. A slow store takes up to
/// 1.2 s for one commit.
const HEDGE_DELAY: Duration = Duration::from_millis(1300);

/// Time for the reply to a write in progress after the store has refused another call; a slow store
/// takes up to 1.2 s for one commit.
const REFUSAL_WAIT: Duration = Duration::from_millis(1200);

/// Result of an attempt to accept a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acceptance {
    /// The job's row is committed.
    Accepted {
        /// Whether this call created the row; false if the row already existed.
        first: bool,
    },
    /// The id belongs to a job of another organisation.
    Taken,
    /// The job is certainly not accepted; the text is the reason for the caller.
    Refused(String),
    /// The job may or may not have been accepted; the text is the reason for the caller.
    Unknown(String),
}

/// Commits the rows of accepted jobs.
#[derive(Clone, Debug)]
pub struct Acceptor {
    pub(crate) context: Context,
}

impl Acceptor {
    /// Creates an acceptor that writes to the store of `context`.
    #[must_use]
    pub fn new(context: Context) -> Acceptor {
        Acceptor { context }
    }

    /// Commits the job's row by the monotonic time `deadline`. The transaction requires that the
    /// row does not exist, so an attempt that the store carries out late, or one from another
    /// process, creates no second job. Once a reply has been lost, the result may no longer be
    /// "refused", because the store may still carry out that write.
    pub async fn accept(&self, job: &AcceptedJob, deadline: Duration) -> Acceptance {
        let acceptance = self.commit_any_row(job, deadline).await;
        let label = match &acceptance {
            Acceptance::Accepted { first: true } => "accepted",
            Acceptance::Accepted { first: false } => "repeated",
            Acceptance::Taken => "taken",
            Acceptance::Refused(_) => "refused",
            Acceptance::Unknown(_) => "unknown",
        };
        count(&self.context.metrics.submits, label);
        acceptance
    }

    /// Commits one of the job's rows, which are in different parts of the store: the first one, or
    /// the next one each time the store certainly refuses a part. An unclear result is retried with
    /// the same row until `deadline`. Fails at once while the store is unreachable.
    async fn commit_any_row(&self, job: &AcceptedJob, deadline: Duration) -> Acceptance {
        let id = hex(job.id);
        let started = self.context.now();
        let mut ambiguous = false;
        let mut rows = job_rows(job.id).to_vec();
        if !self.context.settings.has(Mechanism::AlternateRows) {
            rows.truncate(1);
        }
        let mut index = 0;
        // Version of the mark that the row must have if the job was rejected before; 0 for no row.
        let mut mark = 0;
        loop {
            if self.context.store_unreachable() {
                return unreachable_acceptance(&id, ambiguous);
            }
            let remaining = deadline.saturating_sub(self.context.now());
            let transaction = transaction(&rows[index], mark, job);
            let result = tokio::select! {
                result = self.commit(&transaction, remaining) => result,
                () = self.wait_silent() => return unreachable_acceptance(&id, true),
            };
            let elapsed = self.context.now().saturating_sub(started);
            let result = match result {
                Ok(Committed::Conflict) => {
                    match self.existing_row(&rows[index], job, deadline).await {
                        Ok(ExistingRow::SameJob) => Ok(Committed::Conflict),
                        Ok(ExistingRow::OtherJob) => return Acceptance::Taken,
                        Ok(ExistingRow::Mark(version)) if self.context.now() < deadline => {
                            mark = version;
                            continue;
                        }
                        Ok(ExistingRow::NewerMark) if !ambiguous => {
                            return self.rejected_since(job, deadline).await;
                        }
                        Ok(_) => {
                            return Acceptance::Unknown("the job's row has changed".to_owned());
                        }
                        Err(error) => Err(error),
                    }
                }
                result => result,
            };
            match result {
                Ok(committed) => {
                    let first = committed != Committed::Conflict;
                    self.record_accepted(job, first, elapsed);
                    return Acceptance::Accepted { first };
                }
                // Only this part of the store refuses the write; another part may accept it.
                Err(error) if error.certainly_not_done() && index + 1 < rows.len() => {
                    log::info!(
                        code = 405, job = id.as_str(), place = index, error:% = error;
                        "part of the store refused the job; trying another part"
                    );
                    index += 1;
                    mark = 0;
                    continue;
                }
                Err(error) if error.certainly_not_done() && !ambiguous => {
                    log::warn!(
                        code = 402, job = id.as_str(), error:% = error, ms = millis(elapsed);
                        "job not stored; the caller gets 503 unless the pool's owner accepts the job"
                    );
                    return Acceptance::Refused("the store does not take the job".to_owned());
                }
                Err(error) => {
                    ambiguous |= !error.certainly_not_done();
                    log::warn!(
                        code = 403, job = id.as_str(), error:% = error, ms = millis(elapsed);
                        "unknown whether the job was stored; tried again until the caller's time is over"
                    );
                }
            }
            if self.context.now() + RETRY_PAUSE >= deadline {
                return Acceptance::Unknown("the store does not answer".to_owned());
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the row that exists under the id of a job. An error does not say that the job is not
    /// stored.
    async fn existing_row(
        &self,
        row: &RowName,
        job: &AcceptedJob,
        deadline: Duration,
    ) -> Result<ExistingRow, StoreError> {
        let remaining = deadline.saturating_sub(self.context.now());
        let read = self.context.request_store().read_row(row, remaining).await;
        let Some(stored) = read.map_err(into_ambiguous)? else {
            return Ok(ExistingRow::Removed);
        };
        if is_rejection_mark(&stored.value) {
            let own = job.attempt != 0 && stored.value == rejection_mark(job.attempt);
            return Ok(if own || stored.version <= job.known {
                ExistingRow::Mark(stored.version)
            } else {
                ExistingRow::NewerMark
            });
        }
        let decoded = decode_job_row(&stored.value);
        // An undecodable row keeps its id.
        let same = |spec: JobSpec| spec.organisation_name() == job.spec.organisation_name();
        Ok(
            if job.spec.organisation.is_none() || decoded.is_ok_and(same) {
                ExistingRow::SameJob
            } else {
                ExistingRow::OtherJob
            },
        )
    }

    /// Result for a job one of whose rows has the mark of a newer rejection. A rejection that found the job
    /// in another of its rows, and therefore did not take place, leaves such marks, too.
    async fn rejected_since(&self, job: &AcceptedJob, deadline: Duration) -> Acceptance {
        for row in &job_rows(job.id) {
            match self.existing_row(row, job, deadline).await {
                Ok(ExistingRow::SameJob) => return Acceptance::Accepted { first: false },
                Ok(ExistingRow::OtherJob) => return Acceptance::Taken,
                Ok(ExistingRow::Mark(_) | ExistingRow::NewerMark | ExistingRow::Removed) => {}
                Err(_) => return Acceptance::Unknown("the job's rows cannot be read".to_owned()),
            }
        }
        Acceptance::Refused("a repeated request was rejected".to_owned())
    }

    /// Waits until a write in progress is unlikely to get a reply: the store has become unreachable,
    /// and if it refuses calls instead of being silent, [`REFUSAL_WAIT`] is over.
    async fn wait_silent(&self) {
        let refusing = self.context.wait_unreachable().await;
        if refusing {
            tokio::time::sleep(REFUSAL_WAIT).await;
        }
    }

    fn record_accepted(&self, job: &AcceptedJob, first: bool, elapsed: Duration) {
        observe(&self.context.metrics.accept, elapsed);
        log::info!(
            code = 401, job = hex(job.id), queue = job.spec.queue.name.as_str(), first = first,
            ms = millis(elapsed); "job accepted"
        );
    }

    /// Commits the transaction within `remaining`. After [`HEDGE_DELAY`] without a reply, the
    /// same transaction is sent a second time and the first clear reply counts. A lost reply then
    /// does not use up the caller's whole time, and a slow reply still counts.
    async fn commit(
        &self,
        transaction: &Transaction,
        remaining: Duration,
    ) -> Result<Committed, StoreError> {
        let store = &self.context.request_store();
        let first = store.commit(transaction, remaining);
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(HEDGE_DELAY) => {}
        }
        let second = store.commit(transaction, remaining.saturating_sub(HEDGE_DELAY));
        tokio::pin!(second);
        // A refusal of one attempt says nothing about the other one.
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

/// What is stored under the id of a job.
enum ExistingRow {
    /// A job of the same organisation.
    SameJob,
    /// A job of another organisation.
    OtherJob,
    /// The mark of a rejection before this request, or by it, at this version.
    Mark(Version),
    /// The mark of a rejection that may be newer than this request. Its caller was told that no request
    /// until then has any effect.
    NewerMark,
    /// No row: there was none, or the retention of a job or of a mark has just ended.
    Removed,
}

/// Builds the transaction that creates a job's row; it fails if the row exists, except for the mark of a
/// rejection at the version `mark`.
fn transaction(row: &RowName, mark: Version, job: &AcceptedJob) -> Transaction {
    Transaction {
        expect: vec![(row.clone(), mark)],
        puts: vec![(row.clone(), encode_row(&job.spec))],
        removes: Vec::new(),
    }
}

/// Result for a job while the store is unreachable. `ambiguous`: a write of the job's row got no
/// clear reply.
fn unreachable_acceptance(id: &str, ambiguous: bool) -> Acceptance {
    let reason = "the store cannot be reached from this host".to_owned();
    if ambiguous {
        log::warn!(
            code = 403, job = id, reason = "store unreachable";
            "unknown whether the job was stored; the caller gets 504"
        );
        return Acceptance::Unknown(reason);
    }
    log::warn!(
        code = 402, job = id, reason = "store unreachable";
        "job not stored; the caller gets 503 unless the pool's owner accepts the job"
    );
    Acceptance::Refused(reason)
}

/// Converts the refusal of one of two attempts of a write into an undecided result, for when the
/// other attempt got no clear reply and may still be committed: without this, callers got the reply
/// "not accepted" for jobs that then ran.
fn into_ambiguous(error: StoreError) -> StoreError {
    match error {
        StoreError::Refused { status, .. } => StoreError::Undetermined { status },
        StoreError::Unreachable { source } => StoreError::NoReply { source },
        error => error,
    }
}
