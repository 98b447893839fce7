//! Callers' requests: what they address, states and the length of a queue.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use job::Config;
use job::JobId;
use job::Queue;
use job::Shown;
use platform::encode_shown;
use platform::encode_waiting;
use serde::Serialize;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::Acceptor;
use crate::Context;
use crate::OwnerClient;
use crate::OwnerView;
use crate::metrics::count;

/// Time for one call to the store. A slow store takes up to 1.2 s for a
/// transaction; two tries fit into a caller's three seconds.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Pause between two tries of a write whose answer was lost.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for a caller when its queue does not say.
const LONGEST: Duration = Duration::from_secs(3);

/// Part of the caller's time after which no further try is begun.
pub(crate) const TRY_SHARE: f64 = 0.9;

/// Age of the configuration from which on it denies no queue: two reads in a row
/// have failed.
const CONFIG_OLD: Duration = Duration::from_secs(4);

/// Seconds after which a refused caller may come back: another host may
/// serve it at once.
const RETRY_SECONDS: &str = "1";

/// Answers callers.
pub struct CallerHandler {
    pub(crate) context: Context,
    pub(crate) owner: OwnerClient,
    pub(crate) acceptor: Acceptor,
}

/// A body that says nothing beyond the status.
#[derive(Serialize)]
pub(crate) struct Empty {}

/// What a request addresses.
enum Target<'a> {
    Queue(&'a Queue),
    Job(&'a Queue, JobId),
}

impl CallerHandler {
    /// A handler.
    #[must_use]
    pub fn new(context: Context, owner: OwnerClient) -> Arc<CallerHandler> {
        let acceptor = Acceptor::new(context.clone());
        Arc::new(CallerHandler {
            context,
            owner,
            acceptor,
        })
    }

    async fn answer(&self, asked: &HttpRequest) -> HttpResponse {
        let config = self.context.config.borrow().clone();
        let Some(config) = config else {
            return unavailable("no configuration yet");
        };
        match find(&config, asked) {
            Err(whole) if whole.status() == StatusCode::NOT_FOUND => self.denied(*whole),
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

    /// A queue that may just have been added is not denied.
    fn denied(&self, whole: HttpResponse) -> HttpResponse {
        if self.context.config_age() > CONFIG_OLD {
            return unavailable("the configuration cannot be read from this host");
        }
        whole
    }

    async fn state(&self, id: JobId) -> HttpResponse {
        let view = self.owner.state(id).await;
        if let Ok(OwnerView::Job(shown)) = view {
            count(&self.context.metrics.states, "owner");
            return shown_reply(id, shown, "owner");
        }
        let untouched = view == Ok(OwnerView::Unknown);
        if self.context.store_silent() {
            return unavailable("neither the owner nor the store can be reached from this host");
        }
        match self.stored(id, untouched).await {
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

    async fn waiting(&self, queue: &Queue) -> HttpResponse {
        let name = queue.name.as_str();
        match self.owner.waiting(name).await {
            Ok(waiting) => {
                log::info!(code = 417, queue = name, waiting = waiting; "queue length shown");
                web::json(StatusCode::OK, &encode_waiting(waiting))
            }
            Err(reason) => {
                log::warn!(code = 418, queue = name, reason:? = reason; "queue length not known");
                unavailable("no owner of the pool knows how many jobs wait")
            }
        }
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        self.answer(&asked).await
    }
}

fn find<'a>(config: &'a Config, asked: &HttpRequest) -> Result<Target<'a>, Box<HttpResponse>> {
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

fn shown_reply(id: JobId, shown: Shown, source: &'static str) -> HttpResponse {
    log::debug!(code = 415, job:% = hex(id), state:% = shown, source = source; "state shown");
    web::json(StatusCode::OK, &encode_shown(shown))
}

/// Nothing was done; the caller may come back, on a new connection that the
/// balancer leads to a host that works.
pub(crate) fn unavailable(reason: &str) -> HttpResponse {
    let mut whole = web::error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = whole.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_SECONDS));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    whole
}

/// The job may have been accepted. A repetition with the same id, at any host,
/// makes no second job, so the sooner the caller repeats it the better.
pub(crate) fn no_answer(reason: &str) -> HttpResponse {
    let mut whole = web::error(StatusCode::GATEWAY_TIMEOUT, reason);
    let headers = whole.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    whole
}

pub(crate) fn longest(queue: &Queue) -> Duration {
    if queue.timeout.is_zero() {
        LONGEST
    } else {
        queue.timeout
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A job's id as callers write it.
#[must_use]
pub fn hex(id: JobId) -> String {
    format!("{id:016x}")
}
