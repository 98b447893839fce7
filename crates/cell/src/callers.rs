//! Callers' HTTP requests: routing, job status and queue length.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use job::Config;
use job::JobId;
use job::JobStatus;
use job::Queue;
use platform::encode_status;
use platform::encode_waiting;
use serde::Serialize;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::Acceptor;
use crate::Context;
use crate::JobView;
use crate::OwnerClient;
use crate::metrics::count;

/// Timeout of one call to the store. A slow store takes up to 1.2 s for a transaction; two
/// attempts fit into a caller's three seconds.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Pause between two attempts of a write whose reply was lost.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of a caller whose queue sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Share of the caller's timeout after which no further attempt is started.
pub(crate) const ATTEMPT_SHARE: f64 = 0.9;

/// Age of the configuration above which a queue that it does not contain is answered with 503
/// instead of 404: two reads in a row have failed by then.
const CONFIG_MAX_AGE: Duration = Duration::from_secs(4);

/// Value of the `Retry-After` header, in seconds, for a refused caller. It is short because
/// another host may be able to serve the request at once.
const RETRY_AFTER_SECONDS: &str = "1";

/// Handles callers' HTTP requests.
pub struct CallerHandler {
    pub(crate) context: Context,
    pub(crate) owner: OwnerClient,
    pub(crate) acceptor: Acceptor,
}

/// An empty JSON body, for replies that consist of their HTTP status alone.
#[derive(Serialize)]
pub(crate) struct EmptyBody {}

/// The queue or job that a request addresses.
enum Target<'a> {
    Queue(&'a Queue),
    Job(&'a Queue, JobId),
}

impl CallerHandler {
    /// Creates a handler that asks `owner` for the status of jobs.
    #[must_use]
    pub fn new(context: Context, owner: OwnerClient) -> Arc<CallerHandler> {
        let acceptor = Acceptor::new(context.clone());
        Arc::new(CallerHandler {
            context,
            owner,
            acceptor,
        })
    }

    async fn respond(&self, request: &HttpRequest) -> HttpResponse {
        let config = self.context.config.borrow().clone();
        let Some(config) = config else {
            return service_unavailable("no configuration yet");
        };
        match resolve(&config, request) {
            Err(response) if response.status() == StatusCode::NOT_FOUND => {
                self.not_found(*response)
            }
            Ok(Target::Queue(queue)) if request.method == Method::GET => {
                self.query_length(queue).await
            }
            Ok(Target::Job(queue, id)) if request.method == Method::POST => {
                self.submit(&config, queue, id, request).await
            }
            Ok(Target::Job(_, id)) if request.method == Method::GET => self.query_status(id).await,
            Ok(Target::Job(queue, id)) if request.method == Method::DELETE => {
                self.cancel(queue, id).await
            }
            Ok(_) => web::error(
                StatusCode::METHOD_NOT_ALLOWED,
                "allowed: POST, GET and DELETE of a job, GET of a queue",
            ),
            Err(response) => *response,
        }
    }

    /// Returns 404 for a queue that the configuration does not contain, or 503 if the configuration
    /// was read too long ago: the queue may have been added since.
    fn not_found(&self, response: HttpResponse) -> HttpResponse {
        if self.context.config_age() > CONFIG_MAX_AGE {
            return service_unavailable("the configuration cannot be read from this host");
        }
        response
    }

    async fn query_status(&self, id: JobId) -> HttpResponse {
        let view = self.owner.query_status(id).await;
        if let Ok(JobView::Job(job_status)) = view {
            count(&self.context.metrics.states, "owner");
            return status_reply(id, job_status, "owner");
        }
        let not_started = view == Ok(JobView::Unknown);
        if self.context.store_unreachable() {
            return service_unavailable(
                "neither the owner nor the store can be reached from this host",
            );
        }
        match self.stored_status(id, not_started).await {
            Ok(Some(job_status)) => {
                count(&self.context.metrics.states, "store");
                status_reply(id, job_status, "store")
            }
            Ok(None) => {
                count(&self.context.metrics.states, "none");
                log::info!(code = 412, job:% = hex(id); "job does not exist");
                web::error(StatusCode::GONE, "no such job")
            }
            Err(error) => {
                count(&self.context.metrics.states, "unreadable");
                log::warn!(code = 413, job:% = hex(id), error:% = error; "job status cannot be read");
                service_unavailable("the job's state cannot be read")
            }
        }
    }

    async fn query_length(&self, queue: &Queue) -> HttpResponse {
        let name = queue.name.as_str();
        match self.owner.query_length(name).await {
            Ok(waiting) => {
                log::info!(code = 417, queue = name, waiting = waiting; "queue length returned");
                web::json(StatusCode::OK, &encode_waiting(waiting))
            }
            Err(reason) => {
                log::warn!(code = 418, queue = name, reason:? = reason; "queue length unknown: the owner did not answer");
                service_unavailable("no owner of the pool knows how many jobs wait")
            }
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        self.respond(&request).await
    }
}

fn resolve<'a>(config: &'a Config, request: &HttpRequest) -> Result<Target<'a>, Box<HttpResponse>> {
    let Some(queue) = config.route(&request.host, &request.path) else {
        log::info!(
            code = 411, host = request.host.as_str(), path = request.path.as_str(),
            version = config.version; "request matches no queue"
        );
        let response = web::error(StatusCode::NOT_FOUND, "no such queue");
        return Err(Box::new(response));
    };
    let rest = &request.path[queue.prefix.len()..];
    if rest.is_empty() {
        return Ok(Target::Queue(queue));
    }
    match job::parse_job_id(rest) {
        Ok(id) => Ok(Target::Job(queue, id)),
        Err(error) => {
            let response = web::error(StatusCode::BAD_REQUEST, &error.to_string());
            Err(Box::new(response))
        }
    }
}

fn status_reply(id: JobId, job_status: JobStatus, source: &'static str) -> HttpResponse {
    log::debug!(code = 415, job:% = hex(id), state:% = job_status, source = source; "job status returned");
    web::json(StatusCode::OK, &encode_status(job_status))
}

/// Response 503: nothing was done. The connection is closed so that the balancer directs the
/// caller's next request to a working host.
pub(crate) fn service_unavailable(reason: &str) -> HttpResponse {
    let mut response = web::error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Response 504: the request may have been carried out. Repeating it with the same id, at any
/// host, creates no second job, so the connection is closed to let the caller repeat it soon.
pub(crate) fn outcome_unknown(reason: &str) -> HttpResponse {
    let mut response = web::error(StatusCode::GATEWAY_TIMEOUT, reason);
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

pub(crate) fn caller_timeout(queue: &Queue) -> Duration {
    if queue.timeout.is_zero() {
        DEFAULT_TIMEOUT
    } else {
        queue.timeout
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a job's id the way callers write it: 16 hexadecimal digits.
#[must_use]
pub fn hex(id: JobId) -> String {
    format!("{id:016x}")
}
