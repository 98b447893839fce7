//! Rejection of a job that would be of no value to its caller by the time it is done.
//!
//! The caller is told that the job has not run, and that no request sent so far will make it run. A
//! request with the same id may have reached another host before, whose write of the job's row may still
//! be carried out. So each row that the job may have is marked before the reply, by a write that fails if
//! the row is that of a job: from then on, each write that was sent before fails. A host replaces a mark
//! only for a request that is certainly newer, see [`crate::KnownVersions`]. If the marks are not
//! certainly stored, the job is accepted.

use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use job::Admission;
use job::Demand;
use job::JobId;
use job::OrganisationName;
use platform::Committed;
use platform::RowName;
use platform::StoreError;
use platform::Transaction;
use web::HttpResponse;

use crate::AcceptedJob;
use crate::Acceptor;
use crate::CallerHandler;
use crate::callers::millis;
use crate::hex;
use crate::is_rejection_mark;
use crate::job_rows;
use crate::metrics::count;
use crate::rejection_mark;
use crate::retry::spread;

/// Time for the marks of one rejection. If the store takes longer, the rest of the caller's time is left
/// to the acceptance.
const MARK_TIMEOUT: Duration = Duration::from_secs(1);

/// Attempts to mark a row: the second one replaces the mark of an earlier rejection.
const ATTEMPTS: usize = 2;

/// Returns a random number that identifies a request.
pub(crate) fn new_attempt() -> u64 {
    RandomState::new().build_hasher().finish().max(1)
}

impl Acceptor {
    /// Marks a job as rejected. Returns whether it is certain that the job is not stored, and that no
    /// write of it that was sent before will be carried out.
    ///
    /// # Errors
    /// Fails if the store does not answer or refuses a call; the job may then be marked.
    pub async fn mark_rejected(&self, id: JobId, attempt: u64) -> Result<bool, StoreError> {
        let [first, second, third, fourth] = job_rows(id);
        // The rows are in different parts of the store, and no transaction spans several.
        let marked = tokio::try_join!(
            self.mark_row(first, attempt),
            self.mark_row(second, attempt),
            self.mark_row(third, attempt),
            self.mark_row(fourth, attempt),
        )?;
        Ok(marked == (true, true, true, true))
    }

    /// Marks one row; returns false if it is that of a job.
    async fn mark_row(&self, row: RowName, attempt: u64) -> Result<bool, StoreError> {
        let store = &self.context.request_store();
        let mut version = 0;
        for _ in 0..ATTEMPTS {
            let transaction = Transaction {
                expect: vec![(row.clone(), version)],
                puts: vec![(row.clone(), rejection_mark(attempt))],
                removes: Vec::new(),
            };
            let committed = store.commit(&transaction, MARK_TIMEOUT).await?;
            if committed != Committed::Conflict {
                return Ok(true);
            }
            version = match store.read_row(&row, MARK_TIMEOUT).await? {
                None => 0,
                Some(mark) if is_rejection_mark(&mark.value) => mark.version,
                Some(_) => return Ok(false),
            };
        }
        Ok(false)
    }
}

impl CallerHandler {
    /// Returns the reply to a job that is rejected by the forecast; `None` if it is to be accepted.
    pub(crate) async fn reject(&self, job: &AcceptedJob) -> Option<HttpResponse> {
        let demand = Demand::new(&job.spec);
        let now = self.context.now();
        let admission = self
            .context
            .forecast
            .read(now, |forecast, age| job::decide(forecast, age, &demand));
        let Admission::Reject {
            expected,
            limit,
            retry_after,
        } = admission
        else {
            return None;
        };
        if self.context.store_unreachable() {
            return None;
        }
        let id = hex(job.id);
        let marking = self.acceptor.mark_rejected(job.id, job.attempt);
        let marked = tokio::time::timeout(MARK_TIMEOUT, marking).await;
        if !matches!(marked, Ok(Ok(true))) {
            log::info!(
                code = 407, job = id.as_str(), outcome:? = marked;
                "no rejection: the job is stored, or its mark is not certainly stored"
            );
            return None;
        }
        let organisation = job.spec.organisation_name();
        let retry_after = spread(retry_after, job.id, organisation);
        count(&self.context.metrics.submits, "rejected");
        log::info!(
            code = 406, job = id.as_str(), queue = demand.queue.as_str(),
            organisation = organisation.map(OrganisationName::as_str), expected_ms = millis(expected),
            limit_ms = millis(limit), retry_s = retry_after.as_secs();
            "job rejected: it would be done after its result has value; the caller gets 429"
        );
        Some(too_late(expected, limit, retry_after))
    }
}

/// Response 429: the job has not run, and its id is free.
fn too_late(expected: Duration, limit: Duration, retry_after: Duration) -> HttpResponse {
    let reason = format!(
        "job: expected to be done after {:.1} s, allowed: at most {:.1} s; come back in {} s",
        expected.as_secs_f64(),
        limit.as_secs_f64(),
        retry_after.as_secs()
    );
    let mut response = web::error(StatusCode::TOO_MANY_REQUESTS, &reason);
    response
        .headers_mut()
        .insert(RETRY_AFTER, retry_after.as_secs().into());
    response
}
