//! The HTTP interface, described in docs/API.md.

use std::sync::Arc;
use std::time::Duration;

use event::Event;
use event::Kind;
use event::Timeline;
use model::Answer;
use model::Code;
use model::Numbered;
use model::Request;
use model::request_key;
use serde::de::DeserializeOwned;
use shard::CancelFilter;
use shard::Gate;
use shard::Hosts;
use shard::KeeperOrder;
use shard::Patch;
use shard::PatchError;
use shard::RequestStatus;
use shard::Router;
use shard::Submission;
use shard::apply_patch;
use shard::history_key;
use shard::read_config;
use store::Objects;
use store::Table;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::Asked;
use web::Handler;
use web::Method;
use web::StatusCode;
use web::Whole;

use crate::AnswerBody;
use crate::Caller;
use crate::CancelBody;
use crate::CancelledBody;
use crate::CellBody;
use crate::ConfigBody;
use crate::Flight;
use crate::Metrics;
use crate::Role;
use crate::Tokens;

/// Longest time that a submission waits for its final answer, unless the
/// caller names a shorter one.
const PATIENCE: Duration = Duration::from_mins(5);

/// Patience of a submission that does not wait for the answer.
const DETACH_PATIENCE: Duration = Duration::from_secs(10);

/// Most events in one reply.
const EVENTS: usize = 10_000;

/// Newest objects of the stored timeline that one reply takes in.
const TIMELINE_OBJECTS: usize = 200;

/// Versions in one reply of the history.
const HISTORY: u64 = 20;

/// When a caller with too many requests in flight may come back, in ms.
const COME_BACK_MILLIS: u64 = 200;

/// Everything that the interface needs.
#[derive(Debug)]
pub struct Api<T, O> {
    /// Brings calls to the owners of shards.
    pub router: Router,
    /// The platform's table, for the configuration.
    pub table: T,
    /// The platform's object store, for the timeline.
    pub objects: O,
    /// Who may call.
    pub tokens: Tokens,
    /// Requests in flight.
    pub flight: Flight,
    /// Metrics.
    pub metrics: Metrics,
    /// Events.
    pub timeline: Arc<Timeline>,
    /// The host list.
    pub hosts: watch::Receiver<Hosts>,
    /// Tells the keeper of a new configuration.
    pub keeper: mpsc::Sender<KeeperOrder>,
    /// Right to act.
    pub gate: Arc<Gate>,
    /// Turns true when a planned stop begins.
    pub leaving: watch::Receiver<bool>,
    /// Turns true when callers that still wait are sent to other processes.
    pub dismiss: watch::Receiver<bool>,
}

impl<T: Table, O: Objects> Handler for Api<T, O> {
    async fn handle(&self, asked: Asked) -> Whole {
        match self.route(&asked).await {
            Ok(whole) => whole,
            Err(refusal) => web::error(refusal.status, &refusal.reason),
        }
    }
}

/// Why a call is refused.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    reason: String,
}

impl Refusal {
    fn new(status: StatusCode, reason: impl Into<String>) -> Refusal {
        let reason = reason.into();
        Refusal { status, reason }
    }
}

/// A reply, or why there is none.
type Routed = Result<Whole, Refusal>;

impl<T: Table, O: Objects> Api<T, O> {
    async fn route(&self, asked: &Asked) -> Routed {
        let path = asked.path.as_str();
        match (&asked.method, path) {
            (&Method::GET, "/health") => Ok(self.health()),
            (&Method::GET, "/metrics") => Ok(self.scrape()),
            (&Method::POST, "/v1/requests") => self.submit(asked).await,
            (&Method::GET, _) if path.starts_with("/v1/requests/") => self.status(asked).await,
            (&Method::POST, "/v1/cancel") => self.cancel(asked).await,
            (&Method::GET, "/v1/config") => self.config(asked).await,
            (&Method::POST, "/v1/config") => self.patch(asked).await,
            (&Method::GET, "/v1/config/history") => self.history(asked).await,
            (&Method::GET, "/v1/cell") => self.cell(asked),
            (&Method::GET, "/v1/hosts") => self.list_hosts(asked),
            (&Method::GET, "/v1/events") => self.events(asked),
            (&Method::GET, "/v1/timeline") => self.stored_events(asked).await,
            _ => Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "no such path; see docs/API.md",
            )),
        }
    }

    fn health(&self) -> Whole {
        if *self.leaving.borrow() {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if !self.gate.is_open() {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "no lease");
        }
        web::text(StatusCode::OK, "ok\n")
    }

    fn scrape(&self) -> Whole {
        let lease = self.gate.remaining().as_secs_f64();
        self.metrics.note_lost(self.timeline.lost());
        let text = self.metrics.render(&self.router.view(), lease);
        web::text(StatusCode::OK, text)
    }

    fn caller(&self, asked: &Asked) -> Result<Caller, Refusal> {
        let token = asked.token.as_deref().unwrap_or_default();
        let caller = self.tokens.caller(token);
        caller.ok_or_else(|| Refusal::new(StatusCode::UNAUTHORIZED, "no valid bearer token"))
    }

    fn operator(&self, asked: &Asked) -> Result<Caller, Refusal> {
        let caller = self.caller(asked)?;
        if caller.role == Role::Operator {
            return Ok(caller);
        }
        Err(Refusal::new(StatusCode::FORBIDDEN, "only for operators"))
    }

    async fn submit(&self, asked: &Asked) -> Routed {
        let caller = self.caller(asked)?;
        let mut request: Request = parse(asked)?;
        request.team.clone_from(&caller.team);
        let class: &'static str = request.class.into();
        if let Err(error) = request.check() {
            let answer = Answer::bare(&request.id, Code::Invalid, error.to_string());
            return Ok(self.reply(StatusCode::BAD_REQUEST, answer, class));
        }
        let Some(_place) = self.flight.enter(&caller.team) else {
            let reason = "too many requests of the team in flight at this process";
            let answer = Answer::bare(&request.id, Code::QueueFull, reason);
            let answer = answer.retry_in(COME_BACK_MILLIS);
            return Ok(self.reply(StatusCode::TOO_MANY_REQUESTS, answer, class));
        };
        let wait = asked.parameter("wait").as_deref() != Some("false");
        let patience = patience(asked, wait)?;
        let submission = Submission {
            request,
            waited_millis: 0,
            wait,
        };
        let dismiss = self.dismiss.clone();
        let answer = self.router.submit(submission, patience, dismiss).await;
        Ok(self.reply(StatusCode::OK, answer, class))
    }

    fn reply(&self, status: StatusCode, answer: Answer, class: &str) -> Whole {
        self.metrics.count(&answer, class);
        web::json(status, &AnswerBody::from(answer))
    }

    async fn status(&self, asked: &Asked) -> Routed {
        let caller = self.caller(asked)?;
        let id = asked.path.trim_start_matches("/v1/requests/");
        let answer = self.router.status(&request_key(&caller.team, id)).await;
        match answer {
            RequestStatus::Answer(answer) => {
                Ok(web::json(StatusCode::OK, &AnswerBody::from(answer)))
            }
            RequestStatus::Unknown => Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "no such request of this team",
            )),
            RequestStatus::Unreached => Err(Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the owner of its shard does not answer; nothing is known of it here",
            )),
        }
    }

    async fn cancel(&self, asked: &Asked) -> Routed {
        let caller = self.caller(asked)?;
        let body: CancelBody = parse(asked)?;
        let filter = match (body.id, body.label) {
            (Some(id), None) => CancelFilter::One(request_key(&caller.team, &id)),
            (None, Some(label)) if !label.is_empty() => CancelFilter::Label {
                team: caller.team,
                label,
            },
            _ => {
                let reason = "allowed: either id or a non-empty label";
                return Err(Refusal::new(StatusCode::BAD_REQUEST, reason));
            }
        };
        if let Some(cancelled) = self.router.cancel(filter).await {
            Ok(web::json(StatusCode::OK, &CancelledBody { cancelled }))
        } else {
            let reason = "not every owner could be asked; send the same call again";
            Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason))
        }
    }

    async fn config(&self, asked: &Asked) -> Routed {
        self.caller(asked)?;
        let (numbered, _) = read_config(&self.table)
            .await
            .map_err(|e| refuse_patch(&e))?;
        Ok(web::json(StatusCode::OK, &self.config_body(&numbered)))
    }

    fn config_body(&self, numbered: &Numbered) -> ConfigBody {
        ConfigBody {
            version: numbered.version,
            everywhere: self.router.view().lowest_config(),
            config: numbered.config.clone(),
        }
    }

    async fn patch(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        let patch: Patch = parse(asked)?;
        match apply_patch(&self.table, &patch).await {
            Ok(numbered) => {
                let event = Event::new(Kind::PatchAccepted);
                self.timeline
                    .record(event.detail(format!("{} as {}", patch.id, numbered.version)));
                let _ = self.keeper.send(KeeperOrder::Adopt(numbered.clone())).await;
                Ok(web::json(StatusCode::OK, &self.config_body(&numbered)))
            }
            Err(error) => {
                let kind = match error {
                    PatchError::Unknown { .. } => Kind::PatchUnknown,
                    _ => Kind::PatchRefused,
                };
                let event = Event::new(kind);
                self.timeline
                    .record(event.detail(format!("{}: {error}", patch.id)));
                Err(refuse_patch(&error))
            }
        }
    }

    async fn history(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        let (current, _) = read_config(&self.table)
            .await
            .map_err(|e| refuse_patch(&e))?;
        let oldest = current.version.saturating_sub(HISTORY);
        let mut versions = Vec::new();
        for version in (oldest + 1..=current.version).rev() {
            let row = self.table.get(&history_key(version)).await;
            let row =
                row.map_err(|e| Refusal::new(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
            let parsed = row.and_then(|row| serde_json::from_str::<Numbered>(&row.value).ok());
            versions.extend(parsed);
        }
        Ok(web::json(StatusCode::OK, &versions))
    }

    fn cell(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        Ok(web::json(
            StatusCode::OK,
            &CellBody::from(&*self.router.view()),
        ))
    }

    fn list_hosts(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        let hosts = self.hosts.borrow().clone();
        if let Some(hosts) = hosts {
            Ok(web::json(StatusCode::OK, &*hosts))
        } else {
            let reason = "the platform's host list was not read yet";
            Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason))
        }
    }

    /// The newest stored events of all processes, and this one's own.
    async fn stored_events(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        let down =
            |e: store::StoreError| Refusal::new(StatusCode::SERVICE_UNAVAILABLE, e.to_string());
        let names = self.objects.list("timeline/").await.map_err(down)?;
        let mut events = self.timeline.since(0, EVENTS);
        for name in names.iter().rev().take(TIMELINE_OBJECTS) {
            let body = self.objects.fetch(name).await.map_err(down)?;
            events.extend(parse_events(&body.unwrap_or_default()));
        }
        events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
        events.dedup_by(|a, b| a.stamp == b.stamp && a.process == b.process);
        Ok(web::json(StatusCode::OK, &events))
    }

    fn events(&self, asked: &Asked) -> Routed {
        self.operator(asked)?;
        let after = asked.parameter("after").and_then(|text| text.parse().ok());
        let events = self.timeline.since(after.unwrap_or_default(), EVENTS);
        Ok(web::json(StatusCode::OK, &events))
    }
}

/// Events in one stored object, one a line; a line that cannot be read is
/// left out.
fn parse_events(body: &[u8]) -> Vec<Event> {
    let lines = body.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| serde_json::from_slice(line).ok())
        .collect()
}

fn parse<B: DeserializeOwned>(asked: &Asked) -> Result<B, Refusal> {
    serde_json::from_slice(&asked.body)
        .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

fn patience(asked: &Asked, wait: bool) -> Result<Duration, Refusal> {
    let Some(text) = asked.parameter("patience_millis") else {
        return Ok(if wait { PATIENCE } else { DETACH_PATIENCE });
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    if let Some(millis) = millis {
        Ok(Duration::from_millis(millis).min(PATIENCE))
    } else {
        let reason = format!("patience_millis: found {text:?}, allowed: 1 to 300000");
        Err(Refusal::new(StatusCode::BAD_REQUEST, reason))
    }
}

fn refuse_patch(error: &PatchError) -> Refusal {
    let status = match error {
        PatchError::Stale { .. } => StatusCode::CONFLICT,
        PatchError::Invalid { .. } | PatchError::BadId { .. } => StatusCode::BAD_REQUEST,
        PatchError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        PatchError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        PatchError::Damaged { .. } => StatusCode::INTERNAL_SERVER_ERROR,
    };
    Refusal::new(status, error.to_string())
}
