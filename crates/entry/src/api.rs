//! Handlers of the HTTP API, which is described in docs/API.md.

use std::sync::Arc;
use std::time::Duration;

use event::Event;
use event::Kind;
use event::Timeline;
use model::Answer;
use model::Code;
use model::Request;
use model::VersionedConfig;
use model::request_key;
use serde::de::DeserializeOwned;
use shard::CancelFilter;
use shard::Hosts;
use shard::LeaseGate;
use shard::Patch;
use shard::PatchError;
use shard::RequestStatus;
use shard::Router;
use shard::ShardManagerCommand;
use shard::Submission;
use shard::apply_patch;
use shard::history_key;
use shard::read_config;
use store::ObjectStore;
use store::Table;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Method;
use web::StatusCode;

use crate::AnswerBody;
use crate::Caller;
use crate::CancelBody;
use crate::CancelledBody;
use crate::CellBody;
use crate::ConfigBody;
use crate::InFlightLimit;
use crate::Metrics;
use crate::Role;
use crate::Tokens;

/// Maximum time that a submission waits for its final answer; also the default
/// of the query parameter `patience_millis`.
const MAX_WAIT: Duration = Duration::from_mins(5);

/// Default of `patience_millis` for a submission with `wait=false`, which only
/// waits until the owner of its shard has accepted the request.
const DETACHED_WAIT: Duration = Duration::from_secs(10);

/// Maximum number of events read from memory for one reply.
const MAX_EVENTS: usize = 10_000;

/// Maximum number of timeline objects read for one reply, newest first.
const MAX_TIMELINE_OBJECTS: usize = 200;

/// Maximum number of versions in one reply of the configuration history.
const HISTORY_VERSIONS: u64 = 20;

/// Delay after which a caller whose team has too many requests in flight may
/// retry, in milliseconds.
const RETRY_MILLIS: u64 = 200;

/// Handler of the HTTP API, with all its dependencies.
#[derive(Debug)]
pub struct Api<T, O> {
    /// Forwards calls to the owners of shards.
    pub router: Router,
    /// The platform's table, which stores the configuration.
    pub table: T,
    /// The platform's object store, which stores the timeline.
    pub objects: O,
    /// Tokens that the process accepts.
    pub tokens: Tokens,
    /// Limit on the requests in flight of each team.
    pub in_flight: InFlightLimit,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Events of the process.
    pub timeline: Arc<Timeline>,
    /// Latest host list read from the platform; `None` before the first read.
    pub hosts: watch::Receiver<Hosts>,
    /// Sends configuration versions that this process has committed to its shard
    /// manager, which puts them in force and notifies the other processes.
    pub shard_manager: mpsc::Sender<ShardManagerCommand>,
    /// Open while the process may act as an owner of shards; see [`LeaseGate`].
    pub gate: Arc<LeaseGate>,
    /// Becomes true when a planned stop begins.
    pub stopping: watch::Receiver<bool>,
    /// Becomes true late in a planned stop: callers that still wait then get a
    /// pending answer, so that they ask another process.
    pub redirect_callers: watch::Receiver<bool>,
}

impl<T: Table, O: ObjectStore> Handler for Api<T, O> {
    async fn handle(&self, http_request: HttpRequest) -> HttpResponse {
        match self.route(&http_request).await {
            Ok(response) => response,
            Err(api_error) => web::error(api_error.status, &api_error.reason),
        }
    }
}

/// Status and reason of a refused call.
#[derive(Debug)]
struct ApiError {
    status: StatusCode,
    reason: String,
}

impl ApiError {
    fn new(status: StatusCode, reason: impl Into<String>) -> ApiError {
        let reason = reason.into();
        ApiError { status, reason }
    }
}

/// Response to a call, or the error to respond with.
type ApiResult = Result<HttpResponse, ApiError>;

impl<T: Table, O: ObjectStore> Api<T, O> {
    async fn route(&self, http_request: &HttpRequest) -> ApiResult {
        let path = http_request.path.as_str();
        match (&http_request.method, path) {
            (&Method::GET, "/health") => Ok(self.health()),
            (&Method::GET, "/metrics") => Ok(self.scrape()),
            (&Method::POST, "/v1/requests") => self.submit(http_request).await,
            (&Method::GET, _) if path.starts_with("/v1/requests/") => {
                self.status(http_request).await
            }
            (&Method::POST, "/v1/cancel") => self.cancel(http_request).await,
            (&Method::GET, "/v1/config") => self.config(http_request).await,
            (&Method::POST, "/v1/config") => self.patch(http_request).await,
            (&Method::GET, "/v1/config/history") => self.history(http_request).await,
            (&Method::GET, "/v1/cell") => self.cell(http_request),
            (&Method::GET, "/v1/hosts") => self.list_hosts(http_request),
            (&Method::GET, "/v1/events") => self.events(http_request),
            (&Method::GET, "/v1/timeline") => self.stored_events(http_request).await,
            // Also for a known path with another method.
            _ => Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "no such path; see docs/API.md",
            )),
        }
    }

    fn health(&self) -> HttpResponse {
        if *self.stopping.borrow() {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if !self.gate.is_open() {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "no lease");
        }
        web::text(StatusCode::OK, "ok\n")
    }

    fn scrape(&self) -> HttpResponse {
        let lease = self.gate.remaining().as_secs_f64();
        self.metrics.set_lost(self.timeline.lost());
        let text = self.metrics.render(&self.router.view(), lease);
        web::text(StatusCode::OK, text)
    }

    /// Returns the holder of the request's bearer token, or status 401 if the token
    /// is missing or not in the settings of the process.
    fn authenticate(&self, http_request: &HttpRequest) -> Result<Caller, ApiError> {
        let token = http_request.token.as_deref().unwrap_or_default();
        let caller = self.tokens.caller(token);
        caller.ok_or_else(|| ApiError::new(StatusCode::UNAUTHORIZED, "no valid bearer token"))
    }

    /// Like [`Self::authenticate`], but returns status 403 unless the caller is an
    /// operator.
    fn authenticate_operator(&self, http_request: &HttpRequest) -> Result<Caller, ApiError> {
        let caller = self.authenticate(http_request)?;
        if caller.role == Role::Operator {
            return Ok(caller);
        }
        Err(ApiError::new(StatusCode::FORBIDDEN, "only for operators"))
    }

    async fn submit(&self, http_request: &HttpRequest) -> ApiResult {
        let caller = self.authenticate(http_request)?;
        let mut request: Request = parse(http_request)?;
        request.team.clone_from(&caller.team);
        let class: &'static str = request.class.into();
        if let Err(error) = request.check() {
            let answer = Answer::without_output(&request.id, Code::Invalid, error.to_string());
            return Ok(self.reply(StatusCode::BAD_REQUEST, answer, class));
        }
        let Some(_permit) = self.in_flight.try_acquire(&caller.team) else {
            let reason = "too many requests of the team in flight at this process";
            let answer = Answer::without_output(&request.id, Code::QueueFull, reason);
            let answer = answer.retry_in(RETRY_MILLIS);
            return Ok(self.reply(StatusCode::TOO_MANY_REQUESTS, answer, class));
        };
        let wait = http_request.parameter("wait").as_deref() != Some("false");
        let wait_limit = wait_limit(http_request, wait)?;
        let submission = Submission {
            request,
            waited_millis: 0,
            wait,
        };
        let redirect_callers = self.redirect_callers.clone();
        let answer = self
            .router
            .submit(submission, wait_limit, redirect_callers)
            .await;
        Ok(self.reply(StatusCode::OK, answer, class))
    }

    /// Counts the answer in the metrics and returns it as the response.
    fn reply(&self, status: StatusCode, answer: Answer, class: &str) -> HttpResponse {
        self.metrics.count(&answer, class);
        web::json(status, &AnswerBody::from(answer))
    }

    async fn status(&self, http_request: &HttpRequest) -> ApiResult {
        let caller = self.authenticate(http_request)?;
        let id = http_request.path.trim_start_matches("/v1/requests/");
        let answer = self.router.status(&request_key(&caller.team, id)).await;
        match answer {
            RequestStatus::Answer(answer) => {
                Ok(web::json(StatusCode::OK, &AnswerBody::from(answer)))
            }
            RequestStatus::Unknown => Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "no such request of this team",
            )),
            // Only the owner of the request's shard knows the status; the caller may
            // ask again.
            RequestStatus::Unreached => Err(ApiError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the owner of its shard does not answer; nothing is known of it here",
            )),
        }
    }

    async fn cancel(&self, http_request: &HttpRequest) -> ApiResult {
        let caller = self.authenticate(http_request)?;
        let body: CancelBody = parse(http_request)?;
        let filter = match (body.id, body.label) {
            (Some(id), None) => CancelFilter::One(request_key(&caller.team, &id)),
            (None, Some(label)) if !label.is_empty() => CancelFilter::Label {
                team: caller.team,
                label,
            },
            _ => {
                let reason = "allowed: either id or a non-empty label";
                return Err(ApiError::new(StatusCode::BAD_REQUEST, reason));
            }
        };
        if let Some(cancelled) = self.router.cancel(filter).await {
            Ok(web::json(StatusCode::OK, &CancelledBody { cancelled }))
        } else {
            // At least one owner did not answer, so some requests may not be cancelled.
            let reason = "not every owner could be asked; send the same call again";
            Err(ApiError::new(StatusCode::SERVICE_UNAVAILABLE, reason))
        }
    }

    async fn config(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate(http_request)?;
        let (versioned, _) = read_config(&self.table)
            .await
            .map_err(|e| patch_error(&e))?;
        Ok(web::json(StatusCode::OK, &self.config_body(&versioned)))
    }

    fn config_body(&self, versioned: &VersionedConfig) -> ConfigBody {
        ConfigBody {
            version: versioned.version,
            everywhere: self.router.view().lowest_config_version(),
            config: versioned.config.clone(),
        }
    }

    async fn patch(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        let patch: Patch = parse(http_request)?;
        match apply_patch(&self.table, &patch).await {
            Ok(versioned) => {
                let event = Event::new(Kind::PatchAccepted);
                self.timeline
                    .record(event.detail(format!("{} as {}", patch.id, versioned.version)));
                let _ = self
                    .shard_manager
                    .send(ShardManagerCommand::Adopt(versioned.clone()))
                    .await;
                Ok(web::json(StatusCode::OK, &self.config_body(&versioned)))
            }
            Err(error) => {
                let kind = match error {
                    PatchError::Unknown { .. } => Kind::PatchUnknown,
                    _ => Kind::PatchRefused,
                };
                let event = Event::new(kind);
                self.timeline
                    .record(event.detail(format!("{}: {error}", patch.id)));
                Err(patch_error(&error))
            }
        }
    }

    /// Returns the newest versions of the configuration, newest first. Versions
    /// whose row is missing or cannot be parsed are left out.
    async fn history(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        let (current, _) = read_config(&self.table)
            .await
            .map_err(|e| patch_error(&e))?;
        let newest_skipped = current.version.saturating_sub(HISTORY_VERSIONS);
        let mut versions = Vec::new();
        for version in (newest_skipped + 1..=current.version).rev() {
            let row = self.table.get(&history_key(version)).await;
            let row =
                row.map_err(|e| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
            let parsed =
                row.and_then(|row| serde_json::from_str::<VersionedConfig>(&row.value).ok());
            versions.extend(parsed);
        }
        Ok(web::json(StatusCode::OK, &versions))
    }

    fn cell(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        Ok(web::json(
            StatusCode::OK,
            &CellBody::from(&*self.router.view()),
        ))
    }

    fn list_hosts(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        let hosts = self.hosts.borrow().clone();
        if let Some(hosts) = hosts {
            Ok(web::json(StatusCode::OK, &*hosts))
        } else {
            let reason = "the platform's host list was not read yet";
            Err(ApiError::new(StatusCode::SERVICE_UNAVAILABLE, reason))
        }
    }

    /// Returns the newest stored events of all processes, together with the events
    /// in this process's memory, some of which are not stored yet.
    ///
    /// The names of the timeline objects begin with the timestamp of their last
    /// event, so that they sort by time.
    async fn stored_events(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        let unavailable =
            |e: store::StoreError| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, e.to_string());
        let names = self.objects.list("timeline/").await.map_err(unavailable)?;
        let mut events = self.timeline.events_after(0, MAX_EVENTS);
        for name in names.iter().rev().take(MAX_TIMELINE_OBJECTS) {
            let body = self.objects.fetch(name).await.map_err(unavailable)?;
            events.extend(parse_events(&body.unwrap_or_default()));
        }
        events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
        events.dedup_by(|a, b| a.stamp == b.stamp && a.process == b.process);
        Ok(web::json(StatusCode::OK, &events))
    }

    /// Returns the events in this process's memory that are later than the
    /// timestamp in the query parameter `after`.
    fn events(&self, http_request: &HttpRequest) -> ApiResult {
        self.authenticate_operator(http_request)?;
        let after = http_request
            .parameter("after")
            .and_then(|text| text.parse().ok());
        let events = self
            .timeline
            .events_after(after.unwrap_or_default(), MAX_EVENTS);
        Ok(web::json(StatusCode::OK, &events))
    }
}

/// Parses the events of a stored object, one per line; skips lines that cannot
/// be parsed.
fn parse_events(body: &[u8]) -> Vec<Event> {
    let lines = body.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| serde_json::from_slice(line).ok())
        .collect()
}

fn parse<B: DeserializeOwned>(http_request: &HttpRequest) -> Result<B, ApiError> {
    serde_json::from_slice(&http_request.body)
        .map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

/// Maximum time that a submission waits for its reply: the query parameter
/// `patience_millis`, or a default that depends on `wait`. A value above
/// [`MAX_WAIT`] is no error, but counts as [`MAX_WAIT`].
fn wait_limit(http_request: &HttpRequest, wait: bool) -> Result<Duration, ApiError> {
    let Some(text) = http_request.parameter("patience_millis") else {
        return Ok(if wait { MAX_WAIT } else { DETACHED_WAIT });
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    if let Some(millis) = millis {
        Ok(Duration::from_millis(millis).min(MAX_WAIT))
    } else {
        let reason = format!("patience_millis: found {text:?}, allowed: 1 to 300000");
        Err(ApiError::new(StatusCode::BAD_REQUEST, reason))
    }
}

/// Maps an error of reading or patching the configuration to an HTTP status.
fn patch_error(error: &PatchError) -> ApiError {
    let status = match error {
        PatchError::Stale { .. } => StatusCode::CONFLICT,
        PatchError::Invalid { .. } | PatchError::BadId { .. } => StatusCode::BAD_REQUEST,
        PatchError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        PatchError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        PatchError::Damaged { .. } => StatusCode::INTERNAL_SERVER_ERROR,
    };
    ApiError::new(status, error.to_string())
}
