//! Callers' requests: submit, state, cancel and the length of a queue.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use job::Config;
use job::JobId;
use job::JobSpec;
use job::Outcome;
use job::Progress;
use job::Queue;
use job::Shown;
use platform::Committed;
use platform::Row;
use platform::StoreError;
use platform::Transaction;
use platform::decode_job;
use platform::encode_shown;
use platform::encode_waiting;
use serde::Serialize;
use web::Asked;
use web::Handler;
use web::Whole;

use crate::AcceptedJob;
use crate::Context;
use crate::OwnerClient;
use crate::OwnerView;
use crate::decode_row;
use crate::encode_row;
use crate::job_row;
use crate::metrics::count;
use crate::metrics::observe;
use crate::progress_row;

/// Time for one call to the store. A slow store takes up to 1.2 s for a
/// transaction; two tries fit into a caller's three seconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time without an answer after which a commit is tried once more. A slow store
/// takes up to 1.2 s for one.
const SECOND_TRY: Duration = Duration::from_millis(1300);

/// Pause between two tries of a write whose answer was lost.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for a caller when its queue does not say.
const LONGEST: Duration = Duration::from_secs(3);

/// Part of the caller's time after which no further try is begun.
const TRY_SHARE: f64 = 0.9;

/// Seconds after which a refused caller may come back: another host may
/// serve it at once.
const RETRY_SECONDS: &str = "1";

/// Answers callers.
pub struct CallerHandler {
    context: Context,
    owner: OwnerClient,
}

/// A body that says nothing beyond the status.
#[derive(Serialize)]
struct Empty {}

/// What a request addresses.
enum Target<'a> {
    Queue(&'a Queue),
    Job(&'a Queue, JobId),
}

impl CallerHandler {
    /// A handler.
    #[must_use]
    pub fn new(context: Context, owner: OwnerClient) -> Arc<CallerHandler> {
        Arc::new(CallerHandler { context, owner })
    }

    async fn answer(&self, asked: &Asked) -> Whole {
        let config = self.context.config.borrow().clone();
        let Some(config) = config else {
            return unavailable("no configuration yet");
        };
        match find(&config, asked) {
            Ok(Target::Queue(queue)) if asked.method == Method::GET => self.waiting(queue).await,
            Ok(Target::Job(queue, id)) if asked.method == Method::POST => {
                self.submit(&config, queue, id, asked).await
            }
            Ok(Target::Job(_, id)) if asked.method == Method::GET => self.state(id).await,
            Ok(Target::Job(queue, id)) if asked.method == Method::DELETE => {
                self.cancel(queue, id).await
            }
            Ok(_) => web::error(
                StatusCode::METHOD_NOT_ALLOWED,
                "allowed: POST, GET and DELETE of a job, GET of a queue",
            ),
            Err(whole) => *whole,
        }
    }

    async fn submit(&self, config: &Config, queue: &Queue, id: JobId, asked: &Asked) -> Whole {
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
                Err(_) => first.await,
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

    async fn state(&self, id: JobId) -> Whole {
        if let Ok(OwnerView::Job(shown)) = self.owner.state(id).await {
            count(&self.context.metrics.states, "owner");
            return shown_reply(id, shown, "owner");
        }
        if self.context.store_silent() {
            return unavailable("neither the owner nor the store can be reached from this host");
        }
        match self.stored(id).await {
            Ok(Some(shown)) => {
                count(&self.context.metrics.states, "store");
                shown_reply(id, shown, "store")
            }
            Ok(None) => {
                count(&self.context.metrics.states, "none");
                log::info!(code = 412, job:% = hex(id); "job does not exist");
                web::error(StatusCode::GONE, "no such job")
            }
            Err(error) => {
                count(&self.context.metrics.states, "unreadable");
                log::warn!(code = 413, job:% = hex(id), error:% = error; "state not readable");
                unavailable("the job's state cannot be read")
            }
        }
    }

    /// State of a job as the store knows it.
    async fn stored(&self, id: JobId) -> Result<Option<Shown>, StoreError> {
        let store = &self.context.store;
        let row = store.get(&progress_row(id), STORE_TIMEOUT).await?;
        let progress = row.and_then(|row| decode_row::<Progress>(&row.value).ok());
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            return Ok(Some(outcome.into()));
        }
        let Some((_, spec)) = self.stored_job(id).await? else {
            return Ok(None);
        };
        Ok(Some(match progress {
            _ if spec.canceled => Outcome::Canceled.into(),
            Some(_) => Shown::Active,
            None => Shown::Pending,
        }))
    }

    async fn stored_job(&self, id: JobId) -> Result<Option<(Row, JobSpec)>, StoreError> {
        let row = self.context.store.get(&job_row(id), STORE_TIMEOUT).await?;
        Ok(row.and_then(|row| {
            let spec = decode_row::<JobSpec>(&row.value);
            if let Err(error) = &spec {
                log::error!(code = 414, job:% = hex(id), error:% = error; "job row unreadable");
            }
            Some((row, spec.ok()?))
        }))
    }

    async fn cancel(&self, queue: &Queue, id: JobId) -> Whole {
        let end = self.context.now() + longest(queue).mul_f64(TRY_SHARE);
        loop {
            match self.try_cancel(id).await {
                Ok(Some(status)) => {
                    log::info!(code = 421, job:% = hex(id), status = status.as_u16(); "cancel");
                    count(&self.context.metrics.cancels, status.as_str());
                    return web::json(status, &Empty {});
                }
                Ok(None) => {}
                Err(error) => {
                    log::warn!(code = 422, job:% = hex(id), error:% = error; "cancel not stored");
                    if self.context.now() + RETRY_PAUSE >= end {
                        count(&self.context.metrics.cancels, "0");
                        return unavailable("the store does not take the cancel");
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// One try; nothing if the row changed in between.
    async fn try_cancel(&self, id: JobId) -> Result<Option<StatusCode>, StoreError> {
        let Some((row, mut spec)) = self.stored_job(id).await? else {
            return Ok(Some(StatusCode::GONE));
        };
        if spec.canceled {
            return Ok(Some(StatusCode::OK));
        }
        spec.canceled = true;
        let transaction = Transaction {
            expect: vec![(job_row(id), row.version)],
            puts: vec![(job_row(id), encode_row(&spec))],
            removes: Vec::new(),
        };
        let result = self
            .context
            .store
            .commit(&transaction, STORE_TIMEOUT)
            .await?;
        Ok((result != Committed::Conflict).then_some(StatusCode::OK))
    }

    async fn waiting(&self, queue: &Queue) -> Whole {
        match self.owner.waiting(&queue.name).await {
            Ok(waiting) => web::json(StatusCode::OK, &encode_waiting(waiting)),
            Err(_) => unavailable("the owner of the pool does not answer"),
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, asked: Asked) -> Whole {
        self.answer(&asked).await
    }
}

fn find<'a>(config: &'a Config, asked: &Asked) -> Result<Target<'a>, Box<Whole>> {
    let Some(queue) = config.route(&asked.host, &asked.path) else {
        log::info!(
            code = 411, host = asked.host.as_str(), path = asked.path.as_str(),
            version = config.version; "no such queue"
        );
        let whole = web::error(StatusCode::NOT_FOUND, "no such queue");
        return Err(Box::new(whole));
    };
    let rest = &asked.path[queue.prefix.len()..];
    if rest.is_empty() {
        return Ok(Target::Queue(queue));
    }
    match job::parse_job(rest) {
        Ok(id) => Ok(Target::Job(queue, id)),
        Err(error) => {
            let whole = web::error(StatusCode::BAD_REQUEST, &error.to_string());
            Err(Box::new(whole))
        }
    }
}

/// The first of two tries got no answer, so a refusal of the second does not
/// mean that nothing was done.
fn into_lost(error: StoreError) -> StoreError {
    match error {
        StoreError::Refused { status, .. } => StoreError::Undecided { status },
        StoreError::Unreachable { source } => StoreError::Lost { source },
        error => error,
    }
}

fn shown_reply(id: JobId, shown: Shown, source: &'static str) -> Whole {
    log::debug!(code = 415, job:% = hex(id), state:% = shown, source = source; "state shown");
    web::json(StatusCode::OK, &encode_shown(shown))
}

/// Nothing was done; the caller may come back, on a new connection that the
/// balancer leads to a host that works.
fn unavailable(reason: &str) -> Whole {
    let mut whole = web::error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = whole.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    whole
}

/// The job may have been accepted. A repetition with the same id, at any host,
/// makes no second job, so the sooner the caller repeats it the better.
fn no_answer(reason: &str) -> Whole {
    let mut whole = web::error(StatusCode::GATEWAY_TIMEOUT, reason);
    let headers = whole.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    whole
}

fn longest(queue: &Queue) -> Duration {
    if queue.timeout.is_zero() {
        LONGEST
    } else {
        queue.timeout
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A job's id as callers write it.
#[must_use]
pub fn hex(id: JobId) -> String {
    format!("{id:016x}")
}
