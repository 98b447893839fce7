//! Talk between the processes: every process asks the owner, never the other
//! way round, so that the owner needs no list of peers.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use job::Epoch;
use job::JobId;
use job::JobSpec;
use job::Shown;
use job::StepKey;
use job::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::sync::watch;
use web::Call;
use web::CallError;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;

use crate::Acceptance;
use crate::Acceptor;
use crate::Context;
use crate::OwnerMessage;
use crate::OwnerPort;

/// Time for the owner's answer about a job; the caller falls back to the
/// store, so it is short.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the acceptance of a job that another host has passed on: most of the
/// three seconds that callers wait.
const ACCEPT_TIME: Duration = Duration::from_millis(2400);

/// Longest wait of a helper for work.
pub const HELP_WAIT: Duration = Duration::from_secs(1);

/// Time for the owner's answer beyond that wait.
const HELP_TIMEOUT: Duration = Duration::from_millis(500);

/// An advice call that the owner hands to a helper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelpOrder {
    /// The step.
    pub step: StepKey,
    /// The workers to ask about.
    pub workers: Vec<WorkerId>,
    /// How long the service will take.
    pub cost: Duration,
}

/// What became of an advice call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelpResult {
    /// The step.
    pub step: StepKey,
    /// The workers asked about.
    pub workers: Vec<WorkerId>,
    /// Worker and ticket of those that may run the step; none if the call
    /// failed.
    pub good: Option<Vec<(WorkerId, String)>>,
    /// How long the tickets last from the answer on, if the service said so.
    pub valid: Option<Duration>,
    /// Time since the answer.
    pub age: Duration,
}

/// A helper asks for work and brings the result of the former.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelpRequest {
    /// The helper's host.
    pub node: String,
    /// Result of the last call.
    pub result: Option<HelpResult>,
}

/// A job whose row was just committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The job.
    pub id: JobId,
    /// What it is.
    pub spec: JobSpec,
}

/// What the owner says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerView {
    /// Its state.
    Job(Shown),
    /// Not known here, so nothing of it has started; the store knows more.
    Unknown,
    /// A predecessor may have started it.
    Undecided,
}

/// Why the owner did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoOwner {
    /// None is known.
    None,
    /// It does not answer, or does not own the pool any more.
    Silent,
}

/// Asks the owner, in this process or another.
#[derive(Clone, Debug)]
pub struct OwnerClient {
    context: Context,
    local: OwnerPort,
    /// Epoch of the owner that did not answer last, and until when it is not
    /// asked again.
    quiet: watch::Sender<(Epoch, Duration)>,
}

/// Time for which an owner that did not answer is not asked again. Each caller
/// would else wait for it in vain before the store is read.
const QUIET: Duration = Duration::from_millis(700);

impl OwnerClient {
    /// A client; `local` reaches the owner in this process, if it is here.
    #[must_use]
    pub fn new(context: Context, local: OwnerPort) -> OwnerClient {
        let (quiet, _) = watch::channel((0, Duration::ZERO));
        OwnerClient {
            context,
            local,
            quiet,
        }
    }

    /// State of a job.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn state(&self, id: JobId) -> Result<OwnerView, NoOwner> {
        let make = |reply| OwnerMessage::State(id, reply);
        self.ask(
            make,
            Method::GET,
            &format!("/state/{id:016x}"),
            &(),
            ASK_TIMEOUT,
        )
        .await
    }

    /// Number of jobs of a queue that wait.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn waiting(&self, queue: &str) -> Result<usize, NoOwner> {
        let make = |reply| OwnerMessage::Waiting(queue.to_owned(), reply);
        let path = format!("/waiting/{}", web::encode(queue));
        self.ask(make, Method::GET, &path, &(), ASK_TIMEOUT).await
    }

    /// Tells of a job that was accepted. The feed brings it too, but later: up
    /// to a second when the store's watches hang.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn accepted(&self, job: AcceptedJob) -> Result<(), NoOwner> {
        let body = job.clone();
        let make = |reply| OwnerMessage::Accepted(Box::new(job), reply);
        self.ask(make, Method::POST, "/accepted", &body, ASK_TIMEOUT)
            .await
    }

    /// Tells of a job that was cancelled. The feed brings it too, but later, and tasks of
    /// the job could start until then.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn canceled(&self, id: JobId) -> Result<(), NoOwner> {
        let make = |reply| OwnerMessage::Canceled(id, reply);
        let path = format!("/canceled/{id:016x}");
        self.ask(make, Method::POST, &path, &(), ASK_TIMEOUT).await
    }

    /// Passes a job on to the owner, since the store turns this host away; the
    /// job must certainly not have been accepted here. Nothing if it was not
    /// passed on.
    pub(crate) async fn accept(&self, job: &AcceptedJob, timeout: Duration) -> Option<Acceptance> {
        let owner = self.context.seat.borrow().owner().cloned()?;
        if owner.incarnation == self.context.incarnation {
            return None;
        }
        let call = Call::new(Method::POST, owner.address, "/accept", timeout).json(job);
        match self.context.client.send(call).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                let decoded = reply.json(owner.address);
                let unclear = |_| Acceptance::Unknown("the owner's answer is unclear".to_owned());
                Some(decoded.unwrap_or_else(unclear))
            }
            Ok(_) | Err(CallError::Connect { .. }) => None,
            Err(error) => {
                log::warn!(code = 403, job = crate::hex(job.id), error:% = error; "acceptance unknown");
                Some(Acceptance::Unknown("the owner does not answer".to_owned()))
            }
        }
    }

    /// Asks for an advice call to make, and delivers the last result.
    ///
    /// # Errors
    /// The owner did not answer; the result may be lost.
    pub async fn help(&self, request: HelpRequest) -> Result<Option<HelpOrder>, NoOwner> {
        let body = request.clone();
        let make = |reply| OwnerMessage::Help(request, reply);
        let timeout = HELP_WAIT + HELP_TIMEOUT;
        self.ask(make, Method::POST, "/help", &body, timeout).await
    }

    async fn ask<T, B>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        method: Method,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, NoOwner>
    where
        T: serde::de::DeserializeOwned,
        B: Serialize,
    {
        let owner = self.context.seat.borrow().owner().cloned();
        let owner = owner.ok_or(NoOwner::None)?;
        if owner.incarnation == self.context.incarnation {
            return self.local.ask(make, timeout).await.ok_or(NoOwner::Silent);
        }
        let (epoch, until) = *self.quiet.borrow();
        if epoch == owner.epoch && self.context.now() < until {
            return Err(NoOwner::Silent);
        }
        let call = Call::new(method, owner.address, path, timeout).json(body);
        let reply = match self.context.client.send(call).await {
            Ok(reply) => reply,
            Err(error) => {
                log::warn!(code = 416, owner = owner.node.as_str(), epoch = owner.epoch, error:% = error; "owner does not answer");
                if error.closed_by_server() {
                    self.context.suspect(owner.epoch);
                }
                let until = self.context.now() + QUIET;
                self.quiet.send_replace((owner.epoch, until));
                return Err(NoOwner::Silent);
            }
        };
        if reply.status != StatusCode::OK {
            return Err(NoOwner::Silent);
        }
        reply.json(owner.address).map_err(|_| NoOwner::Silent)
    }
}

/// Answers peers, from the owner in this process.
pub struct PeerHandler {
    port: OwnerPort,
    context: Context,
    acceptor: Acceptor,
}

impl PeerHandler {
    /// A handler that asks `port`.
    #[must_use]
    pub fn new(port: OwnerPort, context: Context) -> Arc<PeerHandler> {
        let acceptor = Acceptor::new(context.clone());
        Arc::new(PeerHandler {
            port,
            context,
            acceptor,
        })
    }

    /// Accepts a job for a host that the store turns away.
    async fn accept(&self, job: AcceptedJob) -> HttpResponse {
        let end = self.context.now() + ACCEPT_TIME;
        let acceptance = self.acceptor.accept(&job, end).await;
        if acceptance == (Acceptance::Accepted { first: true }) {
            // The feed brings it, if the pool is not owned here any more.
            let make = |reply| OwnerMessage::Accepted(Box::new(job), reply);
            let _ = self.port.ask(make, ASK_TIMEOUT).await;
        }
        web::json(StatusCode::OK, &acceptance)
    }

    async fn relay<T: Serialize>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        timeout: Duration,
    ) -> HttpResponse {
        match self.port.ask(make, timeout).await {
            Some(value) => web::json(StatusCode::OK, &value),
            None => web::error(StatusCode::CONFLICT, "not the owner of the pool"),
        }
    }
}

impl Handler for PeerHandler {
    async fn handle(&self, asked: HttpRequest) -> HttpResponse {
        if let Some(id) = asked.path.strip_prefix("/state/") {
            return match job::parse_job(id) {
                Ok(id) => {
                    self.relay(|reply| OwnerMessage::State(id, reply), ASK_TIMEOUT)
                        .await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(id) = asked.path.strip_prefix("/canceled/") {
            return match job::parse_job(id) {
                Ok(id) => {
                    let make = |reply| OwnerMessage::Canceled(id, reply);
                    self.relay(make, ASK_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(queue) = asked.path.strip_prefix("/waiting/") {
            let queue = queue.to_owned();
            let make = |reply| OwnerMessage::Waiting(queue, reply);
            return self.relay(make, ASK_TIMEOUT).await;
        }
        if asked.path == "/help" {
            return match serde_json::from_slice::<HelpRequest>(&asked.body) {
                Ok(request) => {
                    let make = |reply| OwnerMessage::Help(request, reply);
                    self.relay(make, HELP_WAIT + HELP_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if asked.path == "/accept" {
            return match serde_json::from_slice::<AcceptedJob>(&asked.body) {
                Ok(job) => self.accept(job).await,
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if asked.path == "/accepted" {
            return match serde_json::from_slice::<AcceptedJob>(&asked.body) {
                Ok(job) => {
                    let make = |reply| OwnerMessage::Accepted(Box::new(job), reply);
                    self.relay(make, ASK_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        web::error(StatusCode::NOT_FOUND, "no such path")
    }
}
