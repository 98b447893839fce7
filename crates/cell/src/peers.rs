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
use web::Asked;
use web::Call;
use web::CallError;
use web::Handler;
use web::Whole;

use crate::Acceptance;
use crate::Acceptor;
use crate::Context;
use crate::OwnerMessage;
use crate::OwnerPort;

/// Time for the owner's answer about a job; the caller falls back to the
/// store, so it is short.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the acceptance of a job that another host has passed on: most of the
/// three seconds that callers wait.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2400);

/// Longest wait of a helper for work.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// Time for the owner's answer beyond that wait.
const POLL_SLACK: Duration = Duration::from_millis(500);

/// An advice call that the owner hands to a helper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdviceQuery {
    /// The step.
    pub step: StepKey,
    /// The workers to ask about.
    pub workers: Vec<WorkerId>,
    /// How long the service will take.
    pub cost: Duration,
}

/// What became of an advice call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdviceResult {
    /// The step.
    pub step: StepKey,
    /// The workers request about.
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
pub struct HelperPoll {
    /// The helper's host.
    pub node: String,
    /// Result of the last call.
    pub result: Option<AdviceResult>,
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
pub enum JobView {
    /// Its state.
    Job(Shown),
    /// Not known here, so nothing of it has started; the store knows more.
    Unknown,
    /// A predecessor may have started it.
    Undecided,
}

/// Why the owner did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerError {
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
    /// request again.
    backoff: watch::Sender<(Epoch, Duration)>,
}

/// Time for which an owner that did not answer is not request again. Each caller
/// would else wait for it in vain before the store is read.
const OWNER_BACKOFF: Duration = Duration::from_millis(700);

impl OwnerClient {
    /// A client; `local` reaches the owner in this process, if it is here.
    #[must_use]
    pub fn new(context: Context, local: OwnerPort) -> OwnerClient {
        let (backoff, _) = watch::channel((0, Duration::ZERO));
        OwnerClient {
            context,
            local,
            backoff,
        }
    }

    /// State of a job.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn state(&self, id: JobId) -> Result<JobView, OwnerError> {
        let make_message = |reply| OwnerMessage::State(id, reply);
        self.ask(
            make_message,
            Method::GET,
            &format!("/state/{id:016x}"),
            &(),
            OWNER_TIMEOUT,
        )
        .await
    }

    /// Number of jobs of a queue that wait.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn waiting(&self, queue: &str) -> Result<usize, OwnerError> {
        let make_message = |reply| OwnerMessage::Waiting(queue.to_owned(), reply);
        let path = format!("/waiting/{}", web::encode(queue));
        self.ask(make_message, Method::GET, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Tells of a job that was accepted. The feed brings it too, but later: up
    /// to a second when the store's watches hang.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn notify_accepted(&self, job: AcceptedJob) -> Result<(), OwnerError> {
        let body = job.clone();
        let make_message = |reply| OwnerMessage::Accepted(Box::new(job), reply);
        self.ask(
            make_message,
            Method::POST,
            "/accepted",
            &body,
            OWNER_TIMEOUT,
        )
        .await
    }

    /// Tells of a job that was cancelled. The feed brings it too, but later, and tasks of
    /// the job could start until then.
    ///
    /// # Errors
    /// The owner did not answer.
    pub async fn notify_canceled(&self, id: JobId) -> Result<(), OwnerError> {
        let make_message = |reply| OwnerMessage::Canceled(id, reply);
        let path = format!("/canceled/{id:016x}");
        self.ask(make_message, Method::POST, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Passes a job on to the owner, since the store turns this host away; the
    /// job must certainly not have been accepted here. Nothing if it was not
    /// passed on.
    pub(crate) async fn accept(&self, job: &AcceptedJob, timeout: Duration) -> Option<Acceptance> {
        let owner = self.context.ownership.borrow().owner().cloned()?;
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

    /// Asks for an advice call to make_message, and delivers the last result.
    ///
    /// # Errors
    /// The owner did not answer; the result may be lost.
    pub async fn help(&self, request: HelperPoll) -> Result<Option<AdviceQuery>, OwnerError> {
        let body = request.clone();
        let make_message = |reply| OwnerMessage::Help(request, reply);
        let timeout = POLL_WAIT + POLL_SLACK;
        self.ask(make_message, Method::POST, "/help", &body, timeout)
            .await
    }

    async fn ask<T, B>(
        &self,
        make_message: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        method: Method,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, OwnerError>
    where
        T: serde::de::DeserializeOwned,
        B: Serialize,
    {
        let owner = self.context.ownership.borrow().owner().cloned();
        let owner = owner.ok_or(OwnerError::None)?;
        if owner.incarnation == self.context.incarnation {
            return self
                .local
                .ask(make_message, timeout)
                .await
                .ok_or(OwnerError::Silent);
        }
        let (epoch, until) = *self.backoff.borrow();
        if epoch == owner.epoch && self.context.now() < until {
            return Err(OwnerError::Silent);
        }
        let call = Call::new(method, owner.address, path, timeout).json(body);
        let reply = match self.context.client.send(call).await {
            Ok(reply) => reply,
            Err(error) => {
                log::warn!(code = 416, owner = owner.node.as_str(), epoch = owner.epoch, error:% = error; "owner does not answer");
                if error.broken() {
                    self.context.suspect_owner(owner.epoch);
                }
                let until = self.context.now() + OWNER_BACKOFF;
                self.backoff.send_replace((owner.epoch, until));
                return Err(OwnerError::Silent);
            }
        };
        if reply.status != StatusCode::OK {
            return Err(OwnerError::Silent);
        }
        reply.json(owner.address).map_err(|_| OwnerError::Silent)
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
    async fn accept(&self, job: AcceptedJob) -> Whole {
        let deadline = self.context.now() + FORWARD_TIMEOUT;
        let acceptance = self.acceptor.accept(&job, deadline).await;
        if acceptance == (Acceptance::Accepted { first: true }) {
            // The feed brings it, if the pool is not owned here any more.
            let make_message = |reply| OwnerMessage::Accepted(Box::new(job), reply);
            let _ = self.port.ask(make_message, OWNER_TIMEOUT).await;
        }
        web::json(StatusCode::OK, &acceptance)
    }

    async fn relay<T: Serialize>(
        &self,
        make_message: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        timeout: Duration,
    ) -> Whole {
        match self.port.ask(make_message, timeout).await {
            Some(value) => web::json(StatusCode::OK, &value),
            None => web::error(StatusCode::CONFLICT, "not the owner of the pool"),
        }
    }
}

impl Handler for PeerHandler {
    async fn handle(&self, incoming: Asked) -> Whole {
        if let Some(id) = incoming.path.strip_prefix("/state/") {
            return match job::parse_job(id) {
                Ok(id) => {
                    self.relay(|reply| OwnerMessage::State(id, reply), OWNER_TIMEOUT)
                        .await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(id) = incoming.path.strip_prefix("/canceled/") {
            return match job::parse_job(id) {
                Ok(id) => {
                    let make_message = |reply| OwnerMessage::Canceled(id, reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(queue) = incoming.path.strip_prefix("/waiting/") {
            let queue = queue.to_owned();
            let make_message = |reply| OwnerMessage::Waiting(queue, reply);
            return self.relay(make_message, OWNER_TIMEOUT).await;
        }
        if incoming.path == "/help" {
            return match serde_json::from_slice::<HelperPoll>(&incoming.body) {
                Ok(request) => {
                    let make_message = |reply| OwnerMessage::Help(request, reply);
                    self.relay(make_message, POLL_WAIT + POLL_SLACK).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if incoming.path == "/accept" {
            return match serde_json::from_slice::<AcceptedJob>(&incoming.body) {
                Ok(job) => self.accept(job).await,
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if incoming.path == "/accepted" {
            return match serde_json::from_slice::<AcceptedJob>(&incoming.body) {
                Ok(job) => {
                    let make_message = |reply| OwnerMessage::Accepted(Box::new(job), reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        web::error(StatusCode::NOT_FOUND, "no such path")
    }
}
