//! Requests between the processes of a cell. Processes call the owner and the owner calls none of
//! them, so the owner needs no list of peers.

use std::sync::Arc;
use std::time::Duration;

use auth::KeyDigest;
use hyper::Method;
use hyper::StatusCode;
use job::Epoch;
use job::Forecast;
use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Requester;
use job::StepKey;
use job::WorkerId;
use platform::Version;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::sync::watch;
use web::Call;
use web::CallError;
use web::Client;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Refusal;

use crate::Acceptance;
use crate::Acceptor;
use crate::Context;
use crate::EarlyCancel;
use crate::OwnerHandle;
use crate::OwnerMessage;

/// Timeout of a request to the owner. It is short because without a reply the process reads the
/// store instead.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the owner to accept a job that another host has forwarded: most of the three seconds
/// that callers wait.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2400);

/// Longest time for which the owner leaves a helper's poll open.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// Time for the reply to a poll beyond [`POLL_WAIT`].
const POLL_SLACK: Duration = Duration::from_millis(500);

/// An advice call that the owner delegates to a helper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedCall {
    /// Step that needs workers.
    pub step: StepKey,
    /// Workers that the call asks about.
    pub workers: Vec<WorkerId>,
    /// Time that the advice service is expected to take.
    pub cost: Duration,
}

/// Result of a delegated advice call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdviceResult {
    /// Step that needs workers.
    pub step: StepKey,
    /// Workers that the call asked about.
    pub workers: Vec<WorkerId>,
    /// Worker and ticket of each worker that may run the step; `None` if the call failed.
    pub good: Option<Vec<(WorkerId, String)>>,
    /// Validity of the tickets, counted from the reply of the advice service, if it gave one.
    pub valid: Option<Duration>,
    /// Time since the reply of the advice service.
    pub age: Duration,
}

/// A helper's request for the next advice call, with the result of the previous one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelperPoll {
    /// Name of the helper's host.
    pub node: String,
    /// Result of the previous advice call, if there was one.
    pub result: Option<AdviceResult>,
    /// The helper reads a [`PollReply`]. Helpers of earlier versions read the call alone.
    #[serde(default)]
    pub forecast: bool,
    /// Time since the store last answered the helper's host; `None` if it never has, or if the helper
    /// is of an earlier version.
    #[serde(default)]
    pub store_age: Option<Duration>,
}

/// The owner's reply to a helper's poll. An owner of an earlier version replies with the call alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "AnyReply")]
pub struct PollReply {
    /// Advice call to make; `None` if there is none.
    pub call: Option<DelegatedCall>,
    /// Forecast of the pool; `None` if the host has a recent one, or if there is none.
    pub forecast: Option<Forecast>,
    /// Time for which the owner held the poll.
    pub held: Duration,
}

/// A reply of any version. The earlier form is tried first, since its fields are required.
#[derive(Deserialize)]
#[serde(untagged)]
enum AnyReply {
    Earlier(Option<DelegatedCall>),
    Current {
        call: Option<DelegatedCall>,
        forecast: Option<Forecast>,
        held: Duration,
    },
}

impl From<AnyReply> for PollReply {
    fn from(reply: AnyReply) -> PollReply {
        match reply {
            AnyReply::Earlier(call) => PollReply {
                call,
                ..PollReply::default()
            },
            AnyReply::Current {
                call,
                forecast,
                held,
            } => PollReply {
                call,
                forecast,
                held,
            },
        }
    }
}

/// A job whose row was just committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Id of the job.
    pub id: JobId,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Digest of the caller's key, for the host of the owner, which checks it again; `None` if the
    /// caller needed no key, or the job is accepted already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeyDigest>,
    /// A version of the store from before the arrival of the request; 0 if none is known. The job may
    /// replace marks of rejections up to this version.
    #[serde(default)]
    pub known: Version,
    /// Identifies the marks that this request has written, which the job may replace, too; 0 for none.
    #[serde(default)]
    pub attempt: u64,
}

/// The owner's reply to a question about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobView {
    /// Status of the job.
    Job(JobStatus),
    /// The owner has no record of the job, so none of its tasks has started. The store may contain
    /// a job that the owner has not read yet.
    Unknown,
    /// A former owner may have started the job, and not all workers that may run its tasks have
    /// sent a report yet.
    Undecided,
}

/// The owner's reply to the cancellation of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EarlyCancelReply {
    /// There is no such job, and the cancellation is stored: a job that the store takes later does not
    /// start.
    Stored,
    /// The cancellation is not stored yet, or jobs that were accepted before are still to be read.
    Pending {
        /// The owner's last read of the jobs is long ago.
        behind: bool,
    },
    /// The owner knows the job, so its row is in the store.
    Known,
    /// The owner keeps no more such cancellations; it has room again after this time.
    Full(Duration),
}

/// Reason why there is no reply of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum OwnerError {
    /// According to the ownership row, no process owns the pool.
    #[snafu(display("no process owns the pool"))]
    None,
    /// The process did not answer, or no longer owns the pool.
    #[snafu(display("the owner does not answer, or owns the pool no longer"))]
    Silent,
}

/// Result of passing a job to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Forwarded {
    /// The owner has replied, or may have handled the job.
    Replied(Acceptance),
    /// The process that owns the pool certainly did not handle the job: it cannot be reached, or is
    /// not the owner any more.
    OwnerSilent,
    /// No process owns the pool, or this one does.
    NoOtherOwner,
}

/// Sends requests to the owner of the pool, in this process or another one.
#[derive(Clone, Debug)]
pub struct OwnerClient {
    context: Context,
    local_owner: OwnerHandle,
    /// Epoch of the last owner that did not answer, and the time until which it is not called
    /// again.
    backoff: watch::Sender<(Epoch, Duration)>,
}

/// Path, followed by the job's id, of the request to cancel a job that is not in the store.
const EARLY_CANCEL_PATH: &str = "/cancel-early/";

/// Query parameters that name the requester of a request about a job.
const ORGANISATION_PARAMETER: &str = "organisation";
const QUEUE_PARAMETER: &str = "queue";

/// Returns the path of a request about a job.
fn job_path(prefix: &str, id: JobId, requester: &Requester) -> String {
    let (parameter, name) = match requester {
        Requester::Organisation(name) => (ORGANISATION_PARAMETER, name),
        Requester::Queue(name) => (QUEUE_PARAMETER, name),
    };
    format!("{prefix}{id:016x}?{parameter}={}", web::encode(name))
}

/// Returns the requester that a request names.
fn requester_of(request: &HttpRequest) -> Option<Requester> {
    let organisation = request.parameter(ORGANISATION_PARAMETER);
    let queue = || request.parameter(QUEUE_PARAMETER).map(Requester::Queue);
    organisation.map(Requester::Organisation).or_else(queue)
}

/// Time for which an owner that did not answer is not called again. Otherwise each caller would
/// first wait for the timeout before the store is read.
const OWNER_BACKOFF: Duration = Duration::from_millis(700);

impl OwnerClient {
    /// Creates a client; `local_owner` reaches the owner if it is in this process.
    #[must_use]
    pub fn new(context: Context, local_owner: OwnerHandle) -> OwnerClient {
        let (backoff, _) = watch::channel((0, Duration::ZERO));
        OwnerClient {
            context,
            local_owner,
            backoff,
        }
    }

    /// Asks for the status of a job. A job that the requester may not see is unknown.
    ///
    /// # Errors
    /// See [`OwnerError`].
    pub async fn query_status(
        &self,
        id: JobId,
        requester: Requester,
    ) -> Result<JobView, OwnerError> {
        let path = job_path("/state/", id, &requester);
        let make_message = |reply| OwnerMessage::QueryStatus(id, Some(requester), reply);
        self.send_request(make_message, Method::GET, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Asks for the number of jobs that wait in a queue.
    ///
    /// # Errors
    /// See [`OwnerError`].
    pub async fn query_length(&self, queue: &str) -> Result<usize, OwnerError> {
        let make_message = |reply| OwnerMessage::QueryLength(queue.to_owned(), reply);
        let path = format!("/waiting/{}", web::encode(queue));
        self.send_request(make_message, Method::GET, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Notifies the owner of an accepted job. The change feed also delivers the job, but later: up
    /// to a second when the store's feeds hang.
    ///
    /// # Errors
    /// See [`OwnerError`]; the owner may have received the message.
    pub async fn notify_accepted(&self, job: AcceptedJob) -> Result<(), OwnerError> {
        let body = job.clone();
        let make_message = |reply| OwnerMessage::JobAccepted(Box::new(job), reply);
        self.send_request(
            make_message,
            Method::POST,
            "/accepted",
            &body,
            OWNER_TIMEOUT,
        )
        .await
    }

    /// Notifies the owner of a job that the requester has cancelled. The change feed also delivers the
    /// cancellation, but later, and tasks of the job could start in the meantime.
    ///
    /// # Errors
    /// See [`OwnerError`]; the owner may have received the message.
    pub async fn notify_canceled(&self, id: JobId, requester: Requester) -> Result<(), OwnerError> {
        let path = job_path("/canceled/", id, &requester);
        let make_message = |reply| OwnerMessage::JobCanceled(id, Some(requester), reply);
        self.send_request(make_message, Method::POST, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Asks the owner whether it knows a job, and if not, to store the cancellation. Repeated while the
    /// reply is `Pending`.
    ///
    /// # Errors
    /// See [`OwnerError`]; the owner may store the cancellation all the same.
    pub async fn cancel_early(&self, cancel: EarlyCancel) -> Result<EarlyCancelReply, OwnerError> {
        let path = job_path(EARLY_CANCEL_PATH, cancel.id, &cancel.requester);
        let make_message = |reply| OwnerMessage::CancelEarly(cancel, reply);
        self.send_request(make_message, Method::POST, &path, &(), OWNER_TIMEOUT)
            .await
    }

    /// Asks the owner to accept a job, because the store refuses this host. The job must certainly
    /// not be accepted yet. If it is uncertain whether the owner has handled the request, the reply is
    /// [`Acceptance::Unknown`].
    pub(crate) async fn forward_job(&self, job: &AcceptedJob, timeout: Duration) -> Forwarded {
        let owner = self.context.ownership.borrow().owner().cloned();
        let other = owner.filter(|owner| owner.incarnation != self.context.incarnation);
        let Some(owner) = other else {
            return Forwarded::NoOtherOwner;
        };
        let call = Call::new(Method::POST, owner.address, "/accept", timeout).json(job);
        match self.context.request_client().send(call).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                let decoded = reply.json(owner.address);
                let unclear = |_| Acceptance::Unknown("the owner's answer is unclear".to_owned());
                Forwarded::Replied(decoded.unwrap_or_else(unclear))
            }
            Ok(_) | Err(CallError::Connect { .. } | CallError::Busy { .. }) => {
                Forwarded::OwnerSilent
            }
            Err(error) => {
                log::warn!(
                    code = 403, job = crate::hex(job.id), error:% = error;
                    "unknown whether the owner accepted the job; the caller gets 504"
                );
                Forwarded::Replied(Acceptance::Unknown("the owner does not answer".to_owned()))
            }
        }
    }

    /// Polls for an advice call and a forecast, and delivers the result of the previous call.
    ///
    /// # Errors
    /// See [`OwnerError`]; the result of the previous call may be lost.
    pub async fn poll(&self, request: HelperPoll) -> Result<PollReply, OwnerError> {
        let body = request.clone();
        let make_message = |reply| OwnerMessage::Poll(request, reply);
        let timeout = POLL_WAIT + POLL_SLACK;
        let client = &self.context.client;
        self.send_over(client, make_message, Method::POST, "/help", &body, timeout)
            .await
    }

    /// Sends a request of a caller to the owner; see [`OwnerClient::send_over`].
    async fn send_request<T, B>(
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
        let client = &self.context.request_client();
        self.send_over(client, make_message, method, path, body, timeout)
            .await
    }

    /// Sends a request to the owner: as the message that `make_message` builds if the owner is in
    /// this process, otherwise over HTTP with `client`.
    async fn send_over<T, B>(
        &self,
        client: &Client,
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
                .local_owner
                .send_request(make_message, timeout)
                .await
                .ok_or(OwnerError::Silent);
        }
        let (epoch, until) = *self.backoff.borrow();
        if epoch == owner.epoch && self.context.now() < until {
            return Err(OwnerError::Silent);
        }
        let call = Call::new(method, owner.address, path, timeout).json(body);
        let reply = match client.send(call).await {
            Ok(reply) => reply,
            // Says nothing about the owner.
            Err(CallError::Busy { .. }) => return Err(OwnerError::Silent),
            Err(error) => {
                log::warn!(
                    code = 416, owner = owner.node.as_str(), epoch = owner.epoch, error:% = error;
                    "owner does not answer; this process does not call it again for a short time"
                );
                if error.closed_by_server() {
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

/// Handles requests of peers by passing them to the owner in this process.
pub struct PeerHandler {
    owner_handle: OwnerHandle,
    context: Context,
    acceptor: Acceptor,
}

impl PeerHandler {
    /// Creates a handler that passes requests to the owner which `owner_handle` reaches.
    #[must_use]
    pub fn new(owner_handle: OwnerHandle, context: Context) -> Arc<PeerHandler> {
        let acceptor = Acceptor::new(context.clone());
        Arc::new(PeerHandler {
            owner_handle,
            context,
            acceptor,
        })
    }

    /// Accepts a job on behalf of a host that the store refuses.
    async fn accept(&self, mut job: AcceptedJob) -> HttpResponse {
        if !self.holds_key(&job) {
            let reason = "the key is not configured on the host of the owner".to_owned();
            return web::json(StatusCode::OK, &Acceptance::Refused(reason));
        }
        job.key = None;
        let deadline = self.context.now() + FORWARD_TIMEOUT;
        let acceptance = self.acceptor.accept(&job, deadline).await;
        if acceptance == (Acceptance::Accepted { first: true }) {
            // If this process no longer owns the pool, the change feed delivers the job to the
            // new owner.
            let make_message = |reply| OwnerMessage::JobAccepted(Box::new(job), reply);
            let _ = self
                .owner_handle
                .send_request(make_message, OWNER_TIMEOUT)
                .await;
        }
        web::json(StatusCode::OK, &acceptance)
    }

    /// Returns whether the organisation of a forwarded job still holds the key with which the job was
    /// submitted. The host that forwards a job cannot read the store, so it may not know that the key
    /// was removed. A host of an earlier version sends no key.
    fn holds_key(&self, job: &AcceptedJob) -> bool {
        let (Some(key), Some(name)) = (job.key, job.spec.organisation_name()) else {
            return true;
        };
        let config = self.context.config.borrow();
        let holder = config.as_ref().and_then(|config| config.key_holder(key));
        let usable = self.context.config_ages().usable;
        self.context.config_age() <= usable && holder.is_some_and(|holder| holder.name == *name)
    }

    /// Passes a helper's poll to the owner. A helper of an earlier version gets the call alone.
    async fn relay_poll(&self, request: HelperPoll) -> HttpResponse {
        let current = request.forecast;
        let make_message = |reply| OwnerMessage::Poll(request, reply);
        let timeout = POLL_WAIT + POLL_SLACK;
        match self.owner_handle.send_request(make_message, timeout).await {
            Some(reply) if current => web::json(StatusCode::OK, &reply),
            Some(reply) => web::json(StatusCode::OK, &reply.call),
            None => not_owner(),
        }
    }

    /// Sends a message to the owner in this process, and responds with its reply; with status 409
    /// if there is no owner here or it does not reply in time.
    async fn relay<T: Serialize>(
        &self,
        make_message: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
        timeout: Duration,
    ) -> HttpResponse {
        match self.owner_handle.send_request(make_message, timeout).await {
            Some(value) => web::json(StatusCode::OK, &value),
            None => not_owner(),
        }
    }
}

fn not_owner() -> HttpResponse {
    web::error(StatusCode::CONFLICT, "not the owner of the pool")
}

impl Handler for PeerHandler {
    fn record(&self, refusal: Refusal) {
        self.context.metrics.record_refusal("peers", refusal);
    }

    async fn handle(&self, incoming: HttpRequest) -> HttpResponse {
        let requester = requester_of(&incoming);
        if let Some(id) = incoming.path.strip_prefix("/state/") {
            return match job::parse_job_id(id) {
                Ok(id) => {
                    let make_message = |reply| OwnerMessage::QueryStatus(id, requester, reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(id) = incoming.path.strip_prefix("/canceled/") {
            return match job::parse_job_id(id) {
                Ok(id) => {
                    let make_message = |reply| OwnerMessage::JobCanceled(id, requester, reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        if let Some(id) = incoming.path.strip_prefix(EARLY_CANCEL_PATH) {
            return match (job::parse_job_id(id), requester) {
                (Ok(id), Some(requester)) => {
                    let cancel = EarlyCancel { id, requester };
                    let make_message = |reply| OwnerMessage::CancelEarly(cancel, reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                (Err(error), _) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
                (_, None) => web::error(StatusCode::BAD_REQUEST, "found no requester"),
            };
        }
        if let Some(queue) = incoming.path.strip_prefix("/waiting/") {
            let queue = queue.to_owned();
            let make_message = |reply| OwnerMessage::QueryLength(queue, reply);
            return self.relay(make_message, OWNER_TIMEOUT).await;
        }
        if incoming.path == "/help" {
            return match serde_json::from_slice::<HelperPoll>(&incoming.body) {
                Ok(request) => self.relay_poll(request).await,
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
                    let make_message = |reply| OwnerMessage::JobAccepted(Box::new(job), reply);
                    self.relay(make_message, OWNER_TIMEOUT).await
                }
                Err(error) => web::error(StatusCode::BAD_REQUEST, &error.to_string()),
            };
        }
        web::error(StatusCode::NOT_FOUND, "no such path")
    }
}
