//! Callers' HTTP requests: routing, job status and queue length.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use job::Config;
use job::EntryKind;
use job::JobId;
use job::JobStatus;
use job::Queue;
use platform::CHALLENGE;
use platform::encode_status;
use platform::encode_waiting;
use platform::request_key;
use serde::Serialize;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Refusal;

use crate::Acceptor;
use crate::Context;
use crate::JobMemory;
use crate::JobView;
use crate::ListenerLimits;
use crate::OwnerClient;
use crate::StopPhase;
use crate::access;
use crate::access::Access;
use crate::access::Denial;
use crate::access::Viewer;
use crate::metrics::count;
use crate::retry::RefusalScope;
use crate::stored::Lookup;

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

/// Handles callers' HTTP requests.
pub struct CallerHandler {
    pub(crate) context: Context,
    pub(crate) owner: OwnerClient,
    pub(crate) acceptor: Acceptor,
    pub(crate) memory: JobMemory,
}

/// An empty JSON body, for replies that consist of their HTTP status alone.
#[derive(Serialize)]
pub(crate) struct EmptyBody {}

/// A request whose caller may use the queue that it addresses.
pub(crate) struct Admitted<'a> {
    pub(crate) queue: &'a Queue,
    /// Job that the request addresses; `None` if it addresses the queue.
    job: Option<JobId>,
    pub(crate) viewer: Viewer<'a>,
}

impl CallerHandler {
    /// Creates a handler that asks `owner` for the status of jobs.
    #[must_use]
    pub fn new(context: Context, owner: OwnerClient) -> Arc<CallerHandler> {
        let acceptor = Acceptor::new(context.clone());
        let memory = JobMemory::new(ListenerLimits::new(&context.settings).jobs);
        Arc::new(CallerHandler {
            context,
            owner,
            acceptor,
            memory,
        })
    }

    async fn respond(&self, request: &HttpRequest) -> HttpResponse {
        let Some(config) = self.context.config.borrow().clone() else {
            return service_unavailable("no configuration yet");
        };
        // The caller's key may have been removed while the body of the request arrived.
        let admitted = match self.admit(&config, request) {
            Ok(admitted) => admitted,
            Err(response) => return *response,
        };
        let Admitted { queue, job, viewer } = admitted;
        match (&request.method, job) {
            (&Method::GET, None) => self.query_length(queue).await,
            (&Method::POST, Some(id)) => self.submit(&config, &admitted, id, request).await,
            (&Method::GET, Some(id)) => self.query_status(id, viewer).await,
            (&Method::DELETE, Some(id)) => self.cancel(queue, id, viewer).await,
            _ => web::error(
                StatusCode::METHOD_NOT_ALLOWED,
                "allowed: POST, GET and DELETE of a job, GET of a queue",
            ),
        }
    }

    /// Returns what a request addresses and for whom its caller acts, or the response to a caller
    /// that may not use the queue.
    fn admit<'a>(
        &self,
        config: &'a Config,
        request: &HttpRequest,
    ) -> Result<Admitted<'a>, Box<HttpResponse>> {
        let queue = find_queue(config, request);
        let queue = queue.ok_or_else(|| Box::new(self.not_found(config)))?;
        self.check_queue_age(config, queue)?;
        let viewer = self.authorize(config, queue, request)?;
        let rest = &request.path[queue.prefix.len()..];
        let job = if rest.is_empty() {
            None
        } else {
            let id = job::parse_job_id(rest);
            Some(id.map_err(|error| web::error(StatusCode::BAD_REQUEST, &error.to_string()))?)
        };
        Ok(Admitted { queue, job, viewer })
    }

    /// Refuses a request if a newer configuration may have removed its queue for too long. In an outage
    /// of the store and shortly after, no such configuration has to be in force.
    fn check_queue_age(&self, config: &Config, queue: &Queue) -> Result<(), Box<HttpResponse>> {
        let age = self.context.config_age();
        if self.context.store_unsettled() || age <= self.context.config_ages().current {
            return Ok(());
        }
        log::warn!(
            code = 424, queue = queue.name.as_str(), age_ms = millis(age), version = config.version;
            "configuration too old to serve a queue; the caller gets 503"
        );
        Err(Box::new(refusal(
            "the configuration of this host is too old to serve the queue",
            RefusalScope::Host,
        )))
    }

    fn authorize<'a>(
        &self,
        config: &'a Config,
        queue: &'a Queue,
        request: &HttpRequest,
    ) -> Result<Viewer<'a>, Box<HttpResponse>> {
        let key = request_key(&request.headers);
        let age = self.context.config_age();
        match access::decide(config, queue, key, age, self.context.config_ages()) {
            Access::Granted(viewer) => Ok(viewer),
            Access::Denied(denial) => Err(Box::new(self.unauthorized(queue, denial))),
            Access::Undecided => {
                count(&self.context.metrics.denied, "undecided");
                log::warn!(
                    code = 420, queue = queue.name.as_str(), age_ms = millis(age), version = config.version;
                    "configuration too old to decide about a key; the caller gets 503"
                );
                Err(Box::new(refusal(
                    "the configuration of this host is too old to check the key",
                    RefusalScope::Host,
                )))
            }
        }
    }

    fn unauthorized(&self, queue: &Queue, denial: Denial) -> HttpResponse {
        count(&self.context.metrics.denied, denial.label());
        log::info!(
            code = 419, queue = queue.name.as_str(), reason = denial.label();
            "request without a key of an organisation; the caller gets 401"
        );
        let mut response = web::error(StatusCode::UNAUTHORIZED, &denial.to_string());
        let challenge = HeaderValue::from_static(CHALLENGE);
        response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
        response
    }

    /// Returns 404 for a queue that the configuration does not contain, or 503 if the configuration
    /// was read too long ago: the queue may have been added since. A queue that cannot be read may be
    /// the one that the request addresses, too.
    fn not_found(&self, config: &Config) -> HttpResponse {
        if config.skips(EntryKind::Queue) {
            return service_unavailable("a queue of the configuration cannot be read");
        }
        if self.context.config_age() > CONFIG_MAX_AGE {
            return service_unavailable("the configuration cannot be read from this host");
        }
        web::error(StatusCode::NOT_FOUND, "no such queue")
    }

    /// Returns the status of a job. A job of another organisation is answered like one that does not
    /// exist.
    async fn query_status(&self, id: JobId, viewer: Viewer<'_>) -> HttpResponse {
        let view = self.owner.query_status(id, viewer.requester()).await;
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
        match self.stored_status(id, not_started, viewer).await {
            Ok(Lookup::Found(job_status)) => {
                count(&self.context.metrics.states, "store");
                status_reply(id, job_status, "store")
            }
            Ok(Lookup::Missing { version }) => {
                count(&self.context.metrics.states, "none");
                log::info!(
                    code = 412, job:% = hex(id), version = version;
                    "status of a job that does not exist; the caller gets 410"
                );
                web::error(StatusCode::GONE, "no such job")
            }
            Err(error) => {
                count(&self.context.metrics.states, "unreadable");
                log::warn!(
                    code = 413, job:% = hex(id), error:% = error;
                    "job status cannot be read; the caller gets 503"
                );
                service_unavailable("the job's state cannot be read")
            }
        }
    }

    /// Makes a response of a stopping host close its connection: the balancer does not move open
    /// connections to other hosts.
    fn mark(&self, mut response: HttpResponse) -> HttpResponse {
        if self.context.stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn query_length(&self, queue: &Queue) -> HttpResponse {
        let name = queue.name.as_str();
        match self.owner.query_length(name).await {
            Ok(waiting) => {
                log::info!(
                    code = 417, queue = name, waiting = waiting;
                    "queue length returned to the caller"
                );
                web::json(StatusCode::OK, &encode_waiting(waiting))
            }
            Err(reason) => {
                log::warn!(
                    code = 418, queue = name, reason:? = reason;
                    "queue length unknown: the owner did not answer; the caller gets 503"
                );
                service_unavailable("no owner of the pool knows how many jobs wait")
            }
        }
    }
}

impl Handler for CallerHandler {
    /// Rejects a caller without access before the body of its request is read.
    fn screen(&self, head: &HttpRequest) -> Option<HttpResponse> {
        let config = self.context.config.borrow().clone()?;
        let rejection = self.admit(&config, head).err()?;
        Some(self.mark(*rejection))
    }

    fn body_limit(&self, _: &HttpRequest) -> Option<usize> {
        let config = self.context.config.borrow();
        config.as_ref().map(|config| config.body_bytes)
    }

    /// The limits are those of this host; another one may have room.
    fn refuse(&self, reason: &str) -> HttpResponse {
        refusal(reason, RefusalScope::Host)
    }

    fn record(&self, refusal: Refusal) {
        self.context.metrics.record_refusal("callers", refusal);
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let response = tokio::select! {
            response = self.respond(&request) => response,
            () = self.context.reached(StopPhase::Ending) => unfinished(&request),
        };
        self.mark(response)
    }
}

/// Reply of a stopping host to a request that it has not finished.
fn unfinished(request: &HttpRequest) -> HttpResponse {
    log::warn!(
        code = 423, method = request.method.as_str(), path = excerpt(&request.path);
        "request not finished within the grace period of the stop; the caller gets 503 or 504"
    );
    let reason = "this host is stopping";
    if request.method == Method::GET {
        return refusal(reason, RefusalScope::Host);
    }
    outcome_unknown(reason)
}

/// Returns the queue that a request addresses; `None` if the configuration does not contain it.
fn find_queue<'a>(config: &'a Config, request: &HttpRequest) -> Option<&'a Queue> {
    let queue = config.route(&request.host, &request.path);
    if queue.is_none() {
        log::info!(
            code = 411, host = excerpt(&request.host), path = excerpt(&request.path),
            version = config.version;
            "request matches no queue; the caller gets 404, or 503 if the configuration is outdated"
        );
    }
    queue
}

fn status_reply(id: JobId, job_status: JobStatus, source: &'static str) -> HttpResponse {
    log::debug!(
        code = 415, job:% = hex(id), state:% = job_status, source = source;
        "job status returned"
    );
    web::json(StatusCode::OK, &encode_status(job_status))
}

/// Response 503: nothing was done. The connection is closed so that the balancer directs the
/// caller's next request to a working host.
pub(crate) fn service_unavailable(reason: &str) -> HttpResponse {
    refusal(reason, RefusalScope::Cell)
}

/// The same response for a refusal that concerns only this host, or perhaps all hosts.
pub(crate) fn refusal(reason: &str, scope: RefusalScope) -> HttpResponse {
    let mut response = web::error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, scope.retry_after().as_secs().into());
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

/// Maximum length of a text of a caller in a log line, in bytes.
const EXCERPT_BYTES: usize = 120;

/// Returns the begin of a text that a caller sent. The lines that wait for a slow log output are
/// counted, and a head may have thousands of bytes.
fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(EXCERPT_BYTES)]
}

/// Formats a job's id the way callers write it: 16 hexadecimal digits.
#[must_use]
pub fn hex(id: JobId) -> String {
    format!("{id:016x}")
}
